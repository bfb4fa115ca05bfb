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

class EdgeClient::WebSocketConnection : public Connection,
                                        public std::enable_shared_from_this<WebSocketConnection> {
 public:
  WebSocketConnection(EdgeClient& client, Format format)
      : client_(client), alive_(client.alive_), stream_(client.io_), format_(format) {}

  void run() {
    beast::get_lowest_layer(stream_).async_connect(
        client_.target_, [self = shared_from_this()](error_code error) {
          if (error) return self->on_lost();
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
            if (e) return self->on_lost();
            self->connected_ = true;
            self->write();
            self->read();
          });
        });
  }
  void send_frames(const std::vector<Frame>& frames) override {
    for (const Frame& frame : frames) queue_.push_back(encode(frame, format_));
    write();
  }
  void close() override {
    error_code ignored;
    beast::get_lowest_layer(stream_).socket().set_option(boost::asio::socket_base::linger(true, 0), ignored);
    beast::get_lowest_layer(stream_).close();
  }

 private:
  void read() {
    stream_.async_read(buffer_, [self = shared_from_this()](error_code error, std::size_t) {
      if (error) return self->on_lost();
      Frame frame;
      std::string reason;
      const auto data = self->buffer_.cdata();
      if (!decode({static_cast<const char*>(data.data()), data.size()}, self->format_, frame, reason))
        return self->on_lost();
      self->buffer_.consume(data.size());
      if (*self->alive_) self->client_.on_frame(self.get(), frame);
      self->read();
    });
  }
  void write() {
    if (!connected_ || writing_ || queue_.empty()) return;
    writing_ = true;
    stream_.async_write(boost::asio::buffer(queue_.front()),
                        [self = shared_from_this()](error_code error, std::size_t) {
                          self->writing_ = false;
                          self->queue_.pop_front();
                          if (error) return self->on_lost();
                          self->write();
                        });
  }
  void on_lost() {
    if (*alive_) client_.on_lost(this);
  }

  EdgeClient& client_;
  std::shared_ptr<bool> alive_;
  websocket::stream<beast::tcp_stream> stream_;
  Format format_;
  beast::flat_buffer buffer_;
  std::deque<std::string> queue_;
  bool connected_{false}, writing_{false};
};

// One connection polls and carries frames with each poll; a second one sends frames while the poll waits.
class EdgeClient::PollConnection : public Connection, public std::enable_shared_from_this<PollConnection> {
 public:
  explicit PollConnection(EdgeClient& client)
      : client_(client), alive_(client.alive_), stream_(client.io_), send_stream_(client.io_) {}

  void run() {
    stream_.async_connect(client_.target_, [self = shared_from_this()](error_code error) {
      if (error) return self->on_lost();
      self->connected_ = true;
      self->poll();
    });
  }
  void send_frames(const std::vector<Frame>& frames) override {
    queue_.insert(queue_.end(), frames.begin(), frames.end());
    if (!link_.empty()) send_queued();
  }
  void close() override {
    stream_.close();
    send_stream_.close();
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
    if (!connected_ || !*alive_) return;
    Envelope envelope{link_, client_.device_.next_expected(), std::exchange(queue_, {})};
    const auto request = post(link_.empty() ? "/edge/open" : "/edge/poll", envelope);
    http::async_write(stream_, *request, [self = shared_from_this(), request](error_code error, std::size_t) {
      if (error) return self->on_lost();
      self->response_.emplace();
      http::async_read(self->stream_, self->buffer_, *self->response_, [self](error_code e, std::size_t) {
        if (e || !*self->alive_) return self->on_lost();
        if (!self->handle_response(self->response_->get())) return self->on_lost();
        if (!self->lost_) self->poll();
      });
    });
  }
  bool handle_response(const http::response<http::string_body>& response) {
    Envelope envelope;
    std::string reason;
    if (response.result() != http::status::ok || !decode(response.body(), Format::kJson, envelope, reason))
      return false;
    if (link_.empty()) link_ = envelope.link;
    for (const Frame& frame : envelope.frames) {
      if (lost_) break;
      client_.on_frame(this, frame);
    }
    return true;
  }
  // Uses the second connection, as the first one waits for its poll.
  void send_queued() {
    if (sending_ || queue_.empty() || lost_) return;
    sending_ = true;
    if (send_stream_.socket().is_open()) return write_queued();
    send_stream_.async_connect(client_.target_, [self = shared_from_this()](error_code error) {
      if (error) return self->on_lost();
      self->write_queued();
    });
  }
  void write_queued() {
    const auto request = post("/edge/send", {link_, 0, std::exchange(queue_, {})});
    http::async_write(
        send_stream_, *request, [self = shared_from_this(), request](error_code error, std::size_t) {
          if (error) return self->on_lost();
          self->send_response_.emplace();
          http::async_read(
              self->send_stream_, self->send_buffer_, *self->send_response_,
              [self](error_code e, std::size_t) {
                self->sending_ = false;
                if (e || !*self->alive_ || self->send_response_->get().result() != http::status::ok)
                  return self->on_lost();
                self->send_queued();
              });
        });
  }
  void on_lost() {
    if (std::exchange(lost_, true) || !*alive_) return;
    client_.on_lost(this);
  }

  EdgeClient& client_;
  std::shared_ptr<bool> alive_;
  beast::tcp_stream stream_, send_stream_;
  beast::flat_buffer buffer_, send_buffer_;
  std::optional<Response> response_, send_response_;
  std::vector<Frame> queue_;
  std::string link_;
  bool connected_{false}, sending_{false}, lost_{false};
};

EdgeClient::EdgeClient(boost::asio::io_context& io, Device& device, tcp::endpoint target, Transport transport)
    : io_(io),
      device_(device),
      target_(target),
      transport_(transport),
      reconnect_timer_(io),
      silence_timer_(io) {}

EdgeClient::~EdgeClient() {
  *alive_ = false;
  if (connection_) connection_->close();
}

std::chrono::microseconds EdgeClient::now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now().time_since_epoch());
}

void EdgeClient::connect() {
  stopped_ = false;
  ++connect_count_;
  device_.long_polling = transport_ == Transport::kPoll;
  const Frame hello = device_.hello(now());
  if (transport_ == Transport::kPoll) {
    const auto polling = std::make_shared<PollConnection>(*this);
    connection_ = polling;
    polling->send_frames({hello});
    polling->run();
  } else {
    const auto socket = std::make_shared<WebSocketConnection>(
        *this, transport_ == Transport::kWebSocketCbor ? Format::kCbor : Format::kJson);
    connection_ = socket;
    socket->send_frames({hello});
    socket->run();
  }
  restart_silence_timer();
}

std::uint64_t EdgeClient::send_request(const std::string& verb, const std::string& statement,
                                       std::int64_t limit_ms) {
  const std::uint64_t key = device_.submit(verb, statement, limit_ms, now());
  send_pending();
  return key;
}

void EdgeClient::send_pending() {
  std::vector<Frame> frames;
  device_.transmit(frames);
  if (connection_ && !frames.empty()) connection_->send_frames(frames);
}

void EdgeClient::on_frame(const Connection* from, const Frame& frame) {
  if (from != connection_.get()) return;
  std::vector<Frame> frames;
  const auto next = device_.on_frame(frame, frames);
  restart_silence_timer();
  if (!frames.empty()) connection_->send_frames(frames);
  if (next != Device::NextStep::kContinue) on_lost(from);
}

void EdgeClient::on_lost(const Connection* from) {
  if (!connection_ || from != connection_.get()) return;
  // Posted, as this may be called from the connection's own handler.
  boost::asio::post(io_, [connection = std::exchange(connection_, nullptr)] { connection->close(); });
  silence_timer_.cancel();
  if (stopped_) return;
  auto wait = std::chrono::milliseconds(10);
  if (device_.retry_after_ms > 0) wait = std::chrono::milliseconds(std::exchange(device_.retry_after_ms, 0));
  reconnect_timer_.expires_after(wait);
  reconnect_timer_.async_wait([this, alive = alive_](error_code error) {
    if (!error && *alive && !stopped_ && !connection_) connect();
  });
}

void EdgeClient::drop_connection() {
  if (connection_) on_lost(connection_.get());
}

void EdgeClient::stop() {
  stopped_ = true;
  drop_connection();
}

void EdgeClient::restart_silence_timer() {
  const auto default_timeout =
      std::chrono::milliseconds(std::max<std::int64_t>(3000, 3 * device_.heartbeat_ms));
  silence_timer_.expires_after(silence_timeout_.count() > 0 ? silence_timeout_ : default_timeout);
  silence_timer_.async_wait([this, alive = alive_](error_code error) {
    if (!error && *alive) drop_connection();
  });
}

}  // namespace steprail::standin
