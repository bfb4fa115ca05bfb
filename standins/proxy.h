// A stand-in for a link: a loopback proxy that delays, slows, stalls, cuts, half-closes or swallows what
// passes, as a script says for each connection, or as a seed draws it.
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
    kReset,      // both sides hear a reset
    kHalfClose,  // this direction ends, the other goes on
    kBlackHole,  // from here on everything is swallowed, both ways, and the connection stays open
    kStall       // nothing passes for a while, then it goes on
  };
  struct Direction {
    std::uint64_t fault_after_bytes{kNever};  // after so many bytes
    Fault fault{Fault::kReset};
    std::chrono::milliseconds stall{0};
    std::chrono::milliseconds delay{0};
    std::uint64_t bytes_per_second{0};  // bytes a second; 0: all there are
  };
  Direction up, down;  // from the client, to the client
};

// A link's character drawn from a seed: `roughness` from 0 (good) to 4 (hardly there).
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
  // Every connection that is open now swallows everything, both ways, once so many more bytes have come down.
  // What has come down until then varies: a welcome's seal is random, and compressed.
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
