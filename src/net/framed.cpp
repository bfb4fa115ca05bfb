#include "net/framed.h"

#include <poll.h>

#include <algorithm>

#include "net/thrift.h"

namespace steprail {

using boost::system::error_code;

namespace {
constexpr std::int64_t kMaxFrameBytes = 256 << 10;
constexpr std::size_t kMinSmallFrameBytes = 4 << 10, kMaxSmallFrameBytes = 32 << 10;
// A request's call number and id are looked for in so many bytes of its frame before the frame is held.
constexpr std::size_t kMaxRequestHeadBytes = 2048;
// Answers that a client does not read: more than 32 of the longest.
constexpr std::size_t kMaxUnreadPerSession = 2 << 20;
constexpr std::chrono::milliseconds kAcceptPause{50};
constexpr std::chrono::milliseconds kSweepInterval{250};
constexpr std::chrono::milliseconds kSpaceRetryInterval{10};
constexpr std::size_t kMaxCloseLogLines = 4;   // between two sweeps
constexpr Micros kFirstRequestGrace{250'000};  // the first request may still be on its way
constexpr Micros kUnreadTimeout{5'000'000};    // for a client that reads nothing
constexpr const char* kAnswersUnread = "client leaves its answers unread";
constexpr const char* kNoFrameSpace = "no buffer space for a frame of this length";

// The end of a log line about closed connections; empty where all their calls were answered.
std::string unanswered_calls(std::size_t count) {
  return count == 0 ? "" : ", " + std::to_string(count) + " calls without an answer";
}
}  // namespace

#include <boost/asio/yield.hpp>

FramedServer::Session::Session(FramedServer& server, tcp::socket socket, std::uint64_t number)
    : server_(server),
      socket_(std::move(socket)),
      number_(number),
      account_(std::make_shared<MemoryAccount>(server.request_memory_,
                                               server.request_memory_->guaranteed_bytes())) {
  last_activity_at_ = server_.coordinator_.now();
}

void FramedServer::Session::read(error_code error, std::size_t count) {
  if (closed_) return;
  if (error && !(discard_requested_ && error == boost::asio::error::operation_aborted)) return close(nullptr);
  reenter(this) {
    for (;;) {
      if (!server_.reserve_frame_space(*this)) {
        yield server_.wait_for_space(shared_from_this());
      }
      yield socket_.async_read_some(
          in_.prepare(partial_frame_bytes_),
          [self = shared_from_this()](error_code e, std::size_t n) { self->read(e, n); });
      if (discarding_) continue;
      in_.commit(count);
      if (!handle_frames()) return;
      // A frame that has become whole in the meantime is no reason to discard anything.
      if (std::exchange(discard_requested_, false) && count == 0 && partial_frame_) {
        discarding_ = true;
        partial_frame_bytes_ = 0;
        in_ = {};
        continue;
      }
      while (reading_paused()) {
        yield reading_suspended_ = true;
        if (!handle_frames()) return;
      }
      if (partial_frame_bytes_ <= server_.small_frame_bytes()) in_.shrink(server_.small_frame_bytes());
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
  if (!partial_frame_ || waiting_for_space_) last_activity_at_ = server_.coordinator_.now();
}

std::size_t FramedServer::Session::long_frame_bytes() const {
  return in_.capacity() > server_.small_frame_bytes() && !discard_requested_ ? in_.capacity() : 0;
}

std::size_t FramedServer::Session::missing_frame_bytes() const {
  if (partial_frame_bytes_ <= std::max(server_.small_frame_bytes(), in_.capacity())) return 0;
  return partial_frame_bytes_ - long_frame_bytes();
}

std::optional<LongFrame> FramedServer::Session::long_frame(Micros now) const {
  if (long_frame_bytes() == 0 || !partial_frame_ || waiting_for_space_) return std::nullopt;
  return LongFrame{now - space_taken_at_, has_open_calls() || !out_.empty(), received_frame_};
}

void FramedServer::Session::take_frame_space(Micros now) {
  in_.reserve(partial_frame_bytes_);
  space_taken_at_ = now;
}

void FramedServer::Session::continue_reading() {
  waiting_for_space_ = false;
  // The client has not been slow while nothing was read from it. Without open calls the frame has to come
  // within its time all the same.
  if (has_open_calls()) last_activity_at_ = server_.coordinator_.now();
  boost::asio::post(server_.strand_, [self = shared_from_this()] { self->read(); });
}

void FramedServer::Session::discard_input() {
  discard_requested_ = true;
  error_code ignored;
  socket_.cancel(ignored);
}

// Also true if the close stands behind bytes that have not been read.
bool FramedServer::Session::client_has_closed() {
  pollfd descriptor{socket_.native_handle(), POLLRDHUP, 0};
  return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
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
  if (write_blocked_ && now - write_blocked_since_ > kUnreadTimeout) return close(kAnswersUnread);
  if (has_open_calls() || !out_.empty()) return;
  if (now - last_activity_at_ <=
      (received_frame_ && !partial_frame_ ? server_.limits_.idle_timeout : kFrameTimeout))
    return;
  if (waiting_for_space_) return close(kNoFrameSpace);
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
      write_blocked_since_ = server_.coordinator_.now();
      write_blocked_ = true;
      socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code) {
        self->write_blocked_ = false;
        // The wait may also have been aborted, by close() or by discard_input(). Only a closed connection has
        // nothing left to write then.
        self->write();
      });
    } else if (error) {
      return close(nullptr);
    }
  }
  if (write_blocked_) limit_unread();
  if (!closed_ && out_.empty()) on_written_out();
  resume_reading();
}

// Calls that are read while the socket takes nothing add answers as well.
void FramedServer::Session::limit_unread() {
  const std::size_t max_unread = std::max(kMaxUnreadPerSession, 2 * server_.limits_.pause_threshold);
  if (out_.size() > max_unread) return close(kAnswersUnread);
  server_.limit_unread_answers();
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
  partial_frame_bytes_ = 0;
  skip_input();
  if (bytes_to_skip_ > 0) return true;
  for (;;) {
    if (reading_paused()) return true;
    const std::string_view bytes = in_.view();
    if (bytes.size() < thrift::kFrameHeaderBytes) return note_partial_frame(!bytes.empty());
    const std::int64_t length = thrift::frame_length(bytes);
    if (length < 0 || length > kMaxFrameBytes)
      return close("invalid frame length: none may have a length of zero or beyond the maximum"), false;
    const auto frame_bytes = thrift::kFrameHeaderBytes + static_cast<std::size_t>(length);
    if (bytes.size() < frame_bytes) {
      const Admission admission = admit_frame(frame_bytes);
      if (admission == Admission::kMalformed) return close("frame cannot be read"), false;
      if (admission == Admission::kAdmitted) partial_frame_bytes_ = frame_bytes;
      return note_partial_frame(true);
    }
    if (!handle_frame(bytes.substr(thrift::kFrameHeaderBytes, static_cast<std::size_t>(length))))
      return close("frame cannot be read"), false;
    if (closed_) return false;
    in_.consume(frame_bytes);
    received_frame_ = true;
    partial_frame_ = false;
    last_activity_at_ = server_.coordinator_.now();
  }
}

// A frame whose request would be refused for want of memory is refused before it is read whole.
FramedServer::Session::Admission FramedServer::Session::admit_frame(std::size_t frame_bytes) {
  if (frame_bytes <= server_.small_frame_bytes() || account_->fits(frame_bytes)) return Admission::kAdmitted;
  const std::string_view beginning = in_.view().substr(thrift::kFrameHeaderBytes);
  thrift::Reader reader(beginning);
  thrift::Message message;
  const bool told = thrift::read_message_head(reader, message);
  const FrameRefusal refusal = told ? refuse_frame(beginning) : FrameRefusal::kUndecided;
  if (refusal == FrameRefusal::kMalformed) return Admission::kMalformed;
  if (refusal == FrameRefusal::kUndecided)
    return beginning.size() < kMaxRequestHeadBytes ? Admission::kUndecided : Admission::kAdmitted;
  ++server_.refused_for_memory_;
  bytes_to_skip_ = frame_bytes;
  skip_input();
  return Admission::kRefused;
}

void FramedServer::Session::skip_input() {
  const std::size_t count = std::min(bytes_to_skip_, in_.view().size());
  if (count == 0) return;
  in_.consume(count);
  bytes_to_skip_ -= count;
  if (bytes_to_skip_ > 0) return;
  received_frame_ = true;
  partial_frame_ = false;
  last_activity_at_ = server_.coordinator_.now();
}

std::optional<MemoryCharge> FramedServer::Session::charge_memory(std::size_t bytes) {
  auto charge = account_->try_charge(bytes);
  if (!charge) ++server_.refused_for_memory_;
  return charge;
}

// The timeout of a frame starts with its first byte, however slowly the others follow.
bool FramedServer::Session::note_partial_frame(bool partial) {
  if (partial && !std::exchange(partial_frame_, true) && received_frame_)
    last_activity_at_ = server_.coordinator_.now();
  return true;
}

FramedServer::FramedServer(Strand strand, Coordinator& coordinator, EventLog& log, Limits limits,
                           std::shared_ptr<MemoryBudget> request_memory)
    : strand_(strand),
      coordinator_(coordinator),
      log_(log),
      limits_(limits),
      request_memory_(std::move(request_memory)),
      acceptor_(strand),
      accept_pause_timer_(strand),
      sweep_timer_(strand),
      space_timer_(strand) {}

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

bool FramedServer::reserve_frame_space(Session& session) {
  const std::size_t missing = session.missing_frame_bytes();
  if (missing == 0) return true;
  if (!waiting_for_space_.empty() || !make_frame_space(missing)) return false;
  session.take_frame_space(coordinator_.now());
  return true;
}

void FramedServer::wait_for_space(std::shared_ptr<Session> session) {
  session->waiting_for_space_ = true;
  waiting_for_space_.push_back(std::move(session));
  if (waiting_for_space_.size() == 1) serve_waiting();
}

// Clients with open calls come first: a connection that may not be closed should not have to wait either.
// Then come those that have sent whole frames before.
void FramedServer::serve_waiting() {
  space_timer_.expires_after(kSpaceRetryInterval);
  space_timer_.async_wait([this](error_code error) {
    if (error) return;
    // While nothing is read from a connection, only this shows that its client has gone.
    for (const auto& session : waiting_for_space_) {
      if (!session->closed() && session->client_has_closed()) session->close(nullptr);
    }
    std::erase_if(waiting_for_space_, [](const auto& session) { return session->closed(); });
    const auto order = [](const auto& session) {
      return std::pair(!session->has_open_calls(), !session->received_frame_);
    };
    std::stable_sort(waiting_for_space_.begin(), waiting_for_space_.end(),
                     [&](const auto& a, const auto& b) { return order(a) < order(b); });
    std::size_t served = 0;
    while (served < waiting_for_space_.size() &&
           make_frame_space(waiting_for_space_[served]->missing_frame_bytes())) {
      Session& session = *waiting_for_space_[served++];
      session.take_frame_space(coordinator_.now());
      session.continue_reading();
    }
    waiting_for_space_.erase(waiting_for_space_.begin(),
                             waiting_for_space_.begin() + static_cast<std::ptrdiff_t>(served));
    if (!waiting_for_space_.empty()) serve_waiting();
  });
}

// A frame longer than the limit is taken if it is the only one.
bool FramedServer::make_frame_space(std::size_t bytes) {
  for (;;) {
    std::size_t held = 0;
    for (const auto& [_, session] : sessions_) held += session->long_frame_bytes();
    if (held == 0 || held + bytes <= limits_.max_long_frame_bytes) return true;
    const Micros now = coordinator_.now();
    const auto session = next_to_release(now);
    if (!session) return false;
    if (release_of(*session->long_frame(now)) == FrameRelease::kClose) {
      session->close(kNoFrameSpace);
    } else {
      session->discard_input();
    }
  }
}

std::shared_ptr<FramedServer::Session> FramedServer::next_to_release(Micros now) const {
  std::shared_ptr<Session> next;
  std::optional<LongFrame> next_frame;
  for (const auto& [_, session] : sessions_) {
    const auto frame = session->long_frame(now);
    if (!frame || release_of(*frame) == FrameRelease::kNone) continue;
    if (!next_frame || released_before(*frame, *next_frame)) next = session, next_frame = frame;
  }
  return next;
}

std::size_t FramedServer::small_frame_bytes() const {
  return std::clamp(limits_.max_long_frame_bytes / std::max<std::size_t>(1, limits_.max_sessions),
                    kMinSmallFrameBytes, kMaxSmallFrameBytes);
}

// The connections with the most unread answers are closed first: a client that reads never has many.
void FramedServer::limit_unread_answers() {
  for (;;) {
    std::size_t unread = 0;
    std::shared_ptr<Session> largest;
    for (const auto& [_, session] : sessions_) {
      if (!session->write_blocked_) continue;
      unread += session->out_.unshared_size();
      if (!largest || session->out_.unshared_size() > largest->out_.unshared_size()) largest = session;
    }
    if (unread <= limits_.max_unread_bytes) return;
    largest->close(kAnswersUnread);
  }
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
    if (refused_for_memory_ > 0)
      log_.message("requests refused for want of memory: " + std::to_string(refused_for_memory_) + ", " +
                   std::to_string(request_memory_->used()) + " bytes held by open requests");
    refused_for_memory_ = 0;
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
