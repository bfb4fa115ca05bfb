// Integration tests of the edge over loopback: devices on both fronts, connections that are cut, stalled or
// turned into black holes, and processes that are killed.
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>
#include <boost/beast/websocket/rfc6455.hpp>
#include <catch2/catch.hpp>

#include "standins/edge_client.h"
#include "standins/faulty_disk.h"
#include "standins/proxy.h"
#include "standins/site.h"

namespace {

using namespace steprail;
using namespace steprail::standin;
using Transport = EdgeClient::Transport;
using OutcomeKind = edge::Outcome::Status;
using std::chrono::milliseconds;

Site::Options site_options(const std::string& more = {}) {
  Site::Options options;
  options.script->rows = 300;
  options.script->row_bytes = 100;
  options.conf =
      "spool {\n  listen 127.0.0.1:0\n  memory 16m\n  result-most 4m\n}\n"
      "edge {\n  listen 127.0.0.1:0\n  home one\n  rate 100000\n  burst 1000\n" +
      more + "}\n";
  return options;
}

// With a durable ledger on the given disk.
Site::Options options_with_ledger_on(const std::shared_ptr<FaultyDisk>& disk) {
  Site::Options o = site_options("  ledger /unused 4m\n");
  o.ledger = [disk] { return disk->index(); };
  return o;
}

struct DeviceFixture {
  DeviceFixture(Site& site, const std::string& name, Transport transport = Transport::kWebSocketJson)
      : device("acme", name), client(site.io, device, site.server->edge_endpoint(), transport) {}
  const Device::Request& request(std::uint64_t key) const { return device.requests().at(key); }
  Device device;
  EdgeClient client;
};

// The engine sees the ids that the edge gives to requests, not the devices' keys, so runs are summed over all
// ids.
int total_runs(const Site& site) {
  int sum = 0;
  for (const auto& [_, runs] : *site.run_counts) sum += runs;
  return sum;
}
std::string last_request_id(const Site& site) {
  return site.run_counts->empty() ? "" : site.run_counts->rbegin()->first;
}

// Sends bytes on a connection of their own, and returns what comes until a header ends or the connection
// does.
std::string send_raw(Site& site, const std::string& bytes) {
  tcp::socket socket(site.io);
  socket.connect(site.server->edge_endpoint());
  boost::asio::write(socket, boost::asio::buffer(bytes));
  socket.non_blocking(true);
  std::string in;
  bool ended = false;
  CHECK(site.run_until(
      [&] {
        char part[4096];
        boost::system::error_code error;
        const std::size_t count = socket.read_some(boost::asio::buffer(part), error);
        in.append(part, error ? 0 : count);
        ended = error && error != boost::asio::error::would_block;
        return ended || in.find("\r\n\r\n") != std::string::npos;
      },
      std::chrono::seconds(15)));
  return in;
}

std::string post(Site& site, const std::string& path, const std::string& body,
                 const std::string& type = "application/json") {
  return send_raw(site, "POST " + path + " HTTP/1.1\r\nHost: e\r\nContent-Type: " + type +
                            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

}  // namespace

TEST_CASE("edge: a request over each front is answered once, and its rows arrive byte for byte") {
  for (const Transport transport : {Transport::kWebSocketJson, Transport::kWebSocketCbor, Transport::kPoll}) {
    Site site(site_options());
    DeviceFixture tablet(site, "tablet", transport);
    tablet.client.connect();
    const auto key = tablet.client.send_request("report", "select * from lessons_3.hours", 20000);
    REQUIRE(site.run_until([&] { return tablet.device.idle(); }));
    CHECK(tablet.request(key).outcome.status == OutcomeKind::kServed);
    CHECK(tablet.request(key).final_answers == 1);
    CHECK(tablet.request(key).rows == full_result(*site.script, last_request_id(site), 1));
    // The last acknowledgement releases the result, long before it would expire.
    REQUIRE(site.run_until([&] { return site.server->spool()->bytes_held() == 0; }, std::chrono::seconds(8)));
    CHECK(site.server->edge()->logic().memory().used() == 0);
    CHECK(site.server->broken_invariants() == 0);
  }
}

TEST_CASE(
    "edge: a load whose connection is cut at any byte of its request or answer runs once and is answered "
    "once") {
  Site::Options o = site_options("  connections 1000\n");
  o.engines = 4;
  o.edit_config = [](nlohmann::json& config) { config["limits"]["sockets"] = 4096; };
  Site site(o);
  site.script->rows = 4;
  for (const Transport transport : {Transport::kWebSocketJson, Transport::kPoll}) {
    // Measures the bytes of a whole exchange in each direction.
    std::uint64_t bytes_up = 0, bytes_down = 0;
    {
      Proxy proxy(site.io, site.server->edge_endpoint(), [](std::size_t) { return LinkScript{}; });
      DeviceFixture tablet(site, "measure" + std::to_string(static_cast<int>(transport)), transport);
      tablet.client.set_target(proxy.endpoint());
      tablet.client.connect();
      tablet.client.send_request("load", "insert into lessons_3.hours", 9000);
      REQUIRE(site.run_until([&] { return tablet.device.idle(); }));
      bytes_up = proxy.bytes_up(), bytes_down = proxy.bytes_down();
    }
    REQUIRE(bytes_up > 300);
    REQUIRE(bytes_down > 300);
    std::vector<std::pair<std::uint64_t, bool>> cuts;
    for (std::uint64_t at = 1; at < std::max(bytes_up, bytes_down) + 20; at += STEPRAIL_CUT_STEP) {
      if (at <= bytes_up + 20) cuts.emplace_back(at, true);
      if (at <= bytes_down + 20) cuts.emplace_back(at, false);
    }
    // Runs the devices in batches, each device with its own cut.
    constexpr std::size_t kBatchSize = 90;
    for (std::size_t from = 0; from < cuts.size(); from += kBatchSize) {
      std::vector<std::unique_ptr<Proxy>> proxies;
      std::vector<std::unique_ptr<DeviceFixture>> tablets;
      const int runs_before = total_runs(site);
      const std::size_t to = std::min(cuts.size(), from + kBatchSize);
      for (std::size_t i = from; i < to; ++i) {
        const auto [at, upward] = cuts[i];
        proxies.push_back(std::make_unique<Proxy>(
            site.io, site.server->edge_endpoint(), [at = at, upward = upward](std::size_t connection) {
              LinkScript script;
              if (connection == 0) (upward ? script.up : script.down).fault_after_bytes = at;
              return script;
            }));
        tablets.push_back(std::make_unique<DeviceFixture>(
            site, "tablet" + std::to_string(i) + "by" + std::to_string(static_cast<int>(transport)),
            transport));
        tablets.back()->client.set_target(proxies.back()->endpoint());
        tablets.back()->client.set_silence_timeout(milliseconds(700));
        tablets.back()->client.connect();
        tablets.back()->client.send_request("load", "insert into lessons_3.hours", 9000);
      }
      REQUIRE(site.run_until([&] {
        return std::all_of(tablets.begin(), tablets.end(), [](const auto& t) { return t->device.idle(); });
      }));
      CHECK(total_runs(site) == runs_before + static_cast<int>(to - from));
      for (std::size_t i = from; i < to; ++i) {
        INFO("cut at byte " << cuts[i].first
                            << (cuts[i].second ? " sent by the device" : " sent to the device"));
        const Device::Request& request = tablets[i - from]->request(1);
        INFO("code '" << request.code << "', rows reported " << request.outcome.rows);
        CHECK(request.final_answers == 1);
        CHECK(request.outcome.status == OutcomeKind::kServed);
        CHECK(request.row_count == 4);
        CHECK_FALSE(request.rows_invalid);
      }
    }
  }
}

// Guards against links that are no longer polled, and polls whose device has closed its connection, taking up
// the room of other devices.
TEST_CASE("edge: devices that come and go by long poll free their connections and links") {
  Site site(site_options("  connections 12\n"));
  for (int i = 0; i < 60; ++i) {
    DeviceFixture tablet(site, "tablet" + std::to_string(i), Transport::kPoll);
    tablet.client.connect();
    tablet.client.send_request("report", "select 1 from a_1.t", 9000);
    REQUIRE(site.run_until([&] { return tablet.device.idle(); }, std::chrono::seconds(3)));
    // A device that reconnects abandons its earlier link.
    if (i % 3 == 0) tablet.client.drop_connection();
    if (i % 3 == 0)
      REQUIRE(site.run_until([&] { return tablet.device.resume_count > 0; }, std::chrono::seconds(3)));
  }
  CHECK(site.server->edge()->logic().counters().answers == 60);
}

TEST_CASE(
    "edge: a stall longer than the deadline ends the request once, and the device gets the outcome later") {
  Site::Options o = site_options("  heartbeat-least 200ms\n  heartbeat-most 1s\n");
  o.script->fault = [](const FaultPoint& m) {
    return m.stage == FaultPoint::Stage::kAck ? Fault::kSilent : Fault::kNone;
  };
  Site site(o);
  Proxy proxy(site.io, site.server->edge_endpoint(), [](std::size_t) { return LinkScript{}; });
  DeviceFixture tablet(site, "tablet");
  tablet.client.set_target(proxy.endpoint());
  tablet.client.set_silence_timeout(milliseconds(1500));
  tablet.client.connect();
  REQUIRE(site.run_until([&] { return tablet.device.welcomed(); }));
  proxy.black_hole_after(1);
  const auto key = tablet.client.send_request("load", "insert into lessons_3.hours", 600);
  REQUIRE(site.run_until([&] { return tablet.device.idle(); }));
  CHECK(tablet.request(key).final_answers == 1);
  CHECK(tablet.request(key).outcome.status == OutcomeKind::kFailed);
  CHECK_FALSE(tablet.request(key).outcome.retry_safe);
  CHECK(tablet.client.connect_count() > 1);
  CHECK(total_runs(site) == 1);
}

// The device's own silence timeout is longer than the test, so only the edge can detect the dead connection.
TEST_CASE(
    "edge: the edge itself detects a connection that is a black hole, closes it and frees the memory of its "
    "rows") {
  Site::Options o = site_options("  heartbeat-least 100ms\n  heartbeat-most 300ms\n");
  o.script->run_time = milliseconds(200);
  o.script->rows = 3000;
  Site site(o);
  Proxy proxy(site.io, site.server->edge_endpoint(), [](std::size_t) { return LinkScript{}; });
  DeviceFixture tablet(site, "tablet");
  tablet.client.set_target(proxy.endpoint());
  tablet.client.set_silence_timeout(std::chrono::minutes(10));
  tablet.client.connect();
  REQUIRE(site.run_until([&] { return tablet.device.welcomed(); }));
  proxy.black_hole_after(2000);  // some of the rows still get through
  const auto key = tablet.client.send_request("report", "select * from lessons_3.hours", 15000);
  REQUIRE(site.run_until([&] { return site.server->edge()->logic().memory().used() > 0; }));
  REQUIRE(site.run_until([&] { return site.server->edge()->logic().counters().suspected == 1; }));
  CHECK(site.server->edge()->logic().connected_count() == 0);
  CHECK(site.server->edge()->logic().memory().used() == 0);
  CHECK_FALSE(tablet.device.idle());
  // The device reconnects later and continues where the connection broke.
  tablet.client.drop_connection();
  REQUIRE(site.run_until([&] { return tablet.device.idle(); }));
  CHECK(tablet.request(key).final_answers == 1);
  CHECK(tablet.request(key).rows == full_result(*site.script, last_request_id(site), 1));
  CHECK(tablet.device.session_count == 1);
  CHECK(total_runs(site) == 1);
}

TEST_CASE("edge: a load sent again by a second connection and over the other front runs once") {
  Site::Options o = site_options();
  o.script->run_time = milliseconds(150);
  Site site(o);
  // Two instances of one device without shared state, as after the device has lost its memory; both use the
  // same key.
  DeviceFixture first(site, "tablet"), second(site, "tablet", Transport::kPoll);
  first.client.connect();
  const auto key = first.client.send_request("load", "insert into lessons_3.hours", 9000);
  REQUIRE(site.run_until([&] { return total_runs(site) == 1; }));
  second.client.connect();
  REQUIRE(second.client.send_request("load", "insert into lessons_3.hours", 9000) == key);
  REQUIRE(site.run_until([&] { return second.device.idle(); }));
  CHECK(second.request(key).outcome.status == OutcomeKind::kServed);
  CHECK(second.request(key).final_answers == 1);
  CHECK(total_runs(site) == 1);
  // The key with another statement is refused with its own code.
  DeviceFixture third(site, "tablet");
  third.client.connect();
  third.client.send_request("load", "delete from lessons_3.hours", 9000);
  REQUIRE(site.run_until([&] { return third.device.idle(); }));
  CHECK(third.request(key).code == "other-statement");
  CHECK(total_runs(site) == 1);
}

TEST_CASE("edge: a device moves between the fronts within its session") {
  Site site(site_options());
  DeviceFixture tablet(site, "tablet");
  tablet.client.connect();
  tablet.client.send_request("report", "select 1 from a_1.t", 9000);
  REQUIRE(site.run_until([&] { return tablet.device.idle(); }));
  for (const Transport transport :
       {Transport::kPoll, Transport::kWebSocketCbor, Transport::kPoll, Transport::kWebSocketJson}) {
    tablet.client.set_transport(transport);
    const auto resumes_before = tablet.device.resume_count;
    tablet.client.drop_connection();
    tablet.client.send_request("report", "select 1 from a_1.t", 9000);
    REQUIRE(
        site.run_until([&] { return tablet.device.idle() && tablet.device.resume_count > resumes_before; }));
  }
  CHECK(tablet.device.session_count == 1);
  for (const auto& [_, request] : tablet.device.requests()) CHECK(request.final_answers == 1);
}

TEST_CASE("edge: when the process is killed between dispatch and answer, the load's outcome stays unknown") {
  for (const bool durable : {true, false}) {
    Site::Options o = site_options();
    o.script->fault = [](const FaultPoint& m) {
      return m.stage == FaultPoint::Stage::kAck && m.run == 1 ? Fault::kSilent : Fault::kNone;
    };
    Site site(o);
    site.kill();
    site.write_conf(o.conf.substr(0, o.conf.size() - 2) +
                    (durable ? "  ledger " + site.temp_dir.path("ledger") + " 4m\n}\n" : "}\n"));
    site.start();
    DeviceFixture tablet(site, "tablet");
    tablet.client.connect();
    const auto key = tablet.client.send_request("load", "insert into lessons_3.hours", 9000);
    REQUIRE(site.run_until([&] { return total_runs(site) == 1; }));
    site.kill();
    site.start();
    tablet.client.set_target(site.server->edge_endpoint());
    REQUIRE(site.run_until([&] { return tablet.device.idle(); }));
    CHECK(tablet.request(key).outcome.status == OutcomeKind::kUnknown);
    CHECK(tablet.request(key).final_answers == 1);
    // Another instance of the device sends the load again after another restart: the outcome stays the same,
    // and nothing runs.
    site.kill();
    site.start();
    DeviceFixture restarted(site, "tablet");
    restarted.device.set_token(tablet.device.token());
    restarted.client.connect();
    REQUIRE(site.run_until([&] { return restarted.device.welcomed(); }));
    if (durable) {
      restarted.client.send_request("load", "insert into lessons_3.hours", 9000);
      REQUIRE(site.run_until([&] { return restarted.device.idle(); }));
      CHECK(restarted.request(key).outcome.status == OutcomeKind::kUnknown);
    }
    CHECK(total_runs(site) == 1);
  }
}

TEST_CASE(
    "edge: when the process is killed after the outcome was recorded, the next one reports it, with the rows "
    "from disk") {
  Site::Options o = site_options();
  Site site(o);
  site.kill();
  site.write_conf("spool {\n  listen 127.0.0.1:0\n  memory 16m\n  result-most 4m\n  disk " +
                  site.temp_dir.path("disk") +
                  " 64m\n  disk-above 1k\n}\nedge {\n  listen 127.0.0.1:0\n  home one\n  ledger " +
                  site.temp_dir.path("ledger") + " 4m\n}\n");
  site.start();
  // The answer is lost in a black hole.
  Proxy proxy(site.io, site.server->edge_endpoint(), [](std::size_t) { return LinkScript{}; });
  DeviceFixture tablet(site, "tablet");
  tablet.client.set_target(proxy.endpoint());
  tablet.client.connect();
  REQUIRE(site.run_until([&] { return tablet.device.welcomed(); }));
  proxy.black_hole_after(1);
  const auto key = tablet.client.send_request("load", "insert into lessons_3.hours", 15000);
  REQUIRE(site.run_until([&] {
    return site.server->edge()->logic().counters().answers == 1 &&
           site.server->spool()->logic().disk().used() > 0 && site.server->spool()->disk_idle();
  }));
  const std::string id = last_request_id(site);
  site.kill();
  site.start();
  tablet.client.set_target(site.server->edge_endpoint());
  tablet.client.drop_connection();
  REQUIRE(site.run_until([&] { return tablet.device.idle(); }));
  CHECK(tablet.request(key).outcome.status == OutcomeKind::kServed);
  CHECK(tablet.request(key).final_answers == 1);
  CHECK(tablet.request(key).rows == full_result(*site.script, id, 1));
  CHECK(total_runs(site) == 1);
}

TEST_CASE("edge: a load that cannot be recorded is refused and not run, while a lookup still runs") {
  auto disk = std::make_shared<FaultyDisk>();
  Site site(options_with_ledger_on(disk));
  disk->fail_at(disk->operation_count() + 1, FaultyDisk::Fault::kNoSpace);
  DeviceFixture tablet(site, "tablet");
  tablet.client.connect();
  const auto first_load = tablet.client.send_request("load", "insert into lessons_3.hours", 9000);
  REQUIRE(site.run_until([&] { return tablet.device.idle(); }));
  CHECK(tablet.request(first_load).code == "not-recorded");
  CHECK(tablet.request(first_load).outcome.retry_safe);
  CHECK(total_runs(site) == 0);
  // A full disk is a passing fault: the next load is recorded. After an I/O error no further load is, ever.
  const auto second_load = tablet.client.send_request("load", "insert into lessons_3.hours", 9000);
  REQUIRE(site.run_until([&] { return tablet.device.idle(); }));
  CHECK(tablet.request(second_load).outcome.status == OutcomeKind::kServed);
  disk->fail_at(disk->operation_count() + 1, FaultyDisk::Fault::kEio);
  for (int i = 0; i < 2; ++i) {
    const auto third_load = tablet.client.send_request("load", "insert into lessons_3.hours", 9000);
    REQUIRE(site.run_until([&] { return tablet.device.idle(); }));
    CHECK(tablet.request(third_load).code == "not-recorded");
  }
  const auto lookup = tablet.client.send_request("lookup", "select 1 from a_1.t", 9000);
  REQUIRE(site.run_until([&] { return tablet.device.idle(); }));
  CHECK(tablet.request(lookup).outcome.status == OutcomeKind::kServed);
  CHECK(total_runs(site) == 2);
}

TEST_CASE("edge: an outcome that cannot be recorded is unknown, and the load is not run again") {
  auto disk = std::make_shared<FaultyDisk>();
  Site site(options_with_ledger_on(disk));
  disk->fail_at(disk->operation_count() + 2, FaultyDisk::Fault::kNoSpace);
  DeviceFixture tablet(site, "tablet");
  tablet.client.connect();
  const auto key = tablet.client.send_request("load", "insert into lessons_3.hours", 9000);
  REQUIRE(site.run_until([&] { return tablet.device.idle(); }));
  CHECK(tablet.request(key).outcome.status == OutcomeKind::kUnknown);
  CHECK(total_runs(site) == 1);
}

TEST_CASE("edge: a session of another home is redirected, and one whose home is gone runs no load again") {
  Site site(site_options());
  const std::string secret = site.temp_dir.path("secret");
  site.temp_dir.write("secret", std::string(40, 's'));
  const auto start = [&](const std::string& home, const std::string& more) {
    site.kill();
    site.write_conf("spool {\n  listen 127.0.0.1:0\n}\nedge {\n  listen 127.0.0.1:0\n  home " + home +
                    "\n  secret " + secret + "\n" + more + "}\n");
    site.start();
  };
  start("two", "  other one 10.0.0.1:7071\n");
  DeviceFixture tablet(site, "tablet");
  tablet.client.connect();
  REQUIRE(site.run_until([&] { return tablet.device.welcomed(); }));
  const std::string token_of_two = tablet.device.token();
  tablet.client.stop();
  start("one", "  other two 10.0.0.2:7071\n");
  DeviceFixture moved(site, "tablet");
  moved.device.set_token(token_of_two);
  moved.client.connect();
  REQUIRE(site.run_until([&] { return !moved.device.home.empty(); }));
  CHECK(moved.device.home == "10.0.0.2:7071");
  moved.client.stop();
  // The operator declares that home gone for good: the device starts a new session, and its loads from before
  // are not run here.
  start("one", "  other two 10.0.0.2:7071\n  gone two\n");
  tablet.client.set_target(site.server->edge_endpoint());
  tablet.client.send_request("load", "insert into lessons_3.hours", 9000);
  const auto earlier_key = tablet.device.requests().rbegin()->first;
  tablet.device.set_first_incarnation(earlier_key, 12345);
  tablet.client.connect();
  REQUIRE(site.run_until([&] { return tablet.device.idle(); }));
  CHECK(tablet.request(earlier_key).outcome.status == OutcomeKind::kUnknown);
  CHECK(total_runs(site) == 0);
  // The token of another device is refused.
  DeviceFixture impostor(site, "other");
  impostor.device.set_token(tablet.device.token());
  impostor.client.connect();
  REQUIRE(site.run_until([&] { return impostor.device.last_error == "token"; }));
}

TEST_CASE("edge: at SIGTERM devices are told, new requests are refused, and all accepted ones are answered") {
  Site::Options o = site_options();
  o.script->run_time = milliseconds(300);
  Site site(o);
  DeviceFixture tablet(site, "tablet");
  tablet.client.connect();
  const auto key = tablet.client.send_request("report", "select 1 from a_1.t", 9000);
  REQUIRE(site.run_until([&] { return total_runs(site) == 1; }));
  site.server->stop();
  REQUIRE(site.run_until([&] { return tablet.device.draining; }));
  const auto late_key = tablet.client.send_request("report", "select 1 from a_1.t", 9000);
  REQUIRE(site.run_until([&] { return tablet.device.idle(); }));
  CHECK(tablet.request(key).outcome.status == OutcomeKind::kServed);
  CHECK(tablet.request(key).row_count == 300);
  CHECK(tablet.request(late_key).code == "draining");
  REQUIRE(site.run_until([&] { return site.server->io().stopped(); }));
}

TEST_CASE(
    "edge: slow or long headers, decompression bombs, deep nesting and malformed input end only their own "
    "connection") {
  Site site(site_options());
  DeviceFixture healthy(site, "good");
  healthy.client.connect();
  REQUIRE(site.run_until([&] { return healthy.device.welcomed(); }));
  // Nothing follows the start of this header, so the request times out.
  CHECK(send_raw(site, "POST /edge/poll HTTP/1.1\r\nX: ").empty());
  CHECK(send_raw(site, "GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x')).find("431") != std::string::npos);
  CHECK(
      send_raw(site, "POST /edge/poll HTTP/1.1\r\nHost: e\r\nContent-Length: 99999999\r\n\r\n").find("413") !=
      std::string::npos);
  CHECK(send_raw(site, "nonsense\r\n\r\n").empty());
  CHECK(send_raw(site, "GET /edge/poll HTTP/1.1\r\nHost: e\r\n\r\n").find("405") != std::string::npos);
  CHECK(post(site, "/edge/open", std::string(100'000, '[')).find("400") != std::string::npos);
  CHECK(post(site, "/edge/open", std::string(100'000, '\x81'), "application/cbor").find("400") !=
        std::string::npos);
  CHECK(post(site, "/edge/open", "{}").find("hello-first") != std::string::npos);
  CHECK(post(site, "/edge/poll", "{\"link\":\"00\"}").find("410") != std::string::npos);
  CHECK(post(site, "/edge/open", "{\"frames\":[{\"t\":\"hello\",\"device\":7}]}").find("400") !=
        std::string::npos);
  // 20 MiB of blanks, a fraction of that once compressed.
  namespace websocket = boost::beast::websocket;
  websocket::stream<boost::beast::tcp_stream> bomb(site.io);
  boost::beast::get_lowest_layer(bomb).connect(site.server->edge_endpoint());
  websocket::permessage_deflate deflate;
  deflate.client_enable = true;
  bomb.set_option(deflate);
  bomb.set_option(websocket::stream_base::decorator([](websocket::request_type& request) {
    request.set(boost::beast::http::field::sec_websocket_protocol, "steprail.json");
  }));
  bool handshake_done = false, refused = false;
  bomb.async_handshake("edge", "/edge/ws", [&](boost::system::error_code error) { handshake_done = !error; });
  REQUIRE(site.run_until([&] { return handshake_done; }));
  const std::string blanks(20 << 20, ' ');
  bomb.async_write(boost::asio::buffer(blanks), [&](boost::system::error_code, std::size_t) {});
  boost::beast::flat_buffer buffer;
  bomb.async_read(buffer,
                  [&](boost::system::error_code error, std::size_t) { refused = static_cast<bool>(error); });
  REQUIRE(site.run_until([&] { return refused; }));
  // Other connections are unaffected.
  healthy.client.send_request("report", "select 1 from a_1.t", 9000);
  REQUIRE(site.run_until([&] { return healthy.device.idle(); }));
  INFO("last error: " << healthy.device.last_error);
  CHECK(healthy.client.connect_count() == 1);
}

TEST_CASE(
    "edge: over faulty connections, on all fronts, each request has one answer and no load runs twice") {
  Site::Options o = site_options("  heartbeat-least 100ms\n  heartbeat-most 300ms\n");
  o.engines = 2;
  Site site(o);
  std::size_t loads = 0;
  std::vector<std::unique_ptr<Proxy>> proxies;
  std::vector<std::unique_ptr<DeviceFixture>> tablets;
  for (int i = 0; i < 12; ++i) {
    proxies.push_back(
        std::make_unique<Proxy>(site.io, site.server->edge_endpoint(), [i](std::size_t connection) {
          return random_link_script(static_cast<std::uint64_t>(i) * 1000 + connection,
                                    connection > 12 ? 0 : 1 + i % 4);
        }));
    tablets.push_back(
        std::make_unique<DeviceFixture>(site, "tablet" + std::to_string(i), static_cast<Transport>(i % 3)));
    tablets.back()->client.set_target(proxies.back()->endpoint());
    tablets.back()->client.set_silence_timeout(milliseconds(600));
    tablets.back()->client.connect();
    for (int r = 0; r < 4; ++r) {
      const bool load = r % 2 == 1;
      loads += load;
      tablets.back()->client.send_request(
          load ? "load" : "report", (load ? "insert into" : "select 1 from") + std::string(" a_1.t"), 15000);
    }
  }
  REQUIRE(site.run_until(
      [&] {
        return std::all_of(tablets.begin(), tablets.end(), [](const auto& t) { return t->device.idle(); });
      },
      std::chrono::seconds(60)));
  std::size_t load_runs = 0;
  for (const auto& tablet : tablets) {
    for (const auto& [key, request] : tablet->device.requests()) {
      CHECK(request.final_answers == 1);
      CHECK_FALSE(request.rows_invalid);
      CHECK(request.outcome.status == OutcomeKind::kServed);
      CHECK(request.row_count == 300);
      load_runs += request.body.verb == "load";
    }
  }
  CHECK(total_runs(site) == 48);
  CHECK(load_runs == loads);
}

// Guards against the end of the process, and of all open requests, when the error text quotes a part of the
// input that is no UTF-8.
TEST_CASE("edge: a frame with an unknown word of any characters is refused and ends nothing else") {
  Site site(site_options());
  DeviceFixture healthy(site, "good");
  healthy.client.connect();
  REQUIRE(site.run_until([&] { return healthy.device.welcomed(); }));
  healthy.client.send_request("report", "select 1 from a_1.t", 9000);
  const std::string two = "\xc3\xa9", three = "\xe2\x82\xac", four = "\xf0\x9f\x8e\xb5";
  for (const std::string& character : {two, three, four}) {
    for (std::size_t before = 28; before <= 33; ++before) {
      const std::string word = std::string(before, 'a') + character + "b";
      INFO("word " << word);
      CHECK(post(site, "/edge/open", R"({"frames":[{"t":")" + word + R"("}]})").find("400") !=
            std::string::npos);
      CHECK(post(site, "/edge/open",
                 R"({"frames":[{"t":"msg","seq":1,"have":0,"body":{"k":")" + word + R"("}}]})")
                .find("400") != std::string::npos);
    }
  }
  // CBOR readers take text that is no UTF-8: {"frames": [{"t": "\xff"}]}.
  CHECK(post(site, "/edge/open",
             "\xa1\x66"
             "frames\x81\xa1\x61"
             "t\x61\xff",
             "application/cbor")
            .find("400") != std::string::npos);
  REQUIRE(site.run_until([&] { return healthy.device.idle(); }));
  CHECK(healthy.client.connect_count() == 1);
}
