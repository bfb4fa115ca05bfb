// A small site on loopback for integration tests: a directory that sends no updates, scripted engines, and
// the configuration of a coordinator that uses them. The coordinator runs in the same thread or in its own
// process.
#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "server.h"
#include "standins/client.h"
#include "standins/engine.h"

namespace steprail::standin {

// A temporary directory, removed by the destructor.
class TempDir {
 public:
  TempDir();
  ~TempDir();
  TempDir(const TempDir&) = delete;
  TempDir& operator=(const TempDir&) = delete;
  std::string path(const std::string& name = {}) const { return name.empty() ? path_ : path_ + '/' + name; }
  void write(const std::string& name, const std::string& text) const;

 private:
  std::string path_;
};

class Site {
 public:
  struct Options {
    std::size_t engines{1};
    std::shared_ptr<Script> script{std::make_shared<Script>()};
    std::string conf;  // text of the operator's file; empty: no file
    std::function<void(nlohmann::json&)> edit_config;
    std::chrono::milliseconds hard_limit{20000};
    std::function<spool::Substitutes()> substitutes;  // called at each start
    std::function<std::unique_ptr<spool::Index>()> ledger;
  };
  explicit Site(Options options);
  ~Site();

  // Starts or restarts the coordinator with the present content of its files.
  void start();
  // Ends the coordinator without any shutdown, as kill -9 would.
  void kill() { server.reset(); }
  void write_conf(const std::string& text) const { temp_dir.write("steprail.conf", text); }

  // Runs both event loops until the condition holds; false if it does not within the timeout.
  bool run_until(const std::function<bool()>& condition,
                 std::chrono::seconds timeout = std::chrono::seconds(30));
  void run_for(std::chrono::microseconds time);
  std::unique_ptr<Client> client() { return std::make_unique<Client>(io, server->endpoint()); }
  std::unique_ptr<Client> reader() { return std::make_unique<Client>(io, server->reader_endpoint()); }
  std::optional<Reply> wait_for_reply(Client& from);
  int run_count(const std::string& id) const;
  std::size_t open_sessions() const;
  Engine* engine_running(const std::string& id);

  TempDir temp_dir;
  boost::asio::io_context io;
  tcp::acceptor directory;
  std::shared_ptr<Script> script;
  std::shared_ptr<std::map<std::string, int>> run_counts;
  std::vector<std::unique_ptr<Engine>> engines;
  nlohmann::json config;
  std::unique_ptr<Server> server;

 private:
  bool has_conf_;
  std::function<spool::Substitutes()> substitutes_;
  std::function<std::unique_ptr<spool::Index>()> ledger_;
};

// The fields of a request, with defaults that fit the site's classes and tenants.
Fields request(const std::string& id, const std::string& verb = "report", const std::string& team = "acme",
               int limit_ms = 9000);

}  // namespace steprail::standin
