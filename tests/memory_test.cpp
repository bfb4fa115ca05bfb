// Tests of the memory that clients can make a coordinator hold by their requests.
#include <rapidcheck/catch.h>

#include <map>

#include "base/memory_budget.h"
#include "net_world.h"

using namespace net_fixture;

namespace {

constexpr std::size_t kMemoryMb = 8;
constexpr std::size_t kLargeStatementBytes = 200'000;
constexpr int kCallsPerClient = 32;
constexpr std::size_t kEngines = 4;
constexpr int kRefused = 1;

std::string request_id(int client, int call) {
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", client + 1, call);
  return text;
}

std::string large_query(int client, int call, std::size_t statement_bytes = kLargeStatementBytes) {
  const std::string id = request_id(client, call);
  return execute(call, {{"txn", id}, {"verb", "lookup"}, {"limit", "15000"}, {"team", "acme"}, {"cpu", "1"}},
                 "select " + std::string(statement_bytes, '1') + " from a_7.t");
}

void limit_memory(json& config_json) { config_json["limits"]["memory_mb"] = kMemoryMb; }

// Bad clients that send their requests at once, as far as the coordinator reads them, and read their answers.
class LargeRequests {
 public:
  LargeRequests(Fixture& fixture, int clients, std::size_t statement_bytes) : fixture_(fixture) {
    for (int i = 0; i < clients; ++i) {
      Sender sender{fixture.client(), {}};
      for (int call = 1; call <= kCallsPerClient; ++call)
        sender.unsent += large_query(i, call, statement_bytes);
      senders_.push_back(std::move(sender));
    }
  }
  // Sends for that long.
  void run(std::chrono::milliseconds duration) {
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) step();
  }
  // Requests that were sent whole and have no answer yet.
  std::size_t open_requests() const {
    std::size_t open = 0;
    for (const Sender& sender : senders_) open += sender.sent_bytes / sender.frame_bytes() - sender.answered;
    return open;
  }
  std::size_t refused() const { return refused_; }

 private:
  struct Sender {
    std::unique_ptr<Peer> peer;
    std::string unsent;
    std::size_t sent_bytes{0};
    std::size_t answered{0};
    std::size_t frame_bytes() const { return (sent_bytes + unsent.size()) / kCallsPerClient; }
  };

  void step() {
    for (Sender& sender : senders_) {
      const std::size_t sent = sender.peer->write_some(sender.unsent);
      sender.sent_bytes += sent;
      sender.unsent.erase(0, sent);
      while (take_answer(sender)) {
      }
    }
    fixture_.server->io().run_for(std::chrono::milliseconds(1));
  }
  bool take_answer(Sender& sender) {
    const std::string& bytes = sender.peer->read();
    if (bytes.size() < thrift::kFrameHeaderBytes) return false;
    const auto length = static_cast<std::size_t>(thrift::frame_length(bytes));
    if (bytes.size() < thrift::kFrameHeaderBytes + length) return false;
    thrift::Reader reader(std::string_view(bytes).substr(thrift::kFrameHeaderBytes, length));
    thrift::Message message;
    REQUIRE(thrift::read_message_head(reader, message));
    reader.u8();
    if (reader.i16() == kRefused) ++refused_;
    sender.peer->received.erase(0, thrift::kFrameHeaderBytes + length);
    ++sender.answered;
    return true;
  }

  Fixture& fixture_;
  std::vector<Sender> senders_;
  std::size_t refused_{0};
};

}  // namespace

// Guards against large requests of bad clients that take the coordinator over its memory (review/6).
TEST_CASE("the statements of all open requests stay within the memory") {
  constexpr int kClients = 4;
  Fixture fixture(kEngines, limit_memory);
  LargeRequests bad(fixture, kClients, kLargeStatementBytes);
  bad.run(std::chrono::milliseconds(1500));
  CHECK(bad.open_requests() * kLargeStatementBytes < kMemoryMb << 20);
  CHECK(bad.refused() > 0);
}

// Guards against sound clients that lose their answers to the large requests of others (review/6).
TEST_CASE("sound clients are served while the requests of others fill the memory") {
  constexpr int kClients = 4;
  Fixture fixture(kEngines, limit_memory);
  const auto sound = fixture.client();
  sound->write(query(1, kId));
  LargeRequests bad(fixture, kClients, kLargeStatementBytes);
  bad.run(std::chrono::milliseconds(1000));
  CHECK(bad.open_requests() * kLargeStatementBytes < kMemoryMb << 20);
  // The request may have been sent to another engine, as the first one has said nothing for a while.
  fixture.run_until([&] {
    for (const auto& engine : fixture.engines) {
      engine->poll();
      for (const auto& peer : engine->peers)
        if (peer->has("serve " + kId)) peer->write(ack(kId, "x\t\t\n"));
    }
    return sound->read().size() > thrift::kFrameHeaderBytes;
  });
  CHECK(fixture.answer(*sound).field == 0);
}

// Guards against a budget that greedy clients can exceed or use up.
TEST_CASE("a memory budget is never exceeded, and greedy accounts leave room for another one") {
  rc::check("for random charges and releases", [] {
    constexpr std::size_t kBudgetBytes = 1'000'000;
    constexpr int kMaxAccounts = 300;
    const auto budget = std::make_shared<MemoryBudget>(kBudgetBytes, kMaxAccounts);
    std::map<int, std::shared_ptr<MemoryAccount>> accounts;
    std::vector<MemoryCharge> charges;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, kMaxAccounts), rc::gen::inRange(1, 100'000)));
    for (const auto& [number, bytes] : steps) {
      auto& account = accounts[number];
      if (!account) account = std::make_shared<MemoryAccount>(budget, budget->guaranteed_bytes());
      const bool fits = account->fits(static_cast<std::size_t>(bytes));
      auto charge = account->try_charge(static_cast<std::size_t>(bytes));
      RC_ASSERT(fits == charge.has_value());
      if (charge) charges.push_back(std::move(*charge));
      if (bytes % 3 == 0 && !charges.empty()) charges.erase(charges.begin());
      std::size_t held = 0;
      for (const MemoryCharge& one : charges) held += one.bytes();
      RC_ASSERT(budget->used() == held);
      RC_ASSERT(budget->used() <= kBudgetBytes);
    }
    accounts.clear();
    charges.clear();
    RC_ASSERT(budget->used() == 0u);
  });
  constexpr std::size_t kBudgetBytes = 8 << 20, kGreedyAccounts = 340, kOrdinaryBytes = 4096;
  const auto budget = std::make_shared<MemoryBudget>(kBudgetBytes, kGreedyAccounts + 1);
  const auto open_account = [&] {
    return std::make_shared<MemoryAccount>(budget, budget->guaranteed_bytes());
  };
  std::vector<MemoryCharge> charges;
  for (std::size_t i = 0; i < kGreedyAccounts; ++i) {
    const auto greedy = open_account();
    while (auto charge = greedy->try_charge(1024)) charges.push_back(std::move(*charge));
  }
  CHECK(open_account()->fits(kOrdinaryBytes));
}
