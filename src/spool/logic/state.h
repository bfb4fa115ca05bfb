// The states of a spooled result, and which may follow which.
//
//   running -> filling -> ready -> read -> (ended)
//                 \-> running    the attempt ended without its last page; the next one begins from nothing
//   any of them -> (ended), for one of the reasons below
#pragma once

#include <cstdint>

namespace steprail::spool {

enum class State : std::uint8_t {
  kRunning,  // taken; no page of an attempt is here
  kFilling,  // pages of one attempt come in
  kReady,    // whole: readers may come
  kRead,     // its last row was handed out: served, and kept until it is acknowledged
  kEnded
};

enum class End : std::uint8_t {
  kAcknowledged,  // up to the last row
  kReleased,      // by its reader
  kInterrupted,   // by its client, before it was whole
  kRefused,       // the module's answer
  kFailed,        // likewise
  kGivenUp,       // the request's give-up time has passed
  kLeaseEnded,    // nobody came for it
  kDirect,        // answered whole at once: the spool was full
  kFull,          // too long for a direct answer while the spool was full
  kTooLong,       // longer than any result may be
  kLost           // its disk gave it back spoilt, or not at all
};

constexpr const char* name(State state) {
  constexpr const char* names[] = {"running", "filling", "ready", "read", "ended"};
  return names[static_cast<int>(state)];
}

constexpr const char* name(End end) {
  constexpr const char* names[] = {"acknowledged", "released", "interrupted", "refused",
                                   "failed",       "given-up", "lease-ended", "direct",
                                   "full",         "too-long", "lost"};
  return names[static_cast<int>(end)];
}

constexpr bool may_follow(State from, State to) {
  switch (to) {
    case State::kRunning:
      return from == State::kFilling;
    case State::kFilling:
      return from == State::kRunning;
    case State::kReady:
      return from == State::kFilling;
    case State::kRead:
      return from == State::kReady;
    default:
      return from != State::kEnded;
  }
}

}  // namespace steprail::spool
