// Pauses between tries: exponential, with full jitter. What makes hundreds of coordinators lose the same peer
// at the same moment must not make them all come back at the same moment.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace steprail {

class Backoff {
 public:
  using Micros = std::chrono::microseconds;
  Backoff(std::uint64_t seed, Micros first, Micros most)
      : random_(seed), first_(first), most_(most), reach_(first) {}

  // Anything up to a reach that doubles from try to try.
  Micros next() {
    const Micros pause{std::uniform_int_distribution<Micros::rep>(0, reach_.count())(random_)};
    reach_ = std::min(most_, 2 * reach_);
    return pause;
  }
  void reset() { reach_ = first_; }

 private:
  std::mt19937_64 random_;
  Micros first_, most_, reach_;
};

}  // namespace steprail
