// A loopback TCP proxy for tests that delays, throttles, stalls, cuts or half-closes each connection, or
// turns it into a black hole, as a fixed or random script says.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace steprail::standin {

using boost::asio::ip::tcp;

struct LinkScript {
  static constexpr std::uint64_t kNever = ~std::uint64_t{0};
  enum class Fault {
    kReset,      // resets both sides
    kHalfClose,  // ends this direction only
    kBlackHole,  // discards everything from here on, in both directions, and keeps the connection open
    kStall       // forwards nothing for a while, then continues
  };
  struct Direction {
    std::uint64_t fault_after_bytes{kNever};  // in this direction
    Fault fault{Fault::kReset};
    std::chrono::milliseconds stall{0};
    std::chrono::milliseconds delay{0};
    std::uint64_t bytes_per_second{0};  // 0: unlimited
  };
  Direction up, down;  // from the client; to the client
};

// A random script for the seed: `roughness` from 0 (no faults) to 4 (hardly usable).
LinkScript random_link_script(std::uint64_t seed, int roughness);

class Proxy {
 public:
  using MakeScript = std::function<LinkScript(std::size_t connection)>;
  Proxy(boost::asio::io_context& io, tcp::endpoint target, MakeScript make_script);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  void set_target(const tcp::endpoint& target) { target_ = target; }
  std::size_t connection_count() const { return connection_count_; }
  // Turns every connection that is open now into a black hole once so many more bytes have been sent to the
  // client. Counted from now, as the size of what was sent before varies: the token in a welcome frame is
  // random, and the frame is compressed.
  void black_hole_after(std::uint64_t more_bytes);
  std::uint64_t bytes_up() const { return bytes_up_; }
  std::uint64_t bytes_down() const { return bytes_down_; }

 private:
  class Connection;
  void accept();
  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  tcp::endpoint target_;
  MakeScript make_script_;
  std::size_t connection_count_{0};
  std::uint64_t bytes_up_{0}, bytes_down_{0};
  std::vector<std::weak_ptr<Connection>> connections_;
  std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

}  // namespace steprail::standin
