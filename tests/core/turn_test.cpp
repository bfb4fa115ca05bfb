// Tests of the coordinator's event loop iterations: whatever the order of the events in one iteration, the
// coordinator and the decision module agree on the end of every attempt.
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "core/coordinator.h"

using namespace steprail;

namespace {

constexpr int kEngineCount = 2;
constexpr std::size_t kMaxEvents = 5;
constexpr RequestId kFirst = 1, kSecond = 2;

Settings test_settings() {
  Settings settings;
  settings.classes.push_back({.objective = std::chrono::seconds(1), .hard_limit = std::chrono::seconds(20)});
  settings.classes.push_back({.objective = std::chrono::seconds(1),
                              .hard_limit = std::chrono::seconds(20),
                              .idempotency = Idempotency::kNone});
  settings.kinds.push_back({.cores = 8, .memory_mb = 16384});
  settings.own_zone = 0;
  settings.may_cancel = true;
  settings.max_attempts = 3;
  return settings;
}

// Engines that keep the attempts that were sent to them until the test ends them.
class FakeEngines : public Engines {
 public:
  explicit FakeEngines(Coordinator& coordinator) : coordinator_(coordinator) {}
  void apply_change(const EngineChange&) override {}
  void send(const Dispatch& dispatch) override { in_flight_[dispatch.query.id] = dispatch.attempt; }
  bool cancel(RequestId id, int attempt) override {
    if (has(id) && in_flight_.at(id) == attempt) in_flight_.erase(id);
    return false;
  }
  void probe(int engine) override { coordinator_.probed({engine, true, Micros{1000}, {}}); }
  void flush() override {}

  bool has(RequestId id) const { return in_flight_.contains(id); }
  void end(RequestId id, Outcome outcome, EndCause cause) {
    const int attempt = in_flight_.at(id);
    in_flight_.erase(id);
    coordinator_.attempt_ended({id, attempt, outcome, cause, {}, {}});
  }
  void deliver_all() {
    const auto attempts = in_flight_;
    for (const auto& [id, attempt] : attempts) end(id, Outcome::kDelivered, EndCause::kAnswered);
  }

 private:
  Coordinator& coordinator_;
  std::map<RequestId, int> in_flight_;
};

class FakeFront : public Front {
 public:
  void answer(const ReplyTarget& reply_to, Answer) override { ++answers[reply_to.session]; }
  void flush() override {}
  std::map<RequestId, int> answers;
};

enum class Step { kArrive, kLeave, kDeliver, kFail, kLose, kDrain };
struct StepOf {
  Step step{};
  RequestId request{};
  auto operator<=>(const StepOf&) const = default;
};
const std::vector<StepOf> kAllSteps = {
    {Step::kArrive, kFirst},  {Step::kArrive, kSecond},  {Step::kLeave, kFirst}, {Step::kLeave, kSecond},
    {Step::kDeliver, kFirst}, {Step::kDeliver, kSecond}, {Step::kFail, kFirst},  {Step::kFail, kSecond},
    {Step::kLose, kFirst},    {Step::kLose, kSecond},    {Step::kDrain, 0}};

class World {
 public:
  World() : coordinator_(strand_, log_, 1, test_settings()), engines_(coordinator_) {
    coordinator_.attach(engines_);
    coordinator_.attach(front_);
    coordinator_.start();
    std::vector<EngineEntry> entries;
    for (int engine = 0; engine < kEngineCount; ++engine) entries.push_back({.engine = engine});
    coordinator_.list_changed(ListMode::kFull, entries, {});
    turn();
  }
  void turn() {
    io_.restart();
    io_.poll();
  }
  // False if the step is impossible in this state, as a request arrives once and an attempt ends once.
  bool perform(const StepOf& event) {
    const RequestId id = event.request;
    switch (event.step) {
      case Step::kArrive:
        if (!arrived_.insert(id).second) return false;
        coordinator_.arrived(make_query(id));
        return true;
      case Step::kLeave:
        if (!coordinator_.has_request(id) || front_.answers.contains(id) || !left_.insert(id).second)
          return false;
        coordinator_.client_gone(id);
        return true;
      case Step::kDrain:
        if (std::exchange(drained_, true)) return false;
        coordinator_.list_changed(ListMode::kIncremental, {{.engine = 0, .status = EngineStatus::kDraining}},
                                  {});
        return true;
      default:
        if (!engines_.has(id)) return false;
        end_attempt(event);
        return true;
    }
  }
  std::size_t pending_timeouts() const { return coordinator_.pending_timeouts(); }
  // Requests with ever new ids that arrive and are taken back.
  void take_back_requests(RequestId first, std::size_t count) {
    for (RequestId id = first; id < first + count; ++id) {
      coordinator_.arrived(make_query(id));
      coordinator_.client_gone(id);
      if (id % kRequestsPerTurn == 0) turn();
    }
    turn();
  }
  // Delivers what is in flight until nothing happens any more, then checks that nothing was left behind.
  void finish() {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (coordinator_.attempts_in_flight() > 0 || coordinator_.unanswered() > 0) {
      REQUIRE(std::chrono::steady_clock::now() < end);
      engines_.deliver_all();
      io_.restart();
      io_.run_for(std::chrono::milliseconds(1));
      if (++idle_turns_ > kMaxTurns) break;
    }
    REQUIRE(coordinator_.attempts_in_flight() == 0);
    for (int engine = 0; engine < kEngineCount; ++engine) REQUIRE(coordinator_.backlog(engine) == 0);
    for (const RequestId id : arrived_) {
      REQUIRE_FALSE(coordinator_.has_request(id));
      REQUIRE(front_.answers[id] <= 1);
      REQUIRE((front_.answers[id] == 1 || left_.contains(id)));
    }
    REQUIRE(log_.broken_invariant_count() == 0);
  }

 private:
  static constexpr int kMaxTurns = 300;
  static constexpr RequestId kRequestsPerTurn = 100;

  static Query make_query(RequestId id) {
    Query query;
    query.id = id;
    query.name = std::to_string(id);
    query.cls = id == kFirst ? 0 : 1;
    query.time_limit = std::chrono::seconds(10);
    query.received_at = Clock().now();
    query.statement = share_statement("select 1");
    query.reply_to = {id, 0, 0};
    return query;
  }
  void end_attempt(const StepOf& event) {
    if (event.step == Step::kDeliver) engines_.end(event.request, Outcome::kDelivered, EndCause::kAnswered);
    if (event.step == Step::kFail) engines_.end(event.request, Outcome::kAppError, EndCause::kEngineError);
    if (event.step == Step::kLose)
      engines_.end(event.request, Outcome::kConnectionLost, EndCause::kConnectionLost);
  }

  boost::asio::io_context io_{1};
  Strand strand_{io_.get_executor()};
  EventLog log_;
  Coordinator coordinator_;
  FakeEngines engines_;
  FakeFront front_;
  std::set<RequestId> arrived_, left_;
  bool drained_{false};
  int idle_turns_{0};
};

// Plays the steps of `before`, each in an iteration of its own, then those of `together` in one iteration.
bool play(const std::vector<StepOf>& before, const std::vector<StepOf>& together) {
  World world;
  for (const StepOf& step : before) {
    world.perform(step);
    world.turn();
  }
  for (const StepOf& step : together) {
    if (!world.perform(step)) return false;
  }
  world.finish();
  return true;
}

// Plays every possible order of up to kMaxEvents events; returns how many there were.
std::size_t play_all_orders(const std::vector<StepOf>& before, std::vector<StepOf>& together) {
  std::size_t count = 0;
  for (const StepOf& step : kAllSteps) {
    together.push_back(step);
    if (play(before, together)) {
      ++count;
      if (together.size() < kMaxEvents) count += play_all_orders(before, together);
    }
    together.pop_back();
  }
  return count;
}

}  // namespace

// Guards against attempts that the decision module counts for ever, so that engines fill up (review/8).
TEST_CASE("a request that arrives and is taken back in one iteration leaves nothing at its engine") {
  play({}, {{Step::kArrive, kFirst}, {Step::kLeave, kFirst}});
}

// Guards against the same where a client leaves in the iteration in which its attempt fails (review/8).
TEST_CASE("a client that leaves in the iteration of its retry leaves nothing at the engines") {
  play({{Step::kArrive, kFirst}}, {{Step::kLose, kFirst}, {Step::kLeave, kFirst}});
}

// Guards against any order of events after which coordinator and decision module disagree (review/8).
TEST_CASE("after any order of events in one iteration no attempt is left and each request has one answer") {
  const std::vector<std::vector<StepOf>> starts = {
      {}, {{Step::kArrive, kFirst}}, {{Step::kArrive, kFirst}, {Step::kArrive, kSecond}}};
  std::size_t count = 0;
  for (const auto& before : starts) {
    std::vector<StepOf> together;
    count += play_all_orders(before, together);
  }
  CHECK(count > 1000);
}

// Guards against memory that grows with each request that a client takes back, until its time is over.
TEST_CASE("requests that are taken back leave no timeouts behind") {
  constexpr std::size_t kRequests = 50'000, kMaxTimeouts = 10'000;
  World world;
  world.take_back_requests(100, kRequests);
  CHECK(world.pending_timeouts() < kMaxTimeouts);
}
