// Test fixture for the decision module: feeds events to one Gateway under a simulated clock, and keeps its
// actions.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "steprail/gateway.h"

namespace steprail::testing {

using namespace std::chrono_literals;

inline Settings basic_settings() {
  Settings s;
  s.classes.push_back({.objective = 800ms, .aim_stretch = 2, .hard_limit = 4s});
  s.classes.push_back(
      {.objective = 2s, .hard_limit = 20s, .idempotency = Idempotency::kNone, .keep_order = true});
  s.classes.push_back({.objective = 2s,
                       .hard_limit = 20s,
                       .idempotency = Idempotency::kByKey,
                       .dedup_scope = DedupScope::kZone,
                       .dedup_window = 5s});
  s.kinds.push_back({.cores = 8, .memory_mb = 16384});
  s.zone_count = 2;
  s.own_zone = 0;
  s.may_cancel = true;
  s.max_attempts = 4;
  s.reports_cost = true;
  s.answer_slack = 20ms;
  s.drain_grace = 250ms;
  s.slow_start_share = 0.3;
  s.slow_start_time = 15s;
  s.overload_factor = 2;
  s.overload_window = 2s;
  s.settle_time = 500ms;
  return s;
}

// Starts with `engines` ready engines of kind 0 in zone 0, and with the clock at 1 s.
class GatewayFixture {
 public:
  explicit GatewayFixture(const Settings& settings, int engines = 1, std::uint64_t seed = 1)
      : gateway(seed, settings) {
    feed(Started{});
    ListUpdate update{.mode = ListMode::kSaved, .entries = {}};
    for (int i = 0; i < engines; ++i) update.entries.push_back({.engine = i});
    feed(update);
  }

  // Returns the actions of this event alone.
  const std::vector<Action>& feed(const Event& event) {
    actions.clear();
    gateway.handle(now, event, actions);
    all_actions.insert(all_actions.end(), actions.begin(), actions.end());
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<Timer>(&action)) timers.push_back(*timer);
      if (const auto* send = std::get_if<Send>(&action))
        ++attempt_count[send->id], engine_of[send->id] = send->engine;
    }
    return actions;
  }

  // Advances the clock and fires the timers that fall due.
  void advance(Micros span) {
    const Micros until = now + span;
    while (true) {
      std::size_t first = timers.size();
      for (std::size_t i = 0; i < timers.size(); ++i) {
        if (timers[i].due <= until && (first == timers.size() || timers[i].due < timers[first].due))
          first = i;
      }
      if (first == timers.size()) break;
      const Timer timer = timers[first];
      timers.erase(timers.begin() + static_cast<std::ptrdiff_t>(first));
      now = std::max(now, timer.due);
      feed(TimerFired{timer.label});
    }
    now = until;
  }

  const std::vector<Action>& arrive(RequestId id, double estimate = 100, int cls = 0, Micros remaining = 4s) {
    return feed(Arrival{.id = id, .cls = cls, .remaining = remaining, .estimate_ms = estimate});
  }
  // A request of class 1, whose requests with equal keys run in the order of arrival.
  const std::vector<Action>& arrive_ordered(RequestId id, std::uint64_t key, Micros remaining = 20s) {
    return feed(Arrival{.id = id, .cls = 1, .key = key, .remaining = remaining, .estimate_ms = 100});
  }

  // Closes the request's latest attempt. Only a delivered one answers the request.
  const std::vector<Action>& close(RequestId id, Outcome outcome, Micros delay = 100ms, double work = 100) {
    const bool delivered = outcome == Outcome::kDelivered;
    return feed(AttemptClosed{.id = id,
                              .attempt = attempt_count[id] - 1,
                              .engine = engine_of[id],
                              .outcome = outcome,
                              .delay = delay,
                              .request_answered = delivered,
                              .actual_work_ms = delivered ? work : 0,
                              .report = {}});
  }

  // Closes the request's latest attempt as delivered, with the engine's load report.
  void answer(RequestId id, Micros delay, const LoadReport& report) {
    feed(AttemptClosed{.id = id,
                       .attempt = attempt_count[id] - 1,
                       .engine = engine_of[id],
                       .outcome = Outcome::kDelivered,
                       .delay = delay,
                       .request_answered = true,
                       .actual_work_ms = 100,
                       .report = report});
  }

  // A request that is answered after `delay`.
  void serve(RequestId id, Micros delay, double work = 100) {
    arrive(id, work);
    advance(delay);
    close(id, Outcome::kDelivered, delay, work);
  }

  // Actions of type A of the last event.
  template <typename A>
  int count() const {
    int matches = 0;
    for (const Action& action : actions) matches += std::holds_alternative<A>(action);
    return matches;
  }
  // Actions of type A of all events.
  template <typename A>
  int count_all() const {
    int matches = 0;
    for (const Action& action : all_actions) matches += std::holds_alternative<A>(action);
    return matches;
  }
  // First action of type A of the last event; null: none.
  template <typename A>
  const A* first() const {
    for (const Action& action : actions) {
      if (const A* match = std::get_if<A>(&action)) return match;
    }
    return nullptr;
  }

  int served{};  // for the tests to count in
  Gateway gateway;
  Micros now{1s};
  std::vector<Action> actions, all_actions;  // of the last event; of all events
  std::vector<Timer> timers;
  std::map<RequestId, int> attempt_count, engine_of;  // by request; of its latest attempt
};

}  // namespace steprail::testing
