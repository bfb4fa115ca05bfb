// A load holds its table group on its engine. Tests which engines are reserved for a group's loads, and how
// many loads are admitted.
#include <algorithm>
#include <random>
#include <set>

#include "harness.h"

namespace steprail::testing {
namespace {

constexpr int kLoad = 0, kLookup = 1;

Settings settings_with_loads(int gateways = 1, int gateway_index = 0) {
  Settings s = basic_settings();
  s.classes = {{.objective = 3s,
                .aim_stretch = 2.5,
                .hard_limit = 25s,
                .idempotency = Idempotency::kNone,
                .is_load = true,
                .threads = 2},
               {.objective = 800ms, .aim_stretch = 2, .hard_limit = 4s, .yields_to_load = true}};
  s.gateways = gateways, s.own_index = gateway_index;
  s.kinds = {{.cores = 64}};
  s.own_zone = -1, s.zone_count = 1;
  s.may_send_retry_after = true, s.max_retry_after = 5s;
  return s;
}

// A gateway that may list the engines in an order of its own. An engine's name is the same at all gateways,
// its index is not.
struct NamedEnginesFixture {
  NamedEnginesFixture(const Settings& settings, std::vector<int> names, std::uint64_t seed = 1)
      : fixture(settings, 0, seed), names_(std::move(names)) {
    update_engine_list();
  }
  void update_engine_list(const std::set<int>& without = {}, const std::set<int>& starting = {}) {
    ListUpdate update{.mode = ListMode::kFull, .entries = {}};
    for (std::size_t i = 0; i < names_.size(); ++i) {
      if (without.contains(names_[i])) continue;
      EngineEntry entry{.engine = static_cast<int>(i)};
      entry.name_hash = 0x5bd1e995u * static_cast<std::uint64_t>(names_[i] + 1);
      if (starting.contains(names_[i])) entry.started_at = fixture.now;
      update.entries.push_back(entry);
    }
    fixture.feed(update);
  }
  // Sends one query and answers it after its run time. Returns the name of its engine, or -1 if it was
  // refused.
  int run_query(int cls, int group, double work) {
    const RequestId id = next_id_++;
    fixture.feed(Arrival{.id = id, .cls = cls, .remaining = 20s, .estimate_ms = work, .table_group = group});
    if (fixture.count<Refuse>() == 1) return -1;
    const int engine = fixture.engine_of.at(id);
    fixture.close(id, Outcome::kDelivered,
                  Micros{static_cast<std::int64_t>(work * 1000 / (cls == kLoad ? 2 : 1))}, work);
    return names_[static_cast<std::size_t>(engine)];
  }
  // Sends ten loads a second that would hold the group on `mean_held` engines at a time. Returns the names of
  // the engines that they went to.
  std::set<int> run_loads(int group, double mean_held, int seconds = 12) {
    std::set<int> used;
    for (int n = 0; n < 10 * seconds; ++n) {
      used.insert(run_query(kLoad, group, mean_held * 200));
      fixture.advance(100ms);
    }
    used.erase(-1);
    return used;
  }
  GatewayFixture fixture;

 private:
  std::vector<int> names_;
  RequestId next_id_{1};
};

TEST(GroupLoads, AllGatewaysReserveTheSameEnginesWithoutMessages) {
  std::set<int> all_used;
  for (int group = 0; group < 12; ++group) {
    std::vector<std::set<int>> used;
    for (int gateway_index = 0; gateway_index < 3; ++gateway_index) {
      std::vector<int> names{0, 1, 2, 3, 4, 5, 6, 7};
      std::mt19937 shuffle(static_cast<unsigned>(gateway_index));
      std::shuffle(names.begin(), names.end(), shuffle);
      NamedEnginesFixture engines(settings_with_loads(3, gateway_index), names,
                                  static_cast<std::uint64_t>(gateway_index + 1));
      used.push_back(engines.run_loads(group, 0.1));
    }
    EXPECT_EQ(used[0].size(), 1u) << group;
    EXPECT_EQ(used[0], used[1]) << group;
    EXPECT_EQ(used[0], used[2]) << group;
    all_used.insert(used[0].begin(), used[0].end());
  }
  EXPECT_GE(all_used.size(), 4u);  // the groups are spread over the engines
}

TEST(GroupLoads, ReservesAsManyEnginesAsLoadsNeedButNeverAll) {
  std::size_t previous_used = 0;
  for (const auto& [mean_held, min_used, max_used] :
       std::vector<std::tuple<double, std::size_t, std::size_t>>{
           {0.1, 1, 1}, {0.9, 2, 2}, {2.5, 4, 5}, {40, 7, 7}}) {
    NamedEnginesFixture engines(settings_with_loads(), {0, 1, 2, 3, 4, 5, 6, 7});
    // Warm-up: the demand is not known yet in the first seconds.
    engines.run_loads(5, mean_held, 4);
    const std::size_t used = engines.run_loads(5, mean_held).size();
    EXPECT_GE(used, min_used) << mean_held;
    EXPECT_LE(used, max_used) << mean_held;
    EXPECT_GE(used, previous_used);
    previous_used = used;
  }
  // One of three gateways sees a third of the loads.
  NamedEnginesFixture engines(settings_with_loads(3), {0, 1, 2, 3, 4, 5, 6, 7});
  engines.run_loads(5, 0.3, 4);
  EXPECT_EQ(engines.run_loads(5, 0.3).size(), 2u);
}

TEST(GroupLoads, YieldingQueriesAvoidOnlyTheEnginesReservedForTheirGroup) {
  NamedEnginesFixture engines(settings_with_loads(), {0, 1, 2, 3, 4, 5, 6, 7});
  const std::set<int> reserved = engines.run_loads(5, 0.9);
  int on_own_group = 0, on_other_group = 0;
  for (int n = 0; n < 400; ++n) {
    on_own_group += reserved.contains(engines.run_query(kLookup, 5, 20));
    on_other_group += reserved.contains(engines.run_query(kLookup, 6, 20));
    engines.fixture.advance(10ms);
  }
  EXPECT_LT(on_own_group, on_other_group / 2);
  EXPECT_GE(on_other_group, 40);
}

TEST(GroupLoads, ExcessLoadsAreRefusedAtOnceAndShortOnesArePreferred) {
  for (const int gateways : {1, 3}) {
    NamedEnginesFixture engines(settings_with_loads(gateways), {0, 1, 2, 3, 4});
    std::mt19937 random(7);
    std::lognormal_distribution<double> work(std::log(2000.0), 0.7);
    double admitted_work = 0, refused_work = 0, held_ms = 0;
    int admitted_loads = 0, refused_loads = 0;
    for (int n = 0; n < 3000; ++n) {
      const double work_ms = std::min(20000.0, work(random));
      const bool is_admitted = engines.run_query(kLoad, 3, work_ms) >= 0;
      (is_admitted ? admitted_work : refused_work) += work_ms;
      ++(is_admitted ? admitted_loads : refused_loads);
      if (is_admitted) held_ms += work_ms / 2;
      EXPECT_TRUE(is_admitted || engines.fixture.first<Refuse>()->retry_after > 0us);
      engines.fixture.advance(20ms);
    }
    // The allowance of four engines for a minute, plus the full one at the start, divided among the gateways.
    EXPECT_LE(held_ms, (60'000 + 4000) * 4 * 0.9 / gateways + 10'000);
    EXPECT_GE(held_ms, 60'000 * 4 * 0.9 / gateways * 0.8);
    ASSERT_GT(admitted_loads, 0);
    ASSERT_GT(refused_loads, 0);
    EXPECT_LT(admitted_work / admitted_loads, 0.6 * refused_work / refused_loads);
  }
}

TEST(GroupLoads, ALoadOfAnyLengthIsAdmittedWhileNoOtherRuns) {
  NamedEnginesFixture engines(settings_with_loads(3), {0, 1, 2, 3, 4});
  engines.fixture.advance(1s);
  EXPECT_GE(engines.run_query(kLoad, 2, 40'000), 0);
  engines.fixture.advance(60s);
  EXPECT_GE(engines.run_query(kLoad, 2, 40'000), 0);
}

TEST(GroupLoads, ALostEngineMovesOnlyItsOwnGroups) {
  std::vector<int> names{0, 1, 2, 3, 4, 5, 6, 7};
  int moved_groups = 0;
  for (int group = 0; group < 16; ++group) {
    NamedEnginesFixture engines(settings_with_loads(), names);
    const int first_engine = *engines.run_loads(group, 0.1, 6).begin();
    engines.update_engine_list({3});
    const int engine_after_loss = *engines.run_loads(group, 0.1, 6).begin();
    EXPECT_NE(engine_after_loss, 3);
    EXPECT_TRUE(first_engine == 3 || engine_after_loss == first_engine) << group;
    moved_groups += first_engine == 3;
    // The engine is back, in slow start: it gets no group's loads until that is over, and all its own after.
    engines.update_engine_list({}, {3});
    EXPECT_EQ(engines.run_loads(group, 0.1, 6), std::set<int>{engine_after_loss}) << group;
    engines.fixture.advance(16s);
    EXPECT_EQ(engines.run_loads(group, 0.1, 6), std::set<int>{first_engine}) << group;
  }
  EXPECT_GE(moved_groups, 1);
}

}  // namespace
}  // namespace steprail::testing
