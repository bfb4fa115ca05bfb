// Routes put into the coordinator's way: what they decide reaches the decision module with each request.
#pragma once

#include <map>
#include <string>

#include "base/log.h"
#include "base/metrics.h"
#include "core/coordinator.h"
#include "routes/settings.h"

namespace steprail::routes {

class Routes : public Routing {
 public:
  Routes(Coordinator& coordinator, EventLog& log, Metrics& metrics, const NameTables& tables, RouteSet set);
  void reconfigure(RouteSet set);

  // ---- Routing ----
  void arrived(const Query& query, Arrival& arrival) override;
  void ended(RequestId id, Result how) override;
  std::optional<RoutesUpdate> list_changed(ListMode mode, const std::vector<EngineEntry>& entries,
                                           const std::vector<EngineChange>& changes) override;

  void observe();
  const RouteLogic& logic() const { return logic_; }

 private:
  std::vector<double> weights() const;
  Coordinator& coordinator_;
  EventLog& log_;
  const NameTables& tables_;
  RouteLogic logic_;
  std::map<int, RouteLogic::Engine> engines_;
  prometheus::Gauge &open_, &entered_, &turned_;
};

// Facts of a query, as routes see them.
Facts facts_of(const Query& query);

}  // namespace steprail::routes
