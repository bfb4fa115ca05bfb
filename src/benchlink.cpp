// The adapter for the bench's wire: JSON to events, actions to JSON, names to indices. It decides nothing.
#include <cmath>
#include <cstdio>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <unordered_map>

#include "quillgap/gateway.h"

namespace {

using nlohmann::json;
using namespace quillgap;

// Names in the order in which they were first met.
class Names {
 public:
  int add(const std::string& name) {
    const auto [at, fresh] = index_.try_emplace(name, static_cast<int>(names_.size()));
    if (fresh) names_.push_back(name);
    return at->second;
  }
  int find(const std::string& name, const char* what) const {
    const auto at = index_.find(name);
    if (at == index_.end()) throw std::runtime_error(std::string("unknown ") + what + " '" + name + "'");
    return at->second;
  }
  const std::string& name(int index) const { return names_.at(static_cast<std::size_t>(index)); }
  int size() const { return static_cast<int>(names_.size()); }

 private:
  std::unordered_map<std::string, int> index_;
  std::vector<std::string> names_;
};

template <typename T>
T choose(const std::string& word, const std::map<std::string, T>& words, const char* what) {
  const auto at = words.find(word);
  if (at == words.end()) throw std::runtime_error(std::string("unknown ") + what + " '" + word + "'");
  return at->second;
}

const std::map<std::string, Effect> kEffects = {
    {"repeatable", Effect::kRepeatable}, {"by_key", Effect::kByKey}, {"once", Effect::kOnce}};
const std::map<std::string, Scope> kScopes = {
    {"all", Scope::kAll}, {"zone", Scope::kZone}, {"cell", Scope::kCell}};
const std::map<std::string, Registry> kRegistries = {{"push", Registry::kPush}, {"ask", Registry::kAsk}};
const std::map<std::string, Reports> kReports = {
    {"piggyback", Reports::kPiggyback}, {"pull", Reports::kPull}, {"silent", Reports::kSilent}};
const std::map<std::string, Standing> kStandings = {
    {"ready", Standing::kReady}, {"draining", Standing::kDraining}, {"gone", Standing::kGone}};
const std::map<std::string, ListMode> kModes = {{"INCREMENTAL", ListMode::kIncremental},
                                                {"FULL", ListMode::kFull},
                                                {"SAVED", ListMode::kSaved},
                                                {"FAILED", ListMode::kFailed}};
const std::map<std::string, Outcome> kOutcomes = {
    {"delivered", Outcome::kDelivered}, {"app_error", Outcome::kAppError},     {"shed", Outcome::kShed},
    {"expired", Outcome::kExpired},     {"dial_failed", Outcome::kDialFailed}, {"dropped", Outcome::kDropped},
    {"revoked", Outcome::kRevoked},     {"unused", Outcome::kUnused}};

bool present(const json& from, const char* field) {
  const auto at = from.find(field);
  return at != from.end() && !at->is_null();
}

template <typename T>
T optional_field(const json& from, const char* field, T otherwise) {
  return present(from, field) ? from.at(field).get<T>() : otherwise;
}

Micros micros(const json& from, const char* field) {
  if (!present(from, field)) return Micros{0};
  const json& value = from.at(field);
  return Micros{value.is_number_float() ? std::llround(value.get<double>()) : value.get<std::int64_t>()};
}

struct Tables {
  Names classes, tenants, zones, kinds, engines;
};

std::vector<int> name_list(const json& from, const char* field, Names& names) {
  std::vector<int> indices;
  for (const json& name : optional_field(from, field, json::array())) indices.push_back(names.add(name));
  return indices;
}

Settings read_settings(const json& p, Tables& t) {
  Settings s;
  for (const json& zone : p.at("localities")) t.zones.add(zone);
  for (const json& kind : p.at("host_types")) t.kinds.add(kind);
  s.gateways = p.at("balancers");
  s.own_number = p.at("rank");
  s.own_zone = t.zones.find(p.at("locality"), "zone");
  const json& facts = optional_field(p, "family_info", json::object());
  const auto cores = optional_field(facts, "cores_by_kind", std::vector<int>{});
  const auto memory = optional_field(facts, "ram_of_kind_mb", std::vector<double>{});
  const auto threads = optional_field(facts, "threads_by_class", std::vector<int>{});
  const auto loads = optional_field(facts, "class_load", std::vector<bool>{});
  const auto yields = optional_field(facts, "yields_to_loads", std::vector<bool>{});
  for (const json& c : p.at("profiles")) {
    const auto i = static_cast<std::size_t>(t.classes.add(c.at("name")));
    ClassSettings cls;
    cls.objective = micros(c, "objective_us");
    cls.aim_stretch = optional_field(c, "aim_stretch", 0.0);
    cls.hard_limit = micros(c, "hard_limit_us");
    cls.worth = optional_field(c, "worth", 1.0);
    cls.late_share = optional_field(c, "late_share", 0.0);
    cls.effect = choose(c.at("effect").get<std::string>(), kEffects, "effect");
    cls.dedup_scope = choose(optional_field<std::string>(c, "dedup_scope", "all"), kScopes, "scope");
    cls.dedup_window = micros(c, "dedup_window_us");
    cls.keep_order = optional_field(c, "keep_order", false);
    cls.streamed = optional_field(c, "streamed", false);
    cls.zones = name_list(c, "confined_to", t.zones);
    cls.kinds = name_list(c, "host_types_only", t.kinds);
    if (i < threads.size()) cls.threads = threads[i];
    if (i < loads.size()) cls.load = loads[i];
    if (i < yields.size()) cls.yields_to_load = yields[i];
    s.classes.push_back(cls);
  }
  for (const json& c : optional_field(p, "customers", json::array())) {
    t.tenants.add(c.at("name"));
    s.tenants.push_back({optional_field(c, "quota_rps", 0.0), optional_field(c, "share", 0.0)});
  }
  s.zone_count = t.zones.size();
  for (std::size_t i = 0; i < static_cast<std::size_t>(t.kinds.size()); ++i) {
    s.kinds.push_back({i < cores.size() ? cores[i] : 1, i < memory.size() ? memory[i] : 0.0});
  }
  s.registry = choose(p.at("registry_mode").get<std::string>(), kRegistries, "registry mode");
  const json& reports = optional_field(p, "reporting", json::object());
  s.reports = choose(optional_field<std::string>(reports, "how", "silent"), kReports, "way of reporting");
  const json& limits = p.at("limits");
  s.may_cancel = optional_field(limits, "may_cancel", false);
  s.may_probe = optional_field(limits, "may_probe", false);
  s.may_duplicate = optional_field(limits, "may_duplicate", false);
  s.retry_after = optional_field(limits, "retry_after", false);
  s.max_retry_after = micros(limits, "max_retry_after_us");
  s.most_tries = optional_field(limits, "most_tries", 1);
  s.connect_timeout = micros(limits, "connect_timeout_us");
  s.memory_heeded = optional_field(facts, "memory_heeded", false);
  s.priority_heeded = optional_field(facts, "takes_priority", false);
  s.tells_cost = optional_field(facts, "says_cost", false);
  s.largest_share = optional_field(facts, "largest_share", 1.0);
  s.progress = micros(facts, "progress_us");
  s.over_share_worth = optional_field(p, "over_share_worth", 1.0);
  const json& costs = optional_field(p, "costs", json::object());
  s.cross_zone_cost = optional_field(costs, "cross_zone", 0.0);
  s.probe_cost = optional_field(costs, "probe", 0.0);
  const json& rules = p.at("rules");
  s.answer_slack = micros(rules, "answer_slack_us");
  s.ask_within = micros(rules, "ask_within_us");
  s.drain_grace = micros(rules, "drain_grace_us");
  s.cold_from = optional_field(rules, "cold_from", 1.0);
  s.cold_for = micros(rules, "cold_us");
  s.overload_factor = optional_field(rules, "overload_factor", 1.0);
  s.fall_after = micros(rules, "fall_us");
  if (present(rules, "extra_ratio")) s.extra_ratio = rules.at("extra_ratio").get<double>();
  s.free_resends = optional_field(rules, "free_resends", 0.0);
  s.look_back = micros(rules, "look_back_us");
  s.settle_after_doubt = micros(rules, "settle_after_doubt_us");
  return s;
}

struct Instance {
  Tables tables;
  std::unique_ptr<Gateway> gateway;
};

LoadReport read_report(const json& from) {
  LoadReport report;
  const json values = optional_field(from, "health_info", json::object());
  const auto value = [&](const char* name) -> std::optional<double> {
    if (present(values, name)) return values.at(name).get<double>();
    return std::nullopt;
  };
  report.utilisation = value("load_share");
  report.in_flight = value("concurrent");
  report.waiting = value("depth");
  report.memory = value("x0");
  report.disks = value("x1");
  return report;
}

ListNews read_list(const json& e, const std::map<int, json>& lists, Tables& t) {
  ListNews news;
  news.mode = choose(e.at("mode").get<std::string>(), kModes, "mode");
  if (news.mode == ListMode::kFailed) return news;
  const auto list = lists.find(e.at("roster_id").get<int>());
  if (list == lists.end()) throw std::runtime_error("unknown list " + e.at("roster_id").dump());
  for (const json& row : list->second) {
    EngineEntry entry;
    entry.engine = t.engines.add(row.at("node"));
    entry.zone = t.zones.find(row.at("zone"), "zone");
    entry.kind = t.kinds.find(row.at("machine"), "kind");
    entry.cell = optional_field(row, "stripe", 0);
    entry.standing = choose(row.at("health").get<std::string>(), kStandings, "health");
    entry.weight = optional_field(row, "weight", 1.0);
    entry.came_up = micros(row, "came_up_us");
    news.entries.push_back(entry);
  }
  return news;
}

Event read_event(const std::string& name, const json& e, const std::map<int, json>& lists, Tables& t) {
  if (name == "sync") return read_list(e, lists, t);
  if (name == "alarm") return Alarm{e.at("label").get<std::uint64_t>()};
  if (name == "peer_data") return PeerMessage{e.at("neighbour").get<int>()};
  if (name == "check_result") {
    return ProbeResult{t.engines.find(e.at("node"), "engine"), e.at("status") == "delivered",
                       micros(e, "delay_seen_us"), read_report(e)};
  }
  const auto id = e.at("op_id").get<RequestId>();
  if (name == "cancelled_by_client") return ClientGone{id};
  if (name == "arrival") {
    Arrival a;
    a.id = id;
    a.cls = t.classes.find(e.at("type"), "class");
    if (present(e, "realm") && e.at("realm").is_string()) a.tenant = t.tenants.find(e.at("realm"), "tenant");
    if (present(e, "key")) a.key = e.at("key").get<std::uint64_t>();
    a.left = micros(e, "left_us");
    a.estimate_ms = optional_field(e, "guess_us", 0.0) / 1000;
    a.memory_mb = optional_field(e, "want_mb", 0.0);
    a.group = static_cast<int>(optional_field(e, "schema_no", -1.0));
    a.resent = optional_field(e, "resent", false);
    return a;
  }
  const int attempt = e.at("round_no");
  if (name == "first_byte") return FirstByte{id, attempt};
  const int engine = t.engines.find(e.at("node"), "engine");
  if (name == "interim") {
    return Note{id, attempt, engine, static_cast<Topic>(e.at("topic").get<int>()),
                optional_field(e, "amount", 0.0)};
  }
  if (name != "closed_attempt") throw std::runtime_error("unknown event '" + name + "'");
  Closed c;
  c.id = id;
  c.attempt = attempt;
  c.engine = engine;
  c.outcome = choose(e.at("status").get<std::string>(), kOutcomes, "status");
  c.delay = micros(e, "delay_seen_us");
  c.ended = optional_field(e, "closed", false);
  const auto stats = optional_field<std::int64_t>(e, "stats", 0);
  c.true_work_ms = static_cast<double>(stats / 4096);
  c.true_memory_mb = static_cast<double>(stats % 4096) * 4;
  c.report = read_report(e);
  return c;
}

struct Writer {
  const std::string& who;
  const Names& engines;
  void line(const char* verb, json fields) const {
    fields["who"] = who;
    std::cout << json{{verb, std::move(fields)}}.dump() << '\n';
  }
  void operator()(const Send& a) const {
    line("hand_off",
         {{"op_id", a.id}, {"node", engines.name(a.engine)}, {"patience_us", a.patience.count()}});
  }
  void operator()(const Terms& a) const {
    line("set_terms", {{"op_id", a.id}, {"memory", a.memory_mb}, {"rank", a.priority}});
  }
  void operator()(const Cancel& a) const { line("abandon", {{"op_id", a.id}, {"round_no", a.attempt}}); }
  void operator()(const Refuse& a) const { line("shed", {{"op_id", a.id}, {"wait_us", a.wait.count()}}); }
  void operator()(const Fail& a) const { line("give_up", {{"op_id", a.id}}); }
  void operator()(const Probe& a) const { line("ping", {{"node", engines.name(a.engine)}}); }
  void operator()(const Subscribe& a) const { line("subscribe", {{"active", a.active}}); }
  void operator()(const FetchList&) const { line("get_list", json::object()); }
  void operator()(const Timer& a) const {
    line("remind", {{"due_at_us", a.due.count()}, {"label", a.label}});
  }
  void operator()(const Log& a) const { line("say_log", {{"what", a.text}}); }
};

class Link {
 public:
  void take(const std::string& text) {
    const json message = json::parse(text);
    if (!message.is_object() || message.size() != 1) throw std::runtime_error("not one message of one key");
    const std::string& name = message.begin().key();
    const json& body = message.begin().value();
    if (name == "begin_batch") {
      if (in_batch_) throw std::runtime_error("a batch begins within a batch");
      now_ = micros(body, "at_time_us");
      turn_ = body.at("turn");
      in_batch_ = true;
      return;
    }
    if (!in_batch_) throw std::runtime_error("'" + name + "' outside a batch");
    if (name == "commit") {
      std::cout << json{{"yield", {{"turn", turn_}}}}.dump() << std::endl;
      in_batch_ = false;
    } else if (name == "snapshot_rows") {
      lists_[body.at("roster_id").get<int>()] = body.at("entries");
    } else {
      event(name, body);
    }
  }
  bool in_batch() const { return in_batch_; }

 private:
  void event(const std::string& name, const json& body) {
    const std::string who = body.at("who");
    if (name == "crash_now") {
      instances_.erase(who);
      return;
    }
    Event event = Started{};
    if (name == "start") {
      Instance fresh;
      Settings settings = read_settings(body.at("params"), fresh.tables);
      const auto seed = body.at("salt").get<std::uint64_t>();
      guarded(who, [&] { fresh.gateway = std::make_unique<Gateway>(seed, std::move(settings)); });
      instances_[who] = std::move(fresh);
    }
    const auto at = instances_.find(who);
    if (at == instances_.end()) throw std::runtime_error("unknown instance '" + who + "'");
    if (name != "start") event = read_event(name, body, lists_, at->second.tables);
    if (!at->second.gateway) return;
    actions_.clear();
    guarded(who, [&] { at->second.gateway->handle(now_, event, actions_); });
    const Writer writer{who, at->second.tables.engines};
    for (const Action& action : actions_) std::visit(writer, action);
  }

  template <typename F>
  void guarded(const std::string& who, F&& call) {
    try {
      call();
    } catch (const std::exception& fault) {
      actions_.clear();
      std::cout << json{{"internal_error", {{"who", who}, {"what", fault.what()}}}}.dump() << '\n';
    }
  }

  std::unordered_map<std::string, Instance> instances_;
  std::map<int, json> lists_;
  std::vector<Action> actions_;
  Micros now_{0};
  std::int64_t turn_{0};
  bool in_batch_{false};
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  Link link;
  std::string text;
  for (std::int64_t line = 1; std::getline(std::cin, text); ++line) {
    try {
      if (!text.empty()) link.take(text);
    } catch (const std::exception& fault) {
      std::cout.flush();
      std::cerr << "quillgap_benchlink: line " << line << ": " << fault.what() << '\n';
      return 1;
    }
  }
  if (link.in_batch()) {
    std::cerr << "quillgap_benchlink: input ended within a batch\n";
    return 1;
  }
  return 0;
}
