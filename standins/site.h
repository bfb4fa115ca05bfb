// A whole small site on loopback: a directory that says nothing new, stand-in engines, and a coordinator's
// configuration that names them. The coordinator may run in the same thread, or on its own.
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

// A folder of its own under the system's for temporary files, gone with it.
class Folder {
 public:
  Folder();
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
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
    std::string conf;  // the operator's file; empty: none
    std::function<void(nlohmann::json&)> change;
    std::chrono::milliseconds hard_limit{20000};
    std::function<spool::Substitutes()> substitutes;  // at each start
    std::function<std::unique_ptr<spool::Index>()> ledger;
  };
  explicit Site(Options options);
  ~Site();

  // Starts (or starts anew) the coordinator, with what the files say now.
  void start();
  // As kill -9 would: nothing of the coordinator is told.
  void kill() { server.reset(); }
  void set_conf(const std::string& text) const { folder.write("steprail.conf", text); }

  // Lets both sides run until it has happened; false where that takes too long.
  bool until(const std::function<bool()>& happened, std::chrono::seconds most = std::chrono::seconds(30));
  void run_for(std::chrono::microseconds time);
  std::unique_ptr<Client> client() { return std::make_unique<Client>(io, server->endpoint()); }
  std::unique_ptr<Client> reader() { return std::make_unique<Client>(io, server->reader_endpoint()); }
  std::optional<Reply> reply(Client& from);
  int runs(const std::string& id) const;
  std::size_t open_sessions() const;
  Engine* engine_of(const std::string& id);

  Folder folder;
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

// The fields of a request as the site's classes and tenants go.
Fields request(const std::string& id, const std::string& verb = "report", const std::string& team = "acme",
               int limit_ms = 9000);

}  // namespace steprail::standin
