// Stories of the real coordinator over loopback sockets, against scripted clients, engines and a directory.
#include <rapidcheck/catch.h>

#include <csignal>
#include <set>

#include "net/engine_line.h"
#include "net/statement.h"
#include "net_world.h"

using namespace story;

// Guards against a result put together in the order in which its pages came.
TEST_CASE("pages that come out of order are passed on in order and unchanged") {
  World w(1);
  const auto client = w.client();
  client->write(query(1, kId));
  w.until([&] { return w.engines[0]->has(0, "serve " + kId); });
  Peer& engine = *w.engines[0]->peer(0);
  engine.write(ack(kId, "a\tb\tc\n", 3));
  w.until([&] { return engine.has("read " + kId + " 1\r\n") && engine.has("read " + kId + " 2\r\n"); });
  engine.write(block(kId, "2\t\t\r\n", 2));
  engine.write(block(kId, "1\t\t\n", 1));
  const Told told = w.answer(*client);
  CHECK(told.field == 0);
  CHECK(told.rest.find("a\tb\tc\n1\t\t\n2\t\t\r\n") != std::string::npos);
}

// Guards against pages lost after ACK being counted as served, and against a load that runs twice for them.
TEST_CASE("a load whose pages are lost has failed and is not sent again") {
  World w(2);
  const auto client = w.client();
  client->write(query(1, kId, "load"));
  std::size_t at = 0;
  w.until([&] {
    for (at = 0; at < 2; ++at)
      if (w.engines[at]->has(0, "serve " + kId)) return true;
    return false;
  });
  Peer& engine = *w.engines[at]->peer(0);
  engine.write(ack(kId, "a\t\t\n", 2));
  w.until([&] { return engine.has("read " + kId + " 1\r\n"); });
  engine.close();
  CHECK(w.answer(*client).field == 2);
  CHECK_FALSE(w.engines[1 - at]->has(0, "serve"));
}

// Guards against an answer to a cancelled attempt that crosses the second attempt at the same engine, and
// against a second attempt that leaves before the cancel of the first.
TEST_CASE("the late answer of a cancelled attempt never counts for the next one") {
  World w(1);
  const auto client = w.client();
  client->write(query(1, kId, "lookup", "2500"));
  w.until([&] {
    // The engine is there, and its connection goes on being used: only the answer is late.
    if (w.engines[0]->has(0, "serve "))
      w.engines[0]->peer(0)->write(kId + " EVENT why=pct,reading=0.9 0\r\n\r\n");
    return w.engines[0]->has(1, "serve " + kId);
  });
  CHECK(w.engines[0]->has(0, "cancel " + kId));
  w.engines[0]->peer(0)->write(ack(kId, "old\t\t\n"));
  w.engines[0]->peer(1)->write(ack(kId, "new\t\t\n"));
  const Told told = w.answer(*client);
  CHECK(told.field == 0);
  CHECK(told.rest.find("new") != std::string::npos);
}

// Guards against an id that is forgotten with the first late answer: the second one would end a later
// attempt.
TEST_CASE(
    "a connection on which a request was called off never carries it again, whatever still comes there") {
  World w(1, [](json& from) { from["settings"]["limits"]["most_tries"] = 5; });
  const auto client = w.client();
  client->write(query(1, kId, "lookup", "4000"));
  w.until([&] {
    if (w.engines[0]->has(0, "serve "))
      w.engines[0]->peer(0)->write(kId + " EVENT why=pct,reading=0.9 0\r\n\r\n");
    return w.engines[0]->has(1, "serve " + kId);
  });
  Peer& called_off = *w.engines[0]->peer(0);
  called_off.write(kId + " EIO - 0\r\n\r\n");
  // Answered behind the late error, and so read behind it.
  client->write(query(2, "00000000000000a2"));
  w.until([&] { return w.engines[0]->has(0, "serve 00000000000000a2"); });
  called_off.write(ack("00000000000000a2", "x\t\t\n"));
  CHECK(w.answer(*client).call == 2);
  w.engines[0]->peer(1)->close();
  w.until(
      [&] { return w.engines[0]->has(2, "serve " + kId) || called_off.read().rfind("serve " + kId) > 0; });
  CHECK(called_off.in.find("serve " + kId) == called_off.in.rfind("serve " + kId));
  w.until([&] { return w.engines[0]->has(2, "serve " + kId); });
  w.engines[0]->peer(2)->write(ack(kId, "new\t\t\n"));
  CHECK(w.answer(*client).rest.find("new") != std::string::npos);
}

// Guards against a next attempt that overtakes the close of the connection which gave up the one before.
TEST_CASE(
    "an attempt on a connection closed for a spoilt answer begins anew once its engine must have heard") {
  World w(2, [](json& from) { from["settings"]["balancers"] = 300; });
  const auto client = w.client();
  // Light ones: where coordinators are many they share a connection.
  const std::string ids[] = {"00000000000000d0", "00000000000000d1", "00000000000000d2", "00000000000000d3"};
  for (int i = 0; i < 4; ++i)
    client->write(execute(i, {{"txn", ids[i]}, {"verb", "lookup"}, {"limit", "9000"}, {"cpu", "1"}}));
  const auto sent = [&] {
    std::size_t count = 0;
    for (const auto& engine : w.engines) {
      engine->poll();
      for (const auto& peer : engine->peers)
        for (const std::string& id : ids) count += peer->has("serve " + id);
    }
    return count;
  };
  w.until([&] { return sent() == 4; });
  const std::size_t shared = w.engines[0]->peer(0) != nullptr ? 0 : 1;
  const auto spoilt = std::chrono::steady_clock::now();
  w.engines[shared]->peer(0)->write("what?\r\n");
  w.until([&] { return sent() > 4; });
  // Not less than the start of a cancel, and not so much that the attempts have merely run out of time.
  const auto waited = std::chrono::steady_clock::now() - spoilt;
  CHECK(waited >= std::chrono::milliseconds(100));
  CHECK(waited < std::chrono::seconds(3));
  CHECK(w.engines[shared]->peer(0)->ended());
}

// Guards against a next attempt beside one that the process before a restart, or at another address, still
// runs.
TEST_CASE(
    "an attempt at an engine that is listed with a later start begins anew once its engine must have heard") {
  World w(1);
  const auto client = w.client();
  client->write(query(1, kId));
  w.until([&] { return w.engines[0]->has(0, "serve " + kId) && w.directory.has(0, "follow 1\n"); });
  json again = row(0, address(w.engines[0]->acceptor));
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  again["since_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  const auto told = std::chrono::steady_clock::now();
  w.directory.peer(0)->write(event(2, {again}, false).dump() + "\n2\n");
  w.until([&] { return w.engines[0]->has(1, "serve " + kId); });
  const auto waited = std::chrono::steady_clock::now() - told;
  CHECK(waited >= std::chrono::milliseconds(100));
  CHECK(waited < std::chrono::seconds(3));
  CHECK((w.engines[0]->peer(0)->read(), w.engines[0]->peer(0)->ended()));
}

// Guards against a load given up although a refused connection proves that it never ran.
TEST_CASE("a load goes on to another engine where the first one refuses the connection") {
  World w(2);
  w.engines[0]->acceptor.close();
  const auto client = w.client();
  for (int i = 0; i < 4; ++i) {
    const std::string id = "00000000000000b" + std::to_string(i);
    client->write(query(i, id, "load"));
    w.until([&] { return w.engines[1]->has(0, "serve " + id); });
    w.engines[1]->peer(0)->write(ack(id, "x\t\t\n"));
    CHECK(w.answer(*client).field == 0);
  }
}

// Guards against sends to an engine after the news that it drains.
TEST_CASE("an engine that drains gets nothing new, and a refusal is at once and says when to come back") {
  World w(1);
  const auto client = w.client();
  w.until([&] { return w.directory.has(0, "follow 1\n"); });
  w.directory.peer(0)->write(event(2, {row(0, address(w.engines[0]->acceptor), "leaving")}, false).dump() +
                             "\n2\n");
  for (int call = 0;; ++call) {
    std::string id = "00000000000000c0";
    id.back() = static_cast<char>('0' + call % 10);
    client->write(query(call, id));
    bool served = false;
    w.until([&] {
      served = w.engines[0]->has(0, "serve " + id);
      return served || !client->read().empty();
    });
    if (served) w.engines[0]->peer(0)->write(ack(id, "x\t\t\n"));
    const Told told = w.answer(*client);
    if (served) continue;
    CHECK(told.field == 1);
    CHECK(told.rest.find("later") != std::string::npos);
    CHECK(told.rest.find("700") != std::string::npos);
    break;
  }
}

// Guards against events that are lost with a connection, and a bad line that stops the list for good.
TEST_CASE("the directory is followed anew from the last event after a bad line") {
  World w(1);
  w.until([&] { return w.directory.has(0, "follow 1\n"); });
  w.directory.peer(0)->write(event(2, {row(0, address(w.engines[0]->acceptor))}, false).dump() +
                             "\n{\"index\":\n");
  w.until([&] { return w.directory.has(1, "follow 2\n"); });
}

// Guards against a list row of an unknown zone, kind or state that keeps the program from starting, and
// against drains that are never heard of because a row before them stops the stream.
TEST_CASE("a row that cannot be understood is left out, in the saved list, a whole one and a change") {
  const std::vector<std::pair<const char*, json>> faults = {
      {"zone", "nowhere"},  {"type", "unheard-of"}, {"status", "asleep"}, {"address", "no address"},
      {"address", nullptr}, {"weight", "heavy"},    {"name", 7},          {"name", ""}};
  const auto spoilt = [&] {
    json rows = {nullptr, "row", json::object()};
    for (std::size_t i = 0; i < faults.size(); ++i) {
      json bad = row(90 + static_cast<int>(i), "127.0.0.1:9");
      bad[faults[i].first] = faults[i].second;
      rows.push_back(bad);
    }
    return rows;
  };
  World w(2, [&](json& from) {
    json& rows = from["known"]["updates"][0]["endpoints"]["endpoints"];
    json mixed = spoilt();
    mixed.insert(mixed.end(), rows.begin(), rows.end());
    rows = mixed;
  });
  const auto client = w.client();
  int calls = 0;
  // Served by this engine, as no other is left.
  const auto only = [&](std::size_t engine) {
    const std::string id = "00000000000000d" + std::to_string(calls);
    client->write(query(++calls, id));
    w.until([&] { return w.engines[engine]->has(0, "serve " + id); });
    w.engines[engine]->peer(0)->write(ack(id, "x\t\t\n"));
    CHECK(w.answer(*client).field == 0);
  };
  w.until([&] { return w.directory.has(0, "follow 1\n"); });
  // One that goes does so, whatever else is wrong with its row.
  json going = row(0, address(w.engines[0]->acceptor), "leaving");
  going["zone"] = "nowhere", going["type"] = nullptr;
  json change = spoilt();
  change.push_back(going);
  w.directory.peer(0)->write(event(2, change, false).dump() + "\n");
  w.until([&] { return w.server->listed() == 2; });
  only(1);
  json whole = spoilt();
  whole.push_back(row(0, address(w.engines[0]->acceptor)));
  w.directory.peer(0)->write(event(3, whole, true).dump() + "\n3\n");
  w.until([&] { return w.server->listed() == 3; });
  only(0);
  CHECK(w.directory.peer(1) == nullptr);
}

// Guards against a line that never comes right, and everything behind it that is then never heard of.
TEST_CASE("an event that cannot be read when asked for again is passed over") {
  World w(1);
  const std::string bad = "{\"index\":2,\"endpoints\":null}\n";
  for (std::size_t life = 0; life < 3; ++life) {
    w.until([&] { return w.directory.has(life, "follow 1\n"); });
    w.directory.peer(life)->write(bad + "2\n");
  }
  w.directory.peer(2)->write(event(3, {row(0, address(w.engines[0]->acceptor))}, false).dump() + "\n");
  w.until([&] { return w.server->listed() == 3; });
  w.directory.peer(2)->close();
  w.until([&] { return w.directory.has(3, "follow 3\n"); });
}

// Guards against a start that fails for its saved list, which the stream tells anyway.
TEST_CASE("a saved list that is empty, or cannot be read, is no reason not to start") {
  for (const json& known :
       {json{{"index", 0}, {"updates", json::array()}}, json(nullptr), json{{"index", "x"}},
        json{{"index", 1}, {"updates", {{{"index", 1}, {"endpoints", nullptr}}}}}}) {
    World w(1, [&](json& from) { from["known"] = known; });
    w.until([&] { return w.directory.has(0, "follow 0\n"); });
    w.directory.peer(0)->write(event(1, {row(0, address(w.engines[0]->acceptor))}, true).dump() + "\n1\n");
    w.until([&] { return w.server->listed() == 1; });
    const auto client = w.client();
    client->write(query(1, kId));
    w.until([&] { return w.engines[0]->has(0, "serve " + kId); });
    w.engines[0]->peer(0)->write(ack(kId, "x\t\t\n"));
    CHECK(w.answer(*client).field == 0);
  }
}

// Guards against one client's bad bytes that end another client's connection.
TEST_CASE("a bad frame closes its own connection alone") {
  World w(1);
  const auto good = w.client();
  for (const std::string& bad :
       {std::string("\xff\xff\xff\xff"), std::string("\x7f\0\0\0", 4), text("GET / HTTP"),
        text(number(0x80020001u) + text("check") + number(1) + '\0')}) {
    const auto rude = w.client();
    rude->write(bad);
    w.until([&] { return rude->read(), rude->ended(); });
  }
  good->write(kCheck);
  const Told told = w.answer(*good);
  CHECK(told.call == 50);
  CHECK(told.rest.substr(told.rest.size() - 3, 1) == std::string(1, '\1'));
}

// Guards against clients that hold connections and ask nothing: good ones would wait behind them for good.
TEST_CASE("mute connections keep nobody out, and none with a request open is closed for them") {
  World w(1, [](json& from) { from["limits"]["sockets"] = 64; });
  const auto waiting = w.client();
  waiting->write(query(1, kId));
  w.until([&] { return w.engines[0]->has(0, "serve " + kId); });
  std::vector<std::unique_ptr<Peer>> mute;
  for (int i = 0; i < 100; ++i) mute.push_back(w.client());
  const auto good = w.client();
  good->write(kCheck);
  CHECK(w.answer(*good).call == 50);
  w.engines[0]->peer(0)->write(ack(kId, "x\t\t\n"));
  CHECK(w.answer(*waiting).field == 0);
}

// Guards against descriptors held for good by clients that say nothing, half a thing, or once something.
TEST_CASE("a connection is closed that is mute, stops within a frame, or stays idle") {
  World w(1);
  const auto mute = w.client();
  const auto half = w.client();
  half->write(kCheck.substr(0, 9));
  const auto keeper = w.client();
  keeper->write(kCheck);
  CHECK(w.answer(*keeper).call == 50);
  for (const auto& client : {mute.get(), half.get(), keeper.get()})
    w.until([&] { return client->read(), client->ended(); });
}

// Guards against silence, or a closed connection, where a request can be read but not used.
TEST_CASE("what cannot be used is answered failed, an unknown method with an exception") {
  World w(1);
  const auto client = w.client();
  client->write(frame(1, "fly", 7, std::string(1, '\0')));
  Told told = w.answer(*client);
  CHECK(told.kind == 3);
  CHECK(told.call == 7);
  client->write(query(8, "nonsense") + query(9, kId, "dance") + query(10, kId, "lookup", "-4") +
                execute(11, {{"txn", kId}}));
  for (int call = 8; call <= 11; ++call) {
    told = w.answer(*client);
    CHECK(told.call == call);
    CHECK(told.field == 2);
  }
}

// Guards against figures that would spoil what the module learns, or end an engine's connection.
TEST_CASE("a request out of the settings' bounds is answered failed and reaches no engine") {
  World w(1, [](json& from) {
    from["settings"]["customers"] = {{{"name", "acme"}, {"share", 1.0}}};
    from["settings"]["family_info"]["ram_of_kind_mb"] = {32768.0};
  });
  const auto client = w.client();
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
    CHECK(w.answer(*client).field == 2);
  }
  client->write(execute(6, good));
  w.until([&] { return w.engines[0]->has(0, "serve " + kId); });
  CHECK(w.engines[0]->peer(0)->in.find("serve ") == w.engines[0]->peer(0)->in.rfind("serve "));
}

// Guards against work for a client that has gone, and an answer that nobody is owed.
TEST_CASE("an interrupted request is cancelled at its engine and not answered") {
  World w(1);
  const auto client = w.client();
  client->write(query(1, kId));
  w.until([&] { return w.engines[0]->has(0, "serve " + kId); });
  client->write(interrupt(1));
  w.until([&] { return w.engines[0]->has(0, "cancel " + kId); });
  client->write(kCheck);
  CHECK(w.answer(*client).call == 50);
  CHECK(client->in.empty());
}

// Guards against an engine's garbage that is taken for an answer: its attempts end, and may go elsewhere.
TEST_CASE("an unreadable line drops the engine's connection and its attempts") {
  World w(1);
  const auto client = w.client();
  client->write(query(1, kId));
  w.until([&] { return w.engines[0]->has(0, "serve " + kId); });
  w.engines[0]->peer(0)->write(kId + " HUH - 0\r\n\r\n");
  w.until([&] { return w.engines[0]->has(1, "serve " + kId); });
  CHECK((w.engines[0]->peer(0)->read(), w.engines[0]->peer(0)->ended()));
  w.engines[0]->peer(1)->write(ack(kId, "x\t\t\n"));
  CHECK(w.answer(*client).field == 0);
}

// Guards against good answers lost with a connection on which more came than belongs there.
TEST_CASE("copies, and answers under unknown, unreadable or finished ids, cost nobody a connection") {
  World w(1);
  const auto client = w.client();
  client->write(query(1, kId, "load"));
  w.until([&] { return w.engines[0]->has(0, "serve " + kId); });
  Peer& engine = *w.engines[0]->peer(0);
  const std::string first = ack(kId, "a\t\t\n", 2), last = block(kId, "b\t\t\n", 1);
  engine.write(ack("00000000000000ff", "z\t\t\n") + ack("what?", "z\t\t\n") + "probe77 READY - 0\r\n\r\n" +
               first + first);
  w.until([&] { return engine.has("read " + kId + " 1\r\n"); });
  engine.write(last + last + first);
  const Told told = w.answer(*client);
  CHECK(told.field == 0);
  CHECK(told.rest.find("a\t\t\nb\t\t\n") != std::string::npos);
  CHECK(told.rest.find('z') == std::string::npos);
  client->write(query(2, "00000000000000a2"));
  w.until([&] { return w.engines[0]->has(0, "serve 00000000000000a2"); });
}

// Guards against a spoilt answer that is served, a load that runs twice for one, and a wait for the rest of
// one.
TEST_CASE("a spoilt answer is never served, and a load is not repeated for it") {
  const std::string rows = "a\tb\n";  // two columns
  const auto spoil = GENERATE_COPY(
      ack(kId, rows), ack(kId, std::string(6001, 'x')), kId + " ACK - 6\r\na\tb\tc\n\r\n",
      kId + " ACK count=1 3000000000\r\n", kId + " ACK count=1 900\r\na\tb\tc\n\r\n", kId + " ACK cou",
      ack(kId, "a\t\t\n", 2) + block(kId, rows, 1), ack(kId, "a\t\t\n", 2) + block(kId, "b\t\t\n", 7),
      ack(kId, "a\t\t\n", 2), ack(kId, "a\t\t\n", 2) + kId + " AGAIN - 0\r\n\r\n");
  World w(1);
  const auto client = w.client();
  const auto from = std::chrono::steady_clock::now();
  client->write(query(1, kId, "load", "20000"));
  w.until([&] { return w.engines[0]->has(0, "serve " + kId); });
  w.engines[0]->peer(0)->write(spoil);
  CHECK(w.answer(*client).field == 2);
  CHECK(std::chrono::steady_clock::now() - from < std::chrono::seconds(10));
  client->write(query(2, "00000000000000a2"));
  w.until([&] { return w.engines[0]->has(1, "serve 00000000000000a2"); });
  CHECK_FALSE(w.engines[0]->peer(1)->has("serve " + kId));
}

// Guards against one broken connection that ends requests which had nothing to do with it.
TEST_CASE("a reset costs the one attempt on its connection") {
  World w(1);
  const auto client = w.client();
  const std::string other = "00000000000000a2";
  client->write(query(1, kId, "load") + query(2, other, "load"));
  w.until([&] { return w.engines[0]->has(0, "serve ") && w.engines[0]->has(1, "serve "); });
  const std::size_t first = w.engines[0]->has(0, kId) ? 0 : 1;
  w.engines[0]->peer(first)->close();
  const Told failed = w.answer(*client);
  CHECK(failed.call == 1);
  CHECK(failed.field == 2);
  w.engines[0]->peer(1 - first)->write(ack(other, "x\t\t\n"));
  const Told served = w.answer(*client);
  CHECK(served.call == 2);
  CHECK(served.field == 0);
}

// Guards against a connection for each attempt of hundreds of coordinators, against engines that hold few;
// and against a load that is lost with what another query has spoilt.
TEST_CASE("where coordinators are many, what may run again shares connections, and a load has its own") {
  World w(1, [](json& from) { from["settings"]["balancers"] = 300; });
  const auto client = w.client();
  const auto light = [](int call, const std::string& id, const std::string& verb) {
    return execute(call, {{"txn", id}, {"verb", verb}, {"limit", "9000"}, {"cpu", "1"}});
  };
  for (int i = 0; i < 3; ++i) client->write(light(i, "00000000000000d" + std::to_string(i), "lookup"));
  w.until([&] {
    return w.engines[0]->has(0, "serve 00000000000000d0") && w.engines[0]->has(0, "serve 00000000000000d1") &&
           w.engines[0]->has(0, "serve 00000000000000d2");
  });
  client->write(light(3, kId, "load"));
  w.until([&] { return w.engines[0]->has(1, "serve " + kId); });
  client->write(light(4, "00000000000000d4", "lookup"));
  w.until([&] { return w.engines[0]->has(0, "serve 00000000000000d4"); });
  CHECK(w.engines[0]->peer(2) == nullptr);
  for (const char* id : {"00000000000000d0", "00000000000000d1", "00000000000000d2", "00000000000000d4"})
    w.engines[0]->peer(0)->write(ack(id, "x\t\t\n"));
  w.engines[0]->peer(1)->write(ack(kId, "x\t\t\n"));
  for (int i = 0; i < 5; ++i) CHECK(w.answer(*client).field == 0);
}

// Guards against a connection on which an answer was swallowed: the next request on it would wait as well.
TEST_CASE("an attempt that falls silent begins anew, and its connection is not used again") {
  World w(1, [](json& from) { from["settings"]["family_info"]["progress_us"] = 500000; });
  const auto client = w.client();
  const auto from = std::chrono::steady_clock::now();
  const std::string other = "00000000000000a2";
  client->write(query(1, kId, "lookup", "20000") + query(2, other, "lookup", "20000"));
  w.until([&] { return w.engines[0]->has(0, "serve ") && w.engines[0]->has(1, "serve "); });
  const std::size_t silent = w.engines[0]->has(0, "serve " + kId) ? 0 : 1;
  w.until([&] {
    w.engines[0]->peer(1 - silent)->write(other + " EVENT why=pct,reading=0.9 0\r\n\r\n");
    return w.engines[0]->has(2, "serve " + kId);
  });
  CHECK(std::chrono::steady_clock::now() - from < std::chrono::seconds(8));
  w.until([&] { return w.engines[0]->peer(silent)->read(), w.engines[0]->peer(silent)->ended(); });
  w.engines[0]->peer(2)->write(ack(kId, "x\t\t\n"));
  CHECK(w.answer(*client).field == 0);
}

// Guards against requests lost at a planned restart.
TEST_CASE("after SIGTERM check is false, new connections are served, and the end waits for the last answer") {
  World w(1);
  const auto client = w.client();
  client->write(query(1, kId));
  w.until([&] { return w.engines[0]->has(0, "serve " + kId); });
  w.server->stop();
  const auto late = w.client();
  late->write(kCheck + query(2, "00000000000000a2"));
  const Told told = w.answer(*late);
  CHECK(told.rest.substr(told.rest.size() - 3, 1) == std::string(1, '\0'));
  w.until([&] { return w.engines[0]->has(1, "serve 00000000000000a2"); });
  CHECK_FALSE(w.server->io().stopped());
  w.engines[0]->peer(1)->write(ack("00000000000000a2", "x\t\t\n"));
  w.engines[0]->peer(0)->write(ack(kId, "x\t\t\n"));
  CHECK(w.answer(*late).field == 0);
  CHECK(w.answer(*client).field == 0);
  w.until([&] { return w.server->io().stopped(); });
}

// Guards against attempts that are cut off because a whole list names their engine no more: it may finish
// them.
TEST_CASE("an engine that a whole list leaves out finishes what it has") {
  World w(2);
  const auto client = w.client();
  client->write(query(1, kId, "load"));
  std::size_t at = 0;
  w.until([&] {
    for (at = 0; at < 2; ++at)
      if (w.engines[at]->has(0, "serve " + kId)) return true;
    return false;
  });
  w.until([&] { return w.directory.has(0, "follow 1\n"); });
  const int other = at == 0 ? 1 : 0;
  w.directory.peer(0)->write(event(2, {row(other, address(w.engines[1 - at]->acceptor))}, true).dump() +
                             "\n2\n");
  w.until([&] { return w.server->listed() == 2; });
  w.engines[at]->peer(0)->write(ack(kId, "x\t\t\n"));
  CHECK(w.answer(*client).field == 0);
}

// Guards against engines that are held for unreachable because idle connections to others take all the
// places.
TEST_CASE("more engines than connections: what lies idle makes room") {
  World w(40, [](json& from) {
    from["limits"]["sockets"] = 64;
    from["settings"]["limits"]["most_tries"] = 1;
  });
  const auto client = w.client();
  std::set<std::size_t> used;
  for (int call = 0; call < 200; ++call) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", call + 1);
    client->write(query(call, id));
    w.until([&] {
      for (std::size_t i = 0; i < w.engines.size(); ++i) {
        w.engines[i]->poll();
        for (const auto& peer : w.engines[i]->peers) {
          if (!peer->has("serve " + std::string(id))) continue;
          peer->in.clear();
          peer->write(ack(id, "x\t\t\n"));
          used.insert(i);
        }
      }
      return !client->read().empty();
    });
    REQUIRE(w.answer(*client).field == 0);
  }
  CHECK(used.size() > 30);
}

// Guards against a process that is killed with requests that it took and never answered.
TEST_CASE("what cannot end before the kill that follows SIGTERM is answered, and the process ends") {
  World w(2);
  const auto client = w.client();
  const std::string load = "00000000000000a2";
  client->write(query(1, kId) + query(2, load, "load"));
  const auto out = [&](const std::string& text) {
    return std::any_of(w.engines.begin(), w.engines.end(), [&](const auto& engine) {
      engine->poll();
      return std::any_of(engine->peers.begin(), engine->peers.end(),
                         [&](const auto& peer) { return peer->has(text); });
    });
  };
  w.until([&] { return out("serve " + kId) && out("serve " + load); });
  const auto start = std::chrono::steady_clock::now();
  w.server->stop();
  std::map<int, int> fields;
  for (int i = 0; i < 2; ++i) {
    const Told told = w.answer(*client);
    fields[told.call] = told.field;
  }
  CHECK(fields[1] == 1);  // may come again
  CHECK(fields[2] == 2);  // a load may have run
  w.until([&] { return w.server->io().stopped(); });
  const auto took = std::chrono::steady_clock::now() - start;
  CHECK(took > std::chrono::milliseconds(3000));
  CHECK(took < std::chrono::seconds(7));  // and not the 9 s that the requests have
}

// Guards against the time-outs of a request that has long been answered, for a new one under its id.
TEST_CASE("an id that comes again after its answer has its own time") {
  World w(1);
  const auto client = w.client();
  client->write(query(1, kId, "load", "1000"));
  w.until([&] { return w.engines[0]->has(0, "serve " + kId); });
  const auto start = std::chrono::steady_clock::now();
  w.engines[0]->peer(0)->write(ack(kId, "x\t\t\n"));
  CHECK(w.answer(*client).field == 0);
  w.engines[0]->peer(0)->in.clear();
  client->write(query(2, kId, "load", "9000"));
  w.until([&] { return w.engines[0]->has(0, "serve " + kId); });
  w.until([&] { return std::chrono::steady_clock::now() - start > std::chrono::milliseconds(1300); });
  CHECK(client->read().empty());
  w.engines[0]->peer(0)->write(ack(kId, "y\t\t\n"));
  CHECK(w.answer(*client).field == 0);
}

// Guards against a program that SIGHUP ends, and against news that is missed because the directory has moved.
TEST_CASE("at SIGHUP the directory is followed at its new address, and open requests go on") {
  World w(1);
  Listener moved(w.io);
  const auto client = w.client();
  client->write(query(1, kId));
  w.until([&] { return w.engines[0]->has(0, "serve " + kId) && w.directory.has(0, "follow 1\n"); });
  w.file->write("{ no configuration");
  raise(SIGHUP);
  client->write(kCheck);
  CHECK(w.answer(*client).call == 50);
  json from = w.from;
  from["coordinator"] = address(moved.acceptor);
  w.file->write(from.dump());
  raise(SIGHUP);
  w.until([&] { return moved.has(0, "follow 1\n"); });
  CHECK((w.directory.peer(0)->read(), w.directory.peer(0)->ended()));
  w.engines[0]->peer(0)->write(ack(kId, "x\t\t\n"));
  CHECK(w.answer(*client).field == 0);
}

// Guards against drains heard of too late: a directory that stops without closing says nothing of it.
TEST_CASE("a silent directory is asked again within 4 s of its last word") {
  World w(1);
  w.until([&] { return w.directory.has(0, "follow 1\n"); });
  const auto from = std::chrono::steady_clock::now();
  w.until([&] { return w.directory.has(1, "follow 1\n"); });
  CHECK(std::chrono::steady_clock::now() - from < std::chrono::milliseconds(3200));
}

// Guards against an answer that is cut by the reads, at whatever byte.
TEST_CASE("an engine's answer is read once it is whole, and not before") {
  const std::string whole = kId + " ACK count=2,rep=util:0.61;inflight:7 3\r\na\r\n\r\n";
  EngineAnswer answer;
  std::size_t used = 0;
  for (std::size_t i = 0; i < whole.size(); ++i)
    CHECK(parse_answer(whole.substr(0, i), answer, used) == Parsed::kMore);
  const std::string more = whole + "next";
  REQUIRE(parse_answer(more, answer, used) == Parsed::kWhole);
  CHECK(used == whole.size());
  CHECK(answer.body == "a\r\n");
  CHECK(answer.count == 2);
  CHECK(answer.report.cpu_utilisation == 0.61);
  CHECK(answer.report.in_flight == 7.0);
  CHECK(parse_answer(kId + " ACK - x\r\n", answer, used) == Parsed::kBad);
  CHECK(parse_answer(kId + " ACK - 1\r\nab\r\n", answer, used) == Parsed::kBad);
}

// Guards against tables that grow with every engine that ever was.
TEST_CASE("the number of a forgotten engine goes to the next new one") {
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

// Guards against names in strings and comments, and the schema `staging`, that decide where a query goes.
TEST_CASE("the group of tables is the schema's number") {
  CHECK(table_group("SELECT n -- was: from mart_1.old\nFROM lake_10.stock") == 10);
  CHECK(table_group("select a.n, 'from lake_0.decoy' as note from sales_5.visits a") == 5);
  CHECK(table_group("merge into sales_6.orders d using staging.delta s on d.id = s.id") == 6);
  CHECK(table_group("/* ops_2.x */ insert into \"ops_3\".events select * from staging.delta") == 3);
  CHECK(table_group("select 1") == -1);
}

// Guards against a start with a configuration that would fail later.
TEST_CASE("a configuration that cannot be used is one plain line") {
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

// Any field that the settings need not hold is there, null or absent.
void optional(json& object, const char* field, const json& value) {
  const int kind = *inRange(0, 4);
  if (kind == 0) object.erase(field);
  if (kind == 1) object[field] = nullptr;
  if (kind > 1) object[field] = value;
}

json names(const char* stem, int count) {
  json list = json::array();
  for (int i = 0; i < count; ++i) list.push_back(stem + std::to_string(i));
  return list;
}

json any_rows(int count, int zones, int kinds) {
  const std::vector<json> states = {"active", "active", "active", "leaving", "left", "asleep", nullptr};
  json rows = json::array();
  for (int i = 0; i < count; ++i) {
    json one = row(*inRange(0, 2 * count), "127.0.0.1:" + std::to_string(*inRange(1, 20)));
    one["zone"] = "zone" + std::to_string(*inRange(0, zones + 1));
    one["type"] = "kind" + std::to_string(*inRange(0, kinds + 1));
    one["status"] = *rc::gen::elementOf(states);
    optional(one, "group", *inRange(-5, 5));
    optional(one, "weight", *inRange(0, 100) / 10.0);
    optional(one, "since_ms",
             *rc::gen::elementOf(std::vector<json>{0, 1796164215140, 1.79616421514e12, -1, "x"}));
    if (*inRange(0, 20) == 0)
      one.erase(*rc::gen::elementOf(std::vector<std::string>{"name", "address", "zone"}));
    rows.push_back(one);
  }
  return rows;
}

json any_config(const std::string& directory, int zones, int kinds, json rows) {
  json from = config(directory, std::move(rows));
  from["limits"] = {
      {"cores", *inRange(1, 40) / 10.0}, {"memory_mb", *inRange(8, 192)}, {"sockets", *inRange(8, 1024)}};
  json& s = from["settings"];
  s["balancers"] = *inRange(1, 2000), s["rank"] = *inRange(0, 2000);
  s["localities"] = names("zone", zones), s["locality"] = "zone" + std::to_string(*inRange(0, zones));
  s["host_types"] = names("kind", kinds);
  const std::vector<std::string> effects = {"repeatable", "by_key", "once"}, scopes = {"all", "zone", "cell"};
  for (json& cls : s["profiles"]) {
    cls["effect"] = *rc::gen::elementOf(effects);
    optional(cls, "aim_stretch", *inRange(0, 30) / 10.0);
    optional(cls, "late_share", *inRange(0, 11) / 10.0);
    optional(cls, "worth", *inRange(0, 20));
    optional(cls, "dedup_scope", *rc::gen::elementOf(scopes));
    optional(cls, "dedup_window_us", *inRange(0, 5'000'000));
    optional(cls, "confined_to", names("zone", *inRange(0, zones + 1)));
    optional(cls, "host_types_only", names("kind", *inRange(0, kinds + 1)));
  }
  json facts = json::object();
  optional(facts, "cores_by_kind",
           std::vector<int>(static_cast<std::size_t>(*inRange(0, kinds + 2)), *inRange(1, 64)));
  optional(facts, "ram_of_kind_mb",
           std::vector<double>(static_cast<std::size_t>(*inRange(0, kinds + 2)), 32768.0));
  optional(facts, "threads_by_class",
           std::vector<int>(static_cast<std::size_t>(*inRange(0, 4)), *inRange(1, 4)));
  optional(facts, "class_load", std::vector<bool>{false, *inRange(0, 2) == 1});
  optional(facts, "yields_to_loads", std::vector<bool>{*inRange(0, 2) == 1});
  optional(facts, "progress_us", *inRange(0, 500000));
  optional(facts, "largest_share", *inRange(0, 11) / 10.0);
  optional(s, "family_info", facts);
  json tenants = json::array();
  for (int i = *inRange(0, 64); i > 0; --i)
    tenants.push_back({{"name", i == 1 ? "acme" : "team" + std::to_string(i)},
                       {"quota_rps", *inRange(0, 100)},
                       {"share", 0.1}});
  optional(s, "customers", tenants);
  optional(s, "reporting",
           {{"how", *rc::gen::elementOf(std::vector<std::string>{"piggyback", "pull", "silent"})}});
  optional(s, "over_share_worth", *inRange(0, 11) / 10.0);
  optional(s, "costs", {{"probe", 0.01}, {"cross_zone", nullptr}});
  for (const char* field : {"may_cancel", "may_probe", "retry_after"})
    optional(s["limits"], field, *inRange(0, 2) == 1);
  optional(s["limits"], "most_tries", *inRange(1, 8));
  optional(s["limits"], "multiplex", *inRange(0, 100));
  optional(s["limits"], "conn_idle_us", *inRange(0, 15'000'000));
  optional(s["limits"], "connect_timeout_us", *inRange(0, 250'000));
  optional(s["limits"], "max_retry_after_us", 1e6);
  optional(s["rules"], "cold_from", *inRange(0, 11) / 10.0);
  optional(s["rules"], "cold_us", 15'000'000);
  optional(s["rules"], "overload_factor", 4.0);
  optional(s["rules"], "fall_us", 1.5e6);
  optional(s["rules"], "extra_ratio", *inRange(0, 10) / 10.0);
  optional(s["rules"], "free_resends", *inRange(0, 5));
  optional(s["rules"], "look_back_us", 1'000'000);
  return from;
}

}  // namespace

// Guards against a start, a turn or an event that a deployment of another shape ends with an exception.
TEST_CASE("settings and lists of any shape: it starts, answers, takes news and breaks no invariant") {
  rc::prop("settings and lists", [] {
    asio::io_context io;
    Listener directory(io);
    const int zones = *inRange(1, 16), kinds = *inRange(1, 12);
    const ConfigFile file(
        any_config(address(directory.acceptor), zones, kinds, any_rows(*inRange(0, 60), zones, kinds)));
    Server server(file.read());
    server.start();
    tcp::socket socket(io);
    socket.connect(server.endpoint());
    Peer client(std::move(socket));
    for (int call = 0; call < 6; ++call)
      client.write(
          query(call, "00000000000000f" + std::to_string(call), call % 2 == 0 ? "lookup" : "load", "900"));
    const auto end = std::chrono::steady_clock::now() + kGiveUp;
    const auto until = [&](const std::function<bool()>& happened) {
      while (!happened() && std::chrono::steady_clock::now() < end)
        server.io().run_for(std::chrono::milliseconds(1));
      RC_ASSERT(happened());
    };
    const std::string follow = "follow 1\n";
    until([&] { return directory.has(0, follow); });
    directory.peer(0)->write(event(2, any_rows(*inRange(0, 60), zones, kinds), *inRange(0, 2) == 1).dump() +
                             "\n2\n");
    until([&] { return server.listed() == 2; });
    directory.peer(0)->write(event(3, any_rows(*inRange(0, 5), zones, kinds), true).dump() + "\n3\n");
    until([&] { return server.listed() == 3; });
    // Every request is answered within its time.
    until([&] { return client.read(), std::count(client.in.begin(), client.in.end(), '\x80') >= 6; });
    RC_ASSERT(server.broken_invariants() == 0u);
  });
}
