// Tests of the real coordinator over loopback sockets, against scripted clients, engines and a directory.
#include <rapidcheck/catch.h>

#include <csignal>
#include <set>

#include "net/engine_line.h"
#include "net/statement.h"
#include "net_world.h"

using namespace net_fixture;

// Guards against a result whose pages are put together in the order of their arrival.
TEST_CASE("pages received out of order are forwarded in order and unchanged") {
  Fixture fixture(1);
  const auto client = fixture.client();
  client->write(query(1, kId));
  fixture.run_until([&] { return fixture.engines[0]->has(0, "serve " + kId); });
  Peer& engine = *fixture.engines[0]->peer(0);
  engine.write(ack(kId, "a\tb\tc\n", 3));
  fixture.run_until(
      [&] { return engine.has("read " + kId + " 1\r\n") && engine.has("read " + kId + " 2\r\n"); });
  engine.write(block(kId, "2\t\t\r\n", 2));
  engine.write(block(kId, "1\t\t\n", 1));
  const Reply reply = fixture.answer(*client);
  CHECK(reply.field == 0);
  CHECK(reply.rest.find("a\tb\tc\n1\t\t\n2\t\t\r\n") != std::string::npos);
}

// Guards against a result counted as served although pages were lost after ACK, and against a load that runs
// twice because of them.
TEST_CASE("a load fails and is not retried when its pages are lost") {
  Fixture fixture(2);
  const auto client = fixture.client();
  client->write(query(1, kId, "load"));
  std::size_t at = 0;
  fixture.run_until([&] {
    for (at = 0; at < 2; ++at)
      if (fixture.engines[at]->has(0, "serve " + kId)) return true;
    return false;
  });
  Peer& engine = *fixture.engines[at]->peer(0);
  engine.write(ack(kId, "a\t\t\n", 2));
  fixture.run_until([&] { return engine.has("read " + kId + " 1\r\n"); });
  engine.close();
  CHECK(fixture.answer(*client).field == 2);
  CHECK_FALSE(fixture.engines[1 - at]->has(0, "serve"));
}

// Guards against the answer to a cancelled attempt being taken for the answer to the second attempt at the
// same engine, and against a second attempt that is sent before the first one is cancelled.
TEST_CASE("the late answer to a cancelled attempt does not end the next attempt") {
  Fixture fixture(1);
  const auto client = fixture.client();
  client->write(query(1, kId, "lookup", "2500"));
  fixture.run_until([&] {
    // Keeps the engine alive and its connection in use: only the answer is late.
    if (fixture.engines[0]->has(0, "serve "))
      fixture.engines[0]->peer(0)->write(kId + " EVENT why=pct,reading=0.9 0\r\n\r\n");
    return fixture.engines[0]->has(1, "serve " + kId);
  });
  CHECK(fixture.engines[0]->has(0, "cancel " + kId));
  fixture.engines[0]->peer(0)->write(ack(kId, "old\t\t\n"));
  fixture.engines[0]->peer(1)->write(ack(kId, "new\t\t\n"));
  const Reply reply = fixture.answer(*client);
  CHECK(reply.field == 0);
  CHECK(reply.rest.find("new") != std::string::npos);
}

// Guards against an id that is forgotten after the first late answer: a second late answer would end a later
// attempt.
TEST_CASE(
    "a request that was cancelled on a connection is never sent on it again, whatever is received there") {
  Fixture fixture(1, [](json& config_json) { config_json["settings"]["limits"]["most_tries"] = 5; });
  const auto client = fixture.client();
  client->write(query(1, kId, "lookup", "4000"));
  fixture.run_until([&] {
    if (fixture.engines[0]->has(0, "serve "))
      fixture.engines[0]->peer(0)->write(kId + " EVENT why=pct,reading=0.9 0\r\n\r\n");
    return fixture.engines[0]->has(1, "serve " + kId);
  });
  Peer& cancelled = *fixture.engines[0]->peer(0);
  cancelled.write(kId + " EIO - 0\r\n\r\n");
  // The engine answers this after the late error, so the error has been read once this answer arrives.
  client->write(query(2, "00000000000000a2"));
  fixture.run_until([&] { return fixture.engines[0]->has(0, "serve 00000000000000a2"); });
  cancelled.write(ack("00000000000000a2", "x\t\t\n"));
  CHECK(fixture.answer(*client).call == 2);
  fixture.engines[0]->peer(1)->close();
  fixture.run_until([&] {
    return fixture.engines[0]->has(2, "serve " + kId) || cancelled.read().rfind("serve " + kId) > 0;
  });
  CHECK(cancelled.received.find("serve " + kId) == cancelled.received.rfind("serve " + kId));
  fixture.run_until([&] { return fixture.engines[0]->has(2, "serve " + kId); });
  fixture.engines[0]->peer(2)->write(ack(kId, "new\t\t\n"));
  CHECK(fixture.answer(*client).rest.find("new") != std::string::npos);
}

// Guards against a retry that reaches an engine before it has seen the close of the connection with the
// previous attempt.
TEST_CASE(
    "attempts on a connection closed for a corrupt answer are retried once the engine must know of it") {
  Fixture fixture(2, [](json& config_json) { config_json["settings"]["balancers"] = 300; });
  const auto client = fixture.client();
  // Their low cost lets them share a connection, as there are many coordinators.
  const std::string ids[] = {"00000000000000d0", "00000000000000d1", "00000000000000d2", "00000000000000d3"};
  for (int i = 0; i < 4; ++i)
    client->write(execute(i, {{"txn", ids[i]}, {"verb", "lookup"}, {"limit", "9000"}, {"cpu", "1"}}));
  const auto sent = [&] {
    std::size_t count = 0;
    for (const auto& engine : fixture.engines) {
      engine->poll();
      for (const auto& peer : engine->peers)
        for (const std::string& id : ids) count += peer->has("serve " + id);
    }
    return count;
  };
  fixture.run_until([&] { return sent() == 4; });
  const std::size_t shared = fixture.engines[0]->peer(0) != nullptr ? 0 : 1;
  const auto corrupted_at = std::chrono::steady_clock::now();
  fixture.engines[shared]->peer(0)->write("what?\r\n");
  fixture.run_until([&] { return sent() > 4; });
  // At least the delay after a cancel, but less than the attempts' own timeouts.
  const auto waited = std::chrono::steady_clock::now() - corrupted_at;
  CHECK(waited >= std::chrono::milliseconds(100));
  CHECK(waited < std::chrono::seconds(3));
  CHECK(fixture.engines[shared]->peer(0)->ended());
}

// Guards against a retry while the previous attempt still runs in the process before a restart, or at another
// address.
TEST_CASE(
    "an attempt at an engine that is listed with a later start is retried once the engine must know of it") {
  Fixture fixture(1);
  const auto client = fixture.client();
  client->write(query(1, kId));
  fixture.run_until(
      [&] { return fixture.engines[0]->has(0, "serve " + kId) && fixture.directory.has(0, "follow 1\n"); });
  json again = row(0, address(fixture.engines[0]->acceptor));
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  again["since_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  const auto listed_at = std::chrono::steady_clock::now();
  fixture.directory.peer(0)->write(event(2, {again}, false).dump() + "\n2\n");
  fixture.run_until([&] { return fixture.engines[0]->has(1, "serve " + kId); });
  const auto waited = std::chrono::steady_clock::now() - listed_at;
  CHECK(waited >= std::chrono::milliseconds(100));
  CHECK(waited < std::chrono::seconds(3));
  CHECK((fixture.engines[0]->peer(0)->read(), fixture.engines[0]->peer(0)->ended()));
}

// Guards against a load that fails although a refused connection proves that it never ran.
TEST_CASE("a load is retried at another engine if the first one refuses the connection") {
  Fixture fixture(2);
  fixture.engines[0]->acceptor.close();
  const auto client = fixture.client();
  for (int i = 0; i < 4; ++i) {
    const std::string id = "00000000000000b" + std::to_string(i);
    client->write(query(i, id, "load"));
    fixture.run_until([&] { return fixture.engines[1]->has(0, "serve " + id); });
    fixture.engines[1]->peer(0)->write(ack(id, "x\t\t\n"));
    CHECK(fixture.answer(*client).field == 0);
  }
}

// Guards against attempts sent to an engine after the directory has reported that it drains.
TEST_CASE("a draining engine gets no new attempts, and a refusal is immediate and says when to retry") {
  Fixture fixture(1);
  const auto client = fixture.client();
  fixture.run_until([&] { return fixture.directory.has(0, "follow 1\n"); });
  fixture.directory.peer(0)->write(
      event(2, {row(0, address(fixture.engines[0]->acceptor), "leaving")}, false).dump() + "\n2\n");
  for (int call = 0;; ++call) {
    std::string id = "00000000000000c0";
    id.back() = static_cast<char>('0' + call % 10);
    client->write(query(call, id));
    bool served = false;
    fixture.run_until([&] {
      served = fixture.engines[0]->has(0, "serve " + id);
      return served || !client->read().empty();
    });
    if (served) fixture.engines[0]->peer(0)->write(ack(id, "x\t\t\n"));
    const Reply reply = fixture.answer(*client);
    if (served) continue;
    CHECK(reply.field == 1);
    CHECK(reply.rest.find("later") != std::string::npos);
    CHECK(reply.rest.find("700") != std::string::npos);
    break;
  }
}

// Guards against events that are lost with a connection, and against a bad line that stops the updates for
// good.
TEST_CASE("after a malformed line the directory is followed again from the last event") {
  Fixture fixture(1);
  fixture.run_until([&] { return fixture.directory.has(0, "follow 1\n"); });
  fixture.directory.peer(0)->write(event(2, {row(0, address(fixture.engines[0]->acceptor))}, false).dump() +
                                   "\n{\"index\":\n");
  fixture.run_until([&] { return fixture.directory.has(1, "follow 2\n"); });
}

// Guards against a row with an unknown zone, kind or status that keeps the program from starting, and against
// drains that are missed because an invalid row stops the stream.
TEST_CASE("an invalid row is left out of the saved list, of a full list and of an incremental update") {
  const std::vector<std::pair<const char*, json>> faults = {
      {"zone", "nowhere"},  {"type", "unheard-of"}, {"status", "asleep"}, {"address", "no address"},
      {"address", nullptr}, {"weight", "heavy"},    {"name", 7},          {"name", ""}};
  const auto unreadable_rows = [&] {
    json rows = {nullptr, "row", json::object()};
    for (std::size_t i = 0; i < faults.size(); ++i) {
      json bad = row(90 + static_cast<int>(i), "127.0.0.1:9");
      bad[faults[i].first] = faults[i].second;
      rows.push_back(bad);
    }
    return rows;
  };
  Fixture fixture(2, [&](json& config_json) {
    json& rows = config_json["known"]["updates"][0]["endpoints"]["endpoints"];
    json mixed = unreadable_rows();
    mixed.insert(mixed.end(), rows.begin(), rows.end());
    rows = mixed;
  });
  const auto client = fixture.client();
  int calls = 0;
  // Checks that this engine serves a query, as it is the only one left.
  const auto expect_served_by = [&](std::size_t engine) {
    const std::string id = "00000000000000d" + std::to_string(calls);
    client->write(query(++calls, id));
    fixture.run_until([&] { return fixture.engines[engine]->has(0, "serve " + id); });
    fixture.engines[engine]->peer(0)->write(ack(id, "x\t\t\n"));
    CHECK(fixture.answer(*client).field == 0);
  };
  fixture.run_until([&] { return fixture.directory.has(0, "follow 1\n"); });
  // A drain is applied whatever else is wrong with its row.
  json draining = row(0, address(fixture.engines[0]->acceptor), "leaving");
  draining["zone"] = "nowhere", draining["type"] = nullptr;
  json change = unreadable_rows();
  change.push_back(draining);
  fixture.directory.peer(0)->write(event(2, change, false).dump() + "\n");
  fixture.run_until([&] { return fixture.server->last_list_event() == 2; });
  expect_served_by(1);
  json whole = unreadable_rows();
  whole.push_back(row(0, address(fixture.engines[0]->acceptor)));
  fixture.directory.peer(0)->write(event(3, whole, true).dump() + "\n3\n");
  fixture.run_until([&] { return fixture.server->last_list_event() == 3; });
  expect_served_by(0);
  CHECK(fixture.directory.peer(1) == nullptr);
}

// Guards against a line that is invalid every time it is sent, so that no later event is ever read.
TEST_CASE("an event that is still malformed when it is requested again is skipped") {
  Fixture fixture(1);
  const std::string bad = "{\"index\":2,\"endpoints\":null}\n";
  for (std::size_t connection = 0; connection < 3; ++connection) {
    fixture.run_until([&] { return fixture.directory.has(connection, "follow 1\n"); });
    fixture.directory.peer(connection)->write(bad + "2\n");
  }
  fixture.directory.peer(2)->write(event(3, {row(0, address(fixture.engines[0]->acceptor))}, false).dump() +
                                   "\n");
  fixture.run_until([&] { return fixture.server->last_list_event() == 3; });
  fixture.directory.peer(2)->close();
  fixture.run_until([&] { return fixture.directory.has(3, "follow 3\n"); });
}

// Guards against a start that fails because of the saved list, which the stream sends anyway.
TEST_CASE("the coordinator starts with a saved list that is empty or malformed") {
  for (const json& known :
       {json{{"index", 0}, {"updates", json::array()}}, json(nullptr), json{{"index", "x"}},
        json{{"index", 1}, {"updates", {{{"index", 1}, {"endpoints", nullptr}}}}}}) {
    Fixture fixture(1, [&](json& config_json) { config_json["known"] = known; });
    fixture.run_until([&] { return fixture.directory.has(0, "follow 0\n"); });
    fixture.directory.peer(0)->write(event(1, {row(0, address(fixture.engines[0]->acceptor))}, true).dump() +
                                     "\n1\n");
    fixture.run_until([&] { return fixture.server->last_list_event() == 1; });
    const auto client = fixture.client();
    client->write(query(1, kId));
    fixture.run_until([&] { return fixture.engines[0]->has(0, "serve " + kId); });
    fixture.engines[0]->peer(0)->write(ack(kId, "x\t\t\n"));
    CHECK(fixture.answer(*client).field == 0);
  }
}

// Guards against invalid bytes of one client that close another client's connection.
TEST_CASE("a malformed frame closes only its own connection") {
  Fixture fixture(1);
  const auto good = fixture.client();
  for (const std::string& bad :
       {std::string("\xff\xff\xff\xff"), std::string("\x7f\0\0\0", 4), encode_text("GET / HTTP"),
        encode_text(encode_number(0x80020001u) + encode_text("check") + encode_number(1) + '\0')}) {
    const auto malformed = fixture.client();
    malformed->write(bad);
    fixture.run_until([&] { return malformed->read(), malformed->ended(); });
  }
  good->write(kCheckCall);
  const Reply reply = fixture.answer(*good);
  CHECK(reply.call == 50);
  CHECK(reply.rest.substr(reply.rest.size() - 3, 1) == std::string(1, '\1'));
}

// Guards against clients that occupy connections without a request, so that others wait for good.
TEST_CASE(
    "silent connections keep no client out, and no connection with an open request is closed for them") {
  Fixture fixture(1, [](json& config_json) { config_json["limits"]["sockets"] = 64; });
  const auto waiting = fixture.client();
  waiting->write(query(1, kId));
  fixture.run_until([&] { return fixture.engines[0]->has(0, "serve " + kId); });
  std::vector<std::unique_ptr<Peer>> silent;
  for (int i = 0; i < 100; ++i) silent.push_back(fixture.client());
  const auto good = fixture.client();
  good->write(kCheckCall);
  CHECK(fixture.answer(*good).call == 50);
  fixture.engines[0]->peer(0)->write(ack(kId, "x\t\t\n"));
  CHECK(fixture.answer(*waiting).field == 0);
}

// Guards against descriptors that are leaked to clients that send nothing, an incomplete frame, or nothing
// more after a request.
TEST_CASE("a connection that is silent, stops within a frame, or stays idle is closed") {
  Fixture fixture(1);
  const auto silent = fixture.client();
  const auto half = fixture.client();
  half->write(kCheckCall.substr(0, 9));
  const auto idle = fixture.client();
  idle->write(kCheckCall);
  CHECK(fixture.answer(*idle).call == 50);
  for (const auto& client : {silent.get(), half.get(), idle.get()})
    fixture.run_until([&] { return client->read(), client->ended(); });
}

// Guards against a missing answer, or a closed connection, for a request that is well-formed but invalid.
TEST_CASE("an invalid request is answered as failed, an unknown method with an exception") {
  Fixture fixture(1);
  const auto client = fixture.client();
  client->write(frame(1, "fly", 7, std::string(1, '\0')));
  Reply reply = fixture.answer(*client);
  CHECK(reply.kind == 3);
  CHECK(reply.call == 7);
  client->write(query(8, "nonsense") + query(9, kId, "dance") + query(10, kId, "lookup", "-4") +
                execute(11, {{"txn", kId}}));
  for (int call = 8; call <= 11; ++call) {
    reply = fixture.answer(*client);
    CHECK(reply.call == call);
    CHECK(reply.field == 2);
  }
}

// Guards against values that would distort the module's estimates or make an engine close its connection.
TEST_CASE("a request outside of the configured limits is answered as failed and sent to no engine") {
  Fixture fixture(1, [](json& config_json) {
    config_json["settings"]["customers"] = {{{"name", "acme"}, {"share", 1.0}}};
    config_json["settings"]["family_info"]["ram_of_kind_mb"] = {32768.0};
  });
  const auto client = fixture.client();
  using Fields = std::vector<std::pair<std::string, std::string>>;
  const Fields good = {{"txn", kId},     {"verb", "lookup"}, {"limit", "9000"},
                       {"team", "acme"}, {"cpu", "820.0"},   {"mem", "96"}};
  const Fields bad = {{"team", "nobody"}, {"limit", "20500"}, {"limit", "99999999999999"},
                      {"limit", "0"},     {"cpu", "much"},    {"cpu", "-1"},
                      {"cpu", "1e300"},   {"cpu", "nan"},     {"mem", "x"},
                      {"mem", "-3"},      {"mem", "1e18"}};
  for (const auto& [name, value] : bad) {
    Fields fields = good;
    for (auto& [n, v] : fields)
      if (n == name) v = value;
    INFO(name << '=' << value);
    client->write(execute(5, fields));
    CHECK(fixture.answer(*client).field == 2);
  }
  client->write(execute(6, good));
  fixture.run_until([&] { return fixture.engines[0]->has(0, "serve " + kId); });
  CHECK(fixture.engines[0]->peer(0)->received.find("serve ") ==
        fixture.engines[0]->peer(0)->received.rfind("serve "));
}

// Guards against work for a client that has left, and against an unexpected answer.
TEST_CASE("an interrupted request is cancelled at its engine and not answered") {
  Fixture fixture(1);
  const auto client = fixture.client();
  client->write(query(1, kId));
  fixture.run_until([&] { return fixture.engines[0]->has(0, "serve " + kId); });
  client->write(interrupt(1));
  fixture.run_until([&] { return fixture.engines[0]->has(0, "cancel " + kId); });
  client->write(kCheckCall);
  CHECK(fixture.answer(*client).call == 50);
  CHECK(client->received.empty());
}

// Guards against malformed output of an engine that is taken for an answer: the attempts end and are retried.
TEST_CASE("a malformed line closes the engine's connection and ends its attempts") {
  Fixture fixture(1);
  const auto client = fixture.client();
  client->write(query(1, kId));
  fixture.run_until([&] { return fixture.engines[0]->has(0, "serve " + kId); });
  fixture.engines[0]->peer(0)->write(kId + " HUH - 0\r\n\r\n");
  fixture.run_until([&] { return fixture.engines[0]->has(1, "serve " + kId); });
  CHECK((fixture.engines[0]->peer(0)->read(), fixture.engines[0]->peer(0)->ended()));
  fixture.engines[0]->peer(1)->write(ack(kId, "x\t\t\n"));
  CHECK(fixture.answer(*client).field == 0);
}

// Guards against good answers that are lost because unexpected answers on the connection close it.
TEST_CASE("duplicate answers, and answers with unknown, malformed or finished ids, close no connection") {
  Fixture fixture(1);
  const auto client = fixture.client();
  client->write(query(1, kId, "load"));
  fixture.run_until([&] { return fixture.engines[0]->has(0, "serve " + kId); });
  Peer& engine = *fixture.engines[0]->peer(0);
  const std::string first = ack(kId, "a\t\t\n", 2), last = block(kId, "b\t\t\n", 1);
  engine.write(ack("00000000000000ff", "z\t\t\n") + ack("what?", "z\t\t\n") + "probe77 READY - 0\r\n\r\n" +
               first + first);
  fixture.run_until([&] { return engine.has("read " + kId + " 1\r\n"); });
  engine.write(last + last + first);
  const Reply reply = fixture.answer(*client);
  CHECK(reply.field == 0);
  CHECK(reply.rest.find("a\t\t\nb\t\t\n") != std::string::npos);
  CHECK(reply.rest.find('z') == std::string::npos);
  client->write(query(2, "00000000000000a2"));
  fixture.run_until([&] { return fixture.engines[0]->has(0, "serve 00000000000000a2"); });
}

// Guards against a corrupt answer that is served, a load that runs twice because of one, and an endless wait
// for the rest of one.
TEST_CASE("a corrupt answer is never served, and a load is not retried after it") {
  const std::string rows = "a\tb\n";  // two columns
  const auto answer = GENERATE_COPY(
      ack(kId, rows), ack(kId, std::string(6001, 'x')), kId + " ACK - 6\r\na\tb\tc\n\r\n",
      kId + " ACK count=1 3000000000\r\n", kId + " ACK count=1 900\r\na\tb\tc\n\r\n", kId + " ACK cou",
      ack(kId, "a\t\t\n", 2) + block(kId, rows, 1), ack(kId, "a\t\t\n", 2) + block(kId, "b\t\t\n", 7),
      ack(kId, "a\t\t\n", 2), ack(kId, "a\t\t\n", 2) + kId + " AGAIN - 0\r\n\r\n");
  Fixture fixture(1);
  const auto client = fixture.client();
  const auto start = std::chrono::steady_clock::now();
  client->write(query(1, kId, "load", "20000"));
  fixture.run_until([&] { return fixture.engines[0]->has(0, "serve " + kId); });
  fixture.engines[0]->peer(0)->write(answer);
  CHECK(fixture.answer(*client).field == 2);
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(10));
  client->write(query(2, "00000000000000a2"));
  fixture.run_until([&] { return fixture.engines[0]->has(1, "serve 00000000000000a2"); });
  CHECK_FALSE(fixture.engines[0]->peer(1)->has("serve " + kId));
}

// Guards against one broken connection that ends unrelated requests.
TEST_CASE("a reset ends only the attempt on its connection") {
  Fixture fixture(1);
  const auto client = fixture.client();
  const std::string other = "00000000000000a2";
  client->write(query(1, kId, "load") + query(2, other, "load"));
  fixture.run_until(
      [&] { return fixture.engines[0]->has(0, "serve ") && fixture.engines[0]->has(1, "serve "); });
  const std::size_t first = fixture.engines[0]->has(0, kId) ? 0 : 1;
  fixture.engines[0]->peer(first)->close();
  const Reply failed = fixture.answer(*client);
  CHECK(failed.call == 1);
  CHECK(failed.field == 2);
  fixture.engines[0]->peer(1 - first)->write(ack(other, "x\t\t\n"));
  const Reply served = fixture.answer(*client);
  CHECK(served.call == 2);
  CHECK(served.field == 0);
}

// Guards against hundreds of coordinators with a connection for each attempt, when engines accept few, and
// against a load that is lost to another query's corrupt answer.
TEST_CASE("with many coordinators, repeatable attempts share connections and a load has its own") {
  Fixture fixture(1, [](json& config_json) { config_json["settings"]["balancers"] = 300; });
  const auto client = fixture.client();
  const auto light = [](int call, const std::string& id, const std::string& verb) {
    return execute(call, {{"txn", id}, {"verb", verb}, {"limit", "9000"}, {"cpu", "1"}});
  };
  for (int i = 0; i < 3; ++i) client->write(light(i, "00000000000000d" + std::to_string(i), "lookup"));
  fixture.run_until([&] {
    return fixture.engines[0]->has(0, "serve 00000000000000d0") &&
           fixture.engines[0]->has(0, "serve 00000000000000d1") &&
           fixture.engines[0]->has(0, "serve 00000000000000d2");
  });
  client->write(light(3, kId, "load"));
  fixture.run_until([&] { return fixture.engines[0]->has(1, "serve " + kId); });
  client->write(light(4, "00000000000000d4", "lookup"));
  fixture.run_until([&] { return fixture.engines[0]->has(0, "serve 00000000000000d4"); });
  CHECK(fixture.engines[0]->peer(2) == nullptr);
  for (const char* id : {"00000000000000d0", "00000000000000d1", "00000000000000d2", "00000000000000d4"})
    fixture.engines[0]->peer(0)->write(ack(id, "x\t\t\n"));
  fixture.engines[0]->peer(1)->write(ack(kId, "x\t\t\n"));
  for (int i = 0; i < 5; ++i) CHECK(fixture.answer(*client).field == 0);
}

// Guards against reuse of a connection on which an answer was lost: the next request on it would wait as
// well.
TEST_CASE("an attempt without progress is retried, and its connection is not used again") {
  Fixture fixture(1,
                  [](json& config_json) { config_json["settings"]["family_info"]["progress_us"] = 500000; });
  const auto client = fixture.client();
  const auto start = std::chrono::steady_clock::now();
  const std::string other = "00000000000000a2";
  client->write(query(1, kId, "lookup", "20000") + query(2, other, "lookup", "20000"));
  fixture.run_until(
      [&] { return fixture.engines[0]->has(0, "serve ") && fixture.engines[0]->has(1, "serve "); });
  const std::size_t silent = fixture.engines[0]->has(0, "serve " + kId) ? 0 : 1;
  fixture.run_until([&] {
    fixture.engines[0]->peer(1 - silent)->write(other + " EVENT why=pct,reading=0.9 0\r\n\r\n");
    return fixture.engines[0]->has(2, "serve " + kId);
  });
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(8));
  fixture.run_until(
      [&] { return fixture.engines[0]->peer(silent)->read(), fixture.engines[0]->peer(silent)->ended(); });
  fixture.engines[0]->peer(2)->write(ack(kId, "x\t\t\n"));
  CHECK(fixture.answer(*client).field == 0);
}

// Guards against requests lost at a planned restart.
TEST_CASE(
    "after SIGTERM check is false, new connections are served, and the process ends after the last answer") {
  Fixture fixture(1);
  const auto client = fixture.client();
  client->write(query(1, kId));
  fixture.run_until([&] { return fixture.engines[0]->has(0, "serve " + kId); });
  fixture.server->stop();
  const auto late = fixture.client();
  late->write(kCheckCall + query(2, "00000000000000a2"));
  const Reply reply = fixture.answer(*late);
  CHECK(reply.rest.substr(reply.rest.size() - 3, 1) == std::string(1, '\0'));
  fixture.run_until([&] { return fixture.engines[0]->has(1, "serve 00000000000000a2"); });
  CHECK_FALSE(fixture.server->io().stopped());
  fixture.engines[0]->peer(1)->write(ack("00000000000000a2", "x\t\t\n"));
  fixture.engines[0]->peer(0)->write(ack(kId, "x\t\t\n"));
  CHECK(fixture.answer(*late).field == 0);
  CHECK(fixture.answer(*client).field == 0);
  fixture.run_until([&] { return fixture.server->io().stopped(); });
}

// Guards against attempts that are ended because a full list no longer holds their engine; the engine may
// finish them.
TEST_CASE("an engine that is missing from a full list finishes its attempts") {
  Fixture fixture(2);
  const auto client = fixture.client();
  client->write(query(1, kId, "load"));
  std::size_t at = 0;
  fixture.run_until([&] {
    for (at = 0; at < 2; ++at)
      if (fixture.engines[at]->has(0, "serve " + kId)) return true;
    return false;
  });
  fixture.run_until([&] { return fixture.directory.has(0, "follow 1\n"); });
  const int other = at == 0 ? 1 : 0;
  fixture.directory.peer(0)->write(
      event(2, {row(other, address(fixture.engines[1 - at]->acceptor))}, true).dump() + "\n2\n");
  fixture.run_until([&] { return fixture.server->last_list_event() == 2; });
  fixture.engines[at]->peer(0)->write(ack(kId, "x\t\t\n"));
  CHECK(fixture.answer(*client).field == 0);
}

// Guards against engines that count as unreachable because idle connections to other engines use up the
// limit.
TEST_CASE("idle connections are closed when there are more engines than connections") {
  Fixture fixture(40, [](json& config_json) {
    config_json["limits"]["sockets"] = 64;
    config_json["settings"]["limits"]["most_tries"] = 1;
  });
  const auto client = fixture.client();
  std::set<std::size_t> used;
  for (int call = 0; call < 200; ++call) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", call + 1);
    client->write(query(call, id));
    fixture.run_until([&] {
      for (std::size_t i = 0; i < fixture.engines.size(); ++i) {
        fixture.engines[i]->poll();
        for (const auto& peer : fixture.engines[i]->peers) {
          if (!peer->has("serve " + std::string(id))) continue;
          peer->received.clear();
          peer->write(ack(id, "x\t\t\n"));
          used.insert(i);
        }
      }
      return !client->read().empty();
    });
    REQUIRE(fixture.answer(*client).field == 0);
  }
  CHECK(used.size() > 30);
}

// Guards against a process that is killed while it has accepted requests that are not answered.
TEST_CASE("requests that cannot end before the SIGKILL after SIGTERM are answered, and the process ends") {
  Fixture fixture(2);
  const auto client = fixture.client();
  const std::string load = "00000000000000a2";
  client->write(query(1, kId) + query(2, load, "load"));
  const auto any_engine_got = [&](const std::string& text) {
    return std::any_of(fixture.engines.begin(), fixture.engines.end(), [&](const auto& engine) {
      engine->poll();
      return std::any_of(engine->peers.begin(), engine->peers.end(),
                         [&](const auto& peer) { return peer->has(text); });
    });
  };
  fixture.run_until([&] { return any_engine_got("serve " + kId) && any_engine_got("serve " + load); });
  const auto start = std::chrono::steady_clock::now();
  fixture.server->stop();
  std::map<int, int> fields;
  for (int i = 0; i < 2; ++i) {
    const Reply reply = fixture.answer(*client);
    fields[reply.call] = reply.field;
  }
  CHECK(fields[1] == 1);  // can be sent again
  CHECK(fields[2] == 2);  // a load may have run
  fixture.run_until([&] { return fixture.server->io().stopped(); });
  const auto took = std::chrono::steady_clock::now() - start;
  CHECK(took > std::chrono::milliseconds(3000));
  CHECK(took < std::chrono::seconds(7));  // and not only after the 9 s limit of the requests
}

// Guards against timeouts of an answered request that apply to a new request with the same id.
TEST_CASE("a request with the id of an answered request has its own timeouts") {
  Fixture fixture(1);
  const auto client = fixture.client();
  client->write(query(1, kId, "load", "1000"));
  fixture.run_until([&] { return fixture.engines[0]->has(0, "serve " + kId); });
  const auto start = std::chrono::steady_clock::now();
  fixture.engines[0]->peer(0)->write(ack(kId, "x\t\t\n"));
  CHECK(fixture.answer(*client).field == 0);
  fixture.engines[0]->peer(0)->received.clear();
  client->write(query(2, kId, "load", "9000"));
  fixture.run_until([&] { return fixture.engines[0]->has(0, "serve " + kId); });
  fixture.run_until(
      [&] { return std::chrono::steady_clock::now() - start > std::chrono::milliseconds(1300); });
  CHECK(client->read().empty());
  fixture.engines[0]->peer(0)->write(ack(kId, "y\t\t\n"));
  CHECK(fixture.answer(*client).field == 0);
}

// Guards against a program that SIGHUP terminates, and against updates that are missed because the directory
// has moved.
TEST_CASE("at SIGHUP the directory is followed at its new address, and open requests continue") {
  Fixture fixture(1);
  Listener moved(fixture.io);
  const auto client = fixture.client();
  client->write(query(1, kId));
  fixture.run_until(
      [&] { return fixture.engines[0]->has(0, "serve " + kId) && fixture.directory.has(0, "follow 1\n"); });
  fixture.file->write("{ no configuration");
  raise(SIGHUP);
  client->write(kCheckCall);
  CHECK(fixture.answer(*client).call == 50);
  json config_json = fixture.config_json;
  config_json["coordinator"] = address(moved.acceptor);
  fixture.file->write(config_json.dump());
  raise(SIGHUP);
  fixture.run_until([&] { return moved.has(0, "follow 1\n"); });
  CHECK((fixture.directory.peer(0)->read(), fixture.directory.peer(0)->ended()));
  fixture.engines[0]->peer(0)->write(ack(kId, "x\t\t\n"));
  CHECK(fixture.answer(*client).field == 0);
}

// Guards against drains that are noticed too late: a directory that stops without a close says nothing.
TEST_CASE("a silent directory is followed again within 4 s of its last line") {
  Fixture fixture(1);
  fixture.run_until([&] { return fixture.directory.has(0, "follow 1\n"); });
  const auto start = std::chrono::steady_clock::now();
  fixture.run_until([&] { return fixture.directory.has(1, "follow 1\n"); });
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(3200));
}

// Guards against an answer that is split between reads at any byte.
TEST_CASE("an engine's answer is parsed once it is complete") {
  const std::string whole = kId + " ACK count=2,rep=util:0.61;inflight:7 3\r\na\r\n\r\n";
  EngineAnswer answer;
  std::size_t consumed = 0;
  for (std::size_t i = 0; i < whole.size(); ++i)
    CHECK(parse_answer(whole.substr(0, i), answer, consumed) == ParseStatus::kIncomplete);
  const std::string more = whole + "next";
  REQUIRE(parse_answer(more, answer, consumed) == ParseStatus::kComplete);
  CHECK(consumed == whole.size());
  CHECK(answer.body == "a\r\n");
  CHECK(answer.page_count == 2);
  CHECK(answer.report.cpu_utilisation == 0.61);
  CHECK(answer.report.in_flight == 7.0);
  CHECK(parse_answer(kId + " ACK - x\r\n", answer, consumed) == ParseStatus::kMalformed);
  CHECK(parse_answer(kId + " ACK - 1\r\nab\r\n", answer, consumed) == ParseStatus::kMalformed);
}

// Guards against tables that grow with every engine ever listed.
TEST_CASE("the number of a forgotten engine is given to the next new one") {
  NameTable names;
  names.add("a");
  names.add("b");
  names.remove(0);
  CHECK(names.index("a") == -1);
  CHECK(names.add("b") == 1);
  CHECK(names.add("c") == 0);
  CHECK(names.name(0) == "c");
  CHECK(names.add("a") == 2);
  CHECK(names.size() == 3);
}

// Guards against names in strings and comments, and the schema `staging`, that decide the group.
TEST_CASE("the table group is the number in the schema's name") {
  CHECK(table_group("SELECT n -- was: from mart_1.old\nFROM lake_10.stock") == 10);
  CHECK(table_group("select a.n, 'from lake_0.decoy' as note from sales_5.visits a") == 5);
  CHECK(table_group("merge into sales_6.orders d using staging.delta s on d.id = s.id") == 6);
  CHECK(table_group("/* ops_2.x */ insert into \"ops_3\".events select * from staging.delta") == 3);
  CHECK(table_group("select 1") == -1);
}

// Guards against a start with a configuration that fails later.
TEST_CASE("the error for an invalid configuration is a single line") {
  const json good = config("127.0.0.1:9", json::array());
  for (const char* field : {"settings", "coordinator", "listen", "limits"}) {
    json bad = good;
    bad.erase(field);
    try {
      ConfigFile(bad).read();
      FAIL("was accepted without " << field);
    } catch (const std::exception& fault) {
      CHECK(std::string(fault.what()).find('\n') == std::string::npos);
    }
  }
}

namespace {

using rc::gen::inRange;

// Makes an optional field of the settings absent, null or present.
void set_optional(json& object, const char* field, const json& value) {
  const int kind = *inRange(0, 4);
  if (kind == 0) object.erase(field);
  if (kind == 1) object[field] = nullptr;
  if (kind > 1) object[field] = value;
}

json name_list(const char* stem, int count) {
  json list = json::array();
  for (int i = 0; i < count; ++i) list.push_back(stem + std::to_string(i));
  return list;
}

json random_rows(int count, int zones, int kinds) {
  const std::vector<json> states = {"active", "active", "active", "leaving", "left", "asleep", nullptr};
  json rows = json::array();
  for (int i = 0; i < count; ++i) {
    json one = row(*inRange(0, 2 * count), "127.0.0.1:" + std::to_string(*inRange(1, 20)));
    one["zone"] = "zone" + std::to_string(*inRange(0, zones + 1));
    one["type"] = "kind" + std::to_string(*inRange(0, kinds + 1));
    one["status"] = *rc::gen::elementOf(states);
    set_optional(one, "group", *inRange(-5, 5));
    set_optional(one, "weight", *inRange(0, 100) / 10.0);
    set_optional(one, "since_ms",
                 *rc::gen::elementOf(std::vector<json>{0, 1796164215140, 1.79616421514e12, -1, "x"}));
    if (*inRange(0, 20) == 0)
      one.erase(*rc::gen::elementOf(std::vector<std::string>{"name", "address", "zone"}));
    rows.push_back(one);
  }
  return rows;
}

json random_config(const std::string& directory, int zones, int kinds, json rows) {
  json config_json = config(directory, std::move(rows));
  config_json["limits"] = {
      {"cores", *inRange(1, 40) / 10.0}, {"memory_mb", *inRange(8, 192)}, {"sockets", *inRange(8, 1024)}};
  json& settings = config_json["settings"];
  settings["balancers"] = *inRange(1, 2000), settings["rank"] = *inRange(0, 2000);
  settings["localities"] = name_list("zone", zones),
  settings["locality"] = "zone" + std::to_string(*inRange(0, zones));
  settings["host_types"] = name_list("kind", kinds);
  const std::vector<std::string> effects = {"repeatable", "by_key", "once"}, scopes = {"all", "zone", "cell"};
  for (json& cls : settings["profiles"]) {
    cls["effect"] = *rc::gen::elementOf(effects);
    set_optional(cls, "aim_stretch", *inRange(0, 30) / 10.0);
    set_optional(cls, "late_share", *inRange(0, 11) / 10.0);
    set_optional(cls, "worth", *inRange(0, 20));
    set_optional(cls, "dedup_scope", *rc::gen::elementOf(scopes));
    set_optional(cls, "dedup_window_us", *inRange(0, 5'000'000));
    set_optional(cls, "confined_to", name_list("zone", *inRange(0, zones + 1)));
    set_optional(cls, "host_types_only", name_list("kind", *inRange(0, kinds + 1)));
  }
  json family_info = json::object();
  set_optional(family_info, "cores_by_kind",
               std::vector<int>(static_cast<std::size_t>(*inRange(0, kinds + 2)), *inRange(1, 64)));
  set_optional(family_info, "ram_of_kind_mb",
               std::vector<double>(static_cast<std::size_t>(*inRange(0, kinds + 2)), 32768.0));
  set_optional(family_info, "threads_by_class",
               std::vector<int>(static_cast<std::size_t>(*inRange(0, 4)), *inRange(1, 4)));
  set_optional(family_info, "class_load", std::vector<bool>{false, *inRange(0, 2) == 1});
  set_optional(family_info, "yields_to_loads", std::vector<bool>{*inRange(0, 2) == 1});
  set_optional(family_info, "progress_us", *inRange(0, 500000));
  set_optional(family_info, "largest_share", *inRange(0, 11) / 10.0);
  set_optional(settings, "family_info", family_info);
  json tenants = json::array();
  for (int i = *inRange(0, 64); i > 0; --i)
    tenants.push_back({{"name", i == 1 ? "acme" : "team" + std::to_string(i)},
                       {"quota_rps", *inRange(0, 100)},
                       {"share", 0.1}});
  set_optional(settings, "customers", tenants);
  set_optional(settings, "reporting",
               {{"how", *rc::gen::elementOf(std::vector<std::string>{"piggyback", "pull", "silent"})}});
  set_optional(settings, "over_share_worth", *inRange(0, 11) / 10.0);
  set_optional(settings, "costs", {{"probe", 0.01}, {"cross_zone", nullptr}});
  for (const char* field : {"may_cancel", "may_probe", "retry_after"})
    set_optional(settings["limits"], field, *inRange(0, 2) == 1);
  set_optional(settings["limits"], "most_tries", *inRange(1, 8));
  set_optional(settings["limits"], "multiplex", *inRange(0, 100));
  set_optional(settings["limits"], "conn_idle_us", *inRange(0, 15'000'000));
  set_optional(settings["limits"], "connect_timeout_us", *inRange(0, 250'000));
  set_optional(settings["limits"], "max_retry_after_us", 1e6);
  set_optional(settings["rules"], "cold_from", *inRange(0, 11) / 10.0);
  set_optional(settings["rules"], "cold_us", 15'000'000);
  set_optional(settings["rules"], "overload_factor", 4.0);
  set_optional(settings["rules"], "fall_us", 1.5e6);
  set_optional(settings["rules"], "extra_ratio", *inRange(0, 10) / 10.0);
  set_optional(settings["rules"], "free_resends", *inRange(0, 5));
  set_optional(settings["rules"], "look_back_us", 1'000'000);
  return config_json;
}

}  // namespace

// Guards against settings or lists of an unusual shape that end the start, an event loop iteration or an
// event with an exception.
TEST_CASE(
    "with settings and lists of any shape it starts, answers, applies updates and breaks no invariant") {
  rc::prop("settings and lists", [] {
    asio::io_context io;
    Listener directory(io);
    const int zones = *inRange(1, 16), kinds = *inRange(1, 12);
    const ConfigFile file(
        random_config(address(directory.acceptor), zones, kinds, random_rows(*inRange(0, 60), zones, kinds)));
    Server server(file.read());
    server.start();
    tcp::socket socket(io);
    socket.connect(server.endpoint());
    Peer client(std::move(socket));
    for (int call = 0; call < 6; ++call)
      client.write(
          query(call, "00000000000000f" + std::to_string(call), call % 2 == 0 ? "lookup" : "load", "900"));
    const auto end = std::chrono::steady_clock::now() + kHangTimeout;
    const auto run_until = [&](const std::function<bool()>& condition) {
      while (!condition() && std::chrono::steady_clock::now() < end)
        server.io().run_for(std::chrono::milliseconds(1));
      RC_ASSERT(condition());
    };
    const std::string follow = "follow 1\n";
    run_until([&] { return directory.has(0, follow); });
    directory.peer(0)->write(
        event(2, random_rows(*inRange(0, 60), zones, kinds), *inRange(0, 2) == 1).dump() + "\n2\n");
    run_until([&] { return server.last_list_event() == 2; });
    directory.peer(0)->write(event(3, random_rows(*inRange(0, 5), zones, kinds), true).dump() + "\n3\n");
    run_until([&] { return server.last_list_event() == 3; });
    // Every request is answered within its limit.
    run_until([&] {
      return client.read(), std::count(client.received.begin(), client.received.end(), '\x80') >= 6;
    });
    RC_ASSERT(server.broken_invariants() == 0u);
  });
}

namespace {

// How often engines have been told to run that request.
std::size_t run_count(Fixture& fixture, const std::string& id) {
  std::size_t count = 0;
  for (const auto& engine : fixture.engines) {
    engine->poll();
    for (const auto& peer : engine->peers)
      for (std::size_t at = 0; (at = peer->read().find("serve " + id, at)) != std::string::npos; ++at)
        ++count;
  }
  return count;
}

}  // namespace

// Guards against a load that runs twice because its client leaves and comes back with it while it runs.
TEST_CASE("a load whose client has left does not run again when its id comes on another connection") {
  Fixture fixture(2);
  auto client = fixture.client();
  client->write(query(1, kId, "load"));
  fixture.run_until([&] { return run_count(fixture, kId) == 1; });
  client->close();
  fixture.run_until([&] {
    return std::any_of(fixture.engines.begin(), fixture.engines.end(),
                       [](const auto& engine) { return engine->has(0, "cancel " + kId); });
  });
  const auto again = fixture.client();
  again->write(query(1, kId, "load"));
  CHECK(fixture.answer(*again).field == 2);
  CHECK(run_count(fixture, kId) == 1);
}

// Guards against a load that is lost because its id counts as run although nothing was ever sent.
TEST_CASE("a load that was taken back before it was sent runs when its id comes again") {
  Fixture fixture(1);
  const auto client = fixture.client();
  client->write(query(1, kId, "load") + interrupt(1) + query(2, kId, "load"));
  fixture.answer(*client);  // the id is still in use: both are in one read
  client->write(query(3, kId, "load"));
  fixture.run_until([&] { return run_count(fixture, kId) == 1; });
  for (const auto& peer : fixture.engines[0]->peers)
    if (peer->has("serve " + kId)) peer->write(ack(kId, "x\t\t\n"));
  CHECK(fixture.answer(*client).field == 0);
}

// Guards against calls of very many fields that take the time of all other clients.
TEST_CASE("a call with very many fields is answered without reading them, and its connection stays") {
  constexpr int kManyFields = 20'000;
  Fixture fixture(1);
  const auto client = fixture.client();
  client->write(execute(1, std::vector<std::pair<std::string, std::string>>(kManyFields, {"a", "b"})));
  const Reply reply = fixture.answer(*client);
  CHECK(reply.call == 1);
  CHECK(reply.field == 2);
  CHECK(reply.rest.find("too many fields") != std::string::npos);
  client->write(kCheckCall);
  CHECK(fixture.answer(*client).call == 50);
}
