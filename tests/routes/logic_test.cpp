// Routes in virtual time: matching against the plain scan, limits against plain rules, and the decision
// module under a route's figures.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <deque>
#include <set>

#include "routes/logic/route_logic.h"
#include "standins/route_world.h"

namespace {

using namespace steprail;
using namespace steprail::routes;
using World = steprail::standin::RouteWorld;
using namespace std::chrono_literals;

int any_index() { return *rc::gen::weightedElement<int>({{3, -1}, {1, 0}, {1, 1}, {1, 2}}); }

Range any_range() {
  if (*rc::gen::inRange(0, 3) == 0) {
    const int from = *rc::gen::inRange(0, 5), to = *rc::gen::inRange(from + 1, 7);
    return {from * 10.0, to * 10.0};
  }
  return {};
}

std::vector<Route> any_routes(int most) {
  std::vector<Route> routes;
  const int count = *rc::gen::inRange(0, most);
  for (int i = 0; i < count; ++i) {
    Route route;
    route.name = "r" + std::to_string(i);
    route.match = {any_index(), any_index(), any_index(), any_index(), any_range(), any_range()};
    routes.push_back(route);
    // Only what is free of ambiguities can be matched at all.
    if (!ambiguities(routes).empty()) routes.pop_back();
  }
  return routes;
}

Facts any_facts() {
  return {*rc::gen::inRange(0, 4), *rc::gen::inRange(0, 4),        *rc::gen::inRange(-1, 4),
          *rc::gen::inRange(0, 4), *rc::gen::inRange(0, 70) * 1.0, *rc::gen::inRange(0, 70) * 1.0};
}

Route route(const std::string& name, Match match, routes::Terms terms = {}) {
  return {name, 1, match, std::move(terms)};
}

}  // namespace

TEST_CASE("routes: the tree finds what the scan finds, and that is within all others that match") {
  rc::prop("random routes and requests", [] {
    const auto routes = any_routes(14);
    const RouteTree tree(routes);
    for (int i = 0; i < 30; ++i) {
      const Facts facts = any_facts();
      const auto found = tree.match(facts);
      RC_ASSERT(found == match_linear(routes, facts));
      for (const Route& other : routes) {
        if (!other.match.holds(facts)) continue;
        RC_ASSERT(found.has_value());
        RC_ASSERT(routes[*found].match.within(other.match));
      }
    }
  });
}

TEST_CASE("routes: of two that cross each other neither is the more specific, unless a third one says") {
  const Match cls{1, -1, -1, -1, {}, {}}, tenant{-1, 2, -1, -1, {}, {}}, both{1, 2, -1, -1, {}, {}};
  CHECK(ambiguities({route("a", cls), route("b", tenant)}).size() == 1);
  CHECK(ambiguities({route("a", cls), route("b", tenant), route("c", both)}).empty());
  CHECK(ambiguities({route("a", cls), route("b", cls)}).size() == 1);
  // Two files, each right, whose merge is wrong.
  Match light = cls, heavy = cls;
  light.work_ms = {0, 100}, heavy.work_ms = {50, 500};
  CHECK(ambiguities({route("a", light)}).empty());
  CHECK(ambiguities({route("b", heavy)}).empty());
  CHECK(ambiguities({route("a", light), route("b", heavy)}).size() == 1);
  heavy.work_ms = {100, 500};
  CHECK(ambiguities({route("a", light), route("b", heavy)}).empty());
}

TEST_CASE("routes: a thousand routes stay a small tree") {
  std::vector<Route> routes;
  for (int i = 0; i < 1000; ++i)
    routes.push_back(route("r" + std::to_string(i), {i % 5, i / 5 % 20, i / 100, -1, {}, {}}));
  REQUIRE(ambiguities(routes).empty());
  const RouteTree tree(routes);
  CHECK(tree.nodes() < 3000);
  for (int i = 0; i < 1000; ++i)
    CHECK(tree.match({i % 5, i / 5 % 20, i / 100, 0, 0, 0}) == static_cast<std::size_t>(i));
}

TEST_CASE("routes: a pattern matches as a scan of all splits does") {
  rc::prop("against the plain recursion", [] {
    const auto letters = rc::gen::container<std::string>(rc::gen::element('a', 'b', '*', '?'));
    const auto pattern = *rc::gen::resize(8, letters);
    const auto name = *rc::gen::resize(8, rc::gen::container<std::string>(rc::gen::element('a', 'b')));
    const auto plain = [](auto&& self, std::string_view p, std::string_view n) -> bool {
      if (p.empty()) return n.empty();
      if (p[0] == '*') return self(self, p.substr(1), n) || (!n.empty() && self(self, p, n.substr(1)));
      return !n.empty() && (p[0] == '?' || p[0] == n[0]) && self(self, p.substr(1), n.substr(1));
    };
    RC_ASSERT(matches_pattern(pattern, name) == plain(plain, pattern, name));
  });
}

TEST_CASE("routes: limits are never exceeded, and places come back exactly once") {
  rc::prop("random arrivals, ends and reloads against a plain count", [] {
    const int least = *rc::gen::inRange(1, 6), most = *rc::gen::inRange(least, 20);
    routes::Terms terms;
    terms.limit_least = least, terms.limit_most = most;
    RouteSet set{{route("r", {}, terms)}, {}};
    Micros now{1};
    RouteLogic logic(set, {0.5, 0.5}, now);
    std::set<RequestId> open;
    RequestId last = 0;
    double limit_before = 0;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000))) {
      now += Micros{step * 100};
      if (step % 3 != 0 || open.empty()) {
        const auto entry = logic.arrived(++last, {0, step % 2, -1, 0, 0, 0}, now);
        if (entry.let == Let::kIn) open.insert(last);
      } else {
        const RequestId id = *open.begin();
        open.erase(open.begin());
        logic.left(id, static_cast<RouteLogic::How>(step % 4), now);
        logic.left(id, RouteLogic::How::kServed, now);  // a second end counts for nothing
      }
      if (step % 97 == 0) {
        // A limit that keeps its name keeps its history.
        limit_before = logic.standing("r")->limit;
        logic.reconfigure(set, {0.5, 0.5}, now);
        RC_ASSERT(logic.standing("r")->limit == limit_before);
      }
      const auto standing = *logic.standing("r");
      RC_ASSERT(standing.out == static_cast<int>(open.size()));
      RC_ASSERT(standing.out <= most);
      RC_ASSERT(standing.limit >= least);
      RC_ASSERT(standing.limit <= most);
    }
  });
}

TEST_CASE("routes: the limit opens while work is quick and comes down where it is not") {
  AdaptiveLimit limit;
  limit.set(4, 100);
  Micros now{0};
  const auto round = [&](Micros took, bool good) {
    int in = 0;
    while (limit.room()) limit.entered(), ++in;
    now += took;
    for (int i = 0; i < in; ++i) limit.left(took, good, true, now);
  };
  for (int i = 0; i < 60; ++i) round(10ms, true);
  const double open = limit.limit();
  CHECK(open > 30);
  for (int i = 0; i < 20; ++i) round(100ms, true);
  CHECK(limit.limit() < open / 2);
  CHECK(limit.limit() >= 4);
  const double slow = limit.limit();
  for (int i = 0; i < 60; ++i) round(10ms, true);
  CHECK(limit.limit() > slow);
  // What presses against nothing opens nothing.
  AdaptiveLimit idle;
  idle.set(10, 100);
  for (int i = 0; i < 1000; ++i) idle.entered(), idle.left(10ms, true, true, now += 10ms);
  CHECK(idle.limit() == 10);
}

TEST_CASE("routes: a tenant at ten times its share leaves the one within its share alone") {
  FairShare shares({0.5, 0.5});
  constexpr double kPlaces = 20;
  std::deque<std::pair<std::int64_t, std::size_t>> out;
  std::uint64_t quiet_asked = 0, quiet_in = 0, loud_in = 0;
  for (std::int64_t now = 0; now < 60'000; ++now) {  // milliseconds
    while (!out.empty() && out.front().first <= now) {
      shares.left(out.front().second);
      out.pop_front();
    }
    const auto ask = [&](std::size_t tenant) {
      if (!shares.asks(tenant, kPlaces, Micros{now * 1000})) return false;
      shares.entered(tenant);
      out.emplace_back(now + 100, tenant);
      return true;
    };
    // 100 ms each, 20 places: 200 a second. The loud one wants 1,000, the quiet one 90 of its 100.
    loud_in += ask(1);
    if (now * 90 / 1000 != (now - 1) * 90 / 1000) ++quiet_asked, quiet_in += ask(0);
    CHECK(shares.out() <= kPlaces);
  }
  CHECK(static_cast<double>(quiet_in) >= 0.99 * static_cast<double>(quiet_asked));
  // And what the quiet one leaves is used.
  CHECK(loud_in > 60 * 95);
}

TEST_CASE("routes: a pool that returns from nothing begins small, one that was never empty does not") {
  routes::Terms terms;
  terms.limit_least = 100, terms.limit_most = 100, terms.pool = "p";
  Pool pool;
  pool.name = "p", pool.slow_start = 10s, pool.slow_from = 0.1, pool.pattern = "a*";
  RouteLogic logic({{route("r", {}, terms)}, {pool}}, {}, Micros{0});
  const std::vector<RouteLogic::Engine> all{{0, "a0", 0, 0}, {1, "b0", 0, 0}};
  const auto lets_in = [&](Micros now) {
    RequestId id = 1;
    int in = 0;
    for (; id < 300; ++id) in += logic.arrived(id, {}, now).let == Let::kIn;
    for (id = 1; id < 300; ++id) logic.left(id, RouteLogic::How::kGone, now);
    return in;
  };
  logic.engines(all, 1s);
  CHECK(logic.news().pools.at(0) == std::vector<bool>{true, false});
  CHECK(lets_in(1s) == 100);
  logic.engines({}, 2s);
  CHECK(logic.news().pools.at(0).empty());
  logic.engines(all, 20s);
  CHECK(lets_in(20s) == 10);
  CHECK(lets_in(25s) == 55);
  CHECK(lets_in(30s) == 100);
}

TEST_CASE("routes: a rate holds in every window") {
  rc::prop("random times", [] {
    RateLimit rate;
    const int a_second = *rc::gen::inRange(1, 50), burst = *rc::gen::inRange(1, 20);
    rate.set(a_second, burst);
    std::vector<std::int64_t> taken;
    std::int64_t now = 0;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100'000))) {
      now += step;
      if (rate.take(Micros{now})) taken.push_back(now);
    }
    for (std::size_t i = 0; i < taken.size(); ++i) {
      for (std::size_t j = i; j < taken.size(); ++j) {
        const double window = static_cast<double>(taken[j] - taken[i]) / 1e6;
        RC_ASSERT(static_cast<double>(j - i + 1) <= burst + window * a_second + 1);
      }
    }
  });
}

// ---- The decision module under a route's figures ----

TEST_CASE(
    "routes: on hanging engines patience acts at its time, attempts stop at their number, the answer is in "
    "time") {
  RouteParameters figures;
  figures.attempt_timeouts = {1s, 2s};
  figures.retry_delay = 500ms;
  figures.max_attempts = 3;
  World world(figures);
  const RequestId id = world.arrive();
  world.run(20s);
  const auto& told = world.told[id];
  REQUIRE(told.sent.size() == 3);
  CHECK(told.sent[0].patience == 1s);
  CHECK(told.sent[1].patience == 2s);
  CHECK(told.sent[2].patience == 2s);
  CHECK(told.sent[1].at - told.sent[0].at == 1500ms);
  CHECK(told.sent[2].at - told.sent[1].at == 2500ms);
  CHECK(told.most_out == 1);
  REQUIRE(told.ended);
  CHECK(told.answers == 1);
  // At once with the last attempt's end, not at the limit.
  CHECK(*told.ended - told.sent[2].at == 2s);
}

TEST_CASE(
    "routes: whatever is set, one attempt is out at a time, a load runs once, and one answer comes in time") {
  rc::prop("random figures, adversarial engines", [] {
    RouteParameters figures;
    for (int i = *rc::gen::inRange(0, 3); i > 0; --i)
      figures.attempt_timeouts.push_back(Micros{*rc::gen::inRange(10'000, 20'000'000)});
    figures.retry_delay = Micros{*rc::gen::inRange(0, 4'000'000)};
    figures.retry_jitter = *rc::gen::inRange(0, 101) / 100.0;
    figures.max_attempts = *rc::gen::inRange(0, 9);
    figures.move_after = Micros{*rc::gen::inRange(0, 2) * *rc::gen::inRange(100'000, 3'000'000)};
    if (*rc::gen::arbitrary<bool>())
      figures.retry_budget_ratio = *rc::gen::inRange(0, 50) / 100.0,
      figures.retry_budget_burst = *rc::gen::inRange(0, 5);
    World world(figures,
                *rc::gen::arbitrary<bool>() ? std::vector<bool>{true, false, true} : std::vector<bool>{});
    const auto fates = *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(0, 4));
    std::size_t next = 0;
    world.fate = [&](int) -> World::Fate {
      const int fate = fates[next++ % fates.size()];
      if (fate == 0) return std::nullopt;
      return std::pair{fate == 1   ? Outcome::kConnectionLost
                       : fate == 2 ? Outcome::kRejected
                                   : Outcome::kDelivered,
                       Micros{300'000}};
    };
    for (int i = 0; i < 6; ++i) {
      world.arrive(i % 2);
      world.run(world.now() + 200ms);
    }
    world.run(world.now() + 30s);
    for (const auto& [id, told] : world.told) {
      RC_ASSERT(told.ended.has_value());
      RC_ASSERT(told.answers == 1);
      RC_ASSERT(told.most_out <= 1);
      RC_ASSERT(static_cast<int>(told.sent.size()) <=
                (figures.max_attempts > 0 ? std::min(figures.max_attempts, 4) : 4));
    }
  });
}

TEST_CASE("routes: what has no place is refused at once, and a pool's requests go to its engines alone") {
  World world({}, {false, true, false, true});
  world.fate = [](int) { return World::Fate{{Outcome::kDelivered, 50ms}}; };
  const RequestId turned = world.arrive(0, true);
  CHECK(world.told[turned].sent.empty());
  CHECK(world.told[turned].refused);
  CHECK(*world.told[turned].ended == world.now());
  std::set<int> seen;
  for (int i = 0; i < 50; ++i) {
    const RequestId id = world.arrive();
    world.run(world.now() + 100ms);
    REQUIRE(world.told[id].sent.size() == 1);
    seen.insert(world.told[id].sent[0].engine);
  }
  CHECK(seen == std::set<int>{1, 3});
  // The pool loses all its engines: refused at once, and served again when they are back.
  RouteParameters figures;
  figures.id = 1, figures.pool = 0;
  const auto route = std::make_shared<const RouteParameters>(figures);
  world.feed(RoutesUpdate{{route}, {{}}});
  const RequestId lost = world.arrive();
  CHECK(world.told[lost].refused);
  world.feed(RoutesUpdate{{route}, {{true}}});
  const RequestId back = world.arrive();
  world.run(world.now() + 1s);
  CHECK(world.told[back].served);
}

TEST_CASE(
    "routes: memory and priority are the route's where engines heed them, within what an engine gives one "
    "query") {
  RouteParameters figures;
  figures.memory_mb = 9000, figures.priority = 3;
  for (const bool heeded : {true, false}) {
    Settings s = World::usual();
    s.honors_memory = s.honors_priority = heeded;
    s.max_memory_share = 0.25;  // of 16,384 MB
    World world(figures, {}, 2, s);
    const RequestId id = world.arrive();
    CHECK(world.told[id].memory_mb == (heeded ? 4096 : 0));
    CHECK(world.told[id].priority == (heeded ? 3 : 1));
  }
}

TEST_CASE("routes: open requests keep their figures over a reload, also where their route goes") {
  RouteParameters figures;
  figures.attempt_timeouts = {1s};
  figures.retry_delay = 1s;
  figures.max_attempts = 3;
  figures.retry_budget_ratio = 1;
  figures.retry_budget_burst = 9;
  World world(figures);
  const RequestId id = world.arrive();
  world.run(500ms);
  world.feed(RoutesUpdate{});
  world.run(700ms);
  world.feed(RoutesUpdate{});
  world.run(20s);
  CHECK(world.told[id].sent.size() == 3);
  CHECK(world.told[id].ended.has_value());
}

// Engines fail nine answers in ten, and clients come again twice: the ration keeps what goes out near what
// came in.
TEST_CASE("routes: a retry storm stays within the ration, and service comes back when the fault ends") {
  const auto storm = [](std::optional<double> ration) {
    RouteParameters figures;
    figures.retry_budget_ratio = ration;
    figures.retry_budget_burst = 5;
    Settings s = World::usual();
    s.classes[0].hard_limit = 4s;
    World world(figures, {}, 4, s);
    int answers = 0;
    bool fault = true;
    world.fate = [&](int) {
      const bool good = !fault || ++answers % 10 == 0;
      return World::Fate{{good ? Outcome::kDelivered : Outcome::kConnectionLost, 40ms}};
    };
    std::size_t first = 0;
    for (int i = 0; i < 1000; ++i, ++first) {
      world.arrive();
      world.run(world.now() + 20ms);
    }
    std::size_t sent = 0;
    for (const auto& [_, told] : world.told) sent += told.sent.size();
    fault = false;
    world.run(world.now() + 5s);
    std::size_t served = 0;
    for (int i = 0; i < 200; ++i) {
      const RequestId id = world.arrive();
      world.run(world.now() + 20ms);
      world.run(world.now() + 60ms);
      served += world.told[id].served;
    }
    return std::pair{static_cast<double>(sent) / static_cast<double>(first), served};
  };
  const auto [with, after] = storm(0.1);
  const auto [without, after_too] = storm(std::nullopt);
  CHECK(with <= 1 + 0.1 + 5.0 / 1000 + 0.01);
  CHECK(without > 1.5);
  CHECK(after >= 198);
  (void)after_too;
}
