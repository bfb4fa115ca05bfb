#include <cmath>
#include <stdexcept>
#include <string>

#include "steprail/gateway.h"

namespace steprail {
namespace {

void require(bool valid, const std::string& field, const std::string& rule) {
  if (!valid) throw std::invalid_argument("steprail settings: " + field + " " + rule);
}

void require_not_negative(double value, const std::string& field) {
  require(std::isfinite(value) && value >= 0, field, "must be a finite number, zero or more");
}

void require_not_negative(Micros value, const std::string& field) {
  require(value.count() >= 0, field, "must not be negative");
}

void require_share(double value, const std::string& field) {
  require(std::isfinite(value) && value >= 0 && value <= 1, field, "must be between 0 and 1");
}

void require_indices(const std::vector<int>& values, int count, const std::string& field) {
  for (int value : values) require(value >= 0 && value < count, field, "contains an index out of range");
}

}  // namespace

void validate(const Settings& s) {
  require(s.gateways >= 1, "gateways", "must be at least 1");
  require(s.own_index >= 0, "own_index", "must not be negative");
  require(s.zone_count >= 1, "zone_count", "must be at least 1");
  require(s.own_zone >= -1 && s.own_zone < s.zone_count, "own_zone", "is an index out of range");
  require(!s.classes.empty(), "classes", "must name at least one class");
  require(!s.kinds.empty(), "kinds", "must name at least one kind");
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const ClassSettings& c = s.classes[i];
    const std::string prefix = "classes[" + std::to_string(i) + "].";
    require_not_negative(c.objective, prefix + "objective");
    require_not_negative(c.aim_stretch, prefix + "aim_stretch");
    require(c.hard_limit.count() > 0, prefix + "hard_limit", "must be positive");
    require_not_negative(c.worth, prefix + "worth");
    require_share(c.late_share, prefix + "late_share");
    require_not_negative(c.dedup_window, prefix + "dedup_window");
    require(c.threads >= 1, prefix + "threads", "must be at least 1");
    require_indices(c.zones, s.zone_count, prefix + "zones");
    require_indices(c.kinds, static_cast<int>(s.kinds.size()), prefix + "kinds");
  }
  for (std::size_t i = 0; i < s.tenants.size(); ++i) {
    const std::string prefix = "tenants[" + std::to_string(i) + "].";
    require_not_negative(s.tenants[i].quota_rps, prefix + "quota_rps");
    require_share(s.tenants[i].share, prefix + "share");
  }
  for (std::size_t i = 0; i < s.kinds.size(); ++i) {
    const std::string prefix = "kinds[" + std::to_string(i) + "].";
    require(s.kinds[i].cores >= 1, prefix + "cores", "must be at least 1");
    require_not_negative(s.kinds[i].memory_mb, prefix + "memory_mb");
  }
  require(s.max_attempts >= 1, "most_tries", "must be at least 1");
  require_share(s.max_memory_share, "largest_share");
  require_share(s.over_share_worth, "over_share_worth");
  require_share(s.slow_start_share, "cold_from");
  require_not_negative(s.cross_zone_cost, "cross_zone_cost");
  require_not_negative(s.probe_cost, "probe_cost");
  require_not_negative(s.overload_factor, "overload_factor");
  require_not_negative(s.retry_budget_base, "free_resends");
  if (s.retry_budget_ratio) require_not_negative(*s.retry_budget_ratio, "extra_ratio");
  require_not_negative(s.max_retry_after, "max_retry_after");
  require_not_negative(s.connect_timeout, "connect_timeout");
  require_not_negative(s.progress_interval, "progress_interval");
  require_not_negative(s.answer_slack, "answer_slack");
  require_not_negative(s.ask_within, "ask_within");
  require_not_negative(s.drain_grace, "drain_grace");
  require_not_negative(s.slow_start_time, "slow_start_time");
  require_not_negative(s.overload_window, "overload_window");
  require_not_negative(s.retry_budget_window, "retry_budget_window");
  require_not_negative(s.settle_time, "settle_time");
}

}  // namespace steprail
