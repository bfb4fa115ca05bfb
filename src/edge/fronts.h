// The edge's two fronts on one listener: WebSocket, and HTTP/1.1 long poll for networks that let nothing else
// through. docs/protocol/edge.md has paths, subprotocols and limits.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "edge/codec.h"
#include "edge/edge.h"
#include "edge/logic/poll_links.h"

namespace steprail::edge {

using boost::asio::ip::tcp;

class Fronts {
 public:
  struct Limits {
    std::size_t max_connections{256};
    Micros poll_wait{25'000'000};
  };
  Fronts(Strand strand, EventLog& log, Edge& edge, Limits limits);
  ~Fronts();
  Fronts(const Fronts&) = delete;
  Fronts& operator=(const Fronts&) = delete;

  // Throws boost::system::system_error if the address cannot be bound.
  tcp::endpoint listen(const tcp::endpoint& at);
  void set_limits(const Limits& limits) { limits_ = limits; }
  // True while no write to a device is in progress.
  bool all_written() const;
  std::size_t connections() const { return connections_; }
  std::size_t poll_link_count() const { return poll_links_.size(); }

 private:
  class HttpConnection;
  class WebSocketConnection;
  class PollConnection;
  void accept();
  std::shared_ptr<PollConnection> find_poll(const std::string& link) const;
  void drop_poll(const std::string& link);
  void drop_silent_polls();

  Strand strand_;
  EventLog& log_;
  Edge& edge_;
  Limits limits_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_, sweep_timer_;
  bool accepting_{false};
  std::size_t connections_{0}, pending_writes_{0};
  std::unordered_map<std::string, std::shared_ptr<PollConnection>> polls_;
  PollLinks poll_links_;
  std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

}  // namespace steprail::edge
