// steprail: the decisions of one gateway in front of a pool of query engines.
//
// A Gateway is fed events and appends actions; it has no clock, no thread and no randomness of its own beyond
// its seed, so equal events give equal actions. Classes, tenants, zones, kinds and engines are indices into
// the caller's own tables: no name can reach a decision. Times are counted from any fixed origin the caller
// likes.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace steprail {

using Micros = std::chrono::microseconds;
using RequestId = std::uint64_t;

enum class Effect { kRepeatable, kByKey, kOnce };  // what a second run of a request would do
enum class Scope { kAll, kZone, kCell };           // by_key: which engines drop repeats of a request
enum class Registry { kPush, kAsk };               // how the engine list reaches the gateway
enum class Reports { kSilent, kPiggyback, kPull };
enum class Standing { kReady, kDraining, kGone };
enum class ListMode { kIncremental, kFull, kSaved, kFailed };
enum class Outcome { kDelivered, kAppError, kShed, kExpired, kDialFailed, kDropped, kRevoked, kUnused };
enum class Topic { kProgress = 1, kSpills = 2, kWaits = 3 };

struct ClassSettings {
  Micros objective{0};   // answered within this earns the full worth ...
  double aim_stretch{};  // ... plus this times the true work over its threads
  Micros hard_limit{0};  // how long a client waits over all its tries
  double worth{1};
  double late_share{};  // of the worth, for an answer after the aim
  Effect effect{Effect::kRepeatable};
  Scope dedup_scope{Scope::kAll};
  Micros dedup_window{0};
  bool keep_order{};
  bool streamed{};
  bool load{};            // holds its group of tables on its engine while it runs
  bool yields_to_load{};  // stands still while a load holds its group there
  int threads{1};
  std::vector<int> zones{};  // empty: any
  std::vector<int> kinds{};  // empty: any
};

struct TenantSettings {
  double quota_rps{};  // over all gateways together
  double share{};
};

struct KindSettings {
  int cores{1};
  double memory_mb{};  // 0: not told
};

struct Settings {
  int gateways{1};
  int own_number{0};
  int own_zone{-1};
  int zone_count{1};
  std::vector<ClassSettings> classes{};
  std::vector<TenantSettings> tenants{};  // may be empty
  std::vector<KindSettings> kinds{};
  Registry registry{Registry::kPush};
  Reports reports{Reports::kSilent};
  bool may_cancel{};
  bool may_probe{};
  bool may_duplicate{};
  bool retry_after{};
  Micros max_retry_after{0};
  int most_tries{1};
  Micros connect_timeout{0};
  bool memory_heeded{};
  bool priority_heeded{};
  bool tells_cost{};
  double largest_share{1};  // of an engine's memory, that one query gets at most
  Micros progress{0};       // between notes of progress; 0: none come
  double over_share_worth{1};
  double cross_zone_cost{};
  double probe_cost{};
  Micros answer_slack{0};
  Micros ask_within{0};
  Micros drain_grace{0};
  double cold_from{1};
  Micros cold_for{0};
  double overload_factor{1};
  Micros fall_after{0};
  std::optional<double> extra_ratio{};  // absent: further attempts are not rationed
  double free_resends{};
  Micros look_back{0};
  Micros settle_after_doubt{0};
};

// Throws std::invalid_argument naming the first field that makes no sense.
void validate(const Settings& settings);

// ---- Events: what the caller tells the gateway ----

// First event of a gateway's life. It may answer with timers and a subscription.
struct Started {};

struct EngineEntry {
  int engine{};  // the caller's index, equal for the whole life of the gateway
  int zone{};
  int kind{};
  int cell{};
  Standing standing{Standing::kReady};
  double weight{1};
  Micros came_up{0};  // 0: long ago
  std::uint64_t
      name{};  // a hash of its name, equal at every gateway: what they agree on without a word hangs on it
};

// News of the engine list. A full or saved list removes every engine it does not hold.
struct ListNews {
  ListMode mode{ListMode::kFull};
  std::vector<EngineEntry> entries{};
};

// What the operator's routes say of the requests that take them; what is absent is as without routes.
struct RouteFigures {
  int number{};                    // the same for a route's whole life: its ration goes on over a reload
  int most_tries{};                // 0: as the settings say, and never more
  std::vector<Micros> patience{};  // by attempt, the last one for all further ones; empty: the gateway's own
  Micros pause{0};                 // before a further attempt ...
  double jitter{};                 // ... give or take this part of it
  Micros move_after{0};  // an attempt that may run again leaves its engine after so long; 0: never so
  std::optional<double> ration{};  // further attempts for each first one
  double ration_burst{};           // and so many ahead of that
  int pool{-1};                    // of RoutesNews; -1: every engine
  double memory_mb{};              // for each attempt, where memory is heeded; 0: as the gateway sees fit
  int priority{-1};                // 0 to 3, where it is heeded; -1: as the gateway sees fit
};

// The routes as they are from now on; requests that are open keep the figures with which they came, and the
// pools as they are now.
struct RoutesNews {
  std::vector<std::shared_ptr<const RouteFigures>> routes{};
  std::vector<std::vector<bool>> pools{};  // by engine; one that lies beyond is no member
};

// A client's request; the gateway owes it one final answer before `left` has passed.
struct Arrival {
  RequestId id{};
  int cls{};
  int tenant{-1};
  std::optional<std::uint64_t> key{};  // requests of ordered classes with equal keys run in turn
  Micros left{0};
  double estimate_ms{};  // work of all threads together; 0, negative or not finite: no estimate
  double memory_mb{};    // likewise
  int group{-1};         // group of tables
  bool resent{};
  int route{-1};    // of RoutesNews; -1: none
  bool no_place{};  // its route has none for it now
};

// The client quit; attempts still out are closed one by one afterwards.
struct ClientGone {
  RequestId id{};
};

// A streamed answer has begun: the attempt belongs to the client now.
struct FirstByte {
  RequestId id{};
  int attempt{};
};

struct LoadReport {
  std::optional<double> utilisation{};  // share of the cores in use
  std::optional<double> in_flight{};    // queries in hand
  std::optional<double> waiting{};      // queries waiting for memory
  std::optional<double> memory{};       // share of memory granted
  std::optional<double> disks{};        // share of disks busy
};

// How an attempt ended; exactly one for every Send.
struct Closed {
  RequestId id{};
  int attempt{};
  int engine{};
  Outcome outcome{Outcome::kDelivered};
  Micros delay{0};
  bool ended{};           // the request has its final answer
  double true_work_ms{};  // delivered, where costs are told; else 0
  double true_memory_mb{};
  LoadReport report{};
};

// News of a running attempt, where the settings promise notes.
struct Note {
  RequestId id{};
  int attempt{};
  int engine{};
  Topic topic{Topic::kProgress};
  double amount{};
};

struct ProbeResult {
  int engine{};
  bool delivered{};
  Micros delay{0};
  LoadReport report{};
};

// A message of another gateway. No decision depends on these.
struct PeerMessage {
  int from{};
};

struct Alarm {
  std::uint64_t label{};
};

using Event = std::variant<Started, ListNews, RoutesNews, Arrival, ClientGone, FirstByte, Closed, Note,
                           ProbeResult, PeerMessage, Alarm>;

// ---- Actions: what the caller must do, in this order, at the event's own time ----

// Start the request's next attempt (numbered 0, 1, 2 ...). A patience of 0 lasts until the client quits.
struct Send {
  RequestId id{};
  int engine{};
  Micros patience{0};
};
// Memory and priority (0 to 3) for the next attempts; attempts already out take the priority only.
struct Terms {
  RequestId id{};
  double memory_mb{};
  int priority{1};
};
// Stop waiting for an attempt; its Closed still comes.
struct Cancel {
  RequestId id{};
  int attempt{};
};
// Why the gateway gives a final answer without a result.
enum class AnswerReason {
  kRouteFull,     // its route has no place for it
  kLoadsFull,     // the loads of its group have used up the engines' time
  kNoEngine,      // no engine may take it, or has room for it
  kTriesUsedUp,   // by the settings, its route, or a ration
  kDeadlineNear,  // its turn did not come in time
  kDeadlinePassed,
  kHopeless,  // its attempt cannot end in time
  kNotSent    // the caller could not send it
};
// Final answer: refused, a retry does no harm.
struct Refuse {
  RequestId id{};
  Micros wait{0};
  AnswerReason reason{AnswerReason::kNoEngine};
};
// Final answer: failed, with no promise about its effect.
struct Fail {
  RequestId id{};
  AnswerReason reason{AnswerReason::kNoEngine};
};
struct Probe {
  int engine{};
};
struct Subscribe {
  bool active{true};
};
struct FetchList {};
struct Timer {
  Micros due{0};
  std::uint64_t label{};
};
struct Log {
  std::string text;
};

using Action = std::variant<Send, Terms, Cancel, Refuse, Fail, Probe, Subscribe, FetchList, Timer, Log>;

class Gateway {
 public:
  // Throws std::invalid_argument as validate() does.
  Gateway(std::uint64_t seed, Settings settings);
  ~Gateway();
  Gateway(Gateway&&) noexcept;
  Gateway& operator=(Gateway&&) noexcept;

  // Decides on one event and appends to `actions`. `now` never runs backwards. Events on what the gateway
  // does not know, or has finished with, are ignored.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);

  // The bound and backlog of one engine in estimated milliseconds, for tests and dashboards; 0 if unknown.
  double backlog_bound(int engine) const;
  double backlog(int engine) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace steprail
