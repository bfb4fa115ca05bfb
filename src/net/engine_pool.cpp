#include "net/engine_pool.h"

#include <algorithm>
#include <boost/asio/coroutine.hpp>
#include <deque>
#include <tuple>

#include "net/buffers.h"
#include "net/engine_line.h"

namespace steprail {

using boost::system::error_code;

namespace {
constexpr Micros kSweepInterval{100'000};
// An engine sends an answer as a whole, so the rest follows the first byte within milliseconds. It sends a
// page as soon as the page is requested. Neither arrives any more after this long.
constexpr Micros kPartialAnswerTimeout{500'000};
constexpr Micros kPageTimeout{1'500'000};
constexpr Micros kProbeTimeout{1'000'000};
constexpr double kMaxIdleFraction = 0.7;  // of the idle timeout; after that a connection is not used again
// A connection on which an attempt was given up is closed if nothing was received on it for this long.
constexpr Micros kMaxSilence{1'000'000};
// Once this part of the connections (1/2) is open, attempts share them.
constexpr std::size_t kExclusiveDivisor = 2;
// on one connection before another one is opened, where attempts share connections
constexpr std::size_t kMaxSharedAttempts = 4;
constexpr std::int64_t kMaxPages = 1024;
constexpr std::size_t kMaxResultBytes = 48'000;
constexpr std::size_t kPageWindow = 16;  // pages of a long result that are requested and not yet received
// Commands of attempts are formed until this much waits to be written on a connection.
constexpr std::size_t kCommandBatchBytes = 64 << 10;
constexpr std::size_t kMaxUnsentBytes = 4 << 20;  // commands that an engine does not read
}  // namespace

std::optional<tcp::endpoint> parse_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  error_code error;
  const auto host = boost::asio::ip::make_address(text.substr(0, colon), error);
  const auto port = parse_count(std::string_view(text).substr(colon + 1));
  if (error || !port || *port > 65535) return std::nullopt;
  return tcp::endpoint(host, static_cast<std::uint16_t>(*port));
}

#include <boost/asio/yield.hpp>

// One connection. An attempt is in flight on it until its end is known or it is given up. On the wire all
// attempts of a request have the same id, and an answer carries nothing else to tell them apart. So an id is
// sent at most once on a connection: after an attempt without a result, the id stays retired for as long as
// its request may be sent again. Late answers to that attempt (duplicates, errors for further pages, an
// answer that crossed the cancel) can then not end a later attempt.
class EnginePool::Connection : public std::enable_shared_from_this<Connection>, boost::asio::coroutine {
 public:
  Connection(EnginePool& pool, int engine, std::uint64_t number, const tcp::endpoint& endpoint)
      : pool_(pool),
        engine_(engine),
        number_(number),
        endpoint_(endpoint),
        socket_(pool.strand_),
        connect_timer_(pool.strand_) {
    opened_at_ = last_used_at_ = pool_.coordinator_.now();
  }

  void run(error_code error = {}, std::size_t count = 0) {
    if (closed_) return;
    if (error) return close(error == boost::asio::error::eof ? "closed by the engine" : error.message());
    const auto next = [self = shared_from_this()](error_code e, std::size_t n = 0) { self->run(e, n); };
    reenter(this) {
      connect_timer_.expires_after(pool_.limits_.connect_timeout);
      connect_timer_.async_wait([self = shared_from_this()](error_code e) {
        if (!e && !self->connected_) self->close("no connection in time");
      });
      yield socket_.async_connect(endpoint_, [next](error_code e) { next(e); });
      connected_ = true;
      connect_timer_.cancel();
      set_socket_options();
      write();
      for (;;) {
        yield socket_.async_read_some(in_.prepare(), next);
        in_.commit(count);
        last_received_at_ = pool_.coordinator_.now();
        if (!process_input()) return close_untrusted("unreadable answer");
        in_.shrink();
      }
    }
  }

  bool can_send(std::optional<RequestId> id) const {
    if (closed_ || in_flight_.size() >= pool_.limits_.max_attempts_per_connection) return false;
    if (idle_fraction() > kMaxIdleFraction) return false;
    return !id || (!in_flight_.contains(*id) && !retired_until_.contains(*id));
  }
  Micros last_used_at() const { return last_used_at_; }
  bool idle() const { return in_flight_.empty() && probes_.empty(); }
  std::size_t in_flight_count() const { return in_flight_.size(); }
  // Carries an attempt that must not run twice. Other attempts avoid the connection, as they could break it
  // and lose that one's answer.
  bool exclusive() const {
    return std::any_of(in_flight_.begin(), in_flight_.end(),
                       [](const auto& entry) { return entry.second.exclusive; });
  }
  Micros opened_at() const { return opened_at_; }

  void send(const Dispatch& dispatch) {
    PendingAttempt pending;
    pending.name = dispatch.query.name;
    pending.class_name = dispatch.query.class_name;
    pending.statement = dispatch.query.statement;
    pending.attempt = dispatch.attempt;
    pending.attempt_deadline = dispatch.attempt_deadline;
    pending.send_before = dispatch.send_before;
    pending.tag = ++last_tag_;
    pending.sent_at = pool_.coordinator_.now();
    pending.deadline = dispatch.query.received_at + dispatch.query.time_limit;
    pending.sink = dispatch.query.sink;
    pending.max_bytes = pending.sink != nullptr ? dispatch.query.max_result_bytes : kMaxResultBytes;
    pending.exclusive = pool_.runs_at_most_once(dispatch.query);
    pool_.log_.event(
        LogLevel::kDebug, "queued",
        {{"id", pending.name}, {"attempt", pending.attempt}, {"engine", engine_}, {"connection", number_}});
    in_flight_.emplace(dispatch.query.id, std::move(pending));
    unsent_.push_back(dispatch.query.id);
    schedule_write();
  }

  // Returns true if nothing of the attempt has been sent.
  bool give_up(RequestId id, int attempt) {
    const auto at = in_flight_.find(id);
    if (at == in_flight_.end() || at->second.attempt != attempt) return false;
    const PendingAttempt pending = std::move(at->second);
    in_flight_.erase(at);
    last_used_at_ = pool_.coordinator_.now();
    if (withdraw(id, pending)) return true;
    if (pending.sink != nullptr) pending.sink->lost(id, attempt);
    // An engine or connection that silently lost one answer would lose the next one as well.
    if (idle() && last_used_at_ - std::max(last_received_at_, pending.sent_at) > kMaxSilence) {
      close({});
      return false;
    }
    push_command(pending.page_count == 0 ? "cancel" : "release", pending);
    retire(id, pending);
    return false;
  }

  void probe(std::uint64_t number) {
    probes_.emplace(number, pool_.coordinator_.now());
    out_.push((pool_.limits_.request_load_reports ? "gauges " : "health ") + probe_name(number) + "\r\n");
    schedule_write();
  }

  // The engine accepts no new attempts: withdraws the commands of which no byte has been sent.
  void withdraw_unsent() {
    std::vector<std::pair<RequestId, int>> unsent;
    for (const auto& [id, pending] : in_flight_) {
      if (withdraw(id, pending)) unsent.emplace_back(id, pending.attempt);
    }
    for (const auto& [id, attempt] : unsent) {
      in_flight_.erase(id);
      pool_.end_unsent_attempt(id, attempt, Outcome::kConnectFailed, EndCause::kDrained);
    }
  }

  void write() {
    dirty_ = false;
    while (!closed_ && connected_ && !write_blocked_) {
      form_commands();
      if (out_.empty()) return;
      error_code error;
      const std::size_t count = socket_.write_some(out_.gather(), error);
      out_.mark_sent(count);
      if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
        if (out_.size() > kMaxUnsentBytes) {
          close_cause_ = EndCause::kCommandsUnread;
          return close("commands are left unread by the engine");
        }
        write_blocked_ = true;
        socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code e) {
          self->write_blocked_ = false;
          if (!e) self->write();
        });
      } else if (error) {
        return close(error.message());
      }
    }
  }

  void sweep(Micros now) {
    std::vector<std::uint64_t> timed_out;
    for (const auto& [number, sent_at] : probes_) {
      if (now - sent_at > kProbeTimeout) timed_out.push_back(number);
    }
    for (const std::uint64_t number : timed_out) finish_probe(number, false, {});
    std::erase_if(retired_until_, [now](const auto& entry) { return now > entry.second; });
    const bool engine_gone =
        pool_.engines_[static_cast<std::size_t>(engine_)].standing == EngineStatus::kGone;
    if (idle() && connected_ && (engine_gone || idle_fraction() > kMaxIdleFraction)) return close({});
    if (partial_since_.count() > 0 && now - partial_since_ > kPartialAnswerTimeout)
      return close_untrusted("incomplete answer not continued in time");
    for (const auto& [_, pending] : in_flight_) {
      if (pending.missing > 0 && now - pending.last_page_at > kPageTimeout)
        return close_untrusted("no page in time");
    }
  }

  // The engine broke the protocol or stopped within an answer, so nothing that follows on this connection can
  // be trusted. The engine did answer, so this does not count against its health.
  void close_untrusted(const std::string& reason) {
    close_cause_ = EndCause::kMalformedAnswer;
    close(reason);
  }

  void close_replaced() {
    close_cause_ = EndCause::kEngineReplaced;
    close("the engine was restarted or has moved");
  }

  // Ends the attempts in flight on this connection. A reason other than "" is logged if attempts were lost or
  // the connection was never established.
  void close(const std::string& reason) {
    if (std::exchange(closed_, true)) return;
    const auto self = shared_from_this();
    if (!reason.empty() && (in_flight_count() > 0 || !connected_))
      pool_.log_.message("engine " + std::to_string(engine_) + ": connection lost with " +
                         std::to_string(in_flight_count()) + " attempts: " + reason);
    pool_.log_.event(LogLevel::kDebug, "connection_closed",
                     {{"connection", number_},
                      {"engine", engine_},
                      {"attempts", in_flight_count()},
                      {"why", reason.empty() ? "not needed" : reason}});
    error_code ignored;
    socket_.close(ignored);
    connect_timer_.cancel();
    pool_.remove_connection(engine_, this);
    const auto attempts = std::exchange(in_flight_, {});
    for (const auto& [id, pending] : attempts) {
      if (pending.sink != nullptr) pending.sink->lost(id, pending.attempt);
      // What the engine cannot have received completely never ran. Whether the others ran is unknown.
      const bool unwritten = !connected_ || !pending.command_formed || out_.contains(pending.tag);
      const Outcome lost_outcome =
          close_cause_ == EndCause::kMalformedAnswer ? Outcome::kAppError : Outcome::kConnectionLost;
      report_end(id, pending, unwritten ? Outcome::kConnectFailed : lost_outcome,
                 connected_ ? close_cause_ : EndCause::kNoConnection, {}, {});
    }
    const auto probes = std::exchange(probes_, {});
    for (const auto& [number, sent_at] : probes)
      pool_.coordinator_.probed({engine_, false, pool_.coordinator_.now() - sent_at, {}});
  }

 private:
  struct PendingAttempt {
    std::string name, class_name;
    StatementText statement;  // until the command is formed
    bool command_formed{false};
    Micros attempt_deadline{0}, send_before{0};
    int attempt{};
    std::uint64_t tag{};
    Micros sent_at{0};
    bool exclusive{};
    Micros deadline{0};  // of the request; the id is not sent again after that
    PageSink* sink{};
    std::size_t max_bytes{};
    std::size_t page_count{};        // 0 until the attempt is acknowledged
    std::vector<std::string> pages;  // without a sink: of the whole result; those not yet received are empty
    std::vector<bool> received;
    std::size_t missing{};
    std::size_t requested{};  // pages before this one have been requested
    std::size_t bytes{};
    Micros last_page_at{0};  // when the last page was received
    LoadReport report;
  };

  // Idle time as a fraction of the timeout after which engines close an idle connection.
  double idle_fraction() const {
    if (!idle() || pool_.limits_.idle_timeout.count() <= 0) return 0;
    return static_cast<double>((pool_.coordinator_.now() - last_used_at_).count()) /
           static_cast<double>(pool_.limits_.idle_timeout.count());
  }

  // Forms the commands of the attempts that wait. What they were decided on is looked at again here, as a
  // connection may come up, or take bytes again, long after that.
  void form_commands() {
    while (!unsent_.empty() && out_.size() < kCommandBatchBytes) {
      const RequestId id = unsent_.front();
      unsent_.pop_front();
      const auto at = in_flight_.find(id);
      if (at == in_flight_.end() || at->second.command_formed) continue;
      if (pool_.coordinator_.now() >= at->second.attempt_deadline) continue;  // its timeout ends it
      if (may_be_sent(id, at->second)) {
        form_command(at->second);
      } else {
        const int attempt = at->second.attempt;
        in_flight_.erase(at);
        pool_.end_unsent_attempt(id, attempt, Outcome::kNotSent, EndCause::kNotSent);
      }
    }
  }

  bool may_be_sent(RequestId id, const PendingAttempt& pending) const {
    if (pending.send_before.count() > 0 && pool_.coordinator_.now() >= pending.send_before) return false;
    return pool_.coordinator_.wants_attempt(id, pending.attempt);
  }

  void form_command(PendingAttempt& pending) {
    const StatementText statement = std::move(pending.statement);
    const Micros time_left = pending.attempt_deadline - pool_.coordinator_.now();
    out_.push(serve_command_line(pending.name, pending.class_name, time_left, statement->size()),
              pending.tag);
    out_.push(statement, 0, statement->size(), pending.tag);
    out_.push(std::string(kCommandEnd), pending.tag);
    pending.command_formed = true;
  }

  // Takes back a command of which no byte has been written; false if it is too late.
  bool withdraw(RequestId id, const PendingAttempt& pending) {
    if (pending.command_formed) return out_.withdraw(pending.tag);
    std::erase(unsent_, id);
    return true;
  }

  static std::string probe_name(std::uint64_t number) { return "probe" + std::to_string(number); }
  void push_command(const char* verb, const PendingAttempt& pending) {
    out_.push(std::string(verb) + ' ' + pending.name + "\r\n");
    schedule_write();
  }
  void schedule_write() {
    if (std::exchange(dirty_, true)) return;
    pool_.dirty_.push_back(shared_from_this());
    pool_.coordinator_.schedule_iteration();
  }
  void set_socket_options() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
  }

  void retire(RequestId id, const PendingAttempt& pending) { retired_until_[id] = pending.deadline; }

  void report_end(RequestId id, const PendingAttempt& pending, Outcome outcome, EndCause cause,
                  const LoadReport& report, std::vector<std::string> pages) {
    pool_.connection_by_request_.erase(id);
    pool_.coordinator_.attempt_ended({id, pending.attempt, outcome, cause, report, std::move(pages)});
  }

  // Ends the attempt as the engine's answer says. The report is passed by value: it may be part of the entry
  // that is erased here.
  void finish_attempt(std::unordered_map<RequestId, PendingAttempt>::iterator at, Outcome outcome,
                      EndCause cause, LoadReport report) {
    const RequestId id = at->first;
    PendingAttempt pending = std::move(at->second);
    in_flight_.erase(at);
    last_used_at_ = pool_.coordinator_.now();
    if (outcome != Outcome::kDelivered) retire(id, pending);
    if (outcome != Outcome::kDelivered && pending.sink != nullptr) pending.sink->lost(id, pending.attempt);
    report_end(id, pending, outcome, cause, report,
               outcome == Outcome::kDelivered ? std::move(pending.pages) : std::vector<std::string>{});
  }

  void finish_probe(std::uint64_t number, bool delivered, const LoadReport& report) {
    const auto at = probes_.find(number);
    if (at == probes_.end()) return;
    const Micros delay = pool_.coordinator_.now() - at->second;
    probes_.erase(at);
    last_used_at_ = pool_.coordinator_.now();
    pool_.coordinator_.probed({engine_, delivered, delay, report});
  }

  bool process_input() {
    EngineAnswer answer;
    std::size_t consumed = 0;
    for (;;) {
      const ParseStatus status = parse_answer(in_.view(), answer, consumed);
      if (status == ParseStatus::kIncomplete) break;
      if (status == ParseStatus::kMalformed || !handle_answer(answer)) return false;
      in_.consume(consumed);
      partial_since_ = Micros{0};
      if (closed_) return true;
    }
    if (!in_.view().empty() && partial_since_.count() == 0) partial_since_ = pool_.coordinator_.now();
    return true;
  }

  // Returns false if the answer shows that the engine's answers on this connection cannot be trusted. An
  // answer with an id that is not (or no longer) in flight here is well-formed and no reason to lose the
  // other attempts.
  bool handle_answer(const EngineAnswer& answer) {
    if (answer.kind == AnswerKind::kReady || answer.kind == AnswerKind::kAiling) {
      constexpr std::string_view kProbePrefix = "probe";
      const auto number = answer.id.substr(0, kProbePrefix.size()) == kProbePrefix
                              ? parse_count(answer.id.substr(kProbePrefix.size()))
                              : std::nullopt;
      if (number)
        finish_probe(static_cast<std::uint64_t>(*number), answer.kind == AnswerKind::kReady, answer.report);
      return true;
    }
    const auto id = parse_request_id(answer.id);
    const auto at = id ? in_flight_.find(*id) : in_flight_.end();
    if (at == in_flight_.end()) {
      log_ignored_answer(answer);
      return true;
    }
    PendingAttempt& pending = at->second;
    switch (answer.kind) {
      case AnswerKind::kAck:
        return handle_ack(at, answer);
      case AnswerKind::kAgain:
      case AnswerKind::kStale:
        // An acknowledged attempt has run, so this answer cannot prove that it did not.
        if (pending.page_count > 0) return false;
        finish_attempt(at, Outcome::kRejected,
                       answer.kind == AnswerKind::kAgain ? EndCause::kEngineFull : EndCause::kEngineStale,
                       answer.report);
        return true;
      case AnswerKind::kEio:
        finish_attempt(at, Outcome::kAppError, EndCause::kEngineError, answer.report);
        return true;
      case AnswerKind::kEvent:
        report_note(*id, pending, answer);
        return true;
      case AnswerKind::kBlock:
        return handle_block(at, answer);
      default:
        return false;
    }
  }

  // The answer belongs to no attempt in flight.
  void log_ignored_answer(const EngineAnswer& answer) {
    pool_.log_.event(
        LogLevel::kDebug, "passed_over",
        {{"id", answer.id}, {"word", name_of(answer.kind)}, {"engine", engine_}, {"connection", number_}});
  }

  void report_note(RequestId id, const PendingAttempt& pending, const EngineAnswer& answer) {
    ProgressReport note{id, pending.attempt, engine_, ProgressTopic::kProgress, answer.note_value};
    if (answer.note_kind == "overflow") {
      note.topic = ProgressTopic::kSpill;
    } else if (answer.note_kind == "queued") {
      note.topic = ProgressTopic::kWaiting;
    } else if (answer.note_kind != "pct") {
      return;
    }
    pool_.coordinator_.note_received(note);
  }

  bool handle_ack(std::unordered_map<RequestId, PendingAttempt>::iterator at, const EngineAnswer& answer) {
    PendingAttempt& pending = at->second;
    const std::int64_t page_count = answer.page_count;
    if (pending.page_count > 0) return true;  // a duplicate
    // A page of a long result holds at least one row, and a row takes at least two bytes.
    const auto max_pages = pending.sink != nullptr
                               ? std::max(kMaxPages, static_cast<std::int64_t>(pending.max_bytes / 2))
                               : kMaxPages;
    if (page_count < 1 || page_count > max_pages || !has_only_whole_rows(answer.body)) return false;
    pending.page_count = static_cast<std::size_t>(page_count);
    if (pending.sink == nullptr) pending.pages.resize(pending.page_count);
    pending.received.resize(pending.page_count);
    pending.missing = pending.page_count;
    pending.requested = 1;
    pending.report = answer.report;
    return accept_page(at, 0, answer.body);
  }

  bool handle_block(std::unordered_map<RequestId, PendingAttempt>::iterator at, const EngineAnswer& answer) {
    PendingAttempt& pending = at->second;
    const auto page = static_cast<std::size_t>(answer.page);
    if (answer.page < 1 || page >= pending.page_count) return false;
    if (pending.received[page]) return true;  // a duplicate
    if (!has_only_whole_rows(answer.body)) return false;
    return accept_page(at, page, answer.body);
  }

  // Stores a new page, then ends the attempt or requests further pages.
  bool accept_page(std::unordered_map<RequestId, PendingAttempt>::iterator at, std::size_t page,
                   std::string_view bytes) {
    PendingAttempt& pending = at->second;
    pending.received[page] = true;
    pending.last_page_at = pool_.coordinator_.now();
    pending.bytes += bytes.size();
    --pending.missing;
    if (pending.sink == nullptr) {
      if (pending.bytes > pending.max_bytes) return false;
      pending.pages[page] = bytes;
    } else {
      const auto want = page == 0 ? pending.sink->begin(at->first, pending.attempt, pending.page_count, bytes)
                                  : pending.sink->page(at->first, pending.attempt, page, bytes);
      if (want == PageSink::Want::kEnough) {
        if (pending.missing > 0) push_command("release", pending);
        pending.missing = 0;
      }
    }
    if (pending.missing == 0) {
      finish_attempt(at, Outcome::kDelivered, EndCause::kAnswered, pending.report);
      return true;
    }
    request_pages(pending);
    return true;
  }

  // Without a sink the pages are few and all are requested at once. A long result is requested in a bounded
  // window, so that neither the engine nor this process has to buffer much of it.
  void request_pages(PendingAttempt& pending) {
    const std::size_t received_count = pending.page_count - pending.missing;
    const std::size_t until = pending.sink == nullptr
                                  ? pending.page_count
                                  : std::min(pending.page_count, received_count + kPageWindow);
    if (until <= pending.requested) return;
    std::string commands;
    for (; pending.requested < until; ++pending.requested)
      commands += "read " + pending.name + ' ' + std::to_string(pending.requested) + "\r\n";
    out_.push(std::move(commands));
    schedule_write();
  }

  EnginePool& pool_;
  int engine_;
  std::uint64_t number_;  // of this connection, for the log
  tcp::endpoint endpoint_;
  tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  InputBuffer in_;
  OutputQueue out_;
  std::unordered_map<RequestId, PendingAttempt> in_flight_;  // attempts by their request
  std::deque<RequestId> unsent_;                             // whose commands are not formed yet
  // ids that are not sent on this connection again before that time
  std::unordered_map<RequestId, Micros> retired_until_;
  std::unordered_map<std::uint64_t, Micros> probes_;
  std::uint64_t last_tag_{0};
  Micros opened_at_{0}, last_used_at_{0}, last_received_at_{0};
  Micros partial_since_{0};  // when an incomplete answer was first seen; 0: there is none
  bool connected_{false}, closed_{false}, dirty_{false}, write_blocked_{false};
  // reported for the attempts in flight when the connection closes
  EndCause close_cause_{EndCause::kConnectionLost};
};

#include <boost/asio/unyield.hpp>

EnginePool::EnginePool(Strand strand, Coordinator& coordinator, EventLog& log, Limits limits)
    : strand_(strand), coordinator_(coordinator), log_(log), limits_(limits), sweep_timer_(strand) {
  sweep();
}

EnginePool::~EnginePool() = default;

void EnginePool::apply_change(const EngineChange& change) {
  const auto index = static_cast<std::size_t>(change.engine);
  if (index >= engines_.size()) engines_.resize(index + 1);
  Engine& engine = engines_[index];
  engine.name = change.name;
  engine.standing = change.standing;
  // If the machine of the engine's previous process failed, its connections stay open without an error.
  const bool address_changed = engine.address != change.address;
  const auto connections = engine.connections;
  for (const auto& connection : connections) {
    if (change.standing != EngineStatus::kReady) connection->withdraw_unsent();
    if (change.standing == EngineStatus::kGone && connection->idle()) {
      connection->close({});
      continue;
    }
    const bool replaced = address_changed || (change.started_at > engine.started_at &&
                                              connection->opened_at() < change.started_at);
    if (replaced) connection->close_replaced();
  }
  if (address_changed) {
    engine.address = change.address;
    engine.endpoint = parse_address(change.address);
    if (!engine.endpoint) log_.message("engine " + engine.name + " has no usable address: " + engine.address);
  }
  engine.started_at = change.started_at;
}

bool EnginePool::runs_at_most_once(const Query& query) const {
  const auto& classes = coordinator_.settings().classes;
  return classes[static_cast<std::size_t>(query.cls)].idempotency == Idempotency::kNone;
}

// An attempt gets a connection of its own while there are enough of them: a corrupt answer, a cut or a reset
// then costs one attempt and not all that share the connection. With many coordinators, a connection for each
// attempt costs a handshake each and more connections than the engines accept, so repeatable attempts share.
std::shared_ptr<EnginePool::Connection> EnginePool::pick_connection(int index, std::optional<RequestId> id,
                                                                    bool exclusive) {
  if (index < 0 || static_cast<std::size_t>(index) >= engines_.size()) return nullptr;
  Engine& engine = engines_[static_cast<std::size_t>(index)];
  if (!engine.endpoint) return nullptr;
  std::shared_ptr<Connection> best;
  for (const auto& connection : engine.connections) {
    if (!connection->can_send(id)) continue;
    // Of the idle connections this takes the one used last, so that the others age and are closed.
    const auto rank =
        std::tuple(connection->exclusive(), connection->in_flight_count(), -connection->last_used_at());
    if (!best || rank < std::tuple(best->exclusive(), best->in_flight_count(), -best->last_used_at()))
      best = connection;
  }
  if (best && best->in_flight_count() == 0) return best;
  // A probe needs no idle connection.
  if (best && !id) return best;
  // With many attempts, a handshake and a write for each of them would delay all, so they share.
  if (best && limits_.share_connections && !exclusive && !best->exclusive() &&
      best->in_flight_count() < kMaxSharedAttempts)
    return best;
  const bool many_open = connection_count_ >= limits_.max_connections / kExclusiveDivisor;
  if ((best && many_open) || !make_room_for(index, !best)) return best;
  ++connection_count_;
  const auto created =
      std::make_shared<Connection>(*this, index, ++last_connection_number_, *engine.endpoint);
  engine.connections.push_back(created);
  created->run();
  return created;
}

// A busy engine may take more than its share as long as one connection is left for each of the others. When
// all are taken and the engine has no usable connection, the one that has been idle for longest is closed.
// With more engines than connections, that may be another engine's only one.
bool EnginePool::make_room_for(int index, bool required) {
  const auto number = static_cast<std::size_t>(index);
  std::size_t reserved = 0;
  std::shared_ptr<Connection> oldest_spare, oldest_sole;
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    const Engine& engine = engines_[i];
    if (i != number && engine.standing == EngineStatus::kReady && engine.connections.empty()) ++reserved;
    for (const auto& connection : engine.connections) {
      if (!connection->idle()) continue;
      const bool spare =
          i == number || engine.connections.size() > 1 || engine.standing != EngineStatus::kReady;
      std::shared_ptr<Connection>& oldest = spare ? oldest_spare : oldest_sole;
      if (!oldest || connection->last_used_at() < oldest->last_used_at()) oldest = connection;
    }
  }
  if (engines_[number].connections.empty()) reserved = 0;
  if (connection_count_ + reserved < limits_.max_connections) return true;
  if (!oldest_spare) oldest_spare = oldest_sole;
  if (!required || !oldest_spare) return false;
  oldest_spare->close({});
  return true;
}

void EnginePool::send(const Dispatch& dispatch) {
  const auto index = static_cast<std::size_t>(dispatch.engine);
  const bool available = index < engines_.size() && engines_[index].standing == EngineStatus::kReady;
  const auto connection =
      available ? pick_connection(dispatch.engine, dispatch.query.id, runs_at_most_once(dispatch.query))
                : nullptr;
  if (!connection)
    return end_unsent_attempt(dispatch.query.id, dispatch.attempt, Outcome::kConnectFailed,
                              EndCause::kNoConnection);
  connection_by_request_[dispatch.query.id] = connection;
  connection->send(dispatch);
}

void EnginePool::end_unsent_attempt(RequestId id, int attempt, Outcome outcome, EndCause cause) {
  connection_by_request_.erase(id);
  coordinator_.attempt_ended({id, attempt, outcome, cause, {}, {}});
}

bool EnginePool::cancel(RequestId id, int attempt) {
  const auto at = connection_by_request_.find(id);
  if (at == connection_by_request_.end()) return false;
  const auto connection = std::move(at->second);
  connection_by_request_.erase(at);
  return connection->give_up(id, attempt);
}

void EnginePool::probe(int engine) {
  const auto connection = pick_connection(engine, std::nullopt);
  if (!connection) return coordinator_.probed({engine, false, Micros{0}, {}});
  connection->probe(++last_probe_number_);
}

void EnginePool::flush() {
  const auto dirty = std::exchange(dirty_, {});
  for (const auto& connection : dirty) connection->write();
}

void EnginePool::remove_connection(int engine, const Connection* connection) {
  connection_count_ -= std::erase_if(engines_[static_cast<std::size_t>(engine)].connections,
                                     [connection](const auto& other) { return other.get() == connection; });
}

void EnginePool::sweep() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](error_code error) {
    if (error) return;
    const Micros now = coordinator_.now();
    for (Engine& engine : engines_) {
      const auto connections = engine.connections;
      for (const auto& connection : connections) connection->sweep(now);
    }
    sweep();
  });
}

}  // namespace steprail
