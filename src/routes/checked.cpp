#include "routes/checked.h"

#include "routes/solvers.h"

namespace steprail::routes {

RouteSet checked(const RouteConf& conf, const Settings& settings, const NameTables& tables,
                 std::vector<Wrong>& wrong) {
  RouteSet set = resolve(conf, tables, wrong);
  if (!wrong.empty() || !conf.on()) return set;
  using Check =
      void (*)(const RouteConf*, const RouteSet*, const Settings*, const NameTables*, std::vector<Finding>*);
  std::string fault;
  const auto check = reinterpret_cast<Check>(solver_function("steprail_check_routes", fault));
  if (check == nullptr) {
    wrong.push_back({conf.routes.front().route.line, "routes cannot be checked, and so not used: " + fault});
    return set;
  }
  std::vector<Finding> findings;
  check(&conf, &set, &settings, &tables, &findings);
  for (const Finding& finding : findings) wrong.push_back({finding.line, finding.text});
  return set;
}

}  // namespace steprail::routes
