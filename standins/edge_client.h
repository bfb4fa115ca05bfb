// A stand-in device over real links: the session logic of device.h behind a WebSocket or a long poll, which
// comes back by itself when its link is lost.
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
  enum class By { kWebSocketJson, kWebSocketCbor, kPoll };
  EdgeClient(boost::asio::io_context& io, Device& device, tcp::endpoint to, By by);
  ~EdgeClient();
  EdgeClient(const EdgeClient&) = delete;
  EdgeClient& operator=(const EdgeClient&) = delete;

  void connect();
  // Asks for something; it leaves as soon as there is a session.
  std::uint64_t ask(const std::string& verb, const std::string& statement, std::int64_t limit_ms);
  void push();  // what the device has to say
  void drop();  // its link breaks, and it comes back
  void stop();  // and stays away
  void use(By by) { by_ = by; }
  void set_target(const tcp::endpoint& to) { to_ = to; }
  std::size_t connects() const { return connects_; }
  void set_patience(std::chrono::milliseconds patience) { patience_ = patience; }

 private:
  class Socket;
  class Polling;
  class Way {
   public:
    virtual ~Way() = default;
    virtual void say(const std::vector<edge::Frame>& frames) = 0;
    virtual void end() = 0;
  };
  void heard(const Way* from, const edge::Frame& frame);
  void lost(const Way* from);
  void watch();
  static std::chrono::microseconds now();

  boost::asio::io_context& io_;
  Device& device_;
  tcp::endpoint to_;
  By by_;
  std::shared_ptr<Way> way_;
  boost::asio::steady_timer again_, silence_;
  // Without a word for so long the device takes its link for dead; 0: for three of the edge's heartbeats.
  std::chrono::milliseconds patience_{0};
  std::size_t connects_{0};
  bool stopped_{false};
  std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

}  // namespace steprail::standin
