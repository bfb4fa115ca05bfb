// A test device over real connections: the session logic of device.h over WebSocket or long poll, which
// reconnects by itself when its connection is lost.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "edge/codec.h"
#include "standins/device.h"

namespace steprail::standin {

using boost::asio::ip::tcp;

class EdgeClient {
 public:
  enum class Transport { kWebSocketJson, kWebSocketCbor, kPoll };
  EdgeClient(boost::asio::io_context& io, Device& device, tcp::endpoint target, Transport transport);
  ~EdgeClient();
  EdgeClient(const EdgeClient&) = delete;
  EdgeClient& operator=(const EdgeClient&) = delete;

  void connect();
  // Queues a request, which is sent as soon as there is a session. Returns its key.
  std::uint64_t send_request(const std::string& verb, const std::string& statement, std::int64_t limit_ms);
  void send_pending();     // sends the frames that the device has ready
  void drop_connection();  // breaks the connection; the device reconnects
  void stop();             // breaks the connection; the device does not reconnect
  void set_transport(Transport transport) { transport_ = transport; }
  void set_target(const tcp::endpoint& target) { target_ = target; }
  std::size_t connect_count() const { return connect_count_; }
  void set_silence_timeout(std::chrono::milliseconds timeout) { silence_timeout_ = timeout; }

 private:
  class WebSocketConnection;
  class PollConnection;
  class Connection {
   public:
    virtual ~Connection() = default;
    virtual void send_frames(const std::vector<edge::Frame>& frames) = 0;
    virtual void close() = 0;
  };
  void on_frame(const Connection* from, const edge::Frame& frame);
  void on_lost(const Connection* from);
  void restart_silence_timer();
  static std::chrono::microseconds now();

  boost::asio::io_context& io_;
  Device& device_;
  tcp::endpoint target_;
  Transport transport_;
  std::shared_ptr<Connection> connection_;
  boost::asio::steady_timer reconnect_timer_, silence_timer_;
  // After so long without a frame the device treats its connection as dead; 0: after three of the edge's
  // heartbeats, but at least 3 s.
  std::chrono::milliseconds silence_timeout_{0};
  std::size_t connect_count_{0};
  bool stopped_{false};
  std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

}  // namespace steprail::standin
