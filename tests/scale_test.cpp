// Many gateways before a pool: what one of them does, and what all of them do together.
#include <cmath>
#include <set>

#include "harness.h"

namespace steprail::testing {
namespace {

Settings crowded(int gateways, int own = 0) {
  Settings settings = basic_settings();
  settings.gateways = gateways;
  settings.own_number = own;
  settings.reports = Reports::kPiggyback;
  return settings;
}

void answer(Script& script, RequestId id, Micros delay, double in_flight) {
  script.answer(id, delay, {.in_flight = in_flight});
}

// Eight cores of one-thread queries hold eight at once: the bound is split between no more gateways than
// that.
TEST(Scale, ABoundIsSplitBetweenNoMoreGatewaysThanAnEngineHoldsQueries) {
  const double eight = Script(crowded(8)).gateway.backlog_bound(0);
  EXPECT_EQ(eight, 853);
  // Held back at first by six tenths of the part of the gateways that it has no room for.
  EXPECT_EQ(Script(crowded(9)).gateway.backlog_bound(0), std::floor(853 * (1 - 0.6 / 9)));
  const double many = std::floor(853 * (1 - 0.6 * 292 / 300));
  EXPECT_EQ(Script(crowded(300), 80).gateway.backlog_bound(79), many);
  EXPECT_EQ(Script(crowded(300), 2).gateway.backlog_bound(0), many);
}

TEST(Scale, HeavyQueriesAreAdmittedToAnEmptyPoolAndRefusedBeforeLightOnes) {
  for (const auto& [gateways, engines] : std::vector<std::pair<int, int>>{{1, 1}, {300, 80}, {300, 2}}) {
    Script script(crowded(gateways), engines);
    script.arrive(1, 600);
    EXPECT_EQ(script.count<Send>(), 1) << gateways << " before " << engines;
    script.arrive(2, 1e6);
    EXPECT_EQ(script.count<Refuse>(), 1) << gateways << " before " << engines;
    script.arrive(3, 100);
    EXPECT_EQ(script.count<Send>(), 1) << gateways << " before " << engines;
  }
}

TEST(Scale, OneFinishASecondMovesNoBoundAndEightMoveAll) {
  Script script(crowded(300), 20);
  const double start = script.gateway.backlog_bound(0);
  RequestId id = 0;
  for (; id < 4; ++id) {
    script.arrive(id);
    script.wait(2s);
    answer(script, id, 2s, 4);
  }
  EXPECT_EQ(script.gateway.backlog_bound(0), start);
  for (; id < 12; ++id) {
    script.arrive(id);
    script.wait(2s);
    answer(script, id, 2s, 4);
  }
  script.wait(2s);
  for (int i = 0; i < 20; ++i) EXPECT_LT(script.gateway.backlog_bound(i), start) << i;
}

TEST(Scale, OverdueAttemptsStillOutLowerTheBounds) {
  Script script(crowded(300), 20);
  const double start = script.gateway.backlog_bound(0);
  for (RequestId id = 0; id < 12; ++id) script.arrive(id, 100, 0, 20s);
  script.wait(3s);
  EXPECT_LT(script.gateway.backlog_bound(0), start);
}

TEST(Scale, AGatewayWorksMainlyOnASubsetAndAllSubsetsTogetherAreEven) {
  std::map<int, int> firsts;
  for (int own = 0; own < 300; ++own) {
    Script script(crowded(300, own), 60, static_cast<std::uint64_t>(own) + 1);
    std::map<int, int> used;
    for (RequestId id = 0; id < 40; ++id) {
      script.arrive(id, 10);
      ++used[script.at[id]];
      answer(script, id, 10ms, 2);
      script.wait(300ms);
    }
    int mine = 0;
    std::vector<int> counts;
    for (const auto& [_, n] : used) counts.push_back(n);
    std::sort(counts.rbegin(), counts.rend());
    for (std::size_t i = 0; i < counts.size() && i < 11; ++i) mine += counts[i];
    EXPECT_GE(mine, 30) << own;
    for (const auto& [engine, n] : used) firsts[engine] += n;
  }
  EXPECT_EQ(firsts.size(), 60U);
  for (const auto& [engine, n] : firsts) {
    EXPECT_GT(n, 200 / 3) << engine;
    EXPECT_LT(n, 200 * 3) << engine;
  }
}

TEST(Scale, AFewGatewaysUseAllEngines) {
  Script script(crowded(3), 8);
  std::set<int> used;
  for (RequestId id = 0; id < 200; ++id) {
    script.arrive(id, 10);
    used.insert(script.at[id]);
    script.close(id, Outcome::kDelivered, 10ms, 10);
  }
  EXPECT_EQ(used.size(), 8U);
}

TEST(Scale, WhatOthersHaveOnAnEngineTakesUpTheBoundUntilTheReportsAge) {
  Script script(crowded(300), 4);
  for (RequestId id = 0; id < 8; ++id) {
    script.arrive(id, 100);
    answer(script, id, 100ms, 60);
  }
  script.arrive(50, 100);
  EXPECT_EQ(script.count<Refuse>(), 1) << "full of other gateways' queries";
  script.wait(20s);
  script.arrive(51, 100);
  EXPECT_EQ(script.count<Send>(), 1) << "old news shuts nobody out";
}

// Reports of busy cores miss queries that stand still: the engine's own "full" is believed over them for a
// while.
TEST(Scale, AFullEngineCountsAsLoadedUntilThatIsOldNews) {
  Script script(crowded(300), 1);
  script.arrive(1, 100);
  script.close(1, Outcome::kShed);
  script.arrive(2, 100);
  EXPECT_EQ(script.count<Send>(), 0);
  EXPECT_EQ(script.count<Refuse>(), 1);
  script.wait(20s);
  script.arrive(3, 100);
  EXPECT_EQ(script.count<Send>(), 1);
}

TEST(Scale, AnIdleEngineTakesMoreThanItsSplit) {
  Script script(crowded(300), 1);
  const double dear = 1.5 * script.gateway.backlog_bound(0);
  for (RequestId id = 0; id < 6; ++id) {
    script.arrive(id, 100);
    answer(script, id, 100ms, 8);
  }
  script.arrive(50, dear);
  EXPECT_EQ(script.count<Refuse>(), 1);
  for (RequestId id = 60; id < 63; ++id) {
    script.arrive(id, 100);
    answer(script, id, 100ms, 0);
  }
  script.arrive(70, dear);
  EXPECT_EQ(script.count<Send>(), 1);
}

TEST(Scale, ATenantOfOneRequestInFiveSecondsIsNotOverItsShareByChance) {
  Settings settings = crowded(300);
  settings.tenants.push_back({.quota_rps = 60, .share = 1});
  Script script(settings);
  const double dear = 0.9 * script.gateway.backlog_bound(0);  // over-share tenants may fill half
  for (RequestId id = 0; id < 5; ++id) {
    script.feed(Arrival{.id = id, .tenant = 0, .left = 4s, .estimate_ms = dear});
    EXPECT_EQ(script.count<Send>(), 1) << id;
    script.close(id, Outcome::kDelivered, 100ms, dear);
    script.wait(500ms);
  }
}

TEST(Scale, TrialsAndProbesOfShunnedEnginesAreFewToTheArrivals) {
  Settings settings = crowded(300);
  settings.may_probe = true;
  Script script(settings, 40);
  RequestId id = 0;
  for (; id < 400; ++id) {
    script.arrive(id, 10);
    if (script.at.contains(id) && script.at[id] % 3 == 0) {
      script.close(id, Outcome::kDialFailed);
    } else {
      script.close(id, Outcome::kDelivered, 10ms, 10);
    }
    if (id % 4 == 0) script.wait(1s);
  }
  const int probes = script.count_all<Probe>();
  EXPECT_GT(probes, 0);
  EXPECT_LE(probes, static_cast<int>(id) / 10 + 5);
}

// The sum is the rule: what all gateways send one cold engine within any window stays under its budget,
// though a gateway's share of that is a fraction of one query; and the engine does not stand idle.
TEST(Scale, AColdEngineIsUsedWithinTheBudgetOfAllGatewaysTogether) {
  const int gateways = 300;
  Settings settings = crowded(gateways);
  std::vector<Script> scripts;
  scripts.reserve(gateways);
  for (int own = 0; own < gateways; ++own) {
    settings.own_number = own;
    scripts.emplace_back(settings, 0, 1000 + static_cast<std::uint64_t>(own));
    ListNews news{.mode = ListMode::kFull, .entries = {}};
    news.entries.push_back({.engine = 0, .came_up = 1s});
    scripts.back().feed(news);
  }
  std::vector<std::pair<Micros, double>> sent;
  RequestId id = 0;
  for (int step = 0; step < 140; ++step) {
    for (Script& script : scripts) {
      script.now = 1s + step * 100ms;
      if ((step + static_cast<int>(id++)) % 3 != 0) continue;
      const RequestId mine = static_cast<RequestId>(step);
      script.arrive(mine, 200);
      if (script.count<Send>() == 0) continue;
      sent.emplace_back(script.now, 200.0);
      script.close(mine, Outcome::kDelivered, 100ms, 200);
    }
  }
  const double budget = 2 * 8 * 0.85 * 0.3 * 2000;
  double most = 0;
  for (const auto& [from, _] : sent) {
    double within = 0;
    for (const auto& [at, work] : sent) within += at >= from && at < from + 2s ? work : 0;
    most = std::max(most, within);
  }
  EXPECT_LE(most, budget);
  EXPECT_GE(most, budget / 5);
}

TEST(Scale, OddListsAreSurvived) {
  Script script(crowded(300), 2);
  ListNews news{.mode = ListMode::kFull, .entries = {}};
  news.entries.push_back({.engine = 2'000'000'000});
  news.entries.push_back({.engine = 1, .zone = -4, .cell = -9});
  news.entries.push_back({.engine = 1, .zone = 1});
  script.feed(news);
  EXPECT_EQ(script.gateway.backlog_bound(2'000'000'000), 0);
  script.arrive(1, 100);
  ASSERT_EQ(script.count<Send>(), 1);
  EXPECT_EQ(script.first<Send>()->engine, 1);
  script.feed(ListNews{.mode = ListMode::kFull, .entries = {}});
  script.arrive(2, 100);
  EXPECT_EQ(script.count<Send>(), 0);
}

TEST(Scale, EnginesLongGoneAreForgotten) {
  Script script(crowded(300), 3);
  EXPECT_GT(script.gateway.backlog_bound(2), 0);
  ListNews news{.mode = ListMode::kIncremental, .entries = {}};
  news.entries.push_back({.engine = 2, .standing = Standing::kGone});
  script.feed(news);
  script.wait(3s);
  EXPECT_EQ(script.gateway.backlog_bound(2), 0);
  EXPECT_GT(script.gateway.backlog_bound(1), 0);
}

// The caller gives a forgotten engine's number to the next new one, which is not cold because that one was.
TEST(Scale, ANewEngineInAGoneOnesPlaceStartsFromNothing) {
  const auto taken = [](Script& script) {
    for (RequestId id = 1; id <= 100; ++id) script.arrive(id, 100);
    return script.count_all<Send>();
  };
  Script script(basic_settings(), 0);
  const auto list = [&](EngineEntry entry) {
    script.feed(ListNews{.mode = ListMode::kIncremental, .entries = {entry}});
  };
  list({.engine = 0, .came_up = script.now});
  list({.engine = 0, .standing = Standing::kGone});
  script.wait(3s);
  list({.engine = 0});
  Script fresh(basic_settings(), 1);
  EXPECT_EQ(taken(script), taken(fresh));
}

}  // namespace
}  // namespace steprail::testing
