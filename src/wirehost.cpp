// Adapter between the simulator and the decision module, on standard input and output: JSON messages to
// events, names to indices, actions to JSON messages. It takes no decisions.
#include <cstdio>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>

#include "settings_json.h"
#include "steprail/gateway.h"

namespace {

using nlohmann::json;
using namespace steprail;

const std::map<std::string, EngineStatus> kStatuses = {
    {"ready", EngineStatus::kReady}, {"draining", EngineStatus::kDraining}, {"gone", EngineStatus::kGone}};
const std::map<std::string, ListMode> kListModes = {{"INCREMENTAL", ListMode::kIncremental},
                                                    {"FULL", ListMode::kFull},
                                                    {"SAVED", ListMode::kSaved},
                                                    {"FAILED", ListMode::kFailed}};
const std::map<std::string, Outcome> kOutcomes = {{"delivered", Outcome::kDelivered},
                                                  {"app_error", Outcome::kAppError},
                                                  {"shed", Outcome::kRejected},
                                                  {"expired", Outcome::kTimedOut},
                                                  {"dial_failed", Outcome::kConnectFailed},
                                                  {"dropped", Outcome::kConnectionLost},
                                                  {"revoked", Outcome::kCancelled},
                                                  {"unused", Outcome::kNotSent}};

struct Instance {
  NameTables tables;
  std::unique_ptr<Gateway> gateway;
};

LoadReport read_report(const json& from) {
  LoadReport report;
  const json values = optional_field(from, "health_info", json::object());
  const auto value = [&](const char* name) -> std::optional<double> {
    if (has_field(values, name)) return values.at(name).get<double>();
    return std::nullopt;
  };
  report.cpu_utilisation = value("load_share");
  report.in_flight = value("concurrent");
  report.queued = value("depth");
  report.memory_utilisation = value("x0");
  report.disk_utilisation = value("x1");
  return report;
}

ListUpdate read_list(const json& body, const std::map<int, json>& lists, NameTables& tables) {
  ListUpdate update;
  update.mode = parse_enum(body.at("mode").get<std::string>(), kListModes, "mode");
  if (update.mode == ListMode::kFailed) return update;
  const auto list = lists.find(body.at("roster_id").get<int>());
  if (list == lists.end()) throw std::runtime_error("unknown list " + body.at("roster_id").dump());
  for (const json& row : list->second) {
    EngineEntry entry;
    entry.engine = tables.engines.add(row.at("node"));
    entry.name_hash = name_hash(row.at("node").get<std::string>());
    entry.zone = tables.zones.index_or_throw(row.at("zone"), "zone");
    entry.kind = tables.kinds.index_or_throw(row.at("machine"), "kind");
    entry.cell = optional_field(row, "stripe", 0);
    entry.status = parse_enum(row.at("health").get<std::string>(), kStatuses, "health");
    entry.weight = optional_field(row, "weight", 1.0);
    entry.started_at = read_micros(row, "came_up_us");
    update.entries.push_back(entry);
  }
  return update;
}

Event read_event(const std::string& name, const json& body, const std::map<int, json>& lists,
                 NameTables& tables) {
  if (name == "sync") return read_list(body, lists, tables);
  if (name == "alarm") return TimerFired{body.at("label").get<std::uint64_t>()};
  if (name == "peer_data") return PeerMessage{body.at("neighbour").get<int>()};
  if (name == "check_result") {
    return ProbeResult{tables.engines.index_or_throw(body.at("node"), "engine"),
                       body.at("status") == "delivered", read_micros(body, "delay_seen_us"),
                       read_report(body)};
  }
  const auto id = body.at("op_id").get<RequestId>();
  if (name == "cancelled_by_client") return ClientGone{id};
  if (name == "arrival") {
    Arrival arrival;
    arrival.id = id;
    arrival.cls = tables.classes.index_or_throw(body.at("type"), "class");
    if (has_field(body, "realm") && body.at("realm").is_string())
      arrival.tenant = tables.tenants.index_or_throw(body.at("realm"), "tenant");
    if (has_field(body, "key")) arrival.key = body.at("key").get<std::uint64_t>();
    arrival.remaining = read_micros(body, "left_us");
    arrival.estimate_ms = optional_field(body, "guess_us", 0.0) / 1000;
    arrival.memory_mb = optional_field(body, "want_mb", 0.0);
    arrival.table_group = static_cast<int>(optional_field(body, "schema_no", -1.0));
    arrival.client_retry = optional_field(body, "resent", false);
    return arrival;
  }
  const int attempt = body.at("round_no");
  if (name == "first_byte") return FirstByte{id, attempt};
  const int engine = tables.engines.index_or_throw(body.at("node"), "engine");
  if (name == "interim") {
    return ProgressReport{id, attempt, engine, static_cast<ProgressTopic>(body.at("topic").get<int>()),
                          optional_field(body, "amount", 0.0)};
  }
  if (name != "closed_attempt") throw std::runtime_error("unknown event '" + name + "'");
  AttemptClosed closed;
  closed.id = id;
  closed.attempt = attempt;
  closed.engine = engine;
  closed.outcome = parse_enum(body.at("status").get<std::string>(), kOutcomes, "status");
  closed.delay = read_micros(body, "delay_seen_us");
  closed.request_answered = optional_field(body, "closed", false);
  // One number carries both costs: the work in ms times 4096, plus the memory in units of 4 MB.
  const auto stats = optional_field<std::int64_t>(body, "stats", 0);
  closed.actual_work_ms = static_cast<double>(stats / 4096);
  closed.actual_memory_mb = static_cast<double>(stats % 4096) * 4;
  closed.report = read_report(body);
  return closed;
}

// Writes actions to standard output, one JSON object a line.
struct ActionWriter {
  const std::string& who;
  const NameTable& engines;
  void write(const char* name, json fields) const {
    fields["who"] = who;
    std::cout << json{{name, std::move(fields)}}.dump() << '\n';
  }
  void operator()(const Send& a) const {
    write("hand_off",
          {{"op_id", a.id}, {"node", engines.name(a.engine)}, {"patience_us", a.timeout.count()}});
  }
  void operator()(const SetResources& a) const {
    write("set_terms", {{"op_id", a.id}, {"memory", a.memory_mb}, {"rank", a.priority}});
  }
  void operator()(const Cancel& a) const { write("abandon", {{"op_id", a.id}, {"round_no", a.attempt}}); }
  void operator()(const Refuse& a) const {
    write("shed", {{"op_id", a.id}, {"wait_us", a.retry_after.count()}});
  }
  void operator()(const Fail& a) const { write("give_up", {{"op_id", a.id}}); }
  void operator()(const Probe& a) const { write("ping", {{"node", engines.name(a.engine)}}); }
  void operator()(const Subscribe& a) const { write("subscribe", {{"active", a.active}}); }
  void operator()(const FetchList&) const { write("get_list", json::object()); }
  void operator()(const Timer& a) const {
    write("remind", {{"due_at_us", a.due.count()}, {"label", a.label}});
  }
  void operator()(const Log& a) const { write("say_log", {{"what", a.text}}); }
};

// Reads the simulator's messages, one JSON object of one key a line, and runs the gateways that it starts.
// Events come in batches; each batch is acknowledged with a `yield` once its actions are written.
class Adapter {
 public:
  void handle_message(const std::string& text) {
    const json message = json::parse(text);
    if (!message.is_object() || message.size() != 1)
      throw std::runtime_error("a message must be an object with exactly one key");
    const std::string& name = message.begin().key();
    const json& body = message.begin().value();
    if (name == "begin_batch") {
      if (in_batch_) throw std::runtime_error("a batch begins within another batch");
      now_ = read_micros(body, "at_time_us");
      batch_number_ = body.at("turn");
      in_batch_ = true;
      return;
    }
    if (!in_batch_) throw std::runtime_error("'" + name + "' outside a batch");
    if (name == "commit") {
      std::cout << json{{"yield", {{"turn", batch_number_}}}}.dump() << std::endl;
      in_batch_ = false;
    } else if (name == "snapshot_rows") {
      lists_[body.at("roster_id").get<int>()] = body.at("entries");
    } else {
      handle_event(name, body);
    }
  }
  bool in_batch() const { return in_batch_; }

 private:
  void handle_event(const std::string& name, const json& body) {
    const std::string who = body.at("who");
    if (name == "crash_now") {
      instances_.erase(who);
      return;
    }
    Event event = Started{};
    if (name == "start") {
      Instance started;
      Settings settings = read_settings(body.at("params"), started.tables);
      const auto seed = body.at("salt").get<std::uint64_t>();
      report_exceptions(who, [&] { started.gateway = std::make_unique<Gateway>(seed, std::move(settings)); });
      instances_[who] = std::move(started);
    }
    const auto instance = instances_.find(who);
    if (instance == instances_.end()) throw std::runtime_error("unknown instance '" + who + "'");
    if (name != "start") event = read_event(name, body, lists_, instance->second.tables);
    if (!instance->second.gateway) return;  // its settings were invalid, which has been reported
    actions_.clear();
    report_exceptions(who, [&] { instance->second.gateway->handle(now_, event, actions_); });
    const ActionWriter writer{who, instance->second.tables.engines};
    for (const Action& action : actions_) std::visit(writer, action);
  }

  // The simulator hears of an exception as an internal_error; the actions of the event are dropped.
  template <typename F>
  void report_exceptions(const std::string& who, F&& call) {
    try {
      call();
    } catch (const std::exception& thrown) {
      actions_.clear();
      std::cout << json{{"internal_error", {{"who", who}, {"what", thrown.what()}}}}.dump() << '\n';
    }
  }

  std::unordered_map<std::string, Instance> instances_;
  std::map<int, json> lists_;
  std::vector<Action> actions_;
  Micros now_{0};
  std::int64_t batch_number_{0};
  bool in_batch_{false};
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  Adapter adapter;
  std::string line;
  for (std::int64_t line_number = 1; std::getline(std::cin, line); ++line_number) {
    try {
      if (!line.empty()) adapter.handle_message(line);
    } catch (const std::exception& thrown) {
      std::cout.flush();
      std::cerr << "steprail_wirehost: line " << line_number << ": " << thrown.what() << '\n';
      return 1;
    }
  }
  if (adapter.in_batch()) {
    std::cerr << "steprail_wirehost: input ended within a batch\n";
    return 1;
  }
  return 0;
}
