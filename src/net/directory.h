// The list of engines: its events as JSON, and the stream that brings them.
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
  // An engine that is gone for longer than `reference` is in nobody's hands any more.
  Directory(Strand strand, Coordinator& coordinator, EventLog& log, NameTables& tables, tcp::endpoint source,
            Micros reference, std::uint64_t seed);

  // The events of the start, as the configuration holds them.
  void load(const nlohmann::json& known);
  void follow();
  // The directory has another address now; what it had told before still holds.
  void move_to(const tcp::endpoint& source);
  std::int64_t last() const { return last_; }

 private:
  struct Row {
    EngineEntry entry;
    EngineChange change;
  };
  void run(boost::system::error_code error = {}, std::size_t count = 0);
  void again(const std::string& why);
  bool take_lines();
  void take(std::string_view line);
  void apply(const nlohmann::json& event, bool first);
  void forget_gone();
  Row read_row(const nlohmann::json& row);

  Strand strand_;
  Coordinator& coordinator_;
  EventLog& log_;
  NameTables& tables_;
  tcp::endpoint source_;
  tcp::socket socket_;
  boost::asio::steady_timer silence_, pause_;
  boost::asio::coroutine state_;
  std::uint64_t life_{0};  // which connection a handler belongs to
  InBuffer in_;
  std::string hello_;
  std::int64_t last_{0};
  Micros reference_;
  Backoff backoff_;
  std::map<int, Micros> gone_;         // since when
  std::unordered_map<int, Row> rows_;  // as last told
  int bad_{0};                         // lines in a row that could not be read
  bool failing_{false};
};

}  // namespace steprail
