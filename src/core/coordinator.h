// One coordinator: the table of open requests, the clock, the timers, the decision module and its batch.
// Everything here runs on one strand.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <map>
#include <queue>
#include <unordered_map>

#include "base/clock.h"
#include "base/log.h"
#include "core/ports.h"

namespace steprail {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

class Coordinator {
 public:
  Coordinator(Strand strand, EventLog& log, std::uint64_t seed, Settings settings);
  void attach(Engines& engines) { engines_ = &engines; }
  void attach(Routing& routing) { routing_ = &routing; }
  // Returns the number under which the front's tickets come back to it.
  int attach(Front& front);
  void start();

  // Null if the query can be used as the settings stand, else what is wrong with it. The one place that
  // validates, for every front: what passes here can do no harm to the module or to an engine.
  const char* unusable(const Query& query) const;
  const Settings& settings() const { return settings_; }

  // What has happened. Each is gathered, and decided on in the next turn of the loop.
  void arrived(Query query);
  void client_gone(RequestId id);
  void attempt_ended(AttemptEnd end);
  void noted(ProgressReport note);
  void probed(ProbeResult result);
  void listed(ListMode mode, std::vector<EngineEntry> entries, std::vector<EngineChange> changes);
  void routes(RoutesUpdate news) { gather(std::move(news)); }

  // Asks for a turn, at the end of which what waits to be written leaves.
  void wake();
  bool knows(RequestId id) const { return open_.contains(id); }
  // Calls back once, in the turn in which the last open request has got its answer; at once if none is open.
  void when_empty(std::function<void()> then);
  std::size_t unanswered() const { return unanswered_; }
  // Gives up whatever is open: refused where coming again does no harm, failed otherwise.
  void answer_all();
  Micros now() { return clock_.now(); }

 private:
  enum class Out { kNone, kOut, kClosing };  // kClosing: its end waits for the module's next batch
  struct Open {
    Query query;
    std::uint64_t life{};  // of the id: a client may use it again once it has its answer
    Micros deadline{0};
    bool answered{};
    int attempts{};  // sent so far; the last of them may be out
    Out out{Out::kNone};
    int engine{};
    Micros sent{0};
    Outcome given_up{};  // what the module is told of an attempt that was given up
    EndCause given_up_cause{};
    std::vector<std::string> pages;  // of an attempt that was delivered but not yet told
  };
  enum class Due { kAlarm, kAttempt, kGivenUp, kRequest };
  struct Timeout {
    Micros at{0};
    Due what{Due::kAlarm};
    std::uint64_t id{};    // of the request; an alarm's label
    std::uint64_t life{};  // of the request
    int attempt{};
    bool operator>(const Timeout& other) const { return at > other.at; }
  };

  void gather(Event event);
  void turn();
  void watch_lateness();
  void expire();
  void decide(Event& event);
  void close(Open& open, Outcome outcome, EndCause cause, LoadReport report = {});
  void give_up(Open& open, Outcome outcome, EndCause cause);
  void hold_back(Open& open, Outcome outcome, EndCause cause);
  void tell_given_up();
  void finish(Open& open, Answer answer, std::string_view reason);
  void forget(RequestId id);
  void arm();

  void carry_out(const Send& send);
  void carry_out(const Cancel& cancel);
  void carry_out(const Refuse& refuse);
  void carry_out(const Fail& fail);
  void carry_out(const Probe& probe);
  void carry_out(const Timer& timer);
  void carry_out(const Log& text);
  void carry_out(const SetResources&) {}  // engines choose memory themselves and heed no priority
  void carry_out(const Subscribe&) {}     // the directory is followed from the start
  void carry_out(const FetchList&) {}

  Strand strand_;
  EventLog& log_;
  Clock clock_;
  Settings settings_;
  Gateway module_;
  std::vector<Front*> fronts_;
  Routing* routing_{};
  Engines* engines_{};
  boost::asio::steady_timer timer_;
  Micros armed_for_{0};
  bool turn_posted_{false};
  Micros now_{0}, next_late_line_{0};
  std::size_t unanswered_{0};
  std::uint64_t lives_{0};
  std::unordered_map<RequestId, Open> open_;
  std::priority_queue<Timeout, std::vector<Timeout>, std::greater<>> timeouts_;
  std::vector<Event> gathered_, batch_;
  std::vector<RequestId> given_up_;  // in this turn; the module hears of it later
  std::vector<Action> actions_;
  std::function<void()> when_empty_;
};

}  // namespace steprail
