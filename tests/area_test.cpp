// Loads hold their group of tables on an engine: which engines are kept for them, and how many loads are let
// in.
#include <algorithm>
#include <random>
#include <set>

#include "harness.h"

namespace steprail::testing {
namespace {

constexpr int kLoad = 0, kLookup = 1;

Settings warehouse(int gateways = 1, int own = 0) {
  Settings s = basic_settings();
  s.classes = {{.objective = 3s,
                .aim_stretch = 2.5,
                .hard_limit = 25s,
                .idempotency = Idempotency::kNone,
                .is_load = true,
                .threads = 2},
               {.objective = 800ms, .aim_stretch = 2, .hard_limit = 4s, .yields_to_load = true}};
  s.gateways = gateways, s.own_index = own;
  s.kinds = {{.cores = 64}};
  s.own_zone = -1, s.zone_count = 1;
  s.may_send_retry_after = true, s.max_retry_after = 5s;
  return s;
}

// A gateway whose engines stand at places of its own; a name is what an engine is called everywhere.
struct Site {
  Site(const Settings& settings, std::vector<int> names, std::uint64_t seed = 1)
      : script(settings, 0, seed), names_(std::move(names)) {
    list();
  }
  void list(const std::set<int>& without = {}, const std::set<int>& cold = {}) {
    ListUpdate news{.mode = ListMode::kFull, .entries = {}};
    for (std::size_t i = 0; i < names_.size(); ++i) {
      if (without.contains(names_[i])) continue;
      EngineEntry entry{.engine = static_cast<int>(i)};
      entry.name_hash = 0x5bd1e995u * static_cast<std::uint64_t>(names_[i] + 1);
      if (cold.contains(names_[i])) entry.started_at = script.now;
      news.entries.push_back(entry);
    }
    script.feed(news);
  }
  // The name of the engine to which the query goes, where it is answered in its time; -1 where it is refused.
  int ask(int cls, int group, double work) {
    const RequestId id = next_++;
    script.feed(Arrival{.id = id, .cls = cls, .remaining = 20s, .estimate_ms = work, .table_group = group});
    if (script.count<Refuse>() == 1) return -1;
    const int engine = script.engine_of.at(id);
    script.close(id, Outcome::kDelivered,
                 Micros{static_cast<std::int64_t>(work * 1000 / (cls == kLoad ? 2 : 1))}, work);
    return names_[static_cast<std::size_t>(engine)];
  }
  // The engines to which loads of a group go that ask for so much holding a second, for so many seconds.
  std::set<int> loads(int group, double holds, int seconds = 12) {
    std::set<int> used;
    for (int n = 0; n < 10 * seconds; ++n) {
      used.insert(ask(kLoad, group, holds * 200));
      script.advance(100ms);
    }
    used.erase(-1);
    return used;
  }
  GatewayFixture script;

 private:
  std::vector<int> names_;
  RequestId next_{1};
};

TEST(Area, GatewaysThatCannotSpeakToEachOtherKeepTheSameEngines) {
  std::set<int> of_all;
  for (int group = 0; group < 12; ++group) {
    std::vector<std::set<int>> used;
    for (int own = 0; own < 3; ++own) {
      std::vector<int> names{0, 1, 2, 3, 4, 5, 6, 7};
      std::mt19937 shuffle(static_cast<unsigned>(own));
      std::shuffle(names.begin(), names.end(), shuffle);
      Site site(warehouse(3, own), names, static_cast<std::uint64_t>(own + 1));
      used.push_back(site.loads(group, 0.1));
    }
    EXPECT_EQ(used[0].size(), 1u) << group;
    EXPECT_EQ(used[0], used[1]) << group;
    EXPECT_EQ(used[0], used[2]) << group;
    of_all.insert(used[0].begin(), used[0].end());
  }
  EXPECT_GE(of_all.size(), 4u);  // groups are spread
}

TEST(Area, AsManyEnginesAsTheLoadsNeedAndNeverAll) {
  std::size_t before = 0;
  for (const auto& [holds, least, most] : std::vector<std::tuple<double, std::size_t, std::size_t>>{
           {0.1, 1, 1}, {0.9, 2, 2}, {2.5, 4, 5}, {40, 7, 7}}) {
    Site site(warehouse(), {0, 1, 2, 3, 4, 5, 6, 7});
    // The first second is little to go by.
    site.loads(5, holds, 4);
    const std::size_t used = site.loads(5, holds).size();
    EXPECT_GE(used, least) << holds;
    EXPECT_LE(used, most) << holds;
    EXPECT_GE(used, before);
    before = used;
  }
  // One of three gateways sees a third of the loads.
  Site site(warehouse(3), {0, 1, 2, 3, 4, 5, 6, 7});
  site.loads(5, 0.3, 4);
  EXPECT_EQ(site.loads(5, 0.3).size(), 2u);
}

TEST(Area, WhatYieldsToLoadsIsDrawnElsewhereAndOtherGroupsAreNot) {
  Site site(warehouse(), {0, 1, 2, 3, 4, 5, 6, 7});
  const std::set<int> kept = site.loads(5, 0.9);
  int met = 0, others = 0;
  for (int n = 0; n < 400; ++n) {
    met += kept.contains(site.ask(kLookup, 5, 20));
    others += kept.contains(site.ask(kLookup, 6, 20));
    site.script.advance(10ms);
  }
  EXPECT_LT(met, others / 2);
  EXPECT_GE(others, 40);
}

TEST(Area, LoadsBeyondTheRoomAreRefusedAtOnceAndShortOnesGoFirst) {
  for (const int gateways : {1, 3}) {
    Site site(warehouse(gateways), {0, 1, 2, 3, 4});
    std::mt19937 random(7);
    std::lognormal_distribution<double> work(std::log(2000.0), 0.7);
    double let_in = 0, refused = 0, held = 0;
    int in = 0, out = 0;
    for (int n = 0; n < 3000; ++n) {
      const double w = std::min(20000.0, work(random));
      const bool sent = site.ask(kLoad, 3, w) >= 0;
      (sent ? let_in : refused) += w;
      ++(sent ? in : out);
      if (sent) held += w / 2;
      EXPECT_TRUE(sent || site.script.first<Refuse>()->retry_after > 0us);
      site.script.advance(20ms);
    }
    // Four engines for a minute and what was saved up at first, between the gateways.
    EXPECT_LE(held, (60'000 + 4000) * 4 * 0.9 / gateways + 10'000);
    EXPECT_GE(held, 60'000 * 4 * 0.9 / gateways * 0.8);
    ASSERT_GT(in, 0);
    ASSERT_GT(out, 0);
    EXPECT_LT(let_in / in, 0.6 * refused / out);
  }
}

TEST(Area, ALoadOfAnySizeIsTakenWhereNoneOtherIs) {
  Site site(warehouse(3), {0, 1, 2, 3, 4});
  site.script.advance(1s);
  EXPECT_GE(site.ask(kLoad, 2, 40'000), 0);
  site.script.advance(60s);
  EXPECT_GE(site.ask(kLoad, 2, 40'000), 0);
}

TEST(Area, AnEngineThatIsLostMovesItsOwnGroupsAlone) {
  std::vector<int> names{0, 1, 2, 3, 4, 5, 6, 7};
  int moved = 0;
  for (int group = 0; group < 16; ++group) {
    Site site(warehouse(), names);
    const int first = *site.loads(group, 0.1, 6).begin();
    site.list({3});
    const int then = *site.loads(group, 0.1, 6).begin();
    EXPECT_NE(then, 3);
    EXPECT_TRUE(first == 3 || then == first) << group;
    moved += first == 3;
    // Back, and cold: no group's loads until it is warm, all of them after that.
    site.list({}, {3});
    EXPECT_EQ(site.loads(group, 0.1, 6), std::set<int>{then}) << group;
    site.script.advance(16s);
    EXPECT_EQ(site.loads(group, 0.1, 6), std::set<int>{first}) << group;
  }
  EXPECT_GE(moved, 1);
}

}  // namespace
}  // namespace steprail::testing
