// Decides which connection gives up its input buffer when the long frames of all connections together have
// filled their space and another connection waits for some. Only decisions: FramedServer carries them out.
#pragma once

#include <optional>
#include <tuple>

#include "core/ports.h"

namespace steprail {

// A long frame that a connection has received in part.
struct LongFrame {
  Micros held{0};              // how long it has had its space
  bool answers_owed{false};    // the connection has open calls, or answers that are not written yet
  bool earlier_frames{false};  // the connection has sent whole frames before
};

enum class FrameRelease {
  kNone,
  kDiscard,  // the input is dropped; the connection stays open for the answers that it is owed
  kClose,
};

// The rest of a frame that was sent whole arrives in that time.
constexpr Micros kLongFrameGrace{100'000};
// After that time a frame is held to be incomplete for good.
constexpr Micros kFrameTimeout{2'000'000};

// A connection that is owed answers is never closed for the sake of others.
inline FrameRelease release_of(const LongFrame& frame) {
  if (frame.answers_owed) return frame.held > kFrameTimeout ? FrameRelease::kDiscard : FrameRelease::kNone;
  return frame.held > kLongFrameGrace ? FrameRelease::kClose : FrameRelease::kNone;
}

// True if `a` gives up its space before `b`: strangers before clients that have sent whole frames, both
// before connections that are owed answers, and the longest held first.
inline bool released_before(const LongFrame& a, const LongFrame& b) {
  return std::tuple(a.answers_owed, a.earlier_frames, b.held) <
         std::tuple(b.answers_owed, b.earlier_frames, a.held);
}

}  // namespace steprail
