// Implements include/steprail/gateway.h: admission, choice of the engine, retries, health and fairness of one
// gateway. docs/design.md gives the reasons behind the design.
//
// Costs, backlogs and their limits are in estimated milliseconds. A request's target time is the time within
// which an answer earns its full worth; its soft deadline is its arrival plus its target time.
#define XXH_INLINE_ALL
#include "steprail/gateway.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>

namespace steprail {
namespace {

// ---- Constants: dimensionless, or times that the design itself names ----

// Sampling period of the PI loop, as the design names it; also the unit of several waits.
constexpr Micros kControlPeriod{1'000'000};
// Housekeeping: fine compared with the control period, coarse compared with network latency.
constexpr Micros kTickInterval = kControlPeriod / 10;
// Labels of the two kinds of timers: the tick, which always runs, and the end of a retry delay.
constexpr std::uint64_t kTickTimerLabel = 1, kRetryDelayTimerLabel = 2;

// The PI loop compares the mean delay ratio (the paper's DDR: an attempt's delay over its request's slack)
// with this set point, S_t of the paper's SLA.
constexpr double kDelayRatioSetPoint = 0.9;
// K_P. The paper's 2.36 suits data items; queries finish less often here.
constexpr double kProportionalGain = 1.0;
// K_I. The paper's 3.62 makes the limit oscillate once delays span several control periods.
constexpr double kIntegralGain = 0.5;
// A request's slack factor is this part of its class's mean target time over its mean run time.
constexpr double kSlackFactorPerTargetTimeRatio = 0.25;
// The range of slack factors in the paper.
constexpr double kMinSlackFactor = 1.5, kMaxSlackFactor = 4.5;
// Cap on one sample, so that a single overdue attempt cannot dominate a mean.
constexpr double kMaxDelayRatio = 4;
// The limit that an engine starts with is this many mean target times' worth of work on all its cores,
// divided among the gateways that share it.
constexpr double kStartLimitTargetTimes = 0.4;
// From this many samples on, an engine's own mean delay ratio is used alone; below, the pool's mean fills in.
constexpr double kMinDelaySamples = 8;
// With many gateways: the part of the last step of the limit that is forgotten, and what is added to the gain
// of the next one. Both are scaled by the oversubscription.
constexpr double kLimitDeltaLeak = 0.5, kOversubscriptionGain = 3;
// A gateway's subset has this many engines for each query in the gateway's share of the pool's capacity.
constexpr double kSubsetFactor = 6;
// Draw weight of an engine outside the subset; such an engine is used once the subset is full.
constexpr double kOutsideSubsetWeight = 0.02;
// Time constant after which a load report counts less than the pool's average.
constexpr Micros kLoadReportLifetime = 3 * kControlPeriod;
// Part of the older reports that the pool's mean load forgets in a tick.
constexpr double kPoolLoadDecay = 0.1;
// Requests that a tenant may be ahead of its quota, at least.
constexpr double kMinTenantBurst = 8;
// Load at which an engine's cores are just busy; also assumed of the pool before its first report.
constexpr double kBusyLoad = 1;
// Trials and probes of ejected engines are paid from credit that arrivals earn, and retries of slow attempts
// from credit that answers earn: so much for each arrival or answer, and never more than the maximum.
constexpr double kCreditPerRequest = 0.1, kMaxCredit = 4;
// Part of an engine's learned slowdown that is forgotten in a control period under full oversubscription.
constexpr double kSlowdownDecay = 0.1;
// An engine list with an index beyond this is in error; the entry is ignored.
constexpr int kMaxEngines = 1 << 20;
// More threads per core than this get less work done. An engine's memory may run out before that.
constexpr double kMaxUsefulThreadsPerCore = 1.2;
// Load assumed of an engine that refused a query as full, until it reports its load.
constexpr double kFullEngineLoad = 4;
// Part of the start limit that is held back at first, scaled by the oversubscription: many gateways must not
// fill a new engine together.
constexpr double kStartLimitHoldback = 0.6;
// Anti-windup: the limit stays within this multiple of the peak backlog asked of the engine.
constexpr double kLimitHeadroom = 1.5;
// The peak backlog decays by this factor in a control period.
constexpr double kPeakDecay = 0.9;
// Learned means forget over some 50 samples.
constexpr double kMeanDecay = 0.98;
// Measured values are clamped to the expected ones times (or divided by) this before they are learned.
constexpr double kMaxCostRatio = 8;
// Estimates above this are not believed.
constexpr double kMaxCostMs = 1e7;
// Draw weight factor of an engine that read the query's table group lately, and how many groups an engine is
// trusted to keep warm in its caches.
constexpr double kWarmGroupWeight = 2.5;
constexpr std::size_t kMaxWarmGroups = 3;
// Draw weight factor where a query would wait, or will probably wait, for a load that holds its table group.
constexpr double kHeldGroupWeight = 0.05;
// Window over which the loads of a table group are counted.
constexpr Micros kGroupLoadWindow = 4 * kControlPeriod;
// Part of its time that an engine reserved for loads may have a table group held.
constexpr double kMaxGroupHoldShare = 0.9;
// One load may use no more than this part of its group's remaining allowance.
constexpr double kMaxAllowancePerLoad = 0.5;
// Draw weight factor of an engine not reserved for the load's table group.
constexpr double kUnreservedEngineWeight = 1e-6;
// A send to another zone has its draw weight multiplied by 1 / (1 + this * the settings' cross-zone cost).
constexpr double kCrossZoneWeightFactor = 25;
// An engine whose failure score exceeds the pool's median by this is ejected.
constexpr double kEjectScore = 0.5;
// An answer leaves this part of the failure score.
constexpr double kScoreLeftByAnswer = 0.3;
// Failure score added by a failed connect, and by a broken connection or an attempt that timed out.
constexpr double kConnectFailureScore = 0.5, kAttemptFailureScore = 0.25;
// An engine that loses a fifth more of its attempts than the pool gets a quarter of the draw weight.
constexpr double kLossExponent = 6;
// Part of the pool that may be ejected.
constexpr double kMaxEjectedShare = 0.5;
// Longest wait between two trials of an ejected engine.
constexpr Micros kMaxTrialInterval = 4 * kControlPeriod;
// Silence is unexpected after this many expected run times.
constexpr double kOverdueFactor = 4;
// A slow attempt is retried only where a fresh one would be done this many times sooner.
constexpr double kMinRetrySpeedup = 3;
// An attempt is given up as hopeless only if its projected remaining time is this many times the time until
// its deadline: the projection is rough.
constexpr double kHopelessFactor = 5;
// Part of the time until the deadline that an attempt may take if it can be retried.
constexpr double kAttemptTimeoutShare = 0.6;
// Part of the slow start budget that is used, as estimates and capacities are inexact.
constexpr double kSlowStartMargin = 0.75;
// The same part where a gateway's share is under one query, so that sends are admitted at random; and how
// many such queries the whole budget must hold for that.
constexpr double kSlowStartRandomShare = 0.5, kSlowStartMinQueries = 24;
// An engine's capacity is the work that keeps its cores this busy.
constexpr double kCapacityUtilisation = 0.85;
// Part of the backlog limit that tenants over their quota may fill.
constexpr double kOverQuotaLimitShare = 0.5;
// A learned memory correction is used from this many samples on.
constexpr double kMinCorrectionSamples = 5;
// Memory granted, as a multiple of the corrected estimate.
constexpr double kMemoryMargin = 1.35;

double to_ms(Micros t) { return static_cast<double>(t.count()) / 1000; }
// Maps the upper 53 bits to the open interval (0, 1).
double to_unit_interval(std::uint64_t bits) {
  return (static_cast<double>(bits >> 11) + 0.5) / 9007199254740992.0;
}
Micros from_ms(double t) { return Micros{std::llround(std::min(t, kMaxCostMs) * 1000)}; }

// An exponentially decaying mean; the weight counts the samples that it still remembers.
struct DecayingMean {
  double sum{}, weight{};
  void add(double x) { sum = sum * kMeanDecay + x, weight = weight * kMeanDecay + 1; }
  double get(double fallback) const { return weight > 0 ? sum / weight : fallback; }
};

// For how long the loads of one table group hold it on engines.
struct GroupLoad {
  double demand_ms{},  // of all gateways, extrapolated from this one; decays over the window
      allowance_ms{};  // what this gateway may still send
  Micros first_seen_at{0}, updated_at{0};
};

struct Engine {
  bool known{},   // false: an unused slot
      listed{},   // on the engine list, and ready
      ejected{};  // by outlier ejection: gets trials and probes only
  std::uint64_t name_hash{};
  EngineStatus status{EngineStatus::kReady};
  int zone{}, kind{}, cell{};
  Micros started_at{0};   // 0: long ago
  double backlog{},       // cost of this gateway's attempts in flight
      backlog_limit{},    // admission fills the backlog up to this
      limit_delta{},      // last step of the PI loop
      last_error{},       // of the PI loop
      delay_ratio_sum{},  // of the samples since the loop's last step
      peak_backlog{};     // largest backlog asked for lately, with what other gateways have there
  int delay_samples{}, attempts_in_flight{};
  Micros limit_floored_at{-1};          // when the limit last had to be raised to its floor
  std::optional<double> reported_load;  // 1: all cores busy; above: queries wait
  double threads_sent_since_report{}, threads_in_flight{},
      subset_share{1};      // 1 in this gateway's subset, 0 outside, between on its border
  double failure_score{},   // 0 to 1
      slow_start_used{},    // work sent during slow start, with defaults as the minimum
      slow_start_offset{};  // random part of one query that the slow start's bucket begins with
  Micros last_response_at{0}, reported_at{0}, start_learned_at{0},  // when this gateway learned of the start
      next_trial_at{0}, trial_interval{0};
  DecayingMean slowdown,  // delay over expected run time
      loss_rate;          // part of the attempts that timed out or failed in the application
  std::deque<std::pair<Micros, double>> slow_start_sends;  // time and work of each
  std::deque<int> warm_groups;                             // most recent first
  std::map<int, int> running_loads;                        // own loads in flight, by table group
  std::map<int, Micros> group_held_until;                  // groups that loads of any gateway hold there
  bool usable() const { return listed && !ejected; }
};

struct Attempt {
  int engine{};
  Micros sent_at{0}, last_response_at{sent_at};
  bool open{true},  // its end has not been reported yet
      cancelled{}, streaming{};
};

struct Request {
  int cls{}, tenant{}, group{-1}, priority{1};
  std::optional<std::uint64_t> key;
  Micros received_at{0}, deadline{0}, slack{0},  // the delay that the PI loop allows an attempt
      soft_deadline{0};                          // an answer after this earns less than its full worth
  double work_estimate_ms{},                     // as the client sent it
      cost_ms{},                                 // expected time of all threads together
      run_time_ms{},                             // expected time of an attempt on an engine without load
      memory_estimate_mb{},
      admission_threshold{1};  // random part of the start limit that others' backlog may reach
  std::vector<Attempt> attempts;
  bool finished{}, over_quota{};
  int possible_run_engine{-1};  // where an attempt may have run first, and when that one was sent
  Micros possible_run_at{0}, retry_at{0};
  std::shared_ptr<const RouteParameters> route;
  bool attempt_in_flight() const { return !attempts.empty() && attempts.back().open; }
};

// What was learned of a class. The corrections are factors on its clients' estimates.
struct ClassState {
  DecayingMean work, work_correction, memory_correction, slowdown;
};

// A token bucket for the tenant's quota.
struct TenantState {
  double tokens{};
  Micros refilled_at{0};
};

// Requests of one key of a class that keeps order; the first one may run.
struct KeyQueue {
  std::deque<RequestId> queue;
  Micros blocked_until{0};  // an earlier attempt may still be running until then
};

}  // namespace

class Gateway::Impl {
 public:
  Impl(std::uint64_t seed, Settings settings) : settings_(std::move(settings)), random_(seed) {
    classes_.resize(settings_.classes.size());
    tenants_.resize(settings_.tenants.size());
    for (const KindSettings& kind : settings_.kinds)
      oversubscription_ =
          std::max(oversubscription_, 1 - std::min(1.0, concurrent_queries(kind) / settings_.gateways));
  }

  void handle(Micros now, const Event& event, std::vector<Action>& actions) {
    now_ = std::max(now_, now);
    actions_ = &actions;
    std::visit([this](const auto& typed_event) { on(typed_event); }, event);
  }

  int attempts_in_flight() const { return attempts_in_flight_; }

  const Engine* find_engine(int index) const {
    if (index < 0 || index >= static_cast<int>(engines_.size())) return nullptr;
    const Engine& engine = engines_[static_cast<std::size_t>(index)];
    return engine.known ? &engine : nullptr;
  }

 private:
  // ---- 1. Cost ----

  const ClassSettings& class_of(const Request& request) const {
    return settings_.classes[static_cast<std::size_t>(request.cls)];
  }
  ClassState& class_state(const Request& request) { return classes_[static_cast<std::size_t>(request.cls)]; }

  double mean_work(int cls) const {
    const auto i = static_cast<std::size_t>(cls);
    return classes_[i].work.get(default_work(cls));
  }

  // Assumed of a class before any answer was measured: the work that takes a quarter of its objective.
  double default_work(int cls) const {
    const ClassSettings& c = settings_.classes[static_cast<std::size_t>(cls)];
    return std::max(1.0, to_ms(c.objective) * c.threads / 4);
  }

  // How long a mean query of the class runs on an engine without load.
  double mean_run_time(int cls) const {
    return mean_work(cls) * time_per_work_ / settings_.classes[static_cast<std::size_t>(cls)].threads;
  }

  // Cost of a mean query of the mix that this gateway sees; the unit in which backlog limits move.
  double mean_cost() const { return std::max(1.0, observed_cost_.get(mean_work(0) * time_per_work_)); }

  // How long an attempt takes at present: a slowdown measured over all engines raises it for every attempt.
  double expected_run_time(const Request& request) const {
    return request.run_time_ms *
           std::max(1.0, classes_[static_cast<std::size_t>(request.cls)].slowdown.get(1));
  }

  // Sets the request's cost, expected run time, slack and soft deadline. The client's estimate is corrected
  // by what earlier answers of the class showed; without one the class's mean work is used.
  void estimate_cost(Request& request) {
    const double estimate = request.work_estimate_ms;
    const bool has_estimate = std::isfinite(estimate) && estimate > 0;
    const double work = has_estimate
                            ? std::min(estimate, kMaxCostMs) * class_state(request).work_correction.get(1)
                            : mean_work(request.cls);
    request.cost_ms = std::clamp(work * time_per_work_, 1.0, kMaxCostMs);
    request.run_time_ms = std::max(1.0, request.cost_ms / class_of(request).threads);
    const double target_time_ms =
        to_ms(class_of(request).objective) + class_of(request).aim_stretch * request.run_time_ms;
    const double slack_factor =
        (to_ms(class_of(request).objective) / mean_run_time(request.cls) + class_of(request).aim_stretch) *
        kSlackFactorPerTargetTimeRatio;
    request.slack = from_ms(std::clamp(slack_factor, kMinSlackFactor, kMaxSlackFactor) * request.run_time_ms);
    request.soft_deadline = request.received_at + from_ms(target_time_ms);
    observed_cost_.add(std::min(request.cost_ms, kMaxCostRatio * mean_cost()));
  }

  // Learns the class's work, the corrections of its clients' estimates, and the time that a unit of work
  // takes. A query far more expensive than expected says something about its plan and not about its class, so
  // measured values are clamped.
  void learn_from_answer(const Request& request, const AttemptClosed& closed) {
    const double measured_thread_ms = to_ms(closed.delay) * class_of(request).threads;
    double work = settings_.reports_cost ? closed.actual_work_ms : 0;
    ClassState& learned = classes_[static_cast<std::size_t>(request.cls)];
    if (work > 0) {
      const double expected_work = request.cost_ms / time_per_work_;
      work = std::clamp(work, expected_work / kMaxCostRatio, expected_work * kMaxCostRatio);
      if (request.work_estimate_ms > 0 && std::isfinite(request.work_estimate_ms))
        learned.work_correction.add(work / std::min(request.work_estimate_ms, kMaxCostMs));
      if (request.memory_estimate_mb > 0)
        learned.memory_correction.add(std::clamp(closed.actual_memory_mb / request.memory_estimate_mb,
                                                 1 / kMaxCostRatio, kMaxCostRatio));
    } else {
      work = request.cost_ms / time_per_work_;
    }
    learned.work.add(work);
    const double measured_time_per_work =
        std::clamp(measured_thread_ms / work, 1 / kMaxCostRatio, kMaxCostRatio);
    // Follows the fastest answers quickly and forgets them slowly.
    time_per_work_ +=
        (measured_time_per_work < time_per_work_ ? 0.1 : 0.002) * (measured_time_per_work - time_per_work_);
  }

  // ---- 2. Backlog and PI loop ----

  double cores(const Engine& engine) const {
    return settings_.kinds[static_cast<std::size_t>(engine.kind)].cores;
  }

  // The backlog limit that follows from the settings alone, before any delay was measured.
  double start_limit(const Engine& engine) const {
    double mean_target_time_ms = 0;
    for (const ClassSettings& c : settings_.classes)
      mean_target_time_ms +=
          to_ms(c.objective) * (1 + c.aim_stretch) / static_cast<double>(settings_.classes.size());
    return std::floor(kStartLimitTargetTimes * mean_target_time_ms * cores(engine) /
                      gateways_sharing(engine));
  }

  // How many gateways an engine's capacity is divided among: all of them while the engine can run a query of
  // each at once. The fewer it can run, the more a limit applies to the engine as a whole, including the
  // backlog of the other gateways.
  double gateways_sharing(const Engine& engine) const {
    return std::min<double>(settings_.gateways,
                            concurrent_queries(settings_.kinds[static_cast<std::size_t>(engine.kind)]));
  }

  // The engine's reported load, replaced by the pool's average as the report ages: the queries that it
  // counted have ended by then. An engine that never reported is taken for average.
  double estimated_load(const Engine& engine) const {
    const double pool_average = pool_load_.get(kBusyLoad);
    const double freshness =
        engine.reported_load ? std::exp(-to_ms(now_ - engine.reported_at) / to_ms(kLoadReportLifetime)) : 0;
    return freshness * engine.reported_load.value_or(0) + (1 - freshness) * pool_average;
  }

  // Backlog that the other gateways have on the engine: load beyond busy cores, in units of the start limit,
  // less this gateway's own backlog. On an engine with idle cores it is negative: so much more than its own
  // share this gateway may send there. The unit follows from the settings and not from learned costs, as one
  // of many gateways sees too few queries to learn them. Reports lose their effect when no engine has sent
  // one for longer than their lifetime.
  double backlog_of_others(const Engine& engine) const {
    if (oversubscription_ <= 0) return 0;
    const double report_age = to_ms(now_ - last_report_at_) / to_ms(kLoadReportLifetime);
    const double excess_load =
        (estimated_load(engine) - kBusyLoad) * std::exp(-std::max(0.0, report_age - 1));
    // One gateway may fill an idle engine; a busy one is divided among as many as it has room for.
    const double shared_limit =
        reports_count_queries_ ? start_limit(engine) : std::min(engine.backlog_limit, start_limit(engine));
    if (excess_load < 0)
      return -oversubscription_ * excess_load * excess_load * shared_limit * (gateways_sharing(engine) - 1);
    return oversubscription_ * std::max(0.0, excess_load * start_limit(engine) - engine.backlog);
  }

  // How many queries of a mean thread count an engine of this kind can run at once.
  double concurrent_queries(const KindSettings& kind) const {
    double threads = 0;
    for (const ClassSettings& c : settings_.classes) threads += c.threads;
    return std::max(1.0, kind.cores * static_cast<double>(settings_.classes.size()) / threads);
  }

  // Adds the attempt's delay ratio to the samples of its engine and of the pool.
  void record_delay_ratio(Engine& engine, const Request& request, const Attempt& attempt) {
    // An attempt sent before the limit last fell to its floor says nothing about the present limit. Counted,
    // the overdue answers that arrive after a stall would keep the limit at its floor.
    if (attempt.sent_at <= engine.limit_floored_at) return;
    const double delay_ratio =
        std::min(kMaxDelayRatio, to_ms(now_ - attempt.sent_at) / std::max(1.0, to_ms(request.slack)));
    engine.delay_ratio_sum += delay_ratio;
    ++engine.delay_samples;
    pool_delay_ratio_sum_ += delay_ratio;
    ++pool_delay_samples_;
  }

  // One step of the PI loop: raises or lowers the engine's backlog limit by the error of its mean delay
  // ratio, then keeps it between the floor (one mean query) and the anti-windup ceiling.
  void update_backlog_limit(Engine& engine) {
    const double limit_floor = mean_cost();
    engine.peak_backlog =
        std::max(engine.peak_backlog * kPeakDecay, engine.backlog + backlog_of_others(engine));
    // With many gateways an engine gives few samples, so its slowdown is forgotten with time as well.
    engine.slowdown.sum *= 1 - kSlowdownDecay * oversubscription_;
    engine.slowdown.weight *= 1 - kSlowdownDecay * oversubscription_;
    // One of many gateways sees few attempts end: samples are collected until there are enough, and the
    // pool's mean stands in for those that the engine lacks.
    const double min_samples = kMinDelaySamples * (1 - 1.0 / settings_.gateways);
    if (pool_delay_samples_ > 0 && pool_delay_samples_ >= min_samples &&
        (engine.delay_samples > 0 || min_samples > 0)) {
      const double borrowed_samples = std::max(0.0, min_samples - engine.delay_samples);
      const double pool_ratio = pool_delay_ratio_sum_ / pool_delay_samples_;
      const double error = kDelayRatioSetPoint - (engine.delay_ratio_sum + borrowed_samples * pool_ratio) /
                                                     (engine.delay_samples + borrowed_samples);
      engine.limit_delta = (1 - kLimitDeltaLeak * oversubscription_) * engine.limit_delta +
                           kProportionalGain * ((kIntegralGain + 1) * error - engine.last_error) *
                               limit_floor * (1 + kOversubscriptionGain * oversubscription_);
      engine.backlog_limit = std::floor(engine.backlog_limit + engine.limit_delta);
      engine.last_error = error;
      engine.delay_ratio_sum = engine.delay_samples = 0;
    }
    // Anti-windup: a limit that the backlog has not come near has not been tested, and is not raised further.
    const double ceiling = std::max(start_limit(engine), kLimitHeadroom * engine.peak_backlog);
    if (engine.backlog_limit > ceiling)
      engine.backlog_limit = ceiling, engine.limit_delta = std::min(engine.limit_delta, 0.0);
    if (engine.backlog_limit < limit_floor)
      engine.backlog_limit = std::ceil(limit_floor), engine.limit_delta = 0, engine.limit_floored_at = now_;
  }

  // ---- 3. Choice of the engine ----

  // Whether a load holds the table group on the engine: one of this gateway's, or one that an attempt waits
  // for.
  bool group_is_held(const Engine& engine, int group) const {
    const auto entry = engine.group_held_until.find(group);
    return engine.running_loads.contains(group) ||
           (entry != engine.group_held_until.end() && entry->second > now_);
  }

  // The engine's weight in the random draw. It falls with the square of the load, and with slowness, losses
  // and failures compared with the pool, other zones and held table groups; it rises where the tables are
  // warm. Without a report the gateway's own attempts stand for the load, times the gateways that share the
  // engine. An engine in slow start counts as in every gateway's subset, as each gateway may use only its own
  // part of the slow start budget.
  double draw_weight(const Engine& engine, const Request& request) const {
    const double own_load = engine.threads_in_flight * gateways_sharing(engine) / cores(engine);
    const double reported = engine.reported_load.value_or(own_load);
    double weight = 1 / (1 + reported + oversubscription_ * (estimated_load(engine) - reported) +
                         engine.threads_sent_since_report / cores(engine));
    weight *= weight;
    const double relative_slowdown = engine.slowdown.get(pool_slowdown_) / pool_slowdown_;
    if (relative_slowdown > 1) weight /= relative_slowdown;
    const bool is_warm = std::find(engine.warm_groups.begin(), engine.warm_groups.end(), request.group) !=
                         engine.warm_groups.end();
    if (is_warm && request.group >= 0) weight *= kWarmGroupWeight;
    if ((class_of(request).is_load || class_of(request).yields_to_load) &&
        group_is_held(engine, request.group))
      weight *= kHeldGroupWeight;
    if (settings_.own_zone >= 0 && engine.zone != settings_.own_zone)
      weight /= 1 + kCrossZoneWeightFactor * settings_.cross_zone_cost;
    const double excess_loss = std::max(0.0, engine.loss_rate.get(0) - pool_loss_rate_.get(0));
    weight *= std::pow(1 - excess_loss, kLossExponent);
    return weight * std::max(0.01, 1 - engine.failure_score) *
           std::max(kOutsideSubsetWeight, in_slow_start(engine) ? 1 : engine.subset_share);
  }

  // Each gateway works mainly on a subset of the engines, so that what it knows of them is fresh: the ones
  // that follow its own position on a ring. Positions are multiples of the golden ratio, which spreads any
  // number of them evenly and moves none when engines come and go. Unusable engines are skipped, so that the
  // subset then reaches further along the ring.
  void choose_subset() {
    constexpr double kGoldenRatio = 0.6180339887498949;
    const auto ring_position = [](int i) { return i * kGoldenRatio - std::floor(i * kGoldenRatio); };
    const double own_position = ring_position(settings_.own_index);
    std::vector<std::pair<double, int>> ring;
    double pool_capacity = 0;
    for (int i = 0; i < static_cast<int>(engines_.size()); ++i) {
      Engine& engine = engines_[static_cast<std::size_t>(i)];
      engine.subset_share = 0;
      if (!engine.listed) continue;
      pool_capacity += concurrent_queries(settings_.kinds[static_cast<std::size_t>(engine.kind)]);
      if (engine.ejected) continue;
      const double distance = ring_position(i) - own_position;
      ring.emplace_back(distance < 0 ? distance + 1 : distance, i);
    }
    double remaining_engines = kSubsetFactor * pool_capacity / settings_.gateways;
    std::sort(ring.begin(), ring.end());
    for (const auto& [_, i] : ring) {
      engines_[static_cast<std::size_t>(i)].subset_share = std::clamp(remaining_engines, 0.0, 1.0);
      remaining_engines -= 1;
    }
  }

  double uniform() { return to_unit_interval(random_()); }

  // Admission of a load by its group's allowance; also counts its demand, admitted or not. Loads of one group
  // run one after another on an engine, so a group's time on the engines runs out long before their cores do.
  // Short loads then earn more for the time that they hold the tables, so a long one is admitted only against
  // a large remaining allowance. A full allowance admits a load of any length.
  bool admit_load(const Request& request) {
    if (request.group < 0) return true;
    const auto usable_engines =
        std::count_if(engines_.begin(), engines_.end(), [](auto& engine) { return engine.usable(); });
    const double rate =
        std::max(1.0, static_cast<double>(usable_engines) - 1) * kMaxGroupHoldShare / settings_.gateways;
    const double max_allowance_ms = rate * to_ms(kGroupLoadWindow);
    GroupLoad& group_load =
        group_loads_.try_emplace(request.group, GroupLoad{0, max_allowance_ms, now_, now_}).first->second;
    const double elapsed_ms = to_ms(now_ - group_load.updated_at);
    group_load.allowance_ms = std::min(max_allowance_ms, group_load.allowance_ms + rate * elapsed_ms),
    group_load.updated_at = now_;
    group_load.demand_ms = group_load.demand_ms * std::exp(-elapsed_ms / to_ms(kGroupLoadWindow)) +
                           request.run_time_ms * settings_.gateways;
    if (group_load.allowance_ms < max_allowance_ms &&
        request.run_time_ms > group_load.allowance_ms * kMaxAllowancePerLoad)
      return false;
    group_load.allowance_ms -= request.run_time_ms;
    return true;
  }

  // Marks the engines reserved for a group's loads: as many as the loads need (square-root staffing), in an
  // order that is equal at all gateways without messages (rendezvous hashing, weighted by cores). At least
  // one engine stays free for the queries that yield to loads.
  void reserve_engines(int group) {
    reserved_.assign(engines_.size(), false);
    const auto entry = group_loads_.find(group);
    if (entry == group_loads_.end()) return;
    const auto& [demand_ms, allowance_ms, first_seen_at, updated_at] = entry->second;
    const double window_ms = to_ms(kGroupLoadWindow),
                 observed_share = 1 - std::exp(-to_ms(now_ + kControlPeriod - first_seen_at) / window_ms);
    const double mean_held =
        demand_ms * std::exp(-to_ms(now_ - updated_at) / window_ms) / window_ms / observed_share;
    std::vector<std::pair<double, std::size_t>> order;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      const Engine& engine = engines_[i];
      const auto hash =
          XXH3_64bits_withSeed(&engine.name_hash, sizeof engine.name_hash, static_cast<XXH64_hash_t>(group));
      if (engine.usable() && !in_slow_start(engine))
        order.emplace_back(std::log(to_unit_interval(hash)) / cores(engine), i);
    }
    std::sort(order.begin(), order.end(), std::greater<>());
    const double engines_wanted = std::ceil(mean_held + std::sqrt(mean_held));
    for (std::size_t n = 0; n + 1 < order.size() && static_cast<double>(n) < engines_wanted; ++n)
      reserved_[order[n].second] = true;
  }

  // The usable engines in the order of a weighted draw without replacement. Ejected engines that are due for
  // a trial come first, if the query suits one: a light first attempt that may be retried elsewhere. The
  // engine to avoid comes last.
  std::vector<int> draw_order(const Request& request, int avoided_engine) {
    std::vector<std::pair<double, int>> draws;
    const bool uses_reservation = class_of(request).is_load || class_of(request).yields_to_load;
    if (uses_reservation) reserve_engines(request.group);
    for (int i = 0; i < static_cast<int>(engines_.size()); ++i) {
      const Engine& engine = engines_[static_cast<std::size_t>(i)];
      if (!engine.usable() || i == avoided_engine) continue;
      const bool is_reserved = uses_reservation && reserved_[static_cast<std::size_t>(i)];
      const double reservation_weight = class_of(request).is_load && !is_reserved   ? kUnreservedEngineWeight
                                        : is_reserved && !class_of(request).is_load ? kHeldGroupWeight
                                                                                    : 1;
      draws.emplace_back(std::log(uniform()) / (reservation_weight * draw_weight(engine, request)), i);
    }
    std::sort(draws.begin(), draws.end(), std::greater<>());
    std::vector<int> order;
    const bool may_run_trial = class_of(request).idempotency == Idempotency::kIdempotent &&
                               request.attempts.empty() &&
                               request.run_time_ms <= mean_run_time(request.cls) && max_attempts(request) > 1;
    for (int i = 0; may_run_trial && i < static_cast<int>(engines_.size()); ++i) {
      Engine& engine = engines_[static_cast<std::size_t>(i)];
      if (engine.listed && engine.ejected && now_ >= engine.next_trial_at && trial_credit_ >= 1)
        order.push_back(i);
    }
    for (const auto& [_, i] : draws) order.push_back(i);
    // Idempotency or placement may leave no other one.
    if (avoided_engine >= 0) order.push_back(avoided_engine);
    return order;
  }

  // Admission: sends the request to the first engine in draw order on which its cost fits under the backlog
  // limit, and gives a final answer if there is none. A request that waits for others of its key stays
  // queued.
  void dispatch(RequestId id, Request& request) {
    if (request.finished || request.attempt_in_flight() || now_ < request.retry_at) return;
    if (!is_next_of_key(id, request)) {
      // Stays queued, unless its deadline would pass before the queue is looked at again.
      if (deadline_is_near(request)) finish(id, request, AnswerReason::kDeadlineNear);
      return;
    }
    const bool is_retry = !request.attempts.empty();
    const std::vector<int> order = draw_order(request, is_retry ? request.attempts.back().engine : -1);
    for (int i : order) {
      Engine& engine = engines_[static_cast<std::size_t>(i)];
      if (!in_pool(request, i)) continue;
      const double others_backlog = backlog_of_others(engine);
      engine.peak_backlog = std::max(engine.peak_backlog, engine.backlog + others_backlog + request.cost_ms);
      const double limit_share = request.over_quota ? kOverQuotaLimitShare : 1;
      // All gateways see the same busy engines. The random threshold makes each admit a part that falls with
      // the load; all or nothing would make them swing together.
      if (!engine.ejected && others_backlog > request.admission_threshold * start_limit(engine)) continue;
      // A limit at its floor is meant for one query, so an engine without attempts takes one of up to twice
      // the mean cost. Otherwise a rising mean would find every engine at the floor closed, and without
      // answers no limit would ever rise again.
      const bool fits_idle_engine = engine.attempts_in_flight == 0 && request.cost_ms <= 2 * mean_cost() &&
                                    others_backlog <= start_limit(engine);
      // An ejected engine is in the order for a trial, whatever its limit: attempts that hang there may fill
      // the limit for long.
      if ((fits_idle_engine || engine.ejected ||
           engine.backlog + others_backlog + request.cost_ms <= engine.backlog_limit * limit_share) &&
          send(id, request, i))
        return;
    }
    // A request that was admitted once is not refused for lack of room: its lost attempt has freed its place.
    for (int i : order)
      if (is_retry && send(id, request, i)) return;
    finish(id, request,
           is_retry && !may_retry(request) ? AnswerReason::kAttemptsUsedUp : AnswerReason::kNoEngine);
  }

  // ---- 4. Health ----

  void add_failure_score(Engine& engine, double amount) {
    engine.failure_score = std::min(1.0, engine.failure_score + amount);
    update_ejections();
  }

  // Any response of an engine lowers its failure score; a score under 0.05 is cleared.
  void record_response(Engine& engine) {
    engine.last_response_at = now_;
    if (engine.failure_score <= 0) return;
    engine.failure_score = engine.failure_score < 0.05 ? 0 : engine.failure_score * kScoreLeftByAnswer;
    update_ejections();
  }

  // Records and returns the attempt's delay over its expected run time.
  double record_slowdown(Engine& engine, const Request& request, double delay_ms) {
    const double slowdown = std::clamp(delay_ms / request.run_time_ms, 0.1, 50.0);
    engine.slowdown.add(slowdown);
    return slowdown;
  }

  // Outlier ejection: ejects the engines with the highest failure scores, as far as they stand out from the
  // pool's median and never more than a part of the pool. Failures that strike all engines at once are not
  // the fault of one of them, and some engines have to serve.
  void update_ejections() {
    std::vector<std::pair<double, std::size_t>> by_score;
    for (std::size_t i = 0; i < engines_.size(); ++i)
      if (engines_[i].listed) by_score.emplace_back(engines_[i].failure_score, i);
    std::sort(by_score.begin(), by_score.end(), std::greater<>());
    const auto max_ejected =
        static_cast<std::size_t>(kMaxEjectedShare * static_cast<double>(by_score.size()));
    const double median_score = by_score.empty() ? 0 : by_score[by_score.size() / 2].first;
    for (std::size_t n = 0; n < by_score.size(); ++n) {
      Engine& engine = engines_[by_score[n].second];
      const bool eject = n < max_ejected && by_score[n].first - median_score >= kEjectScore;
      if (eject == engine.ejected) continue;
      engine.ejected = eject;
      if (eject) engine.trial_interval = kControlPeriod, engine.next_trial_at = now_ + kControlPeriod;
      emit(Log{"engine " + std::to_string(by_score[n].second) + (eject ? " shunned" : " back") +
               ", suspicion " + std::to_string(by_score[n].first)});
    }
    choose_subset();
  }

  // Looks for attempts without any response for far too long: for several intervals where the engines promise
  // progress reports, else for a multiple of the expected run time.
  void check_silent_engines() {
    std::map<int, int> overdue;
    for (auto& [id, request] : requests_) {
      if (!request.attempt_in_flight() || request.attempts.back().streaming) continue;
      const Attempt& attempt = request.attempts.back();
      const Engine& engine = engines_[static_cast<std::size_t>(attempt.engine)];
      // Progress reports of this attempt are missing while others of its engine arrive: its connection is
      // dead, or its answer was lost.
      if (now_ - attempt.last_response_at > 3 * settings_.progress_interval &&
          now_ - engine.last_response_at < settings_.progress_interval)
        cancel_for_retry(id, request);
      const Micros max_run_time = request.route ? request.route->move_after : Micros{0};
      if (max_run_time.count() > 0 && now_ - attempt.sent_at >= max_run_time) cancel_for_retry(id, request);
      const double silent_ms = to_ms(now_ - std::max(attempt.sent_at, engine.last_response_at));
      const double max_silent_ms = settings_.progress_interval.count() > 0
                                       ? 3 * to_ms(settings_.progress_interval)
                                       : kOverdueFactor * expected_run_time(request) + to_ms(kTickInterval);
      if (silent_ms > max_silent_ms) ++overdue[attempt.engine];
    }
    for (const auto& [i, count] : overdue) {
      Engine& engine = engines_[static_cast<std::size_t>(i)];
      // Without progress reports a single overdue attempt may just be a slow query.
      if (count < 2 && settings_.progress_interval.count() == 0) continue;
      add_failure_score(engine, kAttemptFailureScore);
      // Idempotent queries leave a silent engine once it is ejected; others cannot be retried safely.
      for (auto& [id, request] : requests_)
        if (engine.ejected && request.attempt_in_flight() && request.attempts.back().engine == i)
          cancel_for_retry(id, request);
    }
  }

  // ---- 5. Attempts ----

  // A route may lower the settings' number of attempts, never raise it.
  int max_attempts(const Request& request) const {
    return request.route && request.route->max_attempts > 0
               ? std::min(request.route->max_attempts, settings_.max_attempts)
               : settings_.max_attempts;
  }

  // Whether the attempt in flight may be cancelled in favour of a new one that can still end before the
  // deadline.
  bool retry_is_worthwhile(const Request& request) const {
    return settings_.may_cancel && class_of(request).idempotency == Idempotency::kIdempotent &&
           !request.finished && !request.attempts.back().streaming &&
           static_cast<int>(request.attempts.size()) < max_attempts(request) &&
           retry_budget_allows(request) && to_ms(request.deadline - now_) > expected_run_time(request);
  }

  // Cancels the attempt in flight if a retry is worthwhile; the retry follows when the attempt's end is
  // reported.
  bool cancel_for_retry(RequestId id, Request& request) {
    Attempt& attempt = request.attempts.back();
    if (attempt.cancelled || !retry_is_worthwhile(request)) return false;
    attempt.cancelled = true;
    emit(Cancel{id, static_cast<int>(request.attempts.size()) - 1});
    return true;
  }

  // How long the next attempt may run; 0 means as long as the client waits, which is used for a last attempt.
  Micros attempt_timeout(const Request& request) const {
    if (request.route && !request.route->attempt_timeouts.empty())
      return request.route
          ->attempt_timeouts[std::min(request.attempts.size(), request.route->attempt_timeouts.size() - 1)];
    const bool retry_possible = class_of(request).idempotency == Idempotency::kIdempotent &&
                                static_cast<int>(request.attempts.size()) + 1 < max_attempts(request);
    // With progress reports, their absence shows a lost attempt sooner, and their pace one that is too slow.
    if (!retry_possible || (oversubscription_ > 0 && settings_.progress_interval.count() > 0))
      return Micros{0};
    return from_ms(std::max(kAttemptTimeoutShare * to_ms(request.deadline - now_),
                            kOverdueFactor * expected_run_time(request)));
  }

  // ---- 6. Guards ----

  // Whether one more retry fits the route's retry budget and the settings'.
  bool retry_budget_allows(const Request& request) const {
    if (request.route && request.route->retry_budget_ratio && retry_budgets_.at(request.route->id) < 1)
      return false;
    if (!settings_.retry_budget_ratio) return true;
    const Micros window_start = now_ - settings_.retry_budget_window;
    const auto recent = [window_start](Micros t) { return t > window_start; };
    const auto retries = static_cast<double>(std::count_if(retry_times_.begin(), retry_times_.end(), recent));
    const auto arrivals =
        static_cast<double>(std::count_if(arrival_times_.begin(), arrival_times_.end(), recent));
    return retries + 1 <= settings_.retry_budget_base + *settings_.retry_budget_ratio * arrivals;
  }

  bool in_slow_start(const Engine& engine) const {
    return engine.started_at.count() > 0 && now_ < engine.started_at + settings_.slow_start_time;
  }

  // The class's mean work, at least its default: a gateway that has seen only a few light queries would
  // otherwise send too many.
  double slow_start_work(const Request& request) const {
    return std::max(mean_work(request.cls), default_work(request.cls));
  }
  // Whether the engine's slow start has room for one more query of this gateway. The budget is the work that
  // would overload the starting engine, divided among the gateways. Queries count with their class's mean
  // work, as in the overload rule itself, and every send counts, whatever becomes of it.
  bool slow_start_allows(Engine& engine, const Request& request) const {
    if (!in_slow_start(engine)) return true;
    while (!engine.slow_start_sends.empty() &&
           engine.slow_start_sends.front().first < now_ - settings_.overload_window)
      engine.slow_start_sends.pop_front();
    double used = mean_work(request.cls);
    for (const auto& [_, sent_work] : engine.slow_start_sends) used += sent_work;
    const double capacity = cores(engine) * kCapacityUtilisation * settings_.slow_start_share;
    const double budget = settings_.overload_factor * capacity * to_ms(settings_.overload_window);
    const double gateway_share = budget / settings_.gateways;
    if (mean_work(request.cls) <= gateway_share * kSlowStartMargin)
      return used <= gateway_share * kSlowStartMargin;
    // The share is less than one query: each gateway has a bucket that starts at a random level, so that the
    // sum over all gateways is right. Random sends add up unevenly, so this is only used for queries of which
    // the budget holds many.
    const double work = slow_start_work(request);
    const double earned_work = gateway_share * kSlowStartRandomShare * to_ms(now_ - engine.start_learned_at) /
                               to_ms(settings_.overload_window);
    return work * kSlowStartMinQueries <= budget &&
           engine.slow_start_used + work <= earned_work + engine.slow_start_offset * work;
  }

  // Whether the request's route permits the engine.
  bool in_pool(const Request& request, int engine) const {
    if (!request.route || request.route->pool < 0) return true;
    const auto pool = static_cast<std::size_t>(request.route->pool),
               member = static_cast<std::size_t>(engine);
    return pool < pools_.size() && member < pools_[pool].size() && pools_[pool][member];
  }

  // Waits for the route's retry delay, with jitter, before the next attempt. A request whose next attempt
  // could not end in time after the delay, or may not be made at all, is answered at once.
  void delay_retry(RequestId id, Request& request) {
    const double delay_ms =
        to_ms(request.route->retry_delay) * (1 + request.route->retry_jitter * (2 * uniform() - 1));
    request.retry_at = now_ + from_ms(delay_ms);
    if (request.retry_at + from_ms(expected_run_time(request)) >= request.deadline)
      return finish(id, request, AnswerReason::kDeadlineNear);
    if (!may_retry(request)) return finish(id, request, AnswerReason::kAttemptsUsedUp);
    delayed_retries_.emplace(request.retry_at, id);
    emit(Timer{request.retry_at, kRetryDelayTimerLabel});
  }

  // Whether a retry is possible at all, on whichever engine and after whatever wait.
  bool may_retry(const Request& request) const {
    const bool safe_to_repeat =
        request.possible_run_engine < 0 || class_of(request).idempotency != Idempotency::kNone;
    return safe_to_repeat && static_cast<int>(request.attempts.size()) < max_attempts(request) &&
           retry_budget_allows(request);
  }

  // An empty list permits everything.
  static bool allowed(const std::vector<int>& permitted, int index) {
    return permitted.empty() || std::find(permitted.begin(), permitted.end(), index) != permitted.end();
  }

  // Whether a retry on this engine cannot make the request take effect twice: always for idempotent requests,
  // never for those that may run once only, and for requests deduplicated by key where the engine shares the
  // deduplication scope of the first possible run, within the deduplication window.
  bool idempotency_allows(const Request& request, int engine) const {
    if (request.possible_run_engine < 0 || class_of(request).idempotency == Idempotency::kIdempotent)
      return true;
    if (class_of(request).idempotency == Idempotency::kNone || now_ >= end_of_dedup_window(request))
      return false;
    const Engine& previous = engines_[static_cast<std::size_t>(request.possible_run_engine)];
    const Engine& candidate = engines_[static_cast<std::size_t>(engine)];
    return class_of(request).dedup_scope == DedupScope::kAll ||
           (class_of(request).dedup_scope == DedupScope::kZone && previous.zone == candidate.zone) ||
           (class_of(request).dedup_scope == DedupScope::kCell && previous.cell == candidate.cell);
  }

  // Until when engines drop a repeat of the request by its key; 0 if it need not be dropped.
  Micros end_of_dedup_window(const Request& request) const {
    const bool by_key = class_of(request).idempotency == Idempotency::kByKey;
    return by_key && request.possible_run_engine >= 0
               ? request.possible_run_at + class_of(request).dedup_window
               : Micros{0};
  }

  // Whether the request is the first of its key's queue, and no earlier attempt of the key may still be
  // running. Always true where no order is kept; a retry does not wait for the block again.
  bool is_next_of_key(RequestId id, const Request& request) const {
    if (!request.key || !class_of(request).keep_order) return true;
    const auto key_queue = key_queues_.find(*request.key);
    return key_queue != key_queues_.end() && key_queue->second.queue.front() == id &&
           (!request.attempts.empty() || now_ >= key_queue->second.blocked_until);
  }

  // Sends the next attempt to the engine if no rule forbids it; the only place from which attempts are sent.
  bool send(RequestId id, Request& request, int index) {
    Engine& engine = engines_[static_cast<std::size_t>(index)];
    if (request.finished || request.attempt_in_flight() || now_ >= request.deadline ||
        !is_next_of_key(id, request))
      return false;
    if (static_cast<int>(request.attempts.size()) >= max_attempts(request) || !in_pool(request, index))
      return false;
    if (!engine.listed || engine.status != EngineStatus::kReady) return false;
    if (!allowed(class_of(request).zones, engine.zone) || !allowed(class_of(request).kinds, engine.kind))
      return false;
    if (!idempotency_allows(request, index) || !slow_start_allows(engine, request)) return false;
    if (!request.attempts.empty() && !retry_budget_allows(request)) return false;
    update_resources(id, request, engine);
    emit(Send{id, index, attempt_timeout(request), end_of_dedup_window(request)});
    if (!request.attempts.empty()) retry_times_.push_back(now_);
    if (!request.attempts.empty() && request.route && request.route->retry_budget_ratio)
      retry_budgets_[request.route->id] -= 1;
    if (in_slow_start(engine)) {
      engine.slow_start_sends.emplace_back(now_, mean_work(request.cls));
      engine.slow_start_used += slow_start_work(request);
    }
    // Each trial doubles the wait before the next one; further failures from the same cause do not.
    if (engine.ejected)
      trial_credit_ -= 1, engine.next_trial_at = now_ + engine.trial_interval,
                          engine.trial_interval = std::min(kMaxTrialInterval, 2 * engine.trial_interval);
    request.attempts.push_back({index, now_});
    engine.backlog += request.cost_ms;
    engine.threads_in_flight += class_of(request).threads;
    engine.threads_sent_since_report += class_of(request).threads;
    ++engine.attempts_in_flight;
    ++attempts_in_flight_;
    std::erase(engine.warm_groups, request.group);
    engine.warm_groups.push_front(request.group);
    if (engine.warm_groups.size() > kMaxWarmGroups) engine.warm_groups.pop_back();
    if (class_of(request).is_load) ++engine.running_loads[request.group];
    return true;
  }

  // Gives the final answer; the only place that does so without a result. A refusal promises that a client
  // retry does no harm, so it is given while that holds and the deadline has not passed; else the request
  // fails.
  void finish(RequestId id, Request& request, AnswerReason reason) {
    if (request.finished) return;
    const ClassSettings& c = class_of(request);
    const bool may_have_run = request.possible_run_engine >= 0 || request.attempt_in_flight();
    const bool safe_to_repeat = !may_have_run || c.idempotency == Idempotency::kIdempotent ||
                                (c.idempotency == Idempotency::kByKey && c.dedup_scope == DedupScope::kAll);
    if (safe_to_repeat && now_ < request.deadline) {
      emit(Refuse{
          id,
          settings_.may_send_retry_after ? std::min(kControlPeriod, settings_.max_retry_after) : Micros{0},
          reason});
    } else {
      emit(Fail{id, reason});
    }
    request.finished = true;
    remove_if_done(id);
  }

  // Forgets a request that is finished and has no attempt in flight, and dispatches the next one of its key.
  void remove_if_done(RequestId id) {
    const auto entry = requests_.find(id);
    if (entry == requests_.end() || !entry->second.finished || entry->second.attempt_in_flight()) return;
    const std::optional<std::uint64_t> key =
        class_of(entry->second).keep_order ? entry->second.key : std::nullopt;
    requests_.erase(entry);
    if (!key) return;
    KeyQueue& key_queue = key_queues_[*key];
    std::erase(key_queue.queue, id);
    dispatch_next_of_key(*key);
  }

  // Dispatches the first request of the key's queue unless it has been sent already; drops an empty queue.
  void dispatch_next_of_key(std::uint64_t key) {
    const auto key_queue = key_queues_.find(key);
    if (key_queue == key_queues_.end()) return;
    if (key_queue->second.queue.empty()) {
      if (now_ >= key_queue->second.blocked_until) key_queues_.erase(key_queue);
      return;
    }
    const RequestId next = key_queue->second.queue.front();
    Request& request = requests_.at(next);
    if (request.attempts.empty()) dispatch(next, request);
  }

  // Whether the deadline comes within the next two ticks.
  bool deadline_is_near(const Request& request) const { return now_ + 2 * kTickInterval >= request.deadline; }

  // ---- 7. Fairness and resources ----

  // Takes a token from the tenant's bucket for this gateway's part of the quota; true if there was none.
  bool exceeds_quota(int tenant) {
    if (tenant < 0 || tenant >= static_cast<int>(tenants_.size())) return false;
    TenantState& bucket = tenants_[static_cast<std::size_t>(tenant)];
    const double rate = settings_.tenants[static_cast<std::size_t>(tenant)].quota_rps / settings_.gateways;
    if (rate <= 0) return false;
    // Two seconds of the quota, and never so few requests that random arrivals alone would empty the bucket.
    const double burst = std::max(kMinTenantBurst, 2 * rate);
    bucket.tokens = bucket.refilled_at.count() == 0
                        ? burst
                        : std::min(burst, bucket.tokens + rate * to_ms(now_ - bucket.refilled_at) / 1000);
    bucket.refilled_at = now_;
    if (bucket.tokens < 1) return true;
    bucket.tokens -= 1;
    return false;
  }

  // Priority on the engine: the route's, else 1 to 3; the less slack remains, compared with the usual slack,
  // the higher. 0, the lowest, is not used, as it would starve a class with distant deadlines while cores are
  // short.
  int priority(const Request& request) const {
    if (!settings_.honors_priority) return 1;
    if (request.route && request.route->priority >= 0) return request.route->priority;
    // Other requests of its key wait behind this one, so it is as urgent as the most urgent of them.
    if (request.key && class_of(request).keep_order && key_queues_.at(*request.key).queue.size() > 1)
      return 3;
    if (now_ > request.soft_deadline) return 1;  // a late query must not make others late
    const double relative_slack = to_ms(request.received_at + request.slack - now_) /
                                  std::max(1.0, observed_slack_.get(to_ms(request.slack)));
    return relative_slack < 0.5 ? 3 : relative_slack < 1 ? 2 : 1;
  }

  // Memory in MB for the next attempt: the route's figure, or the client's estimate once enough answers have
  // corrected it. 0 leaves the amount to the engine.
  double memory_grant(const Request& request, const Engine& engine) const {
    const auto& learned = classes_[static_cast<std::size_t>(request.cls)];
    const double max_memory_mb =
        settings_.max_memory_share * settings_.kinds[static_cast<std::size_t>(engine.kind)].memory_mb;
    if (settings_.honors_memory && request.route && request.route->memory_mb > 0)
      return std::min(max_memory_mb, request.route->memory_mb);
    if (!settings_.honors_memory || request.memory_estimate_mb <= 0 ||
        learned.memory_correction.weight < kMinCorrectionSamples)
      return 0;
    return std::min(max_memory_mb,
                    request.memory_estimate_mb * learned.memory_correction.get(1) * kMemoryMargin);
  }

  // Passes on the memory grant and the priority, if there is a grant or the priority has changed.
  void update_resources(RequestId id, Request& request, const Engine& engine) {
    const SetResources resources{id, memory_grant(request, engine), priority(request)};
    if (resources.memory_mb > 0 || resources.priority != request.priority) emit(resources);
    request.priority = resources.priority;
  }

  // ---- Events ----

  void on(const Started&) {
    if (settings_.registry_mode == RegistryMode::kSubscribe) emit(Subscribe{true});
    emit(Timer{now_ + kTickInterval, kTickTimerLabel});
  }

  // Updates the engine list. A new or restarted engine starts with what the settings say, and a part of the
  // limit is held back where many gateways would fill it at once.
  void on(const ListUpdate& update) {
    if (update.mode == ListMode::kFailed) return void(resubscribe_at_ = now_ + kControlPeriod);
    for (Engine& engine : engines_)
      if (update.mode != ListMode::kIncremental) engine.listed = false, engine.status = EngineStatus::kGone;
    for (const EngineEntry& entry : update.entries) {
      if (entry.engine < 0 || entry.engine >= kMaxEngines || entry.kind < 0 ||
          entry.kind >= static_cast<int>(settings_.kinds.size()))
        continue;
      if (entry.engine >= static_cast<int>(engines_.size()))
        engines_.resize(static_cast<std::size_t>(entry.engine) + 1);
      Engine& engine = engines_[static_cast<std::size_t>(entry.engine)];
      if (!engine.known) engine = Engine{};  // the slot may have belonged to another engine
      const bool restarted = engine.known && entry.started_at > engine.started_at;
      engine.zone = entry.zone, engine.kind = entry.kind, engine.cell = entry.cell,
      engine.name_hash = entry.name_hash;
      engine.status = entry.status;
      engine.started_at = std::max(engine.started_at, entry.started_at);
      engine.listed = entry.status == EngineStatus::kReady;
      if (!engine.known || restarted) {
        engine.backlog_limit =
            std::floor(start_limit(engine) * (1 - kStartLimitHoldback * oversubscription_)),
        engine.limit_delta = 0;
        engine.warm_groups.clear(), engine.group_held_until.clear(), engine.reported_load.reset();
        engine.slowdown = {}, engine.loss_rate = {}, engine.failure_score = 0, engine.known = true;
        engine.start_learned_at = now_, engine.slow_start_used = 0, engine.slow_start_offset = uniform();
      }
    }
    update_ejections();
  }

  // Replaces the routes. Retry budgets of routes that remain, or that open requests still use, are kept.
  void on(const RoutesUpdate& update) {
    routes_ = update.routes, pools_ = update.pools;
    std::map<int, double> budgets;
    for (const auto& route : routes_)
      budgets[route->id] =
          retry_budgets_.contains(route->id) ? retry_budgets_[route->id] : route->retry_budget_burst;
    for (const auto& [id, request] : requests_)
      if (request.route) budgets.try_emplace(request.route->id, retry_budgets_[request.route->id]);
    retry_budgets_ = std::move(budgets);
  }

  // Takes in a request: estimates its cost, lets it earn retry budget and trial credit, then dispatches it.
  void on(const Arrival& arrival) {
    if (arrival.cls < 0 || arrival.cls >= static_cast<int>(settings_.classes.size()) ||
        requests_.contains(arrival.id))
      return;
    Request& request = requests_[arrival.id];
    request.cls = arrival.cls, request.tenant = arrival.tenant, request.group = arrival.table_group,
    request.key = arrival.key;
    request.work_estimate_ms = arrival.estimate_ms;
    request.memory_estimate_mb =
        std::isfinite(arrival.memory_mb) && arrival.memory_mb > 0 ? arrival.memory_mb : 0;
    request.received_at = now_, request.deadline = now_ + arrival.remaining;
    request.over_quota = exceeds_quota(arrival.tenant);
    estimate_cost(request);
    if (arrival.route >= 0 && arrival.route < static_cast<int>(routes_.size())) {
      request.route = routes_[static_cast<std::size_t>(arrival.route)];
      double& budget = retry_budgets_[request.route->id];
      if (request.route->retry_budget_ratio && !arrival.route_full)
        budget = std::min(request.route->retry_budget_burst, budget + *request.route->retry_budget_ratio);
    }
    request.admission_threshold = oversubscription_ > 0 ? uniform() : 1;
    observed_slack_.add(to_ms(request.slack));
    trial_credit_ = std::min(kMaxCredit, trial_credit_ + kCreditPerRequest);
    if (settings_.retry_budget_ratio) arrival_times_.push_back(now_);
    if (request.key && class_of(request).keep_order) key_queues_[*request.key].queue.push_back(arrival.id);
    if (arrival.route_full) return finish(arrival.id, request, AnswerReason::kRouteFull);
    if (class_of(request).is_load && !admit_load(request))
      return finish(arrival.id, request, AnswerReason::kLoadsFull);
    dispatch(arrival.id, request);
  }

  // The request of an attempt whose end has not been reported yet; null for anything else.
  Request* request_of_open_attempt(RequestId id, int attempt) {
    const auto entry = requests_.find(id);
    const bool is_open =
        entry != requests_.end() && attempt >= 0 && attempt < static_cast<int>(entry->second.attempts.size());
    return is_open && entry->second.attempts[static_cast<std::size_t>(attempt)].open ? &entry->second
                                                                                     : nullptr;
  }

  // The client has gone: nothing more is sent for its request, and an attempt in flight is cancelled.
  void on(const ClientGone& event) {
    const auto entry = requests_.find(event.id);
    if (entry == requests_.end() || entry->second.finished) return;
    Request& request = entry->second;
    request.finished = true;
    if (request.attempt_in_flight() && settings_.may_cancel && !request.attempts.back().cancelled) {
      request.attempts.back().cancelled = true;
      emit(Cancel{event.id, static_cast<int>(request.attempts.size()) - 1});
    }
    remove_if_done(event.id);
  }

  void on(const FirstByte& event) {
    Request* request = request_of_open_attempt(event.id, event.attempt);
    if (request == nullptr) return;
    request->attempts[static_cast<std::size_t>(event.attempt)].streaming = true;
    record_response(engines_[static_cast<std::size_t>(
        request->attempts[static_cast<std::size_t>(event.attempt)].engine)]);
  }

  // A progress report of an attempt in flight: a response of the engine, a wait for a load, or the part of
  // the work done. By the latter a slow attempt is retried elsewhere, or given up if it cannot end in time.
  void on(const ProgressReport& progress) {
    Request* request = request_of_open_attempt(progress.id, progress.attempt);
    if (request == nullptr) return;
    Attempt& attempt = request->attempts[static_cast<std::size_t>(progress.attempt)];
    Engine& engine = engines_[static_cast<std::size_t>(attempt.engine)];
    attempt.last_response_at = now_;
    record_response(engine);
    if (settings_.honors_priority && !request->finished && priority(*request) != request->priority)
      update_resources(progress.id, *request, engine);
    if (progress.topic == ProgressTopic::kWaiting && progress.value >= 2)
      engine.group_held_until[request->group] = now_ + 2 * settings_.progress_interval;
    if (progress.topic != ProgressTopic::kProgress || !std::isfinite(progress.value)) return;
    // An attempt that would end after its soft deadline here, and much sooner elsewhere, is retried; but not
    // one that loads would block on every engine. Where the estimate was far too low this does harm: the new
    // attempt takes as long, and the work done is lost.
    const auto no_better = [&](const Engine& other) {
      return !other.listed || group_is_held(other, request->group);
    };
    if (class_of(*request).yields_to_load && std::all_of(engines_.begin(), engines_.end(), no_better)) return;
    const double elapsed_ms = to_ms(now_ - attempt.sent_at);
    const double remaining_ms = elapsed_ms / std::clamp(progress.value, 0.01, 1.0) - elapsed_ms;
    record_slowdown(engine, *request, elapsed_ms + remaining_ms);
    const double fresh_run_time = expected_run_time(*request) * 1.5;
    const bool is_slow = remaining_ms > kMinRetrySpeedup * fresh_run_time &&
                         now_ + from_ms(remaining_ms) > request->soft_deadline;
    if (is_slow && (oversubscription_ <= 0 || slow_retry_credit_ >= 1) &&
        cancel_for_retry(progress.id, *request)) {
      slow_retry_credit_ -= 1;
    } else if (oversubscription_ > 0 && !request->finished && !attempt.cancelled && !attempt.streaming &&
               settings_.may_cancel && now_ + from_ms(remaining_ms / kHopelessFactor) > request->deadline) {
      // It cannot end in time, and takes the engine from queries that can.
      attempt.cancelled = true;
      emit(Cancel{progress.id, progress.attempt});
      finish(progress.id, *request, AnswerReason::kCannotFinish);
    }
  }

  // Takes the load from a report: the part of the cores in use, or more where the number of queries that the
  // engine holds says so.
  void record_load_report(Engine& engine, const LoadReport& report) {
    auto load = report.cpu_utilisation;
    reports_count_queries_ = report.in_flight.has_value();
    if (report.in_flight) {
      // Cores fall idle where queries wait for disks or memory: there the number of queries that the engine
      // holds shows the load, and the use of the cores does not.
      const double threads_per_core = *report.in_flight * observed_threads_.get(1) / cores(engine);
      if (!load || oversubscription_ > 0)
        load = load ? std::max(*load, threads_per_core / kMaxUsefulThreadsPerCore) : threads_per_core;
    }
    if (!load) return;
    engine.reported_load = std::clamp(*load, 0.0, 100.0);
    pool_load_.add(*engine.reported_load);
    engine.reported_at = last_report_at_ = now_, engine.threads_sent_since_report = 0;
  }

  // An attempt has ended: removes it from its engine's backlog, learns from its outcome, and retries the
  // request or gives its final answer.
  void on(const AttemptClosed& closed) {
    Request* found = request_of_open_attempt(closed.id, closed.attempt);
    if (found == nullptr) return;
    Request& request = *found;
    Attempt& attempt = request.attempts[static_cast<std::size_t>(closed.attempt)];
    Engine& engine = engines_[static_cast<std::size_t>(attempt.engine)];
    attempt.open = false;
    engine.backlog = std::max(0.0, engine.backlog - request.cost_ms);
    engine.threads_in_flight -= class_of(request).threads;
    --attempts_in_flight_;
    if (--engine.attempts_in_flight == 0) engine.backlog = engine.threads_in_flight = 0;
    if (class_of(request).is_load && --engine.running_loads[request.group] <= 0)
      engine.running_loads.erase(request.group);
    record_load_report(engine, closed.report);
    const bool never_ran = closed.outcome == Outcome::kRejected ||
                           closed.outcome == Outcome::kConnectFailed || closed.outcome == Outcome::kNotSent;
    if (!never_ran && request.possible_run_engine < 0)
      request.possible_run_engine = attempt.engine, request.possible_run_at = attempt.sent_at;
    const bool outcome_unknown = closed.outcome == Outcome::kTimedOut ||
                                 closed.outcome == Outcome::kConnectionLost ||
                                 closed.outcome == Outcome::kCancelled;
    if (outcome_unknown && request.key && class_of(request).keep_order) {
      Micros& blocked_until = key_queues_[*request.key].blocked_until;
      blocked_until = std::max(blocked_until, now_ + settings_.settle_time);
    }
    if (closed.outcome == Outcome::kDelivered) {
      record_response(engine);
      slow_retry_credit_ = std::min(kMaxCredit, slow_retry_credit_ + kCreditPerRequest);
      learn_from_answer(request, closed);
      class_state(request).slowdown.add(record_slowdown(engine, request, to_ms(closed.delay)));
      observed_threads_.add(class_of(request).threads);
    }
    if (closed.outcome == Outcome::kDelivered || closed.outcome == Outcome::kTimedOut)
      record_delay_ratio(engine, request, attempt);
    // An engine that refuses an attempt as full says itself that no more fits, so its limit is lowered to the
    // present backlog. This covers engines filled by other gateways, or after other engines have died; an
    // occasional refusal during a burst costs some seconds of a lower limit. With many gateways the refusal
    // also counts as a load report, as reports of busy cores miss the queries that wait for something else.
    if (closed.outcome == Outcome::kRejected && oversubscription_ > 0)
      engine.reported_load = kFullEngineLoad, engine.reported_at = last_report_at_ = now_;
    if (closed.outcome == Outcome::kRejected)
      engine.backlog_limit = std::max(
          std::ceil(mean_cost()), std::min(engine.backlog_limit, engine.backlog + backlog_of_others(engine))),
      engine.limit_delta = 0;
    // An engine on which an attempt timed out is at least that slow. Without progress reports the timeout
    // shows nothing of its speed, as the engine may have lost the attempt.
    if (closed.outcome == Outcome::kTimedOut && settings_.progress_interval.count() > 0)
      record_slowdown(engine, request, to_ms(closed.delay));
    if (closed.outcome == Outcome::kConnectFailed) add_failure_score(engine, kConnectFailureScore);
    if (closed.outcome == Outcome::kConnectionLost) add_failure_score(engine, kAttemptFailureScore);
    // An engine may answer some queries and lose others: its loss rate, compared with the pool's, lowers its
    // weight in the draw.
    const bool is_loss = closed.outcome == Outcome::kTimedOut || closed.outcome == Outcome::kAppError;
    if (is_loss || closed.outcome == Outcome::kDelivered)
      engine.loss_rate.add(is_loss), pool_loss_rate_.add(is_loss);
    if (closed.outcome == Outcome::kTimedOut && engine.last_response_at < attempt.sent_at)
      add_failure_score(engine, kAttemptFailureScore);
    if (closed.request_answered) request.finished = true;
    if (request.finished) {
      remove_if_done(closed.id);
    } else if (closed.outcome == Outcome::kNotSent) {
      finish(closed.id, request, AnswerReason::kNotSent);
    } else if (now_ >= request.deadline) {
      finish(closed.id, request, AnswerReason::kDeadlinePassed);
    } else if (request.route && request.route->retry_delay.count() > 0) {
      delay_retry(closed.id, request);
    } else {
      dispatch(closed.id, request);
    }
  }

  // An ejected engine that answers a probe is due for a trial at once.
  void on(const ProbeResult& probe) {
    if (find_engine(probe.engine) == nullptr) return;
    Engine& engine = engines_[static_cast<std::size_t>(probe.engine)];
    record_load_report(engine, probe.report);
    if (probe.delivered && engine.ejected)
      engine.next_trial_at = std::min(engine.next_trial_at, now_), engine.trial_interval = kControlPeriod;
  }

  // No decision depends on other gateways' messages.
  void on(const PeerMessage&) {}

  // A timer is due: retries whose delay has ended, then the tick's housekeeping, and once per control period
  // the PI loop over all engines.
  void on(const TimerFired& timer) {
    while (!delayed_retries_.empty() && delayed_retries_.begin()->first <= now_) {
      const RequestId id = delayed_retries_.begin()->second;
      delayed_retries_.erase(delayed_retries_.begin());
      const auto entry = requests_.find(id);
      if (entry != requests_.end() && now_ >= entry->second.retry_at) dispatch(id, entry->second);
    }
    if (timer.label != kTickTimerLabel || now_ < next_tick_at_) return;
    next_tick_at_ = now_ + kTickInterval;
    emit(Timer{next_tick_at_, kTickTimerLabel});
    if (resubscribe_at_.count() > 0 && now_ >= resubscribe_at_ &&
        settings_.registry_mode == RegistryMode::kSubscribe)
      resubscribe_at_ = Micros{0}, emit(Subscribe{true});
    if (pool_load_.weight > kPoolLoadDecay)
      pool_load_.sum *= 1 - kPoolLoadDecay, pool_load_.weight *= 1 - kPoolLoadDecay;
    std::erase_if(group_loads_, [this](const auto& entry) {
      return now_ - entry.second.updated_at > 4 * kGroupLoadWindow;
    });
    while (!arrival_times_.empty() && arrival_times_.front() <= now_ - settings_.retry_budget_window)
      arrival_times_.pop_front();
    while (!retry_times_.empty() && retry_times_.front() <= now_ - settings_.retry_budget_window)
      retry_times_.pop_front();
    check_silent_engines();
    // Queued requests near their deadline are answered while a refusal can still reach the client.
    std::vector<RequestId> expiring;
    for (const auto& [id, request] : requests_)
      if (!request.finished && !request.attempt_in_flight() && deadline_is_near(request))
        expiring.push_back(id);
    for (RequestId id : expiring) {
      const auto entry = requests_.find(id);
      if (entry != requests_.end() && !entry->second.attempt_in_flight())
        finish(id, entry->second, AnswerReason::kDeadlineNear);
    }
    std::vector<std::uint64_t> keys;
    for (const auto& [key, key_queue] : key_queues_)
      if (key_queue.blocked_until.count() > 0 && now_ >= key_queue.blocked_until) keys.push_back(key);
    for (std::uint64_t key : keys) dispatch_next_of_key(key);
    if (now_ < next_control_at_) return;
    next_control_at_ = now_ + kControlPeriod;
    // Where a gateway sees few attempts end, those in flight and overdue count as samples of the pool as
    // well.
    double overdue_ratio_sum = 0, overdue_samples = 0;
    for (const auto& [id, request] : requests_) {
      if (oversubscription_ <= 0 || !request.attempt_in_flight()) continue;
      const double delay_ratio =
          to_ms(now_ - request.attempts.back().sent_at) / std::max(1.0, to_ms(request.slack));
      if (delay_ratio > 1)
        overdue_ratio_sum += oversubscription_ * std::min(kMaxDelayRatio, delay_ratio),
            overdue_samples += oversubscription_;
    }
    pool_delay_ratio_sum_ += overdue_ratio_sum, pool_delay_samples_ += overdue_samples;
    std::vector<double> slowdowns;
    for (Engine& engine : engines_) {
      if (!engine.known) continue;
      // Replacement engines come under new names all the time: an engine that is gone is forgotten, except
      // for its slot.
      if (!engine.listed && engine.attempts_in_flight == 0 && engine.status != EngineStatus::kDraining) {
        engine.known = false, engine.warm_groups.clear(), engine.group_held_until.clear(),
        engine.slow_start_sends.clear();
        continue;
      }
      if (engine.listed && engine.ejected && settings_.may_probe && trial_credit_ >= 1) {
        trial_credit_ -= 1;
        emit(Probe{static_cast<int>(&engine - engines_.data())});
      }
      update_backlog_limit(engine);
      if (engine.listed && engine.slowdown.weight > 0) slowdowns.push_back(engine.slowdown.get(1));
    }
    std::sort(slowdowns.begin(), slowdowns.end());
    if (!slowdowns.empty()) pool_slowdown_ = slowdowns[slowdowns.size() / 2];
    if (pool_delay_samples_ >= kMinDelaySamples * (1 - 1.0 / settings_.gateways)) {
      pool_delay_ratio_sum_ = pool_delay_samples_ = 0;
    } else {
      pool_delay_ratio_sum_ -= overdue_ratio_sum, pool_delay_samples_ -= overdue_samples;
    }
  }

  template <typename A>
  void emit(A action) {
    actions_->emplace_back(std::in_place_type<A>, std::move(action));
  }

  Settings settings_;
  std::mt19937_64 random_;
  Micros now_{0}, last_report_at_{0}, next_tick_at_{0}, next_control_at_{0}, resubscribe_at_{0};
  std::vector<Action>* actions_{};
  std::vector<Engine> engines_;
  std::vector<ClassState> classes_;
  std::vector<TenantState> tenants_;
  std::map<int, GroupLoad> group_loads_;  // by table group
  std::vector<bool> reserved_;            // by engine, for the table group of the draw under way
  std::map<RequestId, Request> requests_;
  int attempts_in_flight_{0};  // on all engines
  std::map<std::uint64_t, KeyQueue> key_queues_;
  std::vector<std::shared_ptr<const RouteParameters>> routes_;
  std::vector<std::vector<bool>> pools_;
  std::map<int, double> retry_budgets_;  // by the route's id: retries that may be made now
  std::multimap<Micros, RequestId> delayed_retries_;
  // Within the window of the settings' retry budget.
  std::deque<Micros> arrival_times_, retry_times_;
  DecayingMean pool_loss_rate_, observed_cost_, observed_slack_, observed_threads_, pool_load_;
  double time_per_work_{1},  // ms that an ms of estimated work takes on a fast engine
      pool_slowdown_{1},     // median of the engines'
      pool_delay_ratio_sum_{}, pool_delay_samples_{},
      trial_credit_{1},  // for trials and probes of ejected engines
      slow_retry_credit_{kMaxCredit};
  // Load reports count the queries that the engine holds, including those that wait for something else than
  // cores.
  bool reports_count_queries_{};
  // Part of the gateways whose queries an engine cannot run all at once: 0 where it has room for one of each,
  // near 1 where gateways are many. It scales whatever only a large fleet needs.
  double oversubscription_{};
};

Gateway::Gateway(std::uint64_t seed, Settings settings) {
  validate(settings);
  impl_ = std::make_unique<Impl>(seed, std::move(settings));
}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;

void Gateway::handle(Micros now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

double Gateway::backlog_limit(int i) const {
  return impl_->find_engine(i) ? impl_->find_engine(i)->backlog_limit : 0;
}
int Gateway::attempts_in_flight() const { return impl_->attempts_in_flight(); }
double Gateway::backlog(int i) const { return impl_->find_engine(i) ? impl_->find_engine(i)->backlog : 0; }

}  // namespace steprail
