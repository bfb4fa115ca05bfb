// A stand-in world for the decision module under a route's figures: engines that answer as they are told to,
// in virtual time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "steprail/gateway.h"

namespace steprail::standin {

using namespace std::chrono_literals;

class RouteWorld {
 public:
  static Settings usual() {
    Settings s;
    s.classes.push_back({.objective = 800ms, .aim_stretch = 2, .hard_limit = 15s});
    s.classes.push_back({.objective = 2s, .hard_limit = 20s, .idempotency = Idempotency::kNone});
    s.kinds.push_back({.cores = 64, .memory_mb = 16384});
    s.may_cancel = true;
    s.max_attempts = 4;
    s.answer_slack = 20ms;
    return s;
  }

  explicit RouteWorld(RouteParameters figures, std::vector<bool> pool = {}, int engines = 4,
                      Settings s = usual())
      : gateway_(7, s), limit_(s.classes[0].hard_limit) {
    feed(Started{});
    ListUpdate list{ListMode::kFull, {}};
    for (int i = 0; i < engines; ++i) list.entries.push_back({.engine = i});
    feed(list);
    figures.id = 1;
    if (!pool.empty()) figures.pool = 0;
    feed(RoutesUpdate{{std::make_shared<const RouteParameters>(figures)}, {pool}});
  }
  // How an attempt ends by itself, and after how long; none: it never does.
  using Fate = std::optional<std::pair<Outcome, Micros>>;
  std::function<Fate(int attempt)> fate = [](int) { return Fate{}; };
  struct Sent {
    int engine{};
    Micros at{0}, patience{0};
  };
  struct Told {
    std::vector<Sent> sent;
    std::optional<Micros> ended;
    bool refused{false}, served{false};
    int out{0}, most_out{0}, answers{0}, priority{1};
    double memory_mb{0};
  };
  std::map<RequestId, Told> told;

  RequestId arrive(int cls = 0, bool no_place = false) {
    const RequestId id = ++last_;
    told[id];
    Arrival arrival;
    arrival.id = id;
    arrival.cls = cls;
    arrival.remaining = limit_;
    arrival.route = 0;
    arrival.route_full = no_place;
    deadline_[id] = now_ + limit_;
    feed(arrival);
    return id;
  }
  void run(Micros until) {
    while (!due_.empty() && due_.begin()->first <= until) {
      now_ = due_.begin()->first;
      const auto what = due_.begin()->second;
      due_.erase(due_.begin());
      what();
    }
    now_ = std::max(now_, until);
  }
  Micros now() const { return now_; }
  void feed(const Event& event) {
    std::vector<Action> actions;
    gateway_.handle(now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<Timer>(&action)) {
        due_.emplace(timer->due, [this, label = timer->label] { feed(TimerFired{label}); });
      } else if (const auto* send = std::get_if<Send>(&action)) {
        Told& one = told[send->id];
        const int attempt = static_cast<int>(one.sent.size());
        one.sent.push_back({send->engine, now_, send->timeout});
        one.most_out = std::max(one.most_out, ++one.out);
        Micros patience = deadline_[send->id] - now_;
        if (send->timeout.count() > 0) patience = std::min(patience, send->timeout);
        const Fate ends = fate(attempt);
        const bool by_itself = ends && ends->second <= patience;
        end(send->id, attempt, send->engine, by_itself ? ends->first : Outcome::kTimedOut,
            by_itself ? ends->second : patience);
      } else if (const auto* terms = std::get_if<SetResources>(&action)) {
        told[terms->id].priority = terms->priority, told[terms->id].memory_mb = terms->memory_mb;
      } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
        end(cancel->id, cancel->attempt, told[cancel->id].sent.back().engine, Outcome::kCancelled, 1ms);
      } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
        ++told[refuse->id].answers;
        told[refuse->id].ended = now_, told[refuse->id].refused = true;
      } else if (const auto* fail = std::get_if<Fail>(&action)) {
        ++told[fail->id].answers;
        told[fail->id].ended = now_;
      }
    }
  }

 private:
  void end(RequestId id, int attempt, int engine, Outcome outcome, Micros after) {
    due_.emplace(now_ + after, [this, id, attempt, engine, outcome, after] {
      Told& one = told[id];
      if (!closed_.insert({id, attempt}).second) return;
      --one.out;
      if (outcome == Outcome::kDelivered && !one.ended) one.ended = now_, one.served = true, ++one.answers;
      AttemptClosed closed;
      closed.id = id, closed.attempt = attempt, closed.engine = engine, closed.outcome = outcome,
      closed.delay = after;
      closed.request_answered = one.ended.has_value();
      feed(closed);
    });
  }
  Gateway gateway_;
  Micros limit_, now_{1};
  std::multimap<Micros, std::function<void()>> due_;
  std::set<std::pair<RequestId, int>> closed_;
  std::map<RequestId, Micros> deadline_;
  RequestId last_{0};
};

}  // namespace steprail::standin
