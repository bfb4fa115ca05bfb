// A scripted query engine for tests: it speaks the platform's engine protocol on loopback, generates
// deterministic results of any length, and fails where its script says.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace steprail::standin {

using boost::asio::ip::tcp;

enum class Fault {
  kNone,
  kCrash,     // all connections are reset and no new one is accepted, as when the process ends
  kReset,     // this connection is reset
  kSilent,    // the command is never answered
  kEio,       // EIO in place of the answer
  kAgain,     // AGAIN: the engine is full, the query did not run
  kMalformed  // an answer that cannot be parsed
};

// Where a fault may be injected: when a statement arrives and has not run yet, before its ACK, or before a
// page.
struct FaultPoint {
  enum class Stage { kServe, kAck, kPage } stage{};
  std::string id;
  int run{};           // counts the runs of this id on all engines that share the counts, from 1
  std::size_t page{};  // kPage: the page's number
};

struct Script {
  std::size_t rows{3}, row_bytes{40};
  std::size_t page_bytes{6000};
  std::chrono::milliseconds run_time{0};
  std::function<Fault(const FaultPoint&)> fault;
  // If set, overrides `rows` for each request id.
  std::function<std::size_t(const std::string& id)> rows_for;
};

// An engine's session for a request, and when it was open.
struct Session {
  std::string id;
  std::chrono::steady_clock::time_point opened_at{}, closed_at{};
  bool open{true};
};

// The pages of a result: always the same for an id and a run. Each row contains the run's number, so that the
// rows of different runs can be told apart.
std::vector<std::string> make_pages(const Script& script, const std::string& id, int run);
std::string full_result(const Script& script, const std::string& id, int run);

class Engine {
 public:
  Engine(boost::asio::io_context& io, std::shared_ptr<Script> script,
         std::shared_ptr<std::map<std::string, int>> run_counts);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  std::string address() const;
  void crash();
  const std::vector<Session>& sessions() const { return sessions_; }
  std::size_t open_sessions() const;
  std::size_t connections() const;
  // How many commands with this verb were received so far.
  std::size_t commands_received(const std::string& verb) const;

 private:
  class Connection;
  void accept();

  boost::asio::io_context& io_;
  std::shared_ptr<Script> script_;
  std::shared_ptr<std::map<std::string, int>> run_counts_;
  tcp::acceptor acceptor_;
  std::string address_;
  std::vector<std::weak_ptr<Connection>> connections_;
  std::vector<Session> sessions_;
  std::map<std::string, std::size_t> commands_received_;
  std::shared_ptr<bool> alive_;
};

}  // namespace steprail::standin
