// Unix time that never runs backwards: where the system's clock is set back, it goes on from where it was.
#pragma once

#include <algorithm>
#include <chrono>

namespace steprail {

class Clock {
 public:
  std::chrono::microseconds now() {
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    const auto steady = std::chrono::steady_clock::now();
    const auto unix_time = duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch());
    last_ = std::max(unix_time, last_ + duration_cast<microseconds>(steady - steady_) * (unix_time < last_));
    steady_ = steady;
    return last_;
  }

 private:
  std::chrono::microseconds last_{0};
  std::chrono::steady_clock::time_point steady_{std::chrono::steady_clock::now()};
};

}  // namespace steprail
