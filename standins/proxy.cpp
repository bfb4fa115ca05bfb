#include "standins/proxy.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <pcg_random.hpp>

namespace steprail::standin {

namespace asio = boost::asio;
using boost::system::error_code;

LinkScript draw_link(std::uint64_t seed, int roughness) {
  pcg32 random(seed);
  LinkScript script;
  if (roughness == 0) return script;
  script.up.delay = script.down.delay =
      std::chrono::milliseconds(random(5 * static_cast<std::uint32_t>(roughness)));
  script.down.rate = 2'000'000 >> (2 * roughness);
  const std::uint32_t typical = 200'000 >> (2 * roughness);
  LinkScript::Way& way = random(3) == 0 ? script.up : script.down;
  way.at = 200 + random(2 * typical);
  if (&way == &script.up) way.at = 200 + random(2000);
  const std::uint32_t how = random(4);
  way.how = how == 0 ? LinkScript::How::kHole : how == 1 ? LinkScript::How::kStall : LinkScript::How::kReset;
  way.stall = std::chrono::milliseconds(50 + random(100));
  return script;
}

class Proxy::Pair : public std::enable_shared_from_this<Pair> {
 public:
  Pair(Proxy& proxy, tcp::socket client, LinkScript script)
      : proxy_(proxy),
        alive_(proxy.alive_),
        client_(std::move(client)),
        server_(proxy.io_),
        script_(script) {}

  void run() {
    server_.async_connect(proxy_.to_, [self = shared_from_this()](error_code error) {
      if (error) return self->reset();
      self->server_.set_option(tcp::no_delay(true), error);
      self->pump(true);
      self->pump(false);
    });
  }
  void hole_after(std::uint64_t more) { script_.down = {down_ + more, LinkScript::How::kHole, {}, {}, 0}; }
  void reset() {
    error_code ignored;
    for (tcp::socket* socket : {&client_, &server_}) {
      if (!socket->is_open()) continue;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

 private:
  void pump(bool up) {
    tcp::socket& from = up ? client_ : server_;
    auto buffer = std::make_shared<std::vector<char>>(4096);
    from.async_read_some(asio::buffer(*buffer),
                         [self = shared_from_this(), up, buffer](error_code error, std::size_t count) {
                           if (!*self->alive_) return;
                           tcp::socket& to = up ? self->server_ : self->client_;
                           if (error) {
                             if (self->hole_) return;
                             // As it ended on the one side it ends on the other.
                             error_code ignored;
                             if (error == asio::error::eof) {
                               to.shutdown(tcp::socket::shutdown_send, ignored);
                             } else {
                               self->reset();
                             }
                             return;
                           }
                           buffer->resize(count);
                           self->passed(up, buffer, 0);
                         });
  }

  void passed(bool up, const std::shared_ptr<std::vector<char>>& bytes, std::size_t from) {
    LinkScript::Way& way = up ? script_.up : script_.down;
    std::uint64_t& count = up ? up_ : down_;
    if (hole_) return pump(up);
    std::size_t size = bytes->size() - from;
    bool event = false;
    if (way.at != LinkScript::kNever && count + size >= way.at) {
      size = static_cast<std::size_t>(way.at - count);
      event = true;
    }
    auto wait = way.delay;
    if (way.rate > 0) wait += std::chrono::milliseconds(size * 1000 / way.rate);
    const auto deliver = [self = shared_from_this(), up, bytes, from, size, event] {
      if (!*self->alive_) return;
      tcp::socket& to = up ? self->server_ : self->client_;
      (up ? self->up_ : self->down_) += size;
      (up ? self->proxy_.up_ : self->proxy_.down_) += size;
      asio::async_write(to, asio::buffer(bytes->data() + from, size),
                        [self, up, bytes, from, size, event](error_code error, std::size_t) {
                          if (!*self->alive_) return;
                          if (error) return self->reset();
                          if (event) return self->happen(up, bytes, from + size);
                          self->pump(up);
                        });
    };
    if (wait.count() == 0) return deliver();
    auto timer = std::make_shared<asio::steady_timer>(proxy_.io_, wait);
    timer->async_wait([timer, deliver](error_code error) {
      if (!error) deliver();
    });
  }

  void happen(bool up, const std::shared_ptr<std::vector<char>>& bytes, std::size_t from) {
    LinkScript::Way& way = up ? script_.up : script_.down;
    way.at = LinkScript::kNever;
    error_code ignored;
    switch (way.how) {
      case LinkScript::How::kReset:
        return reset();
      case LinkScript::How::kHalfClose:
        (up ? server_ : client_).shutdown(tcp::socket::shutdown_send, ignored);
        return;
      case LinkScript::How::kHole:
        hole_ = true;
        return pump(up);
      default: {
        auto timer = std::make_shared<asio::steady_timer>(proxy_.io_, way.stall);
        timer->async_wait([self = shared_from_this(), timer, up, bytes, from](error_code error) {
          if (error || !*self->alive_) return;
          if (from < bytes->size()) return self->passed(up, bytes, from);
          self->pump(up);
        });
      }
    }
  }

  Proxy& proxy_;
  std::shared_ptr<bool> alive_;
  tcp::socket client_, server_;
  LinkScript script_;
  std::uint64_t up_{0}, down_{0};
  bool hole_{false};
};

Proxy::Proxy(asio::io_context& io, tcp::endpoint to, Script script)
    : io_(io), acceptor_(io, {asio::ip::address_v4::loopback(), 0}), to_(to), script_(std::move(script)) {
  accept();
}

Proxy::~Proxy() {
  *alive_ = false;
  for (const auto& held : pairs_) {
    if (const auto pair = held.lock()) pair->reset();
  }
}

void Proxy::hole_after(std::uint64_t more) {
  for (const auto& held : pairs_) {
    if (const auto pair = held.lock()) pair->hole_after(more);
  }
}

void Proxy::accept() {
  acceptor_.async_accept([this, alive = alive_](error_code error, tcp::socket socket) {
    if (error || !*alive) return;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto pair = std::make_shared<Pair>(*this, std::move(socket), script_(count_++));
    std::erase_if(pairs_, [](const auto& held) { return held.expired(); });
    pairs_.push_back(pair);
    pair->run();
    accept();
  });
}

}  // namespace steprail::standin
