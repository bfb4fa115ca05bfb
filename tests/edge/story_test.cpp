// Stories of the edge over loopback: devices on both fronts, links that are cut, stalled and swallowed, and
// processes that are killed.
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
using By = EdgeClient::By;
using How = edge::Outcome::How;
using std::chrono::milliseconds;

Site::Options options(const std::string& more = {}) {
  Site::Options options;
  options.script->rows = 300;
  options.script->row_bytes = 100;
  options.conf =
      "spool {\n  listen 127.0.0.1:0\n  memory 16m\n  result-most 4m\n}\n"
      "edge {\n  listen 127.0.0.1:0\n  home one\n  rate 100000\n  burst 1000\n" +
      more + "}\n";
  return options;
}

// The ledger is durable, on that disk.
Site::Options recorded_on(const std::shared_ptr<FaultyDisk>& disk) {
  Site::Options o = options("  ledger /unused 4m\n");
  o.ledger = [disk] { return disk->index(); };
  return o;
}

struct Tablet {
  Tablet(Site& site, const std::string& name, By by = By::kWebSocketJson)
      : device("acme", name), client(site.io, device, site.server->edge_endpoint(), by) {}
  const Device::Request& at(std::uint64_t key) const { return device.requests().at(key); }
  Device device;
  EdgeClient client;
};

// The engine knows a statement's request by the edge's own id: runs are counted over all of them.
int total_runs(const Site& site) {
  int sum = 0;
  for (const auto& [_, runs] : *site.run_counts) sum += runs;
  return sum;
}
std::string last_id(const Site& site) {
  return site.run_counts->empty() ? "" : site.run_counts->rbegin()->first;
}

}  // namespace

TEST_CASE("edge: a request over each front is answered once, its rows byte for byte") {
  for (const By by : {By::kWebSocketJson, By::kWebSocketCbor, By::kPoll}) {
    Site site(options());
    Tablet tablet(site, "tablet", by);
    tablet.client.connect();
    const auto key = tablet.client.ask("report", "select * from lessons_3.hours", 20000);
    REQUIRE(site.until([&] { return tablet.device.idle(); }));
    CHECK(tablet.at(key).outcome.how == How::kServed);
    CHECK(tablet.at(key).finals == 1);
    CHECK(tablet.at(key).rows == whole(*site.script, last_id(site), 1));
    // Let go by the last acknowledgement, long before its time is over.
    REQUIRE(site.until([&] { return site.server->spool()->bytes_held() == 0; }, std::chrono::seconds(8)));
    CHECK(site.server->edge()->logic().memory().used() == 0);
    CHECK(site.server->broken_invariants() == 0);
  }
}

TEST_CASE(
    "edge: cut at every byte of a load's request and of its answer, it runs once and is answered once") {
  Site::Options o = options("  connections 1000\n");
  o.engines = 4;
  o.change = [](nlohmann::json& config) { config["limits"]["sockets"] = 4096; };
  Site site(o);
  site.script->rows = 4;
  for (const By by : {By::kWebSocketJson, By::kPoll}) {
    // How much a whole exchange takes, either way.
    std::uint64_t up = 0, down = 0;
    {
      Proxy proxy(site.io, site.server->edge_endpoint(), [](std::size_t) { return LinkScript{}; });
      Tablet tablet(site, "measure" + std::to_string(static_cast<int>(by)), by);
      tablet.client.set_target(proxy.endpoint());
      tablet.client.connect();
      tablet.client.ask("load", "insert into lessons_3.hours", 9000);
      REQUIRE(site.until([&] { return tablet.device.idle(); }));
      up = proxy.bytes_up(), down = proxy.bytes_down();
    }
    REQUIRE(up > 300);
    REQUIRE(down > 300);
    std::vector<std::pair<std::uint64_t, bool>> cuts;
    for (std::uint64_t at = 1; at < std::max(up, down) + 20; at += STEPRAIL_CUT_STEP) {
      if (at <= up + 20) cuts.emplace_back(at, true);
      if (at <= down + 20) cuts.emplace_back(at, false);
    }
    // Some dozens of devices at a time, each with a cut of its own.
    constexpr std::size_t kAtATime = 90;
    for (std::size_t from = 0; from < cuts.size(); from += kAtATime) {
      std::vector<std::unique_ptr<Proxy>> proxies;
      std::vector<std::unique_ptr<Tablet>> tablets;
      const int before = total_runs(site);
      const std::size_t to = std::min(cuts.size(), from + kAtATime);
      for (std::size_t i = from; i < to; ++i) {
        const auto [at, upward] = cuts[i];
        proxies.push_back(std::make_unique<Proxy>(site.io, site.server->edge_endpoint(),
                                                  [at = at, upward = upward](std::size_t n) {
                                                    LinkScript script;
                                                    if (n == 0) (upward ? script.up : script.down).at = at;
                                                    return script;
                                                  }));
        tablets.push_back(std::make_unique<Tablet>(
            site, "tablet" + std::to_string(i) + "by" + std::to_string(static_cast<int>(by)), by));
        tablets.back()->client.set_target(proxies.back()->endpoint());
        tablets.back()->client.set_patience(milliseconds(700));
        tablets.back()->client.connect();
        tablets.back()->client.ask("load", "insert into lessons_3.hours", 9000);
      }
      REQUIRE(site.until([&] {
        return std::all_of(tablets.begin(), tablets.end(), [](const auto& t) { return t->device.idle(); });
      }));
      CHECK(total_runs(site) == before + static_cast<int>(to - from));
      for (std::size_t i = from; i < to; ++i) {
        INFO("cut at byte " << cuts[i].first << (cuts[i].second ? " of the way up" : " of the way down"));
        const Device::Request& request = tablets[i - from]->at(1);
        INFO("code '" << request.code << "', rows told " << request.outcome.rows);
        CHECK(request.finals == 1);
        CHECK(request.outcome.how == How::kServed);
        CHECK(request.have_rows == 4);
        CHECK_FALSE(request.wrong);
      }
    }
  }
}

// Guards against links that nobody polls any more, and polls whose device has hung up, keeping others out.
TEST_CASE("edge: devices that come and go by long poll leave no places taken") {
  Site site(options("  connections 12\n"));
  for (int i = 0; i < 60; ++i) {
    Tablet tablet(site, "tablet" + std::to_string(i), By::kPoll);
    tablet.client.connect();
    tablet.client.ask("report", "select 1 from a_1.t", 9000);
    REQUIRE(site.until([&] { return tablet.device.idle(); }, std::chrono::seconds(3)));
    // One that comes back leaves a link of its own behind.
    if (i % 3 == 0) tablet.client.drop();
    if (i % 3 == 0) REQUIRE(site.until([&] { return tablet.device.resumes > 0; }, std::chrono::seconds(3)));
  }
  CHECK(site.server->edge()->logic().counts().answers == 60);
}

TEST_CASE(
    "edge: a stall longer than the give-up time ends the request once, and the device hears of it later") {
  Site::Options o = options("  heartbeat-least 200ms\n  heartbeat-most 1s\n");
  o.script->fault = [](const Moment& m) { return m.at == Moment::At::kAck ? Fault::kSilent : Fault::kNone; };
  Site site(o);
  Proxy proxy(site.io, site.server->edge_endpoint(), [](std::size_t) { return LinkScript{}; });
  Tablet tablet(site, "tablet");
  tablet.client.set_target(proxy.endpoint());
  tablet.client.set_patience(milliseconds(1500));
  tablet.client.connect();
  REQUIRE(site.until([&] { return tablet.device.welcomed(); }));
  proxy.hole_after(1);
  const auto key = tablet.client.ask("load", "insert into lessons_3.hours", 600);
  REQUIRE(site.until([&] { return tablet.device.idle(); }));
  CHECK(tablet.at(key).finals == 1);
  CHECK(tablet.at(key).outcome.how == How::kFailed);
  CHECK_FALSE(tablet.at(key).outcome.again);
  CHECK(tablet.client.connects() > 1);
  CHECK(total_runs(site) == 1);
}

// The device's own patience plays no part here: it would wait for longer than the story lasts.
TEST_CASE(
    "edge: a link that swallows everything is given up by the edge's own suspicion, and its rows' memory "
    "comes back") {
  Site::Options o = options("  heartbeat-least 100ms\n  heartbeat-most 300ms\n");
  o.script->runs_for = milliseconds(200);
  o.script->rows = 3000;
  Site site(o);
  Proxy proxy(site.io, site.server->edge_endpoint(), [](std::size_t) { return LinkScript{}; });
  Tablet tablet(site, "tablet");
  tablet.client.set_target(proxy.endpoint());
  tablet.client.set_patience(std::chrono::minutes(10));
  tablet.client.connect();
  REQUIRE(site.until([&] { return tablet.device.welcomed(); }));
  proxy.hole_after(2000);  // some of the rows still pass
  const auto key = tablet.client.ask("report", "select * from lessons_3.hours", 15000);
  REQUIRE(site.until([&] { return site.server->edge()->logic().memory().used() > 0; }));
  REQUIRE(site.until([&] { return site.server->edge()->logic().counts().suspected == 1; }));
  CHECK(site.server->edge()->logic().live() == 0);
  CHECK(site.server->edge()->logic().memory().used() == 0);
  CHECK_FALSE(tablet.device.idle());
  // It comes back by itself later, and goes on where the link broke off.
  tablet.client.drop();
  REQUIRE(site.until([&] { return tablet.device.idle(); }));
  CHECK(tablet.at(key).finals == 1);
  CHECK(tablet.at(key).rows == whole(*site.script, last_id(site), 1));
  CHECK(tablet.device.sessions == 1);
  CHECK(total_runs(site) == 1);
}

TEST_CASE("edge: sent again by a second connection and by the other front, a load runs once") {
  Site::Options o = options();
  o.script->runs_for = milliseconds(150);
  Site site(o);
  // Two lives of one device that know nothing of each other, as after it has lost its memory: the same key.
  Tablet first(site, "tablet"), second(site, "tablet", By::kPoll);
  first.client.connect();
  const auto key = first.client.ask("load", "insert into lessons_3.hours", 9000);
  REQUIRE(site.until([&] { return total_runs(site) == 1; }));
  second.client.connect();
  REQUIRE(second.client.ask("load", "insert into lessons_3.hours", 9000) == key);
  REQUIRE(site.until([&] { return second.device.idle(); }));
  CHECK(second.at(key).outcome.how == How::kServed);
  CHECK(second.at(key).finals == 1);
  CHECK(total_runs(site) == 1);
  // With another statement the key is refused by name.
  Tablet third(site, "tablet");
  third.client.connect();
  third.client.ask("load", "delete from lessons_3.hours", 9000);
  REQUIRE(site.until([&] { return third.device.idle(); }));
  CHECK(third.at(key).code == "other-statement");
  CHECK(total_runs(site) == 1);
}

TEST_CASE("edge: a device moves between the fronts within its session") {
  Site site(options());
  Tablet tablet(site, "tablet");
  tablet.client.connect();
  tablet.client.ask("report", "select 1 from a_1.t", 9000);
  REQUIRE(site.until([&] { return tablet.device.idle(); }));
  for (const By by : {By::kPoll, By::kWebSocketCbor, By::kPoll, By::kWebSocketJson}) {
    tablet.client.use(by);
    const auto before = tablet.device.resumes;
    tablet.client.drop();
    tablet.client.ask("report", "select 1 from a_1.t", 9000);
    REQUIRE(site.until([&] { return tablet.device.idle() && tablet.device.resumes > before; }));
  }
  CHECK(tablet.device.sessions == 1);
  for (const auto& [_, request] : tablet.device.requests()) CHECK(request.finals == 1);
}

TEST_CASE("edge: killed between dispatch and answer, the load's outcome is unknown once and for good") {
  for (const bool durable : {true, false}) {
    Site::Options o = options();
    o.script->fault = [](const Moment& m) {
      return m.at == Moment::At::kAck && m.run == 1 ? Fault::kSilent : Fault::kNone;
    };
    Site site(o);
    site.kill();
    site.set_conf(o.conf.substr(0, o.conf.size() - 2) +
                  (durable ? "  ledger " + site.folder.path("ledger") + " 4m\n}\n" : "}\n"));
    site.start();
    Tablet tablet(site, "tablet");
    tablet.client.connect();
    const auto key = tablet.client.ask("load", "insert into lessons_3.hours", 9000);
    REQUIRE(site.until([&] { return total_runs(site) == 1; }));
    site.kill();
    site.start();
    tablet.client.set_target(site.server->edge_endpoint());
    REQUIRE(site.until([&] { return tablet.device.idle(); }));
    CHECK(tablet.at(key).outcome.how == How::kUnknown);
    CHECK(tablet.at(key).finals == 1);
    // Another life of the device asks again, after another restart: nothing else is ever said, and nothing
    // runs.
    site.kill();
    site.start();
    Tablet again(site, "tablet");
    again.device.set_token(tablet.device.token());
    again.client.connect();
    REQUIRE(site.until([&] { return again.device.welcomed(); }));
    if (durable) {
      again.client.ask("load", "insert into lessons_3.hours", 9000);
      REQUIRE(site.until([&] { return again.device.idle(); }));
      CHECK(again.at(key).outcome.how == How::kUnknown);
    }
    CHECK(total_runs(site) == 1);
  }
}

TEST_CASE(
    "edge: killed after the outcome was recorded, the next process tells it, with rows where a disk has "
    "them") {
  Site::Options o = options();
  Site site(o);
  site.kill();
  site.set_conf("spool {\n  listen 127.0.0.1:0\n  memory 16m\n  result-most 4m\n  disk " +
                site.folder.path("disk") +
                " 64m\n  disk-above 1k\n}\nedge {\n  listen 127.0.0.1:0\n  home one\n  ledger " +
                site.folder.path("ledger") + " 4m\n}\n");
  site.start();
  // The answer is lost on its way: the link swallows it.
  Proxy proxy(site.io, site.server->edge_endpoint(), [](std::size_t) { return LinkScript{}; });
  Tablet tablet(site, "tablet");
  tablet.client.set_target(proxy.endpoint());
  tablet.client.connect();
  REQUIRE(site.until([&] { return tablet.device.welcomed(); }));
  proxy.hole_after(1);
  const auto key = tablet.client.ask("load", "insert into lessons_3.hours", 15000);
  REQUIRE(site.until([&] {
    return site.server->edge()->logic().counts().answers == 1 &&
           site.server->spool()->logic().disk().used() > 0 && site.server->spool()->disk_idle();
  }));
  const std::string id = last_id(site);
  site.kill();
  site.start();
  tablet.client.set_target(site.server->edge_endpoint());
  tablet.client.drop();
  REQUIRE(site.until([&] { return tablet.device.idle(); }));
  CHECK(tablet.at(key).outcome.how == How::kServed);
  CHECK(tablet.at(key).finals == 1);
  CHECK(tablet.at(key).rows == whole(*site.script, id, 1));
  CHECK(total_runs(site) == 1);
}

TEST_CASE("edge: a load that cannot be recorded is refused and not run, a lookup runs all the same") {
  auto disk = std::make_shared<FaultyDisk>();
  Site site(recorded_on(disk));
  disk->fail_at(disk->operation_count() + 1, FaultyDisk::Fault::kNoSpace);
  Tablet tablet(site, "tablet");
  tablet.client.connect();
  const auto load = tablet.client.ask("load", "insert into lessons_3.hours", 9000);
  REQUIRE(site.until([&] { return tablet.device.idle(); }));
  CHECK(tablet.at(load).code == "not-recorded");
  CHECK(tablet.at(load).outcome.again);
  CHECK(total_runs(site) == 0);
  // There is room again; after a write that has failed outright there is none for good.
  const auto next = tablet.client.ask("load", "insert into lessons_3.hours", 9000);
  REQUIRE(site.until([&] { return tablet.device.idle(); }));
  CHECK(tablet.at(next).outcome.how == How::kServed);
  disk->fail_at(disk->operation_count() + 1, FaultyDisk::Fault::kEio);
  for (int i = 0; i < 2; ++i) {
    const auto other = tablet.client.ask("load", "insert into lessons_3.hours", 9000);
    REQUIRE(site.until([&] { return tablet.device.idle(); }));
    CHECK(tablet.at(other).code == "not-recorded");
  }
  const auto lookup = tablet.client.ask("lookup", "select 1 from a_1.t", 9000);
  REQUIRE(site.until([&] { return tablet.device.idle(); }));
  CHECK(tablet.at(lookup).outcome.how == How::kServed);
  CHECK(total_runs(site) == 2);
}

TEST_CASE("edge: an outcome that cannot be recorded is unknown, and the load is not run again") {
  auto disk = std::make_shared<FaultyDisk>();
  Site site(recorded_on(disk));
  disk->fail_at(disk->operation_count() + 2, FaultyDisk::Fault::kNoSpace);
  Tablet tablet(site, "tablet");
  tablet.client.connect();
  const auto key = tablet.client.ask("load", "insert into lessons_3.hours", 9000);
  REQUIRE(site.until([&] { return tablet.device.idle(); }));
  CHECK(tablet.at(key).outcome.how == How::kUnknown);
  CHECK(total_runs(site) == 1);
}

TEST_CASE(
    "edge: a session that lives elsewhere is shown the way, one whose home is gone runs no load again") {
  Site site(options());
  const std::string secret = site.folder.path("secret");
  site.folder.write("secret", std::string(40, 's'));
  const auto start = [&](const std::string& home, const std::string& more) {
    site.kill();
    site.set_conf("spool {\n  listen 127.0.0.1:0\n}\nedge {\n  listen 127.0.0.1:0\n  home " + home +
                  "\n  secret " + secret + "\n" + more + "}\n");
    site.start();
  };
  start("two", "  other one 10.0.0.1:7071\n");
  Tablet tablet(site, "tablet");
  tablet.client.connect();
  REQUIRE(site.until([&] { return tablet.device.welcomed(); }));
  const std::string of_two = tablet.device.token();
  tablet.client.stop();
  start("one", "  other two 10.0.0.2:7071\n");
  Tablet lost(site, "tablet");
  lost.device.set_token(of_two);
  lost.client.connect();
  REQUIRE(site.until([&] { return !lost.device.home.empty(); }));
  CHECK(lost.device.home == "10.0.0.2:7071");
  lost.client.stop();
  // The operator says that it is gone for good: the device begins anew, its loads of then are not run here.
  start("one", "  other two 10.0.0.2:7071\n  gone two\n");
  tablet.client.set_target(site.server->edge_endpoint());
  tablet.client.ask("load", "insert into lessons_3.hours", 9000);
  const auto sent_then = tablet.device.requests().rbegin()->first;
  tablet.device.set_first(sent_then, 12345);
  tablet.client.connect();
  REQUIRE(site.until([&] { return tablet.device.idle(); }));
  CHECK(tablet.at(sent_then).outcome.how == How::kUnknown);
  CHECK(total_runs(site) == 0);
  // A token of another device, or one that was changed, opens nothing.
  Tablet thief(site, "other");
  thief.device.set_token(tablet.device.token());
  thief.client.connect();
  REQUIRE(site.until([&] { return thief.device.last_error == "token"; }));
}

TEST_CASE("edge: at SIGTERM devices are told, nothing new is taken, and all that was taken is answered") {
  Site::Options o = options();
  o.script->runs_for = milliseconds(300);
  Site site(o);
  Tablet tablet(site, "tablet");
  tablet.client.connect();
  const auto key = tablet.client.ask("report", "select 1 from a_1.t", 9000);
  REQUIRE(site.until([&] { return total_runs(site) == 1; }));
  site.server->stop();
  REQUIRE(site.until([&] { return tablet.device.draining; }));
  const auto late = tablet.client.ask("report", "select 1 from a_1.t", 9000);
  REQUIRE(site.until([&] { return tablet.device.idle(); }));
  CHECK(tablet.at(key).outcome.how == How::kServed);
  CHECK(tablet.at(key).have_rows == 300);
  CHECK(tablet.at(late).code == "draining");
  REQUIRE(site.until([&] { return site.server->io().stopped(); }));
}

TEST_CASE("edge: slow headers, long ones, bombs, deep nesting and nonsense end their own connection alone") {
  Site site(options());
  Tablet good(site, "good");
  good.client.connect();
  REQUIRE(site.until([&] { return good.device.welcomed(); }));
  const auto raw = [&](const std::string& bytes) {
    tcp::socket socket(site.io);
    socket.connect(site.server->edge_endpoint());
    boost::asio::write(socket, boost::asio::buffer(bytes));
    socket.non_blocking(true);
    std::string in;
    bool ended = false;
    CHECK(site.until(
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
  };
  const auto post = [&](const std::string& path, const std::string& body,
                        const std::string& type = "application/json") {
    return raw("POST " + path + " HTTP/1.1\r\nHost: e\r\nContent-Type: " + type +
               "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  };
  CHECK(raw("POST /edge/poll HTTP/1.1\r\nX: ").empty());  // and then nothing more: its time is over
  CHECK(raw("GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x')).find("431") != std::string::npos);
  CHECK(raw("POST /edge/poll HTTP/1.1\r\nHost: e\r\nContent-Length: 99999999\r\n\r\n").find("413") !=
        std::string::npos);
  CHECK(raw("nonsense\r\n\r\n").empty());
  CHECK(raw("GET /edge/poll HTTP/1.1\r\nHost: e\r\n\r\n").find("405") != std::string::npos);
  CHECK(post("/edge/open", std::string(100'000, '[')).find("400") != std::string::npos);
  CHECK(post("/edge/open", std::string(100'000, '\x81'), "application/cbor").find("400") !=
        std::string::npos);
  CHECK(post("/edge/open", "{}").find("hello-first") != std::string::npos);
  CHECK(post("/edge/poll", "{\"link\":\"00\"}").find("410") != std::string::npos);
  CHECK(post("/edge/open", "{\"frames\":[{\"t\":\"hello\",\"device\":7}]}").find("400") != std::string::npos);
  // 200 MB of blanks, some 200 KB once compressed.
  namespace websocket = boost::beast::websocket;
  websocket::stream<boost::beast::tcp_stream> bomb(site.io);
  boost::beast::get_lowest_layer(bomb).connect(site.server->edge_endpoint());
  websocket::permessage_deflate deflate;
  deflate.client_enable = true;
  bomb.set_option(deflate);
  bomb.set_option(websocket::stream_base::decorator([](websocket::request_type& request) {
    request.set(boost::beast::http::field::sec_websocket_protocol, "steprail.json");
  }));
  bool shaken = false, refused = false;
  bomb.async_handshake("edge", "/edge/ws", [&](boost::system::error_code error) { shaken = !error; });
  REQUIRE(site.until([&] { return shaken; }));
  const std::string blanks(20 << 20, ' ');
  bomb.async_write(boost::asio::buffer(blanks), [&](boost::system::error_code, std::size_t) {});
  boost::beast::flat_buffer buffer;
  bomb.async_read(buffer,
                  [&](boost::system::error_code error, std::size_t) { refused = static_cast<bool>(error); });
  REQUIRE(site.until([&] { return refused; }));
  // The others did not notice.
  good.client.ask("report", "select 1 from a_1.t", 9000);
  REQUIRE(site.until([&] { return good.device.idle(); }));
  INFO("last error: " << good.device.last_error);
  CHECK(good.client.connects() == 1);
}

TEST_CASE("edge: over rough links, on all fronts, each request has one answer and no load runs twice") {
  Site::Options o = options("  heartbeat-least 100ms\n  heartbeat-most 300ms\n");
  o.engines = 2;
  Site site(o);
  std::size_t loads = 0;
  std::vector<std::unique_ptr<Proxy>> proxies;
  std::vector<std::unique_ptr<Tablet>> tablets;
  for (int i = 0; i < 12; ++i) {
    proxies.push_back(std::make_unique<Proxy>(site.io, site.server->edge_endpoint(), [i](std::size_t n) {
      return draw_link(static_cast<std::uint64_t>(i) * 1000 + n, n > 12 ? 0 : 1 + i % 4);
    }));
    tablets.push_back(std::make_unique<Tablet>(site, "tablet" + std::to_string(i), static_cast<By>(i % 3)));
    tablets.back()->client.set_target(proxies.back()->endpoint());
    tablets.back()->client.set_patience(milliseconds(600));
    tablets.back()->client.connect();
    for (int r = 0; r < 4; ++r) {
      const bool load = r % 2 == 1;
      loads += load;
      tablets.back()->client.ask(load ? "load" : "report",
                                 (load ? "insert into" : "select 1 from") + std::string(" a_1.t"), 15000);
    }
  }
  REQUIRE(site.until(
      [&] {
        return std::all_of(tablets.begin(), tablets.end(), [](const auto& t) { return t->device.idle(); });
      },
      std::chrono::seconds(60)));
  std::size_t load_runs = 0;
  for (const auto& tablet : tablets) {
    for (const auto& [key, request] : tablet->device.requests()) {
      CHECK(request.finals == 1);
      CHECK_FALSE(request.wrong);
      CHECK(request.outcome.how == How::kServed);
      CHECK(request.have_rows == 300);
      load_runs += request.body.verb == "load";
    }
  }
  CHECK(total_runs(site) == 48);
  CHECK(load_runs == loads);
}
