// Scripted events in, actions out.
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
  s.classes.push_back({.objective = 2s, .hard_limit = 20s, .effect = Effect::kOnce, .keep_order = true});
  s.classes.push_back({.objective = 2s,
                       .hard_limit = 20s,
                       .effect = Effect::kByKey,
                       .dedup_scope = Scope::kZone,
                       .dedup_window = 5s});
  s.kinds.push_back({.cores = 8, .memory_mb = 16384});
  s.zone_count = 2;
  s.own_zone = 0;
  s.may_cancel = true;
  s.most_tries = 4;
  s.tells_cost = true;
  s.answer_slack = 20ms;
  s.drain_grace = 250ms;
  s.cold_from = 0.3;
  s.cold_for = 15s;
  s.overload_factor = 2;
  s.fall_after = 2s;
  s.settle_after_doubt = 500ms;
  return s;
}

class Script {
 public:
  explicit Script(const Settings& settings, int engines = 1, std::uint64_t seed = 1)
      : gateway(seed, settings) {
    feed(Started{});
    ListNews news{.mode = ListMode::kSaved, .entries = {}};
    for (int i = 0; i < engines; ++i) news.entries.push_back({.engine = i});
    feed(news);
  }

  const std::vector<Action>& feed(const Event& event) {
    actions.clear();
    gateway.handle(now, event, actions);
    all.insert(all.end(), actions.begin(), actions.end());
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<Timer>(&action)) timers.push_back(*timer);
      if (const auto* send = std::get_if<Send>(&action)) ++attempts[send->id], at[send->id] = send->engine;
    }
    return actions;
  }

  // Runs the clock, firing the timers that fall due.
  void wait(Micros span) {
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
      feed(Alarm{timer.label});
    }
    now = until;
  }

  const std::vector<Action>& arrive(RequestId id, double estimate = 100, int cls = 0, Micros left = 4s) {
    return feed(Arrival{.id = id, .cls = cls, .left = left, .estimate_ms = estimate});
  }
  const std::vector<Action>& arrive_keyed(RequestId id, std::uint64_t key, Micros left = 20s) {
    return feed(Arrival{.id = id, .cls = 1, .key = key, .left = left, .estimate_ms = 100});
  }

  // Closes the request's latest attempt.
  const std::vector<Action>& close(RequestId id, Outcome outcome, Micros delay = 100ms, double work = 100) {
    const bool done = outcome == Outcome::kDelivered;
    return feed(Closed{.id = id,
                       .attempt = attempts[id] - 1,
                       .engine = at[id],
                       .outcome = outcome,
                       .delay = delay,
                       .ended = done,
                       .true_work_ms = done ? work : 0,
                       .report = {}});
  }

  // Answers the request's latest attempt, with the engine's report.
  void answer(RequestId id, Micros delay, const LoadReport& report) {
    feed(Closed{.id = id,
                .attempt = attempts[id] - 1,
                .engine = at[id],
                .outcome = Outcome::kDelivered,
                .delay = delay,
                .ended = true,
                .true_work_ms = 100,
                .report = report});
  }

  // One query admitted, answered after `delay`.
  void serve(RequestId id, Micros delay, double work = 100) {
    arrive(id, work);
    wait(delay);
    close(id, Outcome::kDelivered, delay, work);
  }

  template <typename A>
  int count() const {
    int n = 0;
    for (const Action& action : actions) n += std::holds_alternative<A>(action);
    return n;
  }
  template <typename A>
  int count_all() const {
    int n = 0;
    for (const Action& action : all) n += std::holds_alternative<A>(action);
    return n;
  }
  template <typename A>
  const A* first() const {
    for (const Action& action : actions) {
      if (const A* found = std::get_if<A>(&action)) return found;
    }
    return nullptr;
  }

  int served{};
  Gateway gateway;
  Micros now{1s};
  std::vector<Action> actions, all;
  std::vector<Timer> timers;
  std::map<RequestId, int> attempts, at;
};

}  // namespace steprail::testing
