#include "standins/proxy.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <pcg_random.hpp>

namespace steprail::standin {

namespace asio = boost::asio;
using boost::system::error_code;

LinkScript random_link_script(std::uint64_t seed, int roughness) {
  pcg32 random(seed);
  LinkScript script;
  if (roughness == 0) return script;
  script.up.delay = script.down.delay =
      std::chrono::milliseconds(random(5 * static_cast<std::uint32_t>(roughness)));
  script.down.bytes_per_second = 2'000'000 >> (2 * roughness);
  const std::uint32_t typical_bytes = 200'000 >> (2 * roughness);
  LinkScript::Direction& direction = random(3) == 0 ? script.up : script.down;
  direction.fault_after_bytes = 200 + random(2 * typical_bytes);
  if (&direction == &script.up) direction.fault_after_bytes = 200 + random(2000);
  const std::uint32_t fault = random(4);
  direction.fault = fault == 0   ? LinkScript::Fault::kBlackHole
                    : fault == 1 ? LinkScript::Fault::kStall
                                 : LinkScript::Fault::kReset;
  direction.stall = std::chrono::milliseconds(50 + random(100));
  return script;
}

class Proxy::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Proxy& proxy, tcp::socket client, LinkScript script)
      : proxy_(proxy),
        alive_(proxy.alive_),
        client_(std::move(client)),
        server_(proxy.io_),
        script_(script) {}

  void run() {
    server_.async_connect(proxy_.target_, [self = shared_from_this()](error_code error) {
      if (error) return self->reset();
      self->server_.set_option(tcp::no_delay(true), error);
      self->pump(true);
      self->pump(false);
    });
  }
  void black_hole_after(std::uint64_t more_bytes) {
    script_.down = {bytes_down_ + more_bytes, LinkScript::Fault::kBlackHole, {}, {}, 0};
  }
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
                             if (self->black_hole_) return;
                             // Ends the other side in the same way: by an orderly close or by a reset.
                             error_code ignored;
                             if (error == asio::error::eof) {
                               to.shutdown(tcp::socket::shutdown_send, ignored);
                             } else {
                               self->reset();
                             }
                             return;
                           }
                           buffer->resize(count);
                           self->forward(up, buffer, 0);
                         });
  }

  void forward(bool up, const std::shared_ptr<std::vector<char>>& bytes, std::size_t from) {
    LinkScript::Direction& direction = up ? script_.up : script_.down;
    std::uint64_t& count = up ? bytes_up_ : bytes_down_;
    if (black_hole_) return pump(up);
    std::size_t size = bytes->size() - from;
    bool fault_due = false;
    if (direction.fault_after_bytes != LinkScript::kNever && count + size >= direction.fault_after_bytes) {
      size = static_cast<std::size_t>(direction.fault_after_bytes - count);
      fault_due = true;
    }
    auto wait = direction.delay;
    if (direction.bytes_per_second > 0)
      wait += std::chrono::milliseconds(size * 1000 / direction.bytes_per_second);
    const auto deliver = [self = shared_from_this(), up, bytes, from, size, fault_due] {
      if (!*self->alive_) return;
      tcp::socket& to = up ? self->server_ : self->client_;
      (up ? self->bytes_up_ : self->bytes_down_) += size;
      (up ? self->proxy_.bytes_up_ : self->proxy_.bytes_down_) += size;
      asio::async_write(to, asio::buffer(bytes->data() + from, size),
                        [self, up, bytes, from, size, fault_due](error_code error, std::size_t) {
                          if (!*self->alive_) return;
                          if (error) return self->reset();
                          if (fault_due) return self->inject_fault(up, bytes, from + size);
                          self->pump(up);
                        });
    };
    if (wait.count() == 0) return deliver();
    auto timer = std::make_shared<asio::steady_timer>(proxy_.io_, wait);
    timer->async_wait([timer, deliver](error_code error) {
      if (!error) deliver();
    });
  }

  void inject_fault(bool up, const std::shared_ptr<std::vector<char>>& bytes, std::size_t from) {
    LinkScript::Direction& direction = up ? script_.up : script_.down;
    direction.fault_after_bytes = LinkScript::kNever;
    error_code ignored;
    switch (direction.fault) {
      case LinkScript::Fault::kReset:
        return reset();
      case LinkScript::Fault::kHalfClose:
        (up ? server_ : client_).shutdown(tcp::socket::shutdown_send, ignored);
        return;
      case LinkScript::Fault::kBlackHole:
        black_hole_ = true;
        return pump(up);
      default: {
        auto timer = std::make_shared<asio::steady_timer>(proxy_.io_, direction.stall);
        timer->async_wait([self = shared_from_this(), timer, up, bytes, from](error_code error) {
          if (error || !*self->alive_) return;
          if (from < bytes->size()) return self->forward(up, bytes, from);
          self->pump(up);
        });
      }
    }
  }

  Proxy& proxy_;
  std::shared_ptr<bool> alive_;
  tcp::socket client_, server_;
  LinkScript script_;
  std::uint64_t bytes_up_{0}, bytes_down_{0};
  bool black_hole_{false};
};

Proxy::Proxy(asio::io_context& io, tcp::endpoint target, MakeScript make_script)
    : io_(io),
      acceptor_(io, {asio::ip::address_v4::loopback(), 0}),
      target_(target),
      make_script_(std::move(make_script)) {
  accept();
}

Proxy::~Proxy() {
  *alive_ = false;
  for (const auto& weak : connections_) {
    if (const auto connection = weak.lock()) connection->reset();
  }
}

void Proxy::black_hole_after(std::uint64_t more_bytes) {
  for (const auto& weak : connections_) {
    if (const auto connection = weak.lock()) connection->black_hole_after(more_bytes);
  }
}

void Proxy::accept() {
  acceptor_.async_accept([this, alive = alive_](error_code error, tcp::socket socket) {
    if (error || !*alive) return;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto connection =
        std::make_shared<Connection>(*this, std::move(socket), make_script_(connection_count_++));
    std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
    connections_.push_back(connection);
    connection->run();
    accept();
  });
}

}  // namespace steprail::standin
