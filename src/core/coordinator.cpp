#include "core/coordinator.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>

namespace steprail {

namespace {
// A cancel and the next attempt travel on different connections: the cancel gets this start, or the next
// engine could begin while the first one has not heard, and two attempts would be out.
constexpr Micros kCancelStart{100'000};
// The limit counts from the client's send, which nobody here sees. So much of it (and no more than this part)
// is kept for the ways in and out, so that the last answer still finds its client waiting.
constexpr Micros kWays{100'000};
constexpr int kWaysPart = 20;
constexpr double kSenseless = 100;  // times what a query could use up: no estimate, however rough
// For debug lines, in the order of the enumerations.
constexpr std::string_view kOutcomes[] = {"delivered",   "app_error", "shed",    "expired",
                                          "dial_failed", "dropped",   "revoked", "unused"};
constexpr std::string_view kVerdicts[] = {"served", "refused", "failed"};
constexpr std::string_view kCauses[] = {
    "answered",  "engine_error",    "engine_full",     "engine_stale",    "no_connection",
    "drained",   "connection_lost", "engine_replaced", "commands_unread", "spoilt_answer",
    "timed_out", "called_off",      "not_sent"};
constexpr std::string_view kReasons[] = {"route_full",    "loads_full",      "no_engine", "tries_used_up",
                                         "deadline_near", "deadline_passed", "hopeless",  "not_sent"};
constexpr Micros kLate{30'000}, kLateLines{200'000};  // what is logged, and how often
}  // namespace

Coordinator::Coordinator(Strand strand, EventLog& log, std::uint64_t seed, Settings settings)
    : strand_(strand), log_(log), settings_(settings), module_(seed, std::move(settings)), timer_(strand) {}

int Coordinator::attach(Front& front) {
  fronts_.push_back(&front);
  return static_cast<int>(fronts_.size()) - 1;
}

void Coordinator::start() { gather(Started{}); }

// ---- What has happened ----

void Coordinator::gather(Event event) {
  gathered_.push_back(std::move(event));
  wake();
}

void Coordinator::wake() {
  if (std::exchange(turn_posted_, true)) return;
  // Behind all that is ready now: the turn finds everything that one look at the sockets has brought.
  boost::asio::post(strand_, [this] { turn(); });
}

const char* Coordinator::unusable(const Query& q) const {
  if (q.cls < 0 || static_cast<std::size_t>(q.cls) >= settings_.classes.size()) return "class";
  const auto tenants = static_cast<int>(settings_.tenants.size());
  if (tenants > 0 && (q.tenant < 0 || q.tenant >= tenants)) return "tenant";
  const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(q.cls)];
  if (q.limit.count() <= 0 || q.limit > cls.hard_limit + settings_.answer_slack) return "limit";
  // Not the most that makes sense, but the least that makes none.
  const double work_most =
      kSenseless * static_cast<double>(cls.hard_limit.count()) / 1000 * static_cast<double>(cls.threads);
  if (!(q.estimate_ms >= 0 && q.estimate_ms <= work_most)) return "estimate of the work";
  double memory_most = 0;
  for (const KindSettings& kind : settings_.kinds) memory_most = std::max(memory_most, kind.memory_mb);
  if (!(q.memory_mb >= 0 && (memory_most <= 0 || q.memory_mb <= kSenseless * memory_most)))
    return "estimate of the memory";
  return q.statement.empty() ? "statement" : nullptr;
}

void Coordinator::arrived(Query query) {
  const auto [at, fresh] = open_.try_emplace(query.id);
  STEPRAIL_INVARIANT(log_, fresh);
  if (!fresh) return;
  Open& open = at->second;
  open.life = ++lives_;
  open.deadline = query.taken + query.limit - std::min(kWays, query.limit / kWaysPart);
  open.query = std::move(query);
  ++unanswered_;
  const Query& q = open.query;
  timeouts_.push({open.deadline + settings_.answer_slack / 2, Due::kRequest, q.id, open.life, 0});
  Arrival arrival;
  arrival.id = q.id;
  arrival.cls = q.cls;
  arrival.tenant = q.tenant;
  arrival.left = open.deadline - q.taken;
  arrival.estimate_ms = q.estimate_ms;
  arrival.memory_mb = q.memory_mb;
  arrival.group = q.group;
  arrival.resent = q.resent;
  if (routing_ != nullptr) routing_->arrived(q, arrival);
  log_.event(LogLevel::kDebug, "arrived",
             {{"id", q.name},
              {"class", q.class_name},
              {"group", q.group},
              {"work", q.estimate_ms},
              {"left", arrival.left.count() / 1000},
              {"again", q.resent}});
  gather(arrival);
}

void Coordinator::client_gone(RequestId id) { gather(ClientGone{id}); }

void Coordinator::attempt_ended(AttemptEnd end) {
  const auto at = open_.find(end.id);
  if (at == open_.end()) return;
  Open& open = at->second;
  if (open.out != Out::kOut || end.attempt != open.attempts - 1) return;
  // Its connection was closed from here: as with a cancel, the engine has yet to hear of it.
  const bool closed_here = end.cause == EndCause::kSpoiltAnswer || end.cause == EndCause::kCommandsUnread ||
                           end.cause == EndCause::kEngineReplaced;
  if (closed_here && end.outcome != Outcome::kDialFailed) {
    hold_back(open, end.outcome, end.cause);
    return wake();
  }
  open.pages = std::move(end.pages);
  close(open, end.outcome, end.cause, end.report);
}

void Coordinator::noted(Note note) {
  const auto at = open_.find(note.id);
  if (at != open_.end())
    log_.event(LogLevel::kDebug, "noted",
               {{"id", at->second.query.name},
                {"attempt", note.attempt},
                {"engine", note.engine},
                {"topic", static_cast<int>(note.topic)},
                {"amount", note.amount}});
  gather(note);
}
void Coordinator::probed(ProbeResult result) { gather(std::move(result)); }

void Coordinator::listed(ListMode mode, std::vector<EngineEntry> entries, std::vector<EngineChange> changes) {
  // The sockets hear of a drain at once, not with the batch: what is still queued must not leave late.
  for (const EngineChange& change : changes) engines_->list(change);
  auto news = routing_ != nullptr ? routing_->listed(mode, entries, changes) : std::nullopt;
  gather(ListNews{mode, std::move(entries)});
  if (news) gather(std::move(*news));
}

void Coordinator::when_empty(std::function<void()> then) {
  if (unanswered_ == 0) return then();
  when_empty_ = std::move(then);
}

void Coordinator::answer_all() {
  now_ = clock_.now();
  for (auto& [id, open] : open_) {
    if (open.answered) continue;
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(open.query.cls)];
    const bool harmless = open.attempts == 0 || cls.effect == Effect::kRepeatable;
    // To the module it is as if its client had gone: what is out is called off.
    gather(ClientGone{id});
    finish(open, {harmless ? Verdict::kRefused : Verdict::kFailed, {}, {}}, "stopping");
  }
}

// An attempt's one end, on its way to the module.
void Coordinator::close(Open& open, Outcome outcome, EndCause cause, LoadReport report) {
  open.out = Out::kClosing;
  Closed closed;
  closed.id = open.query.id;
  closed.attempt = open.attempts - 1;
  closed.engine = open.engine;
  closed.outcome = outcome;
  closed.delay = clock_.now() - open.sent;
  closed.report = report;
  log_.event(LogLevel::kDebug, "closed",
             {{"id", open.query.name},
              {"attempt", closed.attempt},
              {"engine", closed.engine},
              {"outcome", kOutcomes[static_cast<std::size_t>(outcome)]},
              {"cause", kCauses[static_cast<std::size_t>(cause)]},
              {"ms", closed.delay.count() / 1000},
              {"util", report.utilisation.value_or(-1)},
              {"inflight", report.in_flight.value_or(-1)}});
  gather(closed);
}

// The engine is told at once, the module once the engine must have heard.
void Coordinator::give_up(Open& open, Outcome outcome, EndCause cause) {
  engines_->give_up(open.query.id, open.attempts - 1);
  hold_back(open, outcome, cause);
}

void Coordinator::hold_back(Open& open, Outcome outcome, EndCause cause) {
  open.out = Out::kClosing;
  open.given_up = outcome;
  open.given_up_cause = cause;
  given_up_.push_back(open.query.id);
}

// The start counts from when the cancels have left: a long turn would use it up before they do.
void Coordinator::tell_given_up() {
  const Micros now = clock_.now();
  for (const RequestId id : given_up_) {
    const auto at = open_.find(id);
    if (at == open_.end()) continue;
    const Open& open = at->second;
    const Micros told = open.answered ? now : std::min(now + kCancelStart, std::max(now, open.deadline));
    timeouts_.push({told, Due::kGivenUp, id, open.life, open.attempts - 1});
  }
  given_up_.clear();
}

// ---- A turn ----

void Coordinator::turn() {
  turn_posted_ = false;
  now_ = clock_.now();
  watch_lateness();
  expire();
  batch_.swap(gathered_);
  for (Event& event : batch_) decide(event);
  batch_.clear();
  // Carrying out may bring news (a send that cannot leave); that is for the next turn.
  for (const Action& action : actions_) std::visit([this](const auto& a) { carry_out(a); }, action);
  actions_.clear();
  engines_->flush();
  tell_given_up();
  for (Front* front : fronts_) front->flush();
  arm();
  if (unanswered_ == 0 && when_empty_) std::exchange(when_empty_, nullptr)();
}

// Turns that come late cost answers: on-call staff must see it before clients do.
void Coordinator::watch_lateness() {
  if (timeouts_.empty() || now_ - timeouts_.top().at < kLate || now_ < next_late_line_) return;
  next_late_line_ = now_ + kLateLines;
  log_.message("late by " + std::to_string((now_ - timeouts_.top().at).count() / 1000) + " ms, " +
               std::to_string(open_.size()) + " requests held, " + std::to_string(gathered_.size()) +
               " events at once");
}

void Coordinator::expire() {
  while (!timeouts_.empty() && timeouts_.top().at <= now_) {
    const Timeout due = timeouts_.top();
    timeouts_.pop();
    if (due.what == Due::kAlarm) {
      gathered_.push_back(Alarm{due.id});
      continue;
    }
    const auto at = open_.find(due.id);
    if (at == open_.end() || at->second.life != due.life) continue;
    Open& open = at->second;
    if (due.what == Due::kAttempt) {
      if (open.out == Out::kOut && due.attempt == open.attempts - 1)
        give_up(open, Outcome::kExpired, EndCause::kTimedOut);
    } else if (due.what == Due::kGivenUp) {
      close(open, open.given_up, open.given_up_cause);
    } else if (!open.answered && open.out != Out::kNone) {
      // Its attempt is on the way to its end, and the module's last word comes with that: look again.
      timeouts_.push({now_ + kCancelStart, Due::kRequest, due.id, due.life, 0});
    } else if (!open.answered) {
      // The module answers before a client's deadline; one that it forgot must still get its answer.
      STEPRAIL_INVARIANT(log_, open.answered);
      gathered_.push_back(ClientGone{due.id});
      finish(open, {Verdict::kFailed, {}, {}}, "forgotten");
    }
  }
}

void Coordinator::decide(Event& event) {
  RequestId forgotten{};
  bool may_forget = false;
  if (auto* arrival = std::get_if<Arrival>(&event)) {
    arrival->left = std::max(Micros{0}, open_.at(arrival->id).deadline - now_);
  } else if (const auto* gone = std::get_if<ClientGone>(&event)) {
    const auto at = open_.find(gone->id);
    if (at == open_.end()) return;
    if (!std::exchange(at->second.answered, true)) {
      --unanswered_;
      log_.event(LogLevel::kDebug, "client_gone", {{"id", at->second.query.name}});
      if (routing_ != nullptr) routing_->left(gone->id, Routing::How::kGone);
    }
    forgotten = gone->id, may_forget = true;
  } else if (auto* closed = std::get_if<Closed>(&event)) {
    Open& open = open_.at(closed->id);
    open.out = Out::kNone;
    if (closed->outcome == Outcome::kDelivered && !open.answered)
      finish(open, {Verdict::kServed, {}, std::move(open.pages)}, "answered");
    open.pages.clear();
    closed->ended = open.answered;
    forgotten = closed->id, may_forget = true;
  }
  module_.handle(now_, event, actions_);
  if (may_forget) forget(forgotten);
}

// Every request leaves by this one function; a second answer stops here.
void Coordinator::finish(Open& open, Answer answer, std::string_view reason) {
  if (open.answered) return;
  open.answered = true;
  --unanswered_;
  log_.event(LogLevel::kDebug, "answered",
             {{"id", open.query.name},
              {"verdict", kVerdicts[static_cast<std::size_t>(answer.verdict)]},
              {"reason", reason},
              {"ms", (now_ - open.query.taken).count() / 1000},
              {"attempts", open.attempts}});
  if (routing_ != nullptr) {
    using How = Routing::How;
    routing_->left(open.query.id, answer.verdict == Verdict::kServed    ? How::kServed
                                  : answer.verdict == Verdict::kRefused ? How::kRefused
                                                                        : How::kFailed);
  }
  fronts_[static_cast<std::size_t>(open.query.ticket.front)]->answer(open.query.ticket, std::move(answer));
}

// The module may still speak of a request in the batch that ended it; then the action finds nothing.
void Coordinator::forget(RequestId id) {
  const auto at = open_.find(id);
  if (at != open_.end() && at->second.answered && at->second.out == Out::kNone) open_.erase(at);
}

void Coordinator::arm() {
  if (timeouts_.empty() || timeouts_.top().at == armed_for_) return;
  armed_for_ = timeouts_.top().at;
  timer_.expires_after(std::max(Micros{0}, armed_for_ - clock_.now()));
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    armed_for_ = Micros{0};
    wake();
  });
}

// ---- What the module wants done ----

void Coordinator::carry_out(const Send& send) {
  const auto at = open_.find(send.id);
  if (at == open_.end()) return;
  Open& open = at->second;
  STEPRAIL_INVARIANT(log_, open.out == Out::kNone);
  if (open.out != Out::kNone) return;
  open.engine = send.engine;
  open.sent = now_;
  ++open.attempts;
  // It ended in this very batch, by its client: nothing leaves.
  if (open.answered) return close(open, Outcome::kUnused, EndCause::kNotSent);
  Micros patience = open.deadline - now_;
  if (send.patience.count() > 0) patience = std::min(patience, send.patience);
  open.out = Out::kOut;
  timeouts_.push({now_ + patience, Due::kAttempt, send.id, open.life, open.attempts - 1});
  log_.event(LogLevel::kDebug, "sent",
             {{"id", open.query.name},
              {"attempt", open.attempts - 1},
              {"engine", send.engine},
              {"patience", patience.count() / 1000},
              {"bound", module_.backlog_bound(send.engine)},
              {"backlog", module_.backlog(send.engine)}});
  engines_->send({open.query, open.attempts - 1, send.engine, patience});
}

void Coordinator::carry_out(const Cancel& cancel) {
  const auto at = open_.find(cancel.id);
  if (at == open_.end()) return;
  Open& open = at->second;
  if (open.out != Out::kOut || cancel.attempt != open.attempts - 1) return;
  give_up(open, Outcome::kRevoked, EndCause::kCalledOff);
}

void Coordinator::carry_out(const Refuse& refuse) {
  const auto at = open_.find(refuse.id);
  if (at == open_.end()) return;
  finish(at->second, {Verdict::kRefused, settings_.retry_after ? refuse.wait : Micros{0}, {}},
         kReasons[static_cast<std::size_t>(refuse.reason)]);
  forget(refuse.id);
}

void Coordinator::carry_out(const Fail& fail) {
  const auto at = open_.find(fail.id);
  if (at == open_.end()) return;
  finish(at->second, {Verdict::kFailed, {}, {}}, kReasons[static_cast<std::size_t>(fail.reason)]);
  forget(fail.id);
}

void Coordinator::carry_out(const Probe& probe) { engines_->probe(probe.engine); }
void Coordinator::carry_out(const Timer& timer) {
  timeouts_.push({timer.due, Due::kAlarm, timer.label, 0, 0});
}
void Coordinator::carry_out(const Log& text) { log_.message(text.text); }

}  // namespace steprail
