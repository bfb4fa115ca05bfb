// Tests of the base module: timing wheel (against a sorted list as the model), log, metrics, worker and
// backoff.
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
#include "base/utf8.h"
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

TEST_CASE("the wheel fires the same timers at the same ticks as a sorted list") {
  rc::prop("random timers, cancelled or left to fire", [] {
    constexpr std::int64_t kTick = 1000;
    const auto start = *rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 45);
    TimingWheel wheel(Micros{kTick}, Micros{start});
    std::multimap<std::int64_t, std::uint64_t> model;  // tick -> key
    std::map<std::uint64_t, std::pair<TimingWheel::TimerId, std::int64_t>> live;
    std::int64_t now = start;
    std::uint64_t next_key = 1;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10))) {
      if (step < 5) {
        // Due times in the past, near, far and beyond the wheel's range.
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
        const auto earliest = wheel.next_wakeup();
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

// Guards against iterating over a slot's list while entries are removed from it.
TEST_CASE("a timer that fires may cancel timers of the same slot and schedule new ones") {
  TimingWheel wheel(Micros{1000}, Micros{0});
  std::vector<std::uint64_t> fired;
  std::vector<TimingWheel::TimerId> timers;
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

// Guards against a coordinator that blocks because the pipe that it logs to is full.
TEST_CASE("a log that nobody reads never blocks, is bounded and reports dropped lines") {
  Pipe pipe;
  EventLog log(pipe.ends[1]);
  const std::string text(1000, 'x');
  for (int i = 0; i < 2000; ++i) log.message(text);
  CHECK(log.dropped_line_count() > 0);
  std::string all;
  for (int i = 0; i < 100 && all.find("log lines dropped: ") == std::string::npos; ++i) {
    all = pipe.read();
    log.flush();
  }
  CHECK(all.find("log lines dropped: " + std::to_string(log.dropped_line_count())) != std::string::npos);
}

TEST_CASE("an event is one line with its name and values, or one JSON object") {
  Pipe pipe;
  EventLog log(pipe.ends[1]);
  log.message("serving as n0");
  log.event(LogLevel::kWarn, "spool-closed",
            {{"cause", "no space\n\"left\""}, {"bytes", 12}, {"share", 0.5}});
  log.event(LogLevel::kDebug, "unseen", {});
  const std::string text = pipe.read();
  CHECK(text.substr(text.find(' ') + 1, 14) == "serving as n0\n");
  CHECK(text.find(R"(spool-closed cause="no space\n\"left\"" bytes=12 share=0.5)") != std::string::npos);
  CHECK(text.find("unseen") == std::string::npos);
  log.configure({LogLevel::kDebug, true});
  log.message("a \"line\"");
  log.event(LogLevel::kDebug, "seen", {{"bytes", 3}, {"who", "me"}});
  std::istringstream lines(pipe.read());
  std::string line;
  std::getline(lines, line);
  CHECK(nlohmann::json::parse(line).at("text") == "a \"line\"");
  std::getline(lines, line);
  const auto object = nlohmann::json::parse(line);
  CHECK(object.at("event") == "seen");
  CHECK(object.at("bytes") == 3);
  CHECK(object.at("level") == "debug");
}

TEST_CASE("the same name and labels give one metric, which appears in the text format") {
  Metrics metrics;
  auto& first = metrics.counter("steprail_test_total", "Things.", {{"kind", "a"}});
  first.Increment();
  metrics.counter("steprail_test_total", "Things.", {{"kind", "a"}}).Increment(2);
  CHECK(first.Value() == 3);
  metrics.histogram("steprail_test_seconds", "Times.", {0.1, 1}).Observe(0.5);
  const std::string text = metrics.serialize();
  CHECK(text.find("steprail_test_total{kind=\"a\"} 3") != std::string::npos);
  CHECK(text.find("steprail_test_seconds_bucket{le=\"1\"} 1") != std::string::npos);
}

TEST_CASE("a worker runs all accepted jobs in order and refuses jobs above its queue limit") {
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

// Guards against hundreds of coordinators that lose the directory together and then reconnect at the same
// moment on each attempt.
TEST_CASE("delays of 300 instances that fail at once are spread over the whole backoff") {
  using std::chrono::milliseconds;
  for (int attempts = 1; attempts <= 4; ++attempts) {
    const int max_delay_ms = std::min(800, 200 << (attempts - 1));
    std::map<std::int64_t, int> tenths;
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
      Backoff backoff(seed, milliseconds(200), milliseconds(800));
      Backoff::Micros delay{};
      for (int i = 0; i < attempts; ++i) delay = backoff.next_delay();
      CHECK(delay <= milliseconds(max_delay_ms));
      ++tenths[delay.count() / (max_delay_ms * 100)];
    }
    for (const auto& [_, count] : tenths) CHECK(count < 60);  // of 30 on average
    CHECK(tenths.size() >= 10);
  }
}

TEST_CASE("a reset returns the backoff to its initial delay") {
  Backoff backoff(7, std::chrono::milliseconds(10), std::chrono::seconds(10));
  for (int i = 0; i < 20; ++i) backoff.next_delay();
  backoff.reset();
  CHECK(backoff.next_delay() <= std::chrono::milliseconds(10));
}

// Guards against text that is cut within a character, which no JSON can hold.
TEST_CASE("a prefix of UTF-8 is UTF-8, within its length, and as long as whole characters allow") {
  rc::prop("any text of whole characters", [] {
    const auto character = rc::gen::element<std::string>("a", "\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x8e\xb5");
    std::string text;
    for (const std::string& part : *rc::gen::container<std::vector<std::string>>(character)) text += part;
    const auto max_bytes = *rc::gen::inRange<std::size_t>(0, 40);
    const std::string_view prefix = utf8_prefix(text, max_bytes);
    RC_ASSERT(is_utf8(text));
    RC_ASSERT(is_utf8(prefix));
    RC_ASSERT(prefix.size() <= max_bytes);
    RC_ASSERT(text.rfind(prefix, 0) == 0u);
    constexpr std::size_t kLongestCharacter = 4;
    RC_ASSERT(prefix.size() == text.size() || prefix.size() + kLongestCharacter > max_bytes);
  });
  CHECK(utf8_prefix("a\xc3\xa9", 2) == "a");
  CHECK_FALSE(is_utf8("\xc3"));
  CHECK_FALSE(is_utf8("\xc0\xaf"));
  CHECK_FALSE(is_utf8("\xed\xa0\x80"));
  CHECK_FALSE(is_utf8("\xf4\x90\x80\x80"));
}
