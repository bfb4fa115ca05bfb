#include "standins/site.h"

#include <unistd.h>

#include <fstream>
#include <stdexcept>

namespace steprail::standin {

using nlohmann::json;

TempDir::TempDir() {
  std::string name = (std::filesystem::temp_directory_path() / "steprail-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error("no temporary directory could be created");
  path_ = name;
}
TempDir::~TempDir() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}
void TempDir::write(const std::string& name, const std::string& text) const {
  std::ofstream(path(name), std::ios::trunc) << text;
}

Site::Site(Options options)
    : directory(io, {boost::asio::ip::address_v4::loopback(), 0}),
      script(options.script),
      run_counts(std::make_shared<std::map<std::string, int>>()),
      has_conf_(!options.conf.empty()),
      substitutes_(options.substitutes),
      ledger_(options.ledger) {
  json engine_rows = json::array();
  for (std::size_t i = 0; i < options.engines; ++i) {
    engines.push_back(std::make_unique<Engine>(io, script, run_counts));
    engine_rows.push_back({{"name", "engine" + std::to_string(i)},
                           {"address", engines.back()->address()},
                           {"zone", "here"},
                           {"type", "box"},
                           {"group", 0},
                           {"status", "active"},
                           {"weight", 1.0},
                           {"since_ms", 0}});
  }
  const auto class_settings = [&](const char* name, const char* effect) {
    return json{{"name", name},
                {"effect", effect},
                {"objective_us", 1000000},
                {"hard_limit_us", options.hard_limit.count() * 1000}};
  };
  config = {
      {"name", "n0"},
      {"listen", "127.0.0.1:0"},
      {"seed", "8c1f30d27a5be964"},
      {"coordinator", "127.0.0.1:" + std::to_string(directory.local_endpoint().port())},
      {"limits", {{"cores", 1.0}, {"memory_mb", 512}, {"sockets", 1024}}},
      {"known",
       {{"index", 1},
        {"updates",
         {{{"index", 1},
           {"endpoints", {{"index", 1}, {"snapshot", true}, {"endpoints", std::move(engine_rows)}}}}}}}},
      {"settings",
       {{"balancers", 1},
        {"rank", 0},
        {"localities", {"here"}},
        {"locality", "here"},
        {"host_types", {"box"}},
        {"registry_mode", "push"},
        {"customers", {{{"name", "acme"}, {"share", 0.5}}, {{"name", "umbra"}, {"share", 0.5}}}},
        {"family_info", {{"cores_by_kind", {64}}, {"threads_by_class", {1, 1, 1}}}},
        {"limits",
         {{"most_tries", 3},
          {"may_cancel", true},
          {"multiplex", 10},
          {"retry_after", true},
          {"max_retry_after_us", 700000},
          {"conn_idle_us", 15000000},
          {"connect_timeout_us", 250000}}},
        {"rules", {{"answer_slack_us", 20000}, {"drain_grace_us", 1000000}}},
        {"profiles",
         {class_settings("lookup", "repeatable"), class_settings("report", "repeatable"),
          class_settings("load", "once")}}}}};
  if (options.edit_config) options.edit_config(config);
  temp_dir.write("config.json", config.dump());
  if (has_conf_) write_conf(options.conf);
  start();
}

Site::~Site() = default;

void Site::start() {
  server.reset();
  server = std::make_unique<Server>(
      read_config(temp_dir.path("config.json")),
      has_conf_ ? read_operator(temp_dir.path("steprail.conf")) : OperatorConf{},
      substitutes_ ? substitutes_() : spool::Substitutes{}, ledger_ ? ledger_() : nullptr);
  server->start();
}

bool Site::run_until(const std::function<bool()>& condition, std::chrono::seconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    run_for(std::chrono::milliseconds(1));
  }
  return true;
}

void Site::run_for(std::chrono::microseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  do {
    std::size_t done = io.poll();
    if (server && !server->io().stopped()) done += server->io().poll();
    if (io.stopped()) io.restart();
    // Nothing was ready: wait shortly for the next event, but not longer, as io has to be polled too.
    if (done == 0 && server && !server->io().stopped())
      server->io().run_one_for(std::chrono::microseconds(200));
  } while (std::chrono::steady_clock::now() < end);
}

std::optional<Reply> Site::wait_for_reply(Client& from) {
  std::optional<Reply> reply;
  run_until([&] { return (reply = from.next_reply()).has_value() || from.ended(); });
  return reply;
}

int Site::run_count(const std::string& id) const {
  const auto at = run_counts->find(id);
  return at == run_counts->end() ? 0 : at->second;
}

std::size_t Site::open_sessions() const {
  std::size_t sum = 0;
  for (const auto& engine : engines) sum += engine->open_sessions();
  return sum;
}

Engine* Site::engine_running(const std::string& id) {
  for (const auto& engine : engines) {
    for (const Session& session : engine->sessions()) {
      if (session.id == id) return engine.get();
    }
  }
  return nullptr;
}

Fields request(const std::string& id, const std::string& verb, const std::string& team, int limit_ms) {
  return {{"txn", id}, {"verb", verb}, {"team", team}, {"limit", std::to_string(limit_ms)}};
}

}  // namespace steprail::standin
