#include "standins/edge_client.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/websocket.hpp>
#include <deque>

namespace steprail::standin {

namespace beast = boost::beast;
namespace http = beast::http;
namespace websocket = beast::websocket;
using boost::system::error_code;
using namespace edge;

class EdgeClient::Socket : public Way, public std::enable_shared_from_this<Socket> {
 public:
  Socket(EdgeClient& client, Format format)
      : client_(client), alive_(client.alive_), stream_(client.io_), format_(format) {}

  void run() {
    beast::get_lowest_layer(stream_).async_connect(
        client_.to_, [self = shared_from_this()](error_code error) {
          if (error) return self->lost();
          websocket::permessage_deflate deflate;
          deflate.client_enable = true;
          self->stream_.set_option(deflate);
          self->stream_.binary(self->format_ == Format::kCbor);
          self->stream_.set_option(
              websocket::stream_base::decorator([format = self->format_](websocket::request_type& request) {
                request.set(http::field::sec_websocket_protocol,
                            format == Format::kCbor ? "steprail.cbor" : "steprail.json");
              }));
          self->stream_.async_handshake("edge", "/edge/ws", [self](error_code e) {
            if (e) return self->lost();
            self->up_ = true;
            self->write();
            self->read();
          });
        });
  }
  void say(const std::vector<Frame>& frames) override {
    for (const Frame& frame : frames) queue_.push_back(encode(frame, format_));
    write();
  }
  void end() override {
    error_code ignored;
    beast::get_lowest_layer(stream_).socket().set_option(boost::asio::socket_base::linger(true, 0), ignored);
    beast::get_lowest_layer(stream_).close();
  }

 private:
  void read() {
    stream_.async_read(buffer_, [self = shared_from_this()](error_code error, std::size_t) {
      if (error) return self->lost();
      Frame frame;
      std::string why;
      const auto data = self->buffer_.cdata();
      if (!decode({static_cast<const char*>(data.data()), data.size()}, self->format_, frame, why))
        return self->lost();
      self->buffer_.consume(data.size());
      if (*self->alive_) self->client_.heard(self.get(), frame);
      self->read();
    });
  }
  void write() {
    if (!up_ || writing_ || queue_.empty()) return;
    writing_ = true;
    stream_.async_write(boost::asio::buffer(queue_.front()),
                        [self = shared_from_this()](error_code error, std::size_t) {
                          self->writing_ = false;
                          self->queue_.pop_front();
                          if (error) return self->lost();
                          self->write();
                        });
  }
  void lost() {
    if (*alive_) client_.lost(this);
  }

  EdgeClient& client_;
  std::shared_ptr<bool> alive_;
  websocket::stream<beast::tcp_stream> stream_;
  Format format_;
  beast::flat_buffer buffer_;
  std::deque<std::string> queue_;
  bool up_{false}, writing_{false};
};

// One connection polls; what is to be said goes with the next poll, or by a send of its own meanwhile.
class EdgeClient::Polling : public Way, public std::enable_shared_from_this<Polling> {
 public:
  explicit Polling(EdgeClient& client)
      : client_(client), alive_(client.alive_), stream_(client.io_), side_(client.io_) {}

  void run() {
    stream_.async_connect(client_.to_, [self = shared_from_this()](error_code error) {
      if (error) return self->lost();
      self->up_ = true;
      self->poll();
    });
  }
  void say(const std::vector<Frame>& frames) override {
    waiting_.insert(waiting_.end(), frames.begin(), frames.end());
    if (!link_.empty()) send();
  }
  void end() override {
    stream_.close();
    side_.close();
  }

 private:
  using Response = http::response_parser<http::string_body>;
  static std::shared_ptr<http::request<http::string_body>> post(const std::string& path,
                                                                const Envelope& envelope) {
    auto request = std::make_shared<http::request<http::string_body>>(http::verb::post, path, 11);
    request->set(http::field::host, "edge");
    request->set(http::field::content_type, "application/json");
    request->body() = encode(envelope, Format::kJson);
    request->prepare_payload();
    return request;
  }
  void poll() {
    if (!up_ || !*alive_) return;
    Envelope envelope{link_, client_.device_.next_expected(), std::exchange(waiting_, {})};
    const auto request = post(link_.empty() ? "/edge/open" : "/edge/poll", envelope);
    http::async_write(stream_, *request, [self = shared_from_this(), request](error_code error, std::size_t) {
      if (error) return self->lost();
      self->response_.emplace();
      http::async_read(self->stream_, self->buffer_, *self->response_, [self](error_code e, std::size_t) {
        if (e || !*self->alive_) return self->lost();
        if (!self->take(self->response_->get())) return self->lost();
        if (!self->gone_) self->poll();
      });
    });
  }
  bool take(const http::response<http::string_body>& response) {
    Envelope envelope;
    std::string why;
    if (response.result() != http::status::ok || !decode(response.body(), Format::kJson, envelope, why))
      return false;
    if (link_.empty()) link_ = envelope.link;
    for (const Frame& frame : envelope.frames) {
      if (gone_) break;
      client_.heard(this, frame);
    }
    return true;
  }
  // By a connection of its own, as the other one waits for its poll.
  void send() {
    if (sending_ || waiting_.empty() || gone_) return;
    sending_ = true;
    if (side_.socket().is_open()) return write_side();
    side_.async_connect(client_.to_, [self = shared_from_this()](error_code error) {
      if (error) return self->lost();
      self->write_side();
    });
  }
  void write_side() {
    const auto request = post("/edge/send", {link_, 0, std::exchange(waiting_, {})});
    http::async_write(side_, *request, [self = shared_from_this(), request](error_code error, std::size_t) {
      if (error) return self->lost();
      self->side_response_.emplace();
      http::async_read(self->side_, self->side_buffer_, *self->side_response_,
                       [self](error_code e, std::size_t) {
                         self->sending_ = false;
                         if (e || !*self->alive_ || self->side_response_->get().result() != http::status::ok)
                           return self->lost();
                         self->send();
                       });
    });
  }
  void lost() {
    if (std::exchange(gone_, true) || !*alive_) return;
    client_.lost(this);
  }

  EdgeClient& client_;
  std::shared_ptr<bool> alive_;
  beast::tcp_stream stream_, side_;
  beast::flat_buffer buffer_, side_buffer_;
  std::optional<Response> response_, side_response_;
  std::vector<Frame> waiting_;
  std::string link_;
  bool up_{false}, sending_{false}, gone_{false};
};

EdgeClient::EdgeClient(boost::asio::io_context& io, Device& device, tcp::endpoint to, By by)
    : io_(io), device_(device), to_(to), by_(by), again_(io), silence_(io) {}

EdgeClient::~EdgeClient() {
  *alive_ = false;
  if (way_) way_->end();
}

std::chrono::microseconds EdgeClient::now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now().time_since_epoch());
}

void EdgeClient::connect() {
  stopped_ = false;
  ++connects_;
  device_.long_polling = by_ == By::kPoll;
  const Frame hello = device_.hello(now());
  if (by_ == By::kPoll) {
    const auto polling = std::make_shared<Polling>(*this);
    way_ = polling;
    polling->say({hello});
    polling->run();
  } else {
    const auto socket =
        std::make_shared<Socket>(*this, by_ == By::kWebSocketCbor ? Format::kCbor : Format::kJson);
    way_ = socket;
    socket->say({hello});
    socket->run();
  }
  watch();
}

std::uint64_t EdgeClient::ask(const std::string& verb, const std::string& statement, std::int64_t limit_ms) {
  const std::uint64_t key = device_.submit(verb, statement, limit_ms, now());
  push();
  return key;
}

void EdgeClient::push() {
  std::vector<Frame> frames;
  device_.transmit(frames);
  if (way_ && !frames.empty()) way_->say(frames);
}

void EdgeClient::heard(const Way* from, const Frame& frame) {
  if (from != way_.get()) return;
  std::vector<Frame> frames;
  const auto then = device_.on_frame(frame, frames);
  watch();
  if (!frames.empty()) way_->say(frames);
  if (then != Device::NextStep::kContinue) lost(from);
}

void EdgeClient::lost(const Way* from) {
  if (!way_ || from != way_.get()) return;
  // Not at once: its own handler may be what brings us here.
  boost::asio::post(io_, [way = std::exchange(way_, nullptr)] { way->end(); });
  silence_.cancel();
  if (stopped_) return;
  auto wait = std::chrono::milliseconds(10);
  if (device_.retry_after_ms > 0) wait = std::chrono::milliseconds(std::exchange(device_.retry_after_ms, 0));
  again_.expires_after(wait);
  again_.async_wait([this, alive = alive_](error_code error) {
    if (!error && *alive && !stopped_ && !way_) connect();
  });
}

void EdgeClient::drop() {
  if (way_) lost(way_.get());
}

void EdgeClient::stop() {
  stopped_ = true;
  drop();
}

void EdgeClient::watch() {
  const auto beats = std::chrono::milliseconds(std::max<std::int64_t>(3000, 3 * device_.heartbeat_ms));
  silence_.expires_after(patience_.count() > 0 ? patience_ : beats);
  silence_.async_wait([this, alive = alive_](error_code error) {
    if (!error && *alive) drop();
  });
}

}  // namespace steprail::standin
