// The checker against examples, and against what the decision module does with files that it lets pass.
#include "routes/check/check.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "conf/document.h"

namespace {

using namespace steprail;
using namespace steprail::routes;
using namespace std::chrono_literals;
using Rule = Finding::Rule;

struct Platform {
  Settings settings;
  NameTables tables;
  Platform() {
    tables.classes.add("lookup"), tables.classes.add("report"), tables.classes.add("load");
    tables.tenants.add("acme"), tables.tenants.add("umbra");
    tables.zones.add("north"), tables.zones.add("south");
    tables.kinds.add("box"), tables.kinds.add("rack");
    settings.classes.push_back({.objective = 300ms, .hard_limit = 4s});
    settings.classes.push_back({.objective = 2s, .hard_limit = 15s});
    settings.classes.push_back(
        {.objective = 2s, .hard_limit = 20s, .idempotency = Idempotency::kNone, .zones = {0}});
    settings.tenants.resize(2);
    settings.kinds.resize(2);
    settings.zone_count = 2;
    settings.max_attempts = 4;
    settings.slow_start_share = 0.3;
    settings.slow_start_time = 15s;
    settings.overload_factor = 1;
    settings.retry_budget_ratio = 0.2;
  }
};

RouteConf read(const std::string& text) {
  RouteConf conf;
  conf::Schema schema;
  register_routes(schema, conf);
  const conf::Document document = conf::parse("test", text);
  const auto faults = schema.apply(document);
  INFO(conf::render_diagnostics(document, faults));
  REQUIRE(faults.empty());
  return conf;
}

std::vector<Finding> findings(const std::string& text) {
  const Platform platform;
  const RouteConf conf = read(text);
  std::vector<Wrong> wrong;
  const RouteSet set = resolve(conf, platform.tables, wrong);
  for (const Wrong& one : wrong) UNSCOPED_INFO(one.line << ": " << one.text);
  REQUIRE(wrong.empty());
  return check(conf, set, platform.settings, platform.tables);
}

std::vector<Wrong> faults(const std::string& text) {
  const Platform platform;
  std::vector<Wrong> wrong;
  resolve(read(text), platform.tables, wrong);
  return wrong;
}

}  // namespace

TEST_CASE("check: patience and pauses beyond the give-up time, with the shortest history") {
  const auto found = findings("route r {\n  class report\n  attempts 3\n  patience 6s\n  pause 750ms\n}\n");
  REQUIRE(found.size() == 1);
  CHECK(found[0].rule == Rule::kBeyondLimit);
  CHECK(found[0].line == 4);
  CHECK(found[0].text == "report may be out for 3 x 6 s + 1.5 s = 19.5 s, given up after 15 s");
  REQUIRE(found[0].attempts.size() == 3);
  CHECK(found[0].attempts.back().ends == 19500ms);
  // Two attempts would do already: the history is the shortest one.
  const auto two = findings("route r {\n  class report\n  attempts 4\n  patience 8s\n}\n");
  REQUIRE(two.size() == 1);
  CHECK(two[0].text == "report may be out for 2 x 8 s = 16 s, given up after 15 s");
  CHECK(findings("route r {\n  class report\n  attempts 2\n  patience 7s\n  pause 1s\n}\n").empty());
  // Jitter counts: 7 + 7 + 1 would do, 7 + 7 + 1.5 does not.
  CHECK(
      findings("route r {\n  class report\n  attempts 2\n  patience 7s\n  pause 1s jitter 50%\n}\n").size() ==
      1);
  CHECK(findings("route r {\n  class lookup\n  patience 5s\n}\n")[0].text ==
        "lookup may be out for 5 s, given up after 4 s");
  // A file that is right for one class and wrong for another.
  const auto all = findings("route r {\n  attempts 2\n  patience 3s\n  tenant acme\n}\n");
  REQUIRE(all.size() == 2);
  CHECK(all[0].text.find("lookup may be out for 2 x 3 s = 6 s") == 0);
  CHECK(all[1].rule == Rule::kSecondRun);
  // Where a more specific route holds for every lookup, the general one is not asked about them.
  CHECK(findings("route all {\n  attempts 1\n  patience 6s\n}\nroute l {\n  class lookup\n}\n").empty());
}

TEST_CASE("check: a second attempt of a load, and two attempts out at once") {
  const auto load = findings("route r {\n  class load\n  attempts 2\n}\n");
  REQUIRE(load.size() == 1);
  CHECK(load[0].rule == Rule::kSecondRun);
  CHECK(load[0].line == 3);
  CHECK(load[0].attempts.size() == 2);
  CHECK(findings("route r {\n  class load\n  attempts 1\n  patience 9s\n}\n").empty());
  const auto copy = findings("route r {\n  class report\n  patience 5s\n  attempts 2\n  copy-after 2s\n}\n");
  REQUIRE(copy.size() == 1);
  CHECK(copy[0].rule == Rule::kTwoOut);
  CHECK(copy[0].line == 5);
  CHECK(copy[0].text ==
        "report may have two attempts out at once: a copy leaves after 2 s, and the first attempt may be out "
        "for 5 s");
  CHECK(findings("route r {\n  class report\n  patience 5s\n  attempts 2\n  copy-after 5s\n}\n").empty());
  // Without a patience the first attempt may be out until the client gives up.
  CHECK(findings("route r {\n  class report\n  attempts 2\n  copy-after 14s\n}\n").size() == 1);
}

TEST_CASE(
    "check: a pool that no engine can be in, a start too quick for cold engines, rations beyond the rule's") {
  const auto pool = findings("pool p {\n  zone south\n}\nroute r {\n  class load\n  pool p\n}\n");
  REQUIRE(pool.size() == 1);
  CHECK(pool[0].rule == Rule::kEmptyPool);
  CHECK(pool[0].line == 6);
  CHECK(findings("pool p {\n  zone south\n}\nroute r {\n  class report\n  pool p\n}\n").empty());
  const auto cold = findings("pool p {\n  slow-start 5s 10%\n}\nroute r {\n  class report\n  pool p\n}\n");
  REQUIRE(cold.size() == 1);
  CHECK(cold[0].rule == Rule::kColdStart);
  CHECK(cold[0].line == 2);
  CHECK(findings("pool p {\n  slow-start 10m 10%\n}\nroute r {\n  class report\n  pool p\n}\n").empty());
  const auto ration =
      findings("route a {\n  class report\n  ration 10%\n}\nroute b {\n  class lookup\n  ration 30%\n}\n");
  REQUIRE(ration.size() == 1);
  CHECK(ration[0].rule == Rule::kRation);
  CHECK(ration[0].line == 7);
}

TEST_CASE("check: units mixed up, ranges the wrong way round and a name twice are faults with their places") {
  const auto told = [](const std::string& text) {
    RouteConf conf;
    conf::Schema schema;
    register_routes(schema, conf);
    const conf::Document document = conf::parse("f", text);
    return conf::render_diagnostics(document, schema.apply(document));
  };
  CHECK(told("route r {\n  patience 6\n}\n").find("f:2:12: '6' is not") == 0);
  CHECK(told("route r {\n  patience 6m\n  limit 5s 9\n}\n").find("f:3:9: '5s' is not") == 0);
  CHECK(told("route r {\n  limit 9 5\n}\n").find("LEAST is more than MOST") != std::string::npos);
  CHECK(told("route r {\n  work 50 50\n}\n").find("f:2:8:") == 0);
  CHECK(told("route r {\n}\nroute r {\n}\n").find("f:3:1: block 'route r' stands in line 1 already") == 0);
  CHECK(told("route r {\n  pause 1s jitter 150%\n}\n").find("out of range") != std::string::npos);
  CHECK(told("route r {\n  patiense 1s\n}\n").find("did you mean 'patience'?") != std::string::npos);
}

TEST_CASE("check: names that nobody has, and routes of which neither is the more specific") {
  const auto names = faults("route r {\n  class raport\n  tenant acme\n  pool q\n}\n");
  REQUIRE(names.size() == 2);
  CHECK(names[0].line == 2);
  CHECK(names[1].line == 4);
  CHECK(names[0].text == "no class is named 'raport'; did you mean 'report'?");
  const auto both = faults("route a {\n  class report\n}\nroute b {\n  tenant acme\n}\n");
  REQUIRE(both.size() == 1);
  CHECK(both[0].line == 4);
  CHECK(both[0].text.find("line 1") != std::string::npos);
}

// Soundness both ways: where the checker says yes, the module under engines that answer nothing until
// patience is over stays within the limit; where it says no, its history is one that the file allows and that
// breaks the rule.
TEST_CASE(
    "check: what passes holds against engines that never answer, what does not has a history that breaks") {
  rc::prop("random files", [] {
    const Platform platform;
    const int cls = *rc::gen::inRange(0, 3), attempts = *rc::gen::inRange(1, 6);
    const int patience = *rc::gen::inRange(1, 100) * 100, pause = *rc::gen::inRange(0, 20) * 100;
    const int jitter = *rc::gen::inRange(0, 101),
              copy = *rc::gen::inRange(0, 2) * *rc::gen::inRange(1, 100) * 100;
    std::string text = "route r {\n  class " + platform.tables.classes.name(cls) + "\n  attempts " +
                       std::to_string(attempts) + "\n  patience " + std::to_string(patience) +
                       "ms\n  pause " + std::to_string(pause) + "ms jitter " + std::to_string(jitter) + "%\n";
    if (copy > 0) text += "  copy-after " + std::to_string(copy) + "ms\n";
    const auto found = findings(text + "}\n");
    const ClassSettings& c = platform.settings.classes[static_cast<std::size_t>(cls)];
    const int tries = std::min(attempts, platform.settings.max_attempts);
    // The longest history by hand.
    const bool once = c.idempotency == Idempotency::kNone;
    const double longest =
        patience * (once ? 1 : tries) + pause * (1 + jitter / 100.0) * ((once ? 1 : tries) - 1);
    const bool beyond = longest * 1000 > static_cast<double>(c.hard_limit.count());
    const auto has = [&](Rule rule) {
      return std::any_of(found.begin(), found.end(), [&](const Finding& f) { return f.rule == rule; });
    };
    RC_ASSERT(has(Rule::kBeyondLimit) == beyond);
    RC_ASSERT(has(Rule::kSecondRun) == (once && attempts > 1));
    RC_ASSERT(has(Rule::kTwoOut) == (copy > 0 && tries > 1 && copy < patience));
    for (const Finding& f : found) {
      if (f.rule == Rule::kBeyondLimit) {
        // It is allowed step by step, breaks the limit, and not with one attempt fewer.
        Micros at{0};
        for (std::size_t i = 0; i < f.attempts.size(); ++i) {
          const Micros wait = f.attempts[i].leaves - at;
          if (i > 0)
            RC_ASSERT(wait.count() >= static_cast<std::int64_t>(pause * 1000 * (1 - jitter / 100.0)) - 1);
          if (i > 0)
            RC_ASSERT(wait.count() <= static_cast<std::int64_t>(pause * 1000 * (1 + jitter / 100.0)) + 1);
          RC_ASSERT(f.attempts[i].ends - f.attempts[i].leaves <= Micros{patience * 1000});
          at = f.attempts[i].ends;
        }
        RC_ASSERT(at > c.hard_limit);
        const double fewer =
            patience * (static_cast<double>(f.attempts.size()) - 1) +
            pause * (1 + jitter / 100.0) * std::max(0.0, static_cast<double>(f.attempts.size()) - 2);
        RC_ASSERT(fewer * 1000 <= static_cast<double>(c.hard_limit.count()) + 1);
      }
      if (f.rule == Rule::kTwoOut) RC_ASSERT(f.attempts.at(1).leaves < f.attempts.at(0).ends);
    }
    if (!found.empty() || once) return;
    // The module itself, on engines that never answer.
    Settings s = platform.settings;
    s.may_cancel = true;
    s.retry_budget_ratio.reset();
    Gateway gateway(3, s);
    std::vector<Action> actions;
    Micros now{0};
    gateway.handle(now, Started{}, actions);
    ListUpdate list{ListMode::kFull, {}};
    for (int i = 0; i < 4; ++i) list.entries.push_back({.engine = i});
    gateway.handle(now, list, actions);
    auto figures = std::make_shared<RouteParameters>();
    figures->id = 1, figures->max_attempts = attempts, figures->attempt_timeouts = {Micros{patience * 1000}};
    figures->retry_delay = Micros{pause * 1000}, figures->retry_jitter = jitter / 100.0;
    gateway.handle(now, RoutesUpdate{{figures}, {}}, actions);
    Arrival arrival;
    arrival.id = 1, arrival.cls = cls, arrival.remaining = c.hard_limit, arrival.route = 0;
    std::multimap<Micros, Event> due;
    due.emplace(now, arrival);
    int sent = 0;
    Micros ended{-1};
    while (!due.empty() && due.begin()->first <= c.hard_limit + 1s) {
      now = due.begin()->first;
      const Event event = due.begin()->second;
      due.erase(due.begin());
      actions.clear();
      gateway.handle(now, event, actions);
      for (const Action& action : actions) {
        if (const auto* timer = std::get_if<Timer>(&action))
          due.emplace(timer->due, TimerFired{timer->label});
        if (const auto* send = std::get_if<Send>(&action)) {
          RC_ASSERT(send->timeout == Micros{patience * 1000});
          AttemptClosed closed;
          closed.id = 1, closed.attempt = sent++, closed.engine = send->engine;
          closed.outcome = Outcome::kTimedOut, closed.delay = send->timeout;
          due.emplace(now + send->timeout, closed);
        }
        if (std::holds_alternative<Refuse>(action) || std::holds_alternative<Fail>(action)) ended = now;
      }
    }
    RC_ASSERT(sent <= tries);
    RC_ASSERT(sent >= 1);
    RC_ASSERT(ended.count() >= 0);
    RC_ASSERT(ended <= c.hard_limit);
  });
}
