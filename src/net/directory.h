// Follows the list of engines: reads its events (JSON) from the configuration and from the directory's
// stream.
#pragma once

#include <boost/asio/coroutine.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include "base/backoff.h"
#include "core/coordinator.h"
#include "net/buffers.h"
#include "settings_json.h"

namespace steprail {

using boost::asio::ip::tcp;

class Directory {
 public:
  // The number of an engine that has been gone for longer than `forget_after` is reused: neither a request
  // nor the module may refer to it any more by then.
  Directory(Strand strand, Coordinator& coordinator, EventLog& log, NameTables& tables, tcp::endpoint source,
            Micros forget_after, std::uint64_t seed);

  // Applies the events that the configuration holds for the start.
  void load_saved(const nlohmann::json& saved);
  void follow();
  // Follows the directory at another address from now on. The list as reported so far stays valid.
  void move_to(const tcp::endpoint& source);
  std::int64_t last_index() const { return last_index_; }

 private:
  struct Row {
    EngineEntry entry;
    EngineChange change;
  };
  void run(boost::system::error_code error = {}, std::size_t count = 0);
  void reconnect(const std::string& why);
  bool handle_lines();
  void handle_line(std::string_view line);
  void apply(const nlohmann::json& event, bool first);
  void forget_gone_engines();
  Row read_row(const nlohmann::json& row);

  Strand strand_;
  Coordinator& coordinator_;
  EventLog& log_;
  NameTables& tables_;
  tcp::endpoint source_;
  tcp::socket socket_;
  boost::asio::steady_timer silence_timer_, reconnect_timer_;
  boost::asio::coroutine coroutine_;
  std::uint64_t generation_{0};  // tells callbacks of an earlier connection apart
  InputBuffer in_;
  std::string follow_command_;
  std::int64_t last_index_{0};
  Micros forget_after_;
  Backoff backoff_;
  std::map<int, Micros> gone_since_;   // when the engine was first listed as gone
  std::unordered_map<int, Row> rows_;  // by the engine's number, as last reported
  int bad_lines_{0};                   // in a row that could not be parsed
  bool loss_logged_{false};
};

}  // namespace steprail
