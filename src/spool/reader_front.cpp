#include "spool/reader_front.h"

#include "net/engine_line.h"
#include "net/query_fields.h"
#include "net/statement.h"
#include "net/thrift.h"

namespace steprail::spool {
namespace {

constexpr std::string_view kColumns = "3";  // of every result of the platform

// Thrown as Overloaded where sending the same again does no harm, else as Internal.
constexpr std::int16_t kAgain = 1, kNotAgain = 2;

struct Refusal {
  const char* code;
  const char* sentence;
  bool again;  // sending the same call again is harmless, and may help
};

Refusal refusal(Access access) {
  switch (access) {
    case Access::kOtherReader:
      return {"other-reader", "another connection reads this result; resume takes it over", false};
    case Access::kNotYet:
      return {"not-yet", "the result is not complete; resume waits for it", true};
    case Access::kBeyond:
      return {"beyond", "there is no such row or page", false};
    default:
      return {"unknown", "there is no such result here", false};
  }
}

Refusal refusal(End end) {
  switch (end) {
    case End::kAcknowledged:
      return {"acknowledged", "the result was acknowledged to its last row and is gone", false};
    case End::kReleased:
      return {"released", "the result was released and is gone", false};
    case End::kInterrupted:
      return {"interrupted", "the request was interrupted by its client", false};
    case End::kRefused:
      return {"refused", "the request was refused; it never ran", true};
    case End::kFailed:
      return {"failed", "the request has failed", false};
    case End::kGivenUp:
      return {"too-late", "the request's give-up time has passed and its result is gone", false};
    case End::kLeaseEnded:
      return {"lease-ended", "nobody came for the result within its lease and it is gone", false};
    case End::kDirect:
      return {"answered", "the result was answered whole at once, as the spool was full", false};
    case End::kFull:
      return {"spool-full", "the result is longer than an answer may be, and the spool has no room", false};
    case End::kTooLong:
      return {"too-long", "the result is longer than any may be here", false};
    default:
      return {"lost", "the result could not be read back from disk", false};
  }
}

}  // namespace

class ReaderFront::Reader : public Session {
 public:
  Reader(ReaderFront& front, tcp::socket socket, std::uint64_t number)
      : Session(front, std::move(socket), number), front_(front) {}

  void refuse(std::int32_t call, std::string_view method, const Refusal& why, bool again,
              thrift::OwnedFields more = {}) {
    more.emplace_back("code", why.code);
    more.emplace_back("reason", why.sentence);
    more.emplace_back("again", again ? "1" : "0");
    push(thrift::declared_exception(call, method, again ? kAgain : kNotAgain, more));
    schedule_write();
  }

  void give(std::int32_t call, std::string_view method, const Window& window, thrift::OwnedFields fields) {
    push(thrift::reply_head(call, method, window.bytes, fields));
    for (const Slice& slice : window.slices) push(slice.page, slice.from, slice.to);
    push(thrift::reply_tail(true, fields));
    schedule_write();
  }

  void give(std::int32_t call, std::string_view method, const Opened& opened) {
    give(call, method, opened.window,
         {{"handle", opened.handle},
          {"columns", std::string(kColumns)},
          {"rows", std::to_string(opened.rows)},
          {"bytes", std::to_string(opened.bytes)},
          {"pages", std::to_string(opened.pages)},
          {"lease", std::to_string(opened.lease.count() / 1000)},
          {"got", std::to_string(opened.window.rows)},
          {"last", opened.window.last() ? "1" : "0"}});
  }

  void done(std::int32_t call) {
    calls_.erase(call);
    restart_idle_timer();
  }

 protected:
  bool has_open_calls() const override { return !calls_.empty() || reading_; }
  // Answers leave in the order of their calls, and a reader holds one window at a time.
  bool calls_blocked() const override { return reading_; }

  void on_closed() override {
    const auto calls = std::exchange(calls_, {});
    for (const auto& [call, id] : calls) {
      const auto at = front_.waiting_.find(id);
      if (at == front_.waiting_.end() || at->second.session != number() || at->second.call != call) continue;
      at->second.session = 0;
      // Nobody can come back for what is not kept.
      if (!at->second.spooled) front_.coordinator_.client_gone(id), front_.waiting_.erase(at);
    }
    front_.spool_.reader_gone(number());
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
      if (!thrift::read_call_args(reader, fields, body)) return false;
      if (method == "submit") {
        submit(message.call, fields, body);
      } else {
        read(message.call, method, fields);
      }
    } else if (call) {
      push(thrift::application_exception(message.call, method, thrift::ApplicationError::kUnknownMethod,
                                         "unknown method"));
      schedule_write();
    }
    return true;
  }

 private:
  void submit(std::int32_t call, const thrift::Fields& fields, std::string_view body) {
    Query query;
    query.statement = body;
    const char* fault = calls_.contains(call)
                            ? "call number in use"
                            : read_query(fields, front_.tables_, front_.coordinator_, query);
    if (fault == nullptr && (front_.spool_.holds(query.id) || front_.waiting_.contains(query.id)))
      fault = "txn in use";
    if (fault != nullptr) {
      push(thrift::declared_exception(call, "submit", kNotAgain,
                                      {{"code", "unusable"}, {"reason", fault}, {"again", "0"}}));
      return schedule_write();
    }
    if (front_.refusing_ || calls_.size() >= front_.limits_.max_open_calls)
      return refuse(call, "submit", {"refused", "nothing new is taken here now", true}, true);
    // Its answer comes back under the request's own number: it may outlive this connection.
    query.reply_to = {query.id, 0, front_.number_};
    query.table_group = table_group(body);
    const bool spooled = front_.spool_.submitted(query.id, query.tenant, number(), query.time_limit);
    if (spooled) {
      query.sink = &front_.spool_;
      query.max_result_bytes = front_.spool_.settings().logic.result_most;
    }
    const auto cls = static_cast<std::size_t>(query.cls);
    const bool repeatable =
        front_.coordinator_.settings().classes[cls].idempotency == Idempotency::kIdempotent;
    front_.waiting_[query.id] = {number(), call, false, spooled, repeatable};
    calls_[call] = query.id;
    front_.coordinator_.arrived(std::move(query));
  }

  void interrupt(std::int32_t call) {
    const auto at = calls_.find(call);
    if (at == calls_.end()) return;  // its answer has crossed it
    const RequestId id = at->second;
    calls_.erase(at);
    front_.waiting_.erase(id);
    front_.spool_.ended(id, End::kInterrupted);
    front_.coordinator_.client_gone(id);
  }

  void read(std::int32_t call, const std::string& method, const thrift::Fields& fields) {
    const auto tenant = front_.tables_.tenants.index(field(fields, "team"));
    if (front_.tables_.tenants.size() > 0 && tenant < 0)
      return refuse(call, method, {"unusable", "team", false}, false);
    const std::string_view handle = field(fields, "handle");
    if (method == "resume") return resume(call, tenant, field(fields, "txn"));
    if (method == "release") {
      const Grant grant = front_.spool_.release(handle, tenant, number());
      return grant.access == Access::kGranted ? give(call, method, Window{}, {}) : deny(call, method, grant);
    }
    if (method == "acknowledge") {
      const auto rows = parse_count(field(fields, "rows"));
      if (!rows) return refuse(call, method, {"unusable", "rows", false}, false);
      const Grant grant =
          front_.spool_.acknowledge(handle, tenant, number(), static_cast<std::uint64_t>(*rows));
      return grant.access == Access::kGranted ? give(call, method, Window{}, {}) : deny(call, method, grant);
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
    // Set before, as the answer may come at once.
    reading_ = true;
    const auto self = weak_from_this();
    const Grant grant =
        front_.spool_.fetch(handle, tenant, number(), {!by_page.empty(), static_cast<std::uint64_t>(*at)},
                            static_cast<Bytes>(*window), [self, call](const Window& window) {
                              const auto session = self.lock();
                              if (!session) return;
                              auto& reader = static_cast<Reader&>(*session);
                              reader.reading_ = false;
                              if (reader.closed()) return;
                              reader.fetched(call, window);
                              reader.resume_calls();
                            });
    if (grant.access == Access::kGranted) return;
    reading_ = false;
    deny(call, "fetch", grant);
  }

  void fetched(std::int32_t call, const Window& window) {
    restart_idle_timer();
    if (window.error == StoreError::kUnknown) return refuse(call, "fetch", refusal(End::kLeaseEnded), false);
    if (window.error == StoreError::kBusy)
      return refuse(call, "fetch", {"busy", "no descriptor is free to read it with; ask again", true}, true);
    if (window.error != StoreError::kNone) return refuse(call, "fetch", refusal(End::kLost), false);
    give(call, "fetch", window,
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
    if (grant.access == Access::kNotYet) {
      const auto at = front_.waiting_.find(*id);
      if (at == front_.waiting_.end()) return refuse(call, "resume", refusal(End::kFailed), false);
      Waiting& waiting = at->second;
      // Whoever waited so far is told, and its connection is of no further use to this request.
      if (auto* other = static_cast<Reader*>(front_.find_session(waiting.session))) {
        other->refuse(waiting.call, waiting.resumed ? "resume" : "submit", refusal(Access::kOtherReader),
                      false);
        other->done(waiting.call);
      }
      waiting.session = number();
      waiting.call = call;
      waiting.resumed = true;
      calls_[call] = *id;
      return;
    }
    if (grant.access != Access::kGranted) return deny(call, "resume", grant);
    reading_ = true;
    const auto self = weak_from_this();
    front_.spool_.reopen(*id, [self, call](const Opened& opened) {
      const auto session = self.lock();
      if (!session) return;
      auto& reader = static_cast<Reader&>(*session);
      reader.reading_ = false;
      if (reader.closed()) return;
      reader.restart_idle_timer();
      if (opened.how == Opened::How::kHandle) {
        reader.give(call, "resume", opened);
      } else {
        reader.refuse(call, "resume", refusal(opened.why), false);
      }
      reader.resume_calls();
    });
  }

  void deny(std::int32_t call, std::string_view method, const Grant& grant) {
    const Refusal why = grant.access == Access::kEnded ? refusal(grant.end) : refusal(grant.access);
    refuse(call, method, why, why.again);
  }

  friend class ReaderFront;
  ReaderFront& front_;
  std::unordered_map<std::int32_t, RequestId> calls_;  // that wait for a request's answer
  bool reading_{false};
};

ReaderFront::ReaderFront(Strand strand, Coordinator& coordinator, EventLog& log, const NameTables& tables,
                         Spool& spool, Limits limits)
    : FramedServer(strand, coordinator, log, limits),
      tables_(tables),
      spool_(spool),
      number_(coordinator.attach(*this)) {}

std::shared_ptr<FramedServer::Session> ReaderFront::create_session(tcp::socket socket, std::uint64_t number) {
  return std::make_shared<Reader>(*this, std::move(socket), number);
}

void ReaderFront::answer(const ReplyTarget& ticket, Answer answer) {
  const RequestId id = ticket.session;
  const auto at = waiting_.find(id);
  if (at == waiting_.end()) return;
  const Waiting waiting = at->second;
  waiting_.erase(at);
  auto* reader = static_cast<Reader*>(find_session(waiting.session));
  const char* method = waiting.resumed ? "resume" : "submit";
  if (reader != nullptr) reader->done(waiting.call);
  if (answer.verdict != Verdict::kServed) {
    const bool refused = answer.verdict == Verdict::kRefused;
    const End why = refused ? End::kRefused : End::kFailed;
    if (waiting.spooled) spool_.ended(id, why);
    if (reader == nullptr) return;
    thrift::OwnedFields more;
    if (answer.retry_after.count() >= 1000)
      more.emplace_back("later", std::to_string(answer.retry_after.count() / 1000));
    return reader->refuse(waiting.call, method, refusal(why), refused || waiting.repeatable, std::move(more));
  }
  if (waiting.spooled) {
    return spool_.delivered(id, [&](const Opened& opened) { tell(waiting, opened); });
  }
  // Without the spool: as the platform's service answers, all at once.
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
  Opened opened;
  opened.rows = rows;
  opened.bytes = window.bytes;
  opened.pages = answer.pages.size();
  opened.window = std::move(window);
  reader->give(waiting.call, method, opened);
}

void ReaderFront::tell(const Waiting& to, const Opened& opened) {
  auto* reader = static_cast<Reader*>(find_session(to.session));
  if (reader == nullptr) return;
  const char* method = to.resumed ? "resume" : "submit";
  if (opened.how == Opened::How::kNothing) {
    reader->refuse(to.call, method, refusal(opened.why), to.repeatable && opened.why == End::kFull);
  } else {
    reader->give(to.call, method, opened);
  }
}

}  // namespace steprail::spool
