#include "net/front.h"

#include <boost/asio/coroutine.hpp>
#include <boost/asio/post.hpp>

#include "net/buffers.h"
#include "net/engine_line.h"
#include "net/statement.h"
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
// Clients close what has been idle for 4 s by themselves: what stays for longer only holds a descriptor.
constexpr Micros kIdleMost{6'000'000};
constexpr Micros kJustCame{250'000};                // its first request may still be on the way
constexpr std::int64_t kLimitMost = 1'000'000'000;  // ms: beyond every class's, and far from running over
constexpr Micros kUnreadWait{5'000'000};            // for a client that reads nothing
}  // namespace

#include <boost/asio/yield.hpp>

class ThriftFront::Session : public std::enable_shared_from_this<Session>, boost::asio::coroutine {
 public:
  Session(ThriftFront& front, tcp::socket socket, std::uint64_t number)
      : front_(front), socket_(std::move(socket)), number_(number) {
    since_ = front_.coordinator_.now();
  }

  void read(error_code error = {}, std::size_t count = 0) {
    if (closed_) return;
    if (error) return close(nullptr);
    reenter(this) {
      for (;;) {
        yield socket_.async_read_some(
            in_.room(), [self = shared_from_this()](error_code e, std::size_t n) { self->read(e, n); });
        in_.filled(count);
        if (!take_frames()) return;
        in_.shrink();
        if (in_.capacity() > kSmallFrame && front_.over_store()) return close("no room for a frame so long");
      }
    }
  }

  void push(std::string piece) { out_.push(std::move(piece)); }
  void done(std::int32_t call) {
    open_.erase(call);
    if (!partial_) since_ = front_.coordinator_.now();
  }
  bool quiet() const { return out_.empty(); }
  // Bytes held beyond what every session may hold.
  std::size_t stored() const { return (in_.capacity() > kSmallFrame ? in_.capacity() : 0) + out_.size(); }

  // For how long the client has done nothing that it would be missed for, in the order in which connections
  // are closed when there are too many: first those that never asked. Nothing where a request is open.
  std::optional<std::pair<bool, Micros>> spare(Micros now) const {
    if (!open_.empty() || !out_.empty()) return std::nullopt;
    // A request may be here that this turn has not come to yet.
    error_code error;
    if (socket_.available(error) > 0) return std::nullopt;
    return std::pair{!asked_ && now - since_ > kJustCame, now - since_};
  }

  void sweep(Micros now) {
    if (waiting_ && now - stuck_ > kUnreadWait) return close("leaves its answers unread");
    if (!open_.empty()) return;
    if (now - since_ > (asked_ && !partial_ ? kIdleMost : kFrameMost)) close(asked_ ? nullptr : "never asks");
  }

  void mark() {
    if (std::exchange(dirty_, true)) return;
    front_.dirty_.push_back(shared_from_this());
    front_.coordinator_.wake();
  }

  void write() {
    dirty_ = false;
    while (!closed_ && !out_.empty() && !waiting_) {
      error_code error;
      const std::size_t count = socket_.write_some(out_.gather(), error);
      out_.sent(count);
      if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
        if (out_.size() > kUnreadMost || front_.over_store()) return close("leaves its answers unread");
        stuck_ = front_.coordinator_.now();
        waiting_ = true;
        socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code e) {
          self->waiting_ = false;
          if (!e) self->write();
        });
      } else if (error) {
        return close(nullptr);
      }
    }
  }

  // With a reason: the connection is ended for what its client did.
  void close(const char* reason) {
    if (std::exchange(closed_, true)) return;
    if (reason != nullptr) front_.told_off(reason);
    error_code ignored;
    socket_.close(ignored);
    for (const auto& [call, id] : open_) front_.coordinator_.client_gone(id);
    open_.clear();
    front_.ended(number_);
  }

 private:
  bool take_frames() {
    for (;;) {
      const std::string_view bytes = in_.view();
      if (bytes.size() < thrift::kFrameHead) return begun(!bytes.empty());
      const std::int64_t length = thrift::frame_length(bytes);
      if (length < 0 || length > kLongestFrame) return close("frame of a length that none may have"), false;
      const auto whole = thrift::kFrameHead + static_cast<std::size_t>(length);
      if (bytes.size() < whole) return begun(true);
      if (!take(bytes.substr(thrift::kFrameHead, static_cast<std::size_t>(length))))
        return close("frame that cannot be read"), false;
      in_.consume(whole);
      asked_ = true;
      partial_ = false;
      since_ = front_.coordinator_.now();
    }
  }

  // A frame has its time from its first byte on, however slowly the others follow.
  bool begun(bool partial) {
    if (partial && !std::exchange(partial_, true) && asked_) since_ = front_.coordinator_.now();
    return true;
  }

  // One message; false if it is none.
  bool take(std::string_view frame) {
    thrift::Reader reader(frame);
    thrift::Message message;
    if (!thrift::read_head(reader, message)) return false;
    const bool call = message.kind == thrift::Kind::kCall;
    if (!call && message.kind != thrift::Kind::kOneway) return false;
    if (message.method == "execute") {
      thrift::Fields fields;
      std::string_view body;
      if (!thrift::read_execute(reader, fields, body)) return false;
      execute(message.call, fields, body);
    } else if (message.method == "interrupt") {
      std::int32_t which = 0;
      if (!thrift::read_interrupt(reader, which)) return false;
      interrupt(which);
    } else if (message.method == "check") {
      push(thrift::served_head(message.call, "check", 0));
      push(thrift::served_tail(front_.ready_));
      mark();
    } else if (call) {
      push(thrift::application_exception(message.call, message.method, thrift::Fault::kUnknownMethod,
                                         "unknown method"));
      mark();
    }
    return true;
  }

  void execute(std::int32_t call, const thrift::Fields& fields, std::string_view body) {
    Query query;
    query.statement = body;
    const char* fault = read_query(call, fields, query);
    if (fault != nullptr) {
      push(thrift::thrown(call, 2, {{"reason", fault}}));
      return mark();
    }
    if (front_.refusing_ || open_.size() >= front_.limits_.calls) {
      push(thrift::thrown(call, 1, {}));
      return mark();
    }
    query.group = table_group(body);
    open_[call] = query.id;
    front_.coordinator_.arrived(std::move(query));
  }

  // Null if the query can be used, else what is wrong with it.
  const char* read_query(std::int32_t call, const thrift::Fields& fields, Query& query) {
    std::optional<RequestId> id;
    std::optional<std::int64_t> limit;
    std::optional<double> work = 0.0, memory = 0.0;  // need not be told
    query.cls = -1;
    for (const auto& [name, value] : fields) {
      if (name == "txn") {
        id = parse_id(value);
        query.name = value;
      } else if (name == "verb") {
        query.cls = front_.tables_.classes.index(value);
        query.class_name = value;
      } else if (name == "limit") {
        limit = parse_count(value);
      } else if (name == "team") {
        query.tenant = front_.tables_.tenants.index(value);
      } else if (name == "second") {
        query.resent = value == "1";
      } else if (name == "cpu") {
        work = parse_number(value);
      } else if (name == "mem") {
        memory = parse_number(value);
      }
    }
    if (!id) return "txn";
    if (!limit || *limit > kLimitMost) return "limit";
    if (!work) return "cpu";
    if (!memory) return "mem";
    if (open_.contains(call)) return "call number in use";
    if (front_.coordinator_.knows(*id)) return "txn in use";
    query.id = *id;
    query.estimate_ms = *work;
    query.memory_mb = *memory;
    query.limit = Micros{*limit * 1000};
    query.taken = front_.coordinator_.now();
    query.ticket = {number_, call};
    return front_.coordinator_.unusable(query);
  }

  void interrupt(std::int32_t call) {
    const auto at = open_.find(call);
    if (at == open_.end()) return;  // its answer has crossed it
    const RequestId id = at->second;
    open_.erase(at);
    front_.coordinator_.client_gone(id);
  }

  ThriftFront& front_;
  tcp::socket socket_;
  std::uint64_t number_;
  InBuffer in_;
  OutQueue out_;
  std::unordered_map<std::int32_t, RequestId> open_;
  bool dirty_{false}, waiting_{false}, closed_{false};
  bool asked_{false}, partial_{false};  // a whole frame has come; a part of the next one has
  Micros since_{0};                     // when it connected, last asked, was last answered or began a frame
  Micros stuck_{0};
};

#include <boost/asio/unyield.hpp>

ThriftFront::ThriftFront(Strand strand, Coordinator& coordinator, EventLog& log, const Settings& settings,
                         const Tables& tables, Limits limits)
    : strand_(strand),
      coordinator_(coordinator),
      log_(log),
      settings_(settings),
      tables_(tables),
      limits_(limits),
      acceptor_(strand),
      pause_(strand),
      sweep_(strand) {}

ThriftFront::~ThriftFront() = default;

tcp::endpoint ThriftFront::listen(const tcp::endpoint& at) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen();
  accept();
  sweep();
  return acceptor_.local_endpoint();
}

// One place is always kept free for who comes next. Where every connection has a request open, clients wait
// in the kernel's line until one has not.
void ThriftFront::accept() {
  if (accepting_ || (sessions_.size() >= limits_.sessions && !make_room())) return;
  accepting_ = true;
  acceptor_.async_accept(strand_, [this](error_code error, tcp::socket socket) {
    accepting_ = false;
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {
      // Out of descriptors, most likely; trying again at once would only spin.
      log_.line("accept failed: " + error.message());
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
    const auto session = std::make_shared<Session>(*this, std::move(socket), number);
    sessions_.emplace(number, session);
    session->read();
    accept();
  });
}

void ThriftFront::ended(std::uint64_t session) {
  sessions_.erase(session);
  accept();
}

// Clients that misbehave do so by the hundred: the log gets a few of each moment, and how many more there
// were.
void ThriftFront::told_off(const char* reason) {
  if (++closed_since_ <= kClosedLines) log_.line("client connection closed: " + std::string(reason));
}

bool ThriftFront::make_room() {
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
bool ThriftFront::over_store() const {
  std::size_t bytes = 0;
  for (const auto& [_, session] : sessions_) bytes += session->stored();
  return bytes > limits_.store;
}

void ThriftFront::sweep() {
  sweep_.expires_after(kSweep);
  sweep_.async_wait([this](error_code error) {
    if (error) return;
    const Micros now = coordinator_.now();
    if (closed_since_ > kClosedLines)
      log_.line("client connections closed besides: " + std::to_string(closed_since_ - kClosedLines));
    closed_since_ = 0;
    const auto sessions = sessions_;
    for (const auto& [_, session] : sessions) session->sweep(now);
    accept();
    sweep();
  });
}

bool ThriftFront::written_out() const {
  for (const auto& [_, session] : sessions_) {
    if (!session->quiet()) return false;
  }
  return true;
}

void ThriftFront::answer(const Ticket& ticket, Answer answer) {
  const auto at = sessions_.find(ticket.session);
  if (at == sessions_.end()) return;
  Session& session = *at->second;
  session.done(ticket.call);
  if (answer.verdict == Verdict::kServed) {
    std::size_t bytes = 0;
    for (const std::string& page : answer.pages) bytes += page.size();
    session.push(thrift::served_head(ticket.call, "execute", bytes));
    for (std::string& page : answer.pages) session.push(std::move(page));
    session.push(thrift::served_tail(true));
  } else if (answer.verdict == Verdict::kRefused) {
    std::vector<std::pair<std::string, std::string>> fields;
    const std::int64_t wait = answer.come_back.count() / 1000;
    if (wait > 0) fields.emplace_back("later", std::to_string(wait));
    session.push(thrift::thrown(ticket.call, 1, fields));
  } else {
    session.push(thrift::thrown(ticket.call, 2, {}));
  }
  session.mark();
}

void ThriftFront::flush() {
  const auto dirty = std::exchange(dirty_, {});
  for (const auto& session : dirty) session->write();
}

}  // namespace steprail
