// Admission of devices when many connect at once: a rate limit (GCRA) and a bounded queue in order of
// deadlines. Devices that do not fit are told when to retry, with jitter so that they do not all return at
// the same time.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <unordered_map>
#include <vector>

namespace steprail::edge {

using Micros = std::chrono::microseconds;

struct AdmissionSettings {
  double rate_per_second{500};  // admissions
  double burst{100};
  std::size_t max_waiting{1000};
  Micros max_wait{3'000'000};  // in the queue
  bool operator==(const AdmissionSettings&) const = default;
};

class AdmissionGate {
 public:
  AdmissionGate(AdmissionSettings settings, std::uint64_t seed) : settings_(settings), random_(seed) {}
  void set_settings(const AdmissionSettings& settings) { settings_ = settings; }

  struct Deferred {
    std::uint64_t id{};
    Micros retry_after{0};
  };
  // Queues a device; earlier deadlines are admitted first. If the queue is full, the entry with the latest
  // deadline goes to `deferred`.
  void enqueue(std::uint64_t id, Micros deadline, Micros now, std::vector<Deferred>& deferred) {
    const auto at = waiting_.emplace(deadline, Waiting{id, now});
    positions_[id] = at;
    if (waiting_.size() <= settings_.max_waiting) return;
    const auto last = std::prev(waiting_.end());
    deferred.push_back({last->second.id, next_retry_after()});
    erase_entry(last);
  }
  void remove(std::uint64_t id) {
    const auto at = positions_.find(id);
    if (at != positions_.end()) erase_entry(at->second);
  }
  // Admits as many as the rate allows now, and defers those that have waited longer than max_wait.
  void admit(Micros now, std::vector<std::uint64_t>& admitted, std::vector<Deferred>& deferred) {
    while (!waiting_.empty() && conforms(now)) {
      admitted.push_back(waiting_.begin()->second.id);
      erase_entry(waiting_.begin());
    }
    while (!waiting_.empty()) {
      // Only the entry with the latest deadline is tested: it is the one that would be admitted last.
      const auto last = std::prev(waiting_.end());
      if (now - last->second.waiting_since <= settings_.max_wait) break;
      deferred.push_back({last->second.id, next_retry_after()});
      erase_entry(last);
    }
  }
  std::optional<Micros> next_wakeup(Micros now) const {
    if (waiting_.empty()) return std::nullopt;
    return std::max(now + Micros{1000}, theoretical_arrival_ - tolerance());
  }
  std::size_t waiting_count() const { return waiting_.size(); }

 private:
  struct Waiting {
    std::uint64_t id{};
    Micros waiting_since{0};
  };
  using Queue = std::multimap<Micros, Waiting>;
  Micros interval() const { return Micros{static_cast<std::int64_t>(1e6 / settings_.rate_per_second)}; }
  Micros tolerance() const {
    return Micros{
        static_cast<std::int64_t>(1e6 / settings_.rate_per_second * std::max(0.0, settings_.burst - 1))};
  }
  // GCRA: the theoretical arrival time may be ahead of now by the tolerance at most.
  bool conforms(Micros now) {
    const Micros theoretical = std::max(theoretical_arrival_, now);
    if (theoretical - now > tolerance()) return false;
    theoretical_arrival_ = theoretical + interval();
    return true;
  }
  // The time to admit all that are queued, plus a random jitter of up to as long again.
  Micros next_retry_after() {
    deferred_count_ = deferred_count_ + 1;
    const double queue_us = static_cast<double>(waiting_.size()) / settings_.rate_per_second * 1e6;
    const double jitter_us = queue_us * static_cast<double>(random_()) / 4294967296.0;
    return Micros{static_cast<std::int64_t>(queue_us + jitter_us) + 100'000};
  }
  void erase_entry(Queue::iterator at) {
    positions_.erase(at->second.id);
    waiting_.erase(at);
  }

  AdmissionSettings settings_;
  pcg32 random_;
  Queue waiting_;
  std::unordered_map<std::uint64_t, Queue::iterator> positions_;
  Micros theoretical_arrival_{0};
  std::uint64_t deferred_count_{0};
};

}  // namespace steprail::edge
