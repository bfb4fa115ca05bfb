// The coordinator: the table of open requests, the clock, the timers, the gateway (decision module) and the
// batch of events for it. Everything here runs on one strand.
#pragma once

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <map>
#include <queue>
#include <unordered_map>

#include "base/clock.h"
#include "base/log.h"
#include "core/ports.h"
#include "core/run_history.h"

namespace steprail {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

class Coordinator {
 public:
  static constexpr std::size_t kDefaultRunHistory = 65'536;
  // `max_run_history`: ids of requests that must not run twice that are known at a time.
  Coordinator(Strand strand, EventLog& log, std::uint64_t seed, Settings settings,
              std::size_t max_run_history = kDefaultRunHistory);
  void attach(Engines& engines) { engines_ = &engines; }
  void attach(Routing& routing) { routing_ = &routing; }
  // Returns the front's index, to be set in ReplyTarget::front.
  int attach(Front& front);
  void start();

  // Returns null if the query is valid under the current settings, else the name of the invalid part. Every
  // front validates here and nowhere else: a query that passes cannot harm the gateway or an engine.
  const char* validation_error(const Query& query) const;
  const Settings& settings() const { return settings_; }

  // Events. Each is queued and handled in the next event loop iteration.
  void arrived(Query query);
  void client_gone(RequestId id);
  void attempt_ended(AttemptEnd end);
  void note_received(ProgressReport note);
  void probed(ProbeResult result);
  void list_changed(ListMode mode, std::vector<EngineEntry> entries, std::vector<EngineChange> changes);
  void routes_changed(RoutesUpdate update) { enqueue(std::move(update)); }

  // Schedules an event loop iteration, which flushes all pending writes at its end.
  void schedule_iteration();
  bool has_request(RequestId id) const { return open_requests_.contains(id); }
  // True if a request of that id must not run again: it is open, or it may have run lately. It must not be
  // refused either, as its client would then send it again.
  bool may_have_run(RequestId id) const;
  // False if the class must not run twice and no further ids of such requests can be remembered.
  bool has_room_for(int cls);
  // False once the request is answered, its client has gone, or the attempt has ended.
  bool wants_attempt(RequestId id, int attempt) const;
  // Calls back once, in the event loop iteration in which the last unanswered request is answered; at once if
  // there is none.
  void when_all_answered(std::function<void()> callback);
  std::size_t unanswered() const { return unanswered_; }
  std::size_t pending_timeouts() const { return timeouts_.size(); }
  // The gateway's, for tests and dashboards.
  int attempts_in_flight() const { return gateway_.attempts_in_flight(); }
  double backlog(int engine) const { return gateway_.backlog(engine); }
  // Answers all open requests: refused where a retry by the client is safe, failed otherwise.
  void answer_all();
  Micros now() { return clock_.now(); }

 private:
  // Of the request's last attempt. kClosing: its end has not reached the gateway yet.
  enum class AttemptState { kNone, kInFlight, kClosing };
  struct OpenRequest {
    Query query;
    std::uint64_t generation{};  // clients may reuse a request id once it is answered
    Micros deadline{0};
    bool answered{};
    int attempts{};  // sent so far; the last one may be in flight
    AttemptState attempt_state{AttemptState::kNone};
    int engine{};
    Micros sent_at{0};
    bool withdrawn{};  // cancelled before anything was sent
    // The end of an attempt that the coordinator cancelled, or whose connection it closed; reported to the
    // gateway once the engine must have noticed.
    Outcome deferred_outcome{};
    EndCause deferred_cause{};
    std::vector<std::string> pages;  // of a delivered attempt that the gateway has not handled yet
  };
  enum class TimeoutKind { kAlarm, kAttempt, kDeferredEnd, kRequest };
  struct Timeout {
    Micros at{0};
    TimeoutKind kind{TimeoutKind::kAlarm};
    std::uint64_t id{};          // request id, or the label of an alarm
    std::uint64_t generation{};  // of the request
    int attempt{};
    bool operator>(const Timeout& other) const { return at > other.at; }
  };

  void enqueue(Event event);
  void run_iteration();
  void log_lateness();
  void handle_timeouts();
  void handle_event(Event& event);
  bool runs_at_most_once(int cls) const;
  void record_run(const OpenRequest& request, Outcome outcome);
  void perform_actions();
  void close_attempt(OpenRequest& request, Outcome outcome, EndCause cause, LoadReport report = {});
  void cancel_attempt(OpenRequest& request, Outcome outcome, EndCause cause);
  void defer_end(OpenRequest& request, Outcome outcome, EndCause cause);
  void schedule_deferred_ends();
  void answer_request(OpenRequest& request, Answer answer, std::string_view reason);
  void erase_if_ended(RequestId id);
  void drop_stale_timeouts();
  void arm_timer();

  void execute(const Send& send);
  void execute(const Cancel& cancel);
  void execute(const Refuse& refuse);
  void execute(const Fail& fail);
  void execute(const Probe& probe);
  void execute(const Timer& timer);
  void execute(const Log& text);
  void execute(const SetResources&) {}  // engines choose memory themselves and ignore priorities
  void execute(const Subscribe&) {}     // the directory is followed from the start
  void execute(const FetchList&) {}

  Strand strand_;
  EventLog& log_;
  Clock clock_;
  RunHistory run_history_;
  Settings settings_;
  Gateway gateway_;
  std::vector<Front*> fronts_;
  Routing* routing_{};
  Engines* engines_{};
  boost::asio::steady_timer timer_;
  Micros armed_for_{0};
  bool iteration_posted_{false};
  Micros now_{0}, next_lateness_log_{0};
  std::size_t unanswered_{0};
  std::uint64_t last_generation_{0};
  int attempts_in_flight_{0};  // sent, and their end not yet reported to the gateway
  std::unordered_map<RequestId, OpenRequest> open_requests_;
  // Earliest first. Timeouts of requests that have ended stay in it until they are due or dropped.
  struct TimeoutQueue : std::priority_queue<Timeout, std::vector<Timeout>, std::greater<>> {
    template <typename Predicate>
    void erase_if(Predicate predicate) {
      std::erase_if(c, predicate);
      std::make_heap(c.begin(), c.end(), comp);
    }
  };
  static constexpr std::size_t kMinTimeoutsToDrop = 4096;
  TimeoutQueue timeouts_;
  std::size_t max_timeouts_{kMinTimeoutsToDrop};  // beyond it, those of ended requests are dropped
  std::vector<Event> pending_events_, batch_;
  std::vector<RequestId> deferred_ends_;  // of this iteration; reported to the gateway later
  std::vector<Action> actions_;
  std::function<void()> when_all_answered_;
};

}  // namespace steprail
