// The planner against plans tried one by one, and its files against the checker.
#include "routes/plan/plan.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <random>

#include "conf/document.h"
#include "routes/check/check.h"

namespace {

using namespace steprail;
using namespace steprail::routes;
using namespace std::chrono_literals;

struct Platform {
  Settings settings;
  NameTables tables;
  Platform() {
    tables.classes.add("lookup"), tables.classes.add("report"), tables.classes.add("load");
    tables.tenants.add("acme");
    tables.zones.add("here"), tables.kinds.add("box");
    settings.classes.push_back({.objective = 300ms, .hard_limit = 4s, .worth = 1});
    settings.classes.push_back({.objective = 2s, .hard_limit = 15s, .worth = 4, .late_share = 0.3});
    settings.classes.push_back(
        {.objective = 5s, .hard_limit = 20s, .worth = 8, .idempotency = Idempotency::kNone});
    settings.tenants.resize(1);
    settings.kinds.resize(1);
    settings.max_attempts = 3;
    settings.retry_budget_ratio = 0.1;
  }
};

Traffic read(const std::string& text) {
  Traffic traffic;
  conf::Schema schema;
  register_traffic(schema, traffic);
  const conf::Document document = conf::parse("traffic", text);
  const auto faults = schema.apply(document);
  INFO(conf::render_diagnostics(document, faults));
  REQUIRE(faults.empty());
  return traffic;
}

std::vector<Finding> checked(const Plan& plan, const Platform& platform) {
  RouteConf conf;
  conf::Schema schema;
  register_routes(schema, conf);
  const conf::Document document = conf::parse("plan", plan.file());
  const auto faults = schema.apply(document);
  INFO(plan.file());
  REQUIRE(faults.empty());
  std::vector<Wrong> wrong;
  const RouteSet set = resolve(conf, platform.tables, wrong);
  REQUIRE(wrong.empty());
  return check(conf, set, platform.settings, platform.tables);
}

}  // namespace

TEST_CASE("plan: what is expected of an option is what drawing it out gives") {
  const Platform platform;
  const Stream stream{"s", "report", "", 1, 10, 800, 0.7, 0.2};
  for (const auto& [attempts, patience] :
       {std::pair{1, 15000ms}, std::pair{2, 1500ms}, std::pair{3, 900ms}}) {
    const Expected told = expected(stream, platform.settings.classes[1], attempts, patience);
    std::mt19937_64 random(9);
    const double s2 = std::log(1 + 0.49);
    std::lognormal_distribution<double> time(std::log(800) - s2 / 2, std::sqrt(s2));
    std::uniform_real_distribution<double> chance;
    double worth = 0, busy = 0, extra = 0;
    constexpr int kDraws = 200'000;
    for (int i = 0; i < kDraws; ++i) {
      double at = 0;
      for (int k = 0; k < attempts; ++k) {
        extra += k > 0;
        const double takes = chance(random) < 0.2 ? 1e18 : time(random),
                     p = static_cast<double>(patience.count());
        busy += std::min(takes, p);
        if (takes <= p) {
          worth += at + takes <= 2000 ? 4 : 4 * 0.3;
          break;
        }
        at += p;
      }
    }
    CHECK(told.worth == Approx(worth / kDraws).epsilon(0.01));
    CHECK(told.busy_ms == Approx(busy / kDraws).epsilon(0.01));
    CHECK(told.extra == Approx(extra / kDraws).epsilon(0.02).margin(0.001));
  }
}

TEST_CASE(
    "plan: where cores are short the work that brings least for them gives way, and the file passes the "
    "checker") {
  const Platform platform;
  const Traffic traffic = read(
      "engines {\n  cores 32\n}\n"
      "traffic lookups {\n  class lookup\n  rate 50\n  time 40ms\n  lost 2%\n}\n"
      "traffic reports {\n  class report\n  rate 40\n  time 900ms spread 80%\n  lost 5%\n}\n"
      "traffic loads {\n  class load\n  tenant acme\n  rate 2\n  time 1500ms\n}\n");
  const Plan planned = plan(traffic, platform.settings, platform.tables);
  INFO(planned.file());
  REQUIRE(planned.fault.empty());
  REQUIRE(planned.routes.size() == 3);
  CHECK(planned.worth > 1.05 * planned.worth_before);
  CHECK(planned.routes[0].admitted > 0.99);
  CHECK(planned.routes[1].admitted < 0.9);
  CHECK(planned.routes[2].attempts == 1);
  CHECK(checked(planned, platform).empty());
}

TEST_CASE("plan: no mix brings a plan beyond the cores, the ration or the checker") {
  rc::prop("random traffic", [] {
    const Platform platform;
    std::string text = "engines {\n  cores " + std::to_string(*rc::gen::inRange(4, 200)) + "\n}\n";
    const char* names[] = {"lookup", "report", "load"};
    for (int i = 0; i < 3; ++i) {
      text += std::string("traffic t") + std::to_string(i) + " {\n  class " + names[i] + "\n  rate " +
              std::to_string(*rc::gen::inRange(1, 100)) + "\n  time " +
              std::to_string(*rc::gen::inRange(5, 3000)) + "ms spread " +
              std::to_string(*rc::gen::inRange(5, 150)) + "%\n  lost " +
              std::to_string(*rc::gen::inRange(0, 40)) + "%\n}\n";
    }
    const Traffic traffic = read(text);
    const Plan planned = plan(traffic, platform.settings, platform.tables);
    RC_ASSERT(planned.fault.empty());
    double busy = 0, extra = 0, first = 0, worth = 0;
    for (std::size_t i = 0; i < planned.routes.size(); ++i) {
      const PlannedRoute& route = planned.routes[i];
      const Stream& stream = traffic.streams[i];
      const Expected e = expected(stream, platform.settings.classes[i], route.attempts, route.patience);
      busy += stream.rate * route.admitted * e.busy_ms;
      extra += stream.rate * route.admitted * e.extra;
      first += stream.rate * route.admitted;
      worth += stream.rate * route.admitted * e.worth;
    }
    RC_ASSERT(busy <= traffic.cores * 1000 * 0.85 * 1.0001);
    RC_ASSERT(extra <= 0.1 * first + 1e-6);
    RC_ASSERT(std::abs(worth - planned.worth) <= 1e-6 * std::max(1.0, worth));
    // At least as good as no plan, within the gap that the search leaves.
    RC_ASSERT(planned.worth >= planned.worth_before * 0.998);
    RC_ASSERT(checked(planned, platform).empty());
  });
}

TEST_CASE("plan: traffic of a class that nobody has is told with its line") {
  const Platform platform;
  const Plan planned =
      plan(read("engines {\n  cores 8\n}\ntraffic t {\n  class raport\n  rate 1\n  time 5ms\n}\n"),
           platform.settings, platform.tables);
  CHECK(planned.fault.find("line 4") == 0);
}
