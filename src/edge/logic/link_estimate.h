// Estimates for one link: its round-trip time (RFC 6298), whether the peer is still alive (Hayashibara's phi
// accrual failure detector), and how many bytes to send per message.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace steprail::edge {

using Micros = std::chrono::microseconds;

class RttEstimator {
 public:
  void add_sample(Micros rtt) {
    if (srtt_.count() == 0) {
      srtt_ = rtt;
      rttvar_ = rtt / 2;
    } else {
      const Micros deviation = srtt_ > rtt ? srtt_ - rtt : rtt - srtt_;
      rttvar_ = (3 * rttvar_ + deviation) / 4;
      srtt_ = (7 * srtt_ + rtt) / 8;
    }
    backoff_shift_ = 0;
  }
  // Karn's algorithm: a retransmitted message gives no sample, and each timeout doubles the next.
  void on_timeout() { backoff_shift_ = std::min(backoff_shift_ + 1, 6); }
  Micros smoothed() const { return srtt_; }
  Micros timeout() const {
    if (srtt_.count() == 0) return kInitial;
    const Micros base = srtt_ + std::max(kGranularity, 4 * rttvar_);
    return std::clamp(base, kMin, kMax) * (1 << backoff_shift_) > kMax
               ? kMax
               : std::clamp(base, kMin, kMax) * (1 << backoff_shift_);
  }

 private:
  static constexpr Micros kInitial{1'000'000}, kMin{200'000}, kMax{20'000'000}, kGranularity{10'000};
  Micros srtt_{0}, rttvar_{0};
  int backoff_shift_{0};
};

// Phi accrual failure detector: phi is -log10 of the probability that a live peer is silent for this long,
// if the intervals between its messages are normally distributed with the recent mean and deviation.
class FailureDetector {
 public:
  explicit FailureDetector(Micros initial_interval = Micros{5'000'000})
      : mean_(static_cast<double>(initial_interval.count())) {
    deviation_ = mean_ / 4;
  }
  void on_heard(Micros now) {
    if (last_heard_at_.count() > 0) {
      const auto interval = static_cast<double>((now - last_heard_at_).count());
      const double deviation = interval - mean_;
      mean_ += kWeight * deviation;
      deviation_ += kWeight * (std::abs(deviation) - deviation_);
    }
    last_heard_at_ = now;
  }
  double phi(Micros now) const {
    if (last_heard_at_.count() == 0) return 0;
    const double effective_deviation = std::max(deviation_, mean_ / 8 + 50'000);
    const double z = (static_cast<double>((now - last_heard_at_).count()) - mean_) / effective_deviation;
    // Logistic approximation of the tail of the normal distribution.
    const double odds =
        std::exp(-std::min(z, 40.0) * (1.5976 + 0.070566 * std::min(z, 40.0) * std::min(z, 40.0)));
    const double tail = z > 0 ? odds / (1 + odds) : 1 - 1 / (1 + odds);
    return -std::log10(std::max(tail, 1e-300));
  }
  // When phi reaches `threshold` if nothing is heard until then, to within 10 ms; at most two minutes ahead.
  Micros suspected_at(double threshold, Micros now) const {
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
  Micros last_heard_at_{0};
};

// Bytes of rows per message: what the link carries in a quarter of a second, so that a disconnect loses
// little and acknowledgements keep arriving on a slow link.
class PageSizer {
 public:
  PageSizer(std::uint32_t min_bytes, std::uint32_t max_bytes)
      : min_bytes_(min_bytes), max_bytes_(max_bytes), bytes_(min_bytes) {}
  void on_delivered(std::uint64_t bytes, Micros duration) {
    if (duration.count() <= 0) return;
    const double bytes_per_us = static_cast<double>(bytes) / static_cast<double>(duration.count());
    bytes_per_us_ = bytes_per_us_ == 0 ? bytes_per_us : bytes_per_us_ + 0.25 * (bytes_per_us - bytes_per_us_);
    bytes_ = static_cast<std::uint32_t>(std::clamp(bytes_per_us_ * 250'000, static_cast<double>(min_bytes_),
                                                   static_cast<double>(max_bytes_)));
  }
  void on_disconnect() { bytes_ = std::max(min_bytes_, bytes_ / 2), bytes_per_us_ /= 2; }
  std::uint32_t bytes() const { return bytes_; }

 private:
  std::uint32_t min_bytes_, max_bytes_, bytes_;
  double bytes_per_us_{0};
};

}  // namespace steprail::edge
