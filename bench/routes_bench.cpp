// What routes cost and bring. Ratios and counts within this one run; the last line is JSON.
#include <CLI/CLI.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

#include "bench/bench.h"
#include "bench/ordinary.h"
#include "conf/document.h"
#include "routes/check/check.h"
#include "routes/plan/plan.h"
#include "standins/route_world.h"

namespace {

using namespace steprail;
using namespace steprail::routes;
using namespace steprail::bench;
using nlohmann::json;
using World = standin::RouteWorld;
using namespace std::chrono_literals;

std::vector<Route> some_routes(std::size_t count) {
  std::vector<Route> routes;
  for (std::size_t i = 0; i < count; ++i) {
    Route route;
    route.name = "r" + std::to_string(i);
    const int n = static_cast<int>(i);
    // By class, tenant and group, each twice: light and heavy.
    route.match = {n / 2 % 3, n / 6 % 20, n / 120, -1, {}, {}};
    route.match.work_ms = i % 2 == 0 ? Range{0, 100} : Range{100, 1e9};
    routes.push_back(route);
  }
  return routes;
}

double match_over_linear(std::size_t count, int rounds) {
  const auto routes = some_routes(count);
  const RouteTree tree(routes);
  pcg32 random(5);
  std::vector<Facts> facts(2000);
  for (Facts& f : facts)
    f = {static_cast<int>(random(3)), static_cast<int>(random(20)),
         static_cast<int>(random(9)), 0,
         random(200) * 1.0,           0};
  std::size_t sum = 0, other = 0;
  const double fast = ns_each(facts.size(), rounds, [&] {
    for (const Facts& f : facts) sum += tree.match(f).value_or(0);
  });
  const double plain = ns_each(facts.size(), rounds, [&] {
    for (const Facts& f : facts) other += match_linear(routes, f).value_or(0);
  });
  if (sum != other) std::abort();
  return fast / plain;
}

struct Platform {
  Settings settings = World::usual();
  NameTables tables;
  Platform() {
    settings.classes.push_back(settings.classes[0]);
    for (const char* name : {"report", "load", "lookup"}) tables.classes.add(name);
    for (int i = 0; i < 20; ++i) tables.tenants.add("t" + std::to_string(i));
    tables.zones.add("here"), tables.kinds.add("box");
  }
};

json check_time(std::size_t count) {
  const Platform platform;
  std::string text;
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t cls = i / 2 % 3;
    text += "route r" + std::to_string(i) + " {\n  class " +
            platform.tables.classes.name(static_cast<int>(cls)) + "\n  tenant t" +
            std::to_string(i / 6 % 20) + "\n  group " + std::to_string(i / 120) +
            (i % 2 == 0 ? "\n  work 0 100" : "\n  work 100 1000000") + "\n  patience " +
            std::to_string(1000 + i % 97 * 10) + "ms\n  attempts " + (cls == 1 ? "1" : "3") +
            "\n  pause 100ms jitter 20%\n}\n";
  }
  const auto start = Time::now();
  RouteConf conf;
  conf::Schema schema;
  register_routes(schema, conf);
  const auto faults = schema.apply(conf::parse("bench", text));
  std::vector<Wrong> wrong;
  const RouteSet set = resolve(conf, platform.tables, wrong);
  const auto found = check(conf, set, platform.settings, platform.tables);
  if (!faults.empty() || !wrong.empty() || !found.empty()) std::abort();
  return seconds_since(start) * 1000;
}

// Engines fail nine answers in ten for a while.
struct Storm {
  double amplification{}, goodput_after{};
};
Storm storm(std::optional<double> ration, bool quick) {
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
  const int requests = quick ? 2000 : 20'000;
  for (int i = 0; i < requests; ++i) {
    // Clients come again twice where they were not served.
    const RequestId id = world.arrive();
    world.run(world.now() + 10ms);
    if (i % 2 == 0 && world.told[id].ended && !world.told[id].served) world.arrive();
  }
  std::size_t sent = 0;
  for (const auto& [_, told] : world.told) sent += told.sent.size();
  const double amplification = static_cast<double>(sent) / static_cast<double>(world.told.size());
  fault = false;
  world.run(world.now() + 10s);
  std::size_t served = 0;
  for (int i = 0; i < 500; ++i) {
    const RequestId id = world.arrive();
    world.run(world.now() + 60ms);
    served += world.told[id].served;
  }
  return {amplification, static_cast<double>(served) / 500};
}

// One tenant asks for ten times what it may have, the other for nine tenths of its share.
double tenant_kept() {
  FairShare shares({0.5, 0.5});
  std::multimap<std::int64_t, std::size_t> out;
  std::uint64_t asked = 0, in = 0;
  for (std::int64_t now = 0; now < 60'000; ++now) {
    while (!out.empty() && out.begin()->first <= now) {
      shares.left(out.begin()->second);
      out.erase(out.begin());
    }
    const auto ask = [&](std::size_t tenant) {
      if (!shares.asks(tenant, 20, Micros{now * 1000})) return false;
      shares.entered(tenant);
      out.emplace(now + 100, tenant);
      return true;
    };
    ask(1);
    if (now % 11 == 0) ++asked, in += ask(0);
  }
  return static_cast<double>(in) / static_cast<double>(asked);
}

// Worth a second with the planned routes over none, by the planner's own model, on three stated mixes.
json plan_gain() {
  const char* mixes[][2] = {
      {"calm",
       "engines {\n  cores 64\n}\ntraffic l {\n  class lookup\n  rate 100\n  time 40ms\n  lost 1%\n}\n"
       "traffic r {\n  class report\n  rate 20\n  time 700ms spread 60%\n  lost 2%\n}\n"},
      {"rush",
       "engines {\n  cores 64\n}\ntraffic l {\n  class lookup\n  rate 300\n  time 60ms\n  lost 2%\n}\n"
       "traffic r {\n  class report\n  rate 90\n  time 900ms spread 80%\n  lost 4%\n}\n"
       "traffic w {\n  class load\n  rate 5\n  time 1500ms\n}\n"},
      {"bad-plans",
       "engines {\n  cores 64\n}\ntraffic l {\n  class lookup\n  rate 100\n  time 40ms\n  lost 5%\n}\n"
       "traffic r {\n  class report\n  rate 40\n  time 600ms spread 100%\n  lost 20%\n}\n"}};
  Platform platform;
  platform.settings.classes[0].late_share = 0.3;
  platform.settings.classes[2].hard_limit = 4s, platform.settings.classes[2].objective = 300ms;
  platform.settings.retry_budget_ratio = 0.1;
  json out;
  for (const auto& [name, text] : mixes) {
    Traffic traffic;
    conf::Schema schema;
    register_traffic(schema, traffic);
    if (!schema.apply(conf::parse(name, text)).empty()) std::abort();
    const Plan planned = plan(traffic, platform.settings, platform.tables);
    if (!planned.fault.empty()) std::abort();
    out[name] = planned.worth / planned.worth_before;
  }
  return {{"plan_gain", out}};
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"what routes cost and bring"};
  bool quick = false;
  std::string program = STEPRAIL, before, only;
  app.add_flag("--quick", quick, "under 20 s");
  app.add_option("--program", program, "the program to measure");
  app.add_option("--before", before, "an earlier build of it, to compare the ordinary path with");
  app.add_option("--only", only, "one part: match, check, storm, tenant, plan, cost");
  CLI11_PARSE(app, argc, argv);
  json out = {{"bench", "routes"}, {"quick", quick}};
  const auto part = [&](const std::string& name, const std::function<json()>& run) {
    if (!only.empty() && only != name) return;
    std::cout << name << " ..." << std::endl;
    const json found = run();
    out.update(found);
    std::cout << "  " << found.dump() << std::endl;
  };
  part("match", [&] {
    json found;
    for (const std::size_t n : {10u, 100u, 1000u})
      found["match_over_linear"][std::to_string(n)] = match_over_linear(n, quick ? 5 : 15);
    found["tree_nodes_1000"] = RouteTree(some_routes(1000)).nodes();
    return found;
  });
  part("check", [&] {
    return json{{"check_ms", check_time(quick ? 200 : 1000)}, {"check_routes", quick ? 200 : 1000}};
  });
  part("storm", [&] {
    const Storm with = storm(0.1, quick), without = storm(std::nullopt, quick);
    return json{
        {"amplification", {{"ration_10", with.amplification}, {"none", without.amplification}}},
        {"goodput_after_fault", {{"ration_10", with.goodput_after}, {"none", without.goodput_after}}}};
  });
  part("tenant", [] { return json{{"tenant_within_share_kept", tenant_kept()}}; });
  part("plan", [] { return plan_gain(); });
  part("cost", [&] {
    return ordinary_cost(program, before, "route r {\n  class lookup\n  attempts 2\n  limit 64 1000\n}\n",
                         quick);
  });
  std::cout << out.dump() << std::endl;
  return 0;
}
