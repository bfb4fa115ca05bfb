// Who comes in when many come at once: a set rate (GCRA), and a waiting room in the order of deadlines. Those
// for whom there is no room are told when to come back, spread out so that they do not all come at once
// again.
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

struct GateSettings {
  double rate{500};  // a second
  double burst{100};
  std::size_t waiting_most{1000};
  Micros wait_most{3'000'000};  // in the waiting room
  bool operator==(const GateSettings&) const = default;
};

class Gate {
 public:
  Gate(GateSettings settings, std::uint64_t seed) : settings_(settings), random_(seed) {}
  void set(const GateSettings& settings) { settings_ = settings; }

  struct Turned {
    std::uint64_t who{};
    Micros later{0};
  };
  // One more who would come in; the nearer the deadline, the sooner. `turned` are those for whom there is no
  // room.
  void arrive(std::uint64_t who, Micros deadline, Micros now, std::vector<Turned>& turned) {
    const auto at = waiting_.emplace(deadline, Waiting{who, now});
    places_[who] = at;
    if (waiting_.size() <= settings_.waiting_most) return;
    const auto last = std::prev(waiting_.end());
    turned.push_back({last->second.who, later()});
    leave(last);
  }
  void gone(std::uint64_t who) {
    const auto at = places_.find(who);
    if (at != places_.end()) leave(at->second);
  }
  // Those whose turn it is now, and those who have waited for too long.
  void admit(Micros now, std::vector<std::uint64_t>& in, std::vector<Turned>& turned) {
    while (!waiting_.empty() && conforms(now)) {
      in.push_back(waiting_.begin()->second.who);
      leave(waiting_.begin());
    }
    while (!waiting_.empty()) {
      // The one farthest from its deadline has waited at least as long as any that is kept for later.
      const auto last = std::prev(waiting_.end());
      if (now - last->second.since <= settings_.wait_most) break;
      turned.push_back({last->second.who, later()});
      leave(last);
    }
  }
  std::optional<Micros> next(Micros now) const {
    if (waiting_.empty()) return std::nullopt;
    return std::max(now + Micros{1000}, arrival_ - tolerance());
  }
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Waiting {
    std::uint64_t who{};
    Micros since{0};
  };
  using Queue = std::multimap<Micros, Waiting>;
  Micros interval() const { return Micros{static_cast<std::int64_t>(1e6 / settings_.rate)}; }
  Micros tolerance() const {
    return Micros{static_cast<std::int64_t>(1e6 / settings_.rate * std::max(0.0, settings_.burst - 1))};
  }
  // GCRA: the theoretical arrival time may run ahead of now by the tolerance, no farther.
  bool conforms(Micros now) {
    const Micros theoretical = std::max(arrival_, now);
    if (theoretical - now > tolerance()) return false;
    arrival_ = theoretical + interval();
    return true;
  }
  // Behind all who wait already and those sent away before, with jitter over as long again.
  Micros later() {
    sent_away_ = sent_away_ + 1;
    const double ahead = static_cast<double>(waiting_.size()) / settings_.rate * 1e6;
    const double jitter = ahead * static_cast<double>(random_()) / 4294967296.0;
    return Micros{static_cast<std::int64_t>(ahead + jitter) + 100'000};
  }
  void leave(Queue::iterator at) {
    places_.erase(at->second.who);
    waiting_.erase(at);
  }

  GateSettings settings_;
  pcg32 random_;
  Queue waiting_;
  std::unordered_map<std::uint64_t, Queue::iterator> places_;
  Micros arrival_{0};
  std::uint64_t sent_away_{0};
};

}  // namespace steprail::edge
