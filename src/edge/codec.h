// Frames on the wire: JSON or CBOR, one object a frame. docs/protocol/edge.md has the fields.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "edge/logic/frame.h"

namespace steprail::edge {

enum class Format { kJson, kCbor };

constexpr std::size_t kMaxFrameBytes = 256 << 10;  // bytes, once decompressed
constexpr int kMaxNesting = 6;

std::string encode(const Frame& frame, Format format);
// False where it is no frame: unreadable, nested too deep, or with fields of the wrong kind; `why` says
// which.
bool decode(std::string_view bytes, Format format, Frame& frame, std::string& reason);

// What a device sends to the long poll, and what it gets.
struct Envelope {
  std::string link;
  Seq have{};
  std::vector<Frame> frames;
};
std::string encode(const Envelope& envelope, Format format);
bool decode(std::string_view bytes, Format format, Envelope& envelope, std::string& reason);

}  // namespace steprail::edge
