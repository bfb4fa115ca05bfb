// Whether routes could break a rule, over all histories that they allow: stated as constraints to a solver
// (Z3), which finds the shortest history in which it happens.
#pragma once

#include <string>
#include <vector>

#include "routes/settings.h"
#include "steprail/gateway.h"

namespace steprail::routes {

struct Finding {
  enum class Rule { kSecondRun, kTwoOut, kBeyondLimit, kEmptyPool, kColdStart, kRation };
  std::size_t line{0};
  Rule rule{};
  std::string text;  // rule and history in one sentence
  // The history itself, to be replayed: class, and when each attempt leaves and ends, in microseconds.
  int cls{-1};
  struct Attempt {
    Micros leaves{0}, ends{0};
  };
  std::vector<Attempt> attempts{};
};

// `set` is what resolve() made of `conf` without a fault.
std::vector<Finding> check(const RouteConf& conf, const RouteSet& set, const Settings& settings,
                           const NameTables& tables);

}  // namespace steprail::routes
