// Decisions that do no harm in one gateway but do in all gateways of a fleet at once. One test for each
// failure that was met in runs of a whole fleet.
#include <deque>
#include <memory>
#include <random>

#include "harness.h"

namespace steprail::testing {
namespace {

Settings fleet_settings() {
  Settings settings = basic_settings();
  settings.gateways = 300;
  settings.report_mode = ReportMode::kPiggyback;
  settings.progress_interval = 500ms;
  return settings;
}

void answer(GatewayFixture& fixture, RequestId id, const LoadReport& report, Micros delay = 100ms) {
  fixture.answer(id, delay, report);
}

// The cores of an engine that pages memory are idle. Every gateway took that for free capacity and sent more,
// which made it worse. The number of queries that an engine reports as held has to stop admission, however
// idle its cores.
TEST(Fleet, QueriesInHandCountAsLoadEvenWhereCoresAreIdle) {
  for (const auto& [in_flight, admitted] : std::vector<std::pair<double, int>>{{60, 0}, {1, 1}}) {
    GatewayFixture fixture(fleet_settings(), 20);
    RequestId id = 0;
    for (; id < 30; ++id) {
      fixture.arrive(id);
      if (fixture.count<Send>() == 0) continue;
      fixture.advance(100ms);
      answer(fixture, id, {.cpu_utilisation = 0.2, .in_flight = in_flight});
    }
    fixture.arrive(++id, 1000);
    EXPECT_EQ(fixture.count<Send>(), admitted) << in_flight << " in hand";
    EXPECT_EQ(fixture.count<Refuse>(), 1 - admitted) << in_flight << " in hand";
  }
}

// A query that is slow because all engines are slow gains nothing from a retry and loses the work done so
// far. Each gateway retried each of its queries four times, and the fleet did four times the work without an
// answer.
TEST(Fleet, RetriesOfSlowAttemptsAreLimitedByAnswers) {
  GatewayFixture fixture(fleet_settings(), 20);
  constexpr int kSlowQueries = 12;
  for (RequestId id = 0; id < kSlowQueries; ++id) fixture.arrive(id, 100, 0, 20s);
  const auto report_slow_progress = [&](RequestId id) {
    for (int attempt = 0; attempt < fixture.attempt_count[id]; ++attempt)
      fixture.feed(
          ProgressReport{.id = id, .attempt = attempt, .engine = fixture.engine_of[id], .value = 0.01});
  };
  int cancelled = 0;
  fixture.advance(500ms);
  for (RequestId id = 0; id < kSlowQueries; ++id) {
    report_slow_progress(id);
    cancelled += fixture.count<Cancel>();
  }
  EXPECT_EQ(cancelled, 4);  // the credit for such retries at the start
  // Ten answers earn credit for one more retry.
  for (RequestId id = 100; id < 110; ++id) {
    fixture.arrive(id);
    fixture.advance(1ms);
    answer(fixture, id, {.cpu_utilisation = 0.2, .in_flight = 1.0}, 1ms);
  }
  cancelled = 0;
  for (RequestId id = 0; id < kSlowQueries; ++id) {
    report_slow_progress(id);
    cancelled += fixture.count<Cancel>();
  }
  EXPECT_LE(cancelled, 1);
}

// Sends queries and answers them, each with a report that the engine holds so many queries, so that the
// gateway takes this for the engines' load. Returns the next free id.
RequestId run_answered_queries(GatewayFixture& fixture, RequestId id, int answers, double in_flight) {
  for (int i = 0; i < answers; ++i, ++id) {
    fixture.arrive(id);
    if (fixture.count<Send>() == 0) continue;
    fixture.advance(20ms);
    answer(fixture, id, {.cpu_utilisation = 0.6, .in_flight = in_flight}, 20ms);
  }
  return id;
}

// Three hundred gateways get the same reports of the same engines. If each admits all queries or none, the
// load of the whole fleet oscillates; the part that they admit has to fall gradually with the load.
TEST(Fleet, ThePartAdmittedByAllGatewaysFallsGraduallyWithTheLoad) {
  std::map<double, int> admitted;
  for (const double in_flight : {4.0, 12.0, 14.0, 16.0, 40.0}) {
    for (int gateway_index = 0; gateway_index < 300; ++gateway_index) {
      Settings settings = fleet_settings();
      settings.own_index = gateway_index;
      GatewayFixture fixture(settings, 40, static_cast<std::uint64_t>(gateway_index) + 1);
      const RequestId id = run_answered_queries(fixture, 0, 30, in_flight);
      fixture.arrive(id);
      admitted[in_flight] += fixture.count<Send>();
    }
  }
  EXPECT_EQ(admitted[4], 300);
  EXPECT_GT(admitted[12], admitted[14]);
  EXPECT_GT(admitted[14], admitted[16]);
  EXPECT_GT(admitted[14], 90);
  EXPECT_LT(admitted[14], 270);
  EXPECT_LE(admitted[40], 15);
}

// One gateway of many gets only some answers a second. Old reports, however many, must not outweigh a few
// recent ones.
TEST(Fleet, RecentReportsOutweighOldOnes) {
  int admitted = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    GatewayFixture fixture(fleet_settings(), 40, seed);
    RequestId id = run_answered_queries(fixture, 0, 400, 1);
    fixture.advance(5s);
    std::vector<RequestId> pending;
    for (int i = 0; i < 6; ++i) fixture.arrive(++id), pending.push_back(id);
    fixture.advance(50ms);
    for (const RequestId pending_id : pending)
      answer(fixture, pending_id, {.cpu_utilisation = 0.2, .in_flight = 60.0}, 50ms);
    fixture.arrive(++id);
    admitted += fixture.count<Send>();
  }
  EXPECT_LE(admitted, 4);
}

// An attempt that cannot end in time is cancelled and its request answered at once, so that its engine is
// free for queries that can. A fleet that goes on working for clients that have given up never leaves an
// overload.
TEST(Fleet, AHopelessAttemptIsCancelledAndAnsweredAtOnce) {
  for (const Idempotency idempotency : {Idempotency::kIdempotent, Idempotency::kNone}) {
    Settings settings = fleet_settings();
    settings.classes[0].idempotency = idempotency;
    settings.max_attempts = 1;
    GatewayFixture fixture(settings, 20);
    fixture.arrive(1, 100, 0, 4s);
    ASSERT_EQ(fixture.count<Send>(), 1);
    // No attempt timeout: missing progress reports and slow progress show a lost attempt instead.
    EXPECT_EQ(fixture.first<Send>()->timeout, 0s);
    fixture.advance(1s);
    fixture.feed(ProgressReport{.id = 1, .attempt = 0, .engine = fixture.engine_of[1], .value = 0.2});
    EXPECT_TRUE(fixture.actions.empty());
    fixture.feed(ProgressReport{.id = 1, .attempt = 0, .engine = fixture.engine_of[1], .value = 0.01});
    EXPECT_EQ(fixture.count<Cancel>(), 1);
    EXPECT_EQ(fixture.count<Refuse>(), idempotency == Idempotency::kIdempotent ? 1 : 0);
    EXPECT_EQ(fixture.count<Fail>(), idempotency == Idempotency::kNone ? 1 : 0);
    fixture.feed(AttemptClosed{.id = 1,
                               .attempt = 0,
                               .engine = fixture.engine_of[1],
                               .outcome = Outcome::kCancelled,
                               .request_answered = true});
    EXPECT_TRUE(fixture.actions.empty());
  }
}

// One engine starts. Each of three hundred gateways has a share of its slow start budget that is under one
// query, their traffic is sparse and uneven, and in the second run seven in ten of them have just started
// themselves. All together must neither overload the engine nor starve it.
TEST(Fleet, AllGatewaysTogetherDoNotOverloadAStartingEngine) {
  constexpr int kGateways = 300, kEngines = 40, kStartingEngine = 0;
  constexpr double kWorkMs = 100;
  constexpr Micros kStep = 10ms;
  for (const bool restarted : {false, true}) {
    Settings settings = fleet_settings();
    settings.overload_factor = 4;
    settings.overload_window = 1500ms;
    std::vector<std::unique_ptr<GatewayFixture>> fixtures;
    std::vector<double> traffic_shares;
    for (int gateway_index = 0; gateway_index < kGateways; ++gateway_index) {
      settings.own_index = gateway_index;
      fixtures.push_back(std::make_unique<GatewayFixture>(settings, kEngines,
                                                          static_cast<std::uint64_t>(gateway_index) + 1));
      traffic_shares.push_back(gateway_index % 10 == 0 ? 5 : gateway_index % 3 == 0 ? 1 : 0.5);
    }
    std::mt19937_64 random(7);
    std::discrete_distribution<int> draw_gateway(traffic_shares.begin(), traffic_shares.end());
    struct PendingAnswer {
      Micros answered_at{0};
      int gateway{};
      RequestId id{};
    };
    std::deque<PendingAnswer> pending;
    std::vector<Micros> sent_at;
    const Micros started_at = 2s, end = started_at + 5s;
    RequestId next_id = 0;
    int arrivals = 0, admitted = 0;
    for (Micros now = 1s; now < end; now += kStep) {
      if (now == started_at) {
        for (int gateway_index = 0; gateway_index < kGateways; ++gateway_index) {
          auto& fixture = fixtures[static_cast<std::size_t>(gateway_index)];
          if (restarted && gateway_index % 10 < 7) {
            settings.own_index = gateway_index;
            fixture = std::make_unique<GatewayFixture>(settings, kEngines,
                                                       static_cast<std::uint64_t>(gateway_index) + 1000);
            fixture->now = now;
            std::erase_if(pending, [gateway_index](const PendingAnswer& entry) {
              return entry.gateway == gateway_index;
            });
          }
          fixture->feed(ListUpdate{.mode = ListMode::kIncremental,
                                   .entries = {{.engine = kStartingEngine, .started_at = now}}});
        }
      }
      for (auto& fixture : fixtures) fixture->advance(now - fixture->now);
      while (!pending.empty() && pending.front().answered_at <= now) {
        GatewayFixture& fixture = *fixtures[static_cast<std::size_t>(pending.front().gateway)];
        const bool starting = fixture.engine_of[pending.front().id] == kStartingEngine;
        answer(fixture, pending.front().id,
               {.cpu_utilisation = starting ? 0.2 : 0.6, .in_flight = starting ? 1.0 : 5.0});
        pending.pop_front();
      }
      for (int i = 0; i < 20; ++i) {
        const int gateway = draw_gateway(random);
        GatewayFixture& fixture = *fixtures[static_cast<std::size_t>(gateway)];
        fixture.arrive(++next_id, kWorkMs);
        ++arrivals;
        if (fixture.count<Send>() == 0) continue;
        ++admitted;
        pending.push_back({now + 100ms, gateway, next_id});
        if (fixture.engine_of[next_id] == kStartingEngine && now >= started_at) sent_at.push_back(now);
      }
    }
    // What the engine survives at the beginning of its slow start, for the length of one overload window.
    const double budget =
        settings.overload_factor * settings.kinds[0].cores * settings.slow_start_share * 1500;
    std::size_t window_begin = 0;
    for (std::size_t window_end = 0; window_end < sent_at.size(); ++window_end) {
      while (sent_at[window_end] - sent_at[window_begin] > settings.overload_window) ++window_begin;
      EXPECT_LT(kWorkMs * static_cast<double>(window_end - window_begin + 1), budget) << restarted;
    }
    EXPECT_GT(sent_at.size(), 30u) << restarted;
    EXPECT_GT(admitted, arrivals * 9 / 10) << restarted;
  }
}

}  // namespace
}  // namespace steprail::testing
