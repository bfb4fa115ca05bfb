// steprail: the decision module of one gateway in front of a pool of query engines.
//
// A Gateway consumes events and appends actions. It has no clock and no thread, and its only randomness comes
// from its seed, so equal sequences of events give equal actions. Classes, tenants, zones, kinds and engines
// are indices into the caller's own tables, so that no decision can depend on a name. Points in time are
// counted from any fixed origin that the caller chooses.
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

// Whether a request may run a second time: always, where an engine drops the repeat by its key, or never.
enum class Idempotency { kIdempotent, kByKey, kNone };
// Idempotency::kByKey: the engines that drop repeats of a request that one of them has run.
enum class DedupScope { kAll, kZone, kCell };
// How the engine list reaches the gateway: unasked, or after a Subscribe action.
enum class RegistryMode { kPush, kSubscribe };
// How load reports reach the gateway: not at all, with answers, or on request.
enum class ReportMode { kNone, kPiggyback, kPull };
enum class EngineStatus { kReady, kDraining, kGone };
enum class ListMode { kIncremental, kFull, kSaved, kFailed };
// How an attempt ended. After kRejected, kConnectFailed and kNotSent it is certain that the engine did not
// run it.
enum class Outcome {
  kDelivered,
  kAppError,  // the engine answered with an error
  kRejected,  // the engine had no room for it
  kTimedOut,
  kConnectFailed,
  kConnectionLost,
  kCancelled,
  kNotSent  // the caller did not send it
};
// What a ProgressReport::value means.
enum class ProgressTopic {
  kProgress = 1,  // part of the work that is done, 0 to 1
  kSpill = 2,     // memory overflows to disk
  kWaiting = 3    // the query is queued; 2 or more: a load holds its table group on the engine
};

// Properties of the requests of one class. A request's target time is `objective` plus `aim_stretch` times
// its actual work divided by `threads`.
struct ClassSettings {
  Micros objective{0};
  double aim_stretch{};
  Micros hard_limit{0};  // how long a client waits, over all its retries
  double worth{1};       // of an answer within the target time
  double late_share{};   // part of the worth that an answer after the target time has, 0 to 1
  Idempotency idempotency{Idempotency::kIdempotent};
  DedupScope dedup_scope{DedupScope::kAll};
  Micros dedup_window{0};  // how long engines remember a request in order to drop its repeats
  bool keep_order{};       // requests with equal keys run one at a time, in the order of arrival
  bool streamed{};         // answers are streamed, see FirstByte
  bool is_load{};          // occupies its table group on its engine while it runs
  bool yields_to_load{};   // stands still while a load occupies its table group on its engine
  int threads{1};
  std::vector<int> zones{};  // in which it may run; empty: any
  std::vector<int> kinds{};  // of engines on which it may run; empty: any
};

struct TenantSettings {
  double quota_rps{};  // requests per second over all gateways together; 0: no quota
  double share{};      // relative weight where tenants compete for a route's places, 0 to 1
};

// A kind of engines.
struct KindSettings {
  int cores{1};
  double memory_mb{};  // 0: unknown
};

struct Settings {
  int gateways{1};   // that share the engines
  int own_index{0};  // of this one among them
  int own_zone{-1};  // -1: unknown
  int zone_count{1};
  std::vector<ClassSettings> classes{};
  std::vector<TenantSettings> tenants{};  // may be empty
  std::vector<KindSettings> kinds{};
  RegistryMode registry_mode{RegistryMode::kPush};
  ReportMode report_mode{ReportMode::kNone};
  bool may_cancel{};
  bool may_probe{};
  bool may_duplicate{};         // not read: no request has two attempts in flight
  bool may_send_retry_after{};  // a refusal may tell the client when to retry
  Micros max_retry_after{0};
  int max_attempts{1};          // of one request
  Micros connect_timeout{0};    // for the caller's connections to engines
  bool honors_memory{};         // engines heed SetResources::memory_mb
  bool honors_priority{};       // engines heed SetResources::priority
  bool reports_cost{};          // AttemptClosed has the actual work and memory
  double max_memory_share{1};   // of an engine's memory, for one query
  Micros progress_interval{0};  // between progress reports of an attempt; 0: there are none
  double over_share_worth{1};   // part of the worth that remains for a tenant over its quota, 0 to 1
  double cross_zone_cost{};     // price of a send to another zone; lowers the probability of such sends
  double probe_cost{};          // price of a probe
  Micros answer_slack{0};       // not read by decisions
  Micros ask_within{0};         // not read by decisions
  Micros drain_grace{0};        // not read by decisions
  double slow_start_share{1};   // part of its capacity that an engine has after its start ...
  Micros slow_start_time{0};    // ... and for how long
  double overload_factor{1};    // a starting engine is sent at most this times its reduced capacity ...
  Micros overload_window{0};    // ... in any window of this length, by all gateways together
  // Retry budget: within any `retry_budget_window` at most `retry_budget_base` further attempts plus
  // `retry_budget_ratio` for each request that arrived in it. Without a ratio their number is not limited.
  std::optional<double> retry_budget_ratio{};
  double retry_budget_base{};
  Micros retry_budget_window{0};
  // After an attempt whose effect is unknown, how long its key's next request waits
  // (ClassSettings::keep_order).
  Micros settle_time{0};
};

// Throws std::invalid_argument naming the first invalid field. Five fields are named by their keys in the
// settings file: most_tries (max_attempts), largest_share (max_memory_share), cold_from (slow_start_share),
// extra_ratio (retry_budget_ratio) and free_resends (retry_budget_base).
void validate(const Settings& settings);

// ---- Events: what the caller reports to the gateway ----

// The first event that a gateway gets. The gateway may respond with timers and a subscription.
struct Started {};

struct EngineEntry {
  int engine{};  // the caller's index; free for another engine once this one is gone
  int zone{};
  int kind{};
  int cell{};  // engines of one cell share their record of requests (DedupScope::kCell)
  EngineStatus status{EngineStatus::kReady};
  double weight{1};
  Micros started_at{0};  // 0: long ago
  // Hash of the engine's name. It is equal at every gateway: choices that all gateways make alike without
  // communicating are derived from it.
  std::uint64_t name_hash{};
};

// A change of the engine list. A full or saved list removes every engine that it does not contain; kFailed
// reports that the list could not be had.
struct ListUpdate {
  ListMode mode{ListMode::kFull};
  std::vector<EngineEntry> entries{};
};

// What the operator's file prescribes for the requests of one route. Defaults are as without a route.
struct RouteParameters {
  int id{};            // stable over reloads, so that the retry budget carries over
  int max_attempts{};  // 0: as in Settings, which is the upper bound in any case
  // By attempt, the last one for all further ones; empty: the gateway's own.
  std::vector<Micros> attempt_timeouts{};
  Micros retry_delay{0};  // before a further attempt ...
  double retry_jitter{};  // ... give or take this part of it, at random
  // After this time an attempt that is still in flight is cancelled and the request is sent to another
  // engine, where it is idempotent and has attempts left; 0: never.
  Micros move_after{0};
  // Further attempts for each request; absent: the route has no budget of its own.
  std::optional<double> retry_budget_ratio{};
  double retry_budget_burst{};  // most that the budget holds, and what it starts with
  int pool{-1};                 // index into RoutesUpdate::pools; -1: every engine
  double memory_mb{};           // for each attempt, where engines honor it; 0: the gateway decides
  int priority{-1};             // 0 to 3, where engines honor it; -1: the gateway decides
};

// Replaces all routes and pools. Requests that are open keep the parameters with which they came; the pools
// apply to them as they are now.
struct RoutesUpdate {
  std::vector<std::shared_ptr<const RouteParameters>> routes{};
  std::vector<std::vector<bool>> pools{};  // by pool, then by engine; an engine beyond the end is no member
};

// A client's request. The gateway owes it one final answer before `remaining` has passed.
struct Arrival {
  RequestId id{};
  int cls{};
  int tenant{-1};
  // Of a class with ClassSettings::keep_order: requests with equal keys run one at a time.
  std::optional<std::uint64_t> key{};
  Micros remaining{0};   // time until the deadline
  double estimate_ms{};  // work of all threads together; not positive or not finite: no estimate
  double memory_mb{};    // estimate; not positive or not finite: none
  int table_group{-1};   // -1: none
  bool client_retry{};   // the client sent it again
  int route{-1};         // index into RoutesUpdate::routes; -1: none
  bool route_full{};     // its route is at its limit; the request is refused
};

// The client is gone and needs no answer. An attempt in flight is still reported by its AttemptClosed.
struct ClientGone {
  RequestId id{};
};

// The client has the first byte of a streamed answer, so the attempt can no longer be replaced by another
// one.
struct FirstByte {
  RequestId id{};
  int attempt{};
};

// Load of an engine; absent values are unknown.
struct LoadReport {
  std::optional<double> cpu_utilisation{};     // share of the cores in use
  std::optional<double> in_flight{};           // queries that the engine holds
  std::optional<double> queued{};              // queries waiting for memory
  std::optional<double> memory_utilisation{};  // share of the memory that is granted
  std::optional<double> disk_utilisation{};    // share of the disks that are busy
};

// The end of an attempt; exactly one for every Send.
struct AttemptClosed {
  RequestId id{};
  int attempt{};
  int engine{};
  Outcome outcome{Outcome::kDelivered};
  Micros delay{0};          // since the attempt was sent
  bool request_answered{};  // the request has its final answer
  double actual_work_ms{};  // of all threads, where it was delivered and engines report costs; else 0
  double actual_memory_mb{};
  LoadReport report{};
};

// Progress of an attempt in flight; sent where Settings::progress_interval is not 0.
struct ProgressReport {
  RequestId id{};
  int attempt{};
  int engine{};
  ProgressTopic topic{ProgressTopic::kProgress};
  double value{};
};

struct ProbeResult {
  int engine{};
  bool delivered{};
  Micros delay{0};
  LoadReport report{};
};

// A message of another gateway. No decision depends on it.
struct PeerMessage {
  int from{};
};

// A timer that the gateway asked for is due.
struct TimerFired {
  std::uint64_t label{};
};

using Event = std::variant<Started, ListUpdate, RoutesUpdate, Arrival, ClientGone, FirstByte, AttemptClosed,
                           ProgressReport, ProbeResult, PeerMessage, TimerFired>;

// ---- Actions: what the caller must do, in this order, at the time of the event ----

// Start the request's next attempt; attempts are numbered 0, 1, 2 ... The caller ends it as kTimedOut after
// `timeout`; 0: it may run until the client gives up.
struct Send {
  RequestId id{};
  int engine{};
  Micros timeout{0};
  // The attempt is not to be sent after this time, as engines may no longer know the request's first attempt
  // by its key: the caller then ends it as kNotSent. 0: no limit.
  Micros send_before{0};
};
// Memory and priority (0 to 3) of the next attempts. An attempt in flight takes the priority only.
struct SetResources {
  RequestId id{};
  double memory_mb{};
  int priority{1};
};
// Stop waiting for an attempt. Its AttemptClosed still follows.
struct Cancel {
  RequestId id{};
  int attempt{};
};
// Why the gateway gives a final answer without a result.
enum class AnswerReason {
  kRouteFull,       // its route is at its limit
  kLoadsFull,       // the loads of its table group have used up the engines' time
  kNoEngine,        // no engine may take it, or has room for it
  kAttemptsUsedUp,  // by the settings, its route, or a retry budget
  kDeadlineNear,    // it was still held, or waiting for its retry, close to its deadline
  kDeadlinePassed,
  kCannotFinish,  // its attempt would end too long after the deadline
  kNotSent        // the caller could not send it
};
// Final answer: refused. It has had no effect that makes a client retry unsafe.
struct Refuse {
  RequestId id{};
  Micros retry_after{0};  // 0: no advice
  AnswerReason reason{AnswerReason::kNoEngine};
};
// Final answer: failed. Whether it had an effect is unknown.
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
// Send a TimerFired with this label at `due`.
struct Timer {
  Micros due{0};
  std::uint64_t label{};
};
struct Log {
  std::string text;
};

using Action =
    std::variant<Send, SetResources, Cancel, Refuse, Fail, Probe, Subscribe, FetchList, Timer, Log>;

class Gateway {
 public:
  // Throws std::invalid_argument as validate() does.
  Gateway(std::uint64_t seed, Settings settings);
  ~Gateway();
  Gateway(Gateway&&) noexcept;
  Gateway& operator=(Gateway&&) noexcept;

  // Decides on one event and appends to `actions`. `now` must not run backwards. Events about requests,
  // attempts and engines that the gateway does not know or has finished with are ignored.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);

  // Attempts that were sent and whose AttemptClosed has not come, on all engines.
  int attempts_in_flight() const;
  // Backlog limit and backlog of one engine in milliseconds of estimated work, for tests and dashboards; 0
  // for an unknown engine.
  double backlog_limit(int engine) const;
  double backlog(int engine) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace steprail
