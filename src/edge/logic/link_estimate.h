// What is known of one link: its round trip (RFC 6298), whether the other side still lives (a suspicion that
// grows with silence, after Hayashibara's phi accrual detector), and how much to send at a time.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace steprail::edge {

using Micros = std::chrono::microseconds;

class RoundTrip {
 public:
  void sample(Micros trip) {
    if (srtt_.count() == 0) {
      srtt_ = trip;
      var_ = trip / 2;
    } else {
      const Micros off = srtt_ > trip ? srtt_ - trip : trip - srtt_;
      var_ = (3 * var_ + off) / 4;
      srtt_ = (7 * srtt_ + trip) / 8;
    }
    backoff_ = 0;
  }
  // Karn's rule: what was sent twice gives no sample, and each time-out doubles the next.
  void timed_out() { backoff_ = std::min(backoff_ + 1, 6); }
  Micros smoothed() const { return srtt_; }
  Micros timeout() const {
    if (srtt_.count() == 0) return kFirst;
    const Micros base = srtt_ + std::max(kGranularity, 4 * var_);
    return std::clamp(base, kLeast, kMost) * (1 << backoff_) > kMost
               ? kMost
               : std::clamp(base, kLeast, kMost) * (1 << backoff_);
  }

 private:
  static constexpr Micros kFirst{1'000'000}, kLeast{200'000}, kMost{20'000'000}, kGranularity{10'000};
  Micros srtt_{0}, var_{0};
  int backoff_{0};
};

// Suspicion is -log10 of the chance that a living peer would have been silent for so long, if its pauses are
// normally distributed as those seen lately.
class Suspicion {
 public:
  explicit Suspicion(Micros first = Micros{5'000'000}) : mean_(static_cast<double>(first.count())) {
    deviation_ = mean_ / 4;
  }
  void heard(Micros now) {
    if (last_.count() > 0) {
      const auto pause = static_cast<double>((now - last_).count());
      const double off = pause - mean_;
      mean_ += kWeight * off;
      deviation_ += kWeight * (std::abs(off) - deviation_);
    }
    last_ = now;
  }
  double phi(Micros now) const {
    if (last_.count() == 0) return 0;
    const double spread = std::max(deviation_, mean_ / 8 + 50'000);
    const double y = (static_cast<double>((now - last_).count()) - mean_) / spread;
    // The logistic approximation to the normal tail.
    const double e =
        std::exp(-std::min(y, 40.0) * (1.5976 + 0.070566 * std::min(y, 40.0) * std::min(y, 40.0)));
    const double tail = y > 0 ? e / (1 + e) : 1 - 1 / (1 + e);
    return -std::log10(std::max(tail, 1e-300));
  }
  // When the suspicion will have passed `threshold`, if nothing is heard until then.
  Micros until(double threshold, Micros now) const {
    Micros low = now, high = now + Micros{120'000'000};
    if (phi(low) >= threshold) return now;
    while (high - low > Micros{10'000}) {
      const Micros middle = low + (high - low) / 2;
      (phi(middle) >= threshold ? high : low) = middle;
    }
    return high;
  }

 private:
  static constexpr double kWeight = 0.1;
  double mean_, deviation_;
  Micros last_{0};
};

// Bytes of rows a message: what the link carries in a quarter of a second, so that a cut costs little and a
// slow link still sees its acknowledgements come.
class PageSize {
 public:
  PageSize(std::uint32_t least, std::uint32_t most) : least_(least), most_(most), bytes_(least) {}
  void delivered(std::uint64_t bytes, Micros in) {
    if (in.count() <= 0) return;
    const double rate = static_cast<double>(bytes) / static_cast<double>(in.count());
    rate_ = rate_ == 0 ? rate : rate_ + 0.25 * (rate - rate_);
    bytes_ = static_cast<std::uint32_t>(
        std::clamp(rate_ * 250'000, static_cast<double>(least_), static_cast<double>(most_)));
  }
  void cut() { bytes_ = std::max(least_, bytes_ / 2), rate_ /= 2; }
  std::uint32_t bytes() const { return bytes_; }

 private:
  std::uint32_t least_, most_, bytes_;
  double rate_{0};  // bytes a microsecond
};

}  // namespace steprail::edge
