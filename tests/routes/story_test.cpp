// Stories of routes over loopback: hanging engines, files that could break a rule, and reloads.
#include <catch2/catch.hpp>
#include <sstream>

#include "commands/explain.h"
#include "commands/plan.h"
#include "standins/site.h"

namespace {

using namespace steprail;
using namespace steprail::standin;
using std::chrono::milliseconds;

Site::Options options(const std::string& conf, std::size_t engines = 3) {
  Site::Options options;
  options.engines = engines;
  options.conf = conf;
  return options;
}

Reply execute(Site& site, Client& client, const std::string& id, const std::string& verb = "report",
              int limit = 9000) {
  client.call("execute", 1, request(id, verb, "acme", limit), "select 1 from a_7.t");
  const auto reply = site.wait_for_reply(client);
  REQUIRE(reply);
  return *reply;
}

const std::string kId = "00000000000000a1";

}  // namespace

TEST_CASE(
    "routes: on engines that hang a route's patience and attempts act, and the answer comes before the "
    "limit") {
  Site site(options(
      "route r {\n  class report\n  attempts 2\n  patience 300ms\n  patience 600ms\n  pause 100ms\n}\n"));
  site.script->fault = [](const FaultPoint& m) {
    return m.stage == FaultPoint::Stage::kAck ? Fault::kSilent : Fault::kNone;
  };
  const auto client = site.client();
  const auto start = std::chrono::steady_clock::now();
  const Reply reply = execute(site, *client, kId);
  const auto took = std::chrono::steady_clock::now() - start;
  CHECK(reply.field != 0);
  CHECK(site.run_count(kId) == 2);
  // 300 + 100 + 600, and no sooner; the limit of 9 s is far.
  CHECK(took >= milliseconds(1000));
  CHECK(took < milliseconds(5000));
  REQUIRE(site.server->routes()->logic().open() == 0);
  CHECK(site.server->broken_invariants() == 0);
}

TEST_CASE("routes: what finds no place is refused at once, and the place comes back with the answer") {
  Site site(options("route r {\n  class report\n  limit 1 1\n}\n"));
  site.script->run_time = milliseconds(300);
  const auto first = site.client(), second = site.client();
  first->call("execute", 1, request(kId), "select 1 from a_7.t");
  REQUIRE(site.run_until([&] { return site.run_count(kId) == 1; }));
  const Reply turned = execute(site, *second, "00000000000000a2");
  CHECK(turned.field == 1);  // refused
  CHECK(site.run_count("00000000000000a2") == 0);
  REQUIRE(site.wait_for_reply(*first)->field == 0);
  CHECK(execute(site, *second, "00000000000000a3").field == 0);
  // Other classes do not pass by that route.
  CHECK(execute(site, *second, "00000000000000a4", "lookup").field == 0);
}

TEST_CASE("routes: a pool's requests go to its engines, and are refused while it has none") {
  Site site(
      options("pool p {\n  engines engine1\n}\npool q {\n  engines elsewhere*\n}\n"
              "route r {\n  class report\n  pool p\n}\nroute l {\n  class lookup\n  pool q\n}\n"));
  const auto client = site.client();
  for (int i = 0; i < 6; ++i) {
    const std::string id = "00000000000000b" + std::to_string(i);
    CHECK(execute(site, *client, id).field == 0);
    CHECK(site.engine_running(id) == site.engines[1].get());
  }
  CHECK(execute(site, *client, "00000000000000c1", "lookup").field == 1);
}

TEST_CASE(
    "routes: a file that could break a rule stops the start with its place, and a reload changes nothing") {
  const std::string good = "route r {\n  class report\n  attempts 2\n  patience 1s\n}\n";
  const std::string bad = "route r {\n  class report\n  attempts 3\n  patience 8s\n}\n";
  std::string told;
  try {
    Site site(options(bad));
  } catch (const std::runtime_error& fault) {
    told = fault.what();
  }
  INFO(told);
  CHECK(told.find("steprail.conf:4:3: report may be out for 3 x 8 s = 24 s, given up after 20 s") !=
        std::string::npos);
  CHECK(told.find("patience 8s") != std::string::npos);
  Site site(options(good));
  for (const std::string& next :
       {bad, std::string("route r {\n  class report\n  attempts 3"), std::string("route {\n}\n"),
        std::string("route a {\n}\nroute b {\n}\n"), std::string("route r {\n  class raport\n}\n")}) {
    site.write_conf(next);
    site.server->reload();
    REQUIRE(site.server->routes()->logic().set().routes.size() == 1);
    CHECK(site.server->routes()->logic().set().routes[0].terms.patience.front() == std::chrono::seconds(1));
  }
}

TEST_CASE("routes: explain names the route that holds, and what keeps each other one from it") {
  Site site(options(
      "route all {\n  class report\n  attempts 2\n}\nroute acme {\n  class report\n  tenant acme\n"
      "  patience 2s\n  limit 4 40\n}\nroute heavy {\n  class report\n  tenant acme\n  work 500 9000\n}\n"
      "route l {\n  class lookup\n}\n"));
  const auto told = [&](commands::ExplainOptions asked) {
    asked.config = site.temp_dir.path("config.json"), asked.conf = site.temp_dir.path("steprail.conf");
    std::ostringstream out;
    commands::explain(asked, out);
    return out.str();
  };
  commands::ExplainOptions asked;
  asked.cls = "report", asked.tenant = "acme", asked.work_ms = 20;
  CHECK(told(asked) ==
        "route all of line 1 matches, but acme is more specific\n"
        "route acme of line 5 holds\n"
        "route heavy of line 11 is for work from 500 and below 9000 ms, this is 20\n"
        "route l of line 16 is for class lookup\n"
        "  patience of attempt 1 and all further ones: 2 s\n"
        "  open at a time: from 4, following delay, up to 40\n");
  asked.cls = "load";
  CHECK(told(asked).find("no route matches") != std::string::npos);
  asked.cls = "loads";
  CHECK_THROWS_WITH(told(asked), Catch::Contains("unknown class 'loads'"));
}

TEST_CASE("routes: a plan for stated traffic is a file that a coordinator starts with") {
  Site site(options("log {\n  level info\n}\n"));
  site.temp_dir.write(
      "traffic",
      "engines {\n  cores 32\n}\ntraffic reports {\n  class report\n  rate 60\n  time 900ms spread 80%\n"
      "  lost 5%\n}\ntraffic loads {\n  class load\n  rate 2\n  time 1500ms\n}\n");
  const auto made = [&](const std::string& conf) {
    std::ostringstream out;
    commands::plan(site.temp_dir.path("config.json"), conf, site.temp_dir.path("traffic"), out);
    return out.str();
  };
  const std::string file = made("");
  INFO(file);
  site.kill();
  site.write_conf(file);
  site.start();
  REQUIRE(site.server->routes() != nullptr);
  CHECK(site.server->routes()->logic().set().routes.size() == 2);
  const auto client = site.client();
  CHECK(execute(site, *client, kId).field == 0);
  // Beside a file that has its own route for reports it does not pass, and says so.
  site.write_conf("route mine {\n  class report\n}\n");
  CHECK_THROWS_WITH(made(site.temp_dir.path("steprail.conf")), Catch::Contains("mine"));
  site.temp_dir.write("traffic", "traffic t {\n  class report\n  rate 1\n  time 5ms\n}\n");
  CHECK_THROWS_WITH(made(""), Catch::Contains("engines"));
}

TEST_CASE(
    "routes: open requests keep their figures over a reload that takes their route away, twice in a row") {
  Site site(options("route r {\n  class report\n  attempts 3\n  patience 300ms\n  pause 200ms\n}\n"));
  site.script->fault = [](const FaultPoint& m) {
    return m.stage == FaultPoint::Stage::kAck ? Fault::kSilent : Fault::kNone;
  };
  const auto client = site.client();
  client->call("execute", 1, request(kId), "select 1 from a_7.t");
  REQUIRE(site.run_until([&] { return site.run_count(kId) == 1; }));
  site.write_conf("route other {\n  class lookup\n}\n");
  site.server->reload();
  site.write_conf("route r {\n  class report\n  attempts 1\n}\n");
  site.server->reload();
  const auto reply = site.wait_for_reply(*client);
  REQUIRE(reply);
  CHECK(site.run_count(kId) == 3);
  CHECK(site.server->routes()->logic().open() == 0);
}
