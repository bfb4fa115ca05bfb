// The seven rules that every decision must keep, tested within and at their limits: the final answer,
// idempotency, draining engines, slow start, order by key, placement and the retry budget. Besides: one
// attempt in flight at a time, and the subscription to the engine list.
#include "harness.h"

namespace steprail::testing {
namespace {

TEST(FinalAnswer, ATimeoutAtTheDeadlineIsAnsweredAtOnce) {
  GatewayFixture fixture(basic_settings());
  fixture.arrive_ordered(1, 5, 2s);
  fixture.advance(2s);
  fixture.close(1, Outcome::kTimedOut);
  EXPECT_EQ(fixture.count<Fail>(), 1);
  EXPECT_EQ(fixture.count<Refuse>(), 0);
}

TEST(FinalAnswer, AHeldRequestIsAnsweredBeforeItsDeadline) {
  GatewayFixture fixture(basic_settings());
  fixture.arrive_ordered(1, 5);
  fixture.arrive_ordered(2, 5, 3s);
  EXPECT_TRUE(fixture.actions.empty());
  fixture.advance(2990ms);
  EXPECT_EQ(fixture.count_all<Refuse>(), 1);
}

// Seen on a simulated day: a client's last retry came with less than a tick remaining, and was held past its
// deadline.
TEST(FinalAnswer, ARequestWithLessThanATickRemainingIsNotHeld) {
  GatewayFixture fixture(basic_settings());
  fixture.arrive_ordered(1, 5);
  fixture.arrive_ordered(2, 5, 50ms);
  EXPECT_EQ(fixture.count<Refuse>(), 1);
}

TEST(Idempotency, ANonIdempotentRequestOfUnknownEffectIsFailedNotRefusedOrRetried) {
  for (Outcome outcome : {Outcome::kTimedOut, Outcome::kConnectionLost, Outcome::kAppError}) {
    GatewayFixture fixture(basic_settings(), 3);
    fixture.arrive_ordered(1, 5);
    fixture.close(1, outcome);
    EXPECT_EQ(fixture.count<Send>(), 0);
    EXPECT_EQ(fixture.count<Refuse>(), 0);
    EXPECT_EQ(fixture.count<Fail>(), 1);
  }
}

TEST(Idempotency, ANonIdempotentRequestThatNeverRanIsRetried) {
  for (Outcome outcome : {Outcome::kRejected, Outcome::kConnectFailed}) {
    GatewayFixture fixture(basic_settings(), 3);
    fixture.arrive_ordered(1, 5);
    fixture.close(1, outcome);
    EXPECT_EQ(fixture.count<Send>(), 1);
  }
}

TEST(Idempotency, ADeduplicatedRetryStaysInItsScopeAndWindow) {
  const auto retry_engine = [](Micros delay, int other_zone) {
    GatewayFixture fixture(basic_settings(), 1);
    fixture.arrive(1, 100, 2, 20s);
    fixture.feed(ListUpdate{.mode = ListMode::kIncremental, .entries = {{.engine = 1, .zone = other_zone}}});
    fixture.advance(delay);
    fixture.close(1, Outcome::kConnectionLost);
    const Send* send = fixture.first<Send>();
    return send == nullptr ? -1 : send->engine;
  };
  EXPECT_EQ(retry_engine(100ms, 0), 1);   // another engine of the same zone drops the repeat
  EXPECT_EQ(retry_engine(100ms, 1), 0);   // engines of the other zone would not know the request
  EXPECT_EQ(retry_engine(4999ms, 0), 1);  // just within the window
  EXPECT_EQ(retry_engine(5s, 0), -1);     // the engines have forgotten the request
}

TEST(Idempotency, ARequestOfUnknownEffectIsFailedWhereNotAllEnginesDeduplicate) {
  GatewayFixture fixture(basic_settings());
  fixture.arrive(1, 100, 2, 20s);
  fixture.advance(6s);
  fixture.close(1, Outcome::kConnectionLost);
  EXPECT_EQ(fixture.count<Refuse>(), 0);
  EXPECT_EQ(fixture.count<Fail>(), 1);
}

TEST(Drain, NothingIsSentToADrainingOrGoneEngine) {
  for (EngineStatus standing : {EngineStatus::kDraining, EngineStatus::kGone}) {
    GatewayFixture fixture(basic_settings(), 2);
    fixture.feed(ListUpdate{.mode = ListMode::kIncremental, .entries = {{.engine = 0, .status = standing}}});
    for (RequestId id = 1; id <= 20; ++id) {
      fixture.arrive(id);
      EXPECT_EQ(fixture.engine_of[id], 1);
    }
  }
}

TEST(Drain, AFullListRemovesEnginesThatItDoesNotContain) {
  GatewayFixture fixture(basic_settings(), 2);
  fixture.feed(ListUpdate{.mode = ListMode::kFull, .entries = {{.engine = 1}}});
  for (RequestId id = 1; id <= 20; ++id) {
    fixture.arrive(id);
    EXPECT_EQ(fixture.engine_of[id], 1);
  }
}

// 8 cores x 0.85 load x 0.3 share x factor 2 x 2000 ms = 8160 ms of work in any 2 s, for all gateways
// together.
TEST(SlowStart, EachGatewayKeepsItsPartOfTheBudget) {
  for (int gateways : {1, 3}) {
    Settings settings = basic_settings();
    settings.gateways = gateways;
    GatewayFixture fixture(settings, 0);
    fixture.feed(ListUpdate{.mode = ListMode::kFull, .entries = {{.engine = 0, .started_at = fixture.now}}});
    double sent = 0;
    for (RequestId id = 1; id <= 100; ++id) {
      fixture.arrive(id, 200);
      if (fixture.count<Send>() == 1) {
        sent += 200;
        fixture.close(id, Outcome::kRejected);  // rejected work counts as well
      }
    }
    EXPECT_GT(sent, 0);
    EXPECT_LT(sent, 8160.0 / gateways);
  }
}

TEST(SlowStart, TheEngineIsUsedInFullAfterwards) {
  GatewayFixture fixture(basic_settings(), 0);
  fixture.feed(ListUpdate{.mode = ListMode::kFull, .entries = {{.engine = 0, .started_at = fixture.now}}});
  fixture.advance(15s);
  int sent = 0;
  for (RequestId id = 1; id <= 30; ++id) fixture.arrive(id, 200), sent += fixture.count<Send>();
  EXPECT_EQ(sent, 30);
}

TEST(Order, RequestsOfOneKeyRunOneAtATimeInOrder) {
  GatewayFixture fixture(basic_settings(), 3);
  fixture.arrive_ordered(1, 5);
  fixture.arrive_ordered(2, 5);
  fixture.arrive_ordered(3, 5);
  fixture.arrive_ordered(4, 6);
  EXPECT_EQ(fixture.count<Send>(), 1) << "a request with another key does not wait";
  fixture.close(1, Outcome::kDelivered);
  ASSERT_EQ(fixture.count<Send>(), 1);
  EXPECT_EQ(fixture.first<Send>()->id, 2U);
}

TEST(Order, TheKeyWaitsAfterAnUnknownOutcome) {
  GatewayFixture fixture(basic_settings(), 3);
  fixture.arrive_ordered(1, 5);
  fixture.arrive_ordered(2, 5);
  fixture.close(1, Outcome::kConnectionLost);
  EXPECT_EQ(fixture.attempt_count[2], 0);
  fixture.advance(490ms);
  EXPECT_EQ(fixture.attempt_count[2], 0);
  fixture.advance(200ms);
  EXPECT_EQ(fixture.attempt_count[2], 1);
}

TEST(Order, ARequestWithoutAClientHoldsItsKeyUntilItsAttemptEnds) {
  GatewayFixture fixture(basic_settings(), 3);
  fixture.arrive_ordered(1, 5);
  fixture.arrive_ordered(2, 5);
  fixture.feed(ClientGone{1});
  fixture.advance(1s);
  EXPECT_EQ(fixture.attempt_count[2], 0);
  fixture.close(1, Outcome::kCancelled);
  fixture.advance(700ms);
  EXPECT_EQ(fixture.attempt_count[2], 1);
}

TEST(Placement, AClassIsSentOnlyToItsZones) {
  Settings settings = basic_settings();
  settings.classes[0].zones = {1};
  GatewayFixture fixture(settings, 2);
  fixture.arrive(1);
  EXPECT_EQ(fixture.count<Send>(), 0);
  EXPECT_EQ(fixture.count<Refuse>(), 1);
  fixture.feed(ListUpdate{.mode = ListMode::kIncremental, .entries = {{.engine = 1, .zone = 1}}});
  fixture.arrive(2);
  EXPECT_EQ(fixture.engine_of[2], 1);
}

TEST(RetryBudget, LimitsFurtherAttempts) {
  Settings settings = basic_settings();
  settings.retry_budget_ratio = 0.1;
  settings.retry_budget_base = 2;
  settings.retry_budget_window = 5s;
  GatewayFixture fixture(settings, 4);
  int further_attempts = 0;
  for (RequestId id = 1; id <= 10; ++id) {
    fixture.arrive(id);
    fixture.close(id, Outcome::kRejected);
    further_attempts += fixture.count<Send>();
  }
  EXPECT_EQ(further_attempts, 3);  // 2 + 10% of 10 requests
}

TEST(InFlight, ARequestNeverHasTwoAttemptsInFlight) {
  Settings settings = basic_settings();
  settings.progress_interval = 500ms;
  GatewayFixture fixture(settings, 2);
  fixture.arrive(1, 100, 0, 20s);
  fixture.advance(1500ms);
  fixture.feed(ProgressReport{.id = 1, .attempt = 0, .engine = fixture.engine_of[1], .value = 0.05});
  EXPECT_EQ(fixture.count<Send>(), 0) << "the cancelled attempt is still in flight";
  fixture.feed(ProgressReport{.id = 1, .attempt = 0, .engine = fixture.engine_of[1], .value = 0.06});
  EXPECT_EQ(fixture.count<Cancel>(), 0);
}

TEST(Subscription, IsRequestedAndRequestedAgainAfterAFailure) {
  Settings settings = basic_settings();
  settings.registry_mode = RegistryMode::kSubscribe;
  GatewayFixture fixture(settings, 2);
  EXPECT_EQ(fixture.count_all<Subscribe>(), 1);
  fixture.feed(ListUpdate{.mode = ListMode::kFailed, .entries = {}});
  fixture.advance(2s);
  EXPECT_EQ(fixture.count_all<Subscribe>(), 2);
}

}  // namespace
}  // namespace steprail::testing
