// Checker and planner as a library of their own, which is loaded where they are asked for: the solvers are
// too large for a coordinator that has no routes.
#include "routes/check/check.h"
#include "routes/plan/plan.h"

extern "C" void steprail_check_routes(const steprail::routes::RouteConf* conf,
                                      const steprail::routes::RouteSet* set,
                                      const steprail::Settings* settings, const steprail::NameTables* tables,
                                      std::vector<steprail::routes::Finding>* findings) {
  *findings = steprail::routes::check(*conf, *set, *settings, *tables);
}

extern "C" void steprail_plan_routes(const steprail::routes::Traffic* traffic,
                                     const steprail::Settings* settings, const steprail::NameTables* tables,
                                     steprail::routes::Plan* plan) {
  *plan = steprail::routes::plan(*traffic, *settings, *tables);
}
