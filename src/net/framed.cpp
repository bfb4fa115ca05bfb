#include "net/framed.h"

#include "net/thrift.h"

namespace steprail {

using boost::system::error_code;

namespace {
constexpr std::int64_t kMaxFrameBytes = 256 << 10;
// Every session may buffer this much; more counts against max_buffered_bytes.
constexpr std::size_t kSmallFrameBytes = 32 << 10;
// Answers that a client does not read: more than 32 of the longest.
constexpr std::size_t kMaxUnreadBytes = 2 << 20;
constexpr std::chrono::milliseconds kAcceptPause{50};
constexpr std::chrono::milliseconds kSweepInterval{250};
constexpr std::size_t kMaxCloseLogLines = 4;  // between two sweeps
// Clients connect in order to send a request at once. One without a whole frame by then will never send one
// and should be closed soon.
constexpr Micros kFrameTimeout{2'000'000};
constexpr Micros kFirstRequestGrace{250'000};  // the first request may still be on its way
constexpr Micros kUnreadTimeout{5'000'000};    // for a client that reads nothing

// The end of a log line about closed connections; empty where all their calls were answered.
std::string unanswered_calls(std::size_t count) {
  return count == 0 ? "" : ", " + std::to_string(count) + " calls without an answer";
}
}  // namespace

#include <boost/asio/yield.hpp>

FramedServer::Session::Session(FramedServer& server, tcp::socket socket, std::uint64_t number)
    : server_(server), socket_(std::move(socket)), number_(number) {
  last_activity_at_ = server_.coordinator_.now();
}

void FramedServer::Session::read(error_code error, std::size_t count) {
  if (closed_) return;
  if (error) return close(nullptr);
  reenter(this) {
    for (;;) {
      yield socket_.async_read_some(
          in_.prepare(), [self = shared_from_this()](error_code e, std::size_t n) { self->read(e, n); });
      in_.commit(count);
      if (!handle_frames()) return;
      while (reading_paused()) {
        yield reading_suspended_ = true;
        if (!handle_frames()) return;
      }
      in_.shrink();
      if (in_.capacity() > kSmallFrameBytes && server_.over_buffer_limit())
        return close("no buffer space for a frame of this length");
    }
  }
}

#include <boost/asio/unyield.hpp>

// A client that does not read its answers gets no further work done: its calls stay in the socket.
bool FramedServer::Session::reading_paused() const {
  return (server_.limits_.pause_threshold > 0 && out_.size() > server_.limits_.pause_threshold) ||
         calls_blocked();
}

void FramedServer::Session::resume_reading() {
  if (closed_ || !reading_suspended_ || reading_paused()) return;
  reading_suspended_ = false;
  // Posted, as the caller may be handling a frame of this very connection.
  boost::asio::post(server_.strand_, [self = shared_from_this()] { self->read(); });
}

void FramedServer::Session::restart_idle_timer() {
  if (!partial_frame_) last_activity_at_ = server_.coordinator_.now();
}

// Bytes held beyond what every session may buffer.
std::size_t FramedServer::Session::buffered_bytes() const {
  return (in_.capacity() > kSmallFrameBytes ? in_.capacity() : 0) + out_.unshared_size();
}

// The greatest rank is closed first when there are too many connections: those without any request so far
// come first, then the longest idle. A connection with an open call must not be closed and has no rank.
std::optional<std::pair<bool, Micros>> FramedServer::Session::eviction_rank(Micros now) const {
  if (has_open_calls() || !out_.empty()) return std::nullopt;
  // A request may have arrived that has not been read yet in this event loop iteration.
  error_code error;
  if (socket_.available(error) > 0) return std::nullopt;
  return std::pair{!received_frame_ && now - last_activity_at_ > kFirstRequestGrace, now - last_activity_at_};
}

void FramedServer::Session::sweep(Micros now) {
  if (write_blocked_ && now - write_blocked_since_ > kUnreadTimeout)
    return close("client leaves its answers unread");
  if (has_open_calls()) return;
  if (now - last_activity_at_ >
      (received_frame_ && !partial_frame_ ? server_.limits_.idle_timeout : kFrameTimeout))
    close(received_frame_ ? nullptr : "no request in time");
}

void FramedServer::Session::schedule_write() {
  if (std::exchange(dirty_, true)) return;
  server_.dirty_.push_back(shared_from_this());
  server_.coordinator_.schedule_iteration();
}

void FramedServer::Session::write() {
  dirty_ = false;
  while (!closed_ && !out_.empty() && !write_blocked_) {
    error_code error;
    const std::size_t count = socket_.write_some(out_.gather(), error);
    out_.mark_sent(count);
    if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
      const std::size_t max_unread = std::max(kMaxUnreadBytes, 2 * server_.limits_.pause_threshold);
      if (out_.size() > max_unread || server_.over_buffer_limit())
        return close("client leaves its answers unread");
      write_blocked_since_ = server_.coordinator_.now();
      write_blocked_ = true;
      socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code e) {
        self->write_blocked_ = false;
        if (!e) self->write();
      });
    } else if (error) {
      return close(nullptr);
    }
  }
  resume_reading();
}

void FramedServer::Session::close(const char* reason) {
  if (std::exchange(closed_, true)) return;
  if (reason != nullptr) server_.log_client_closed(reason, open_call_count());
  error_code ignored;
  socket_.close(ignored);
  on_closed();
  // Queued pages may count against a memory budget.
  out_ = {};
  server_.remove_session(number_);
}

bool FramedServer::Session::handle_frames() {
  for (;;) {
    if (reading_paused()) return true;
    const std::string_view bytes = in_.view();
    if (bytes.size() < thrift::kFrameHeaderBytes) return note_partial_frame(!bytes.empty());
    const std::int64_t length = thrift::frame_length(bytes);
    if (length < 0 || length > kMaxFrameBytes)
      return close("invalid frame length: none may have a length of zero or beyond the maximum"), false;
    const auto frame_bytes = thrift::kFrameHeaderBytes + static_cast<std::size_t>(length);
    if (bytes.size() < frame_bytes) return note_partial_frame(true);
    if (!handle_frame(bytes.substr(thrift::kFrameHeaderBytes, static_cast<std::size_t>(length))))
      return close("frame cannot be read"), false;
    if (closed_) return false;
    in_.consume(frame_bytes);
    received_frame_ = true;
    partial_frame_ = false;
    last_activity_at_ = server_.coordinator_.now();
  }
}

// The timeout of a frame starts with its first byte, however slowly the others follow.
bool FramedServer::Session::note_partial_frame(bool partial) {
  if (partial && !std::exchange(partial_frame_, true) && received_frame_)
    last_activity_at_ = server_.coordinator_.now();
  return true;
}

FramedServer::FramedServer(Strand strand, Coordinator& coordinator, EventLog& log, Limits limits)
    : strand_(strand),
      coordinator_(coordinator),
      log_(log),
      limits_(limits),
      acceptor_(strand),
      accept_pause_timer_(strand),
      sweep_timer_(strand) {}

FramedServer::~FramedServer() = default;

tcp::endpoint FramedServer::listen(const tcp::endpoint& at) {
  error_code error;
  const tcp::endpoint bound = listen(at, error);
  if (error) throw boost::system::system_error(error);
  return bound;
}

tcp::endpoint FramedServer::listen(const tcp::endpoint& at, error_code& error) {
  error_code ignored;
  acceptor_.open(at.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(at, error);
  if (!error) acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
  const tcp::endpoint bound = error ? tcp::endpoint{} : acceptor_.local_endpoint(error);
  if (error) {
    acceptor_.close(ignored);
    return {};
  }
  accept();
  sweep();
  return bound;
}

// One connection is always kept free for the next client. While every connection has an open request, new
// clients wait in the kernel's accept queue.
void FramedServer::accept() {
  if (accepting_ || (sessions_.size() >= limits_.max_sessions && !evict_session())) return;
  accepting_ = true;
  acceptor_.async_accept(strand_, [this](error_code error, tcp::socket socket) {
    accepting_ = false;
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {
      // Probably out of file descriptors; an immediate retry would spin.
      log_.message("accept failed: " + error.message());
      accept_pause_timer_.expires_after(kAcceptPause);
      accept_pause_timer_.async_wait([this](error_code e) {
        if (!e) accept();
      });
      return;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    const std::uint64_t number = ++last_session_number_;
    const auto session = create_session(std::move(socket), number);
    sessions_.emplace(number, session);
    session->read();
    accept();
  });
}

void FramedServer::remove_session(std::uint64_t session) {
  sessions_.erase(session);
  accept();
}

// Misbehaving clients come by the hundred, so only the first few closes between two sweeps are logged, and
// then the number of the others.
void FramedServer::log_client_closed(const char* reason, std::size_t open_calls) {
  if (++closed_since_sweep_ <= kMaxCloseLogLines)
    return log_.message("client connection closed: " + std::string(reason) + unanswered_calls(open_calls));
  unlogged_open_calls_ += open_calls;
}

bool FramedServer::evict_session() {
  const Micros now = coordinator_.now();
  std::shared_ptr<Session> victim;
  std::pair<bool, Micros> victim_rank{};
  for (const auto& [_, session] : sessions_) {
    const auto rank = session->eviction_rank(now);
    if (rank && (!victim || *rank > victim_rank)) victim = session, victim_rank = *rank;
  }
  if (!victim) return false;
  accepting_ = true;  // the close must not call accept(), which is the caller
  victim->close(nullptr);
  accepting_ = false;
  return true;
}

// The unread answers and long partial frames of all clients together are limited as well.
bool FramedServer::over_buffer_limit() const {
  std::size_t bytes = 0;
  for (const auto& [_, session] : sessions_) bytes += session->buffered_bytes();
  return bytes > limits_.max_buffered_bytes;
}

void FramedServer::sweep() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](error_code error) {
    if (error) return;
    log_.flush();
    const Micros now = coordinator_.now();
    if (closed_since_sweep_ > kMaxCloseLogLines)
      log_.message(
          "client connections closed besides: " + std::to_string(closed_since_sweep_ - kMaxCloseLogLines) +
          unanswered_calls(unlogged_open_calls_));
    closed_since_sweep_ = unlogged_open_calls_ = 0;
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

FramedServer::Session* FramedServer::find_session(std::uint64_t session) const {
  const auto at = sessions_.find(session);
  return at == sessions_.end() ? nullptr : at->second.get();
}

void FramedServer::write_dirty() {
  const auto dirty = std::exchange(dirty_, {});
  for (const auto& session : dirty) session->write();
}

}  // namespace steprail
