// The program's log: one line an occasion on standard error, and the count of broken invariants.
#pragma once

#include <cassert>
#include <cstdint>
#include <string_view>

namespace steprail {

class EventLog {
 public:
  void line(std::string_view text);
  // Counts every broken invariant and logs the first ones: a fault in a loop must not fill the log.
  void broken(const char* condition, const char* file, int line);
  std::uint64_t broken_count() const { return broken_; }

 private:
  std::uint64_t broken_{0};
};

}  // namespace steprail

// What must hold whatever peers do. A debug build stops there; a release build counts it and goes on serving.
#ifdef NDEBUG
#define STEPRAIL_INVARIANT(log, condition) \
  ((condition) ? static_cast<void>(0) : (log).broken(#condition, __FILE__, __LINE__))
#else
#define STEPRAIL_INVARIANT(log, condition) (static_cast<void>(log), assert(condition))
#endif
