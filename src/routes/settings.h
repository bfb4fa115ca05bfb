// What the operator's file says of routes and pools, and its registration there. Names of classes, tenants
// and zones belong to the platform's file: they are looked up by resolve(), once both are read.
#pragma once

#include <string>
#include <vector>

#include "conf/schema.h"
#include "routes/logic/route_logic.h"
#include "settings_json.h"

namespace steprail::routes {

struct RouteConf {
  struct One {
    Route route;
    std::string cls, tenant, front;
    std::size_t cls_line{0}, tenant_line{0}, pool_line{0}, patience_line{0}, copy_line{0}, attempts_line{0},
        ration_line{0}, pause_line{0};
    bool operator==(const One&) const = default;
  };
  struct OnePool {
    Pool pool;
    std::vector<std::string> zones, kinds;
    std::size_t zone_line{0}, kind_line{0}, start_line{0};
    bool operator==(const OnePool&) const = default;
  };
  std::vector<One> routes;
  std::vector<OnePool> pools;
  bool on() const { return !routes.empty(); }
  bool operator==(const RouteConf&) const = default;
};

void register_routes(conf::Schema& schema, RouteConf& into);

struct Wrong {
  std::size_t line{0};
  std::string text;
};
// Names to indices; ambiguous routes and names that nobody has come out as faults.
RouteSet resolve(const RouteConf& conf, const NameTables& tables, std::vector<Wrong>& wrong);

}  // namespace steprail::routes
