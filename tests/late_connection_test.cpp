// Tests of attempts that wait for a connection to their engine: what was decided on may no longer hold when
// the connection comes up.
#include <sys/socket.h>

#include "net_world.h"

using namespace net_fixture;

namespace {

constexpr std::chrono::milliseconds kTransitSlack{150};

// Connections to this engine do not come up before release(): its queue of connections is full until then.
// The system tries again a second after the first attempt.
class Blocked {
 public:
  Blocked(Fixture& fixture, Listener& engine) : filler_(fixture.io) {
    ::listen(engine.acceptor.native_handle(), 0);
    filler_.connect(engine.acceptor.local_endpoint());
  }

 private:
  tcp::socket filler_;
};

std::vector<std::unique_ptr<Blocked>> block_all(Fixture& fixture) {
  std::vector<std::unique_ptr<Blocked>> blocked;
  for (const auto& engine : fixture.engines) blocked.push_back(std::make_unique<Blocked>(fixture, *engine));
  return blocked;
}

void run_for(Fixture& fixture, std::chrono::milliseconds duration) {
  const auto end = std::chrono::steady_clock::now() + duration;
  fixture.run_until([&] { return std::chrono::steady_clock::now() >= end; });
}

// The commands that engines have received for that request.
std::vector<std::string> commands(Fixture& fixture, const std::string& id) {
  std::vector<std::string> found;
  for (const auto& engine : fixture.engines) {
    engine->poll();
    for (const auto& peer : engine->peers) {
      const std::string& text = peer->read();
      for (std::size_t at = 0; (at = text.find("serve " + id, at)) != std::string::npos; ++at)
        found.push_back(text.substr(at, text.find("\r\n", at) - at));
    }
  }
  return found;
}

void allow_late_connections(json& config_json) {
  config_json["settings"]["limits"]["connect_timeout_us"] = 2'000'000;
}

}  // namespace

// Guards against a repeat by key that reaches its engine after its window and takes effect again (review/7).
TEST_CASE("a repeat by key is not sent on a connection that comes up after its window") {
  Fixture fixture(2, [](json& config_json) {
    allow_late_connections(config_json);
    json& cls = config_json["settings"]["profiles"][1];
    cls["effect"] = "by_key";
    cls["dedup_scope"] = "all";
    cls["dedup_window_us"] = 900'000;
  });
  const auto client = fixture.client();
  client->write(query(1, kId, "load"));
  fixture.run_until([&] { return commands(fixture, kId).size() == 1; });
  const auto blocked = block_all(fixture);
  for (const auto& engine : fixture.engines)
    for (const auto& peer : engine->peers) peer->write(kId + " EIO - 0\r\n\r\n");
  run_for(fixture, std::chrono::milliseconds(300));  // polls no engine, so the queues stay full
  fixture.run_until([&] { return commands(fixture, kId).size() > 1 || client->read().size() > 4; });
  CHECK(fixture.answer(*client).field != 0);
  CHECK(commands(fixture, kId).size() == 1);
}

// Guards against an engine that is told of more time than the client has left (review/7).
TEST_CASE("the time limit in a command counts from when the command is written") {
  constexpr int kLimitMs = 1500;
  Fixture fixture(2, allow_late_connections);
  const auto blocked = block_all(fixture);
  const auto client = fixture.client();
  const auto sent_at = std::chrono::steady_clock::now();
  client->write(query(1, kId, "load", std::to_string(kLimitMs)));
  run_for(fixture, std::chrono::milliseconds(300));
  std::vector<std::string> received;
  fixture.run_until([&] { return received = commands(fixture, kId), !received.empty(); });
  const auto waited =
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - sent_at);
  REQUIRE(waited > std::chrono::milliseconds(500));
  const std::string& command = received.front();
  CHECK(std::stoi(command.substr(command.find("ttl=") + 4)) <=
        kLimitMs - waited.count() + kTransitSlack.count());
}

// Guards against an attempt that begins after its client has gone, where attempts cannot be cancelled
// (review/7).
TEST_CASE("nothing is sent for a client that left while the connection to the engine came up") {
  Fixture fixture(2, [](json& config_json) {
    allow_late_connections(config_json);
    config_json["settings"]["limits"]["may_cancel"] = false;
  });
  const auto blocked = block_all(fixture);
  const auto client = fixture.client();
  client->write(query(1, kId, "load"));
  run_for(fixture, std::chrono::milliseconds(200));
  client->write(interrupt(1));
  run_for(fixture, std::chrono::milliseconds(100));
  for (const auto& engine : fixture.engines) engine->poll();
  run_for(fixture, std::chrono::milliseconds(1500));
  CHECK(commands(fixture, kId).empty());
}
