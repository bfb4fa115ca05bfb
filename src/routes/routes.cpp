#include "routes/routes.h"

namespace steprail::routes {

Facts facts_of(const Query& query) {
  return {query.cls,         query.tenant,   query.table_group, query.reply_to.front,
          query.estimate_ms, query.memory_mb};
}

Routes::Routes(Coordinator& coordinator, EventLog& log, Metrics& metrics, const NameTables& tables,
               RouteSet set)
    : coordinator_(coordinator),
      log_(log),
      tables_(tables),
      logic_(std::move(set), weights(), coordinator.now()),
      open_(metrics.gauge("steprail_routes_open", "Requests that count against a route's limits.")),
      entered_(metrics.gauge("steprail_routes_entered_total", "Requests that their route let in.")),
      turned_(metrics.gauge("steprail_routes_turned_total", "Requests for which their route had no place.")) {
  coordinator_.attach(*this);
  coordinator_.routes_changed(logic_.news());
}

std::vector<double> Routes::weights() const {
  std::vector<double> weights;
  for (const TenantSettings& tenant : coordinator_.settings().tenants) weights.push_back(tenant.share);
  return weights;
}

void Routes::reconfigure(RouteSet set) {
  logic_.reconfigure(std::move(set), weights(), coordinator_.now());
  coordinator_.routes_changed(logic_.news());
  log_.event(LogLevel::kInfo, "routes-taken",
             {{"routes", logic_.set().routes.size()}, {"pools", logic_.set().pools.size()}});
}

void Routes::arrived(const Query& query, Arrival& arrival) {
  const RouteLogic::Entry entry = logic_.arrived(query.id, facts_of(query), coordinator_.now());
  arrival.route = entry.route;
  arrival.route_full = entry.let != Let::kIn;
}

void Routes::ended(RequestId id, Result how) {
  using To = RouteLogic::How;
  logic_.left(id,
              how == Result::kServed    ? To::kServed
              : how == Result::kRefused ? To::kRefused
              : how == Result::kGone    ? To::kGone
                                        : To::kFailed,
              coordinator_.now());
}

std::optional<RoutesUpdate> Routes::list_changed(ListMode mode, const std::vector<EngineEntry>& entries,
                                                 const std::vector<EngineChange>&) {
  if (mode == ListMode::kFailed) return std::nullopt;
  if (mode != ListMode::kIncremental) engines_.clear();
  for (const EngineEntry& entry : entries) {
    if (entry.status == EngineStatus::kGone) {
      engines_.erase(entry.engine);
    } else {
      engines_[entry.engine] = {entry.engine, tables_.engines.name(entry.engine), entry.zone, entry.kind};
    }
  }
  std::vector<RouteLogic::Engine> now;
  for (const auto& [_, engine] : engines_) now.push_back(engine);
  const auto before = logic_.news().pools;
  logic_.engines(now, coordinator_.now());
  RoutesUpdate news = logic_.news();
  if (news.pools == before) return std::nullopt;
  return news;
}

void Routes::observe() {
  double entered = 0, turned = 0;
  for (const Route& route : logic_.set().routes) {
    const auto standing = logic_.standing(route.name);
    entered += static_cast<double>(standing->entered);
    turned += static_cast<double>(standing->turned);
    log_.event(LogLevel::kInfo, "route",
               {{"name", route.name},
                {"open", standing->out},
                {"limit", static_cast<std::int64_t>(standing->limit)},
                {"entered", standing->entered},
                {"turned", standing->turned}});
  }
  open_.Set(static_cast<double>(logic_.open()));
  entered_.Set(entered);
  turned_.Set(turned);
}

}  // namespace steprail::routes
