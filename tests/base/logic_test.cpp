// The timing wheel against a sorted list, and the log that nobody reads.
#include <fcntl.h>
#include <rapidcheck/catch.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "base/backoff.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/timing_wheel.h"
#include "base/worker.h"

namespace {

using namespace steprail;
using Micros = std::chrono::microseconds;

struct Pipe {
  Pipe() { REQUIRE(::pipe(ends) == 0); }
  ~Pipe() { ::close(ends[0]), ::close(ends[1]); }
  std::string read() {
    std::string all(1 << 20, '\0');
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    const ssize_t count = ::read(ends[0], all.data(), all.size());
    all.resize(count < 0 ? 0 : static_cast<std::size_t>(count));
    return all;
  }
  int ends[2]{};
};

}  // namespace

TEST_CASE("the wheel fires what a sorted list would, in the same ticks") {
  rc::prop("random timers, taken back and let run", [] {
    constexpr std::int64_t kTick = 1000;
    const auto start = *rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 45);
    TimingWheel wheel(Micros{kTick}, Micros{start});
    std::multimap<std::int64_t, std::uint64_t> model;  // tick -> key
    std::map<std::uint64_t, std::pair<TimingWheel::Timer, std::int64_t>> live;
    std::int64_t now = start;
    std::uint64_t next_key = 1;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10))) {
      if (step < 5) {
        // Near, far, past and beyond the wheel's reach alike.
        const int scale = *rc::gen::inRange(0, 50);
        const std::int64_t due =
            now - 2000 + *rc::gen::inRange<std::int64_t>(0, 1 + (std::int64_t{1} << scale));
        const std::uint64_t key = next_key++;
        const std::int64_t tick = std::max((due + kTick - 1) / kTick, now / kTick + 1);
        live[key] = {wheel.schedule(Micros{due}, key), tick};
        model.emplace(tick, key);
      } else if (step < 7 && !live.empty()) {
        auto at = live.begin();
        std::advance(at, *rc::gen::inRange<std::size_t>(0, live.size()));
        RC_ASSERT(wheel.cancel(at->second.first));
        RC_ASSERT(!wheel.cancel(at->second.first));
        for (auto m = model.begin(); m != model.end(); ++m) {
          if (m->second == at->first) {
            model.erase(m);
            break;
          }
        }
        live.erase(at);
      } else {
        now += *rc::gen::inRange<std::int64_t>(0, 1 + (std::int64_t{1} << *rc::gen::inRange(0, 46)));
        const auto earliest = wheel.next();
        RC_ASSERT(earliest.has_value() == !model.empty());
        if (earliest) RC_ASSERT(earliest->count() / kTick <= model.begin()->first);
        std::vector<std::uint64_t> fired;
        std::int64_t last = 0;
        wheel.advance(Micros{now}, [&](std::uint64_t key) {
          RC_ASSERT(live.at(key).second >= last);  // in the order of their ticks
          last = live.at(key).second;
          fired.push_back(key);
        });
        std::set<std::uint64_t> expected;
        while (!model.empty() && model.begin()->first <= now / kTick) {
          expected.insert(model.begin()->second);
          model.erase(model.begin());
        }
        RC_ASSERT(std::set<std::uint64_t>(fired.begin(), fired.end()) == expected);
        RC_ASSERT(fired.size() == expected.size());
        for (const std::uint64_t key : fired) live.erase(key);
      }
      RC_ASSERT(wheel.size() == live.size());
    }
  });
}

// Guards against a list that is being walked while its own entries are taken out of it.
TEST_CASE("a timer that fires may take back its neighbours and set new ones") {
  TimingWheel wheel(Micros{1000}, Micros{0});
  std::vector<std::uint64_t> fired;
  std::vector<TimingWheel::Timer> timers;
  for (std::uint64_t key = 0; key < 3; ++key) timers.push_back(wheel.schedule(Micros{5000}, key));
  wheel.advance(Micros{5000}, [&](std::uint64_t key) {
    fired.push_back(key);
    for (const auto timer : timers) wheel.cancel(timer);
    if (key < 3) wheel.schedule(Micros{5000}, 7);
  });
  CHECK(fired.size() == 1);
  CHECK(wheel.size() == 1);
  wheel.advance(Micros{6000}, [&](std::uint64_t key) { fired.push_back(key); });
  CHECK(fired.back() == 7);
}

// Guards against a coordinator that stops because the pipe behind its log is full.
TEST_CASE("a log that nobody reads stops nothing, is bounded, and says what it lost") {
  Pipe pipe;
  EventLog log(pipe.ends[1]);
  const std::string text(1000, 'x');
  for (int i = 0; i < 2000; ++i) log.line(text);
  CHECK(log.dropped_count() > 0);
  std::string all;
  for (int i = 0; i < 100 && all.find("log lines dropped: ") == std::string::npos; ++i) {
    all = pipe.read();
    log.flush();
  }
  CHECK(all.find("log lines dropped: " + std::to_string(log.dropped_count())) != std::string::npos);
}

TEST_CASE("an event is one line of name and values, or one object in JSON") {
  Pipe pipe;
  EventLog log(pipe.ends[1]);
  log.line("serving as n0");
  log.event(Level::kWarn, "spool-closed", {{"cause", "no space\n\"left\""}, {"bytes", 12}, {"share", 0.5}});
  log.event(Level::kDebug, "unseen", {});
  const std::string text = pipe.read();
  CHECK(text.substr(text.find(' ') + 1, 14) == "serving as n0\n");
  CHECK(text.find(R"(spool-closed cause="no space\n\"left\"" bytes=12 share=0.5)") != std::string::npos);
  CHECK(text.find("unseen") == std::string::npos);
  log.set({Level::kDebug, true});
  log.line("a \"line\"");
  log.event(Level::kDebug, "seen", {{"bytes", 3}, {"who", "me"}});
  std::istringstream lines(pipe.read());
  std::string one;
  std::getline(lines, one);
  CHECK(nlohmann::json::parse(one).at("text") == "a \"line\"");
  std::getline(lines, one);
  const auto object = nlohmann::json::parse(one);
  CHECK(object.at("event") == "seen");
  CHECK(object.at("bytes") == 3);
  CHECK(object.at("level") == "debug");
}

TEST_CASE("the same metric is one object, and its text names it") {
  Metrics metrics;
  auto& first = metrics.counter("steprail_test_total", "Things.", {{"kind", "a"}});
  first.Increment();
  metrics.counter("steprail_test_total", "Things.", {{"kind", "a"}}).Increment(2);
  CHECK(first.Value() == 3);
  metrics.histogram("steprail_test_seconds", "Times.", {0.1, 1}).Observe(0.5);
  const std::string text = metrics.text();
  CHECK(text.find("steprail_test_total{kind=\"a\"} 3") != std::string::npos);
  CHECK(text.find("steprail_test_seconds_bucket{le=\"1\"} 1") != std::string::npos);
}

TEST_CASE("a worker does all that it took, in order, and takes no more than its bound") {
  std::vector<int> done;
  bool refused = false;
  {
    std::mutex gate;
    gate.lock();
    Worker worker(4);
    worker.post([&] { const std::lock_guard wait(gate); });
    for (int i = 0; i < 8; ++i) refused |= !worker.post([&done, i] { done.push_back(i); });
    gate.unlock();
  }
  CHECK(refused);
  CHECK(done.size() >= 3);
  CHECK(std::is_sorted(done.begin(), done.end()));
}

// Guards against hundreds of coordinators that lose the directory together and come back together, try after
// try.
TEST_CASE("three hundred that lose the same peer at once come back spread over the whole pause") {
  using std::chrono::milliseconds;
  for (int tries = 1; tries <= 4; ++tries) {
    const int reach = std::min(800, 200 << (tries - 1));
    std::map<std::int64_t, int> tenths;
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
      Backoff backoff(seed, milliseconds(200), milliseconds(800));
      Backoff::Micros pause{};
      for (int i = 0; i < tries; ++i) pause = backoff.next();
      CHECK(pause <= milliseconds(reach));
      ++tenths[pause.count() / (reach * 100)];
    }
    for (const auto& [_, count] : tenths) CHECK(count < 60);  // of 30 on average
    CHECK(tenths.size() >= 10);
  }
}

TEST_CASE("a pause begins small again after a success") {
  Backoff backoff(7, std::chrono::milliseconds(10), std::chrono::seconds(10));
  for (int i = 0; i < 20; ++i) backoff.next();
  backoff.reset();
  CHECK(backoff.next() <= std::chrono::milliseconds(10));
}
