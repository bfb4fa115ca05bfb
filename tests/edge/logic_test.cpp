// The edge's decisions: numbered messages, gate, ledger and sessions, against plain models and in simulation.
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

std::string shown(const SimResult& result) {
  std::string all;
  for (const std::string& fault : result.faults) all += fault + '\n';
  return all;
}

// The first seed under which the checker finds something; 0 where none of so many does.
std::uint64_t caught(SimOptions options, std::uint64_t seeds) {
  for (options.seed = 1; options.seed <= seeds; ++options.seed) {
    if (!simulate(options).faults.empty()) return options.seed;
  }
  return 0;
}

}  // namespace

TEST_CASE(
    "edge: a channel gives each message once and in order over any cuts, across the wrap of its numbers") {
  rc::prop("random cuts, losses and repeats", [] {
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
          a.transmitted();
        }
      } else if (step < 7) {
        if (wire.empty()) continue;
        const auto [seq, body] = wire.front();
        wire.pop_front();
        const Heard heard = b.heard(seq);
        RC_ASSERT(heard != Heard::kGap);
        if (heard == Heard::kNew) got.push_back(body);
        if (*rc::gen::arbitrary<bool>()) RC_ASSERT(a.acknowledge(b.have()) != Acked::kForged);
      } else {
        wire.clear();  // the link is cut, and everything on it lost
        RC_ASSERT(a.resume(b.have()) != Acked::kForged);
      }
      RC_ASSERT(a.acknowledge(a.next() + 1) == Acked::kForged);
      RC_ASSERT(a.unacknowledged() <= static_cast<std::size_t>(pushed));
    }
    a.resume(b.have());
    while (int* body = a.peek()) {
      if (b.heard(a.cursor()) == Heard::kNew) got.push_back(*body);
      a.transmitted();
    }
    RC_ASSERT(got.size() == static_cast<std::size_t>(pushed));
    for (int i = 0; i < pushed; ++i) RC_ASSERT(got[static_cast<std::size_t>(i)] == i);
    a.acknowledge(b.have());
    RC_ASSERT(a.unacknowledged() == 0u);
    RC_ASSERT(a.acknowledge(first) != Acked::kForged);  // going back is old news, no fault
  });
}

TEST_CASE("edge: links of long polls give way in their order, and none whose poll waits") {
  rc::prop("against a plain list", [] {
    struct Plain {
      std::string name;
      std::int64_t heard{};
      bool waits{}, ended{};
    };
    std::vector<Plain> plain;
    PollLinks links;
    std::int64_t now = 0;
    int last = 0;
    const auto most = *rc::gen::inRange<std::size_t>(1, 6);
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 600))) {
      ++now;
      const auto at =
          plain.empty() ? plain.end() : plain.begin() + (step / 6) % static_cast<int>(plain.size());
      switch (step % 6) {
        case 0:
        case 1: {
          // Who goes: the ended ones first, then those heard of longest ago; never one that waits.
          auto order = plain;
          std::erase_if(order, [](const Plain& p) { return p.waits; });
          std::stable_sort(order.begin(), order.end(), [](const Plain& a, const Plain& b) {
            return std::pair(!a.ended, a.heard) < std::pair(!b.ended, b.heard);
          });
          const std::size_t needed = plain.size() < most ? 0 : plain.size() + 1 - most;
          const auto room = links.room(most);
          RC_ASSERT(room.is == (needed <= order.size()));
          RC_ASSERT(room.gives_way.size() == (room.is ? needed : 0));
          for (std::size_t i = 0; i < room.gives_way.size(); ++i) {
            RC_ASSERT(room.gives_way[i] == order[i].name);
            links.erase(order[i].name);
            std::erase_if(plain, [&](const Plain& p) { return p.name == order[i].name; });
          }
          if (!room.is) break;
          plain.push_back({"link" + std::to_string(++last), now, false, false});
          links.open(plain.back().name, Micros{now});
          break;
        }
        case 2:
          if (at == plain.end()) break;
          at->heard = now;
          links.heard(at->name, Micros{now});
          break;
        case 3:
          if (at == plain.end()) break;
          at->waits = !at->waits;
          links.waits(at->name, at->waits);
          break;
        case 4:
          if (at == plain.end()) break;
          at->ended = true;
          links.end(at->name);
          break;
        default: {
          const auto silent = links.silent(Micros{now}, Micros{20});
          RC_ASSERT(silent.size() ==
                    static_cast<std::size_t>(std::count_if(
                        plain.begin(), plain.end(), [&](const Plain& p) { return now - p.heard > 20; })));
          for (const std::string& name : silent) {
            links.erase(name);
            std::erase_if(plain, [&](const Plain& p) { return p.name == name; });
          }
        }
      }
      RC_ASSERT(links.size() == plain.size());
      RC_ASSERT(links.size() <= most);
    }
  });
}

TEST_CASE("edge: the gate lets in at its rate, nearest deadlines first, and spreads the others out") {
  Gate gate({100, 10, 500, Micros{2'000'000}}, 7);
  std::vector<Gate::Turned> turned;
  std::vector<std::uint64_t> in;
  for (std::uint64_t who = 1; who <= 10'000; ++who)
    gate.arrive(who, Micros{static_cast<std::int64_t>((who * 7919) % 10'000) * 1000}, Micros{0}, turned);
  CHECK(gate.waiting() == 500);
  CHECK(turned.size() == 9500);
  std::set<std::int64_t> times;
  for (const auto& away : turned) {
    CHECK(away.later > Micros{0});
    times.insert(away.later.count() / 10'000);
  }
  CHECK(times.size() > 100);  // not all at one moment
  for (std::int64_t now = 0; now <= 1'000'000; now += 10'000) gate.admit(Micros{now}, in, turned);
  CHECK(in.size() >= 100);
  CHECK(in.size() <= 112);
  for (std::size_t i = 1; i < in.size(); ++i) CHECK((in[i - 1] * 7919) % 10'000 < (in[i] * 7919) % 10'000);
  for (std::int64_t now = 1'000'000; now <= 4'000'000; now += 10'000) gate.admit(Micros{now}, in, turned);
  CHECK(gate.waiting() == 0);
  CHECK(in.size() + turned.size() == 10'000);
}

TEST_CASE("edge: suspicion grows with silence, slowly on links that are often silent") {
  Suspicion steady(Micros{1'000'000}), rare(Micros{1'000'000});
  Micros now{0};
  for (int i = 0; i < 200; ++i) steady.heard(now += Micros{1'000'000});
  const Micros steady_last = now;
  now = Micros{0};
  for (int i = 0; i < 200; ++i) rare.heard(now += Micros{i % 2 == 0 ? 500'000 : 9'500'000});
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
  const Micros until = steady.until(8, steady_last);
  CHECK(steady.phi(until) >= 8);
  CHECK(steady.phi(until - Micros{20'000}) < 8);
}

TEST_CASE("edge: the round trip follows RFC 6298 and backs off") {
  RoundTrip trip;
  CHECK(trip.timeout() == Micros{1'000'000});
  trip.sample(Micros{400'000});
  CHECK(trip.smoothed() == Micros{400'000});
  CHECK(trip.timeout() == Micros{1'200'000});  // SRTT + 4 * SRTT / 2
  trip.sample(Micros{400'000});
  CHECK(trip.timeout() == Micros{1'000'000});  // the variance falls by a quarter
  trip.timed_out();
  CHECK(trip.timeout() == Micros{2'000'000});
  trip.sample(Micros{400'000});
  CHECK(trip.timeout() < Micros{1'000'000});
}

TEST_CASE("edge: a token opens with its secret alone, and not where any of it is changed") {
  Sealer::Secret secret{};
  secret[5] = 9;
  const Sealer sealer(secret);
  const Token token{"one", 42, 99, 1, "tablet"};
  const std::string text = sealer.seal(token);
  CHECK(sealer.open(text) == token);
  secret[5] = 8;
  CHECK_FALSE(Sealer(secret).open(text));
  for (std::size_t at = 0; at < text.size(); ++at) {
    std::string other = text;
    other[at] = other[at] == 'A' ? 'B' : 'A';
    const auto opened = sealer.open(other);
    // The last letter holds bits that belong to no byte.
    if (at + 1 < text.size()) CHECK_FALSE(opened);
    CHECK_FALSE(sealer.open(text.substr(0, at)));
  }
}

namespace {

// The ledger over a disk that may fail, and processes that may end, against what has really happened.
struct LedgerWorld {
  explicit LedgerWorld(bool durable) {
    settings.durable = durable;
    settings.keep = Micros{10'000'000};
    start();
  }
  void start() {
    incarnations.push_back(incarnations.size() + 1);
    ledger = std::make_unique<LedgerLogic>(
        settings, settings.durable ? incarnations : std::vector<std::uint64_t>{incarnations.back()}, now,
        now.count());
    std::vector<Record> out;
    for (const auto& [_, record] : disk) ledger->recover(record, out);
    for (const Record& record : out) put(record);
  }
  void put(const Record& record) {
    const std::string key =
        std::to_string(record.mark) + "/" + std::to_string(record.mark ? 0 : record.key.number);
    if (record.erase) {
      disk.erase(key);
    } else {
      disk[key] = record;
    }
  }
  LedgerSettings settings;
  Micros now{1'000'000};
  std::vector<std::uint64_t> incarnations;
  std::map<std::string, Record> disk;
  std::unique_ptr<LedgerLogic> ledger;
};

}  // namespace

TEST_CASE("edge: the ledger never lets a load run twice, and never changes what it has told") {
  rc::prop("random crashes and failing disks", [](bool durable) {
    LedgerWorld w(durable);
    std::map<std::uint64_t, int> runs;
    std::map<std::uint64_t, Outcome> told;
    std::map<std::uint64_t, std::uint64_t> first;
    std::uint64_t request = 0;
    for (int i = *rc::gen::inRange(0, 150); i > 0; --i) {
      const auto number = *rc::gen::inRange<std::uint64_t>(1, 6);
      const Key key{0, "d", number};
      const int what = *rc::gen::inRange(0, 10);
      if (what < 7) {
        const auto sent = first.try_emplace(number, w.incarnations.back()).first->second;
        Outcome outcome;
        const auto answer = w.ledger->look(key, number * 11, true, sent, outcome);
        if (answer == LedgerLogic::Answer::kOutcome) {
          // What could not be recorded is refused while this process lives; the next one knows nothing of it.
          if (outcome.how == Outcome::How::kRefused) continue;
          if (told.contains(number) && told[number].how != Outcome::How::kUnknown && durable)
            RC_ASSERT(outcome.how == told[number].how || outcome.how == Outcome::How::kUnknown);
          if (told.contains(number) && told[number].how == Outcome::How::kUnknown)
            RC_ASSERT(outcome.how == Outcome::How::kUnknown);  // once and for good
          if (durable && told.contains(number)) RC_ASSERT(outcome == told[number]);
          told[number] = outcome;
          continue;
        }
        if (answer != LedgerLogic::Answer::kRun) continue;
        std::vector<Record> out;
        const bool wait = w.ledger->take(key, number * 11, true, ++request, out);
        RC_ASSERT(wait == durable);
        if (wait) {
          const int disk = *rc::gen::inRange(0, 6);
          if (disk == 0) {  // it dies before the record is there
            w.start();
            continue;
          }
          if (disk == 1) {  // the disk is full
            const Outcome refused{Outcome::How::kRefused, true, Micros{0}, 0, 0, 0};
            w.ledger->not_recorded(key, refused);
            Outcome again;
            RC_ASSERT(w.ledger->look(key, number * 11, true, sent, again) == LedgerLogic::Answer::kOutcome);
            RC_ASSERT(again == refused);
            RC_ASSERT(!w.ledger->dispatched(key));
            continue;
          }
          w.put(out.at(0));
          if (disk == 2) {  // it dies just after
            w.start();
            continue;
          }
          RC_ASSERT(w.ledger->dispatched(key));
        }
        ++runs[number];
        RC_ASSERT(runs[number] <= 1);
        if (*rc::gen::inRange(0, 4) == 0) {  // it dies while the load runs
          w.start();
          continue;
        }
        out.clear();
        Outcome outcome_now{Outcome::How::kServed, false, Micros{0}, request, 7, 70};
        if (w.ledger->answered(key, outcome_now, out)) {
          const int disk2 = *rc::gen::inRange(0, 4);
          if (disk2 == 0) {  // between the answer and its record
            w.start();
            continue;
          }
          const bool good = disk2 > 1;
          if (good) w.put(out.at(0));
          told[number] = *w.ledger->told(key, good);
        } else {
          told[number] = *w.ledger->told(key, true);
        }
      } else if (what == 7) {
        w.start();
      } else {
        w.now += Micros{*rc::gen::inRange(0, 6'000'000)};
        std::vector<Record> out;
        w.ledger->advance(w.now, w.now.count(), out);
        for (const Record& record : out) w.put(record);
        // What has lived its time is too old, and stays so over restarts where there is a disk.
        for (auto at = told.begin(); at != told.end();) {
          at = w.ledger->fate({0, "d", at->first}) ? std::next(at) : told.erase(at);
        }
      }
    }
  });
}

TEST_CASE("edge: a key with another statement, and one whose entry has gone, are refused by name") {
  LedgerWorld w(true);
  const Key key{0, "d", 5};
  Outcome outcome;
  std::vector<Record> out;
  REQUIRE(w.ledger->look(key, 1, true, 1, outcome) == LedgerLogic::Answer::kRun);
  w.ledger->take(key, 1, true, 9, out);
  CHECK(w.ledger->look(key, 2, true, 1, outcome) == LedgerLogic::Answer::kOther);
  CHECK(w.ledger->look(key, 1, true, 1, outcome) == LedgerLogic::Answer::kSame);
  w.put(out.at(0));
  w.ledger->dispatched(key);
  out.clear();
  w.ledger->answered(key, {Outcome::How::kServed, false, Micros{0}, 9, 0, 0}, out);
  w.put(out.at(0));
  w.ledger->told(key, true);
  CHECK(w.ledger->look(key, 1, true, 1, outcome) == LedgerLogic::Answer::kOutcome);
  w.now += Micros{11'000'000};
  out.clear();
  w.ledger->advance(w.now, w.now.count(), out);
  for (const Record& record : out) w.put(record);
  CHECK(w.ledger->size() == 0);
  CHECK(w.ledger->look(key, 1, true, 1, outcome) == LedgerLogic::Answer::kTooOld);
  CHECK(w.ledger->look({0, "d", 4}, 1, true, 1, outcome) == LedgerLogic::Answer::kTooOld);
  CHECK(w.ledger->look({0, "d", 6}, 1, true, 1, outcome) == LedgerLogic::Answer::kRun);
  w.start();
  CHECK(w.ledger->look(key, 1, true, 1, outcome) == LedgerLogic::Answer::kTooOld);
}

TEST_CASE("edge: some hundreds of seeds of devices on bad links, with crashes and failing disks") {
  std::uint64_t requests = 0, unknown = 0, crashes = 0, cuts = 0, resumes = 0, loads = 0;
  for (std::uint64_t seed = 1; seed <= STEPRAIL_SEEDS; ++seed) {
    SimOptions options;
    options.seed = seed;
    options.durable = seed % 4 != 0;
    const SimResult result = simulate(options);
    INFO("steprail_lab edge-sim --seed " << seed << (options.durable ? "" : " --memory") << '\n'
                                         << shown(result));
    REQUIRE(result.faults.empty());
    REQUIRE(result.answers == result.requests);
    requests += result.requests, unknown += result.unknown, crashes += result.crashes, cuts += result.cuts;
    resumes += result.resumes, loads += result.loads;
  }
  // The rare paths were there.
  CHECK(crashes > STEPRAIL_SEEDS);
  CHECK(cuts > 10 * STEPRAIL_SEEDS);
  CHECK(resumes > STEPRAIL_SEEDS);
  CHECK(unknown > 0);
  CHECK(unknown < loads / 4);
}

TEST_CASE("edge: one seed is one history") {
  SimOptions options;
  options.seed = 77;
  const auto a = simulate(options), b = simulate(options);
  CHECK(a.digest == b.digest);
  options.seed = 78;
  CHECK(simulate(options).digest != a.digest);
}

TEST_CASE("edge: the checker catches what is deliberately broken") {
  SimOptions options;
  options.record_after_dispatch = true;
  const auto late = caught(options, 400);
  options = {};
  options.trust_acknowledgements = true;
  const auto trusting = caught(options, 400);
  options = {};
  options.durable = false;
  options.ignore_incarnation = true;
  const auto forgetful = caught(options, 400);
  WARN("caught at seed: record after dispatch " << late << ", acknowledgements trusted " << trusting
                                                << ", incarnation ignored " << forgetful);
  CHECK(late > 0);
  CHECK(trusting > 0);
  CHECK(forgetful > 0);
}

// Guards against rows that pile up for devices that do not take them.
TEST_CASE("edge: a thousand slow devices with 10 MB of rows each stay within the bounds, and all get on") {
  EdgeSettings settings;
  settings.once = {{"report", false}};
  settings.gate.rate = settings.gate.burst = 1e6;
  settings.memory.max_bytes = 8u << 20;
  settings.window = 64 << 10;
  settings.page_most = 32 << 10;
  EdgeLogic logic(settings, Sealer({}), {1}, 7, Micros{0}, 0);
  std::vector<Act> acts;
  std::map<ConnId, Seq> have;
  std::map<ConnId, std::uint64_t> got;
  Micros now{0};
  constexpr ConnId kDevices = 1000;
  constexpr std::uint64_t kRow = 100, kRows = 100'000;
  std::uint64_t peak = 0;
  const auto carry_out = [&] {
    for (std::size_t i = 0; i < acts.size(); ++i) {
      const Act act = acts[i];
      if (const auto* submit = std::get_if<Submit>(&act)) {
        logic.answered(submit->request,
                       {Outcome::How::kServed, false, Micros{0}, submit->request, kRows, kRows * kRow}, now,
                       acts);
      } else if (const auto* fetch = std::get_if<Fetch>(&act)) {
        const std::uint64_t count =
            std::min<std::uint64_t>(std::max<std::uint64_t>(1, fetch->bytes / kRow), kRows - fetch->row);
        logic.rows({fetch->session, fetch->request, fetch->row, count,
                    std::make_shared<const std::string>(count * kRow, 'r'), fetch->row + count == kRows},
                   now, acts);
      } else if (const auto* down = std::get_if<ToDevice>(&act)) {
        if (down->frame.type == Frame::Type::kMessage) {
          have[down->conn] = down->frame.seq + 1;
          got[down->conn] += down->frame.body.count;
        }
      }
      peak = std::max(peak, logic.memory().used());
    }
    acts.clear();
  };
  for (ConnId conn = 1; conn <= kDevices; ++conn) {
    logic.opened(conn, now);
    Frame hello;
    hello.type = Frame::Type::kHello;
    hello.device = "d" + std::to_string(conn);
    logic.heard(conn, hello, now, acts);
    Frame ask;
    ask.type = Frame::Type::kMessage;
    ask.seq = ask.have = 1;
    ask.body.kind = Body::Kind::kRequest;
    ask.body.key = 1;
    ask.body.first = 1;
    ask.body.verb = "report";
    ask.body.statement = "select 1";
    logic.heard(conn, ask, now, acts);
    carry_out();
  }
  CHECK(peak <= settings.memory.max_bytes + settings.page_most);
  CHECK(logic.memory().used() > settings.memory.max_bytes / 2);
  // Some of them take what they have, a little at a time: the budget goes round, and reaches each of them.
  for (int round = 0; round < 400; ++round) {
    now += Micros{50'000};
    for (ConnId conn = 1; conn <= kDevices; ++conn) {
      if (!have.contains(conn)) continue;
      Frame ack;
      ack.type = Frame::Type::kAck;
      ack.have = have[conn];
      logic.heard(conn, ack, now, acts);
      carry_out();
    }
  }
  CHECK(peak <= settings.memory.max_bytes + settings.page_most);
  std::uint64_t least = kRows;
  for (ConnId conn = 1; conn <= kDevices; ++conn) least = std::min(least, got[conn]);
  CHECK(least > 0);
  for (ConnId conn = 1; conn <= kDevices; ++conn) logic.closed(conn, now, acts);
  acts.clear();
  CHECK(logic.memory().used() == 0);
}

// Guards against a replay window that grows with every refusal to a device that acknowledges none.
// Guards against a device's only session leaving its place in a table that is still being read (sanitizers
// see it).
TEST_CASE("edge: where a device may have one session, each new one takes the place of the one before") {
  EdgeSettings settings;
  settings.sessions_device = 1;
  EdgeLogic logic(settings, Sealer({}), {1}, 7, Micros{0}, 0);
  std::vector<Act> acts;
  for (ConnId conn = 1; conn <= 50; ++conn) {
    Frame hello;
    hello.type = Frame::Type::kHello;
    hello.device = "a tablet whose name is not a short one";
    logic.opened(conn, Micros{static_cast<std::int64_t>(conn)});
    logic.heard(conn, hello, Micros{static_cast<std::int64_t>(conn)}, acts);
    CHECK(logic.sessions() == 1);
    CHECK(logic.live() == 1);
  }
  CHECK(logic.counts().sessions_begun == 50);
  CHECK(logic.counts().expired == 49);
}

TEST_CASE("edge: a device that asks on and acknowledges nothing is cut off, and its window stays bounded") {
  EdgeSettings settings;
  settings.once = {{"report", false}};
  EdgeLogic logic(settings, Sealer({}), {1}, 7, Micros{0}, 0);
  std::vector<Act> acts;
  logic.opened(1, Micros{0});
  Frame hello;
  hello.type = Frame::Type::kHello;
  hello.device = "d";
  logic.heard(1, hello, Micros{0}, acts);
  Seq most = 0;
  bool cut = false;
  for (Seq n = 1; n <= 5000 && !cut; ++n) {
    Frame ask;
    ask.type = Frame::Type::kMessage;
    ask.seq = n;
    ask.have = 1;
    ask.body.kind = Body::Kind::kRequest;
    ask.body.key = n;
    ask.body.first = 1;
    ask.body.verb = "report";
    ask.body.statement = "select 1";
    logic.heard(1, ask, Micros{0}, acts);
    for (const Act& act : acts) {
      if (const auto* down = std::get_if<ToDevice>(&act)) {
        if (down->frame.type == Frame::Type::kMessage) most = std::max(most, down->frame.seq);
        cut |= down->frame.code == "unread";
      }
    }
    acts.clear();
  }
  CHECK(cut);
  CHECK(most <= 8 * settings.asks_most + 1);
}
