#include "routes/logic/explain.h"

#include <cstdio>

namespace steprail::routes {
namespace {

std::string number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%g", value);
  return text;
}

std::string seconds(Micros time) { return number(static_cast<double>(time.count()) / 1e6) + " s"; }

std::string name_of(const std::vector<std::string>& names, int index) {
  return index >= 0 && static_cast<std::size_t>(index) < names.size() ? names[static_cast<std::size_t>(index)]
                                                                      : std::to_string(index);
}

std::string within(const Range& range) {
  return "from " + number(range.least) + " and below " + number(range.most);
}

// What keeps a route from matching; empty where it matches.
std::string obstacle(const Match& m, const Facts& f, const Named& names) {
  if (m.cls >= 0 && m.cls != f.cls) return "is for class " + name_of(names.classes, m.cls);
  if (m.tenant >= 0 && m.tenant != f.tenant) return "is for tenant " + name_of(names.tenants, m.tenant);
  if (m.group >= 0 && m.group != f.group) return "is for group " + std::to_string(m.group);
  if (m.front >= 0 && m.front != f.front) return "is for front " + name_of(names.fronts, m.front);
  if (!m.work_ms.holds(f.work_ms))
    return "is for work " + within(m.work_ms) + " ms, this is " + number(f.work_ms);
  if (!m.memory_mb.holds(f.memory_mb))
    return "is for memory " + within(m.memory_mb) + " MB, this is " + number(f.memory_mb);
  return {};
}

std::vector<std::string> figures_of(const RouteSet& set, const Terms& terms) {
  std::vector<std::string> out;
  if (terms.attempts > 0) out.push_back("attempts: " + std::to_string(terms.attempts) + " at most");
  for (std::size_t i = 0; i < terms.patience.size(); ++i) {
    const bool last = i + 1 == terms.patience.size();
    out.push_back("patience of attempt " + std::to_string(i + 1) + (last ? " and all further ones: " : ": ") +
                  seconds(terms.patience[i]));
  }
  if (terms.pause.count() > 0)
    out.push_back("pause before a further attempt: " + seconds(terms.pause) + ", give or take " +
                  number(terms.jitter * 100) + "%");
  if (terms.move_after.count() > 0) out.push_back("leaves its engine after " + seconds(terms.move_after));
  if (terms.ration)
    out.push_back("further attempts: " + number(*terms.ration * 100) + "% of first ones, " +
                  number(terms.ration_burst) + " ahead");
  if (terms.limit_most > 0)
    out.push_back("open at a time: from " + std::to_string(terms.limit_least) + ", following delay, up to " +
                  std::to_string(terms.limit_most));
  if (terms.rate > 0)
    out.push_back("rate: " + number(terms.rate) + " a second, " + number(terms.rate_burst) + " at once");
  if (terms.memory_mb > 0)
    out.push_back("memory of an attempt: " + number(terms.memory_mb) + " MB, where engines heed it");
  if (terms.priority >= 0)
    out.push_back("priority: " + std::to_string(terms.priority) + ", where engines heed it");
  for (const Pool& pool : set.pools) {
    if (pool.name == terms.pool)
      out.push_back("engines: pool " + pool.name + " of line " + std::to_string(pool.line) +
                    ", names like '" + pool.pattern + "'");
  }
  return out;
}

}  // namespace

Explanation explain(const RouteSet& set, const Facts& facts, const Named& names) {
  Explanation told;
  told.route = RouteTree(set.routes).match(facts);
  for (std::size_t i = 0; i < set.routes.size(); ++i) {
    const Route& route = set.routes[i];
    std::string line = "route " + route.name + " of line " + std::to_string(route.line) + ' ';
    const std::string keeps = obstacle(route.match, facts, names);
    if (told.route == i) {
      line += "holds";
    } else if (keeps.empty()) {
      line += "matches, but " + set.routes[*told.route].name + " is more specific";
    } else {
      line += keeps;
    }
    told.why.push_back(std::move(line));
  }
  if (told.route) told.figures = figures_of(set, set.routes[*told.route].terms);
  return told;
}

}  // namespace steprail::routes
