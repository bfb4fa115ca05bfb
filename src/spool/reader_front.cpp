#include "spool/reader_front.h"

#include "net/engine_line.h"
#include "net/query_fields.h"
#include "net/statement.h"
#include "net/thrift.h"

namespace steprail::spool {
namespace {

constexpr std::string_view kColumns = "3";  // number of columns, the same for every result of the platform

// Sent as exception Overloaded if the same call can safely be sent again, otherwise as Internal.
constexpr std::int16_t kRetryable = 1, kNotRetryable = 2;

struct Refusal {
  const char* code;
  const char* sentence;
  bool retryable;  // the same call can safely be sent again, and may succeed
};

Refusal refusal_for(Access access) {
  switch (access) {
    case Access::kOtherReader:
      return {"other-reader", "another connection reads this result; resume takes it over", false};
    case Access::kIncomplete:
      return {"not-yet", "the result is not complete; resume waits for it", true};
    case Access::kOutOfRange:
      return {"beyond", "there is no such row or page", false};
    default:
      return {"unknown", "there is no such result here", false};
  }
}

Refusal refusal_for(EndReason end) {
  switch (end) {
    case EndReason::kAcknowledged:
      return {"acknowledged", "the result was acknowledged to its last row and is gone", false};
    case EndReason::kReleased:
      return {"released", "the result was released and is gone", false};
    case EndReason::kInterrupted:
      return {"interrupted", "the request was interrupted by its client", false};
    case EndReason::kRefused:
      return {"refused", "the request was refused; it never ran", true};
    case EndReason::kFailed:
      return {"failed", "the request has failed", false};
    case EndReason::kGivenUp:
      return {"too-late", "the request's give-up time has passed and its result is gone", false};
    case EndReason::kLeaseEnded:
      return {"lease-ended", "nobody came for the result within its lease and it is gone", false};
    case EndReason::kAnsweredDirectly:
      return {"answered", "the result was written whole to its reader, as the spool was full", false};
    case EndReason::kSpoolFull:
      return {"spool-full", "the result is longer than an answer may be, and the spool has no room", false};
    case EndReason::kTooLong:
      return {"too-long", "the result is longer than any may be here", false};
    default:
      return {"lost", "the result could not be read back from disk", false};
  }
}

}  // namespace

class ReaderFront::ReaderSession : public Session {
 public:
  ReaderSession(ReaderFront& front, tcp::socket socket, std::uint64_t number)
      : Session(front, std::move(socket), number), front_(front) {}

  void refuse(std::int32_t call, std::string_view method, const Refusal& refusal, bool retryable,
              thrift::OwnedFields more = {}) {
    more.emplace_back("code", refusal.code);
    more.emplace_back("reason", refusal.sentence);
    more.emplace_back("again", retryable ? "1" : "0");
    push(thrift::declared_exception(call, method, retryable ? kRetryable : kNotRetryable, more));
    schedule_write();
  }

  void send(std::int32_t call, std::string_view method, const Window& window, thrift::OwnedFields fields) {
    push(thrift::reply_head(call, method, window.bytes, fields));
    for (const Slice& slice : window.slices) push(slice.page, slice.from, slice.to);
    push(thrift::reply_tail(true, fields));
    schedule_write();
  }

  void send(std::int32_t call, std::string_view method, const Delivery& delivery) {
    send(call, method, delivery.window,
         {{"handle", delivery.handle},
          {"columns", std::string(kColumns)},
          {"rows", std::to_string(delivery.rows)},
          {"bytes", std::to_string(delivery.bytes)},
          {"pages", std::to_string(delivery.pages)},
          {"lease", std::to_string(delivery.lease.count() / 1000)},
          {"got", std::to_string(delivery.window.rows)},
          {"last", delivery.window.last() ? "1" : "0"}});
  }

  // Sends a result that the spool has no room for. It is kept until it has been written.
  void send_whole(std::int32_t call, std::string_view method, RequestId id, const Delivery& delivery) {
    unwritten_results_.push_back(id);
    send(call, method, delivery);
  }

  void call_done(std::int32_t call) {
    calls_.erase(call);
    restart_idle_timer();
  }

 protected:
  std::size_t open_call_count() const override { return calls_.size() + (fetching_ ? 1 : 0); }
  // Answers are sent in the order of the calls, and a reader holds one window at a time.
  bool calls_blocked() const override { return fetching_; }

  void on_written_out() override {
    const auto written = std::exchange(unwritten_results_, {});
    for (const RequestId id : written) front_.spool_.whole_answer_written(id);
  }

  void on_closed() override {
    const auto calls = std::exchange(calls_, {});
    for (const auto& [call, id] : calls) {
      const auto at = front_.pending_.find(id);
      if (at == front_.pending_.end() || at->second.session != number() || at->second.call != call) continue;
      at->second.session = 0;
      // Without the spool the result is not kept, so nobody can resume it.
      if (!at->second.spooled) front_.coordinator_.client_gone(id), front_.pending_.erase(at);
    }
    front_.spool_.reader_disconnected(number());
  }

  bool handle_frame(std::string_view frame) override {
    thrift::Reader reader(frame);
    thrift::Message message;
    if (!thrift::read_message_head(reader, message)) return false;
    const bool call = message.kind == thrift::Kind::kCall;
    if (!call && message.kind != thrift::Kind::kOneway) return false;
    const std::string method(message.method);
    if (method == "interrupt") {
      std::int32_t which = 0;
      if (!thrift::read_interrupt_args(reader, which)) return false;
      interrupt(which);
    } else if (method == "check") {
      push(thrift::reply_head(message.call, method, 0));
      push(thrift::reply_tail(front_.ready_));
      schedule_write();
    } else if (method == "submit" || method == "resume" || method == "fetch" || method == "acknowledge" ||
               method == "release") {
      thrift::Fields fields;
      std::string_view body;
      const thrift::CallArgs args = thrift::read_call_args(reader, fields, body);
      if (args == thrift::CallArgs::kMalformed) return false;
      if (args == thrift::CallArgs::kTooManyFields)
        return reject(message.call, method, "too many fields"), true;
      if (method == "submit") {
        submit(message.call, fields, body);
      } else {
        handle_result_call(message.call, method, fields);
      }
    } else if (call) {
      push(thrift::application_exception(message.call, method, thrift::ApplicationError::kUnknownMethod,
                                         "unknown method"));
      schedule_write();
    }
    return true;
  }

  FrameRefusal refuse_frame(std::string_view beginning) override {
    thrift::Reader reader(beginning);
    thrift::Message message;
    if (!thrift::read_message_head(reader, message) || message.method != "submit")
      return FrameRefusal::kMalformed;
    thrift::Fields fields;
    std::string_view body;
    const thrift::CallArgs args =
        thrift::read_call_args(reader, fields, body);  // as far as it has been received
    if (args == thrift::CallArgs::kTooManyFields)
      return reject(message.call, "submit", "too many fields"), FrameRefusal::kAnswered;
    if (!request_id(fields)) return FrameRefusal::kUndecided;
    refuse_for_memory(message.call, fields);
    return FrameRefusal::kAnswered;
  }

 private:
  void submit(std::int32_t call, const thrift::Fields& fields, std::string_view body) {
    auto charge = charge_request(body.size());
    if (!charge) return refuse_for_memory(call, fields);
    Query query;
    query.statement = share_statement(body, std::move(*charge));
    const char* fault = calls_.contains(call)
                            ? "call number in use"
                            : read_query(fields, front_.tables_, front_.coordinator_, query);
    if (fault == nullptr && (front_.spool_.contains(query.id) || front_.pending_.contains(query.id)))
      fault = "txn in use";
    if (fault != nullptr) return reject(call, "submit", fault);
    if (front_.refusing_ || calls_.size() >= front_.limits_.max_open_calls ||
        !front_.coordinator_.has_room_for(query.cls))
      return refuse_new(call);
    // The answer is routed by the request's id, as the request may outlive this connection.
    query.reply_to = {query.id, 0, front_.front_number_};
    query.table_group = table_group(body);
    // A short result is kept for a reader that has dropped, however full the spool is by then.
    auto reserve = charge_memory(front_.spool_.settings().logic.max_direct_bytes);
    if (!reserve) return refuse_new(call);
    const bool spooled =
        front_.spool_.add_request(query.id, query.tenant, number(), query.time_limit, std::move(*reserve));
    if (spooled) {
      query.sink = &front_.spool_;
      query.max_result_bytes = front_.spool_.settings().logic.max_result_bytes;
    }
    const auto cls = static_cast<std::size_t>(query.cls);
    const bool repeatable =
        front_.coordinator_.settings().classes[cls].idempotency == Idempotency::kIdempotent;
    front_.pending_[query.id] = {number(), call, false, spooled, repeatable};
    calls_[call] = query.id;
    front_.coordinator_.arrived(std::move(query));
  }

  // A request that may have run is not refused: its client would send it again.
  void refuse_for_memory(std::int32_t call, const thrift::Fields& fields) {
    const auto id = request_id(fields);
    const bool known = id && (front_.coordinator_.may_have_run(*id) || front_.spool_.contains(*id) ||
                              front_.pending_.contains(*id));
    if (known) return reject(call, "submit", "txn may have run");
    refuse_new(call);
  }

  void reject(std::int32_t call, std::string_view method, const char* reason) {
    push(thrift::declared_exception(call, method, kNotRetryable,
                                    {{"code", "unusable"}, {"reason", reason}, {"again", "0"}}));
    schedule_write();
  }

  void refuse_new(std::int32_t call) {
    refuse(call, "submit", {"refused", "nothing new is taken here now", true}, true);
  }

  void interrupt(std::int32_t call) {
    const auto at = calls_.find(call);
    if (at == calls_.end()) return;  // the answer was sent before the interrupt arrived
    const RequestId id = at->second;
    calls_.erase(at);
    front_.pending_.erase(id);
    front_.spool_.end_request(id, EndReason::kInterrupted);
    front_.coordinator_.client_gone(id);
  }

  void handle_result_call(std::int32_t call, const std::string& method, const thrift::Fields& fields) {
    const auto tenant = front_.tables_.tenants.index(field(fields, "team"));
    if (front_.tables_.tenants.size() > 0 && tenant < 0)
      return refuse(call, method, {"unusable", "team", false}, false);
    const std::string_view handle = field(fields, "handle");
    if (method == "resume") return resume(call, tenant, field(fields, "txn"));
    if (method == "release") {
      const Grant grant = front_.spool_.release(handle, tenant, number());
      return grant.access == Access::kGranted ? send(call, method, Window{}, {}) : deny(call, method, grant);
    }
    if (method == "acknowledge") {
      const auto rows = parse_count(field(fields, "rows"));
      if (!rows) return refuse(call, method, {"unusable", "rows", false}, false);
      const Grant grant =
          front_.spool_.acknowledge(handle, tenant, number(), static_cast<std::uint64_t>(*rows));
      return grant.access == Access::kGranted ? send(call, method, Window{}, {}) : deny(call, method, grant);
    }
    fetch(call, handle, tenant, fields);
  }

  void fetch(std::int32_t call, std::string_view handle, int tenant, const thrift::Fields& fields) {
    const std::string_view by_row = field(fields, "row"), by_page = field(fields, "page"),
                           window_text = field(fields, "window");
    const auto at = parse_count(by_page.empty() ? by_row : by_page);
    const auto window = window_text.empty() ? std::optional<std::int64_t>(0) : parse_count(window_text);
    if (!at || !window || by_row.empty() == by_page.empty())
      return refuse(call, "fetch", {"unusable", "row, page or window", false}, false);
    // Set first, since the callback may run at once.
    fetching_ = true;
    const auto self = weak_from_this();
    const Grant grant =
        front_.spool_.fetch(handle, tenant, number(), {!by_page.empty(), static_cast<std::uint64_t>(*at)},
                            static_cast<Bytes>(*window), [self, call](const Window& window) {
                              const auto session = self.lock();
                              if (!session) return;
                              auto& reader = static_cast<ReaderSession&>(*session);
                              reader.fetching_ = false;
                              if (reader.closed()) return;
                              reader.send_fetched(call, window);
                              reader.resume_calls();
                            });
    if (grant.access == Access::kGranted) return;
    fetching_ = false;
    deny(call, "fetch", grant);
  }

  void send_fetched(std::int32_t call, const Window& window) {
    restart_idle_timer();
    if (window.error == StoreError::kUnknown)
      return refuse(call, "fetch", refusal_for(EndReason::kLeaseEnded), false);
    if (window.error == StoreError::kBusy)
      return refuse(call, "fetch", {"busy", "no descriptor is free to read it with; ask again", true}, true);
    if (window.error != StoreError::kNone) return refuse(call, "fetch", refusal_for(EndReason::kLost), false);
    send(call, "fetch", window,
         {{"row", std::to_string(window.first_row)},
          {"got", std::to_string(window.rows)},
          {"rows", std::to_string(window.total_rows)},
          {"last", window.last() ? "1" : "0"}});
  }
  void resume_calls() { Session::resume_reading(); }

  void resume(std::int32_t call, int tenant, std::string_view txn) {
    const auto id = parse_request_id(txn);
    if (!id || calls_.contains(call)) return refuse(call, "resume", {"unusable", "txn", false}, false);
    const Grant grant = front_.spool_.resume(*id, tenant, number());
    if (grant.access == Access::kIncomplete) {
      const auto at = front_.pending_.find(*id);
      if (at == front_.pending_.end()) return refuse(call, "resume", refusal_for(EndReason::kFailed), false);
      PendingAnswer& waiting = at->second;
      // The call that waited until now is refused: the request's answer goes to the new connection.
      if (auto* other = static_cast<ReaderSession*>(front_.find_session(waiting.session))) {
        other->refuse(waiting.call, waiting.resumed ? "resume" : "submit", refusal_for(Access::kOtherReader),
                      false);
        other->call_done(waiting.call);
      }
      waiting.session = number();
      waiting.call = call;
      waiting.resumed = true;
      calls_[call] = *id;
      return;
    }
    if (grant.access != Access::kGranted) return deny(call, "resume", grant);
    fetching_ = true;
    const auto self = weak_from_this();
    front_.spool_.reopen(*id, [self, call](const Delivery& delivery) {
      const auto session = self.lock();
      if (!session) return;
      auto& reader = static_cast<ReaderSession&>(*session);
      reader.fetching_ = false;
      if (reader.closed()) return;
      reader.restart_idle_timer();
      if (delivery.kind == Delivery::Kind::kHandle) {
        reader.send(call, "resume", delivery);
      } else {
        reader.refuse(call, "resume", refusal_for(delivery.reason), false);
      }
      reader.resume_calls();
    });
  }

  void deny(std::int32_t call, std::string_view method, const Grant& grant) {
    const Refusal refusal =
        grant.access == Access::kEnded ? refusal_for(grant.end_reason) : refusal_for(grant.access);
    refuse(call, method, refusal, refusal.retryable);
  }

  friend class ReaderFront;
  ReaderFront& front_;
  std::unordered_map<std::int32_t, RequestId> calls_;  // calls that wait for a request's answer
  std::vector<RequestId> unwritten_results_;           // sent whole, and not yet written to the socket
  bool fetching_{false};
};

ReaderFront::ReaderFront(Strand strand, Coordinator& coordinator, EventLog& log, const NameTables& tables,
                         Spool& spool, Limits limits, std::shared_ptr<MemoryBudget> request_memory)
    : FramedServer(strand, coordinator, log, limits, std::move(request_memory)),
      tables_(tables),
      spool_(spool),
      front_number_(coordinator.attach(*this)) {}

std::shared_ptr<FramedServer::Session> ReaderFront::create_session(tcp::socket socket, std::uint64_t number) {
  return std::make_shared<ReaderSession>(*this, std::move(socket), number);
}

void ReaderFront::answer(const ReplyTarget& ticket, Answer answer) {
  const RequestId id = ticket.session;
  const auto at = pending_.find(id);
  if (at == pending_.end()) return;
  const PendingAnswer waiting = at->second;
  pending_.erase(at);
  auto* reader = static_cast<ReaderSession*>(find_session(waiting.session));
  const char* method = waiting.resumed ? "resume" : "submit";
  if (reader != nullptr) reader->call_done(waiting.call);
  if (answer.verdict != Verdict::kServed) {
    const bool refused = answer.verdict == Verdict::kRefused;
    const EndReason reason = refused ? EndReason::kRefused : EndReason::kFailed;
    if (waiting.spooled) spool_.end_request(id, reason);
    if (reader == nullptr) return;
    thrift::OwnedFields fields;
    if (answer.retry_after.count() >= 1000)
      fields.emplace_back("later", std::to_string(answer.retry_after.count() / 1000));
    return reader->refuse(waiting.call, method, refusal_for(reason), refused || waiting.repeatable,
                          std::move(fields));
  }
  if (waiting.spooled) {
    const auto overflow = reader != nullptr ? Spool::Overflow::kAnswerWhole : Spool::Overflow::kKeep;
    return spool_.complete(id, overflow, [&](const Delivery& delivery) { deliver(waiting, id, delivery); });
  }
  // Without the spool the whole result is sent at once, as the platform's service does.
  if (reader == nullptr) return;
  Window window;
  std::uint64_t rows = 0;
  for (std::string& page : answer.pages) {
    rows += static_cast<std::uint64_t>(std::count(page.begin(), page.end(), '\n'));
    const auto one = std::make_shared<const std::string>(std::move(page));
    window.bytes += one->size();
    window.slices.push_back({one, 0, one->size()});
  }
  window.rows = window.total_rows = rows;
  Delivery delivery;
  delivery.rows = rows;
  delivery.bytes = window.bytes;
  delivery.pages = answer.pages.size();
  delivery.window = std::move(window);
  reader->send(waiting.call, method, delivery);
}

void ReaderFront::deliver(const PendingAnswer& to, RequestId id, const Delivery& delivery) {
  auto* reader = static_cast<ReaderSession*>(find_session(to.session));
  if (reader == nullptr) return;
  const char* method = to.resumed ? "resume" : "submit";
  if (delivery.kind == Delivery::Kind::kNone) {
    reader->refuse(to.call, method, refusal_for(delivery.reason),
                   to.repeatable && delivery.reason == EndReason::kSpoolFull);
  } else if (delivery.kind == Delivery::Kind::kWhole) {
    reader->send_whole(to.call, method, id, delivery);
  } else {
    reader->send(to.call, method, delivery);
  }
}

}  // namespace steprail::spool
