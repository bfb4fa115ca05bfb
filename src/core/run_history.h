// The ids of requests that must not run twice and that may have run. A client that comes back with such an
// id, on whatever connection, must not have its request run again.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <unordered_map>

#include "steprail/gateway.h"

namespace steprail {

// Times are of a monotonic clock and do not run backwards.
class RunHistory {
 public:
  using Time = std::chrono::steady_clock::time_point;
  // How long an id is known after its attempt has ended.
  static constexpr std::chrono::seconds kRetention{60};

  explicit RunHistory(std::size_t max_ids) : max_ids_(max_ids) {}

  void record(RequestId id, Time now) {
    forget_expired(now);
    const Time until = now + kRetention;
    known_until_[id] = until;
    expiries_.push_back({until, id});
  }
  bool contains(RequestId id, Time now) const {
    const auto at = known_until_.find(id);
    return at != known_until_.end() && now < at->second;
  }
  // True if no further request may run that would have to be recorded.
  bool full(Time now) {
    forget_expired(now);
    return expiries_.size() >= max_ids_;
  }

 private:
  struct Expiry {
    Time at;
    RequestId id{};
  };

  void forget_expired(Time now) {
    while (!expiries_.empty() && expiries_.front().at <= now) {
      const auto at = known_until_.find(expiries_.front().id);
      if (at != known_until_.end() && at->second <= now) known_until_.erase(at);
      expiries_.pop_front();
    }
  }

  std::size_t max_ids_;
  std::unordered_map<RequestId, Time> known_until_;
  std::deque<Expiry> expiries_;  // earliest first
};

}  // namespace steprail
