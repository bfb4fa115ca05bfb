#include "edge/fronts.h"

#include <sodium.h>

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/websocket.hpp>
#include <deque>

#include "base/utf8.h"

namespace steprail::edge {

namespace beast = boost::beast;
namespace http = beast::http;
namespace websocket = beast::websocket;
using boost::system::error_code;

namespace {

constexpr std::uint32_t kMaxHeaderBytes = 8 << 10;
constexpr std::size_t kMaxBodyBytes = kMaxFrameBytes;
// For a whole header or body, so that slow senders cannot hold a connection.
constexpr std::chrono::seconds kRequestTimeout{5};
constexpr std::chrono::seconds kIdleTimeout{60};  // between requests of one connection
// Queued for one device; above it the logic sends that device no more rows for now.
constexpr std::size_t kQueueHighWaterBytes = 64 << 10;
constexpr std::size_t kMaxQueueBytes = 4 << 20;
constexpr Micros kPollLinkTimeout{60'000'000};  // a link without a poll for so long is dropped
constexpr std::size_t kMaxFramesPerPoll = 64, kMaxPollQueueFrames = 1024;
constexpr std::chrono::milliseconds kAcceptPause{50}, kSweepInterval{1000};
constexpr const char *kCborProtocol = "steprail.cbor", *kJsonProtocol = "steprail.json";

Micros now() {
  return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}

Frame error_frame(const char* code, const std::string& text, bool again) {
  Frame frame;
  frame.type = Frame::Type::kError;
  frame.code = code;
  // An error can always be sent, whatever its text was made of.
  frame.text = is_utf8(text) ? text : "the reason cannot be represented";
  frame.retry_safe = again;
  return frame;
}

}  // namespace

// ---- WebSocket ----

class Fronts::WebSocketConnection : public DeviceConnection,
                                    public std::enable_shared_from_this<WebSocketConnection> {
 public:
  WebSocketConnection(Fronts& fronts, beast::tcp_stream stream, Format format)
      : fronts_(fronts), alive_(fronts.alive_), stream_(std::move(stream)), format_(format) {
    ++fronts_.connections_;
  }
  ~WebSocketConnection() override {
    if (!*alive_) return;
    --fronts_.connections_;
    fronts_.accept();
  }

  void accept_upgrade(http::request<http::string_body> request) {
    beast::get_lowest_layer(stream_).expires_never();
    websocket::stream_base::timeout timeout{kRequestTimeout, websocket::stream_base::none(), false};
    stream_.set_option(timeout);
    websocket::permessage_deflate deflate;
    deflate.server_enable = true;
    deflate.compLevel = 3;
    deflate.memLevel = 4;
    // Every message is compressed on its own: a compression window kept for each connection would compress
    // better, but would take memory for 10,000 idle devices.
    deflate.server_no_context_takeover = deflate.client_no_context_takeover = true;
    deflate.server_max_window_bits = deflate.client_max_window_bits = 12;
    stream_.set_option(deflate);
    // Limits the decompressed size, which stops decompression bombs.
    stream_.read_message_max(kMaxFrameBytes);
    stream_.binary(format_ == Format::kCbor);
    stream_.set_option(
        websocket::stream_base::decorator([format = format_](websocket::response_type& response) {
          response.set(http::field::sec_websocket_protocol,
                       format == Format::kCbor ? kCborProtocol : kJsonProtocol);
        }));
    auto shared_request = std::make_shared<http::request<http::string_body>>(std::move(request));
    stream_.async_accept(*shared_request, [self = shared_from_this(), shared_request](error_code error) {
      if (error || !*self->alive_) return;
      self->conn_ = self->fronts_.edge_.on_opened(self);
      self->read();
    });
  }

  void send(const Frame& frame) override {
    if (closing_) return;
    std::string bytes;
    try {
      bytes = encode(frame, format_);
    } catch (const std::exception&) {
      return fail_later();  // text that cannot be represented in JSON
    }
    queued_bytes_ += bytes.size();
    queue_.push_back(std::move(bytes));
    if (queued_bytes_ > kMaxQueueBytes) return fail_later();
    if (queued_bytes_ > kQueueHighWaterBytes && !std::exchange(above_high_water_, true))
      post_task([](WebSocketConnection& connection) {
        connection.fronts_.edge_.set_writable(connection.conn_, false);
      });
    write();
  }
  void close() override {
    if (std::exchange(closing_, true)) return;
    write();
  }

 private:
  template <typename F>
  void post_task(F task) {
    boost::asio::post(fronts_.strand_, [self = shared_from_this(), task] {
      if (*self->alive_) task(*self);
    });
  }
  void read() {
    stream_.async_read(buffer_, [self = shared_from_this()](error_code error, std::size_t) {
      if (!*self->alive_) return;
      if (error) return self->on_lost();
      Frame frame;
      std::string reason;
      const auto data = self->buffer_.cdata();
      const bool decoded =
          decode({static_cast<const char*>(data.data()), data.size()}, self->format_, frame, reason);
      self->buffer_.consume(data.size());
      if (self->buffer_.capacity() > kMaxHeaderBytes) self->buffer_.shrink_to_fit();
      if (self->closing_) return self->read();  // frames received after close() are ignored
      if (!decoded) {
        self->send(error_frame("unreadable", reason, false));
        self->close();
        self->fronts_.edge_.on_closed(self->conn_);
        return;
      }
      self->fronts_.edge_.on_frame(self->conn_, frame);
      self->read();
    });
  }
  void write() {
    if (writing_) return;
    if (queue_.empty()) {
      if (closing_ && !std::exchange(closed_, true)) {
        writing_ = true;
        stream_.async_close(websocket::close_code::normal, [self = shared_from_this()](error_code) {
          if (*self->alive_) self->writing_ = false;
        });
      }
      return;
    }
    writing_ = true;
    ++fronts_.pending_writes_;
    stream_.async_write(boost::asio::buffer(queue_.front()),
                        [self = shared_from_this()](error_code error, std::size_t) {
                          if (!*self->alive_) return;
                          self->writing_ = false;
                          --self->fronts_.pending_writes_;
                          self->queued_bytes_ -= self->queue_.front().size();
                          self->queue_.pop_front();
                          if (error) return self->on_lost();
                          if (self->above_high_water_ && self->queued_bytes_ < kQueueHighWaterBytes / 2) {
                            self->above_high_water_ = false;
                            if (!self->closing_) self->fronts_.edge_.set_writable(self->conn_, true);
                          }
                          self->write();
                        });
  }
  void fail_later() {
    post_task([](WebSocketConnection& connection) { connection.on_lost(); });
  }
  void on_lost() {
    if (std::exchange(lost_, true)) return;
    closing_ = closed_ = true;
    beast::get_lowest_layer(stream_).close();
    fronts_.edge_.on_closed(conn_);
  }

  Fronts& fronts_;
  std::shared_ptr<bool> alive_;
  websocket::stream<beast::tcp_stream> stream_;
  Format format_;
  beast::flat_buffer buffer_;
  std::deque<std::string> queue_;
  std::size_t queued_bytes_{0};
  ConnId conn_{0};
  bool writing_{false}, closing_{false}, closed_{false}, lost_{false}, above_high_water_{false};
};

// ---- Long poll ----

// A device's connection over HTTP long poll: frames for the device are queued until its next poll.
class Fronts::PollConnection : public DeviceConnection, public std::enable_shared_from_this<PollConnection> {
 public:
  using Respond = std::function<void(std::vector<Frame>)>;
  PollConnection(Fronts& fronts, std::string name)
      : fronts_(fronts), alive_(fronts.alive_), name_(std::move(name)), wait_timer_(fronts.strand_) {
    fronts_.poll_links_.open(name_, now());
  }
  void set_conn(ConnId conn) { conn_ = conn; }
  ConnId conn() const { return conn_; }
  const std::string& name() const { return name_; }
  void record_activity() { fronts_.poll_links_.touch(name_, now()); }
  bool ended() const { return ended_; }

  void send(const Frame& frame) override {
    // Limits the queue for a device that sends but never polls. Dropped frames do no harm: messages are
    // sent again after its next poll, and acknowledgements are cumulative.
    if (queue_.size() >= kMaxPollQueueFrames) return;
    queue_.push_back(frame);
    schedule_response();
  }
  void close() override {
    ended_ = true;
    fronts_.poll_links_.mark_closed(name_);
    schedule_response();
  }
  // Calls `respond` with the queued frames as soon as there are any, or with none when the wait ends.
  // Returns the poll's number, for on_hang_up().
  std::uint64_t poll(Respond respond) {
    record_activity();
    // Only one poll waits at a time: the device has abandoned an earlier one, or it would not poll again.
    if (respond_) std::exchange(respond_, nullptr)({});
    respond_ = std::move(respond);
    fronts_.poll_links_.set_polling(name_, true);
    wait_timer_.expires_after(fronts_.limits_.poll_wait);
    wait_timer_.async_wait([self = shared_from_this(), serial = ++poll_serial_](error_code error) {
      if (!error && *self->alive_ && serial == self->poll_serial_ && self->respond_) self->send_response();
    });
    if (!queue_.empty() || ended_) schedule_response();
    return poll_serial_;
  }
  // The device has closed the connection of that poll: frames wait for its next one.
  void on_hang_up(std::uint64_t serial) {
    if (serial != poll_serial_ || !respond_) return;
    wait_timer_.cancel();
    respond_ = nullptr;
    fronts_.poll_links_.set_polling(name_, false);
  }
  // The response to an earlier poll may have been lost, so its messages are sent again; those still queued
  // would be duplicates.
  void drop_queued_messages() {
    std::erase_if(queue_, [](const Frame& frame) { return frame.type == Frame::Type::kMessage; });
  }
  std::vector<Frame> take_queue() { return std::exchange(queue_, {}); }

 private:
  // Responds at the end of the event loop iteration, so that frames queued together are sent together.
  void schedule_response() {
    if (!respond_ || std::exchange(response_scheduled_, true)) return;
    boost::asio::post(fronts_.strand_, [self = shared_from_this()] {
      self->response_scheduled_ = false;
      if (*self->alive_ && self->respond_) self->send_response();
    });
  }
  void send_response() {
    wait_timer_.cancel();
    const auto respond = std::exchange(respond_, nullptr);
    fronts_.poll_links_.set_polling(name_, false);
    std::vector<Frame> frames;
    const std::size_t count = std::min(queue_.size(), kMaxFramesPerPoll);
    frames.assign(queue_.begin(), queue_.begin() + static_cast<std::ptrdiff_t>(count));
    queue_.erase(queue_.begin(), queue_.begin() + static_cast<std::ptrdiff_t>(count));
    respond(std::move(frames));
    if (ended_ && queue_.empty()) fronts_.drop_poll(name_);
  }

  Fronts& fronts_;
  std::shared_ptr<bool> alive_;
  std::string name_;
  boost::asio::steady_timer wait_timer_;
  ConnId conn_{0};
  std::vector<Frame> queue_;
  Respond respond_;
  std::uint64_t poll_serial_{0};
  bool response_scheduled_{false}, ended_{false};
};

// ---- HTTP ----

class Fronts::HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(Fronts& fronts, tcp::socket socket)
      : fronts_(fronts), alive_(fronts.alive_), stream_(std::move(socket)) {
    ++fronts_.connections_;
  }
  ~HttpConnection() {
    if (*alive_) {
      --fronts_.connections_;
      fronts_.accept();
    }
  }

  void read(bool first = true) {
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(kMaxBodyBytes);
    // The timeout covers the whole header, and then the whole body, however slowly their bytes arrive.
    stream_.expires_after(first ? kRequestTimeout : kIdleTimeout);
    http::async_read_header(
        stream_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t) {
          if (!*self->alive_) return;
          if (error) return self->on_read_error(error);
          self->stream_.expires_after(kRequestTimeout);
          http::async_read(self->stream_, self->buffer_, *self->parser_, [self](error_code e, std::size_t) {
            if (!*self->alive_) return;
            if (e) return self->on_read_error(e);
            self->handle_request();
          });
        });
  }

 private:
  void on_read_error(error_code error) {
    if (error == http::error::header_limit)
      return respond_with_error(http::status::request_header_fields_too_large, "headers",
                                "headers are too long", false, true);
    if (error == http::error::body_limit)
      return respond_with_error(http::status::payload_too_large, "body", "the body is too long", false, true);
    // The request was cut off, timed out or is not HTTP: there is nobody to respond to.
    error_code ignored;
    stream_.socket().close(ignored);
  }

  void handle_request() {
    auto request = parser_->release();
    http_version_ = request.version();
    keep_alive_ = request.keep_alive();
    const std::string target(request.target());
    if (websocket::is_upgrade(request)) {
      if (target != "/edge/ws")
        return respond_with_error(http::status::not_found, "path", "devices connect at /edge/ws", false);
      const std::string subprotocols(request[http::field::sec_websocket_protocol]);
      const bool cbor = subprotocols.find(kCborProtocol) != std::string::npos;
      if (!cbor && subprotocols.find(kJsonProtocol) == std::string::npos)
        return respond_with_error(http::status::bad_request, "subprotocol", "steprail.cbor or steprail.json",
                                  false);
      std::make_shared<WebSocketConnection>(fronts_, std::move(stream_), cbor ? Format::kCbor : Format::kJson)
          ->accept_upgrade(std::move(request));
      return;
    }
    if (request.method() != http::verb::post)
      return respond_with_error(http::status::method_not_allowed, "method", "POST alone", false);
    const std::string type(request[http::field::content_type]);
    format_ = type.find("cbor") != std::string::npos ? Format::kCbor : Format::kJson;
    Envelope envelope;
    std::string reason;
    if (!decode(request.body(), format_, envelope, reason))
      return respond_with_error(http::status::bad_request, "unreadable", reason, false);
    if (target == "/edge/open") return open_poll_link(envelope);
    const auto poll = fronts_.find_poll(envelope.link);
    if (!poll) return respond_with_error(http::status::gone, "link", "there is no such link; open one", true);
    if (target != "/edge/poll" && target != "/edge/send")
      return respond_with_error(http::status::not_found, "path", "/edge/open, /edge/poll or /edge/send",
                                false);
    poll->record_activity();
    for (const Frame& frame : envelope.frames) fronts_.edge_.on_frame(poll->conn(), frame);
    if (target == "/edge/send") {
      // The response confirms receipt only; frames for the device wait for its poll.
      return respond_with_frames(poll->name(), {});
    }
    poll->drop_queued_messages();
    if (!poll->ended()) fronts_.edge_.on_poll(poll->conn(), envelope.have);
    wait_for_poll(poll);
  }

  void open_poll_link(const Envelope& envelope) {
    if (envelope.frames.size() != 1)
      return respond_with_error(http::status::bad_request, "hello-first", "one hello opens a link", false);
    // A link outlives the connection that opened it, so links have a limit of their own.
    const PollLinks::EvictionPlan room = fronts_.poll_links_.plan_eviction(fronts_.limits_.max_connections);
    if (!room.has_room)
      return respond_with_error(http::status::service_unavailable, "links", "no room for another link now",
                                true);
    for (const std::string& link : room.evicted) fronts_.drop_poll(link);
    unsigned char bytes[16];
    randombytes_buf(bytes, sizeof bytes);
    char name[33];
    sodium_bin2hex(name, sizeof name, bytes, sizeof bytes);
    const auto poll = std::make_shared<PollConnection>(fronts_, name);
    fronts_.polls_[name] = poll;
    poll->set_conn(fronts_.edge_.on_opened(poll));
    fronts_.edge_.on_frame(poll->conn(), envelope.frames.front());
    wait_for_poll(poll);
  }

  void wait_for_poll(const std::shared_ptr<PollConnection>& poll) {
    stream_.expires_never();
    const auto self = shared_from_this();
    poll_waiting_ = true;
    const std::uint64_t serial = poll->poll([self, name = poll->name()](std::vector<Frame> frames) {
      self->poll_waiting_ = false;
      if (*self->alive_) self->respond_with_frames(name, std::move(frames));
    });
    // Nothing is read while a poll waits, so without this a device that closes its connection would keep it
    // occupied until the wait ends.
    stream_.socket().async_wait(tcp::socket::wait_read, [self, poll, serial](error_code error) {
      if (error || !*self->alive_ || !self->poll_waiting_) return;
      char byte = 0;
      error_code ended;
      self->stream_.socket().receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, ended);
      if (!ended || ended == boost::asio::error::would_block) return;  // the next request has arrived already
      poll->on_hang_up(serial);
      self->stream_.socket().close(ended);
    });
  }

  void respond_with_frames(const std::string& link, std::vector<Frame> frames) {
    std::string body;
    try {
      body = encode(Envelope{link, 0, std::move(frames)}, format_);
    } catch (const std::exception& fault) {
      return respond_with_error(http::status::internal_server_error, "unwritable", fault.what(), true);
    }
    respond(http::status::ok, std::move(body), false);
  }
  void respond_with_error(http::status status, const char* code, const std::string& text, bool again,
                          bool close = false) {
    respond(status, encode(error_frame(code, text, again), format_), close);
  }
  void respond(http::status status, std::string body, bool close) {
    auto response = std::make_shared<http::response<http::string_body>>(status, http_version_);
    response->set(http::field::content_type,
                  format_ == Format::kCbor ? "application/cbor" : "application/json");
    response->set(http::field::cache_control, "no-store");
    response->keep_alive(keep_alive_ && !close);
    response->body() = std::move(body);
    response->prepare_payload();
    stream_.expires_after(kRequestTimeout);
    ++fronts_.pending_writes_;
    http::async_write(stream_, *response,
                      [self = shared_from_this(), response](error_code error, std::size_t) {
                        if (!*self->alive_) return;
                        --self->fronts_.pending_writes_;
                        if (error || response->need_eof()) {
                          error_code ignored;
                          self->stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
                          return;
                        }
                        self->read(false);
                      });
  }

  Fronts& fronts_;
  std::shared_ptr<bool> alive_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  Format format_{Format::kJson};
  unsigned http_version_{11};
  bool keep_alive_{true}, poll_waiting_{false};
};

// ---- Listener ----

Fronts::Fronts(Strand strand, EventLog& log, Edge& edge, Limits limits)
    : strand_(strand),
      log_(log),
      edge_(edge),
      limits_(limits),
      acceptor_(strand),
      accept_retry_timer_(strand),
      sweep_timer_(strand) {}

Fronts::~Fronts() { *alive_ = false; }

tcp::endpoint Fronts::listen(const tcp::endpoint& at) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen();
  accept();
  drop_silent_polls();
  return acceptor_.local_endpoint();
}

void Fronts::accept() {
  if (accepting_ || !acceptor_.is_open() || connections_ >= limits_.max_connections) return;
  accepting_ = true;
  acceptor_.async_accept(strand_, [this, alive = alive_](error_code error, tcp::socket socket) {
    if (!*alive) return;
    accepting_ = false;
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {
      log_.event(LogLevel::kWarn, "edge-accept-failed", {{"cause", error.message()}});
      accept_retry_timer_.expires_after(kAcceptPause);
      accept_retry_timer_.async_wait([this, alive](error_code e) {
        if (!e && *alive) accept();
      });
      return;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::make_shared<HttpConnection>(*this, std::move(socket))->read();
    accept();
  });
}

std::shared_ptr<Fronts::PollConnection> Fronts::find_poll(const std::string& link) const {
  const auto at = polls_.find(link);
  return at == polls_.end() ? nullptr : at->second;
}

void Fronts::drop_poll(const std::string& link) {
  const auto at = polls_.find(link);
  if (at == polls_.end()) return;
  const auto poll = at->second;
  polls_.erase(at);
  poll_links_.erase(link);
  edge_.on_closed(poll->conn());
}

void Fronts::drop_silent_polls() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this, alive = alive_](error_code error) {
    if (error || !*alive) return;
    for (const std::string& link :
         poll_links_.silent_longer_than(now(), std::max(kPollLinkTimeout, 2 * limits_.poll_wait)))
      drop_poll(link);
    accept();
    drop_silent_polls();
  });
}

bool Fronts::all_written() const { return pending_writes_ == 0; }

}  // namespace steprail::edge
