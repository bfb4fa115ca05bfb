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
  enum class How {
    kReset,      // both sides hear a reset
    kHalfClose,  // this direction ends, the other goes on
    kHole,       // from here on everything is swallowed, both ways, and the connection stays open
    kStall       // nothing passes for a while, then it goes on
  };
  struct Way {
    std::uint64_t at{kNever};  // after so many bytes
    How how{How::kReset};
    std::chrono::milliseconds stall{0};
    std::chrono::milliseconds delay{0};
    std::uint64_t rate{0};  // bytes a second; 0: all there are
  };
  Way up, down;  // from the client, to the client
};

// A link's character drawn from a seed: `roughness` from 0 (good) to 4 (hardly there).
LinkScript draw_link(std::uint64_t seed, int roughness);

class Proxy {
 public:
  using Script = std::function<LinkScript(std::size_t connection)>;
  Proxy(boost::asio::io_context& io, tcp::endpoint to, Script script);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  void set_target(const tcp::endpoint& to) { to_ = to; }
  std::size_t connections() const { return count_; }
  // Every connection that is open now swallows everything, both ways, once so many more bytes have come down.
  // What has come down until then varies: a welcome's seal is random, and compressed.
  void hole_after(std::uint64_t more);
  std::uint64_t bytes_up() const { return up_; }
  std::uint64_t bytes_down() const { return down_; }

 private:
  class Pair;
  void accept();
  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  tcp::endpoint to_;
  Script script_;
  std::size_t count_{0};
  std::uint64_t up_{0}, down_{0};
  std::vector<std::weak_ptr<Pair>> pairs_;
  std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

}  // namespace steprail::standin
