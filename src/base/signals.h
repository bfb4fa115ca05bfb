// Signals that come before anything handles them. Their default action ends the process: a restart and a new
// configuration fall on the same second, and the program that was just started must neither die of one nor
// lose it.
#pragma once

#include <csignal>

namespace steprail {

namespace detail {
inline sigset_t held_signals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&set, number);
  return set;
}
}  // namespace detail

// They wait from here on. To be called before any thread begins.
inline void hold_signals() {
  const sigset_t set = detail::held_signals();
  sigprocmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

// Those that waited are delivered now, to whatever handles them.
inline void release_signals() {
  const sigset_t set = detail::held_signals();
  sigprocmask(SIG_UNBLOCK, &set, nullptr);
}

}  // namespace steprail
