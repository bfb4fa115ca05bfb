// Interface: include/steprail/gateway.h. This file holds every decision of steprail; docs/design.md says why.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>

#include "steprail/gateway.h"

namespace steprail {
namespace {

// ---- Constants: dimensionless, or times that the design itself names ----
constexpr Micros kPeriod{1'000'000};    // the design's sampling period of the PI loop
constexpr Micros kTick = kPeriod / 10;  // housekeeping, fine against the period and coarse against the wire
constexpr std::uint64_t kTickLabel = 1, kPauseLabel = 2;  // the timer that always runs; a pause is over
constexpr double kSetPoint = 0.9;                         // S_t of the paper's SLA
constexpr double kGainP = 1.0;   // K_P; the paper's 2.36 suits data items, finishes come slower here
constexpr double kGainI = 0.5;   // K_I; the paper's 3.62 swings once delays span several periods
constexpr double kSlack = 0.25;  // of a class's mean aim over its mean delay goes into its slack factor
constexpr double kSlackMin = 1.5, kSlackMax = 4.5;  // the range of slack factors in the paper
constexpr double kDdrMost = 4;                      // one overdue finish weighs no more than this in a mean
constexpr double kStartAims = 0.4;  // starting bound: mean aims' worth of all cores, split by gateways
constexpr double kEnough = 8;       // finishes from which an engine's own mean DDR stands alone
constexpr double kLeak = 0.5,
                 kCrowdGain = 3;    // many gateways: of a step forgotten; added to the next one's gain
constexpr double kSubset = 6;       // subset: engines for this many times a gateway's part of all room
constexpr double kOutsider = 0.02;  // draw weight outside the subset: where the subset is full
constexpr Micros kReportLife = 3 * kPeriod;  // after which a load report is mostly the pool's average
constexpr double kNewsFade = 0.1;            // of older reports' part in the pool's load, in a tick
constexpr double kBurst = 8;                 // requests that a tenant may be ahead of its share, at least
constexpr double kBusy = 1;                  // of the starting bound is used up where the cores are just busy
constexpr double kTrialShare = 0.1, kTrialBurst = 4;  // trials and probes of shunned engines, to arrivals
constexpr double kPaceFade = 0.1;  // of what is known of an engine's pace fades in a period under crowding
constexpr int kEnginesMost = 1 << 20;  // indices beyond this are not the caller's own
constexpr double kKnee = 1.2;    // threads a core from which more of them get less done; memory may go first
constexpr double kFullSays = 4;  // load of an engine that turned a query away, until it tells
constexpr double kCautious = 0.6;       // of the starting bound is held back at first where gateways are many
constexpr double kHeadroom = 1.5;       // anti-windup: the bound stays within this of what was asked of it
constexpr double kPeakFade = 0.9;       // what was asked fades by this a period
constexpr double kFade = 0.98;          // a learned mean forgets over some 50 samples
constexpr double kOutlier = 8;          // a true cost counts at most this times what was expected
constexpr double kCostMost = 1e7;       // no estimate above this (ms) is believed
constexpr double kWarmTilt = 2.5;       // draw weight of an engine that read the query's tables lately
constexpr std::size_t kWarmGroups = 3;  // how many groups an engine is trusted to keep warm
constexpr double kHeldTilt = 0.05;  // draw weight where a load holds the tables that the query would wait for
constexpr Micros kAreaSpan = 4 * kPeriod;  // over which the loads of a group are counted
constexpr double kHoldUse = 0.9;     // part of its time that a group may be held on an engine kept for loads
constexpr double kHoldPart = 0.5;    // one load holds it for no more than this part of what is left of that
constexpr double kStrayTilt = 1e-6;  // draw weight of a load on an engine not kept for its group
constexpr double kZoneTilt = 25;     // 1 / (1 + this x price) is the weight of a send across zones
constexpr double kShunAt = 0.5;      // suspicion above the pool's from which an engine is shunned
constexpr double kClears = 0.3;      // an answer leaves this part of the suspicion
constexpr double kHard = 0.5, kSoft = 0.25;  // suspicion added by a failed connect; by a break or a time-out
constexpr double kLossPower = 6;   // an engine losing a fifth more than the pool gets a quarter of the weight
constexpr double kShunMost = 0.5;  // part of the pool that may be shunned
constexpr Micros kTrialMost = 4 * kPeriod;  // longest wait between trials of a shunned engine
constexpr double kOverdue = 4;              // times the expected delay after which silence is unexpected
constexpr double kPaceWorse = 3;      // a running attempt is moved when a fresh one would be so much quicker
constexpr double kHopeless = 5;       // times what is left, that a rough guess must say to end an attempt
constexpr double kPatience = 0.6;     // of the time left goes to an attempt that may be tried again
constexpr double kColdMargin = 0.75;  // of the cold budget is used: estimates and capacities lie
constexpr double kColdOdds = 0.5, kColdMany = 24;  // the same by chance; queries that it must hold for that
constexpr double kFullLoad = 0.85;       // an engine's capacity is the work that keeps its cores this busy
constexpr double kOverShareBound = 0.5;  // part of the bound that over-share tenants may fill
constexpr double kTrusted = 5;           // samples from which a learned correction is believed
constexpr double kGrantMargin = 1.35;    // memory granted over the corrected estimate

double ms(Micros t) { return static_cast<double>(t.count()) / 1000; }
double part(std::uint64_t bits) { return (static_cast<double>(bits >> 11) + 0.5) / 9007199254740992.0; }
Micros from_ms(double t) { return Micros{std::llround(std::min(t, kCostMost) * 1000)}; }

// A mean that forgets.
struct Mean {
  double sum{}, weight{};
  void add(double x) { sum = sum * kFade + x, weight = weight * kFade + 1; }
  double get(double otherwise) const { return weight > 0 ? sum / weight : otherwise; }
};

// A group of tables: how long its loads would hold it, in ms.
struct Area {
  double asked{}, room{};  // of all gateways in a span; what this one may still send
  Micros since{0}, at{0};
};

struct Engine {
  bool known{}, listed{}, shunned{};
  std::uint64_t name{};
  EngineStatus standing{EngineStatus::kReady};
  int zone{}, kind{}, cell{};
  Micros came_up{0};
  double backlog{}, bound{}, delta{}, last_error{}, ddr_sum{}, peak{};
  int finishes{}, out{};
  Micros floored_at{-1};
  std::optional<double> utilisation;
  double sent_since{}, threads_out{}, mine{1};  // mine: 1 in this gateway's subset, 0 outside
  double suspicion{}, cold_used{}, cold_start{};
  Micros heard{0}, told_at{0}, told_up{0}, trial_at{0}, trial_wait{0};
  Mean slowdown, lost;
  std::deque<std::pair<Micros, double>> cold_sends;
  std::deque<int> warm;
  std::map<int, int> loads;
  std::map<int, Micros> held_until;
  bool usable() const { return listed && !shunned; }
};

struct Attempt {
  int engine{};
  Micros sent{0}, heard{sent};
  bool open{true}, cancelled{}, streaming{};
};

struct Request {
  int cls{}, tenant{}, group{-1}, priority{1};
  std::optional<std::uint64_t> key;
  Micros arrived{0}, deadline{0}, slack{0}, aim{0};
  double estimate{}, cost{}, sigma{}, memory{}, luck{1};
  std::vector<Attempt> attempts;
  bool finished{}, over_share{};
  int risky_engine{-1};  // where an attempt may have run, and when that was sent
  Micros risky_at{0}, held_until{0};
  std::shared_ptr<const RouteParameters> route;
  bool out() const { return !attempts.empty() && attempts.back().open; }
};

struct ClassState {
  Mean work, correction, memory_correction, slowdown;
};

struct TenantState {
  double tokens{};
  Micros filled{0};
};

struct KeyLine {
  std::deque<RequestId> line;
  Micros rests_until{0};
};

}  // namespace

class Gateway::Impl {
 public:
  Impl(std::uint64_t seed, Settings settings) : s_(std::move(settings)), random_(seed) {
    classes_.resize(s_.classes.size());
    tenants_.resize(s_.tenants.size());
    for (const KindSettings& kind : s_.kinds)
      crowding_ = std::max(crowding_, 1 - std::min(1.0, holds(kind) / s_.gateways));
  }

  void handle(Micros now, const Event& event, std::vector<Action>& actions) {
    now_ = std::max(now_, now);
    actions_ = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
  }

  const Engine* engine(int index) const {
    if (index < 0 || index >= static_cast<int>(engines_.size())) return nullptr;
    const Engine& e = engines_[static_cast<std::size_t>(index)];
    return e.known ? &e : nullptr;
  }

 private:
  // ---- 1. Cost ----

  const ClassSettings& of(const Request& r) const { return s_.classes[static_cast<std::size_t>(r.cls)]; }
  ClassState& state(const Request& r) { return classes_[static_cast<std::size_t>(r.cls)]; }

  // Before anything is known a class's usual work is what would use up a quarter of its objective.
  double mean_work(int cls) const {
    const auto i = static_cast<std::size_t>(cls);
    return classes_[i].work.get(usual_work(cls));
  }

  double usual_work(int cls) const {
    const ClassSettings& c = s_.classes[static_cast<std::size_t>(cls)];
    return std::max(1.0, ms(c.objective) * c.threads / 4);
  }

  double mean_sigma(int cls) const {
    return mean_work(cls) * unit_ / s_.classes[static_cast<std::size_t>(cls)].threads;
  }

  // One mean-cost query of this gateway's own mix.
  double mean_cost() const { return std::max(1.0, cost_seen_.get(mean_work(0) * unit_)); }

  // How long an attempt should take as things are; what slows all engines alike raises it for all.
  double expected(const Request& r) const {
    return r.sigma * std::max(1.0, classes_[static_cast<std::size_t>(r.cls)].slowdown.get(1));
  }

  void price(Request& r) {
    const double told = r.estimate;
    const bool sane = std::isfinite(told) && told > 0;
    const double work = sane ? std::min(told, kCostMost) * state(r).correction.get(1) : mean_work(r.cls);
    r.cost = std::clamp(work * unit_, 1.0, kCostMost);
    r.sigma = std::max(1.0, r.cost / of(r).threads);
    const double aim = ms(of(r).objective) + of(r).aim_stretch * r.sigma;
    const double ratio = (ms(of(r).objective) / mean_sigma(r.cls) + of(r).aim_stretch) * kSlack;
    r.slack = from_ms(std::clamp(ratio, kSlackMin, kSlackMax) * r.sigma);
    r.aim = r.arrived + from_ms(aim);
    cost_seen_.add(std::min(r.cost, kOutlier * mean_cost()));
  }

  // A runaway's true cost tells of its plan and not of its class: it is clamped.
  void learn(const Request& r, const AttemptClosed& e) {
    const double sigma_now = ms(e.delay) * of(r).threads;
    double work = s_.reports_cost ? e.actual_work_ms : 0;
    ClassState& c = classes_[static_cast<std::size_t>(r.cls)];
    if (work > 0) {
      const double expected = r.cost / unit_;
      work = std::clamp(work, expected / kOutlier, expected * kOutlier);
      if (r.estimate > 0 && std::isfinite(r.estimate))
        c.correction.add(work / std::min(r.estimate, kCostMost));
      if (r.memory > 0)
        c.memory_correction.add(std::clamp(e.actual_memory_mb / r.memory, 1 / kOutlier, kOutlier));
    } else {
      work = r.cost / unit_;
    }
    c.work.add(work);
    const double unit = std::clamp(sigma_now / work, 1 / kOutlier, kOutlier);
    unit_ += (unit < unit_ ? 0.1 : 0.002) * (unit - unit_);  // follows the fastest, forgets them slowly
  }

  // ---- 2. Backlog and PI loop ----

  double cores(const Engine& e) const { return s_.kinds[static_cast<std::size_t>(e.kind)].cores; }

  double start_bound(const Engine& e) const {
    double aims = 0;
    for (const ClassSettings& c : s_.classes)
      aims += ms(c.objective) * (1 + c.aim_stretch) / static_cast<double>(s_.classes.size());
    return std::floor(kStartAims * aims * cores(e) / sharers(e));
  }

  // How many gateways an engine is split between: all of them while it has room for a query of each; the
  // more of them it has not, the more the bound is on the engine as a whole, with what others have there.
  double sharers(const Engine& e) const {
    return std::min<double>(s_.gateways, holds(s_.kinds[static_cast<std::size_t>(e.kind)]));
  }

  // A report ages: unheard engines are as the average, and what was told of drains away.
  double load(const Engine& e) const {
    const double average = pool_load_.get(kBusy);
    const double fresh = e.utilisation ? std::exp(-ms(now_ - e.told_at) / ms(kReportLife)) : 0;
    return fresh * e.utilisation.value_or(0) + (1 - fresh) * average;
  }

  // Backlog of the other gateways, as a part of the bound that the settings give: an engine whose cores are
  // just busy has used up most of it. Learned costs are no measure of it: a gateway sees too few queries.
  double others(const Engine& e) const {
    if (crowding_ <= 0) return 0;
    const double age = ms(now_ - told_at_) / ms(kReportLife);
    const double told = (load(e) - kBusy) * std::exp(-std::max(0.0, age - 1));
    // An idle engine is one gateway's to fill; a busy one is split between as many as it has room for.
    const double split = counted_ ? start_bound(e) : std::min(e.bound, start_bound(e));
    if (told < 0) return -crowding_ * told * told * split * (sharers(e) - 1);
    return crowding_ * std::max(0.0, told * start_bound(e) - e.backlog);
  }

  double holds(const KindSettings& kind) const {
    double threads = 0;
    for (const ClassSettings& c : s_.classes) threads += c.threads;
    return std::max(1.0, kind.cores * static_cast<double>(s_.classes.size()) / threads);
  }

  void sample(Engine& e, const Request& r, const Attempt& a) {
    // Overdue finishes after a pause must not pin the bound: what was admitted before the bound last fell to
    // its floor says nothing about the bound that stands now.
    if (a.sent <= e.floored_at) return;
    const double ddr = std::min(kDdrMost, ms(now_ - a.sent) / std::max(1.0, ms(r.slack)));
    e.ddr_sum += ddr;
    ++e.finishes;
    pool_ddr_sum_ += ddr;
    ++pool_finishes_;
  }

  void control(Engine& e) {
    const double floor = mean_cost();
    e.peak = std::max(e.peak * kPeakFade, e.backlog + others(e));
    // Few samples an engine: what was learned of its pace fades with time, not only with samples.
    e.slowdown.sum *= 1 - kPaceFade * crowding_;
    e.slowdown.weight *= 1 - kPaceFade * crowding_;
    // One of many gateways sees few finishes: samples are gathered until there are enough.
    const double enough = kEnough * (1 - 1.0 / s_.gateways);
    if (pool_finishes_ > 0 && pool_finishes_ >= enough && (e.finishes > 0 || enough > 0)) {
      const double lent = std::max(0.0, enough - e.finishes);
      const double pooled = pool_ddr_sum_ / pool_finishes_;
      const double error = kSetPoint - (e.ddr_sum + lent * pooled) / (e.finishes + lent);
      e.delta = (1 - kLeak * crowding_) * e.delta +
                kGainP * ((kGainI + 1) * error - e.last_error) * floor * (1 + kCrowdGain * crowding_);
      e.bound = std::floor(e.bound + e.delta);
      e.last_error = error;
      e.ddr_sum = e.finishes = 0;
    }
    // Anti-windup: a bound that nothing has pressed against has not been tested, and is not opened further.
    const double ceiling = std::max(start_bound(e), kHeadroom * e.peak);
    if (e.bound > ceiling) e.bound = ceiling, e.delta = std::min(e.delta, 0.0);
    if (e.bound < floor) e.bound = std::ceil(floor), e.delta = 0, e.floored_at = now_;
  }

  // ---- 3. Choice ----

  bool held(const Engine& e, int group) const {
    const auto until = e.held_until.find(group);
    return e.loads.contains(group) || (until != e.held_until.end() && until->second > now_);
  }

  double weight(const Engine& e, const Request& r) const {
    const double own = e.threads_out * sharers(e) / cores(e);
    const double told = e.utilisation.value_or(own);
    double w = 1 / (1 + told + crowding_ * (load(e) - told) + e.sent_since / cores(e));
    w *= w;
    const double slower = e.slowdown.get(pool_slowdown_) / pool_slowdown_;
    if (slower > 1) w /= slower;
    const bool warm = std::find(e.warm.begin(), e.warm.end(), r.group) != e.warm.end();
    if (warm && r.group >= 0) w *= kWarmTilt;
    if ((of(r).is_load || of(r).yields_to_load) && held(e, r.group)) w *= kHeldTilt;
    if (s_.own_zone >= 0 && e.zone != s_.own_zone) w /= 1 + kZoneTilt * s_.cross_zone_cost;
    const double losing = std::max(0.0, e.lost.get(0) - pool_lost_.get(0));
    w *= std::pow(1 - losing, kLossPower);
    return w * std::max(0.01, 1 - e.suspicion) * std::max(kOutsider, cold(e) ? 1 : e.mine);
  }

  // Each gateway works mainly on a subset of the engines, so that what it knows of them is fresh: the next
  // ones on a ring from its own place. Places follow the golden section, which spreads any number of them
  // evenly and moves none when engines come and go. What cannot be used is skipped: the subset widens.
  void choose_subset() {
    constexpr double kGolden = 0.6180339887498949;
    const auto place = [](int i) { return i * kGolden - std::floor(i * kGolden); };
    const double from = place(s_.own_index);
    std::vector<std::pair<double, int>> ring;
    double room = 0;
    for (int i = 0; i < static_cast<int>(engines_.size()); ++i) {
      Engine& e = engines_[static_cast<std::size_t>(i)];
      e.mine = 0;
      if (!e.listed) continue;
      room += holds(s_.kinds[static_cast<std::size_t>(e.kind)]);
      if (e.shunned) continue;
      const double ahead = place(i) - from;
      ring.emplace_back(ahead < 0 ? ahead + 1 : ahead, i);
    }
    double left = kSubset * room / s_.gateways;
    std::sort(ring.begin(), ring.end());
    for (const auto& [_, i] : ring) {
      engines_[static_cast<std::size_t>(i)].mine = std::clamp(left, 0.0, 1.0);
      left -= 1;
    }
  }

  double uniform() { return part(random_()); }

  // Counts a load, and tells whether its group has room for it. Loads of a group stand in line on an engine,
  // so pairs of the two run out long before cores do; short ones then bring more for the time they hold.
  bool has_room(const Request& r) {
    if (r.group < 0) return true;
    const auto usable = std::count_if(engines_.begin(), engines_.end(), [](auto& e) { return e.usable(); });
    const double rate = std::max(1.0, static_cast<double>(usable) - 1) * kHoldUse / s_.gateways;
    const double most = rate * ms(kAreaSpan);
    Area& a = areas_.try_emplace(r.group, Area{0, most, now_, now_}).first->second;
    const double age = ms(now_ - a.at);
    a.room = std::min(most, a.room + rate * age), a.at = now_;
    a.asked = a.asked * std::exp(-age / ms(kAreaSpan)) + r.sigma * s_.gateways;
    if (a.room < most && r.sigma > a.room * kHoldPart) return false;
    a.room -= r.sigma;
    return true;
  }

  // The engines kept for a group's loads: the first of an order in which all gateways agree (rendezvous
  // hashing by cores), as many as the loads need (square-root staffing); one is left to what yields.
  void keep(int group) {
    kept_.assign(engines_.size(), false);
    const auto area = areas_.find(group);
    if (area == areas_.end()) return;
    const auto& [asked, room, since, at] = area->second;
    const double span = ms(kAreaSpan), seen = 1 - std::exp(-ms(now_ + kPeriod - since) / span);
    const double holds = asked * std::exp(-ms(now_ - at) / span) / span / seen;
    std::vector<std::pair<double, std::size_t>> order;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      const Engine& e = engines_[i];
      const auto drawn = XXH3_64bits_withSeed(&e.name, sizeof e.name, static_cast<XXH64_hash_t>(group));
      if (e.usable() && !cold(e)) order.emplace_back(std::log(part(drawn)) / cores(e), i);
    }
    std::sort(order.begin(), order.end(), std::greater<>());
    const double wanted = std::ceil(holds + std::sqrt(holds));
    for (std::size_t n = 0; n + 1 < order.size() && static_cast<double>(n) < wanted; ++n)
      kept_[order[n].second] = true;
  }

  // Engines in the order of a weighted draw without replacement.
  std::vector<int> draw(const Request& r, int avoid) {
    std::vector<std::pair<double, int>> keyed;
    const bool apart = of(r).is_load || of(r).yields_to_load;
    if (apart) keep(r.group);
    for (int i = 0; i < static_cast<int>(engines_.size()); ++i) {
      const Engine& e = engines_[static_cast<std::size_t>(i)];
      if (!e.usable() || i == avoid) continue;
      const bool kept = apart && kept_[static_cast<std::size_t>(i)];
      const double tilt = of(r).is_load && !kept ? kStrayTilt : kept && !of(r).is_load ? kHeldTilt : 1;
      keyed.emplace_back(std::log(uniform()) / (tilt * weight(e, r)), i);
    }
    std::sort(keyed.begin(), keyed.end(), std::greater<>());
    std::vector<int> order;
    const bool light = of(r).idempotency == Idempotency::kIdempotent && r.attempts.empty() &&
                       r.sigma <= mean_sigma(r.cls) && most_tries(r) > 1;
    for (int i = 0; light && i < static_cast<int>(engines_.size()); ++i) {
      Engine& e = engines_[static_cast<std::size_t>(i)];
      if (e.listed && e.shunned && now_ >= e.trial_at && trials_ >= 1) order.push_back(i);
    }
    for (const auto& [_, i] : keyed) order.push_back(i);
    if (avoid >= 0) order.push_back(avoid);  // last: by effect or placement it may be the only one left
    return order;
  }

  // Admission: the first engine in draw order whose backlog with this query fits its bound.
  void dispatch(RequestId id, Request& r) {
    if (r.finished || r.out() || now_ < r.held_until) return;
    if (!has_turn(id, r)) {
      // Held for its turn, unless it would be lost before the next look at what is held.
      if (ending(r)) finish(id, r, AnswerReason::kDeadlineNear);
      return;
    }
    const bool again = !r.attempts.empty();
    const std::vector<int> order = draw(r, again ? r.attempts.back().engine : -1);
    for (int i : order) {
      Engine& e = engines_[static_cast<std::size_t>(i)];
      if (!in_pool(r, i)) continue;
      const double crowd = others(e);
      e.peak = std::max(e.peak, e.backlog + crowd + r.cost);
      const double share = r.over_share ? kOverShareBound : 1;
      // All gateways see the same busy engines: each lets in a part that falls with the load, not all or
      // none.
      if (!e.shunned && crowd > r.luck * start_bound(e)) continue;
      // At its floor the bound is meant for one query: an empty backlog takes one of up to twice the mean, or
      // a mean that rises would find every floored engine shut, and with no finishes none would open again.
      const bool lone = e.out == 0 && r.cost <= 2 * mean_cost() && crowd <= start_bound(e);
      // A shunned engine is here for a trial, whatever its bound: what hangs there may fill that for long.
      if ((lone || e.shunned || e.backlog + crowd + r.cost <= e.bound * share) && send(id, r, i)) return;
    }
    // A query that was admitted once is not thrown away for the place that its lost attempt has freed.
    for (int i : order)
      if (again && send(id, r, i)) return;
    finish(id, r, again && !may_try_again(r) ? AnswerReason::kAttemptsUsedUp : AnswerReason::kNoEngine);
  }

  // ---- 4. Health ----

  void suspect(Engine& e, double amount) {
    e.suspicion = std::min(1.0, e.suspicion + amount);
    judge();
  }

  void clear(Engine& e) {
    e.heard = now_;
    if (e.suspicion <= 0) return;
    e.suspicion = e.suspicion < 0.05 ? 0 : e.suspicion * kClears;
    judge();
  }

  // How much slower than expected an attempt is, noted for its engine.
  double slowed(Engine& e, const Request& r, double delay) {
    const double slowdown = std::clamp(delay / r.sigma, 0.1, 50.0);
    e.slowdown.add(slowdown);
    return slowdown;
  }

  // Shuns the most suspicious engines, as far as they stand out from the pool and never more than a part of
  // it: what strikes all at once is no engine's fault, and someone has to serve.
  void judge() {
    std::vector<std::pair<double, std::size_t>> pool;
    for (std::size_t i = 0; i < engines_.size(); ++i)
      if (engines_[i].listed) pool.emplace_back(engines_[i].suspicion, i);
    std::sort(pool.begin(), pool.end(), std::greater<>());
    const auto most = static_cast<std::size_t>(kShunMost * static_cast<double>(pool.size()));
    const double usual = pool.empty() ? 0 : pool[pool.size() / 2].first;
    for (std::size_t n = 0; n < pool.size(); ++n) {
      Engine& e = engines_[pool[n].second];
      const bool shun = n < most && pool[n].first - usual >= kShunAt;
      if (shun == e.shunned) continue;
      e.shunned = shun;
      if (shun) e.trial_wait = kPeriod, e.trial_at = now_ + kPeriod;
      act(Log{"engine " + std::to_string(pool[n].second) + (shun ? " shunned" : " back") + ", suspicion " +
              std::to_string(pool[n].first)});
    }
    choose_subset();
  }

  // Unexpected silence: nothing heard for far too long; where notes are promised, for several intervals.
  void listen() {
    std::map<int, int> overdue;
    for (auto& [id, r] : requests_) {
      if (!r.out() || r.attempts.back().streaming) continue;
      const Attempt& a = r.attempts.back();
      const Engine& e = engines_[static_cast<std::size_t>(a.engine)];
      // Notes of one attempt stay away while others come: its connection is dead, or its answer was lost.
      if (now_ - a.heard > 3 * s_.progress_interval && now_ - e.heard < s_.progress_interval) move(id, r);
      const Micros most = r.route ? r.route->move_after : Micros{0};
      if (most.count() > 0 && now_ - a.sent >= most) move(id, r);
      const double quiet = ms(now_ - std::max(a.sent, e.heard));
      const double limit = s_.progress_interval.count() > 0 ? 3 * ms(s_.progress_interval)
                                                            : kOverdue * expected(r) + ms(kTick);
      if (quiet > limit) ++overdue[a.engine];
    }
    for (const auto& [i, count] : overdue) {
      Engine& e = engines_[static_cast<std::size_t>(i)];
      if (count < 2 && s_.progress_interval.count() == 0) continue;
      suspect(e, kSoft);
      // Repeatable queries leave an engine that has fallen silent; others cannot be tried again safely.
      for (auto& [id, r] : requests_)
        if (e.shunned && r.out() && r.attempts.back().engine == i) move(id, r);
    }
  }

  // ---- 5. Attempts ----

  int most_tries(const Request& r) const {
    return r.route && r.route->max_attempts > 0 ? std::min(r.route->max_attempts, s_.max_attempts)
                                                : s_.max_attempts;
  }

  bool another_try(const Request& r) const {
    return s_.may_cancel && of(r).idempotency == Idempotency::kIdempotent && !r.finished &&
           !r.attempts.back().streaming && static_cast<int>(r.attempts.size()) < most_tries(r) &&
           budget_allows(r) && ms(r.deadline - now_) > expected(r);
  }

  bool move(RequestId id, Request& r) {
    Attempt& a = r.attempts.back();
    if (a.cancelled || !another_try(r)) return false;
    a.cancelled = true;
    act(Cancel{id, static_cast<int>(r.attempts.size()) - 1});
    return true;
  }

  Micros patience(const Request& r) const {
    if (r.route && !r.route->attempt_timeouts.empty())
      return r.route->attempt_timeouts[std::min(r.attempts.size(), r.route->attempt_timeouts.size() - 1)];
    const bool more = of(r).idempotency == Idempotency::kIdempotent &&
                      static_cast<int>(r.attempts.size()) + 1 < most_tries(r);
    // Where notes are promised, their silence tells sooner what is lost, and their pace what is too slow.
    if (!more || (crowding_ > 0 && s_.progress_interval.count() > 0)) return Micros{0};
    return from_ms(std::max(kPatience * ms(r.deadline - now_), kOverdue * expected(r)));
  }

  // ---- 6. Guards ----

  bool budget_allows(const Request& r) const {
    if (r.route && r.route->retry_budget_ratio && rations_.at(r.route->id) < 1) return false;
    if (!s_.retry_budget_ratio) return true;
    const Micros since = now_ - s_.retry_budget_window;
    const auto recent = [since](Micros t) { return t > since; };
    const auto extras = static_cast<double>(std::count_if(extras_.begin(), extras_.end(), recent));
    const auto taken = static_cast<double>(std::count_if(taken_.begin(), taken_.end(), recent));
    return extras + 1 <= s_.retry_budget_base + *s_.retry_budget_ratio * taken;
  }

  bool cold(const Engine& e) const { return e.came_up.count() > 0 && now_ < e.came_up + s_.slow_start_time; }

  // Never under what the settings suggest: a gateway that has seen few and light ones would send too many.
  double cold_work(const Request& r) const { return std::max(mean_work(r.cls), usual_work(r.cls)); }
  // Weighed by the class's usual work, as the rule does; every send counts, whatever comes of it.
  bool cold_allows(Engine& e, const Request& r) const {
    if (!cold(e)) return true;
    while (!e.cold_sends.empty() && e.cold_sends.front().first < now_ - s_.overload_window)
      e.cold_sends.pop_front();
    double used = mean_work(r.cls);
    for (const auto& [_, sent] : e.cold_sends) used += sent;
    const double capacity = cores(e) * kFullLoad * s_.slow_start_share;
    const double budget = s_.overload_factor * capacity * ms(s_.overload_window);
    const double share = budget / s_.gateways;
    if (mean_work(r.cls) <= share * kColdMargin) return used <= share * kColdMargin;
    // A share of less than one query: a bucket that starts at random keeps the sum over all gateways right.
    // Chance adds queries up unevenly, so it is for those of which the budget holds many.
    const double work = cold_work(r);
    const double earned = share * kColdOdds * ms(now_ - e.told_up) / ms(s_.overload_window);
    return work * kColdMany <= budget && e.cold_used + work <= earned + e.cold_start * work;
  }

  bool in_pool(const Request& r, int engine) const {
    if (!r.route || r.route->pool < 0) return true;
    const auto pool = static_cast<std::size_t>(r.route->pool), member = static_cast<std::size_t>(engine);
    return pool < pools_.size() && member < pools_[pool].size() && pools_[pool][member];
  }

  // A route's pause before its next attempt. One that would last too long ends the request at once.
  void pause(RequestId id, Request& r) {
    const double span = ms(r.route->retry_delay) * (1 + r.route->retry_jitter * (2 * uniform() - 1));
    r.held_until = now_ + from_ms(span);
    if (r.held_until + from_ms(expected(r)) >= r.deadline) return finish(id, r, AnswerReason::kDeadlineNear);
    if (!may_try_again(r)) return finish(id, r, AnswerReason::kAttemptsUsedUp);
    pauses_.emplace(r.held_until, id);
    act(Timer{r.held_until, kPauseLabel});
  }

  // What no engine and no wait can change.
  bool may_try_again(const Request& r) const {
    const bool harmless = r.risky_engine < 0 || of(r).idempotency != Idempotency::kNone;
    return harmless && static_cast<int>(r.attempts.size()) < most_tries(r) && budget_allows(r);
  }

  static bool allowed(const std::vector<int>& places, int place) {
    return places.empty() || std::find(places.begin(), places.end(), place) != places.end();
  }

  bool effect_allows(const Request& r, int engine) const {
    if (r.risky_engine < 0 || of(r).idempotency == Idempotency::kIdempotent) return true;
    if (of(r).idempotency == Idempotency::kNone || now_ >= r.risky_at + of(r).dedup_window) return false;
    const Engine& was = engines_[static_cast<std::size_t>(r.risky_engine)];
    const Engine& is = engines_[static_cast<std::size_t>(engine)];
    return of(r).dedup_scope == DedupScope::kAll ||
           (of(r).dedup_scope == DedupScope::kZone && was.zone == is.zone) ||
           (of(r).dedup_scope == DedupScope::kCell && was.cell == is.cell);
  }

  bool has_turn(RequestId id, const Request& r) const {
    if (!r.key || !of(r).keep_order) return true;
    const auto line = lines_.find(*r.key);
    return line != lines_.end() && line->second.line.front() == id &&
           (!r.attempts.empty() || now_ >= line->second.rests_until);
  }

  // The one place from which anything is sent.
  bool send(RequestId id, Request& r, int index) {
    Engine& e = engines_[static_cast<std::size_t>(index)];
    if (r.finished || r.out() || now_ >= r.deadline || !has_turn(id, r)) return false;
    if (static_cast<int>(r.attempts.size()) >= most_tries(r) || !in_pool(r, index)) return false;
    if (!e.listed || e.standing != EngineStatus::kReady) return false;
    if (!allowed(of(r).zones, e.zone) || !allowed(of(r).kinds, e.kind)) return false;
    if (!effect_allows(r, index) || !cold_allows(e, r)) return false;
    if (!r.attempts.empty() && !budget_allows(r)) return false;
    terms(id, r, e);
    act(Send{id, index, patience(r)});
    if (!r.attempts.empty()) extras_.push_back(now_);
    if (!r.attempts.empty() && r.route && r.route->retry_budget_ratio) rations_[r.route->id] -= 1;
    if (cold(e)) {
      e.cold_sends.emplace_back(now_, mean_work(r.cls));
      e.cold_used += cold_work(r);
    }
    // Each trial doubles the wait for the next; further signs of the same trouble do not.
    if (e.shunned)
      trials_ -= 1, e.trial_at = now_ + e.trial_wait, e.trial_wait = std::min(kTrialMost, 2 * e.trial_wait);
    r.attempts.push_back({index, now_});
    e.backlog += r.cost;
    e.threads_out += of(r).threads;
    e.sent_since += of(r).threads;
    ++e.out;
    std::erase(e.warm, r.group);
    e.warm.push_front(r.group);
    if (e.warm.size() > kWarmGroups) e.warm.pop_back();
    if (of(r).is_load) ++e.loads[r.group];
    return true;
  }

  // The one place from which a final answer is given: refused while that is a true promise, failed otherwise.
  void finish(RequestId id, Request& r, AnswerReason reason) {
    if (r.finished) return;
    const ClassSettings& c = of(r);
    const bool risky = r.risky_engine >= 0 || r.out();
    const bool harmless = !risky || c.idempotency == Idempotency::kIdempotent ||
                          (c.idempotency == Idempotency::kByKey && c.dedup_scope == DedupScope::kAll);
    if (harmless && now_ < r.deadline) {
      act(Refuse{id, s_.may_send_retry_after ? std::min(kPeriod, s_.max_retry_after) : Micros{0}, reason});
    } else {
      act(Fail{id, reason});
    }
    r.finished = true;
    settle(id);
  }

  // Drops what is finished and has nothing out, and lets the next of its key go.
  void settle(RequestId id) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || !at->second.finished || at->second.out()) return;
    const std::optional<std::uint64_t> key = of(at->second).keep_order ? at->second.key : std::nullopt;
    requests_.erase(at);
    if (!key) return;
    KeyLine& line = lines_[*key];
    std::erase(line.line, id);
    advance(*key);
  }

  void advance(std::uint64_t key) {
    const auto line = lines_.find(key);
    if (line == lines_.end()) return;
    if (line->second.line.empty()) {
      if (now_ >= line->second.rests_until) lines_.erase(line);
      return;
    }
    const RequestId next = line->second.line.front();
    Request& r = requests_.at(next);
    if (r.attempts.empty()) dispatch(next, r);
  }

  bool ending(const Request& r) const { return now_ + 2 * kTick >= r.deadline; }

  // ---- 7. Fairness and terms ----

  bool over_share(int tenant) {
    if (tenant < 0 || tenant >= static_cast<int>(tenants_.size())) return false;
    TenantState& t = tenants_[static_cast<std::size_t>(tenant)];
    const double rate = s_.tenants[static_cast<std::size_t>(tenant)].quota_rps / s_.gateways;
    if (rate <= 0) return false;
    // Two seconds of the share, and never so few requests that chance alone would empty it.
    const double burst = std::max(kBurst, 2 * rate);
    t.tokens = t.filled.count() == 0 ? burst : std::min(burst, t.tokens + rate * ms(now_ - t.filled) / 1000);
    t.filled = now_;
    if (t.tokens < 1) return true;
    t.tokens -= 1;
    return false;
  }

  // The nearer a deadline, against the usual slack, the higher the rank. Nobody gets the lowest one: it would
  // starve a class with far deadlines for as long as the cores are short.
  int priority(const Request& r) const {
    if (!s_.honors_priority) return 1;
    if (r.route && r.route->priority >= 0) return r.route->priority;
    // A query with its key's next ones waiting behind it is as near as the nearest of them.
    if (r.key && of(r).keep_order && lines_.at(*r.key).line.size() > 1) return 3;
    if (now_ > r.aim) return 1;  // what is late already must not make others late
    const double nearness = ms(r.arrived + r.slack - now_) / std::max(1.0, slack_seen_.get(ms(r.slack)));
    return nearness < 0.5 ? 3 : nearness < 1 ? 2 : 1;
  }

  double grant(const Request& r, const Engine& e) const {
    const auto& c = classes_[static_cast<std::size_t>(r.cls)];
    const double most = s_.max_memory_share * s_.kinds[static_cast<std::size_t>(e.kind)].memory_mb;
    if (s_.honors_memory && r.route && r.route->memory_mb > 0) return std::min(most, r.route->memory_mb);
    if (!s_.honors_memory || r.memory <= 0 || c.memory_correction.weight < kTrusted) return 0;
    return std::min(most, r.memory * c.memory_correction.get(1) * kGrantMargin);
  }

  void terms(RequestId id, Request& r, const Engine& e) {
    const SetResources terms{id, grant(r, e), priority(r)};
    if (terms.memory_mb > 0 || terms.priority != r.priority) act(terms);
    r.priority = terms.priority;
  }

  // ---- Events ----

  void on(const Started&) {
    if (s_.registry_mode == RegistryMode::kSubscribe) act(Subscribe{true});
    act(Timer{now_ + kTick, kTickLabel});
  }

  void on(const ListUpdate& news) {
    if (news.mode == ListMode::kFailed) return void(subscribe_at_ = now_ + kPeriod);
    for (Engine& e : engines_)
      if (news.mode != ListMode::kIncremental) e.listed = false, e.standing = EngineStatus::kGone;
    for (const EngineEntry& entry : news.entries) {
      if (entry.engine < 0 || entry.engine >= kEnginesMost || entry.kind < 0 ||
          entry.kind >= static_cast<int>(s_.kinds.size()))
        continue;
      if (entry.engine >= static_cast<int>(engines_.size()))
        engines_.resize(static_cast<std::size_t>(entry.engine) + 1);
      Engine& e = engines_[static_cast<std::size_t>(entry.engine)];
      if (!e.known) e = Engine{};  // the place may have been another one's
      const bool restarted = e.known && entry.started_at > e.came_up;
      e.zone = entry.zone, e.kind = entry.kind, e.cell = entry.cell, e.name = entry.name_hash;
      e.standing = entry.status;
      e.came_up = std::max(e.came_up, entry.started_at);
      e.listed = entry.status == EngineStatus::kReady;
      if (!e.known || restarted) {
        e.bound = std::floor(start_bound(e) * (1 - kCautious * crowding_)), e.delta = 0;
        e.warm.clear(), e.held_until.clear(), e.utilisation.reset();
        e.slowdown = {}, e.lost = {}, e.suspicion = 0, e.known = true;
        e.told_up = now_, e.cold_used = 0, e.cold_start = uniform();
      }
    }
    judge();
  }

  void on(const RoutesUpdate& news) {
    routes_ = news.routes, pools_ = news.pools;
    std::map<int, double> kept;
    for (const auto& route : routes_)
      kept[route->id] = rations_.contains(route->id) ? rations_[route->id] : route->retry_budget_burst;
    for (const auto& [id, r] : requests_)
      if (r.route) kept.try_emplace(r.route->id, rations_[r.route->id]);
    rations_ = std::move(kept);
  }

  void on(const Arrival& a) {
    if (a.cls < 0 || a.cls >= static_cast<int>(s_.classes.size()) || requests_.contains(a.id)) return;
    Request& r = requests_[a.id];
    r.cls = a.cls, r.tenant = a.tenant, r.group = a.table_group, r.key = a.key;
    r.estimate = a.estimate_ms;
    r.memory = std::isfinite(a.memory_mb) && a.memory_mb > 0 ? a.memory_mb : 0;
    r.arrived = now_, r.deadline = now_ + a.remaining;
    r.over_share = over_share(a.tenant);
    price(r);
    if (a.route >= 0 && a.route < static_cast<int>(routes_.size())) {
      r.route = routes_[static_cast<std::size_t>(a.route)];
      double& left = rations_[r.route->id];
      if (r.route->retry_budget_ratio && !a.route_full)
        left = std::min(r.route->retry_budget_burst, left + *r.route->retry_budget_ratio);
    }
    r.luck = crowding_ > 0 ? uniform() : 1;
    slack_seen_.add(ms(r.slack));
    trials_ = std::min(kTrialBurst, trials_ + kTrialShare);
    if (s_.retry_budget_ratio) taken_.push_back(now_);
    if (r.key && of(r).keep_order) lines_[*r.key].line.push_back(a.id);
    if (a.route_full) return finish(a.id, r, AnswerReason::kRouteFull);
    if (of(r).is_load && !has_room(r)) return finish(a.id, r, AnswerReason::kLoadsFull);
    dispatch(a.id, r);
  }

  Request* find(RequestId id, int attempt) {
    const auto at = requests_.find(id);
    const bool good =
        at != requests_.end() && attempt >= 0 && attempt < static_cast<int>(at->second.attempts.size());
    return good && at->second.attempts[static_cast<std::size_t>(attempt)].open ? &at->second : nullptr;
  }

  void on(const ClientGone& e) {
    const auto at = requests_.find(e.id);
    if (at == requests_.end() || at->second.finished) return;
    Request& r = at->second;
    r.finished = true;
    if (r.out() && s_.may_cancel && !r.attempts.back().cancelled) {
      r.attempts.back().cancelled = true;
      act(Cancel{e.id, static_cast<int>(r.attempts.size()) - 1});
    }
    settle(e.id);
  }

  void on(const FirstByte& e) {
    Request* r = find(e.id, e.attempt);
    if (r == nullptr) return;
    r->attempts[static_cast<std::size_t>(e.attempt)].streaming = true;
    clear(engines_[static_cast<std::size_t>(r->attempts[static_cast<std::size_t>(e.attempt)].engine)]);
  }

  void on(const ProgressReport& n) {
    Request* r = find(n.id, n.attempt);
    if (r == nullptr) return;
    Attempt& a = r->attempts[static_cast<std::size_t>(n.attempt)];
    Engine& e = engines_[static_cast<std::size_t>(a.engine)];
    a.heard = now_;
    clear(e);
    if (s_.honors_priority && !r->finished && priority(*r) != r->priority) terms(n.id, *r, e);
    if (n.topic == ProgressTopic::kWaiting && n.value >= 2)
      e.held_until[r->group] = now_ + 2 * s_.progress_interval;
    if (n.topic != ProgressTopic::kProgress || !std::isfinite(n.value)) return;
    // A query that would be done much sooner elsewhere, and too late for its aim here, begins anew; but not
    // one that loads would hold up everywhere. Hurts where the estimate was far too low.
    const auto no_better = [&](const Engine& other) { return !other.listed || held(other, r->group); };
    if (of(*r).yields_to_load && std::all_of(engines_.begin(), engines_.end(), no_better)) return;
    const double age = ms(now_ - a.sent);
    const double remaining = age / std::clamp(n.value, 0.01, 1.0) - age;
    slowed(e, *r, age + remaining);
    const double fresh = expected(*r) * 1.5;
    const bool slow = remaining > kPaceWorse * fresh && now_ + from_ms(remaining) > r->aim;
    if (slow && (crowding_ <= 0 || moves_ >= 1) && move(n.id, *r)) {
      moves_ -= 1;
    } else if (crowding_ > 0 && !r->finished && !a.cancelled && !a.streaming && s_.may_cancel &&
               now_ + from_ms(remaining / kHopeless) > r->deadline) {
      // It cannot end in time, and holds up what can.
      a.cancelled = true;
      act(Cancel{n.id, n.attempt});
      finish(n.id, *r, AnswerReason::kCannotFinish);
    }
  }

  void report(Engine& e, const LoadReport& load) {
    auto told = load.cpu_utilisation;
    counted_ = load.in_flight.has_value();
    if (load.in_flight) {
      // Cores fall idle where queries wait for disks or memory: then what is in hand tells, not how busy they
      // are.
      const double threads = *load.in_flight * threads_seen_.get(1) / cores(e);
      if (!told || crowding_ > 0) told = told ? std::max(*told, threads / kKnee) : threads;
    }
    if (!told) return;
    e.utilisation = std::clamp(*told, 0.0, 100.0);
    pool_load_.add(*e.utilisation);
    e.told_at = told_at_ = now_, e.sent_since = 0;
  }

  void on(const AttemptClosed& c) {
    Request* found = find(c.id, c.attempt);
    if (found == nullptr) return;
    Request& r = *found;
    Attempt& a = r.attempts[static_cast<std::size_t>(c.attempt)];
    Engine& e = engines_[static_cast<std::size_t>(a.engine)];
    a.open = false;
    e.backlog = std::max(0.0, e.backlog - r.cost);
    e.threads_out -= of(r).threads;
    if (--e.out == 0) e.backlog = e.threads_out = 0;
    if (of(r).is_load && --e.loads[r.group] <= 0) e.loads.erase(r.group);
    report(e, c.report);
    const bool never_ran = c.outcome == Outcome::kRejected || c.outcome == Outcome::kConnectFailed ||
                           c.outcome == Outcome::kNotSent;
    if (!never_ran && r.risky_engine < 0) r.risky_engine = a.engine, r.risky_at = a.sent;
    const bool doubt = c.outcome == Outcome::kTimedOut || c.outcome == Outcome::kConnectionLost ||
                       c.outcome == Outcome::kCancelled;
    if (doubt && r.key && of(r).keep_order) {
      Micros& rest = lines_[*r.key].rests_until;
      rest = std::max(rest, now_ + s_.settle_time);
    }
    if (c.outcome == Outcome::kDelivered) {
      clear(e);
      moves_ = std::min(kTrialBurst, moves_ + kTrialShare);
      learn(r, c);
      state(r).slowdown.add(slowed(e, r, ms(c.delay)));
      threads_seen_.add(of(r).threads);
    }
    if (c.outcome == Outcome::kDelivered || c.outcome == Outcome::kTimedOut) sample(e, r, a);
    // "Full" is the engine's own word that no more fits: the bound comes down to what is there. Covers
    // engines filled by others or after others died; a stray one on a bursty day costs seconds of a lower
    // bound. "Full" is also a report of load, where reports of busy cores miss the queries that stand still.
    if (c.outcome == Outcome::kRejected && crowding_ > 0)
      e.utilisation = kFullSays, e.told_at = told_at_ = now_;
    if (c.outcome == Outcome::kRejected)
      e.bound = std::max(std::ceil(mean_cost()), std::min(e.bound, e.backlog + others(e))), e.delta = 0;
    // An engine on which attempts run out of time is at least so slow; without notes it may have lost them.
    if (c.outcome == Outcome::kTimedOut && s_.progress_interval.count() > 0) slowed(e, r, ms(c.delay));
    if (c.outcome == Outcome::kConnectFailed) suspect(e, kHard);
    if (c.outcome == Outcome::kConnectionLost) suspect(e, kSoft);
    // An engine may answer some and lose others: its losses weigh in the draw, against the pool's.
    const bool useless = c.outcome == Outcome::kTimedOut || c.outcome == Outcome::kAppError;
    if (useless || c.outcome == Outcome::kDelivered) e.lost.add(useless), pool_lost_.add(useless);
    if (c.outcome == Outcome::kTimedOut && e.heard < a.sent) suspect(e, kSoft);
    if (c.request_answered) r.finished = true;
    if (r.finished) {
      settle(c.id);
    } else if (c.outcome == Outcome::kNotSent) {
      finish(c.id, r, AnswerReason::kNotSent);
    } else if (now_ >= r.deadline) {
      finish(c.id, r, AnswerReason::kDeadlinePassed);
    } else if (r.route && r.route->retry_delay.count() > 0) {
      pause(c.id, r);
    } else {
      dispatch(c.id, r);
    }
  }

  void on(const ProbeResult& p) {
    if (engine(p.engine) == nullptr) return;
    Engine& e = engines_[static_cast<std::size_t>(p.engine)];
    report(e, p.report);
    if (p.delivered && e.shunned) e.trial_at = std::min(e.trial_at, now_), e.trial_wait = kPeriod;
  }

  void on(const PeerMessage&) {}

  void on(const TimerFired& alarm) {
    while (!pauses_.empty() && pauses_.begin()->first <= now_) {
      const RequestId id = pauses_.begin()->second;
      pauses_.erase(pauses_.begin());
      const auto at = requests_.find(id);
      if (at != requests_.end() && now_ >= at->second.held_until) dispatch(id, at->second);
    }
    if (alarm.label != kTickLabel || now_ < tick_due_) return;
    tick_due_ = now_ + kTick;
    act(Timer{tick_due_, kTickLabel});
    if (subscribe_at_.count() > 0 && now_ >= subscribe_at_ && s_.registry_mode == RegistryMode::kSubscribe)
      subscribe_at_ = Micros{0}, act(Subscribe{true});
    if (pool_load_.weight > kNewsFade) pool_load_.sum *= 1 - kNewsFade, pool_load_.weight *= 1 - kNewsFade;
    std::erase_if(areas_, [this](const auto& a) { return now_ - a.second.at > 4 * kAreaSpan; });
    while (!taken_.empty() && taken_.front() <= now_ - s_.retry_budget_window) taken_.pop_front();
    while (!extras_.empty() && extras_.front() <= now_ - s_.retry_budget_window) extras_.pop_front();
    listen();
    // Held for their turn: ended while a refusal can still reach the client.
    std::vector<RequestId> last;
    for (const auto& [id, r] : requests_)
      if (!r.finished && !r.out() && ending(r)) last.push_back(id);
    for (RequestId id : last) {
      const auto at = requests_.find(id);
      if (at != requests_.end() && !at->second.out()) finish(id, at->second, AnswerReason::kDeadlineNear);
    }
    std::vector<std::uint64_t> keys;
    for (const auto& [key, line] : lines_)
      if (line.rests_until.count() > 0 && now_ >= line.rests_until) keys.push_back(key);
    for (std::uint64_t key : keys) advance(key);
    if (now_ < control_due_) return;
    control_due_ = now_ + kPeriod;
    // Where a gateway sees few finishes, what is out and overdue already tells of the pool as well.
    double late_sum = 0, late = 0;
    for (const auto& [id, r] : requests_) {
      if (crowding_ <= 0 || !r.out()) continue;
      const double ddr = ms(now_ - r.attempts.back().sent) / std::max(1.0, ms(r.slack));
      if (ddr > 1) late_sum += crowding_ * std::min(kDdrMost, ddr), late += crowding_;
    }
    pool_ddr_sum_ += late_sum, pool_finishes_ += late;
    std::vector<double> slow;
    for (Engine& e : engines_) {
      if (!e.known) continue;
      // Replacements come under new names all day: what is gone is forgotten, but for its place.
      if (!e.listed && e.out == 0 && e.standing != EngineStatus::kDraining) {
        e.known = false, e.warm.clear(), e.held_until.clear(), e.cold_sends.clear();
        continue;
      }
      if (e.listed && e.shunned && s_.may_probe && trials_ >= 1) {
        trials_ -= 1;
        act(Probe{static_cast<int>(&e - engines_.data())});
      }
      control(e);
      if (e.listed && e.slowdown.weight > 0) slow.push_back(e.slowdown.get(1));
    }
    std::sort(slow.begin(), slow.end());
    if (!slow.empty()) pool_slowdown_ = slow[slow.size() / 2];
    if (pool_finishes_ >= kEnough * (1 - 1.0 / s_.gateways)) {
      pool_ddr_sum_ = pool_finishes_ = 0;
    } else {
      pool_ddr_sum_ -= late_sum, pool_finishes_ -= late;
    }
  }

  template <typename A>
  void act(A action) {
    actions_->emplace_back(std::in_place_type<A>, std::move(action));
  }

  Settings s_;
  std::mt19937_64 random_;
  Micros now_{0}, told_at_{0}, tick_due_{0}, control_due_{0}, subscribe_at_{0};
  std::vector<Action>* actions_{};
  std::vector<Engine> engines_;
  std::vector<ClassState> classes_;
  std::vector<TenantState> tenants_;
  std::map<int, Area> areas_;
  std::vector<bool> kept_;
  std::map<RequestId, Request> requests_;
  std::map<std::uint64_t, KeyLine> lines_;
  std::vector<std::shared_ptr<const RouteParameters>> routes_;
  std::vector<std::vector<bool>> pools_;
  std::map<int, double> rations_;  // by the route's number: further attempts that may be made now
  std::multimap<Micros, RequestId> pauses_;
  std::deque<Micros> taken_, extras_;
  Mean pool_lost_, cost_seen_, slack_seen_, threads_seen_, pool_load_;
  double unit_{1}, pool_slowdown_{1}, pool_ddr_sum_{}, pool_finishes_{}, trials_{1}, moves_{kTrialBurst};
  bool counted_{};     // reports count the queries in hand, those that stand still too
  double crowding_{};  // part of the gateways that an engine has no room for a query of at once
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

double Gateway::backlog_limit(int i) const { return impl_->engine(i) ? impl_->engine(i)->bound : 0; }
double Gateway::backlog(int i) const { return impl_->engine(i) ? impl_->engine(i)->backlog : 0; }

}  // namespace steprail
