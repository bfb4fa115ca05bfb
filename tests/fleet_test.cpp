// What is harmless in one gateway and harmful in all of them, one test for each failure met on the days of
// the whole fleet.
#include <deque>
#include <memory>
#include <random>

#include "harness.h"

namespace steprail::testing {
namespace {

Settings fleet() {
  Settings settings = basic_settings();
  settings.gateways = 300;
  settings.report_mode = ReportMode::kPiggyback;
  settings.progress_interval = 500ms;
  return settings;
}

void answer(GatewayFixture& script, RequestId id, const LoadReport& report, Micros delay = 100ms) {
  script.answer(id, delay, report);
}

// Engines that page have idle cores. Every gateway of a fleet took that for room, filled it, and made it
// worse: what an engine says it holds has to close the door, whatever its cores do.
TEST(Fleet, IdleCoresOfAnEngineFullOfWaitingQueriesAreNoRoom) {
  for (const auto& [in_flight, admitted] : std::vector<std::pair<double, int>>{{60, 0}, {1, 1}}) {
    GatewayFixture script(fleet(), 20);
    RequestId id = 0;
    for (; id < 30; ++id) {
      script.arrive(id);
      if (script.count<Send>() == 0) continue;
      script.advance(100ms);
      answer(script, id, {.cpu_utilisation = 0.2, .in_flight = in_flight});
    }
    script.arrive(++id, 1000);
    EXPECT_EQ(script.count<Send>(), admitted) << in_flight << " in hand";
    EXPECT_EQ(script.count<Refuse>(), 1 - admitted) << in_flight << " in hand";
  }
}

// A query that is slow because all engines are gains nothing from beginning anew, and what it has had done is
// lost. Each gateway moved what it had four times over, and the fleet did four times the work for no answer.
TEST(Fleet, SlowQueriesAreMovedOnlyAsOftenAsAnswersAllow) {
  GatewayFixture script(fleet(), 20);
  constexpr int kSlow = 12;
  for (RequestId id = 0; id < kSlow; ++id) script.arrive(id, 100, 0, 20s);
  const auto crawl = [&](RequestId id) {
    for (int attempt = 0; attempt < script.attempt_count[id]; ++attempt)
      script.feed(
          ProgressReport{.id = id, .attempt = attempt, .engine = script.engine_of[id], .value = 0.01});
  };
  int moved = 0;
  script.advance(500ms);
  for (RequestId id = 0; id < kSlow; ++id) {
    crawl(id);
    moved += script.count<Cancel>();
  }
  EXPECT_EQ(moved, 4);  // what the ration holds at the start
  // Answers earn further ones, far fewer than they are themselves.
  for (RequestId id = 100; id < 110; ++id) {
    script.arrive(id);
    script.advance(1ms);
    answer(script, id, {.cpu_utilisation = 0.2, .in_flight = 1.0}, 1ms);
  }
  moved = 0;
  for (RequestId id = 0; id < kSlow; ++id) {
    crawl(id);
    moved += script.count<Cancel>();
  }
  EXPECT_LE(moved, 1);
}

// Serves queries on a calm fleet, so that its gateway believes in engines with so much in hand.
RequestId hear(GatewayFixture& script, RequestId id, int answers, double in_flight) {
  for (int i = 0; i < answers; ++i, ++id) {
    script.arrive(id);
    if (script.count<Send>() == 0) continue;
    script.advance(20ms);
    answer(script, id, {.cpu_utilisation = 0.6, .in_flight = in_flight}, 20ms);
  }
  return id;
}

// Three hundred gateways hear the same of the same engines. Where each lets in all or nothing they swing
// together; the part that they let in must fall with the load.
TEST(Fleet, ThePartThatAllGatewaysLetInFallsWithTheLoadAndIsNeitherAllNorNothing) {
  std::map<double, int> admitted;
  for (const double in_flight : {4.0, 12.0, 14.0, 16.0, 40.0}) {
    for (int own = 0; own < 300; ++own) {
      Settings settings = fleet();
      settings.own_index = own;
      GatewayFixture script(settings, 40, static_cast<std::uint64_t>(own) + 1);
      const RequestId id = hear(script, 0, 30, in_flight);
      script.arrive(id);
      admitted[in_flight] += script.count<Send>();
    }
  }
  EXPECT_EQ(admitted[4], 300);
  EXPECT_GT(admitted[12], admitted[14]);
  EXPECT_GT(admitted[14], admitted[16]);
  EXPECT_GT(admitted[14], 90);
  EXPECT_LT(admitted[14], 270);
  EXPECT_LE(admitted[40], 15);
}

// Thin evidence: one gateway gets some answers a second. What it heard a minute ago, however often, must not
// outweigh what it hears now.
TEST(Fleet, WhatWasHeardLongAgoDoesNotOutweighNews) {
  int admitted = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    GatewayFixture script(fleet(), 40, seed);
    RequestId id = hear(script, 0, 400, 1);
    script.advance(5s);
    std::vector<RequestId> out;
    for (int i = 0; i < 6; ++i) script.arrive(++id), out.push_back(id);
    script.advance(50ms);
    for (const RequestId one : out) answer(script, one, {.cpu_utilisation = 0.2, .in_flight = 60.0}, 50ms);
    script.arrive(++id);
    admitted += script.count<Send>();
  }
  EXPECT_LE(admitted, 4);
}

// An attempt that cannot end in time is given up and answered at once: its engine is freed for those that
// can. A fleet that works on for clients who are gone never gets out of an overload.
TEST(Fleet, AnAttemptThatCannotEndInTimeIsGivenUpAndAnsweredAtOnce) {
  for (const Idempotency effect : {Idempotency::kIdempotent, Idempotency::kNone}) {
    Settings settings = fleet();
    settings.classes[0].idempotency = effect;
    settings.max_attempts = 1;
    GatewayFixture script(settings, 20);
    script.arrive(1, 100, 0, 4s);
    ASSERT_EQ(script.count<Send>(), 1);
    // The whole time that the client has: silence and pace tell of what is lost, not a part of that time.
    EXPECT_EQ(script.first<Send>()->timeout, 0s);
    script.advance(1s);
    script.feed(ProgressReport{.id = 1, .attempt = 0, .engine = script.engine_of[1], .value = 0.2});
    EXPECT_TRUE(script.actions.empty());
    script.feed(ProgressReport{.id = 1, .attempt = 0, .engine = script.engine_of[1], .value = 0.01});
    EXPECT_EQ(script.count<Cancel>(), 1);
    EXPECT_EQ(script.count<Refuse>(), effect == Idempotency::kIdempotent ? 1 : 0);
    EXPECT_EQ(script.count<Fail>(), effect == Idempotency::kNone ? 1 : 0);
    script.feed(AttemptClosed{.id = 1,
                              .attempt = 0,
                              .engine = script.engine_of[1],
                              .outcome = Outcome::kCancelled,
                              .request_answered = true});
    EXPECT_TRUE(script.actions.empty());
  }
}

// One engine starts cold before three hundred gateways, each with a part of what it can take that is under
// one query, with traffic that is thin and uneven, and with seven in ten of them just started. All of them
// together must not push it over, and must not starve it either.
TEST(Fleet, AllGatewaysTogetherDoNotPushAColdEngineOver) {
  constexpr int kGateways = 300, kEngines = 40, kCold = 0;
  constexpr double kWork = 100;
  constexpr Micros kStep = 10ms;
  for (const bool restarted : {false, true}) {
    Settings settings = fleet();
    settings.overload_factor = 4;
    settings.overload_window = 1500ms;
    std::vector<std::unique_ptr<GatewayFixture>> scripts;
    std::vector<double> shares;
    for (int own = 0; own < kGateways; ++own) {
      settings.own_index = own;
      scripts.push_back(
          std::make_unique<GatewayFixture>(settings, kEngines, static_cast<std::uint64_t>(own) + 1));
      shares.push_back(own % 10 == 0 ? 5 : own % 3 == 0 ? 1 : 0.5);
    }
    std::mt19937_64 random(7);
    std::discrete_distribution<int> whose(shares.begin(), shares.end());
    struct Out {
      Micros until{0};
      int gateway{};
      RequestId id{};
    };
    std::deque<Out> out;
    std::vector<Micros> sent;
    const Micros came_up = 2s, end = came_up + 5s;
    RequestId next = 0;
    int taken = 0, admitted = 0;
    for (Micros now = 1s; now < end; now += kStep) {
      if (now == came_up) {
        for (int own = 0; own < kGateways; ++own) {
          auto& script = scripts[static_cast<std::size_t>(own)];
          if (restarted && own % 10 < 7) {
            settings.own_index = own;
            script =
                std::make_unique<GatewayFixture>(settings, kEngines, static_cast<std::uint64_t>(own) + 1000);
            script->now = now;
            std::erase_if(out, [own](const Out& o) { return o.gateway == own; });
          }
          script->feed(
              ListUpdate{.mode = ListMode::kIncremental, .entries = {{.engine = kCold, .started_at = now}}});
        }
      }
      for (auto& script : scripts) script->advance(now - script->now);
      while (!out.empty() && out.front().until <= now) {
        GatewayFixture& script = *scripts[static_cast<std::size_t>(out.front().gateway)];
        const bool cold = script.engine_of[out.front().id] == kCold;
        answer(script, out.front().id, {.cpu_utilisation = cold ? 0.2 : 0.6, .in_flight = cold ? 1.0 : 5.0});
        out.pop_front();
      }
      for (int i = 0; i < 20; ++i) {
        const int gateway = whose(random);
        GatewayFixture& script = *scripts[static_cast<std::size_t>(gateway)];
        script.arrive(++next, kWork);
        ++taken;
        if (script.count<Send>() == 0) continue;
        ++admitted;
        out.push_back({now + 100ms, gateway, next});
        if (script.engine_of[next] == kCold && now >= came_up) sent.push_back(now);
      }
    }
    // What it can do at its coldest, for the length of a window.
    const double budget =
        settings.overload_factor * settings.kinds[0].cores * settings.slow_start_share * 1500;
    std::size_t from = 0;
    for (std::size_t to = 0; to < sent.size(); ++to) {
      while (sent[to] - sent[from] > settings.overload_window) ++from;
      EXPECT_LT(kWork * static_cast<double>(to - from + 1), budget) << restarted;
    }
    EXPECT_GT(sent.size(), 30u) << restarted;
    EXPECT_GT(admitted, taken * 9 / 10) << restarted;
  }
}

}  // namespace
}  // namespace steprail::testing
