// Many gateways in front of one pool: what one of them does, and what all of them do together.
#include <cmath>
#include <set>

#include "harness.h"

namespace steprail::testing {
namespace {

Settings crowded_settings(int gateways, int own_index = 0) {
  Settings settings = basic_settings();
  settings.gateways = gateways;
  settings.own_index = own_index;
  settings.report_mode = ReportMode::kPiggyback;
  return settings;
}

void answer(GatewayFixture& fixture, RequestId id, Micros delay, double in_flight) {
  fixture.answer(id, delay, {.in_flight = in_flight});
}

// An engine with eight cores holds eight one-thread queries at once: its backlog limit is divided by no more
// gateways than that.
TEST(Scale, TheLimitIsDividedByNoMoreGatewaysThanAnEngineHoldsQueries) {
  const double limit_for_8 = GatewayFixture(crowded_settings(8)).gateway.backlog_limit(0);
  EXPECT_EQ(limit_for_8, 853);
  // Reduced at the start by 0.6 times the part of the gateways for which the engine has no room.
  EXPECT_EQ(GatewayFixture(crowded_settings(9)).gateway.backlog_limit(0), std::floor(853 * (1 - 0.6 / 9)));
  const double limit_for_300 = std::floor(853 * (1 - 0.6 * 292 / 300));
  EXPECT_EQ(GatewayFixture(crowded_settings(300), 80).gateway.backlog_limit(79), limit_for_300);
  EXPECT_EQ(GatewayFixture(crowded_settings(300), 2).gateway.backlog_limit(0), limit_for_300);
}

TEST(Scale, HeavyQueriesEnterAnEmptyPoolAndAreRefusedBeforeLightOnes) {
  for (const auto& [gateways, engines] : std::vector<std::pair<int, int>>{{1, 1}, {300, 80}, {300, 2}}) {
    GatewayFixture fixture(crowded_settings(gateways), engines);
    fixture.arrive(1, 600);
    EXPECT_EQ(fixture.count<Send>(), 1) << gateways << " before " << engines;
    fixture.arrive(2, 1e6);
    EXPECT_EQ(fixture.count<Refuse>(), 1) << gateways << " before " << engines;
    fixture.arrive(3, 100);
    EXPECT_EQ(fixture.count<Send>(), 1) << gateways << " before " << engines;
  }
}

TEST(Scale, AFewAnswersMoveNoLimitAndEightMoveAll) {
  GatewayFixture fixture(crowded_settings(300), 20);
  const double start = fixture.gateway.backlog_limit(0);
  RequestId id = 0;
  for (; id < 4; ++id) {
    fixture.arrive(id);
    fixture.advance(2s);
    answer(fixture, id, 2s, 4);
  }
  EXPECT_EQ(fixture.gateway.backlog_limit(0), start);
  for (; id < 12; ++id) {
    fixture.arrive(id);
    fixture.advance(2s);
    answer(fixture, id, 2s, 4);
  }
  fixture.advance(2s);
  for (int i = 0; i < 20; ++i) EXPECT_LT(fixture.gateway.backlog_limit(i), start) << i;
}

TEST(Scale, OverdueAttemptsInFlightLowerTheLimits) {
  GatewayFixture fixture(crowded_settings(300), 20);
  const double start = fixture.gateway.backlog_limit(0);
  for (RequestId id = 0; id < 12; ++id) fixture.arrive(id, 100, 0, 20s);
  fixture.advance(3s);
  EXPECT_LT(fixture.gateway.backlog_limit(0), start);
}

TEST(Scale, AGatewayUsesMainlyItsSubsetAndAllSubsetsCoverEnginesEvenly) {
  std::map<int, int> sent_by_all;
  for (int own_index = 0; own_index < 300; ++own_index) {
    GatewayFixture fixture(crowded_settings(300, own_index), 60, static_cast<std::uint64_t>(own_index) + 1);
    std::map<int, int> sent_by_one;
    for (RequestId id = 0; id < 40; ++id) {
      fixture.arrive(id, 10);
      ++sent_by_one[fixture.engine_of[id]];
      answer(fixture, id, 10ms, 2);
      fixture.advance(300ms);
    }
    int in_subset = 0;
    std::vector<int> counts;
    for (const auto& [_, n] : sent_by_one) counts.push_back(n);
    std::sort(counts.rbegin(), counts.rend());
    for (std::size_t i = 0; i < counts.size() && i < 11; ++i) in_subset += counts[i];
    EXPECT_GE(in_subset, 30) << own_index;
    for (const auto& [engine, n] : sent_by_one) sent_by_all[engine] += n;
  }
  EXPECT_EQ(sent_by_all.size(), 60U);
  for (const auto& [engine, n] : sent_by_all) {
    EXPECT_GT(n, 200 / 3) << engine;
    EXPECT_LT(n, 200 * 3) << engine;
  }
}

TEST(Scale, FewGatewaysUseAllEngines) {
  GatewayFixture fixture(crowded_settings(3), 8);
  std::set<int> used_engines;
  for (RequestId id = 0; id < 200; ++id) {
    fixture.arrive(id, 10);
    used_engines.insert(fixture.engine_of[id]);
    fixture.close(id, Outcome::kDelivered, 10ms, 10);
  }
  EXPECT_EQ(used_engines.size(), 8U);
}

TEST(Scale, QueriesOfOtherGatewaysUseUpTheLimitUntilTheReportsAge) {
  GatewayFixture fixture(crowded_settings(300), 4);
  for (RequestId id = 0; id < 8; ++id) {
    fixture.arrive(id, 100);
    answer(fixture, id, 100ms, 60);
  }
  fixture.arrive(50, 100);
  EXPECT_EQ(fixture.count<Refuse>(), 1) << "the engine is full of other gateways' queries";
  fixture.advance(20s);
  fixture.arrive(51, 100);
  EXPECT_EQ(fixture.count<Send>(), 1) << "an old report refuses nothing";
}

// Reports of busy cores miss queries that stand still. So a rejection by the engine counts as load for a
// while, whatever the reports say.
TEST(Scale, ARejectionCountsAsLoadUntilItAges) {
  GatewayFixture fixture(crowded_settings(300), 1);
  fixture.arrive(1, 100);
  fixture.close(1, Outcome::kRejected);
  fixture.arrive(2, 100);
  EXPECT_EQ(fixture.count<Send>(), 0);
  EXPECT_EQ(fixture.count<Refuse>(), 1);
  fixture.advance(20s);
  fixture.arrive(3, 100);
  EXPECT_EQ(fixture.count<Send>(), 1);
}

TEST(Scale, AnIdleEngineTakesMoreThanTheGatewaysPart) {
  GatewayFixture fixture(crowded_settings(300), 1);
  const double heavy_estimate = 1.5 * fixture.gateway.backlog_limit(0);
  for (RequestId id = 0; id < 6; ++id) {
    fixture.arrive(id, 100);
    answer(fixture, id, 100ms, 8);
  }
  fixture.arrive(50, heavy_estimate);
  EXPECT_EQ(fixture.count<Refuse>(), 1);
  for (RequestId id = 60; id < 63; ++id) {
    fixture.arrive(id, 100);
    answer(fixture, id, 100ms, 0);
  }
  fixture.arrive(70, heavy_estimate);
  EXPECT_EQ(fixture.count<Send>(), 1);
}

TEST(Scale, ATenantWithARequestInFiveSecondsIsNotOverItsQuotaByChance) {
  Settings settings = crowded_settings(300);
  settings.tenants.push_back({.quota_rps = 60, .share = 1});
  GatewayFixture fixture(settings);
  const double heavy_estimate =
      0.9 * fixture.gateway.backlog_limit(0);  // a tenant over its quota may fill half of the limit
  for (RequestId id = 0; id < 5; ++id) {
    fixture.feed(Arrival{.id = id, .tenant = 0, .remaining = 4s, .estimate_ms = heavy_estimate});
    EXPECT_EQ(fixture.count<Send>(), 1) << id;
    fixture.close(id, Outcome::kDelivered, 100ms, heavy_estimate);
    fixture.advance(500ms);
  }
}

TEST(Scale, TrialsAndProbesOfEjectedEnginesAreFewComparedWithArrivals) {
  Settings settings = crowded_settings(300);
  settings.may_probe = true;
  GatewayFixture fixture(settings, 40);
  RequestId id = 0;
  for (; id < 400; ++id) {
    fixture.arrive(id, 10);
    if (fixture.engine_of.contains(id) && fixture.engine_of[id] % 3 == 0) {
      fixture.close(id, Outcome::kConnectFailed);
    } else {
      fixture.close(id, Outcome::kDelivered, 10ms, 10);
    }
    if (id % 4 == 0) fixture.advance(1s);
  }
  const int probes = fixture.count_all<Probe>();
  EXPECT_GT(probes, 0);
  EXPECT_LE(probes, static_cast<int>(id) / 10 + 5);
}

// The rule limits the sum: what all gateways send to one starting engine within any window stays within its
// budget, although each gateway's share is a fraction of one query. The engine must not stay idle either.
TEST(Scale, AllGatewaysTogetherKeepTheSlowStartBudget) {
  const int gateways = 300;
  Settings settings = crowded_settings(gateways);
  std::vector<GatewayFixture> fixtures;
  fixtures.reserve(gateways);
  for (int own_index = 0; own_index < gateways; ++own_index) {
    settings.own_index = own_index;
    fixtures.emplace_back(settings, 0, 1000 + static_cast<std::uint64_t>(own_index));
    ListUpdate update{.mode = ListMode::kFull, .entries = {}};
    update.entries.push_back({.engine = 0, .started_at = 1s});
    fixtures.back().feed(update);
  }
  std::vector<std::pair<Micros, double>> sent;
  RequestId id = 0;
  for (int step = 0; step < 140; ++step) {
    for (GatewayFixture& fixture : fixtures) {
      fixture.now = 1s + step * 100ms;
      if ((step + static_cast<int>(id++)) % 3 != 0) continue;
      const RequestId request = static_cast<RequestId>(step);
      fixture.arrive(request, 200);
      if (fixture.count<Send>() == 0) continue;
      sent.emplace_back(fixture.now, 200.0);
      fixture.close(request, Outcome::kDelivered, 100ms, 200);
    }
  }
  const double budget = 2 * 8 * 0.85 * 0.3 * 2000;
  double max_in_window = 0;
  for (const auto& [from, _] : sent) {
    double in_window = 0;
    for (const auto& [at, work] : sent) in_window += at >= from && at < from + 2s ? work : 0;
    max_in_window = std::max(max_in_window, in_window);
  }
  EXPECT_LE(max_in_window, budget);
  EXPECT_GE(max_in_window, budget / 5);
}

TEST(Scale, InvalidListEntriesAreTolerated) {
  GatewayFixture fixture(crowded_settings(300), 2);
  ListUpdate update{.mode = ListMode::kFull, .entries = {}};
  update.entries.push_back({.engine = 2'000'000'000});
  update.entries.push_back({.engine = 1, .zone = -4, .cell = -9});
  update.entries.push_back({.engine = 1, .zone = 1});
  fixture.feed(update);
  EXPECT_EQ(fixture.gateway.backlog_limit(2'000'000'000), 0);
  fixture.arrive(1, 100);
  ASSERT_EQ(fixture.count<Send>(), 1);
  EXPECT_EQ(fixture.first<Send>()->engine, 1);
  fixture.feed(ListUpdate{.mode = ListMode::kFull, .entries = {}});
  fixture.arrive(2, 100);
  EXPECT_EQ(fixture.count<Send>(), 0);
}

TEST(Scale, GoneEnginesAreForgotten) {
  GatewayFixture fixture(crowded_settings(300), 3);
  EXPECT_GT(fixture.gateway.backlog_limit(2), 0);
  ListUpdate update{.mode = ListMode::kIncremental, .entries = {}};
  update.entries.push_back({.engine = 2, .status = EngineStatus::kGone});
  fixture.feed(update);
  fixture.advance(3s);
  EXPECT_EQ(fixture.gateway.backlog_limit(2), 0);
  EXPECT_GT(fixture.gateway.backlog_limit(1), 0);
}

// The caller gives the index of a gone engine to the next new one, which must not be in slow start because
// the former one was.
TEST(Scale, ANewEngineWithAReusedIndexStartsAfresh) {
  const auto count_sent = [](GatewayFixture& fixture) {
    for (RequestId id = 1; id <= 100; ++id) fixture.arrive(id, 100);
    return fixture.count_all<Send>();
  };
  GatewayFixture fixture(basic_settings(), 0);
  const auto list = [&](EngineEntry entry) {
    fixture.feed(ListUpdate{.mode = ListMode::kIncremental, .entries = {entry}});
  };
  list({.engine = 0, .started_at = fixture.now});
  list({.engine = 0, .status = EngineStatus::kGone});
  fixture.advance(3s);
  list({.engine = 0});
  GatewayFixture reference(basic_settings(), 1);
  EXPECT_EQ(count_sent(fixture), count_sent(reference));
}

}  // namespace
}  // namespace steprail::testing
