// Defers signals that arrive before their handlers are installed. Their default action terminates the
// process. A restart and a configuration reload can happen within the same second, and a process that has
// just started must neither be killed by such a signal nor lose it.
#pragma once

#include <csignal>

namespace steprail {

namespace detail {
inline sigset_t deferred_signals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&set, number);
  return set;
}
}  // namespace detail

// Keeps the deferred signals pending from now on, and ignores SIGPIPE. Call it before any thread starts:
// threads inherit the signal mask.
inline void block_signals() {
  const sigset_t set = detail::deferred_signals();
  sigprocmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

// Delivers the pending signals to the handlers that are installed by now.
inline void unblock_signals() {
  const sigset_t set = detail::deferred_signals();
  sigprocmask(SIG_UNBLOCK, &set, nullptr);
}

}  // namespace steprail
