// The spool's decisions: random histories against a plain model of who holds what, in virtual time.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "spool/logic/spool_logic.h"

namespace {

using namespace steprail::spool;

constexpr Bytes kMemory = 100'000, kDisk = 300'000, kLongest = 30'000;

LogicSettings small(bool disk) {
  LogicSettings s;
  s.memory.most = kMemory;
  s.disk.most = disk ? kDisk : 0;
  s.result_most = kLongest;
  s.direct_most = 8'000;
  s.lease = Micros{2'000'000};
  s.results_most = 60;
  s.remembered = 16;
  return s;
}

// What surrounds the logic, as plainly as can be: pages in memory by result, some of them still in queues to
// readers after their result has ended, and stores under way.
struct World {
  explicit World(bool disk) : logic(small(disk), {0.6, 0.4}, now) {}

  struct Mem {
    std::size_t tenant{};
    Bytes charge{};
  };
  struct Promise {
    std::size_t tenant{};
    Micros give_up{}, expires{};
    std::string handle;
    bool whole{false};
  };

  void sync(ResultId id) {
    const auto at = memory.find(id);
    if (at != memory.end()) at->second.charge = logic.charged(id);
  }
  // Carries out what was ordered; pages that a reader's queue still holds stay charged until let_go().
  void carry_out(bool pinned = false) {
    for (std::size_t i = 0; i < orders.size(); ++i) {
      const Order order = orders[i];
      if (const auto* drop = std::get_if<Drop>(&order)) {
        RC_ASSERT(promises.contains(drop->id));
        if (drop->why == End::kLeaseEnded || drop->why == End::kGivenUp) {
          RC_ASSERT(promises.at(drop->id).expires <= now);  // no lease is lost
        }
        promises.erase(drop->id);
        const auto at = memory.find(drop->id);
        if (at != memory.end()) {
          const Mem mem = at->second;
          memory.erase(at);
          if (pinned) {
            queues.push_back(mem);
          } else {
            logic.freed(mem.tenant, mem.charge, orders);
          }
        }
        if (drop->on_disk) erasing.push_back(drop->id);
      } else {
        const ResultId id = std::get<Store>(order).id;
        RC_ASSERT(logic.view(id)->storing);
        storing.push_back(id);
      }
    }
    orders.clear();
  }
  void let_go(std::size_t n) {
    const Mem mem = queues[n];
    queues.erase(queues.begin() + static_cast<std::ptrdiff_t>(n));
    logic.freed(mem.tenant, mem.charge, orders);
    carry_out();
  }
  void store_done(bool good) {
    const ResultId id = storing.front();
    storing.erase(storing.begin());
    if (good) {
      const auto view = logic.view(id);
      logic.stored(id, view ? view->index->bytes() + 40 : 100);
      const auto at = memory.find(id);
      if (view && at != memory.end()) {
        const Mem mem = at->second;
        memory.erase(at);
        logic.freed(mem.tenant, mem.charge, orders);
      }
    } else {
      logic.not_stored(id);
    }
    carry_out();
  }
  void erase_done() {
    // In the order of the disk's queue: not before a store of the same result is through.
    for (std::size_t i = 0; i < erasing.size(); ++i) {
      if (std::find(storing.begin(), storing.end(), erasing[i]) != storing.end()) continue;
      logic.erased(erasing[i]);
      erasing.erase(erasing.begin() + static_cast<std::ptrdiff_t>(i));
      return;
    }
  }
  void expect(ResultId id) {
    auto& promise = promises.at(id);
    promise.expires = std::min(now + Micros{2'000'000}, promise.give_up);
  }

  void check() const {
    Bytes sum = 0;
    std::map<std::size_t, Bytes> by;
    for (const auto& [id, mem] : memory) sum += mem.charge, by[mem.tenant] += mem.charge;
    for (const Mem& mem : queues) sum += mem.charge, by[mem.tenant] += mem.charge;
    RC_ASSERT(logic.memory().used() == sum);
    for (const auto& [tenant, bytes] : by) RC_ASSERT(logic.memory().used(tenant) == bytes);
    RC_ASSERT(logic.memory().used() <= logic.memory().most());
    RC_ASSERT(logic.disk().used() <= logic.disk().most());
    RC_ASSERT(logic.size() == promises.size());
    for (const auto& [id, promise] : promises) RC_ASSERT(logic.view(id).has_value());
  }

  Micros now{5'000'000};
  SpoolLogic logic;
  std::vector<Order> orders;
  std::map<ResultId, Mem> memory;
  std::map<ResultId, Promise> promises;
  std::vector<Mem> queues;
  std::vector<ResultId> storing, erasing;
};

ResultId any(const std::map<ResultId, World::Promise>& of) {
  auto at = of.begin();
  std::advance(at, *rc::gen::inRange<std::size_t>(0, of.size()));
  return at->first;
}

void step(World& w, ResultId& next) {
  const int what = *rc::gen::inRange(0, 16);
  if (what <= 4) {  // a request, and most often its answer
    const std::size_t tenant = *rc::gen::inRange<std::size_t>(0, 2);
    const ResultId id = next++;
    const Micros give_up = w.now + Micros{*rc::gen::inRange(1'000, 9'000'000)};
    const std::string handle = "h" + std::to_string(id);
    if (!w.logic.submitted(id, tenant, handle, *rc::gen::inRange<ReaderId>(0, 4), give_up)) {
      RC_ASSERT(w.logic.size() >= 60);
      return;
    }
    w.promises[id] = {tenant, give_up, give_up, handle, false};
    const Bytes pages = *rc::gen::inRange<Bytes>(1, 8), size = *rc::gen::inRange<Bytes>(1, 6000);
    const Bytes expected = pages * size;
    const Bytes before = w.logic.memory().used(tenant);
    const Placement placement = w.logic.begin(id, expected);
    if (expected <= kLongest && before + expected <= w.logic.memory().reserve(tenant)) {
      RC_ASSERT(placement ==
                Placement::kSpool);  // what is reserved for a tenant is there, whatever others do
    }
    if (placement == Placement::kSpool) w.memory[id] = {tenant, w.logic.charged(id)};
    bool room = placement != Placement::kRefused;
    for (Bytes page = 0; room && page < pages; ++page) {
      room = w.logic.page(id, 3, *rc::gen::inRange<Bytes>(1, 6001));
      w.sync(id);
    }
    if (*rc::gen::inRange(0, 8) == 0) {  // the engine died
      const auto mem = w.memory.find(id);
      w.logic.attempt_lost(id);
      if (mem != w.memory.end()) {
        w.logic.freed(mem->second.tenant, mem->second.charge, w.orders);
        w.memory.erase(mem);
      }
    } else if (!room) {
      w.logic.ended(id, End::kFull, w.orders);
    } else {
      w.logic.complete(id, w.now, w.orders);
      w.sync(id);
      if (w.logic.view(id)) w.promises[id].whole = true, w.expect(id);
    }
    w.carry_out();
  } else if (what <= 8 && !w.promises.empty()) {  // a reader
    const ResultId id = any(w.promises);
    const auto promise = w.promises[id];
    const ReaderId reader = *rc::gen::inRange<ReaderId>(1, 4);
    const std::size_t tenant = *rc::gen::inRange<std::size_t>(0, 2);
    const auto before = w.logic.view(id);
    const std::uint64_t rows = before->index->rows();
    const std::uint64_t row = *rc::gen::inRange<std::uint64_t>(0, rows + 2);
    const Grant grant = w.logic.fetch_row(promise.handle, tenant, reader, row, 9000, w.now);
    RC_ASSERT((grant.access == Access::kUnknown) == (tenant != promise.tenant));
    if (grant.access == Access::kGranted) {
      w.expect(id);
      RC_ASSERT(row < rows);
      const auto& index = *w.logic.view(id)->index;
      RC_ASSERT(index.first_row(grant.first_page) <= row && row < index.first_row(grant.first_page + 1));
      const std::uint64_t end = index.first_row(grant.end_page);
      w.logic.handed_out(id, end);
      const bool pinned = *rc::gen::inRange(0, 2) == 0;
      const Grant done = w.logic.acknowledge(promise.handle, tenant, reader, end, w.now, w.orders);
      RC_ASSERT(done.access == Access::kGranted);
      RC_ASSERT(w.logic.view(id).has_value() == (end < rows));
      w.carry_out(pinned);
    }
  } else if (what == 9 && !w.promises.empty()) {
    const auto promise = w.promises[any(w.promises)];
    w.logic.release(promise.handle, promise.tenant, *rc::gen::inRange<ReaderId>(1, 4), w.orders);
    w.carry_out(*rc::gen::arbitrary<bool>());
  } else if (what == 10 && !w.promises.empty()) {
    const ResultId id = any(w.promises);
    const Grant grant = w.logic.resume(id, w.promises[id].tenant, *rc::gen::inRange<ReaderId>(1, 4), w.now);
    if (grant.access == Access::kGranted) w.expect(id);
  } else if (what == 11) {
    w.logic.reader_gone(*rc::gen::inRange<ReaderId>(1, 4));
  } else if (what == 12 && !w.queues.empty()) {
    w.let_go(*rc::gen::inRange<std::size_t>(0, w.queues.size()));
  } else if (what == 13 && !w.storing.empty()) {
    w.store_done(*rc::gen::inRange(0, 4) > 0);
  } else if (what == 14) {
    w.erase_done();
  } else {
    w.now += Micros{*rc::gen::inRange(0, 1'500'000)};
    w.logic.advance(w.now, w.orders);
    w.carry_out(*rc::gen::arbitrary<bool>());
    for (const auto& [id, promise] : w.promises) RC_ASSERT(promise.expires + Micros{1000} > w.now);
  }
}

}  // namespace

TEST_CASE("spool: budgets, leases, shares and charges hold over random histories") {
  rc::prop("with and without a disk", [](bool disk) {
    World w(disk);
    ResultId next = 1;
    const int steps = *rc::gen::inRange(0, 300);
    for (int i = 0; i < steps; ++i) {
      step(w, next);
      w.check();
    }
    // Whatever was held comes back to exactly nothing.
    while (!w.queues.empty()) w.let_go(0);
    w.now += Micros{20'000'000};
    w.logic.advance(w.now, w.orders);
    w.carry_out();
    while (!w.storing.empty()) w.store_done(true);
    while (!w.erasing.empty()) w.erase_done();
    RC_ASSERT(w.logic.size() == 0u);
    RC_ASSERT(w.logic.memory().used() == 0u);
    RC_ASSERT(w.logic.disk().used() == 0u);
  });
}

TEST_CASE("spool: the index of rows finds what a search from the start finds") {
  rc::prop("random pages", [] {
    const auto pages = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200));
    PageIndex index;
    std::vector<std::size_t> model;  // row -> page
    std::uint64_t bytes = 0;
    for (std::size_t page = 0; page < pages.size(); ++page) {
      const auto rows = static_cast<std::uint64_t>(pages[page]);
      index.add(rows, 10 * rows);
      bytes += 10 * rows;
      model.insert(model.end(), rows, page);
    }
    RC_ASSERT(index.rows() == model.size());
    RC_ASSERT(index.bytes() == bytes);
    for (std::size_t row = 0; row < model.size(); ++row) RC_ASSERT(index.page_of(row) == model[row]);
    RC_ASSERT(index.page_of(model.size()) == index.pages());
    if (pages.empty()) return;
    const auto from = *rc::gen::inRange<std::size_t>(0, pages.size());
    const auto window = *rc::gen::inRange<std::uint64_t>(0, 20'000);
    std::size_t end = from + 1;
    while (end < pages.size() && index.bytes_before(end + 1) - index.bytes_before(from) <= window) ++end;
    RC_ASSERT(index.end_of_window(from, window) == end);
  });
}

// Guards against a tenant whose slow readers fill the spool for everybody.
TEST_CASE("spool: one tenant's unread results leave the other's reserve alone") {
  World w(false);
  for (ResultId id = 1; id <= 50; ++id) {
    w.logic.submitted(id, 0, "a" + std::to_string(id), kNoReader, Micros{99'000'000});
    if (w.logic.begin(id, 6000) != Placement::kSpool) break;
    w.logic.page(id, 10, 6000);
    w.logic.complete(id, w.now, w.orders);
  }
  CHECK(w.logic.memory().used(0) > w.logic.memory().reserve(0));
  Bytes got = 0;
  for (ResultId id = 101; id <= 150; ++id) {
    w.logic.submitted(id, 1, "b" + std::to_string(id), kNoReader, Micros{99'000'000});
    if (w.logic.begin(id, 2000) != Placement::kSpool) break;
    got += 2000;
  }
  CHECK(got >= w.logic.memory().reserve(1));
  CHECK(w.logic.memory().used() <= w.logic.memory().most());
}

// Guards against the same result going back and forth about one mark.
TEST_CASE(
    "spool: between the marks nothing moves, above the high one the highest tenant's oldest go to disk") {
  World w(true);
  const auto keep = [&](ResultId id, std::size_t tenant) {
    REQUIRE(w.logic.submitted(id, tenant, "h" + std::to_string(id), kNoReader, Micros{99'000'000}));
    if (w.logic.begin(id, 5000) != Placement::kSpool) return false;
    w.logic.page(id, 10, 5000);
    w.logic.complete(id, w.now, w.orders);
    w.memory[id] = {tenant, 5000};
    w.promises[id] = {};
    return true;
  };
  ResultId id = 1;
  for (; w.logic.memory().used() + 5000 <= w.logic.memory().high(); ++id)
    REQUIRE(keep(id, id % 4 == 0 ? 1 : 0));
  CHECK(w.orders.empty());
  REQUIRE(keep(id, 0));
  REQUIRE(!w.orders.empty());
  CHECK(std::get<Store>(w.orders.front()).id == 1);
  const auto moved = w.orders.size();
  // Down to the low mark in one go, and no farther.
  CHECK(w.logic.memory().used() - moved * 5000 <= w.logic.memory().low());
  CHECK(w.logic.memory().used() - (moved - 1) * 5000 > w.logic.memory().low());
  w.carry_out();
  while (!w.storing.empty()) w.store_done(true);
  CHECK_FALSE(w.logic.memory().pressed());
  CHECK(w.orders.empty());
}

TEST_CASE("spool: a budget lowered below its use lets in nothing and takes nothing back") {
  World w(false);
  for (ResultId id = 1; id <= 10; ++id) {
    w.logic.submitted(id, 0, "h" + std::to_string(id), kNoReader, Micros{99'000'000});
    REQUIRE(w.logic.begin(id, 6000) == Placement::kSpool);
    w.logic.page(id, 10, 6000);
    w.logic.complete(id, w.now, w.orders);
  }
  LogicSettings lower = small(false);
  lower.memory.most = 20'000;
  w.logic.reconfigure(lower, {0.6, 0.4}, w.orders);
  CHECK(w.orders.empty());
  CHECK(w.logic.size() == 10);
  for (std::size_t tenant = 0; tenant < 2; ++tenant) {
    w.logic.submitted(50 + tenant, tenant, "n" + std::to_string(tenant), kNoReader, Micros{99'000'000});
    CHECK(w.logic.begin(50 + tenant, 100) == Placement::kDirect);
  }
  for (ResultId id = 1; id <= 10; ++id) {
    w.logic.ended(id, End::kReleased, w.orders);
    w.logic.freed(0, 6000, w.orders);
  }
  w.logic.submitted(60, 1, "later", kNoReader, Micros{99'000'000});
  CHECK(w.logic.begin(60, 100) == Placement::kSpool);
}

TEST_CASE("spool: access tells apart what a reader may know, and nothing more") {
  World w(false);
  constexpr ReaderId kFirst = 7, kSecond = 8;
  REQUIRE(w.logic.submitted(1, 0, "handle", kFirst, Micros{99'000'000}));
  CHECK(w.logic.fetch_row("handle", 0, kFirst, 0, 1000, w.now).access == Access::kNotYet);
  w.logic.begin(1, 100);
  w.logic.page(1, 10, 100);
  w.logic.complete(1, w.now, w.orders);
  CHECK(w.logic.fetch_row("handle", 0, kFirst, 0, 1000, w.now).access == Access::kGranted);
  CHECK(w.logic.fetch_row("handle", 0, kSecond, 0, 1000, w.now).access == Access::kOtherReader);
  CHECK(w.logic.fetch_row("handle", 1, kFirst, 0, 1000, w.now).access == Access::kUnknown);
  CHECK(w.logic.fetch_row("forged", 0, kFirst, 0, 1000, w.now).access == Access::kUnknown);
  CHECK(w.logic.fetch_row("handle", 0, kFirst, 10, 1000, w.now).access == Access::kBeyond);
  CHECK(w.logic.fetch_page("handle", 0, kFirst, 1, 1000, w.now).access == Access::kBeyond);
  CHECK(w.logic.resume(1, 1, kSecond, w.now).access == Access::kUnknown);
  // Nothing is acknowledged that was never handed out.
  CHECK(w.logic.acknowledge("handle", 0, kFirst, 10, w.now, w.orders).access == Access::kBeyond);
  // A resume takes over from a connection that may be dead without anybody's knowing.
  CHECK(w.logic.resume(1, 0, kSecond, w.now).access == Access::kGranted);
  CHECK(w.logic.fetch_row("handle", 0, kFirst, 0, 1000, w.now).access == Access::kOtherReader);
  w.logic.reader_gone(kSecond);
  CHECK(w.logic.fetch_row("handle", 0, kFirst, 0, 1000, w.now).access == Access::kGranted);
  CHECK(w.logic.handed_out(1, 10));
  CHECK_FALSE(w.logic.handed_out(1, 10));  // served once
  CHECK(w.logic.acknowledge("handle", 0, kFirst, 10, w.now, w.orders).access == Access::kGranted);
  const Grant after = w.logic.fetch_row("handle", 0, kFirst, 0, 1000, w.now);
  CHECK(after.access == Access::kEnded);
  CHECK(after.end == End::kAcknowledged);
  CHECK(w.logic.fetch_row("handle", 1, kFirst, 0, 1000, w.now).access == Access::kUnknown);
}

TEST_CASE("spool: what is remembered of ended results is bounded") {
  World w(false);
  for (ResultId id = 1; id <= 40; ++id) {
    REQUIRE(w.logic.submitted(id, 0, "h" + std::to_string(id), kNoReader, Micros{99'000'000}));
    w.logic.ended(id, End::kFailed, w.orders);
  }
  CHECK_FALSE(w.logic.remembered(24));
  CHECK(w.logic.remembered(25) == End::kFailed);
  CHECK(w.logic.fetch_row("h24", 0, 1, 0, 10, w.now).access == Access::kUnknown);
  CHECK(w.logic.fetch_row("h25", 0, 1, 0, 10, w.now).access == Access::kEnded);
}

// Guards against transitions that nobody has named; see state.h.
TEST_CASE("spool: the states follow one another as they are drawn") {
  const State all[] = {State::kRunning, State::kFilling, State::kReady, State::kRead, State::kEnded};
  const std::set<std::pair<State, State>> drawn = {
      {State::kRunning, State::kFilling}, {State::kFilling, State::kRunning},
      {State::kFilling, State::kReady},   {State::kReady, State::kRead},
      {State::kRunning, State::kEnded},   {State::kFilling, State::kEnded},
      {State::kReady, State::kEnded},     {State::kRead, State::kEnded}};
  for (const State from : all) {
    for (const State to : all) CHECK(may_follow(from, to) == drawn.contains({from, to}));
  }
}
