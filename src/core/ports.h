// What the coordinator knows of the protocols around it: a front that takes queries and gives answers, and
// engines that run them. Neither names a protocol, so that a second front can use the same decisions.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "steprail/gateway.h"

namespace steprail {

// Where an answer goes: a front's own numbers for a client's connection and the call on it.
struct Ticket {
  std::uint64_t session{};
  std::int32_t call{};
  int front{};  // which of the coordinator's fronts, as Coordinator::attach() has numbered it
};

// Takes the pages of an attempt as they come in, for a front that keeps results itself. Without one the
// engines gather them and they come with the answer, within the platform's bound on a result.
class PageSink {
 public:
  enum class Want { kMore, kEnough };
  virtual ~PageSink() = default;
  // The attempt's answer is there: so many pages, and the first of them. kEnough: the others are of no use;
  // the engine is let go, and the attempt counts as delivered all the same, for it has run to its end.
  virtual Want begin(RequestId id, int attempt, std::size_t pages, std::string_view first) = 0;
  virtual Want page(RequestId id, int attempt, std::size_t number, std::string_view bytes) = 0;
  // The attempt is over without its last page: nothing of it may be used. May be said of one that never
  // began.
  virtual void lost(RequestId id, int attempt) = 0;
};

struct Query {
  RequestId id{};
  std::string name;        // the id as the client wrote it; engines get it unchanged
  std::string class_name;  // likewise
  int cls{};
  int tenant{-1};
  double estimate_ms{};
  double memory_mb{};
  int group{-1};
  bool resent{};
  Micros taken{0};  // when its last byte was read, Unix time
  Micros limit{0};  // how long the client waits from then on
  std::string statement;
  Ticket ticket;
  PageSink* sink{};           // null: pages come with the answer
  std::size_t result_most{};  // bytes, where there is a sink
};

enum class Verdict { kServed, kRefused, kFailed };

struct Answer {
  Verdict verdict{Verdict::kFailed};
  Micros come_back{0};             // refused: when to try again; 0: no advice
  std::vector<std::string> pages;  // served: the whole result, in order
};

class Front {
 public:
  virtual ~Front() = default;
  virtual void answer(const Ticket& ticket, Answer answer) = 0;
  virtual void flush() = 0;  // writes out what the turn has produced
};

struct Dispatch {
  const Query& query;
  int attempt{};
  int engine{};
  Micros patience{0};  // how long the coordinator will wait
};

struct EngineChange {
  int engine{};
  std::string name;
  std::string address;
  EngineStatus standing{EngineStatus::kReady};
  Micros came_up{0};
};

// What the operator's routes say of each request, on its way to the module. Not there: as without routes.
class Routing {
 public:
  enum class How { kServed, kFailed, kRefused, kGone };
  virtual ~Routing() = default;
  // Fills in what concerns routes; left() follows exactly once.
  virtual void arrived(const Query& query, Arrival& arrival) = 0;
  virtual void left(RequestId id, How how) = 0;
  // The list as it has just changed; what the module has to hear of it, if anything.
  virtual std::optional<RoutesUpdate> listed(ListMode mode, const std::vector<EngineEntry>& entries,
                                             const std::vector<EngineChange>& changes) = 0;
};

class Engines {
 public:
  virtual ~Engines() = default;
  virtual void list(const EngineChange& change) = 0;
  virtual void send(const Dispatch& dispatch) = 0;
  virtual void give_up(RequestId id, int attempt) = 0;
  virtual void probe(int engine) = 0;
  virtual void flush() = 0;
};

// The event that ended an attempt. The module hears of the outcome alone; this is for the log.
enum class EndCause {
  kAnswered,        // the whole result is here
  kEngineError,     // EIO
  kEngineFull,      // AGAIN
  kEngineStale,     // STALE
  kNoConnection,    // none could be had, or it did not come up
  kDrained,         // the engine began to drain before the command had left
  kConnectionLost,  // closed or reset by the engine
  kEngineReplaced,  // closed here, as the list tells of a later start or another address
  kCommandsUnread,  // closed here, as the engine did not read
  kSpoiltAnswer,    // closed here, as something on the connection could not be used
  kTimedOut,
  kCalledOff,  // by the module
  kNotSent     // the request had ended
};

// How an attempt ended, in the engines' words; the coordinator adds what the request's state says.
struct AttemptEnd {
  RequestId id{};
  int attempt{};
  Outcome outcome{};
  EndCause cause{};
  LoadReport report;
  std::vector<std::string> pages;  // delivered: all of them
};

}  // namespace steprail
