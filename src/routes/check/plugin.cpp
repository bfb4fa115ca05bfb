// The checker as a library of its own, which is loaded where routes are configured: the solver is too large for a
// coordinator that has none.
#include "routes/check/check.h"

extern "C" void steprail_check_routes(const steprail::routes::RouteConf* conf, const steprail::routes::RouteSet* set,
                                      const steprail::Settings* settings, const steprail::Tables* tables,
                                      std::vector<steprail::routes::Finding>* findings) {
  *findings = steprail::routes::check(*conf, *set, *settings, *tables);
}
