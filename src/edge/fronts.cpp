#include "edge/fronts.h"

#include <sodium.h>

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/websocket.hpp>
#include <deque>

namespace steprail::edge {

namespace beast = boost::beast;
namespace http = beast::http;
namespace websocket = beast::websocket;
using boost::system::error_code;

namespace {

constexpr std::uint32_t kHeaderMost = 8 << 10;
constexpr std::size_t kBodyMost = kFrameMost;
constexpr std::chrono::seconds kRequestWait{5};  // for a whole request, however slowly it drips
constexpr std::chrono::seconds kIdleWait{60};    // between requests of one connection
constexpr std::size_t kQueueHigh = 64 << 10;     // bytes to one device, from which on it gets no more for now
constexpr std::size_t kQueueMost = 4 << 20;
constexpr Micros kPollGone{60'000'000};  // without a poll the link is given up
constexpr std::size_t kPollFrames = 64, kPollQueueMost = 1024;
constexpr std::chrono::milliseconds kAcceptPause{50}, kSweep{1000};
constexpr const char *kCborProtocol = "steprail.cbor", *kJsonProtocol = "steprail.json";

Micros now() {
  return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}

Frame error_frame(const char* code, const std::string& text, bool again) {
  Frame frame;
  frame.type = Frame::Type::kError;
  frame.code = code;
  frame.text = text;
  frame.again = again;
  return frame;
}

}  // namespace

// ---- WebSocket ----

class Fronts::WebSocket : public Link, public std::enable_shared_from_this<WebSocket> {
 public:
  WebSocket(Fronts& fronts, beast::tcp_stream stream, Format format)
      : fronts_(fronts), alive_(fronts.alive_), stream_(std::move(stream)), format_(format) {
    ++fronts_.connections_;
  }
  ~WebSocket() override {
    if (!*alive_) return;
    --fronts_.connections_;
    fronts_.accept();
  }

  void run(http::request<http::string_body> request) {
    beast::get_lowest_layer(stream_).expires_never();
    websocket::stream_base::timeout timeout{kRequestWait, websocket::stream_base::none(), false};
    stream_.set_option(timeout);
    websocket::permessage_deflate deflate;
    deflate.server_enable = true;
    deflate.compLevel = 3;
    deflate.memLevel = 4;
    // A window of its own for every message: memory for 10,000 idle devices would be the price of a better
    // one.
    deflate.server_no_context_takeover = deflate.client_no_context_takeover = true;
    deflate.server_max_window_bits = deflate.client_max_window_bits = 12;
    stream_.set_option(deflate);
    // Counted once it is decompressed: a bomb ends here.
    stream_.read_message_max(kFrameMost);
    stream_.binary(format_ == Format::kCbor);
    stream_.set_option(
        websocket::stream_base::decorator([format = format_](websocket::response_type& response) {
          response.set(http::field::sec_websocket_protocol,
                       format == Format::kCbor ? kCborProtocol : kJsonProtocol);
        }));
    auto held = std::make_shared<http::request<http::string_body>>(std::move(request));
    stream_.async_accept(*held, [self = shared_from_this(), held](error_code error) {
      if (error || !*self->alive_) return;
      self->conn_ = self->fronts_.edge_.opened(self);
      self->read();
    });
  }

  void send(const Frame& frame) override {
    if (closing_) return;
    std::string bytes;
    try {
      bytes = encode(frame, format_);
    } catch (const std::exception&) {
      return fail();  // text that JSON cannot hold
    }
    queued_ += bytes.size();
    queue_.push_back(std::move(bytes));
    if (queued_ > kQueueMost) return fail();
    if (queued_ > kQueueHigh && !std::exchange(full_, true))
      later([](WebSocket& s) { s.fronts_.edge_.room(s.conn_, false); });
    write();
  }
  void close() override {
    if (std::exchange(closing_, true)) return;
    write();
  }

 private:
  template <typename F>
  void later(F what) {
    boost::asio::post(fronts_.strand_, [self = shared_from_this(), what] {
      if (*self->alive_) what(*self);
    });
  }
  void read() {
    stream_.async_read(buffer_, [self = shared_from_this()](error_code error, std::size_t) {
      if (!*self->alive_) return;
      if (error) return self->gone();
      Frame frame;
      std::string why;
      const auto data = self->buffer_.cdata();
      const bool good =
          decode({static_cast<const char*>(data.data()), data.size()}, self->format_, frame, why);
      self->buffer_.consume(data.size());
      if (self->buffer_.capacity() > kHeaderMost) self->buffer_.shrink_to_fit();
      if (self->closing_) return self->read();  // what comes after the close is nobody's
      if (!good) {
        self->send(error_frame("unreadable", why, false));
        self->close();
        self->fronts_.edge_.closed(self->conn_);
        return;
      }
      self->fronts_.edge_.heard(self->conn_, frame);
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
    ++fronts_.writing_;
    stream_.async_write(boost::asio::buffer(queue_.front()),
                        [self = shared_from_this()](error_code error, std::size_t) {
                          if (!*self->alive_) return;
                          self->writing_ = false;
                          --self->fronts_.writing_;
                          self->queued_ -= self->queue_.front().size();
                          self->queue_.pop_front();
                          if (error) return self->gone();
                          if (self->full_ && self->queued_ < kQueueHigh / 2) {
                            self->full_ = false;
                            if (!self->closing_) self->fronts_.edge_.room(self->conn_, true);
                          }
                          self->write();
                        });
  }
  void fail() {
    later([](WebSocket& s) { s.gone(); });
  }
  void gone() {
    if (std::exchange(gone_, true)) return;
    closing_ = closed_ = true;
    beast::get_lowest_layer(stream_).close();
    fronts_.edge_.closed(conn_);
  }

  Fronts& fronts_;
  std::shared_ptr<bool> alive_;
  websocket::stream<beast::tcp_stream> stream_;
  Format format_;
  beast::flat_buffer buffer_;
  std::deque<std::string> queue_;
  std::size_t queued_{0};
  ConnId conn_{0};
  bool writing_{false}, closing_{false}, closed_{false}, gone_{false}, full_{false};
};

// ---- Long poll ----

// A link made of requests: what is to be told waits for the next poll.
class Fronts::Poll : public Link, public std::enable_shared_from_this<Poll> {
 public:
  using Respond = std::function<void(std::vector<Frame>)>;
  Poll(Fronts& fronts, std::string name)
      : fronts_(fronts), alive_(fronts.alive_), name_(std::move(name)), wait_(fronts.strand_) {
    fronts_.links_.open(name_, now());
  }
  void opened(ConnId conn) { conn_ = conn; }
  ConnId conn() const { return conn_; }
  const std::string& name() const { return name_; }
  void touch() { fronts_.links_.heard(name_, now()); }
  bool ended() const { return ended_; }

  void send(const Frame& frame) override {
    // A device that sends and never polls gets no more than so much laid by; what it lacks is sent after its
    // next poll, and acknowledgements are cumulative.
    if (queue_.size() >= kPollQueueMost) return;
    queue_.push_back(frame);
    soon();
  }
  void close() override {
    ended_ = true;
    fronts_.links_.end(name_);
    soon();
  }
  // Answers with what there is, as soon as there is something, or with nothing when the wait is over.
  // Returns the poll's number, for left().
  std::uint64_t poll(Respond respond) {
    touch();
    // One poll at a time: an earlier one was left by its device, or it would not ask again.
    if (respond_) std::exchange(respond_, nullptr)({});
    respond_ = std::move(respond);
    fronts_.links_.waits(name_, true);
    wait_.expires_after(fronts_.limits_.poll_wait);
    wait_.async_wait([self = shared_from_this(), serial = ++serial_](error_code error) {
      if (!error && *self->alive_ && serial == self->serial_ && self->respond_) self->tell();
    });
    if (!queue_.empty() || ended_) soon();
    return serial_;
  }
  // The device has hung up on that poll: what is told next waits for another.
  void left(std::uint64_t serial) {
    if (serial != serial_ || !respond_) return;
    wait_.cancel();
    respond_ = nullptr;
    fronts_.links_.waits(name_, false);
  }
  // What an earlier poll may have lost is transmitted anew, so that what waits here of it must go.
  void forget_messages() {
    std::erase_if(queue_, [](const Frame& frame) { return frame.type == Frame::Type::kMessage; });
  }
  std::vector<Frame> take() { return std::exchange(queue_, {}); }

 private:
  // At the end of the turn, so that frames that come together leave together.
  void soon() {
    if (!respond_ || std::exchange(posted_, true)) return;
    boost::asio::post(fronts_.strand_, [self = shared_from_this()] {
      self->posted_ = false;
      if (*self->alive_ && self->respond_) self->tell();
    });
  }
  void tell() {
    wait_.cancel();
    const auto respond = std::exchange(respond_, nullptr);
    fronts_.links_.waits(name_, false);
    std::vector<Frame> frames;
    const std::size_t count = std::min(queue_.size(), kPollFrames);
    frames.assign(queue_.begin(), queue_.begin() + static_cast<std::ptrdiff_t>(count));
    queue_.erase(queue_.begin(), queue_.begin() + static_cast<std::ptrdiff_t>(count));
    respond(std::move(frames));
    if (ended_ && queue_.empty()) fronts_.drop(name_);
  }

  Fronts& fronts_;
  std::shared_ptr<bool> alive_;
  std::string name_;
  boost::asio::steady_timer wait_;
  ConnId conn_{0};
  std::vector<Frame> queue_;
  Respond respond_;
  std::uint64_t serial_{0};
  bool posted_{false}, ended_{false};
};

// ---- HTTP ----

class Fronts::Http : public std::enable_shared_from_this<Http> {
 public:
  Http(Fronts& fronts, tcp::socket socket)
      : fronts_(fronts), alive_(fronts.alive_), stream_(std::move(socket)) {
    ++fronts_.connections_;
  }
  ~Http() {
    if (*alive_) {
      --fronts_.connections_;
      fronts_.accept();
    }
  }

  void read(bool first = true) {
    parser_.emplace();
    parser_->header_limit(kHeaderMost);
    parser_->body_limit(kBodyMost);
    // From the first byte on a request has its time, however slowly the others follow.
    stream_.expires_after(first ? kRequestWait : kIdleWait);
    http::async_read_header(
        stream_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t) {
          if (!*self->alive_) return;
          if (error) return self->bad(error);
          self->stream_.expires_after(kRequestWait);
          http::async_read(self->stream_, self->buffer_, *self->parser_, [self](error_code e, std::size_t) {
            if (!*self->alive_) return;
            if (e) return self->bad(e);
            self->take();
          });
        });
  }

 private:
  void bad(error_code error) {
    if (error == http::error::header_limit)
      return answer(http::status::request_header_fields_too_large, "headers", "headers are too long", false,
                    true);
    if (error == http::error::body_limit)
      return answer(http::status::payload_too_large, "body", "the body is too long", false, true);
    // Cut, late or no HTTP at all: there is nobody to be told.
    error_code ignored;
    stream_.socket().close(ignored);
  }

  void take() {
    auto request = parser_->release();
    version_ = request.version();
    keep_ = request.keep_alive();
    const std::string target(request.target());
    if (websocket::is_upgrade(request)) {
      if (target != "/edge/ws")
        return answer(http::status::not_found, "path", "devices connect at /edge/ws", false);
      const std::string offered(request[http::field::sec_websocket_protocol]);
      const bool cbor = offered.find(kCborProtocol) != std::string::npos;
      if (!cbor && offered.find(kJsonProtocol) == std::string::npos)
        return answer(http::status::bad_request, "subprotocol", "steprail.cbor or steprail.json", false);
      std::make_shared<WebSocket>(fronts_, std::move(stream_), cbor ? Format::kCbor : Format::kJson)
          ->run(std::move(request));
      return;
    }
    if (request.method() != http::verb::post)
      return answer(http::status::method_not_allowed, "method", "POST alone", false);
    const std::string type(request[http::field::content_type]);
    format_ = type.find("cbor") != std::string::npos ? Format::kCbor : Format::kJson;
    Envelope envelope;
    std::string why;
    if (!decode(request.body(), format_, envelope, why))
      return answer(http::status::bad_request, "unreadable", why, false);
    if (target == "/edge/open") return open(envelope);
    const auto poll = fronts_.find(envelope.link);
    if (!poll) return answer(http::status::gone, "link", "there is no such link; open one", true);
    if (target != "/edge/poll" && target != "/edge/send")
      return answer(http::status::not_found, "path", "/edge/open, /edge/poll or /edge/send", false);
    poll->touch();
    for (const Frame& frame : envelope.frames) fronts_.edge_.heard(poll->conn(), frame);
    if (target == "/edge/send") {
      // Acknowledgements go back at once; everything else waits for the poll.
      return give(poll->name(), {});
    }
    poll->forget_messages();
    if (!poll->ended()) fronts_.edge_.polled(poll->conn(), envelope.have);
    wait(poll);
  }

  void open(const Envelope& envelope) {
    if (envelope.frames.size() != 1)
      return answer(http::status::bad_request, "hello-first", "one hello opens a link", false);
    // A link outlives the connection that opened it: their number has a bound of its own.
    const PollLinks::Room room = fronts_.links_.room(fronts_.limits_.connections);
    if (!room.is)
      return answer(http::status::service_unavailable, "links", "no room for another link now", true);
    for (const std::string& link : room.gives_way) fronts_.drop(link);
    unsigned char bytes[16];
    randombytes_buf(bytes, sizeof bytes);
    char name[33];
    sodium_bin2hex(name, sizeof name, bytes, sizeof bytes);
    const auto poll = std::make_shared<Poll>(fronts_, name);
    fronts_.polls_[name] = poll;
    poll->opened(fronts_.edge_.opened(poll));
    fronts_.edge_.heard(poll->conn(), envelope.frames.front());
    wait(poll);
  }

  void wait(const std::shared_ptr<Poll>& poll) {
    stream_.expires_never();
    const auto self = shared_from_this();
    waiting_ = true;
    const std::uint64_t serial = poll->poll([self, name = poll->name()](std::vector<Frame> frames) {
      self->waiting_ = false;
      if (*self->alive_) self->give(name, std::move(frames));
    });
    // Nothing is read while a poll waits, so that a device that hangs up would keep its place until the wait
    // is over.
    stream_.socket().async_wait(tcp::socket::wait_read, [self, poll, serial](error_code error) {
      if (error || !*self->alive_ || !self->waiting_) return;
      char byte = 0;
      error_code ended;
      self->stream_.socket().receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, ended);
      if (!ended || ended == boost::asio::error::would_block) return;  // its next request is here already
      poll->left(serial);
      self->stream_.socket().close(ended);
    });
  }

  void give(const std::string& link, std::vector<Frame> frames) {
    std::string body;
    try {
      body = encode(Envelope{link, 0, std::move(frames)}, format_);
    } catch (const std::exception& fault) {
      return answer(http::status::internal_server_error, "unwritable", fault.what(), true);
    }
    respond(http::status::ok, std::move(body), false);
  }
  void answer(http::status status, const char* code, const std::string& text, bool again,
              bool close = false) {
    respond(status, encode(error_frame(code, text, again), format_), close);
  }
  void respond(http::status status, std::string body, bool close) {
    auto response = std::make_shared<http::response<http::string_body>>(status, version_);
    response->set(http::field::content_type,
                  format_ == Format::kCbor ? "application/cbor" : "application/json");
    response->set(http::field::cache_control, "no-store");
    response->keep_alive(keep_ && !close);
    response->body() = std::move(body);
    response->prepare_payload();
    stream_.expires_after(kRequestWait);
    ++fronts_.writing_;
    http::async_write(stream_, *response,
                      [self = shared_from_this(), response](error_code error, std::size_t) {
                        if (!*self->alive_) return;
                        --self->fronts_.writing_;
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
  unsigned version_{11};
  bool keep_{true}, waiting_{false};
};

// ---- The listener ----

Fronts::Fronts(Strand strand, EventLog& log, Edge& edge, Limits limits)
    : strand_(strand),
      log_(log),
      edge_(edge),
      limits_(limits),
      acceptor_(strand),
      pause_(strand),
      sweep_(strand) {}

Fronts::~Fronts() { *alive_ = false; }

tcp::endpoint Fronts::listen(const tcp::endpoint& at) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen();
  accept();
  sweep();
  return acceptor_.local_endpoint();
}

void Fronts::accept() {
  if (accepting_ || !acceptor_.is_open() || connections_ >= limits_.connections) return;
  accepting_ = true;
  acceptor_.async_accept(strand_, [this, alive = alive_](error_code error, tcp::socket socket) {
    if (!*alive) return;
    accepting_ = false;
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {
      log_.event(LogLevel::kWarn, "edge-accept-failed", {{"cause", error.message()}});
      pause_.expires_after(kAcceptPause);
      pause_.async_wait([this, alive](error_code e) {
        if (!e && *alive) accept();
      });
      return;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::make_shared<Http>(*this, std::move(socket))->read();
    accept();
  });
}

std::shared_ptr<Fronts::Poll> Fronts::find(const std::string& link) const {
  const auto at = polls_.find(link);
  return at == polls_.end() ? nullptr : at->second;
}

void Fronts::drop(const std::string& link) {
  const auto at = polls_.find(link);
  if (at == polls_.end()) return;
  const auto poll = at->second;
  polls_.erase(at);
  links_.erase(link);
  edge_.closed(poll->conn());
}

void Fronts::sweep() {
  sweep_.expires_after(kSweep);
  sweep_.async_wait([this, alive = alive_](error_code error) {
    if (error || !*alive) return;
    for (const std::string& link : links_.silent(now(), std::max(kPollGone, 2 * limits_.poll_wait)))
      drop(link);
    accept();
    sweep();
  });
}

bool Fronts::written_out() const { return writing_ == 0; }

}  // namespace steprail::edge
