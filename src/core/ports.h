// The interfaces between the coordinator and the protocols around it: fronts that receive queries and send
// answers, and the engines that run the queries. They are independent of any protocol, so that every front
// shares the same decisions.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/memory_budget.h"
#include "steprail/gateway.h"

namespace steprail {

// Identifies where an answer has to be sent, by the front's own numbers of the client connection and of the
// call on it.
struct ReplyTarget {
  std::uint64_t session{};
  std::int32_t call{};
  int front{};  // index of the front, as returned by Coordinator::attach()
};

// Receives the pages of an attempt as they arrive, for a front that stores results itself. Without a sink the
// engine pool collects the pages and hands them over with the answer, within the platform's limit on the size
// of a result.
class PageSink {
 public:
  enum class Want { kMore, kEnough };
  virtual ~PageSink() = default;
  // The engine has answered with `pages` pages, of which `first` is the first. kEnough: the others are not
  // needed; the engine's session is released, and the attempt still counts as delivered, because it has run
  // to its end.
  virtual Want begin(RequestId id, int attempt, std::size_t pages, std::string_view first) = 0;
  virtual Want page(RequestId id, int attempt, std::size_t number, std::string_view bytes) = 0;
  // The attempt ended before its last page: none of its pages may be used. May be called for an attempt for
  // which begin() was never called.
  virtual void lost(RequestId id, int attempt) = 0;
};

// What an open request takes besides its statement: its entries in the tables and timers.
constexpr std::size_t kRequestOverheadBytes = 1024;

// The text of a query. The connections that write it to engines share it, so that it is in memory once. Its
// charge is returned with the last reference.
using StatementText = std::shared_ptr<const std::string>;
inline StatementText share_statement(std::string_view text, MemoryCharge charge = {}) {
  struct ChargedText {
    std::string text;
    MemoryCharge charge;
  };
  const auto charged = std::make_shared<ChargedText>(ChargedText{std::string(text), std::move(charge)});
  return {charged, &charged->text};
}

struct Query {
  RequestId id{};
  std::string name;        // the id as the client wrote it; sent to engines unchanged
  std::string class_name;  // as the client wrote it
  int cls{};
  int tenant{-1};
  double estimate_ms{};
  double memory_mb{};
  int table_group{-1};
  bool client_retry{};
  Micros received_at{0};  // when the last byte of the request was read, Unix time
  Micros time_limit{0};   // how long the client waits, counted from received_at
  StatementText statement;
  ReplyTarget reply_to;
  PageSink* sink{};                // null: the pages come with the answer
  std::size_t max_result_bytes{};  // only used with a sink
};

enum class Verdict { kServed, kRefused, kFailed };

struct Answer {
  Verdict verdict{Verdict::kFailed};
  Micros retry_after{0};           // refused: after how long to retry; 0: not stated
  std::vector<std::string> pages;  // served: all pages of the result, in order
};

class Front {
 public:
  virtual ~Front() = default;
  virtual void answer(const ReplyTarget& reply_to, Answer answer) = 0;
  virtual void flush() = 0;  // writes what this event loop iteration has produced
};

struct Dispatch {
  const Query& query;
  int attempt{};
  int engine{};
  Micros attempt_deadline{0};  // when the coordinator cancels the attempt, Unix time
  Micros send_before{0};       // the attempt must not be sent after this time, Unix time; 0: no limit
};

struct EngineChange {
  int engine{};
  std::string name;
  std::string address;
  EngineStatus standing{EngineStatus::kReady};
  Micros started_at{0};
};

// Applies the operator's routes to each request before the gateway decides on it. Optional: null if no routes
// are configured.
class Routing {
 public:
  enum class Result { kServed, kFailed, kRefused, kGone };
  virtual ~Routing() = default;
  // Fills in the route fields of `arrival`; ended() follows exactly once for each request.
  virtual void arrived(const Query& query, Arrival& arrival) = 0;
  virtual void ended(RequestId id, Result result) = 0;
  // Called after each change of the engine list; returns the update that the gateway needs, if any.
  virtual std::optional<RoutesUpdate> list_changed(ListMode mode, const std::vector<EngineEntry>& entries,
                                                   const std::vector<EngineChange>& changes) = 0;
};

class Engines {
 public:
  virtual ~Engines() = default;
  virtual void apply_change(const EngineChange& change) = 0;
  virtual void send(const Dispatch& dispatch) = 0;
  // Returns true if nothing of the attempt has been sent, so that it never runs.
  virtual bool cancel(RequestId id, int attempt) = 0;
  virtual void probe(int engine) = 0;
  virtual void flush() = 0;
};

// The event that ended an attempt, for the log. The gateway only receives the outcome.
enum class EndCause {
  kAnswered,         // the whole result was received
  kEngineError,      // EIO
  kEngineFull,       // AGAIN
  kEngineStale,      // STALE
  kNoConnection,     // no connection was available, or it could not be established
  kDrained,          // the engine began to drain before the command was sent
  kConnectionLost,   // closed or reset by the engine
  kEngineReplaced,   // closed by the coordinator: the list shows a later start or another address
  kCommandsUnread,   // closed by the coordinator: the engine did not read its commands
  kMalformedAnswer,  // closed by the coordinator: malformed data on the connection
  kTimedOut,
  kCancelled,  // by the gateway
  kNotSent     // the request had already ended
};

// How an attempt ended, as seen by the engine pool; the coordinator adds the state of the request.
struct AttemptEnd {
  RequestId id{};
  int attempt{};
  Outcome outcome{};
  EndCause cause{};
  LoadReport report;
  std::vector<std::string> pages;  // delivered: all pages of the result
};

}  // namespace steprail
