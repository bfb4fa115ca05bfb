// Exponential backoff with full jitter. Hundreds of coordinators may lose the same peer at the same moment;
// the jitter keeps them from reconnecting at the same moment.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace steprail {

class Backoff {
 public:
  using Micros = std::chrono::microseconds;
  Backoff(std::uint64_t seed, Micros initial, Micros max)
      : random_(seed), initial_(initial), max_(max), upper_bound_(initial) {}

  // A random delay between zero and an upper bound that doubles with each call, up to `max`.
  Micros next_delay() {
    const Micros delay{std::uniform_int_distribution<Micros::rep>(0, upper_bound_.count())(random_)};
    upper_bound_ = std::min(max_, 2 * upper_bound_);
    return delay;
  }
  void reset() { upper_bound_ = initial_; }

 private:
  std::mt19937_64 random_;
  Micros initial_, max_, upper_bound_;
};

}  // namespace steprail
