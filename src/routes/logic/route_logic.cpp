#include "routes/logic/route_logic.h"

namespace steprail::routes {

RouteLogic::RouteLogic(RouteSet set, std::vector<double> weights, Micros now) {
  adopt(std::move(set), weights);
  refill(now);
}

void RouteLogic::reconfigure(RouteSet set, std::vector<double> weights, Micros now) {
  adopt(std::move(set), weights);
  refill(now);
}

void RouteLogic::adopt(RouteSet set, const std::vector<double>& weights) {
  set_ = std::move(set);
  tree_ = RouteTree(set_.routes);
  std::map<std::string, std::shared_ptr<Limits>> kept;
  by_route_.clear();
  pool_of_.clear();
  for (const Route& route : set_.routes) {
    const auto known = limits_.find(route.name);
    auto limits = known != limits_.end() ? known->second : std::make_shared<Limits>();
    if (known == limits_.end()) limits->number = ++last_number_;
    const Terms& terms = route.terms;
    limits->limited = terms.limit_most > 0;
    if (limits->limited) limits->places.set(terms.limit_least, terms.limit_most);
    limits->rate.set(terms.rate, terms.rate_burst);
    limits->shares.set(weights.empty() ? std::vector<double>{1} : weights);
    kept[route.name] = limits;
    by_route_.push_back(std::move(limits));
    int pool = -1;
    for (std::size_t i = 0; i < set_.pools.size(); ++i) {
      if (set_.pools[i].name == terms.pool) pool = static_cast<int>(i);
    }
    pool_of_.push_back(pool);
  }
  limits_ = std::move(kept);
  std::map<std::string, SlowStart> starts;
  for (const Pool& pool : set_.pools) {
    const auto known = starts_.find(pool.name);
    SlowStart& start = starts[pool.name] = known != starts_.end() ? known->second : SlowStart{};
    start.set(pool.slow_start, pool.slow_from);
  }
  starts_ = std::move(starts);
}

void RouteLogic::refill(Micros now) {
  int highest = -1;
  for (const Engine& engine : engines_) highest = std::max(highest, engine.engine);
  members_.assign(set_.pools.size(), std::vector<bool>(static_cast<std::size_t>(highest + 1)));
  for (std::size_t p = 0; p < set_.pools.size(); ++p) {
    const Pool& pool = set_.pools[p];
    const auto among = [](const std::vector<int>& of, int one) {
      return of.empty() || std::find(of.begin(), of.end(), one) != of.end();
    };
    std::size_t count = 0;
    for (const Engine& engine : engines_) {
      if (engine.engine < 0 || !among(pool.zones, engine.zone) || !among(pool.kinds, engine.kind) ||
          !matches_pattern(pool.pattern, engine.name))
        continue;
      members_[p][static_cast<std::size_t>(engine.engine)] = true;
      ++count;
    }
    starts_[pool.name].members(count, now);
  }
}

void RouteLogic::engines(const std::vector<Engine>& engines, Micros now) {
  engines_ = engines;
  refill(now);
}

RouteLogic::Entry RouteLogic::arrived(RequestId id, const Facts& facts, Micros now) {
  Entry entry;
  const auto route = tree_.match(facts);
  if (!route) return entry;
  entry.route = static_cast<int>(*route);
  const auto& limits = by_route_[*route];
  const auto tenant = static_cast<std::size_t>(std::max(0, facts.tenant));
  // The rate last: a token is spent on those alone who find a place.
  if (limits->limited) {
    double part = 1;
    if (pool_of_[*route] >= 0)
      part = starts_[set_.pools[static_cast<std::size_t>(pool_of_[*route])].name].share(now);
    const double places = std::max(1.0, std::floor(limits->places.limit() * part));
    const bool room = limits->shares.out() + 1 <= places;
    if (!limits->shares.asks(tenant, places, now)) entry.let = room ? Let::kShare : Let::kLimit;
  }
  if (entry.let == Let::kIn && !limits->rate.take(now)) entry.let = Let::kRate;
  if (entry.let != Let::kIn) {
    ++limits->turned;
    return entry;
  }
  ++limits->entered;
  limits->places.entered();
  limits->shares.entered(tenant);
  open_[id] = {limits, tenant, now};
  return entry;
}

void RouteLogic::left(RequestId id, How how, Micros now) {
  const auto at = open_.find(id);
  if (at == open_.end()) return;
  const Open open = std::move(at->second);
  open_.erase(at);
  open.limits->shares.left(open.tenant);
  // A refusal is the module's own sign of too much; a client that went away says nothing.
  open.limits->places.left(now - open.since, how == How::kServed, how != How::kGone, now);
}

RoutesUpdate RouteLogic::news() const {
  RoutesUpdate news;
  for (std::size_t i = 0; i < set_.routes.size(); ++i) {
    const Terms& terms = set_.routes[i].terms;
    RouteParameters figures;
    figures.id = by_route_[i]->number;
    figures.max_attempts = terms.attempts;
    figures.attempt_timeouts = terms.patience;
    figures.retry_delay = terms.pause;
    figures.retry_jitter = terms.jitter;
    figures.move_after = terms.move_after;
    figures.retry_budget_ratio = terms.ration;
    figures.retry_budget_burst = terms.ration_burst;
    figures.pool = pool_of_[i];
    figures.memory_mb = terms.memory_mb;
    figures.priority = terms.priority;
    news.routes.push_back(std::make_shared<const RouteParameters>(std::move(figures)));
  }
  news.pools = members_;
  return news;
}

std::optional<RouteLogic::Standing> RouteLogic::standing(const std::string& route) const {
  const auto at = limits_.find(route);
  if (at == limits_.end()) return std::nullopt;
  const Limits& limits = *at->second;
  return Standing{limits.places.limit(), limits.places.out(), limits.entered, limits.turned};
}

}  // namespace steprail::routes
