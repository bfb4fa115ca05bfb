#include <cmath>
#include <stdexcept>
#include <string>

#include "steprail/gateway.h"

namespace steprail {
namespace {

void require(bool good, const std::string& field, const std::string& why) {
  if (!good) throw std::invalid_argument("steprail settings: " + field + " " + why);
}

void not_negative(double value, const std::string& field) {
  require(std::isfinite(value) && value >= 0, field, "must be a number, zero or more");
}

void not_negative(Micros value, const std::string& field) {
  require(value.count() >= 0, field, "must not be negative");
}

void is_share(double value, const std::string& field) {
  require(std::isfinite(value) && value >= 0 && value <= 1, field, "must lie between 0 and 1");
}

void indices(const std::vector<int>& values, int count, const std::string& field) {
  for (int value : values) require(value >= 0 && value < count, field, "holds an index out of range");
}

}  // namespace

void validate(const Settings& s) {
  require(s.gateways >= 1, "gateways", "must be at least 1");
  require(s.own_number >= 0, "own_number", "must not be negative");
  require(s.zone_count >= 1, "zone_count", "must be at least 1");
  require(s.own_zone >= -1 && s.own_zone < s.zone_count, "own_zone", "is an index out of range");
  require(!s.classes.empty(), "classes", "must name at least one class");
  require(!s.kinds.empty(), "kinds", "must name at least one kind");
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const ClassSettings& c = s.classes[i];
    const std::string at = "classes[" + std::to_string(i) + "].";
    not_negative(c.objective, at + "objective");
    not_negative(c.aim_stretch, at + "aim_stretch");
    require(c.hard_limit.count() > 0, at + "hard_limit", "must be positive");
    not_negative(c.worth, at + "worth");
    is_share(c.late_share, at + "late_share");
    not_negative(c.dedup_window, at + "dedup_window");
    require(c.threads >= 1, at + "threads", "must be at least 1");
    indices(c.zones, s.zone_count, at + "zones");
    indices(c.kinds, static_cast<int>(s.kinds.size()), at + "kinds");
  }
  for (std::size_t i = 0; i < s.tenants.size(); ++i) {
    const std::string at = "tenants[" + std::to_string(i) + "].";
    not_negative(s.tenants[i].quota_rps, at + "quota_rps");
    is_share(s.tenants[i].share, at + "share");
  }
  for (std::size_t i = 0; i < s.kinds.size(); ++i) {
    const std::string at = "kinds[" + std::to_string(i) + "].";
    require(s.kinds[i].cores >= 1, at + "cores", "must be at least 1");
    not_negative(s.kinds[i].memory_mb, at + "memory_mb");
  }
  require(s.most_tries >= 1, "most_tries", "must be at least 1");
  is_share(s.largest_share, "largest_share");
  is_share(s.over_share_worth, "over_share_worth");
  is_share(s.cold_from, "cold_from");
  not_negative(s.cross_zone_cost, "cross_zone_cost");
  not_negative(s.probe_cost, "probe_cost");
  not_negative(s.overload_factor, "overload_factor");
  not_negative(s.free_resends, "free_resends");
  if (s.extra_ratio) not_negative(*s.extra_ratio, "extra_ratio");
  not_negative(s.max_retry_after, "max_retry_after");
  not_negative(s.connect_timeout, "connect_timeout");
  not_negative(s.progress, "progress");
  not_negative(s.answer_slack, "answer_slack");
  not_negative(s.ask_within, "ask_within");
  not_negative(s.drain_grace, "drain_grace");
  not_negative(s.cold_for, "cold_for");
  not_negative(s.fall_after, "fall_after");
  not_negative(s.look_back, "look_back");
  not_negative(s.settle_after_doubt, "settle_after_doubt");
}

}  // namespace steprail
