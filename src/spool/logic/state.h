// The states of a spooled result and the valid transitions.
//
//   running -> filling -> ready -> read -> (ended)
//                 \-> running    the attempt ended without its last page; the next one starts empty
//   any state -> (ended), for one of the reasons below
#pragma once

#include <cstdint>

namespace steprail::spool {

enum class State : std::uint8_t {
  kRunning,  // accepted; no page of an attempt has arrived
  kFilling,  // pages of one attempt are arriving
  kReady,    // complete: readers may fetch it
  kRead,     // its last row has been sent (it counts as served); kept until it is acknowledged
  kEnded
};

enum class EndReason : std::uint8_t {
  kAcknowledged,      // by its reader, to the last row
  kReleased,          // by its reader
  kInterrupted,       // by its client, before it was complete
  kRefused,           // the coordinator's final answer was "refused"
  kFailed,            // the coordinator's final answer was "failed"
  kGivenUp,           // the request's give-up time has passed
  kLeaseEnded,        // no reader used it within its lease
  kAnsweredDirectly,  // the spool was full and the whole result was written to its reader in one answer
  kSpoolFull,         // the spool was full and the result was too long for one answer
  kTooLong,           // longer than any result may be
  kLost               // the disk returned corrupt data, or none
};

constexpr const char* name(State state) {
  constexpr const char* names[] = {"running", "filling", "ready", "read", "ended"};
  return names[static_cast<int>(state)];
}

constexpr const char* name(EndReason end) {
  constexpr const char* names[] = {"acknowledged", "released", "interrupted", "refused",
                                   "failed",       "given-up", "lease-ended", "direct",
                                   "full",         "too-long", "lost"};
  return names[static_cast<int>(end)];
}

constexpr bool is_valid_transition(State from, State to) {
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
