// Unix time that never runs backwards: if the system clock is set back, it advances by the steady clock until
// the system clock has caught up.
#pragma once

#include <algorithm>
#include <chrono>

namespace steprail {

class Clock {
 public:
  std::chrono::microseconds now() {
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    const auto steady_now = std::chrono::steady_clock::now();
    const auto unix_time = duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch());
    last_unix_time_ =
        std::max(unix_time, last_unix_time_ + duration_cast<microseconds>(steady_now - last_steady_) *
                                                  (unix_time < last_unix_time_));
    last_steady_ = steady_now;
    return last_unix_time_;
  }

 private:
  std::chrono::microseconds last_unix_time_{0};
  std::chrono::steady_clock::time_point last_steady_{std::chrono::steady_clock::now()};
};

}  // namespace steprail
