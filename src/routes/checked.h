// Routes as they may be used: names resolved, nothing ambiguous, and every rule kept over all histories.
#pragma once

#include "routes/check/check.h"

namespace steprail::routes {

// What is wrong comes out with its line. The checker is the library libsteprail_check.so beside the program;
// without it, or where it cannot be loaded, that is what is wrong.
RouteSet checked(const RouteConf& conf, const Settings& settings, const NameTables& tables,
                 std::vector<Wrong>& wrong);

}  // namespace steprail::routes
