// Encodes and decodes frames: JSON or CBOR, one object per frame. docs/protocol/edge.md has the fields.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "edge/logic/frame.h"

namespace steprail::edge {

enum class Format { kJson, kCbor };

constexpr std::size_t kMaxFrameBytes = 256 << 10;  // after decompression
constexpr int kMaxNesting = 6;

// Throws nlohmann::json::exception if a text of the frame cannot be represented in JSON.
std::string encode(const Frame& frame, Format format);
// Returns false if `bytes` are not a frame: malformed, nested too deep, or with fields of the wrong type;
// `reason` says which, in valid UTF-8, so that it can be sent in either format.
bool decode(std::string_view bytes, Format format, Frame& frame, std::string& reason);

// The body of a long poll request, and of the response to it.
struct Envelope {
  std::string link;
  Seq have{};
  std::vector<Frame> frames;
};
std::string encode(const Envelope& envelope, Format format);
bool decode(std::string_view bytes, Format format, Envelope& envelope, std::string& reason);

}  // namespace steprail::edge
