#include "settings_json.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cmath>

namespace steprail {

using nlohmann::json;

namespace {

const std::map<std::string, Idempotency> kIdempotencies = {
    {"repeatable", Idempotency::kIdempotent}, {"by_key", Idempotency::kByKey}, {"once", Idempotency::kNone}};
const std::map<std::string, DedupScope> kDedupScopes = {
    {"all", DedupScope::kAll}, {"zone", DedupScope::kZone}, {"cell", DedupScope::kCell}};
const std::map<std::string, RegistryMode> kRegistryModes = {{"push", RegistryMode::kPush},
                                                            {"ask", RegistryMode::kSubscribe}};
const std::map<std::string, ReportMode> kReportModes = {
    {"piggyback", ReportMode::kPiggyback}, {"pull", ReportMode::kPull}, {"silent", ReportMode::kNone}};
std::vector<int> read_names(const json& from, const char* field, NameTable& names) {
  std::vector<int> indices;
  for (const json& name : optional_field(from, field, json::array())) indices.push_back(names.add(name));
  return indices;
}

}  // namespace

std::uint64_t name_hash(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

Micros read_micros(const json& from, const char* field) {
  if (!has_field(from, field)) return Micros{0};
  const json& value = from.at(field);
  return Micros{value.is_number_float() ? std::llround(value.get<double>()) : value.get<std::int64_t>()};
}

Settings read_settings(const json& params, NameTables& tables) {
  Settings s;
  for (const json& zone : params.at("localities")) tables.zones.add(zone);
  for (const json& kind : params.at("host_types")) tables.kinds.add(kind);
  s.gateways = params.at("balancers");
  s.own_index = params.at("rank");
  s.own_zone = tables.zones.index_or_throw(params.at("locality"), "zone");
  const json& family = optional_field(params, "family_info", json::object());
  const auto cores = optional_field(family, "cores_by_kind", std::vector<int>{});
  const auto memory = optional_field(family, "ram_of_kind_mb", std::vector<double>{});
  const auto threads = optional_field(family, "threads_by_class", std::vector<int>{});
  const auto is_load = optional_field(family, "class_load", std::vector<bool>{});
  const auto yields_to_load = optional_field(family, "yields_to_loads", std::vector<bool>{});
  for (const json& profile : params.at("profiles")) {
    const auto i = static_cast<std::size_t>(tables.classes.add(profile.at("name")));
    ClassSettings cls;
    cls.objective = read_micros(profile, "objective_us");
    cls.aim_stretch = optional_field(profile, "aim_stretch", 0.0);
    cls.hard_limit = read_micros(profile, "hard_limit_us");
    cls.worth = optional_field(profile, "worth", 1.0);
    cls.late_share = optional_field(profile, "late_share", 0.0);
    cls.idempotency = parse_enum(profile.at("effect").get<std::string>(), kIdempotencies, "effect");
    cls.dedup_scope =
        parse_enum(optional_field<std::string>(profile, "dedup_scope", "all"), kDedupScopes, "scope");
    cls.dedup_window = read_micros(profile, "dedup_window_us");
    cls.keep_order = optional_field(profile, "keep_order", false);
    cls.streamed = optional_field(profile, "streamed", false);
    cls.zones = read_names(profile, "confined_to", tables.zones);
    cls.kinds = read_names(profile, "host_types_only", tables.kinds);
    if (i < threads.size()) cls.threads = threads[i];
    if (i < is_load.size()) cls.is_load = is_load[i];
    if (i < yields_to_load.size()) cls.yields_to_load = yields_to_load[i];
    s.classes.push_back(cls);
  }
  for (const json& customer : optional_field(params, "customers", json::array())) {
    tables.tenants.add(customer.at("name"));
    s.tenants.push_back({optional_field(customer, "quota_rps", 0.0), optional_field(customer, "share", 0.0)});
  }
  s.zone_count = tables.zones.size();
  for (std::size_t i = 0; i < static_cast<std::size_t>(tables.kinds.size()); ++i) {
    s.kinds.push_back({i < cores.size() ? cores[i] : 1, i < memory.size() ? memory[i] : 0.0});
  }
  s.registry_mode =
      parse_enum(params.at("registry_mode").get<std::string>(), kRegistryModes, "registry mode");
  const json& reporting = optional_field(params, "reporting", json::object());
  s.report_mode =
      parse_enum(optional_field<std::string>(reporting, "how", "silent"), kReportModes, "reporting mode");
  const json& limits = params.at("limits");
  s.may_cancel = optional_field(limits, "may_cancel", false);
  s.may_probe = optional_field(limits, "may_probe", false);
  s.may_duplicate = optional_field(limits, "may_duplicate", false);
  s.may_send_retry_after = optional_field(limits, "retry_after", false);
  s.max_retry_after = read_micros(limits, "max_retry_after_us");
  s.max_attempts = optional_field(limits, "most_tries", 1);
  s.connect_timeout = read_micros(limits, "connect_timeout_us");
  s.honors_memory = optional_field(family, "memory_heeded", false);
  s.honors_priority = optional_field(family, "takes_priority", false);
  s.reports_cost = optional_field(family, "says_cost", false);
  s.max_memory_share = optional_field(family, "largest_share", 1.0);
  s.progress_interval = read_micros(family, "progress_us");
  s.over_share_worth = optional_field(params, "over_share_worth", 1.0);
  const json& costs = optional_field(params, "costs", json::object());
  s.cross_zone_cost = optional_field(costs, "cross_zone", 0.0);
  s.probe_cost = optional_field(costs, "probe", 0.0);
  const json& rules = params.at("rules");
  s.answer_slack = read_micros(rules, "answer_slack_us");
  s.ask_within = read_micros(rules, "ask_within_us");
  s.drain_grace = read_micros(rules, "drain_grace_us");
  s.slow_start_share = optional_field(rules, "cold_from", 1.0);
  s.slow_start_time = read_micros(rules, "cold_us");
  s.overload_factor = optional_field(rules, "overload_factor", 1.0);
  s.overload_window = read_micros(rules, "fall_us");
  if (has_field(rules, "extra_ratio")) s.retry_budget_ratio = rules.at("extra_ratio").get<double>();
  s.retry_budget_base = optional_field(rules, "free_resends", 0.0);
  s.retry_budget_window = read_micros(rules, "look_back_us");
  s.settle_time = read_micros(rules, "settle_after_doubt_us");
  return s;
}

}  // namespace steprail
