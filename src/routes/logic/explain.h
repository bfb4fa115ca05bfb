// Why a request takes the route it takes, in sentences.
#pragma once

#include <string>
#include <vector>

#include "routes/logic/route_logic.h"

namespace steprail::routes {

// Names of what indices stand for; an index below 0 is never asked for.
struct Named {
  std::vector<std::string> classes, tenants, fronts{"platform", "spool", "edge"};
};

struct Explanation {
  std::optional<std::size_t> route;
  // Of every route, in the file's order: it holds, it matches but another one is more specific, or the first
  // thing that keeps it from matching.
  std::vector<std::string> why;
  std::vector<std::string>
      figures;  // what holds for the request, one line each; what is absent is the module's own
};

Explanation explain(const RouteSet& set, const Facts& facts, const Named& names);

}  // namespace steprail::routes
