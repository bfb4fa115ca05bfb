// What is harmless in one gateway and harmful in all of them, one test for each failure met on the days of the
// whole fleet.
#include "harness.h"

namespace steprail::testing {
namespace {

Settings fleet() {
  Settings settings = basic_settings();
  settings.gateways = 300;
  settings.reports = Reports::kPiggyback;
  settings.progress = 500ms;
  return settings;
}

void answer(Script& script, RequestId id, const LoadReport& report, Micros delay = 100ms) {
  script.feed(Closed{.id = id,
                     .attempt = script.attempts[id] - 1,
                     .engine = script.at[id],
                     .outcome = Outcome::kDelivered,
                     .delay = delay,
                     .ended = true,
                     .true_work_ms = 100,
                     .report = report});
}

// Engines that page have idle cores. Every gateway of a fleet took that for room, filled it, and made it worse:
// what an engine says it holds has to close the door, whatever its cores do.
TEST(Fleet, IdleCoresOfAnEngineFullOfWaitingQueriesAreNoRoom) {
  for (const auto& [in_flight, admitted] : std::vector<std::pair<double, int>>{{60, 0}, {1, 1}}) {
    Script script(fleet(), 20);
    RequestId id = 0;
    for (; id < 30; ++id) {
      script.arrive(id);
      if (script.count<Send>() == 0) continue;
      script.wait(100ms);
      answer(script, id, {.utilisation = 0.2, .in_flight = in_flight});
    }
    script.arrive(++id, 1000);
    EXPECT_EQ(script.count<Send>(), admitted) << in_flight << " in hand";
    EXPECT_EQ(script.count<Refuse>(), 1 - admitted) << in_flight << " in hand";
  }
}

// A query that is slow because all engines are gains nothing from beginning anew, and what it has had done is
// lost. Each gateway moved what it had four times over, and the fleet did four times the work for no answer.
TEST(Fleet, SlowQueriesAreMovedOnlyAsOftenAsAnswersAllow) {
  Script script(fleet(), 20);
  constexpr int kSlow = 12;
  for (RequestId id = 0; id < kSlow; ++id) script.arrive(id, 100, 0, 20s);
  const auto crawl = [&](RequestId id) {
    for (int attempt = 0; attempt < script.attempts[id]; ++attempt)
      script.feed(Note{.id = id, .attempt = attempt, .engine = script.at[id], .amount = 0.01});
  };
  int moved = 0;
  script.wait(500ms);
  for (RequestId id = 0; id < kSlow; ++id) {
    crawl(id);
    moved += script.count<Cancel>();
  }
  EXPECT_EQ(moved, 4);  // what the ration holds at the start
  // Answers earn further ones, far fewer than they are themselves.
  for (RequestId id = 100; id < 110; ++id) {
    script.arrive(id);
    script.wait(1ms);
    answer(script, id, {.utilisation = 0.2, .in_flight = 1.0}, 1ms);
  }
  moved = 0;
  for (RequestId id = 0; id < kSlow; ++id) {
    crawl(id);
    moved += script.count<Cancel>();
  }
  EXPECT_LE(moved, 1);
}

}  // namespace
}  // namespace steprail::testing
