#include "core/coordinator.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>

namespace steprail {

namespace {
// A cancel and the next attempt travel on different connections. The next attempt is held back for this long,
// else its engine could start before the first engine has received the cancel, and two attempts would run.
constexpr Micros kCancelHeadStart{100'000};
// The client counts its time limit from when it sends the request, a moment the coordinator cannot observe.
// This much of the limit, but at most 1/kTransitReserveDivisor of it, is reserved for the transit of request
// and answer, so that a late answer still reaches a waiting client.
constexpr Micros kTransitReserve{100'000};
constexpr int kTransitReserveDivisor = 20;
constexpr double kImplausibleFactor = 100;  // times the usable maximum: no rough estimate is that far off
// Texts of debug log events, in the order of the enumerations.
constexpr std::string_view kOutcomes[] = {"delivered",   "app_error", "shed",    "expired",
                                          "dial_failed", "dropped",   "revoked", "unused"};
constexpr std::string_view kVerdicts[] = {"served", "refused", "failed"};
constexpr std::string_view kCauses[] = {
    "answered",  "engine_error",    "engine_full",     "engine_stale",    "no_connection",
    "drained",   "connection_lost", "engine_replaced", "commands_unread", "spoilt_answer",
    "timed_out", "called_off",      "not_sent"};
constexpr std::string_view kReasons[] = {"route_full",    "loads_full",      "no_engine", "tries_used_up",
                                         "deadline_near", "deadline_passed", "hopeless",  "not_sent"};
// The minimum lateness of an iteration that is logged, and the interval between such log lines.
constexpr Micros kLateLogThreshold{30'000}, kLateLogInterval{200'000};
}  // namespace

Coordinator::Coordinator(Strand strand, EventLog& log, std::uint64_t seed, Settings settings,
                         std::size_t max_run_history)
    : strand_(strand),
      log_(log),
      run_history_(max_run_history),
      settings_(settings),
      gateway_(seed, std::move(settings)),
      timer_(strand) {}

int Coordinator::attach(Front& front) {
  fronts_.push_back(&front);
  return static_cast<int>(fronts_.size()) - 1;
}

void Coordinator::start() { enqueue(Started{}); }

// ---- Events ----

void Coordinator::enqueue(Event event) {
  pending_events_.push_back(std::move(event));
  schedule_iteration();
}

void Coordinator::schedule_iteration() {
  if (std::exchange(iteration_posted_, true)) return;
  // Posted behind all handlers that are ready, so that one iteration handles everything that one poll of the
  // sockets has brought.
  boost::asio::post(strand_, [this] { run_iteration(); });
}

const char* Coordinator::validation_error(const Query& q) const {
  if (q.cls < 0 || static_cast<std::size_t>(q.cls) >= settings_.classes.size()) return "class";
  const auto tenants = static_cast<int>(settings_.tenants.size());
  if (tenants > 0 && (q.tenant < 0 || q.tenant >= tenants)) return "tenant";
  const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(q.cls)];
  if (q.time_limit.count() <= 0 || q.time_limit > cls.hard_limit + settings_.answer_slack) return "limit";
  // An upper limit that only rejects values that cannot be meant, not a limit on plausible ones.
  const double max_work = kImplausibleFactor * static_cast<double>(cls.hard_limit.count()) / 1000 *
                          static_cast<double>(cls.threads);
  if (!(q.estimate_ms >= 0 && q.estimate_ms <= max_work)) return "estimate of the work";
  double max_memory = 0;
  for (const KindSettings& kind : settings_.kinds) max_memory = std::max(max_memory, kind.memory_mb);
  if (!(q.memory_mb >= 0 && (max_memory <= 0 || q.memory_mb <= kImplausibleFactor * max_memory)))
    return "estimate of the memory";
  return q.statement == nullptr || q.statement->empty() ? "statement" : nullptr;
}

void Coordinator::arrived(Query query) {
  const auto [at, inserted] = open_requests_.try_emplace(query.id);
  STEPRAIL_INVARIANT(log_, inserted);
  if (!inserted) return;
  OpenRequest& request = at->second;
  request.generation = ++last_generation_;
  request.deadline = query.received_at + query.time_limit -
                     std::min(kTransitReserve, query.time_limit / kTransitReserveDivisor);
  request.query = std::move(query);
  ++unanswered_;
  const Query& q = request.query;
  timeouts_.push(
      {request.deadline + settings_.answer_slack / 2, TimeoutKind::kRequest, q.id, request.generation, 0});
  Arrival arrival;
  arrival.id = q.id;
  arrival.cls = q.cls;
  arrival.tenant = q.tenant;
  arrival.remaining = request.deadline - q.received_at;
  arrival.estimate_ms = q.estimate_ms;
  arrival.memory_mb = q.memory_mb;
  arrival.table_group = q.table_group;
  arrival.client_retry = q.client_retry;
  if (routing_ != nullptr) routing_->arrived(q, arrival);
  log_.event(LogLevel::kDebug, "arrived",
             {{"id", q.name},
              {"class", q.class_name},
              {"group", q.table_group},
              {"work", q.estimate_ms},
              {"left", arrival.remaining.count() / 1000},
              {"again", q.client_retry}});
  enqueue(arrival);
}

bool Coordinator::may_have_run(RequestId id) const {
  return has_request(id) || run_history_.contains(id, std::chrono::steady_clock::now());
}

bool Coordinator::has_room_for(int cls) {
  return !runs_at_most_once(cls) || !run_history_.full(std::chrono::steady_clock::now());
}

bool Coordinator::runs_at_most_once(int cls) const {
  return settings_.classes[static_cast<std::size_t>(cls)].idempotency == Idempotency::kNone;
}

void Coordinator::record_run(const OpenRequest& request, Outcome outcome) {
  const bool never_ran = request.withdrawn || outcome == Outcome::kRejected ||
                         outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
  // Its client gets the result, and may use the id again.
  const bool served = outcome == Outcome::kDelivered && !request.answered;
  if (!never_ran && !served && runs_at_most_once(request.query.cls))
    run_history_.record(request.query.id, std::chrono::steady_clock::now());
}

bool Coordinator::wants_attempt(RequestId id, int attempt) const {
  const auto at = open_requests_.find(id);
  if (at == open_requests_.end()) return false;
  const OpenRequest& request = at->second;
  return !request.answered && request.attempt_state == AttemptState::kInFlight &&
         attempt == request.attempts - 1;
}

void Coordinator::client_gone(RequestId id) { enqueue(ClientGone{id}); }

void Coordinator::attempt_ended(AttemptEnd end) {
  const auto at = open_requests_.find(end.id);
  if (at == open_requests_.end()) return;
  OpenRequest& request = at->second;
  if (request.attempt_state != AttemptState::kInFlight || end.attempt != request.attempts - 1) return;
  // The coordinator closed the connection: as with a cancel, the engine has not noticed yet.
  const bool closed_here = end.cause == EndCause::kMalformedAnswer ||
                           end.cause == EndCause::kCommandsUnread || end.cause == EndCause::kEngineReplaced;
  if (closed_here && end.outcome != Outcome::kConnectFailed) {
    defer_end(request, end.outcome, end.cause);
    return schedule_iteration();
  }
  request.pages = std::move(end.pages);
  close_attempt(request, end.outcome, end.cause, end.report);
}

void Coordinator::note_received(ProgressReport note) {
  const auto at = open_requests_.find(note.id);
  if (at != open_requests_.end())
    log_.event(LogLevel::kDebug, "noted",
               {{"id", at->second.query.name},
                {"attempt", note.attempt},
                {"engine", note.engine},
                {"topic", static_cast<int>(note.topic)},
                {"amount", note.value}});
  enqueue(note);
}
void Coordinator::probed(ProbeResult result) { enqueue(std::move(result)); }

void Coordinator::list_changed(ListMode mode, std::vector<EngineEntry> entries,
                               std::vector<EngineChange> changes) {
  // The engine pool learns of a drain at once, not with the batch: queued commands must not be sent after it.
  for (const EngineChange& change : changes) engines_->apply_change(change);
  auto update = routing_ != nullptr ? routing_->list_changed(mode, entries, changes) : std::nullopt;
  enqueue(ListUpdate{mode, std::move(entries)});
  if (update) enqueue(std::move(*update));
}

void Coordinator::when_all_answered(std::function<void()> callback) {
  if (unanswered_ == 0) return callback();
  when_all_answered_ = std::move(callback);
}

void Coordinator::answer_all() {
  now_ = clock_.now();
  for (auto& [id, request] : open_requests_) {
    if (request.answered) continue;
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(request.query.cls)];
    const bool safe_to_retry = request.attempts == 0 || cls.idempotency == Idempotency::kIdempotent;
    // Reported to the gateway as if the client had disconnected, so that it cancels the attempt in flight.
    enqueue(ClientGone{id});
    answer_request(request, {safe_to_retry ? Verdict::kRefused : Verdict::kFailed, {}, {}}, "stopping");
  }
}

// Queues the end of an attempt for the gateway; called exactly once for each attempt.
void Coordinator::close_attempt(OpenRequest& request, Outcome outcome, EndCause cause, LoadReport report) {
  request.attempt_state = AttemptState::kClosing;
  AttemptClosed closed;
  closed.id = request.query.id;
  closed.attempt = request.attempts - 1;
  closed.engine = request.engine;
  closed.outcome = outcome;
  closed.delay = clock_.now() - request.sent_at;
  closed.report = report;
  log_.event(LogLevel::kDebug, "closed",
             {{"id", request.query.name},
              {"attempt", closed.attempt},
              {"engine", closed.engine},
              {"outcome", kOutcomes[static_cast<std::size_t>(outcome)]},
              {"cause", kCauses[static_cast<std::size_t>(cause)]},
              {"ms", closed.delay.count() / 1000},
              {"util", report.cpu_utilisation.value_or(-1)},
              {"inflight", report.in_flight.value_or(-1)}});
  enqueue(closed);
}

// Cancels at the engine at once, and reports the end to the gateway only when the engine must have received
// the cancel.
void Coordinator::cancel_attempt(OpenRequest& request, Outcome outcome, EndCause cause) {
  request.withdrawn = engines_->cancel(request.query.id, request.attempts - 1);
  defer_end(request, outcome, cause);
}

void Coordinator::defer_end(OpenRequest& request, Outcome outcome, EndCause cause) {
  request.attempt_state = AttemptState::kClosing;
  request.deferred_outcome = outcome;
  request.deferred_cause = cause;
  deferred_ends_.push_back(request.query.id);
}

// The head start counts from when the cancels have been written: otherwise a long iteration could use it up
// before they are.
void Coordinator::schedule_deferred_ends() {
  const Micros now = clock_.now();
  for (const RequestId id : deferred_ends_) {
    const auto at = open_requests_.find(id);
    if (at == open_requests_.end()) continue;
    const OpenRequest& request = at->second;
    const Micros close_at =
        request.answered ? now : std::min(now + kCancelHeadStart, std::max(now, request.deadline));
    timeouts_.push({close_at, TimeoutKind::kDeferredEnd, id, request.generation, request.attempts - 1});
  }
  deferred_ends_.clear();
}

// ---- Event loop iteration ----

void Coordinator::run_iteration() {
  iteration_posted_ = false;
  now_ = clock_.now();
  log_lateness();
  handle_timeouts();
  batch_.swap(pending_events_);
  for (Event& event : batch_) handle_event(event);
  batch_.clear();
  STEPRAIL_INVARIANT(log_, gateway_.attempts_in_flight() == attempts_in_flight_);
  engines_->flush();
  schedule_deferred_ends();
  for (Front* front : fronts_) front->flush();
  drop_stale_timeouts();
  arm_timer();
  if (unanswered_ == 0 && when_all_answered_) std::exchange(when_all_answered_, nullptr)();
}

// Late iterations cause late answers: on-call staff has to see them before clients do.
void Coordinator::log_lateness() {
  if (timeouts_.empty() || now_ - timeouts_.top().at < kLateLogThreshold || now_ < next_lateness_log_) return;
  next_lateness_log_ = now_ + kLateLogInterval;
  log_.message("late by " + std::to_string((now_ - timeouts_.top().at).count() / 1000) + " ms, " +
               std::to_string(open_requests_.size()) + " requests held, " +
               std::to_string(pending_events_.size()) + " events at once");
}

// Requests that end at once leave timeouts that are due only when their clients' time is over: a client that
// sends them at full speed would otherwise fill the memory.
void Coordinator::drop_stale_timeouts() {
  if (timeouts_.size() <= max_timeouts_) return;
  timeouts_.erase_if([this](const Timeout& timeout) {
    if (timeout.kind == TimeoutKind::kAlarm) return false;
    const auto at = open_requests_.find(timeout.id);
    return at == open_requests_.end() || at->second.generation != timeout.generation;
  });
  max_timeouts_ = std::max(kMinTimeoutsToDrop, 2 * timeouts_.size());
}

void Coordinator::handle_timeouts() {
  while (!timeouts_.empty() && timeouts_.top().at <= now_) {
    const Timeout due = timeouts_.top();
    timeouts_.pop();
    if (due.kind == TimeoutKind::kAlarm) {
      pending_events_.push_back(TimerFired{due.id});
      continue;
    }
    const auto at = open_requests_.find(due.id);
    if (at == open_requests_.end() || at->second.generation != due.generation) continue;
    OpenRequest& request = at->second;
    if (due.kind == TimeoutKind::kAttempt) {
      if (request.attempt_state == AttemptState::kInFlight && due.attempt == request.attempts - 1)
        cancel_attempt(request, Outcome::kTimedOut, EndCause::kTimedOut);
    } else if (due.kind == TimeoutKind::kDeferredEnd) {
      close_attempt(request, request.deferred_outcome, request.deferred_cause);
    } else if (!request.answered && request.attempt_state != AttemptState::kNone) {
      // The attempt is about to end, which makes the gateway answer the request: check again later.
      timeouts_.push({now_ + kCancelHeadStart, TimeoutKind::kRequest, due.id, due.generation, 0});
    } else if (!request.answered) {
      // The gateway has to answer before the client's deadline; if it did not, the client is still answered.
      STEPRAIL_INVARIANT(log_, request.answered);
      pending_events_.push_back(ClientGone{due.id});
      answer_request(request, {Verdict::kFailed, {}, {}}, "forgotten");
    }
  }
}

void Coordinator::handle_event(Event& event) {
  RequestId ended_id{};
  bool may_erase = false;
  if (auto* arrival = std::get_if<Arrival>(&event)) {
    arrival->remaining = std::max(Micros{0}, open_requests_.at(arrival->id).deadline - now_);
  } else if (const auto* gone = std::get_if<ClientGone>(&event)) {
    const auto at = open_requests_.find(gone->id);
    if (at == open_requests_.end()) return;
    if (!std::exchange(at->second.answered, true)) {
      --unanswered_;
      log_.event(LogLevel::kDebug, "client_gone", {{"id", at->second.query.name}});
      if (routing_ != nullptr) routing_->ended(gone->id, Routing::Result::kGone);
    }
    ended_id = gone->id, may_erase = true;
  } else if (auto* closed = std::get_if<AttemptClosed>(&event)) {
    OpenRequest& request = open_requests_.at(closed->id);
    request.attempt_state = AttemptState::kNone;
    --attempts_in_flight_;
    record_run(request, closed->outcome);
    if (closed->outcome == Outcome::kDelivered && !request.answered)
      answer_request(request, {Verdict::kServed, {}, std::move(request.pages)}, "answered");
    request.pages.clear();
    closed->request_answered = request.answered;
    ended_id = closed->id, may_erase = true;
  }
  gateway_.handle(now_, event, actions_);
  perform_actions();
  if (may_erase) erase_if_ended(ended_id);
}

// Called for each event, before the next one is handled: that one may end a request that an action is about.
// Actions may cause new events (such as a send that fails); the next iteration handles these.
void Coordinator::perform_actions() {
  for (const Action& action : actions_) std::visit([this](const auto& a) { execute(a); }, action);
  actions_.clear();
}

// All answers are sent from here, so that no request is answered twice.
void Coordinator::answer_request(OpenRequest& request, Answer answer, std::string_view reason) {
  if (request.answered) return;
  request.answered = true;
  --unanswered_;
  log_.event(LogLevel::kDebug, "answered",
             {{"id", request.query.name},
              {"verdict", kVerdicts[static_cast<std::size_t>(answer.verdict)]},
              {"reason", reason},
              {"ms", (now_ - request.query.received_at).count() / 1000},
              {"attempts", request.attempts}});
  if (routing_ != nullptr) {
    using Result = Routing::Result;
    routing_->ended(request.query.id, answer.verdict == Verdict::kServed    ? Result::kServed
                                      : answer.verdict == Verdict::kRefused ? Result::kRefused
                                                                            : Result::kFailed);
  }
  fronts_[static_cast<std::size_t>(request.query.reply_to.front)]->answer(request.query.reply_to,
                                                                          std::move(answer));
}

void Coordinator::erase_if_ended(RequestId id) {
  const auto at = open_requests_.find(id);
  if (at != open_requests_.end() && at->second.answered && at->second.attempt_state == AttemptState::kNone)
    open_requests_.erase(at);
}

void Coordinator::arm_timer() {
  if (timeouts_.empty() || timeouts_.top().at == armed_for_) return;
  armed_for_ = timeouts_.top().at;
  timer_.expires_after(std::max(Micros{0}, armed_for_ - clock_.now()));
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    armed_for_ = Micros{0};
    schedule_iteration();
  });
}

// ---- Actions of the gateway ----

void Coordinator::execute(const Send& send) {
  const auto at = open_requests_.find(send.id);
  if (at == open_requests_.end()) return;
  OpenRequest& request = at->second;
  STEPRAIL_INVARIANT(log_, request.attempt_state == AttemptState::kNone);
  if (request.attempt_state != AttemptState::kNone) return;
  request.engine = send.engine;
  request.sent_at = now_;
  request.withdrawn = false;
  ++request.attempts;
  ++attempts_in_flight_;
  // The request was answered before its arrival was handled: nothing is sent.
  if (request.answered) return close_attempt(request, Outcome::kNotSent, EndCause::kNotSent);
  Micros attempt_timeout = request.deadline - now_;
  if (send.timeout.count() > 0) attempt_timeout = std::min(attempt_timeout, send.timeout);
  request.attempt_state = AttemptState::kInFlight;
  timeouts_.push(
      {now_ + attempt_timeout, TimeoutKind::kAttempt, send.id, request.generation, request.attempts - 1});
  log_.event(LogLevel::kDebug, "sent",
             {{"id", request.query.name},
              {"attempt", request.attempts - 1},
              {"engine", send.engine},
              {"patience", attempt_timeout.count() / 1000},
              {"bound", gateway_.backlog_limit(send.engine)},
              {"backlog", gateway_.backlog(send.engine)}});
  engines_->send(
      {request.query, request.attempts - 1, send.engine, now_ + attempt_timeout, send.send_before});
}

void Coordinator::execute(const Cancel& cancel) {
  const auto at = open_requests_.find(cancel.id);
  if (at == open_requests_.end()) return;
  OpenRequest& request = at->second;
  if (request.attempt_state != AttemptState::kInFlight || cancel.attempt != request.attempts - 1) return;
  cancel_attempt(request, Outcome::kCancelled, EndCause::kCancelled);
}

void Coordinator::execute(const Refuse& refuse) {
  const auto at = open_requests_.find(refuse.id);
  if (at == open_requests_.end()) return;
  answer_request(at->second,
                 {Verdict::kRefused, settings_.may_send_retry_after ? refuse.retry_after : Micros{0}, {}},
                 kReasons[static_cast<std::size_t>(refuse.reason)]);
  erase_if_ended(refuse.id);
}

void Coordinator::execute(const Fail& fail) {
  const auto at = open_requests_.find(fail.id);
  if (at == open_requests_.end()) return;
  answer_request(at->second, {Verdict::kFailed, {}, {}}, kReasons[static_cast<std::size_t>(fail.reason)]);
  erase_if_ended(fail.id);
}

void Coordinator::execute(const Probe& probe) { engines_->probe(probe.engine); }
void Coordinator::execute(const Timer& timer) {
  timeouts_.push({timer.due, TimeoutKind::kAlarm, timer.label, 0, 0});
}
void Coordinator::execute(const Log& text) { log_.message(text.text); }

}  // namespace steprail
