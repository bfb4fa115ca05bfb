// Tests of the edge's logic: channel, admission gate, ledger and sessions, with models and simulation.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <deque>
#include <set>

#include "edge/logic/edge_logic.h"
#include "edge/logic/poll_links.h"
#include "standins/edge_sim.h"

namespace {

using namespace steprail::edge;
using steprail::standin::SimOptions;
using steprail::standin::SimResult;
using steprail::standin::simulate;

std::string describe(const SimResult& result) {
  std::string all;
  for (const std::string& violation : result.violations) all += violation + '\n';
  return all;
}

// The first seed for which the checker reports a violation, or 0 if there is none among `seeds`.
std::uint64_t first_detected_seed(SimOptions options, std::uint64_t seeds) {
  for (options.seed = 1; options.seed <= seeds; ++options.seed) {
    if (!simulate(options).violations.empty()) return options.seed;
  }
  return 0;
}

}  // namespace

TEST_CASE(
    "edge: a channel delivers each message once and in order across disconnects and sequence number wrap") {
  rc::prop("random disconnects, losses and duplicates", [] {
    const auto first = *rc::gen::element<Seq>(1u, 0u, 0xfffffff0u, 0x7ffffff5u);
    Channel<int> a(first), b(first);
    std::deque<std::pair<Seq, int>> wire;
    std::vector<int> got;
    int pushed = 0;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8))) {
      if (step < 3) {
        a.push(pushed++);
      } else if (step < 5) {
        if (int* body = a.peek()) {
          wire.emplace_back(a.cursor(), *body);
          a.advance_cursor();
        }
      } else if (step < 7) {
        if (wire.empty()) continue;
        const auto [seq, body] = wire.front();
        wire.pop_front();
        const Receipt receipt = b.receive(seq);
        RC_ASSERT(receipt != Receipt::kGap);
        if (receipt == Receipt::kNew) got.push_back(body);
        if (*rc::gen::arbitrary<bool>()) RC_ASSERT(a.acknowledge(b.next_expected()) != AckResult::kInvalid);
      } else {
        wire.clear();  // the link fails, and everything on it is lost
        RC_ASSERT(a.resume(b.next_expected()) != AckResult::kInvalid);
      }
      RC_ASSERT(a.acknowledge(a.next() + 1) == AckResult::kInvalid);
      RC_ASSERT(a.unacknowledged() <= static_cast<std::size_t>(pushed));
    }
    a.resume(b.next_expected());
    while (int* body = a.peek()) {
      if (b.receive(a.cursor()) == Receipt::kNew) got.push_back(*body);
      a.advance_cursor();
    }
    RC_ASSERT(got.size() == static_cast<std::size_t>(pushed));
    for (int i = 0; i < pushed; ++i) RC_ASSERT(got[static_cast<std::size_t>(i)] == i);
    a.acknowledge(b.next_expected());
    RC_ASSERT(a.unacknowledged() == 0u);
    RC_ASSERT(a.acknowledge(first) != AckResult::kInvalid);  // a stale acknowledgement is valid
  });
}

TEST_CASE("edge: long-poll links are evicted in order, and never while a poll waits") {
  rc::prop("compared with a list", [] {
    struct ModelLink {
      std::string name;
      std::int64_t last_heard_at{};
      bool polling{}, closed{};
    };
    std::vector<ModelLink> model;
    PollLinks links;
    std::int64_t now = 0;
    int last = 0;
    const auto max_links = *rc::gen::inRange<std::size_t>(1, 6);
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 600))) {
      ++now;
      const auto at =
          model.empty() ? model.end() : model.begin() + (step / 6) % static_cast<int>(model.size());
      switch (step % 6) {
        case 0:
        case 1: {
          // Closed links are evicted first, then those heard from longest ago; never one with a waiting poll.
          auto order = model;
          std::erase_if(order, [](const ModelLink& p) { return p.polling; });
          std::stable_sort(order.begin(), order.end(), [](const ModelLink& a, const ModelLink& b) {
            return std::pair(!a.closed, a.last_heard_at) < std::pair(!b.closed, b.last_heard_at);
          });
          const std::size_t needed = model.size() < max_links ? 0 : model.size() + 1 - max_links;
          const auto plan = links.plan_eviction(max_links);
          RC_ASSERT(plan.has_room == (needed <= order.size()));
          RC_ASSERT(plan.evicted.size() == (plan.has_room ? needed : 0));
          for (std::size_t i = 0; i < plan.evicted.size(); ++i) {
            RC_ASSERT(plan.evicted[i] == order[i].name);
            links.erase(order[i].name);
            std::erase_if(model, [&](const ModelLink& p) { return p.name == order[i].name; });
          }
          if (!plan.has_room) break;
          model.push_back({"link" + std::to_string(++last), now, false, false});
          links.open(model.back().name, Micros{now});
          break;
        }
        case 2:
          if (at == model.end()) break;
          at->last_heard_at = now;
          links.touch(at->name, Micros{now});
          break;
        case 3:
          if (at == model.end()) break;
          at->polling = !at->polling;
          links.set_polling(at->name, at->polling);
          break;
        case 4:
          if (at == model.end()) break;
          at->closed = true;
          links.mark_closed(at->name);
          break;
        default: {
          const auto silent = links.silent_longer_than(Micros{now}, Micros{20});
          RC_ASSERT(silent.size() == static_cast<std::size_t>(std::count_if(
                                         model.begin(), model.end(),
                                         [&](const ModelLink& p) { return now - p.last_heard_at > 20; })));
          for (const std::string& name : silent) {
            links.erase(name);
            std::erase_if(model, [&](const ModelLink& p) { return p.name == name; });
          }
        }
      }
      RC_ASSERT(links.size() == model.size());
      RC_ASSERT(links.size() <= max_links);
    }
  });
}

TEST_CASE(
    "edge: the admission gate admits at its rate, earliest deadlines first, and spreads out the retries") {
  AdmissionGate gate({100, 10, 500, Micros{2'000'000}}, 7);
  std::vector<AdmissionGate::Deferred> deferred;
  std::vector<std::uint64_t> admitted;
  for (std::uint64_t id = 1; id <= 10'000; ++id)
    gate.enqueue(id, Micros{static_cast<std::int64_t>((id * 7919) % 10'000) * 1000}, Micros{0}, deferred);
  CHECK(gate.waiting_count() == 500);
  CHECK(deferred.size() == 9500);
  std::set<std::int64_t> times;
  for (const auto& device : deferred) {
    CHECK(device.retry_after > Micros{0});
    times.insert(device.retry_after.count() / 10'000);
  }
  CHECK(times.size() > 100);  // the retries are spread out
  for (std::int64_t now = 0; now <= 1'000'000; now += 10'000) gate.admit(Micros{now}, admitted, deferred);
  CHECK(admitted.size() >= 100);
  CHECK(admitted.size() <= 112);
  for (std::size_t i = 1; i < admitted.size(); ++i)
    CHECK((admitted[i - 1] * 7919) % 10'000 < (admitted[i] * 7919) % 10'000);
  for (std::int64_t now = 1'000'000; now <= 4'000'000; now += 10'000)
    gate.admit(Micros{now}, admitted, deferred);
  CHECK(gate.waiting_count() == 0);
  CHECK(admitted.size() + deferred.size() == 10'000);
}

TEST_CASE("edge: the failure detector's phi grows with silence, slowly on links that are often silent") {
  FailureDetector steady(Micros{1'000'000}), rare(Micros{1'000'000});
  Micros now{0};
  for (int i = 0; i < 200; ++i) steady.on_heard(now += Micros{1'000'000});
  const Micros steady_last = now;
  now = Micros{0};
  for (int i = 0; i < 200; ++i) rare.on_heard(now += Micros{i % 2 == 0 ? 500'000 : 9'500'000});
  CHECK(steady.phi(steady_last) < 1);
  CHECK(steady.phi(steady_last + Micros{3'000'000}) > 8);
  CHECK(rare.phi(now + Micros{3'000'000}) < 1);
  CHECK(rare.phi(now + Micros{60'000'000}) > 8);
  double last = 0;
  for (int ms = 0; ms < 10'000; ms += 10) {
    const double phi = steady.phi(steady_last + Micros{ms * 1000});
    CHECK(phi >= last);
    last = phi;
  }
  const Micros until = steady.suspected_at(8, steady_last);
  CHECK(steady.phi(until) >= 8);
  CHECK(steady.phi(until - Micros{20'000}) < 8);
}

TEST_CASE("edge: the round-trip estimate follows RFC 6298 and backs off") {
  RttEstimator rtt;
  CHECK(rtt.timeout() == Micros{1'000'000});
  rtt.add_sample(Micros{400'000});
  CHECK(rtt.smoothed() == Micros{400'000});
  CHECK(rtt.timeout() == Micros{1'200'000});  // SRTT + 4 * SRTT / 2
  rtt.add_sample(Micros{400'000});
  CHECK(rtt.timeout() == Micros{1'000'000});  // RTTVAR falls by a quarter
  rtt.on_timeout();
  CHECK(rtt.timeout() == Micros{2'000'000});
  rtt.add_sample(Micros{400'000});
  CHECK(rtt.timeout() < Micros{1'000'000});
}

TEST_CASE("edge: a token verifies only with its secret, and not if any of it is changed") {
  TokenSigner::Secret secret{};
  secret[5] = 9;
  const TokenSigner signer(secret);
  const Token token{"one", 42, 99, 1, "tablet"};
  const std::string text = signer.sign(token);
  CHECK(signer.verify(text) == token);
  secret[5] = 8;
  CHECK_FALSE(TokenSigner(secret).verify(text));
  for (std::size_t at = 0; at < text.size(); ++at) {
    std::string other = text;
    other[at] = other[at] == 'A' ? 'B' : 'A';
    const auto verified = signer.verify(other);
    // The last base64 digit has unused bits, so a change there may go unnoticed.
    if (at + 1 < text.size()) CHECK_FALSE(verified);
    CHECK_FALSE(signer.verify(text.substr(0, at)));
  }
}

namespace {

// A ledger whose disk may fail and whose process may restart.
struct LedgerFixture {
  explicit LedgerFixture(bool durable) {
    settings.durable = durable;
    settings.retention = Micros{10'000'000};
    start_process();
  }
  void start_process() {
    incarnations.push_back(incarnations.size() + 1);
    ledger = std::make_unique<LedgerLogic>(
        settings, settings.durable ? incarnations : std::vector<std::uint64_t>{incarnations.back()}, now,
        now.count());
    std::vector<LedgerRecord> out;
    for (const auto& [_, record] : disk) ledger->recover(record, out);
    for (const LedgerRecord& record : out) store(record);
  }
  void store(const LedgerRecord& record) {
    const std::string key =
        std::to_string(record.watermark) + "/" + std::to_string(record.watermark ? 0 : record.key.number);
    if (record.erase) {
      disk.erase(key);
    } else {
      disk[key] = record;
    }
  }
  LedgerSettings settings;
  Micros now{1'000'000};
  std::vector<std::uint64_t> incarnations;
  std::map<std::string, LedgerRecord> disk;
  std::unique_ptr<LedgerLogic> ledger;
};

}  // namespace

TEST_CASE("edge: the ledger never lets a load run twice, and never changes a reported outcome") {
  rc::prop("random crashes and disk failures", [](bool durable) {
    LedgerFixture fixture(durable);
    std::map<std::uint64_t, int> runs;
    std::map<std::uint64_t, Outcome> reported;
    std::map<std::uint64_t, std::uint64_t> first_incarnations;
    std::uint64_t request = 0;
    for (int i = *rc::gen::inRange(0, 150); i > 0; --i) {
      const auto number = *rc::gen::inRange<std::uint64_t>(1, 6);
      const RequestKey key{0, "d", number};
      const int choice = *rc::gen::inRange(0, 10);
      if (choice < 7) {
        const auto first_incarnation =
            first_incarnations.try_emplace(number, fixture.incarnations.back()).first->second;
        Outcome outcome;
        const auto answer = fixture.ledger->lookup(key, number * 11, true, first_incarnation, outcome);
        if (answer == LedgerLogic::Lookup::kOutcome) {
          // An unrecorded request is refused only while this process lives; the next does not know it.
          if (outcome.status == Outcome::Status::kRefused) continue;
          if (reported.contains(number) && reported[number].status != Outcome::Status::kUnknown && durable)
            RC_ASSERT(outcome.status == reported[number].status ||
                      outcome.status == Outcome::Status::kUnknown);
          if (reported.contains(number) && reported[number].status == Outcome::Status::kUnknown)
            RC_ASSERT(outcome.status == Outcome::Status::kUnknown);  // unknown is final
          if (durable && reported.contains(number)) RC_ASSERT(outcome == reported[number]);
          reported[number] = outcome;
          continue;
        }
        if (answer != LedgerLogic::Lookup::kRun) continue;
        std::vector<LedgerRecord> out;
        const bool must_record_first = fixture.ledger->add_entry(key, number * 11, true, ++request, out);
        RC_ASSERT(must_record_first == durable);
        if (must_record_first) {
          const int record_fault = *rc::gen::inRange(0, 6);
          if (record_fault == 0) {  // the process dies before the record is durable
            fixture.start_process();
            continue;
          }
          if (record_fault == 1) {  // the disk is full
            const Outcome refused{Outcome::Status::kRefused, true, Micros{0}, 0, 0, 0};
            fixture.ledger->refuse_unrecorded(key, refused);
            Outcome again;
            RC_ASSERT(fixture.ledger->lookup(key, number * 11, true, first_incarnation, again) ==
                      LedgerLogic::Lookup::kOutcome);
            RC_ASSERT(again == refused);
            RC_ASSERT(!fixture.ledger->mark_dispatched(key));
            continue;
          }
          fixture.store(out.at(0));
          if (record_fault == 2) {  // the process dies just after
            fixture.start_process();
            continue;
          }
          RC_ASSERT(fixture.ledger->mark_dispatched(key));
        }
        ++runs[number];
        RC_ASSERT(runs[number] <= 1);
        if (*rc::gen::inRange(0, 4) == 0) {  // the process dies while the load runs
          fixture.start_process();
          continue;
        }
        out.clear();
        Outcome served{Outcome::Status::kServed, false, Micros{0}, request, 7, 70};
        if (fixture.ledger->set_outcome(key, served, out)) {
          const int answer_fault = *rc::gen::inRange(0, 4);
          if (answer_fault == 0) {  // the process dies between the answer and its record
            fixture.start_process();
            continue;
          }
          const bool good = answer_fault > 1;
          if (good) fixture.store(out.at(0));
          reported[number] = *fixture.ledger->finalize_outcome(key, good);
        } else {
          reported[number] = *fixture.ledger->finalize_outcome(key, true);
        }
      } else if (choice == 7) {
        fixture.start_process();
      } else {
        fixture.now += Micros{*rc::gen::inRange(0, 6'000'000)};
        std::vector<LedgerRecord> out;
        fixture.ledger->advance(fixture.now, fixture.now.count(), out);
        for (const LedgerRecord& record : out) fixture.store(record);
        // An expired entry is too old, and with a disk remains so across restarts.
        for (auto at = reported.begin(); at != reported.end();) {
          at = fixture.ledger->state_of({0, "d", at->first}) ? std::next(at) : reported.erase(at);
        }
      }
    }
  });
}

TEST_CASE("edge: the ledger tells a key reused for another statement and an expired key apart") {
  LedgerFixture fixture(true);
  const RequestKey key{0, "d", 5};
  Outcome outcome;
  std::vector<LedgerRecord> out;
  REQUIRE(fixture.ledger->lookup(key, 1, true, 1, outcome) == LedgerLogic::Lookup::kRun);
  fixture.ledger->add_entry(key, 1, true, 9, out);
  CHECK(fixture.ledger->lookup(key, 2, true, 1, outcome) == LedgerLogic::Lookup::kOtherStatement);
  CHECK(fixture.ledger->lookup(key, 1, true, 1, outcome) == LedgerLogic::Lookup::kInProgress);
  fixture.store(out.at(0));
  fixture.ledger->mark_dispatched(key);
  out.clear();
  fixture.ledger->set_outcome(key, {Outcome::Status::kServed, false, Micros{0}, 9, 0, 0}, out);
  fixture.store(out.at(0));
  fixture.ledger->finalize_outcome(key, true);
  CHECK(fixture.ledger->lookup(key, 1, true, 1, outcome) == LedgerLogic::Lookup::kOutcome);
  fixture.now += Micros{11'000'000};
  out.clear();
  fixture.ledger->advance(fixture.now, fixture.now.count(), out);
  for (const LedgerRecord& record : out) fixture.store(record);
  CHECK(fixture.ledger->size() == 0);
  CHECK(fixture.ledger->lookup(key, 1, true, 1, outcome) == LedgerLogic::Lookup::kTooOld);
  CHECK(fixture.ledger->lookup({0, "d", 4}, 1, true, 1, outcome) == LedgerLogic::Lookup::kTooOld);
  CHECK(fixture.ledger->lookup({0, "d", 6}, 1, true, 1, outcome) == LedgerLogic::Lookup::kRun);
  fixture.start_process();
  CHECK(fixture.ledger->lookup(key, 1, true, 1, outcome) == LedgerLogic::Lookup::kTooOld);
}

TEST_CASE("edge: simulated devices on bad links, with crashes and disk failures, over many seeds") {
  std::uint64_t requests = 0, unknown = 0, crashes = 0, cuts = 0, resumes = 0, loads = 0;
  for (std::uint64_t seed = 1; seed <= STEPRAIL_SEEDS; ++seed) {
    SimOptions options;
    options.seed = seed;
    options.durable = seed % 4 != 0;
    const SimResult result = simulate(options);
    INFO("steprail_lab edge-sim --seed " << seed << (options.durable ? "" : " --memory") << '\n'
                                         << describe(result));
    REQUIRE(result.violations.empty());
    REQUIRE(result.answers == result.requests);
    requests += result.requests, unknown += result.unknown_outcomes, crashes += result.crashes,
        cuts += result.link_failures;
    resumes += result.resumes, loads += result.loads;
  }
  // The rare paths were exercised.
  CHECK(crashes > STEPRAIL_SEEDS);
  CHECK(cuts > 10 * STEPRAIL_SEEDS);
  CHECK(resumes > STEPRAIL_SEEDS);
  CHECK(unknown > 0);
  CHECK(unknown < loads / 4);
}

TEST_CASE("edge: a seed determines the history") {
  SimOptions options;
  options.seed = 77;
  const auto a = simulate(options), b = simulate(options);
  CHECK(a.digest == b.digest);
  options.seed = 78;
  CHECK(simulate(options).digest != a.digest);
}

TEST_CASE("edge: the checker detects the deliberately broken variants") {
  SimOptions options;
  options.record_after_dispatch = true;
  const auto recorded_late = first_detected_seed(options, 400);
  options = {};
  options.trust_acknowledgements = true;
  const auto acks_trusted = first_detected_seed(options, 400);
  options = {};
  options.durable = false;
  options.ignore_incarnation = true;
  const auto incarnation_ignored = first_detected_seed(options, 400);
  WARN("detected at seed: record after dispatch " << recorded_late << ", acknowledgements trusted "
                                                  << acks_trusted << ", incarnation ignored "
                                                  << incarnation_ignored);
  CHECK(recorded_late > 0);
  CHECK(acks_trusted > 0);
  CHECK(incarnation_ignored > 0);
}

// Guards against a message that is sent again with fewer rows: the next message would begin behind those that
// were there first, and the device would never know.
TEST_CASE("edge: rows that come back different for a resend end the answer openly, and never silently") {
  EdgeSettings settings;
  settings.at_most_once = {{"report", false}};
  settings.admission.rate_per_second = settings.admission.burst = 1e6;
  EdgeLogic logic(settings, TokenSigner({}), {1}, 7, Micros{0}, 0);
  std::vector<EdgeAction> actions;
  constexpr ConnId kConn = 1;
  constexpr std::uint64_t kRow = 100, kRows = 480, kFirstRows = 40;
  const auto last_of = [&]<typename Action>(Action none) {
    for (const EdgeAction& action : actions)
      if (const auto* one = std::get_if<Action>(&action)) none = *one;
    return none;
  };
  // Answers the fetch that is under way with so many rows.
  const auto give_rows = [&](std::uint64_t count) {
    const FetchRows fetch = last_of(FetchRows{});
    REQUIRE(fetch.request != 0);
    actions.clear();
    logic.on_rows({fetch.session, fetch.request, fetch.first_row, count,
                   std::make_shared<const std::string>(count * kRow, 'r'), fetch.first_row + count == kRows},
                  Micros{0}, actions);
  };
  logic.on_open(kConn, Micros{0});
  Frame hello;
  hello.type = Frame::Type::kHello;
  hello.device = "tablet";
  logic.on_frame(kConn, hello, Micros{0}, actions);
  Frame ask;
  ask.type = Frame::Type::kMessage;
  ask.seq = ask.next_expected = 1;
  ask.body.kind = Body::Kind::kRequest;
  ask.body.key = ask.body.first_incarnation = 1;
  ask.body.verb = "report";
  ask.body.statement = "select 1";
  logic.on_frame(kConn, ask, Micros{0}, actions);
  const RequestId request = last_of(SubmitRequest{}).request;
  logic.on_outcome(request, {Outcome::Status::kServed, false, Micros{0}, request, kRows, kRows * kRow},
                   Micros{0}, actions);
  give_rows(kFirstRows);
  const Frame first = last_of(SendFrame{}).frame;
  REQUIRE(first.body.row_count == kFirstRows);
  // The response with these rows is lost, while the next rows are being fetched.
  const auto poll_again = [&] {
    logic.on_poll(kConn, first.seq, Micros{0}, actions);
    give_rows(kFirstRows);
  };
  poll_again();
  CHECK(last_of(FetchRows{}).first_row == first.body.first_row);
  CHECK(last_of(FetchRows{}).page_bytes == kFirstRows * kRow);
  give_rows(kFirstRows);
  CHECK(last_of(SendFrame{}).frame.body.row_count == kFirstRows);
  CHECK(last_of(SendFrame{}).frame.body.code.empty());
  poll_again();
  give_rows(kFirstRows / 2);
  CHECK(last_of(SendFrame{}).frame.seq == first.seq);
  CHECK(last_of(SendFrame{}).frame.body.code == "rows-gone");
  CHECK(last_of(SendFrame{}).frame.body.last);
}

// Guards against unbounded buffering of rows for devices that do not read them.
TEST_CASE(
    "edge: a thousand slow devices with 10 MB of rows each stay within the memory limit, and all progress") {
  EdgeSettings settings;
  settings.at_most_once = {{"report", false}};
  settings.admission.rate_per_second = settings.admission.burst = 1e6;
  settings.memory.max_bytes = 8u << 20;
  settings.window = 64 << 10;
  settings.max_page_bytes = 32 << 10;
  EdgeLogic logic(settings, TokenSigner({}), {1}, 7, Micros{0}, 0);
  std::vector<EdgeAction> actions;
  std::map<ConnId, Seq> have;
  std::map<ConnId, std::uint64_t> got;
  Micros now{0};
  constexpr ConnId kDevices = 1000;
  constexpr std::uint64_t kRow = 100, kRows = 100'000;
  std::uint64_t peak = 0;
  const auto carry_out = [&] {
    for (std::size_t i = 0; i < actions.size(); ++i) {
      const EdgeAction action = actions[i];
      if (const auto* submit = std::get_if<SubmitRequest>(&action)) {
        logic.on_outcome(submit->request,
                         {Outcome::Status::kServed, false, Micros{0}, submit->request, kRows, kRows * kRow},
                         now, actions);
      } else if (const auto* fetch = std::get_if<FetchRows>(&action)) {
        const std::uint64_t count = std::min<std::uint64_t>(
            std::max<std::uint64_t>(1, fetch->page_bytes / kRow), kRows - fetch->first_row);
        logic.on_rows(
            {fetch->session, fetch->request, fetch->first_row, count,
             std::make_shared<const std::string>(count * kRow, 'r'), fetch->first_row + count == kRows},
            now, actions);
      } else if (const auto* sent = std::get_if<SendFrame>(&action)) {
        if (sent->frame.type == Frame::Type::kMessage) {
          have[sent->conn] = sent->frame.seq + 1;
          got[sent->conn] += sent->frame.body.row_count;
        }
      }
      peak = std::max(peak, logic.memory().used());
    }
    actions.clear();
  };
  for (ConnId conn = 1; conn <= kDevices; ++conn) {
    logic.on_open(conn, now);
    Frame hello;
    hello.type = Frame::Type::kHello;
    hello.device = "d" + std::to_string(conn);
    logic.on_frame(conn, hello, now, actions);
    Frame ask;
    ask.type = Frame::Type::kMessage;
    ask.seq = ask.next_expected = 1;
    ask.body.kind = Body::Kind::kRequest;
    ask.body.key = 1;
    ask.body.first_incarnation = 1;
    ask.body.verb = "report";
    ask.body.statement = "select 1";
    logic.on_frame(conn, ask, now, actions);
    carry_out();
  }
  CHECK(peak <= settings.memory.max_bytes + settings.max_page_bytes);
  CHECK(logic.memory().used() > settings.memory.max_bytes / 2);
  // The devices acknowledge what they have, step by step: each of them gets its share of the budget.
  for (int round = 0; round < 400; ++round) {
    now += Micros{50'000};
    for (ConnId conn = 1; conn <= kDevices; ++conn) {
      if (!have.contains(conn)) continue;
      Frame ack;
      ack.type = Frame::Type::kAck;
      ack.next_expected = have[conn];
      logic.on_frame(conn, ack, now, actions);
      carry_out();
    }
  }
  CHECK(peak <= settings.memory.max_bytes + settings.max_page_bytes);
  std::uint64_t min_rows = kRows;
  for (ConnId conn = 1; conn <= kDevices; ++conn) min_rows = std::min(min_rows, got[conn]);
  CHECK(min_rows > 0);
  for (ConnId conn = 1; conn <= kDevices; ++conn) logic.on_close(conn, now, actions);
  actions.clear();
  CHECK(logic.memory().used() == 0);
}

// Guards against a use after free: expiring a device's only session erases the device's list of sessions,
// which the caller was still reading (visible to sanitizers).
TEST_CASE("edge: with a limit of one session per device, each new session replaces the one before") {
  EdgeSettings settings;
  settings.max_sessions_per_device = 1;
  EdgeLogic logic(settings, TokenSigner({}), {1}, 7, Micros{0}, 0);
  std::vector<EdgeAction> actions;
  for (ConnId conn = 1; conn <= 50; ++conn) {
    Frame hello;
    hello.type = Frame::Type::kHello;
    hello.device = "a tablet whose name is not a short one";
    logic.on_open(conn, Micros{static_cast<std::int64_t>(conn)});
    logic.on_frame(conn, hello, Micros{static_cast<std::int64_t>(conn)}, actions);
    CHECK(logic.session_count() == 1);
    CHECK(logic.connected_count() == 1);
  }
  CHECK(logic.counters().sessions_begun == 50);
  CHECK(logic.counters().expired == 49);
}

// Guards against a replay window that grows with every refusal to a device that acknowledges none.
TEST_CASE(
    "edge: a device that sends requests and acknowledges nothing is disconnected, and its window stays "
    "bounded") {
  EdgeSettings settings;
  settings.at_most_once = {{"report", false}};
  EdgeLogic logic(settings, TokenSigner({}), {1}, 7, Micros{0}, 0);
  std::vector<EdgeAction> actions;
  logic.on_open(1, Micros{0});
  Frame hello;
  hello.type = Frame::Type::kHello;
  hello.device = "d";
  logic.on_frame(1, hello, Micros{0}, actions);
  Seq max_seq = 0;
  bool disconnected = false;
  for (Seq n = 1; n <= 5000 && !disconnected; ++n) {
    Frame ask;
    ask.type = Frame::Type::kMessage;
    ask.seq = n;
    ask.next_expected = 1;
    ask.body.kind = Body::Kind::kRequest;
    ask.body.key = n;
    ask.body.first_incarnation = 1;
    ask.body.verb = "report";
    ask.body.statement = "select 1";
    logic.on_frame(1, ask, Micros{0}, actions);
    for (const EdgeAction& action : actions) {
      if (const auto* sent = std::get_if<SendFrame>(&action)) {
        if (sent->frame.type == Frame::Type::kMessage) max_seq = std::max(max_seq, sent->frame.seq);
        disconnected |= sent->frame.code == "unread";
      }
    }
    actions.clear();
  }
  CHECK(disconnected);
  CHECK(max_seq <= 8 * settings.max_open_requests + 1);
}
