#include "routes/settings.h"

#include <algorithm>

namespace steprail::routes {
namespace {
using Given = conf::Directive::Parsed;
constexpr double kMs = 1e3, kSecond = 1e6, kMinute = 60 * kSecond;
}  // namespace

void register_routes(conf::Schema& schema, RouteConf& into) {
  conf::Block& pool = schema.block("pool", "Engines that routes may name: those of all that is said here.");
  const auto last_pool = [&into]() -> RouteConf::OnePool& { return into.pools.back(); };
  pool.named([&into](const std::string& name, std::size_t line) {
    into.pools.emplace_back();
    into.pools.back().pool.name = name;
    into.pools.back().pool.line = line;
    return std::string();
  });
  pool.directive("zone", "engines of this zone; several are given one a line")
      .text("NAME")
      .repeated()
      .default_value("any")
      .on_parsed([last_pool](const Given& given) {
        last_pool().zones.push_back(given.text(0));
        last_pool().zone_line = given.line;
        return std::string();
      });
  pool.directive("kind", "engines of this kind; several are given one a line")
      .text("NAME")
      .repeated()
      .default_value("any")
      .on_parsed([last_pool](const Given& given) {
        last_pool().kinds.push_back(given.text(0));
        last_pool().kind_line = given.line;
        return std::string();
      });
  pool.directive("engines", "engines whose name fits: * is any run of characters, ? is one")
      .text("PATTERN")
      .default_value("*")
      .on_parsed([last_pool](const Given& given) {
        return last_pool().pool.pattern = given.text(0), std::string();
      });
  pool.directive("slow-start",
                 "after the pool was empty its limits grow to their full size in this time, from a part")
      .time("TIME", 0, 60 * kMinute)
      .percent("FROM", 0.01, 1)
      .default_value("none")
      .on_parsed([last_pool](const Given& given) {
        last_pool().pool.slow_start = Micros{given.integer(0)};
        last_pool().pool.slow_from = given.real(1);
        last_pool().start_line = given.line;
        return std::string();
      });

  conf::Block& route = schema.block("route",
                                    "What holds for the requests that match all that is said of them; of "
                                    "several routes the most specific one holds.");
  const auto last = [&into]() -> RouteConf::One& { return into.routes.back(); };
  route.named([&into](const std::string& name, std::size_t line) {
    into.routes.emplace_back();
    into.routes.back().route.name = name;
    into.routes.back().route.line = line;
    return std::string();
  });
  route.directive("class", "requests of this class")
      .text("NAME")
      .default_value("any")
      .on_parsed([last](const Given& given) {
        last().cls = given.text(0);
        last().cls_line = given.line;
        return std::string();
      });
  route.directive("tenant", "of this tenant")
      .text("NAME")
      .default_value("any")
      .on_parsed([last](const Given& given) {
        last().tenant = given.text(0);
        last().tenant_line = given.line;
        return std::string();
      });
  route.directive("group", "of this group of tables")
      .count("NUMBER", 0, 1e9)
      .default_value("any")
      .on_parsed([last](const Given& given) {
        return last().route.match.group = static_cast<int>(given.integer(0)), std::string();
      });
  route.directive("front", "that came in by this front")
      .choice({"platform", "spool", "edge"})
      .default_value("any")
      .on_parsed([last](const Given& given) { return last().front = given.text(0), std::string(); });
  const auto range = [&](const char* name, const char* help, Range Match::*member) {
    route.directive(name, help)
        .count("FROM", 0, 1e9)
        .count("BELOW", 0, 1e9)
        .default_value("any")
        .on_parsed([last, member](const Given& given) {
          const Range wanted{static_cast<double>(given.integer(0)), static_cast<double>(given.integer(1))};
          if (wanted.empty()) return std::string("no figure is at least FROM and below BELOW");
          last().route.match.*member = wanted;
          return std::string();
        });
  };
  range("work", "whose estimated work, in ms, lies from FROM on and below BELOW", &Match::work_ms);
  range("memory", "whose estimated memory, in MB, lies from FROM on and below BELOW", &Match::memory_mb);
  route.directive("attempts", "attempts in all")
      .count("COUNT", 1, 16)
      .default_value("as the platform allows")
      .on_parsed([last](const Given& given) {
        last().route.terms.attempts = static_cast<int>(given.integer(0));
        last().attempts_line = given.line;
        return std::string();
      });
  route
      .directive("patience",
                 "how long an attempt may be out; one line an attempt, the last one for all further ones")
      .time("TIME", 10 * kMs, 60 * kMinute)
      .repeated()
      .default_value("the module's own")
      .on_parsed([last](const Given& given) {
        last().route.terms.patience.push_back(Micros{given.integer(0)});
        last().patience_line = given.line;
        return std::string();
      });
  route.directive("pause", "before a further attempt, give or take a part of it")
      .time("TIME", 0, 10 * kMinute)
      .option({"jitter", conf::ValueKind::kPercent, 0, 1})
      .default_value("none")
      .on_parsed([last](const Given& given) {
        last().route.terms.pause = Micros{given.integer(0)};
        last().route.terms.jitter = given.option("jitter", 0);
        last().pause_line = given.line;
        return std::string();
      });
  route
      .directive("move-after",
                 "an attempt that may run again leaves its engine for another one after this time")
      .time("TIME", 100 * kMs, 60 * kMinute)
      .default_value("as the module sees fit")
      .on_parsed([last](const Given& given) {
        return last().route.terms.move_after = Micros{given.integer(0)}, std::string();
      });
  route
      .directive(
          "copy-after",
          "a later copy of an attempt; checked against the rule on two attempts at once, but not sent yet")
      .time("TIME", 10 * kMs, 60 * kMinute)
      .default_value("none")
      .on_parsed([last](const Given& given) {
        last().route.terms.copy_after = Micros{given.integer(0)};
        last().copy_line = given.line;
        return std::string();
      });
  route.directive("ration", "further attempts for each first one, and so many ahead of that")
      .percent("PERCENT", 0, 10)
      .option({"burst", conf::ValueKind::kPercent, 0, 1000})
      .default_value("the platform's, for all together")
      .on_parsed([last](const Given& given) {
        last().route.terms.ration = given.real(0);
        last().route.terms.ration_burst = given.option("burst", 4);
        last().ration_line = given.line;
        return std::string();
      });
  route.directive("limit", "requests open at a time: begins at LEAST and follows measured delay up to MOST")
      .count("LEAST", 1, 1e6)
      .count("MOST", 1, 1e6)
      .default_value("none")
      .on_parsed([last](const Given& given) {
        if (given.integer(0) > given.integer(1)) return std::string("LEAST is more than MOST");
        last().route.terms.limit_least = static_cast<int>(given.integer(0));
        last().route.terms.limit_most = static_cast<int>(given.integer(1));
        return std::string();
      });
  route.directive("rate", "requests a second, and so many at once before that holds")
      .count("RATE", 1, 1e6)
      .count("BURST", 1, 1e6)
      .default_value("none")
      .on_parsed([last](const Given& given) {
        last().route.terms.rate = static_cast<double>(given.integer(0));
        last().route.terms.rate_burst = static_cast<double>(given.integer(1));
        return std::string();
      });
  route
      .directive(
          "grant",
          "memory for each attempt, in MB, where engines heed it; never more than an engine gives one query")
      .count("MB", 1, 1e6)
      .default_value("the module's own")
      .on_parsed([last](const Given& given) {
        return last().route.terms.memory_mb = static_cast<double>(given.integer(0)), std::string();
      });
  // The lowest one is nobody's: it would starve for as long as the cores are short.
  route.directive("priority", "of its attempts, where engines heed it")
      .count("RANK", 1, 3)
      .default_value("the module's own")
      .on_parsed([last](const Given& given) {
        return last().route.terms.priority = static_cast<int>(given.integer(0)), std::string();
      });
  route.directive("pool", "its engines")
      .text("NAME")
      .default_value("every engine")
      .on_parsed([last](const Given& given) {
        last().route.terms.pool = given.text(0);
        last().pool_line = given.line;
        return std::string();
      });
}

RouteSet resolve(const RouteConf& conf, const NameTables& tables, std::vector<Wrong>& wrong) {
  RouteSet set;
  const auto index = [&](const NameTable& names, const std::string& name, const char* what,
                         std::size_t line) {
    if (name.empty()) return -1;
    const int at = names.index(name);
    if (at >= 0) return at;
    std::vector<std::string> known;
    for (const auto& [one, _] : names.by_name()) known.push_back(one);
    const std::string near = conf::nearest_word(name, known);
    wrong.push_back({line, std::string("no ") + what + " is named '" + name + "'" +
                               (near.empty() ? "" : "; did you mean '" + near + "'?")});
    return -1;
  };
  for (const RouteConf::OnePool& one : conf.pools) {
    Pool pool = one.pool;
    for (const std::string& zone : one.zones)
      pool.zones.push_back(index(tables.zones, zone, "zone", one.zone_line));
    for (const std::string& kind : one.kinds)
      pool.kinds.push_back(index(tables.kinds, kind, "kind", one.kind_line));
    set.pools.push_back(std::move(pool));
  }
  constexpr const char* kFronts[] = {"platform", "spool", "edge"};
  for (const RouteConf::One& one : conf.routes) {
    Route route = one.route;
    route.match.cls = index(tables.classes, one.cls, "class", one.cls_line);
    route.match.tenant = index(tables.tenants, one.tenant, "tenant", one.tenant_line);
    for (int front = 0; front < 3; ++front) {
      if (one.front == kFronts[front]) route.match.front = front;
    }
    const bool known =
        route.terms.pool.empty() || std::any_of(set.pools.begin(), set.pools.end(),
                                                [&](const Pool& p) { return p.name == route.terms.pool; });
    if (!known) wrong.push_back({one.pool_line, "no pool is named '" + route.terms.pool + "'"});
    set.routes.push_back(std::move(route));
  }
  if (!wrong.empty()) return set;
  for (const Ambiguity& both : ambiguities(set.routes)) {
    const Route &first = set.routes[both.first], &second = set.routes[both.second];
    wrong.push_back(
        {second.line, "route '" + second.name + "' and route '" + first.name + "' of line " +
                          std::to_string(first.line) +
                          " both match some requests, and neither is the more specific one there"});
  }
  return set;
}

}  // namespace steprail::routes
