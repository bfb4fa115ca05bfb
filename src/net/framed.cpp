#include "net/framed.h"

#include "net/thrift.h"

namespace steprail {

using boost::system::error_code;

namespace {
constexpr std::int64_t kLongestFrame = 256 << 10;
constexpr std::size_t kSmallFrame = 32 << 10;  // what any session may hold; more of it comes out of one store
constexpr std::size_t kUnreadMost =
    2 << 20;  // answers that a client leaves unread: more than 32 of the longest
constexpr std::chrono::milliseconds kAcceptPause{50};
constexpr std::chrono::milliseconds kSweep{250};
constexpr std::size_t kClosedLines = 4;  // in the log, between two sweeps
// A client that connects does so to ask at once. One that has not said a whole thing by then never will, and
// is owed its close soon.
constexpr Micros kFrameMost{2'000'000};
constexpr Micros kJustCame{250'000};      // its first request may still be on the way
constexpr Micros kUnreadWait{5'000'000};  // for a client that reads nothing
}  // namespace

#include <boost/asio/yield.hpp>

FramedServer::Session::Session(FramedServer& server, tcp::socket socket, std::uint64_t number)
    : server_(server), socket_(std::move(socket)), number_(number) {
  since_ = server_.coordinator_.now();
}

void FramedServer::Session::read(error_code error, std::size_t count) {
  if (closed_) return;
  if (error) return close(nullptr);
  reenter(this) {
    for (;;) {
      yield socket_.async_read_some(
          in_.room(), [self = shared_from_this()](error_code e, std::size_t n) { self->read(e, n); });
      in_.filled(count);
      if (!take_frames()) return;
      while (paused()) {
        yield parked_ = true;
        if (!take_frames()) return;
      }
      in_.shrink();
      if (in_.capacity() > kSmallFrame && server_.over_store()) return close("no room for a frame so long");
    }
  }
}

#include <boost/asio/unyield.hpp>

// A client that lets its answers pile up is not asked for more work: its calls wait in its own connection.
bool FramedServer::Session::paused() const {
  return (server_.limits_.pause_at > 0 && out_.size() > server_.limits_.pause_at) || held();
}

void FramedServer::Session::resume() {
  if (closed_ || !parked_ || paused()) return;
  parked_ = false;
  // Not from within what resumes it: that may be a frame of this very connection.
  boost::asio::post(server_.strand_, [self = shared_from_this()] { self->read(); });
}

void FramedServer::Session::answered() {
  if (!partial_) since_ = server_.coordinator_.now();
}

// Bytes held beyond what every session may hold.
std::size_t FramedServer::Session::stored() const {
  return (in_.capacity() > kSmallFrame ? in_.capacity() : 0) + out_.own_size();
}

// For how long the client has done nothing that it would be missed for, in the order in which connections
// are closed when there are too many: first those that never asked. Nothing where a request is open.
std::optional<std::pair<bool, Micros>> FramedServer::Session::spare(Micros now) const {
  if (busy() || !out_.empty()) return std::nullopt;
  // A request may be here that this turn has not come to yet.
  error_code error;
  if (socket_.available(error) > 0) return std::nullopt;
  return std::pair{!asked_ && now - since_ > kJustCame, now - since_};
}

void FramedServer::Session::sweep(Micros now) {
  if (waiting_ && now - stuck_ > kUnreadWait) return close("leaves its answers unread");
  if (busy()) return;
  if (now - since_ > (asked_ && !partial_ ? server_.limits_.idle : kFrameMost))
    close(asked_ ? nullptr : "never asks");
}

void FramedServer::Session::mark() {
  if (std::exchange(dirty_, true)) return;
  server_.dirty_.push_back(shared_from_this());
  server_.coordinator_.wake();
}

void FramedServer::Session::write() {
  dirty_ = false;
  while (!closed_ && !out_.empty() && !waiting_) {
    error_code error;
    const std::size_t count = socket_.write_some(out_.gather(), error);
    out_.sent(count);
    if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
      const std::size_t most = std::max(kUnreadMost, 2 * server_.limits_.pause_at);
      if (out_.size() > most || server_.over_store()) return close("leaves its answers unread");
      stuck_ = server_.coordinator_.now();
      waiting_ = true;
      socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code e) {
        self->waiting_ = false;
        if (!e) self->write();
      });
    } else if (error) {
      return close(nullptr);
    }
  }
  resume();
}

void FramedServer::Session::close(const char* reason) {
  if (std::exchange(closed_, true)) return;
  if (reason != nullptr) server_.told_off(reason);
  error_code ignored;
  socket_.close(ignored);
  gone();
  // What was queued may hold pages that count against a budget.
  out_ = {};
  server_.ended(number_);
}

bool FramedServer::Session::take_frames() {
  for (;;) {
    if (paused()) return true;
    const std::string_view bytes = in_.view();
    if (bytes.size() < thrift::kFrameHead) return begun(!bytes.empty());
    const std::int64_t length = thrift::frame_length(bytes);
    if (length < 0 || length > kLongestFrame) return close("frame of a length that none may have"), false;
    const auto whole = thrift::kFrameHead + static_cast<std::size_t>(length);
    if (bytes.size() < whole) return begun(true);
    if (!take(bytes.substr(thrift::kFrameHead, static_cast<std::size_t>(length))))
      return close("frame that cannot be read"), false;
    if (closed_) return false;
    in_.consume(whole);
    asked_ = true;
    partial_ = false;
    since_ = server_.coordinator_.now();
  }
}

// A frame has its time from its first byte on, however slowly the others follow.
bool FramedServer::Session::begun(bool partial) {
  if (partial && !std::exchange(partial_, true) && asked_) since_ = server_.coordinator_.now();
  return true;
}

FramedServer::FramedServer(Strand strand, Coordinator& coordinator, EventLog& log, Limits limits)
    : strand_(strand),
      coordinator_(coordinator),
      log_(log),
      limits_(limits),
      acceptor_(strand),
      pause_(strand),
      sweep_(strand) {}

FramedServer::~FramedServer() = default;

tcp::endpoint FramedServer::listen(const tcp::endpoint& at) {
  error_code error;
  const tcp::endpoint got = listen(at, error);
  if (error) throw boost::system::system_error(error);
  return got;
}

tcp::endpoint FramedServer::listen(const tcp::endpoint& at, error_code& error) {
  error_code ignored;
  acceptor_.open(at.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(at, error);
  if (!error) acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
  const tcp::endpoint got = error ? tcp::endpoint{} : acceptor_.local_endpoint(error);
  if (error) {
    acceptor_.close(ignored);
    return {};
  }
  accept();
  sweep();
  return got;
}

// One place is always kept free for who comes next. Where every connection has a request open, clients wait
// in the kernel's line until one has not.
void FramedServer::accept() {
  if (accepting_ || (sessions_.size() >= limits_.sessions && !make_room())) return;
  accepting_ = true;
  acceptor_.async_accept(strand_, [this](error_code error, tcp::socket socket) {
    accepting_ = false;
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {
      // Out of descriptors, most likely; trying again at once would only spin.
      log_.message("accept failed: " + error.message());
      pause_.expires_after(kAcceptPause);
      pause_.async_wait([this](error_code e) {
        if (!e) accept();
      });
      return;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    const std::uint64_t number = ++last_session_;
    const auto session = open(std::move(socket), number);
    sessions_.emplace(number, session);
    session->read();
    accept();
  });
}

void FramedServer::ended(std::uint64_t session) {
  sessions_.erase(session);
  accept();
}

// Clients that misbehave do so by the hundred: the log gets a few of each moment, and how many more there
// were.
void FramedServer::told_off(const char* reason) {
  if (++closed_since_ <= kClosedLines) log_.message("client connection closed: " + std::string(reason));
}

bool FramedServer::make_room() {
  const Micros now = coordinator_.now();
  std::shared_ptr<Session> least;
  std::pair<bool, Micros> most{};
  for (const auto& [_, session] : sessions_) {
    const auto spare = session->spare(now);
    if (spare && (!least || *spare > most)) least = session, most = *spare;
  }
  if (!least) return false;
  accepting_ = true;  // its end is no reason to accept: this is
  least->close(nullptr);
  accepting_ = false;
  return true;
}

// What clients have not read and what of their frames is here, together, is bounded as well.
bool FramedServer::over_store() const {
  std::size_t bytes = 0;
  for (const auto& [_, session] : sessions_) bytes += session->stored();
  return bytes > limits_.store;
}

void FramedServer::sweep() {
  sweep_.expires_after(kSweep);
  sweep_.async_wait([this](error_code error) {
    if (error) return;
    log_.flush();
    const Micros now = coordinator_.now();
    if (closed_since_ > kClosedLines)
      log_.message("client connections closed besides: " + std::to_string(closed_since_ - kClosedLines));
    closed_since_ = 0;
    const auto sessions = sessions_;
    for (const auto& [_, session] : sessions) session->sweep(now);
    accept();
    sweep();
  });
}

bool FramedServer::written_out() const {
  for (const auto& [_, session] : sessions_) {
    if (!session->out_.empty()) return false;
  }
  return true;
}

FramedServer::Session* FramedServer::find(std::uint64_t session) const {
  const auto at = sessions_.find(session);
  return at == sessions_.end() ? nullptr : at->second.get();
}

void FramedServer::write_dirty() {
  const auto dirty = std::exchange(dirty_, {});
  for (const auto& session : dirty) session->write();
}

}  // namespace steprail
