// Property tests of the spool's decisions in virtual time: random event sequences against a simple model of
// who holds which bytes.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "spool/logic/spool_logic.h"

namespace {

using namespace steprail::spool;

constexpr Bytes kMemory = 100'000, kDisk = 300'000, kMaxResult = 30'000;

LogicSettings small_settings(bool disk) {
  LogicSettings settings;
  settings.memory.max_bytes = kMemory;
  settings.disk.max_bytes = disk ? kDisk : 0;
  settings.max_result_bytes = kMaxResult;
  settings.max_direct_bytes = 8'000;
  settings.lease = Micros{2'000'000};
  settings.max_results = 60;
  settings.max_remembered = 16;
  return settings;
}

// Stands in for the logic's callers: pages in memory by result, pages that are still queued to readers after
// their result has ended, and stores under way.
struct Fixture {
  explicit Fixture(bool disk) : logic(small_settings(disk), {0.6, 0.4}, now) {}

  struct Allocation {
    std::size_t tenant{};
    Bytes charge{};
  };
  struct Expectation {
    std::size_t tenant{};
    Micros give_up{}, expires{};
    std::string handle;
    bool whole{false};
  };

  void update_charge(ResultId id) {
    const auto at = memory.find(id);
    if (at != memory.end()) at->second.charge = logic.charged(id);
  }
  // Carries out the actions. Pages that a reader's queue still holds stay charged until release_queued().
  void carry_out(bool keep_queued = false) {
    for (std::size_t i = 0; i < actions.size(); ++i) {
      const SpoolAction action = actions[i];
      if (const auto* drop = std::get_if<DropAction>(&action)) {
        RC_ASSERT(expectations.contains(drop->id));
        if (drop->reason == EndReason::kLeaseEnded || drop->reason == EndReason::kGivenUp) {
          RC_ASSERT(expectations.at(drop->id).expires <= now);  // no lease ends early
        }
        expectations.erase(drop->id);
        const auto at = memory.find(drop->id);
        if (at != memory.end()) {
          const Allocation allocation = at->second;
          memory.erase(at);
          if (keep_queued) {
            queued.push_back(allocation);
          } else {
            logic.memory_freed(allocation.tenant, allocation.charge, actions);
          }
        }
        if (drop->on_disk) erasing.push_back(drop->id);
      } else {
        const ResultId id = std::get<StoreAction>(action).id;
        RC_ASSERT(logic.view(id)->storing);
        storing.push_back(id);
      }
    }
    actions.clear();
  }
  void release_queued(std::size_t n) {
    const Allocation allocation = queued[n];
    queued.erase(queued.begin() + static_cast<std::ptrdiff_t>(n));
    logic.memory_freed(allocation.tenant, allocation.charge, actions);
    carry_out();
  }
  void finish_store(bool success) {
    const ResultId id = storing.front();
    storing.erase(storing.begin());
    if (success) {
      const auto view = logic.view(id);
      logic.store_succeeded(id, view ? view->index->byte_count() + 40 : 100);
      const auto at = memory.find(id);
      if (view && at != memory.end()) {
        const Allocation allocation = at->second;
        memory.erase(at);
        logic.memory_freed(allocation.tenant, allocation.charge, actions);
      }
    } else {
      logic.store_failed(id);
    }
    carry_out();
  }
  void finish_erase() {
    // In the order of the disk's queue: never before a store of the same result is done.
    for (std::size_t i = 0; i < erasing.size(); ++i) {
      if (std::find(storing.begin(), storing.end(), erasing[i]) != storing.end()) continue;
      logic.disk_erased(erasing[i]);
      erasing.erase(erasing.begin() + static_cast<std::ptrdiff_t>(i));
      return;
    }
  }
  void expect_lease_renewed(ResultId id) {
    auto& expectation = expectations.at(id);
    expectation.expires = std::min(now + Micros{2'000'000}, expectation.give_up);
  }

  void check() const {
    Bytes sum = 0;
    std::map<std::size_t, Bytes> by_tenant;
    for (const auto& [id, allocation] : memory)
      sum += allocation.charge, by_tenant[allocation.tenant] += allocation.charge;
    for (const Allocation& allocation : queued)
      sum += allocation.charge, by_tenant[allocation.tenant] += allocation.charge;
    RC_ASSERT(logic.memory().used() == sum);
    for (const auto& [tenant, bytes] : by_tenant) RC_ASSERT(logic.memory().used(tenant) == bytes);
    RC_ASSERT(logic.memory().used() <= logic.memory().max_bytes());
    RC_ASSERT(logic.disk().used() <= logic.disk().max_bytes());
    RC_ASSERT(logic.size() == expectations.size());
    for (const auto& [id, expectation] : expectations) RC_ASSERT(logic.view(id).has_value());
  }

  Micros now{5'000'000};
  SpoolLogic logic;
  std::vector<SpoolAction> actions;
  std::map<ResultId, Allocation> memory;
  std::map<ResultId, Expectation> expectations;
  std::vector<Allocation> queued;
  std::vector<ResultId> storing, erasing;
};

ResultId random_id(const std::map<ResultId, Fixture::Expectation>& candidates) {
  auto at = candidates.begin();
  std::advance(at, *rc::gen::inRange<std::size_t>(0, candidates.size()));
  return at->first;
}

void step(Fixture& fixture, ResultId& next) {
  const int choice = *rc::gen::inRange(0, 16);
  if (choice <= 4) {  // a request, usually with its answer
    const std::size_t tenant = *rc::gen::inRange<std::size_t>(0, 2);
    const ResultId id = next++;
    const Micros give_up = fixture.now + Micros{*rc::gen::inRange(1'000, 9'000'000)};
    const std::string handle = "h" + std::to_string(id);
    if (!fixture.logic.add_request(id, tenant, handle, *rc::gen::inRange<ReaderId>(0, 4), give_up)) {
      RC_ASSERT(fixture.logic.size() >= 60);
      return;
    }
    fixture.expectations[id] = {tenant, give_up, give_up, handle, false};
    const Bytes pages = *rc::gen::inRange<Bytes>(1, 8), size = *rc::gen::inRange<Bytes>(1, 6000);
    const Bytes expected = pages * size;
    const Bytes before = fixture.logic.memory().used(tenant);
    const Placement placement = fixture.logic.begin_attempt(id, expected);
    if (expected <= kMaxResult && before + expected <= fixture.logic.memory().reserve(tenant)) {
      RC_ASSERT(placement ==
                // A tenant's reserve is available whatever the others do.
                Placement::kSpool);
    }
    if (placement == Placement::kSpool) fixture.memory[id] = {tenant, fixture.logic.charged(id)};
    bool room = placement != Placement::kRefused;
    for (Bytes page = 0; room && page < pages; ++page) {
      room = fixture.logic.add_page(id, 3, *rc::gen::inRange<Bytes>(1, 6001));
      fixture.update_charge(id);
    }
    if (*rc::gen::inRange(0, 8) == 0) {  // the engine dies
      const auto allocation = fixture.memory.find(id);
      fixture.logic.attempt_lost(id);
      if (allocation != fixture.memory.end()) {
        fixture.logic.memory_freed(allocation->second.tenant, allocation->second.charge, fixture.actions);
        fixture.memory.erase(allocation);
      }
    } else if (!room) {
      fixture.logic.end_request(id, EndReason::kSpoolFull, fixture.actions);
    } else {
      fixture.logic.complete(id, fixture.now, fixture.actions);
      fixture.update_charge(id);
      if (fixture.logic.view(id)) fixture.expectations[id].whole = true, fixture.expect_lease_renewed(id);
    }
    fixture.carry_out();
  } else if (choice <= 8 && !fixture.expectations.empty()) {  // a reader
    const ResultId id = random_id(fixture.expectations);
    const auto expectation = fixture.expectations[id];
    const ReaderId reader = *rc::gen::inRange<ReaderId>(1, 4);
    const std::size_t tenant = *rc::gen::inRange<std::size_t>(0, 2);
    const auto before = fixture.logic.view(id);
    const std::uint64_t rows = before->index->row_count();
    const std::uint64_t row = *rc::gen::inRange<std::uint64_t>(0, rows + 2);
    const Grant grant = fixture.logic.fetch_row(expectation.handle, tenant, reader, row, 9000, fixture.now);
    RC_ASSERT((grant.access == Access::kUnknown) == (tenant != expectation.tenant));
    if (grant.access == Access::kGranted) {
      fixture.expect_lease_renewed(id);
      RC_ASSERT(row < rows);
      const auto& index = *fixture.logic.view(id)->index;
      RC_ASSERT(index.first_row(grant.first_page) <= row && row < index.first_row(grant.first_page + 1));
      const std::uint64_t end = index.first_row(grant.end_page);
      fixture.logic.mark_sent(id, end);
      const bool keep_queued = *rc::gen::inRange(0, 2) == 0;
      const Grant done =
          fixture.logic.acknowledge(expectation.handle, tenant, reader, end, fixture.now, fixture.actions);
      RC_ASSERT(done.access == Access::kGranted);
      RC_ASSERT(fixture.logic.view(id).has_value() == (end < rows));
      fixture.carry_out(keep_queued);
    }
  } else if (choice == 9 && !fixture.expectations.empty()) {
    const auto expectation = fixture.expectations[random_id(fixture.expectations)];
    fixture.logic.release(expectation.handle, expectation.tenant, *rc::gen::inRange<ReaderId>(1, 4),
                          fixture.actions);
    fixture.carry_out(*rc::gen::arbitrary<bool>());
  } else if (choice == 10 && !fixture.expectations.empty()) {
    const ResultId id = random_id(fixture.expectations);
    const Grant grant = fixture.logic.resume(id, fixture.expectations[id].tenant,
                                             *rc::gen::inRange<ReaderId>(1, 4), fixture.now);
    if (grant.access == Access::kGranted) fixture.expect_lease_renewed(id);
  } else if (choice == 11) {
    fixture.logic.reader_disconnected(*rc::gen::inRange<ReaderId>(1, 4));
  } else if (choice == 12 && !fixture.queued.empty()) {
    fixture.release_queued(*rc::gen::inRange<std::size_t>(0, fixture.queued.size()));
  } else if (choice == 13 && !fixture.storing.empty()) {
    fixture.finish_store(*rc::gen::inRange(0, 4) > 0);
  } else if (choice == 14) {
    fixture.finish_erase();
  } else {
    fixture.now += Micros{*rc::gen::inRange(0, 1'500'000)};
    fixture.logic.expire_leases(fixture.now, fixture.actions);
    fixture.carry_out(*rc::gen::arbitrary<bool>());
    for (const auto& [id, expectation] : fixture.expectations)
      RC_ASSERT(expectation.expires + Micros{1000} > fixture.now);
  }
}

}  // namespace

TEST_CASE("spool: budgets, leases, shares and charges hold over random event sequences") {
  rc::prop("with and without a disk", [](bool disk) {
    Fixture fixture(disk);
    ResultId next = 1;
    const int steps = *rc::gen::inRange(0, 300);
    for (int i = 0; i < steps; ++i) {
      step(fixture, next);
      fixture.check();
    }
    // All charges have to return to exactly zero.
    while (!fixture.queued.empty()) fixture.release_queued(0);
    fixture.now += Micros{20'000'000};
    fixture.logic.expire_leases(fixture.now, fixture.actions);
    fixture.carry_out();
    while (!fixture.storing.empty()) fixture.finish_store(true);
    while (!fixture.erasing.empty()) fixture.finish_erase();
    RC_ASSERT(fixture.logic.size() == 0u);
    RC_ASSERT(fixture.logic.memory().used() == 0u);
    RC_ASSERT(fixture.logic.disk().used() == 0u);
  });
}

TEST_CASE("spool: the page index finds the same page as a linear search") {
  rc::prop("random pages", [] {
    const auto pages = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200));
    PageIndex index;
    std::vector<std::size_t> model;  // row -> page
    std::uint64_t bytes = 0;
    for (std::size_t page = 0; page < pages.size(); ++page) {
      const auto rows = static_cast<std::uint64_t>(pages[page]);
      index.append(rows, 10 * rows);
      bytes += 10 * rows;
      model.insert(model.end(), rows, page);
    }
    RC_ASSERT(index.row_count() == model.size());
    RC_ASSERT(index.byte_count() == bytes);
    for (std::size_t row = 0; row < model.size(); ++row) RC_ASSERT(index.page_of(row) == model[row]);
    RC_ASSERT(index.page_of(model.size()) == index.page_count());
    if (pages.empty()) return;
    const auto from = *rc::gen::inRange<std::size_t>(0, pages.size());
    const auto window = *rc::gen::inRange<std::uint64_t>(0, 20'000);
    std::size_t end = from + 1;
    while (end < pages.size() && index.bytes_before(end + 1) - index.bytes_before(from) <= window) ++end;
    RC_ASSERT(index.window_end(from, window) == end);
    // Whatever row of the page a window begins with, its bytes lie in these pages.
    const std::size_t until = index.row_window_end(from, window);
    RC_ASSERT(from < until && until <= pages.size());
    RC_ASSERT(until == pages.size() || index.bytes_before(until) - index.bytes_before(from + 1) >= window);
    RC_ASSERT(until == from + 1 || index.bytes_before(until - 1) - index.bytes_before(from + 1) < window);
  });
}

// Guards against slow readers of one tenant filling the spool for all tenants.
TEST_CASE("spool: one tenant's unread results do not use the other's reserve") {
  Fixture fixture(false);
  for (ResultId id = 1; id <= 50; ++id) {
    fixture.logic.add_request(id, 0, "a" + std::to_string(id), kNoReader, Micros{99'000'000});
    if (fixture.logic.begin_attempt(id, 6000) != Placement::kSpool) break;
    fixture.logic.add_page(id, 10, 6000);
    fixture.logic.complete(id, fixture.now, fixture.actions);
  }
  CHECK(fixture.logic.memory().used(0) > fixture.logic.memory().reserve(0));
  Bytes got = 0;
  for (ResultId id = 101; id <= 150; ++id) {
    fixture.logic.add_request(id, 1, "b" + std::to_string(id), kNoReader, Micros{99'000'000});
    if (fixture.logic.begin_attempt(id, 2000) != Placement::kSpool) break;
    got += 2000;
  }
  CHECK(got >= fixture.logic.memory().reserve(1));
  CHECK(fixture.logic.memory().used() <= fixture.logic.memory().max_bytes());
}

// Guards against a result moving to disk and back around a single threshold.
TEST_CASE("spool: above the high watermark the oldest results of the heaviest tenant are evicted") {
  Fixture fixture(true);
  const auto add_result = [&](ResultId id, std::size_t tenant) {
    REQUIRE(fixture.logic.add_request(id, tenant, "h" + std::to_string(id), kNoReader, Micros{99'000'000}));
    if (fixture.logic.begin_attempt(id, 5000) != Placement::kSpool) return false;
    fixture.logic.add_page(id, 10, 5000);
    fixture.logic.complete(id, fixture.now, fixture.actions);
    fixture.memory[id] = {tenant, 5000};
    fixture.expectations[id] = {};
    return true;
  };
  ResultId id = 1;
  for (; fixture.logic.memory().used() + 5000 <= fixture.logic.memory().high_watermark(); ++id)
    REQUIRE(add_result(id, id % 4 == 0 ? 1 : 0));
  CHECK(fixture.actions.empty());
  REQUIRE(add_result(id, 0));
  REQUIRE(!fixture.actions.empty());
  CHECK(std::get<StoreAction>(fixture.actions.front()).id == 1);
  const auto stored_count = fixture.actions.size();
  // Evicts down to the low watermark at once, and no further.
  CHECK(fixture.logic.memory().used() - stored_count * 5000 <= fixture.logic.memory().low_watermark());
  CHECK(fixture.logic.memory().used() - (stored_count - 1) * 5000 > fixture.logic.memory().low_watermark());
  fixture.carry_out();
  while (!fixture.storing.empty()) fixture.finish_store(true);
  CHECK_FALSE(fixture.logic.memory().under_pressure());
  CHECK(fixture.actions.empty());
}

TEST_CASE("spool: a budget lowered below its use accepts nothing and evicts nothing") {
  Fixture fixture(false);
  for (ResultId id = 1; id <= 10; ++id) {
    fixture.logic.add_request(id, 0, "h" + std::to_string(id), kNoReader, Micros{99'000'000});
    REQUIRE(fixture.logic.begin_attempt(id, 6000) == Placement::kSpool);
    fixture.logic.add_page(id, 10, 6000);
    fixture.logic.complete(id, fixture.now, fixture.actions);
  }
  LogicSettings lower = small_settings(false);
  lower.memory.max_bytes = 20'000;
  fixture.logic.reconfigure(lower, {0.6, 0.4}, fixture.actions);
  CHECK(fixture.actions.empty());
  CHECK(fixture.logic.size() == 10);
  for (std::size_t tenant = 0; tenant < 2; ++tenant) {
    fixture.logic.add_request(50 + tenant, tenant, "n" + std::to_string(tenant), kNoReader,
                              Micros{99'000'000});
    CHECK(fixture.logic.begin_attempt(50 + tenant, 100) == Placement::kDirect);
  }
  for (ResultId id = 1; id <= 10; ++id) {
    fixture.logic.end_request(id, EndReason::kReleased, fixture.actions);
    fixture.logic.memory_freed(0, 6000, fixture.actions);
  }
  fixture.logic.add_request(60, 1, "later", kNoReader, Micros{99'000'000});
  CHECK(fixture.logic.begin_attempt(60, 100) == Placement::kSpool);
}

TEST_CASE("spool: access checks reveal nothing about other tenants' results") {
  Fixture fixture(false);
  constexpr ReaderId kFirst = 7, kSecond = 8;
  REQUIRE(fixture.logic.add_request(1, 0, "handle", kFirst, Micros{99'000'000}));
  CHECK(fixture.logic.fetch_row("handle", 0, kFirst, 0, 1000, fixture.now).access == Access::kIncomplete);
  fixture.logic.begin_attempt(1, 100);
  fixture.logic.add_page(1, 10, 100);
  fixture.logic.complete(1, fixture.now, fixture.actions);
  CHECK(fixture.logic.fetch_row("handle", 0, kFirst, 0, 1000, fixture.now).access == Access::kGranted);
  CHECK(fixture.logic.fetch_row("handle", 0, kSecond, 0, 1000, fixture.now).access == Access::kOtherReader);
  CHECK(fixture.logic.fetch_row("handle", 1, kFirst, 0, 1000, fixture.now).access == Access::kUnknown);
  CHECK(fixture.logic.fetch_row("forged", 0, kFirst, 0, 1000, fixture.now).access == Access::kUnknown);
  CHECK(fixture.logic.fetch_row("handle", 0, kFirst, 10, 1000, fixture.now).access == Access::kOutOfRange);
  CHECK(fixture.logic.fetch_page("handle", 0, kFirst, 1, 1000, fixture.now).access == Access::kOutOfRange);
  CHECK(fixture.logic.resume(1, 1, kSecond, fixture.now).access == Access::kUnknown);
  // Rows that were never sent cannot be acknowledged.
  CHECK(fixture.logic.acknowledge("handle", 0, kFirst, 10, fixture.now, fixture.actions).access ==
        Access::kOutOfRange);
  // A resume takes the result over from a connection that may be dead without anyone having noticed.
  CHECK(fixture.logic.resume(1, 0, kSecond, fixture.now).access == Access::kGranted);
  CHECK(fixture.logic.fetch_row("handle", 0, kFirst, 0, 1000, fixture.now).access == Access::kOtherReader);
  fixture.logic.reader_disconnected(kSecond);
  CHECK(fixture.logic.fetch_row("handle", 0, kFirst, 0, 1000, fixture.now).access == Access::kGranted);
  CHECK(fixture.logic.mark_sent(1, 10));
  CHECK_FALSE(fixture.logic.mark_sent(1, 10));  // counts as served only once
  CHECK(fixture.logic.acknowledge("handle", 0, kFirst, 10, fixture.now, fixture.actions).access ==
        Access::kGranted);
  const Grant after = fixture.logic.fetch_row("handle", 0, kFirst, 0, 1000, fixture.now);
  CHECK(after.access == Access::kEnded);
  CHECK(after.end_reason == EndReason::kAcknowledged);
  CHECK(fixture.logic.fetch_row("handle", 1, kFirst, 0, 1000, fixture.now).access == Access::kUnknown);
}

TEST_CASE("spool: the memory of ended results is bounded") {
  Fixture fixture(false);
  for (ResultId id = 1; id <= 40; ++id) {
    REQUIRE(fixture.logic.add_request(id, 0, "h" + std::to_string(id), kNoReader, Micros{99'000'000}));
    fixture.logic.end_request(id, EndReason::kFailed, fixture.actions);
  }
  CHECK_FALSE(fixture.logic.end_reason_of(24));
  CHECK(fixture.logic.end_reason_of(25) == EndReason::kFailed);
  CHECK(fixture.logic.fetch_row("h24", 0, 1, 0, 10, fixture.now).access == Access::kUnknown);
  CHECK(fixture.logic.fetch_row("h25", 0, 1, 0, 10, fixture.now).access == Access::kEnded);
}

// Guards against transitions other than those described in state.h.
TEST_CASE("spool: only the documented state transitions are valid") {
  const State all[] = {State::kRunning, State::kFilling, State::kReady, State::kRead, State::kEnded};
  const std::set<std::pair<State, State>> allowed = {
      {State::kRunning, State::kFilling}, {State::kFilling, State::kRunning},
      {State::kFilling, State::kReady},   {State::kReady, State::kRead},
      {State::kRunning, State::kEnded},   {State::kFilling, State::kEnded},
      {State::kReady, State::kEnded},     {State::kRead, State::kEnded}};
  for (const State from : all) {
    for (const State to : all) CHECK(is_valid_transition(from, to) == allowed.contains({from, to}));
  }
}
