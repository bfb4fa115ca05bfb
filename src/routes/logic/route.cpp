#include "routes/logic/route.h"

#include <algorithm>
#include <array>
#include <map>

namespace steprail::routes {
namespace {

bool any_or(int wanted, int is) { return wanted < 0 || wanted == is; }

std::optional<int> both(int a, int b) {
  if (a < 0) return b;
  if (b < 0 || a == b) return a;
  return std::nullopt;
}

}  // namespace

bool Match::holds(const Facts& f) const {
  return any_or(cls, f.cls) && any_or(tenant, f.tenant) && any_or(group, f.group) && any_or(front, f.front) &&
         work_ms.holds(f.work_ms) && memory_mb.holds(f.memory_mb);
}

bool Match::within(const Match& other) const {
  return any_or(other.cls, cls) && any_or(other.tenant, tenant) && any_or(other.group, group) &&
         any_or(other.front, front) && work_ms.within(other.work_ms) && memory_mb.within(other.memory_mb);
}

std::optional<Match> Match::both(const Match& other) const {
  const auto c = routes::both(cls, other.cls), t = routes::both(tenant, other.tenant);
  const auto g = routes::both(group, other.group), f = routes::both(front, other.front);
  if (!c || !t || !g || !f) return std::nullopt;
  const Match match{*c, *t, *g, *f, work_ms.both(other.work_ms), memory_mb.both(other.memory_mb)};
  if (match.work_ms.empty() || match.memory_mb.empty()) return std::nullopt;
  return match;
}

bool matches_pattern(const std::string& pattern, const std::string& name) {
  // Greedy, going back to the last star alone: linear but for names made to be slow, and those are short.
  std::size_t p = 0, n = 0, star = std::string::npos, from = 0;
  while (n < name.size()) {
    if (p < pattern.size() && (pattern[p] == '?' || (pattern[p] == name[n] && pattern[p] != '*'))) {
      ++p, ++n;
    } else if (p < pattern.size() && pattern[p] == '*') {
      star = p++, from = n;
    } else if (star != std::string::npos) {
      p = star + 1, n = ++from;
    } else {
      return false;
    }
  }
  while (p < pattern.size() && pattern[p] == '*') ++p;
  return p == pattern.size();
}

std::vector<Ambiguity> ambiguities(const std::vector<Route>& routes) {
  std::vector<Ambiguity> found;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    for (std::size_t j = i + 1; j < routes.size(); ++j) {
      const Match &a = routes[i].match, &b = routes[j].match;
      const auto shared = a.both(b);
      if (!shared) continue;
      if (a == b || (!a.within(b) && !b.within(a))) {
        const bool settled = a != b && std::any_of(routes.begin(), routes.end(), [&](const Route& route) {
                               return route.match == *shared;
                             });
        if (!settled) found.push_back({i, j});
      }
    }
  }
  return found;
}

std::optional<std::size_t> match_linear(const std::vector<Route>& routes, const Facts& facts) {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    if (routes[i].match.holds(facts) && (!best || routes[i].match.within(routes[*best].match))) best = i;
  }
  return best;
}

RouteTree::RouteTree(const std::vector<Route>& routes) {
  using Left = std::vector<std::int32_t>;
  std::map<std::pair<int, Left>, std::int32_t> known;
  const auto value = [&](std::int32_t route, int dimension) {
    const Match& m = routes[static_cast<std::size_t>(route)].match;
    return std::array{m.cls, m.tenant, m.group, m.front}[static_cast<std::size_t>(dimension)];
  };
  const auto range = [&](std::int32_t route, int dimension) -> const Range& {
    const Match& m = routes[static_cast<std::size_t>(route)].match;
    return dimension == 4 ? m.work_ms : m.memory_mb;
  };
  const auto build = [&](auto&& self, int dimension, const Left& left) -> std::int32_t {
    if (left.empty()) return -1;
    if (dimension == kDimensions) {
      // All of these match, and the most specific one lies within all others.
      std::int32_t best = left.front();
      for (const std::int32_t route : left) {
        if (routes[static_cast<std::size_t>(route)].match.within(
                routes[static_cast<std::size_t>(best)].match))
          best = route;
      }
      return -2 - best;
    }
    const auto [at, fresh] = known.try_emplace({dimension, left}, -1);
    if (!fresh) return at->second;
    Node node;
    const auto child = [&](const auto& keep) {
      Left rest;
      std::copy_if(left.begin(), left.end(), std::back_inserter(rest), keep);
      return self(self, dimension + 1, rest);
    };
    if (dimension < 4) {
      for (const std::int32_t route : left) {
        if (value(route, dimension) >= 0) node.keys.push_back(value(route, dimension));
      }
    } else {
      for (const std::int32_t route : left) {
        node.keys.push_back(range(route, dimension).least);
        node.keys.push_back(range(route, dimension).most);
      }
    }
    std::sort(node.keys.begin(), node.keys.end());
    node.keys.erase(std::unique(node.keys.begin(), node.keys.end()), node.keys.end());
    for (const double key : node.keys) {
      node.children.push_back(child([&](std::int32_t route) {
        return dimension < 4 ? any_or(value(route, dimension), static_cast<int>(key))
                             : range(route, dimension).holds(key);
      }));
    }
    if (dimension < 4)
      node.otherwise = child([&](std::int32_t route) { return value(route, dimension) < 0; });
    // A step that decides nothing is left out.
    if (dimension < 4 && node.keys.empty()) return known[{dimension, left}] = node.otherwise;
    nodes_.push_back(std::move(node));
    nodes_.back().otherwise = dimension < 4 ? nodes_.back().otherwise : -1;
    const auto index = static_cast<std::int32_t>(nodes_.size() - 1);
    dimensions_.push_back(static_cast<std::int8_t>(dimension));
    return known[{dimension, left}] = index;
  };
  Left all;
  for (std::size_t i = 0; i < routes.size(); ++i) all.push_back(static_cast<std::int32_t>(i));
  root_ = build(build, 0, all);
}

std::optional<std::size_t> RouteTree::match(const Facts& f) const {
  const double values[kDimensions] = {static_cast<double>(f.cls),
                                      static_cast<double>(f.tenant),
                                      static_cast<double>(f.group),
                                      static_cast<double>(f.front),
                                      f.work_ms,
                                      f.memory_mb};
  std::int32_t at = root_;
  while (at >= 0) {
    const auto index = static_cast<std::size_t>(at);
    const Node& node = nodes_[index];
    const int dimension = dimensions_[index];
    const double value = values[dimension];
    const auto key = std::upper_bound(node.keys.begin(), node.keys.end(), value);
    if (key == node.keys.begin()) {
      at = node.otherwise;
    } else {
      const auto place = static_cast<std::size_t>(key - node.keys.begin()) - 1;
      at = dimension < 4 && node.keys[place] != value ? node.otherwise : node.children[place];
    }
  }
  if (at == -1) return std::nullopt;
  return static_cast<std::size_t>(-2 - at);
}

}  // namespace steprail::routes
