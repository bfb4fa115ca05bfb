// Stories of the spool over loopback: a coordinator, stand-in engines, and readers that stall, drop and
// return.
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <set>

#include "standins/faulty_disk.h"
#include "standins/site.h"

namespace {

using namespace steprail;
using namespace steprail::standin;
using At = Moment::At;
using std::chrono::milliseconds;

const std::string kId = "00000000000000a1";

std::string conf(const std::string& more = {}) {
  return "spool {\n  listen 127.0.0.1:0\n  memory 16m\n  result-most 4m\n  window-most 64k\n" + more + "}\n";
}

Site::Options long_reports(std::size_t engines = 1, const std::string& more = {}) {
  Site::Options options;
  options.engines = engines;
  options.script->rows = 3000;  // 300 KB in 50 pages
  options.script->row_bytes = 100;
  options.conf = conf(more);
  return options;
}

Reply submit(Site& site, Client& reader, const std::string& id, const std::string& verb = "report",
             const std::string& team = "acme", int limit = 9000) {
  reader.call("submit", 1, request(id, verb, team, limit), "select * from lessons_3.hours");
  const auto reply = site.reply(reader);
  REQUIRE(reply);
  return *reply;
}

Reply ask(Site& site, Client& reader, const std::string& method, const Fields& fields) {
  reader.call(method, 7, fields);
  const auto reply = site.reply(reader);
  REQUIRE(reply);
  return *reply;
}

Fields from_row(const std::string& handle, std::uint64_t row, const std::string& window = "20000",
                const std::string& team = "acme") {
  return {{"handle", handle}, {"team", team}, {"row", std::to_string(row)}, {"window", window}};
}

// Reads on to the last row.
std::string rest(Site& site, Client& reader, const std::string& handle, std::uint64_t row,
                 const std::string& window = "20000", const std::string& team = "acme") {
  std::string all;
  for (;;) {
    const Reply part = ask(site, reader, "fetch", from_row(handle, row, window, team));
    REQUIRE(part.field == 0);
    all += part.body;
    row += std::stoull(part.at("got"));
    if (part.at("last") == "1") return all;
  }
}

double metric(Site& site, const std::string& name) {
  const std::string text = site.server->metrics()->serialize();
  const std::size_t at = text.find('\n' + name + ' ');
  return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 2));
}

std::uint64_t held(Site& site) { return site.server->spool()->bytes_held(); }

}  // namespace

TEST_CASE("spool: a long report is whole, the engine free, before the reader has read a row") {
  Site site(long_reports());
  const auto reader = site.reader();
  reader->call("submit", 1, request(kId), "select * from lessons_3.hours");
  REQUIRE(site.until([&] { return site.runs(kId) == 1 && site.open_sessions() == 0; }));
  const auto opened = site.reply(*reader);
  REQUIRE(opened->field == 0);
  CHECK(opened->at("rows") == "3000");
  CHECK(opened->at("columns") == "3");
  CHECK(opened->at("pages") == "50");
  CHECK(opened->at("handle").size() == 32);
  const std::uint64_t got = std::stoull(opened->at("got"));
  CHECK(got == 60);
  CHECK(opened->body + rest(site, *reader, opened->at("handle"), got) == whole(*site.script, kId, 1));
  CHECK(site.runs(kId) == 1);
  CHECK(site.server->broken_invariants() == 0);
}

// Guards against rows lost or doubled where windows and pages cross.
TEST_CASE("spool: any row with any window gives the rows from there on, whole and at least one") {
  Site site(long_reports());
  const auto reader = site.reader();
  const Reply opened = submit(site, *reader, kId);
  const std::string all = whole(*site.script, kId, 1);
  std::vector<std::size_t> starts{0};
  for (std::size_t at = 0; at < all.size(); ++at) {
    if (all[at] == '\n') starts.push_back(at + 1);
  }
  for (const std::uint64_t row : {0, 1, 59, 60, 61, 119, 1500, 2998, 2999}) {
    for (const char* window : {"1", "99", "100", "101", "5999", "6000", "6001", "20000", "9999999"}) {
      const Reply part = ask(site, *reader, "fetch", from_row(opened.at("handle"), row, window));
      REQUIRE(part.field == 0);
      const std::uint64_t rows = std::stoull(part.at("got"));
      CHECK(rows >= 1);
      CHECK(part.body.size() <=
            std::max<std::size_t>(100, std::min<std::size_t>(std::stoull(window), 65536)));
      CHECK(part.body == all.substr(starts[row], starts[row + rows] - starts[row]));
      CHECK((part.at("last") == "1") == (row + rows == 3000));
    }
  }
  const Reply page =
      ask(site, *reader, "fetch",
          {{"handle", opened.at("handle")}, {"team", "acme"}, {"page", "49"}, {"window", "9"}});
  CHECK(page.at("row") == "2940");
}

// Guards against rows of two attempts in one result, and a load that runs twice for its lost pages.
TEST_CASE("spool: an engine dies with half of the pages spooled") {
  for (const std::string verb : {"report", "load"}) {
    Site::Options options = long_reports(2);
    options.script->fault = [](const Moment& m) {
      return m.at == At::kPage && m.run == 1 && m.page == 25 ? Fault::kDie : Fault::kNone;
    };
    Site site(options);
    const auto reader = site.reader();
    const Reply opened = submit(site, *reader, kId, verb);
    if (verb == "load") {
      CHECK(opened.field == 2);
      CHECK(opened.at("code") == "failed");
      CHECK(opened.at("again") == "0");
      site.run_for(milliseconds(50));
      CHECK(site.runs(kId) == 1);
    } else {
      REQUIRE(opened.field == 0);
      CHECK(site.runs(kId) == 2);
      const std::uint64_t got = std::stoull(opened.at("got"));
      CHECK(opened.body + rest(site, *reader, opened.at("handle"), got) == whole(*site.script, kId, 2));
      ask(site, *reader, "release", {{"handle", opened.at("handle")}, {"team", "acme"}});
    }
    CHECK(held(site) == 0);
    CHECK(site.server->broken_invariants() == 0);
  }
}

TEST_CASE("spool: a reader that drops after page 3 goes on from there, and nothing runs again") {
  Site site(long_reports());
  auto reader = site.reader();
  const Reply opened = submit(site, *reader, kId);
  const std::string handle = opened.at("handle");
  std::string all = opened.body;
  const Reply part = ask(site, *reader, "fetch", from_row(handle, 60, "12000"));
  all += part.body;
  CHECK(part.at("got") == "120");
  reader->reset();
  reader = site.reader();
  const Reply again = ask(site, *reader, "resume", {{"txn", kId}, {"team", "acme"}});
  REQUIRE(again.field == 0);
  CHECK(again.at("handle") == handle);
  CHECK(again.body == opened.body);
  all += rest(site, *reader, handle, 180);
  CHECK(all == whole(*site.script, kId, 1));
  CHECK(site.runs(kId) == 1);
  CHECK(metric(site, "steprail_spool_served_total") == 1);
  // Up to the last row and no farther; then it is gone, and the reason is told.
  Fields ack{{"handle", handle}, {"team", "acme"}, {"rows", "3001"}};
  CHECK(ask(site, *reader, "acknowledge", ack).at("code") == "beyond");
  ack["rows"] = "2999";
  CHECK(ask(site, *reader, "acknowledge", ack).field == 0);
  CHECK(held(site) == 300'000);
  ack["rows"] = "3000";
  CHECK(ask(site, *reader, "acknowledge", ack).field == 0);
  CHECK(held(site) == 0);
  const Reply gone = ask(site, *reader, "fetch", from_row(handle, 0));
  CHECK(gone.field == 2);
  CHECK(gone.at("code") == "acknowledged");
  CHECK(metric(site, "steprail_spool_served_total") == 1);
}

TEST_CASE("spool: a reader that drops while its query runs finds the answer, by another connection") {
  Site::Options options = long_reports();
  options.script->runs_for = milliseconds(150);
  Site site(options);
  auto reader = site.reader();
  reader->call("submit", 1, request(kId), "select * from lessons_3.hours");
  REQUIRE(site.until([&] { return site.runs(kId) == 1; }));
  reader->reset();
  // One that waits is told when another takes its place.
  const auto second = site.reader();
  second->call("resume", 3, {{"txn", kId}, {"team", "acme"}});
  site.run_for(milliseconds(20));
  const auto third = site.reader();
  third->call("resume", 4, {{"txn", kId}, {"team", "acme"}});
  const auto displaced = site.reply(*second);
  CHECK(displaced->call == 3);
  CHECK(displaced->at("code") == "other-reader");
  const auto opened = site.reply(*third);
  REQUIRE(opened->field == 0);
  CHECK(opened->call == 4);
  CHECK(opened->body + rest(site, *third, opened->at("handle"), 60) == whole(*site.script, kId, 1));
  CHECK(site.runs(kId) == 1);
}

TEST_CASE("spool: a reader that comes too late, or never, leaves nothing behind") {
  Site site(long_reports(1, "  lease 1s\n"));
  auto reader = site.reader();
  REQUIRE(submit(site, *reader, kId).field == 0);
  const std::string other = "00000000000000b2";
  const auto patient = site.reader();
  const auto start = std::chrono::steady_clock::now();
  const Reply opened = submit(site, *patient, other, "report", "acme", 2500);
  CHECK(held(site) == 600'000);
  reader->reset();
  // One that keeps asking keeps its lease, though never beyond the request's own give-up time.
  Reply part;
  do {
    site.run_for(milliseconds(20));
    part = ask(site, *patient, "fetch", from_row(opened.at("handle"), 0, "100"));
  } while (part.field == 0);
  CHECK(std::chrono::steady_clock::now() - start > milliseconds(2400));
  CHECK(part.at("code") == "too-late");
  CHECK(held(site) == 0);
  reader = site.reader();
  CHECK(ask(site, *reader, "resume", {{"txn", kId}, {"team", "acme"}}).at("code") == "lease-ended");
  CHECK(ask(site, *reader, "resume", {{"txn", other}, {"team", "acme"}}).at("code") == "too-late");
  CHECK(site.runs(kId) == 1);
  CHECK(site.server->spool()->logic().size() == 0);
}

TEST_CASE("spool: interrupt while pages come in frees the engine and the bytes") {
  Site::Options options = long_reports();
  options.script->fault = [](const Moment& m) {
    return m.at == At::kPage && m.page == 30 ? Fault::kSilent : Fault::kNone;
  };
  Site site(options);
  const auto reader = site.reader();
  reader->call("submit", 5, request(kId), "select * from lessons_3.hours");
  REQUIRE(site.until([&] { return held(site) > 0 && site.engines[0]->heard("read") >= 30; }));
  reader->write(encode_interrupt(5));
  REQUIRE(site.until([&] { return site.open_sessions() == 0; }));
  CHECK(held(site) == 0);
  CHECK(ask(site, *reader, "resume", {{"txn", kId}, {"team", "acme"}}).at("code") == "interrupted");
}

TEST_CASE("spool: no handle opens what is another's, and every refusal says why") {
  Site site(long_reports());
  const auto reader = site.reader();
  const Reply opened = submit(site, *reader, kId);
  const std::string handle = opened.at("handle");
  const auto stranger = site.reader();
  // Another tenant's handle and a forged one are told apart by nothing.
  const Reply forged = ask(site, *stranger, "fetch", from_row(std::string(32, 'a'), 0, "10", "umbra"));
  const Reply others = ask(site, *stranger, "fetch", from_row(handle, 0, "10", "umbra"));
  CHECK(forged.at("code") == "unknown");
  CHECK(others.fields == forged.fields);
  CHECK(others.body.empty());
  CHECK(ask(site, *stranger, "resume", {{"txn", kId}, {"team", "umbra"}}).fields == forged.fields);
  CHECK(ask(site, *stranger, "fetch", from_row(handle, 0, "10", "nobody")).at("code") == "unusable");
  // The same tenant, by another connection: not while the first one reads.
  CHECK(ask(site, *stranger, "fetch", from_row(handle, 0)).at("code") == "other-reader");
  CHECK(ask(site, *stranger, "resume", {{"txn", kId}, {"team", "acme"}}).field == 0);
  CHECK(ask(site, *reader, "fetch", from_row(handle, 0)).at("code") == "other-reader");
  CHECK(ask(site, *stranger, "fetch", from_row(handle, 3000)).at("code") == "beyond");
  CHECK(ask(site, *stranger, "fetch", {{"handle", handle}, {"team", "acme"}, {"page", "50"}}).at("code") ==
        "beyond");
  CHECK(ask(site, *stranger, "fetch", {{"handle", handle}, {"team", "acme"}}).at("code") == "unusable");
  CHECK(ask(site, *stranger, "fetch", from_row(handle, 0, "-1")).at("code") == "unusable");
  CHECK(
      ask(site, *stranger, "acknowledge", {{"handle", handle}, {"team", "acme"}, {"rows", "x"}}).at("code") ==
      "unusable");
  CHECK(submit(site, *stranger, kId).at("reason") == "txn in use");
  CHECK(ask(site, *stranger, "release", {{"handle", handle}, {"team", "acme"}}).field == 0);
  CHECK(ask(site, *stranger, "fetch", from_row(handle, 0)).at("code") == "released");
  CHECK(held(site) == 0);
}

TEST_CASE("spool: a full spool answers directly what it may, and says so of what it may not") {
  Site::Options options = long_reports();
  options.conf = "spool {\n  listen 127.0.0.1:0\n  memory 1m reserved 0%\n  result-most 256k\n}\n";
  options.script->rows = 2000;  // 200 KB
  Site site(options);
  const auto reader = site.reader();
  std::vector<std::string> handles;
  std::string id = kId;
  for (char c = '1'; c <= '5'; ++c) {
    id.back() = c;
    const Reply opened = submit(site, *reader, id);
    REQUIRE(opened.field == 0);
    handles.push_back(opened.at("handle"));
  }
  CHECK(site.open_sessions() == 0);
  id.back() = '6';
  const Reply full = submit(site, *reader, id);
  CHECK(full.at("code") == "spool-full");
  CHECK(full.at("again") == "1");  // a report may run again
  id.back() = '7';
  CHECK(submit(site, *reader, id, "load").at("again") == "0");
  CHECK(site.runs(id) == 1);
  // Within the platform's bound it is answered whole, as without a spool.
  site.script->rows = 400;
  id.back() = '8';
  Reply whole_answer = submit(site, *reader, id);
  REQUIRE(whole_answer.field == 0);
  CHECK(whole_answer.at("handle").empty());
  CHECK(whole_answer.body == whole(*site.script, id, 1));
  CHECK(ask(site, *reader, "resume", {{"txn", id}, {"team", "acme"}}).at("code") == "answered");
  site.script->rows = 2700;
  id.back() = '9';
  CHECK(submit(site, *reader, id).at("code") == "too-long");
  for (const std::string& handle : handles)
    CHECK(ask(site, *reader, "release", {{"handle", handle}, {"team", "acme"}}).field == 0);
  CHECK(held(site) == 0);
  // The engines' connections were not given up over it, nor were they taken for ill.
  CHECK(site.open_sessions() == 0);
  CHECK(site.server->broken_invariants() == 0);
}

TEST_CASE("spool: one tenant's stalled readers leave the other its share") {
  Site::Options options = long_reports();
  options.change = [](nlohmann::json& config) { config["limits"]["sockets"] = 4096; };
  options.conf =
      "spool {\n  listen 127.0.0.1:0\n  memory 4m reserved 60%\n  result-most 512k\n  sessions 500\n"
      "  unread-most 64k\n}\n";
  Site site(options);
  std::vector<std::unique_ptr<Client>> stalled;
  int full = 0;
  for (int i = 0; i < 100; ++i) {
    stalled.push_back(site.reader());
    std::string id = "000000000000a000";
    id[14] = static_cast<char>('0' + i / 10), id[15] = static_cast<char>('0' + i % 10);
    stalled.back()->call("submit", 1, request(id), "select * from lessons_3.hours");
    // Asks for much, and reads none of it.
    const auto opened = site.reply(*stalled.back());
    if (opened->field != 0) {
      ++full;
      continue;
    }
    for (int call = 2; call < 30; ++call)
      stalled.back()->call("fetch", call, from_row(opened->at("handle"), 0, "999999"));
  }
  CHECK(full > 80);
  CHECK(held(site) <= 4u << 20);
  const auto reader = site.reader();
  for (const char c : {'1', '2', '3', '4'}) {
    std::string id = "00000000000000f0";
    id.back() = c;
    const Reply opened = submit(site, *reader, id, "report", "umbra");
    REQUIRE(opened.field == 0);
    REQUIRE_FALSE(opened.at("handle").empty());
    CHECK(opened.body + rest(site, *reader, opened.at("handle"), 60, "20000", "umbra") ==
          whole(*site.script, id, 1));
    ask(site, *reader, "release", {{"handle", opened.at("handle")}, {"team", "umbra"}});
  }
  CHECK(held(site) <= 4u << 20);
}

TEST_CASE("spool: 2,000 stalled readers at once hold no engine, keep to the budget, and leave nothing") {
  rlimit limit{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
  limit.rlim_cur = limit.rlim_max;
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
  constexpr int kReaders = 2000, kAtATime = 10;
  Site::Options options = long_reports(2);
  options.change = [](nlohmann::json& config) { config["limits"]["sockets"] = 8192; };
  options.script->rows = 1000;  // 100 KB: too long for a direct answer
  constexpr std::uint64_t kBudget = 32u << 20;
  options.conf =
      "spool {\n  listen 127.0.0.1:0\n  memory 32m reserved 60%\n  result-most 512k\n  sessions 2500\n"
      "  unread-most 16k\n  lease 5s\n}\n";
  Site site(options);
  std::vector<std::unique_ptr<Client>> stalled;
  int kept = 0;
  std::uint64_t most = 0;
  for (int from = 0; from < kReaders; from += kAtATime) {
    for (int i = from; i < from + kAtATime; ++i) {
      char id[17];
      std::snprintf(id, sizeof id, "%016x", 0xa0000 + i);
      stalled.push_back(site.reader());
      stalled.back()->call("submit", 1, request(id, "report", "acme", 19000),
                           "select * from lessons_3.hours");
    }
    for (int i = from; i < from + kAtATime; ++i) {
      Client& reader = *stalled[static_cast<std::size_t>(i)];
      const auto opened = site.reply(reader);
      REQUIRE(opened);
      // Asks for all of it over and over, and reads none.
      if (opened->field == 0) {
        ++kept;
        for (int call = 2; call < 30; ++call)
          reader.call("fetch", call, from_row(opened->at("handle"), 0, "65536"));
      } else {
        CHECK(opened->at("code") == "spool-full");
      }
    }
    most = std::max(most, held(site));
  }
  CHECK(stalled.size() == kReaders);
  CHECK(kept > 200);
  CHECK(most <= kBudget);
  REQUIRE(site.until([&] { return site.open_sessions() == 0; }));
  // Both kinds of query still have their answers: the other tenant's from its reserve, the direct ones from
  // none.
  const auto reader = site.reader();
  const std::string id = "00000000000000f0";
  const Reply opened = submit(site, *reader, id, "report", "umbra");
  REQUIRE(opened.field == 0);
  CHECK(opened.body + rest(site, *reader, opened.at("handle"), 60, "20000", "umbra") ==
        whole(*site.script, id, 1));
  ask(site, *reader, "release", {{"handle", opened.at("handle")}, {"team", "umbra"}});
  for (const auto& client : stalled) client->reset();
  REQUIRE(site.until([&] { return held(site) == 0; }, std::chrono::seconds(60)));
  CHECK(site.server->spool()->logic().size() == 0);
  CHECK(site.server->broken_invariants() == 0);
}

TEST_CASE("spool: a reload below what is in use keeps what is there, a bad one changes nothing") {
  Site site(long_reports());
  const auto reader = site.reader();
  const Reply opened = submit(site, *reader, kId);
  REQUIRE(opened.field == 0);
  site.set_conf("spool {\n  listen 127.0.0.1:0\n  memory 1m\n  result-most 256k\n  window-most 16k\n}\n");
  site.server->reload();
  CHECK(site.server->spool()->settings().logic.memory.most == 1u << 20);
  CHECK(opened.body + rest(site, *reader, opened.at("handle"), 60) == whole(*site.script, kId, 1));
  for (const char* bad : {"spool {\n  memory 8m\n", "", "spool {\n  listen 127.0.0.1:1\n  memory 2m\n}\n",
                          "spool {\n  listen 127.0.0.1:0\n  memory 8g\n  result-most 8m\n}\n"}) {
    site.set_conf(bad);
    site.server->reload();
    CHECK(site.server->spool()->settings().logic.memory.most == 1u << 20);
  }
}

namespace {

// A site whose spool lies on a disk that fails on request, and a wall clock that jumps on request.
struct OnDisk {
  explicit OnDisk(const std::string& more = "  disk-above 1k\n") {
    Site::Options options = long_reports(1, "  disk /unused 64m\n" + more);
    options.substitutes = [this] {
      return spool::Substitutes{disk->files(), disk->index(), [this] { return unix_us; }};
    };
    site = std::make_unique<Site>(options);
  }
  bool stored() {
    return site->until([&] {
      const auto view = site->server->spool()->logic().view(0xa1);
      return !view || (!view->storing && site->server->spool()->disk_idle());
    });
  }
  std::shared_ptr<FaultyDisk> disk = std::make_shared<FaultyDisk>();
  std::int64_t unix_us{1'700'000'000'000'000};
  std::unique_ptr<Site> site;
};

}  // namespace

TEST_CASE("spool: results on disk are read back byte for byte, and what is gone leaves nothing") {
  OnDisk w;
  const auto reader = w.site->reader();
  const Reply opened = submit(*w.site, *reader, kId);
  REQUIRE(w.stored());
  CHECK(w.site->server->spool()->logic().view(0xa1)->on_disk);
  CHECK(held(*w.site) == 0);
  CHECK(opened.body + rest(*w.site, *reader, opened.at("handle"), 60) == whole(*w.site->script, kId, 1));
  CHECK(held(*w.site) == 0);
  CHECK(ask(*w.site, *reader, "acknowledge",
            {{"handle", opened.at("handle")}, {"team", "acme"}, {"rows", "3000"}})
            .field == 0);
  REQUIRE(w.site->until([&] { return w.site->server->spool()->disk_idle(); }));
  CHECK(w.site->server->spool()->logic().disk().used() == 0);
  CHECK(w.disk->entries().empty());
}

TEST_CASE("spool: after a kill the next process goes on with what was on disk") {
  OnDisk w;
  auto reader = w.site->reader();
  const Reply opened = submit(*w.site, *reader, kId);
  REQUIRE(w.stored());
  w.site->kill();
  w.disk = w.disk->after_kill();
  w.unix_us += 2'000'000;
  w.site->start();
  reader = w.site->reader();
  const Reply again = ask(*w.site, *reader, "resume", {{"txn", kId}, {"team", "acme"}});
  REQUIRE(again.field == 0);
  CHECK(again.at("handle") == opened.at("handle"));
  CHECK(opened.body + rest(*w.site, *reader, again.at("handle"), 60) == whole(*w.site->script, kId, 1));
  CHECK(w.site->runs(kId) == 1);
  CHECK(metric(*w.site, "steprail_spool_recovered_total") == 1);
}

// Guards against a result that its reader has whole lying on the disk until its lease ends.
TEST_CASE("spool: what was read to its end before a restart and is acknowledged after it is gone at once") {
  OnDisk w("  disk-above 1k\n  lease 1h\n");
  auto reader = w.site->reader();
  const Reply opened = submit(*w.site, *reader, kId);
  REQUIRE(w.stored());
  CHECK(opened.body + rest(*w.site, *reader, opened.at("handle"), 60) == whole(*w.site->script, kId, 1));
  w.site->kill();
  w.disk = w.disk->after_kill();
  w.site->start();
  reader = w.site->reader();
  const Fields ack{{"handle", opened.at("handle")}, {"team", "acme"}, {"rows", "3000"}};
  CHECK(ask(*w.site, *reader, "acknowledge", ack).field == 0);
  REQUIRE(w.site->until([&] { return w.site->server->spool()->disk_idle(); }));
  CHECK(w.site->server->spool()->logic().size() == 0);
  CHECK(w.disk->entries().empty());
}

// Guards against leases that a wall clock lengthens or cuts.
TEST_CASE("spool: a wall clock that jumps moves no lease, and after a restart lengthens none") {
  OnDisk w("  disk-above 1k\n  lease 1h\n");
  auto reader = w.site->reader();
  submit(*w.site, *reader, kId);
  const auto before = w.site->server->spool()->logic().view(0xa1)->expires;
  REQUIRE(w.stored());
  w.unix_us += 3'600'000'000;
  w.site->run_for(milliseconds(30));
  CHECK(w.site->server->spool()->logic().view(0xa1)->expires == before);
  // Set back by an hour while the process was away: it has no more time than it had.
  w.unix_us -= 2 * 3'600'000'000ll;
  w.site->kill();
  w.disk = w.disk->after_kill();
  w.site->start();
  const auto view = w.site->server->spool()->logic().view(0xa1);
  REQUIRE(view);
  const auto now = std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
  CHECK(view->give_up - now <= std::chrono::seconds(9));
  // Set forward past its time: it is gone, and nothing of it stays.
  w.unix_us += 4 * 3'600'000'000ll;
  w.site->kill();
  w.disk = w.disk->after_kill();
  w.site->start();
  CHECK_FALSE(w.site->server->spool()->logic().view(0xa1));
  CHECK(w.disk->entries().empty());
}

TEST_CASE("spool: after a failed sync the tier is closed, and what was to go there stays in memory") {
  OnDisk w;
  // Made, its name synced, a chunk of the 300 KB five times, then the sync.
  w.disk->fail_at(2 + 5 + 1, FaultyDisk::Fault::kEio);
  const auto reader = w.site->reader();
  const Reply opened = submit(*w.site, *reader, kId);
  REQUIRE(w.site->until([&] { return !w.site->server->spool()->logic().disk_open(); }));
  CHECK(opened.body + rest(*w.site, *reader, opened.at("handle"), 60) == whole(*w.site->script, kId, 1));
  CHECK(held(*w.site) == 300'000);
  const std::size_t operations = w.disk->operations();
  std::string other = kId;
  other.back() = '2';
  REQUIRE(submit(*w.site, *reader, other).field == 0);
  w.site->run_for(milliseconds(20));
  CHECK(w.disk->operations() == operations);
  CHECK(w.disk->writes_after_failed_sync() == 0);
}

TEST_CASE("spool: rows that the disk has spoilt are not served, and the reader is told") {
  OnDisk w;
  const auto reader = w.site->reader();
  const Reply opened = submit(*w.site, *reader, kId);
  REQUIRE(w.stored());
  w.disk->flip_bit(w.disk->content().begin()->first, 100'000, 3);
  CHECK(ask(*w.site, *reader, "fetch", from_row(opened.at("handle"), 0, "6000")).field == 0);
  const Reply spoilt = ask(*w.site, *reader, "fetch", from_row(opened.at("handle"), 900, "6000"));
  CHECK(spoilt.at("code") == "lost");
  CHECK(spoilt.body.empty());
  CHECK(ask(*w.site, *reader, "fetch", from_row(opened.at("handle"), 0, "6000")).at("code") == "lost");
  CHECK(held(*w.site) == 0);
}

// Guards against a result given up for lost where only descriptors are short.
TEST_CASE("spool: with all descriptors taken a read is refused, not lost") {
  OnDisk w;
  const auto reader = w.site->reader();
  const Reply opened = submit(*w.site, *reader, kId);
  REQUIRE(w.stored());
  w.disk->take_descriptors(true);
  const Reply busy = ask(*w.site, *reader, "fetch", from_row(opened.at("handle"), 60));
  CHECK(busy.field == 1);
  CHECK(busy.at("code") == "busy");
  w.disk->take_descriptors(false);
  CHECK(opened.body + rest(*w.site, *reader, opened.at("handle"), 60) == whole(*w.site->script, kId, 1));
}

TEST_CASE("spool: connections beyond their number wait or take the place of one that is idle") {
  Site::Options options = long_reports(1, "  sessions 4\n");
  Site site(options);
  std::vector<std::unique_ptr<Client>> idle;
  for (int i = 0; i < 12; ++i) {
    idle.push_back(site.reader());
    idle.back()->write(encode_check(1));
    REQUIRE(site.reply(*idle.back()));
  }
  const auto reader = site.reader();
  CHECK(submit(site, *reader, kId).field == 0);
}

TEST_CASE(
    "spool: at SIGTERM without a disk unread results are still read, and the end waits no longer than "
    "leases") {
  Site site(long_reports());
  const auto reader = site.reader();
  const Reply opened = submit(site, *reader, kId, "report", "acme", 3000);
  const auto other = site.reader();
  std::string never = kId;
  never.back() = '2';
  const auto start = std::chrono::steady_clock::now();
  REQUIRE(submit(site, *other, never, "report", "acme", 2000).field == 0);
  other->reset();
  site.server->stop();
  site.run_for(milliseconds(900));  // past the grace: nothing new is taken
  std::string late = kId;
  late.back() = '3';
  CHECK(submit(site, *reader, late).at("code") == "refused");
  CHECK(opened.body + rest(site, *reader, opened.at("handle"), 60) == whole(*site.script, kId, 1));
  CHECK(
      ask(site, *reader, "acknowledge", {{"handle", opened.at("handle")}, {"team", "acme"}, {"rows", "3000"}})
          .field == 0);
  CHECK_FALSE(site.server->io().stopped());
  REQUIRE(site.until([&] { return site.server->io().stopped(); }));
  const auto took = std::chrono::steady_clock::now() - start;
  CHECK(took > milliseconds(1900));
  CHECK(held(site) == 0);
}

namespace {

// The real program in a process of its own, its log read from a pipe.
class Process {
 public:
  explicit Process(const Site& site) {
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    const std::string config = site.folder.path("config.json"), conf = site.folder.path("steprail.conf");
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(ends[1], 2);
      ::close(ends[0]);
      ::execl(STEPRAIL, STEPRAIL, "serve", "--config", config.c_str(), "--conf", conf.c_str(), nullptr);
      ::_exit(127);
    }
    ::close(ends[1]);
    log_ = ends[0];
    const std::string line = until("spool-listening address=");
    const std::size_t colon = line.rfind(':');
    endpoint = {boost::asio::ip::address_v4::loopback(),
                static_cast<std::uint16_t>(std::stoi(line.substr(colon + 1)))};
  }
  ~Process() {
    if (pid_ > 0) end(SIGKILL);
    ::close(log_);
  }
  int end(int signal) {
    int status = 0;
    ::kill(pid_, signal);
    ::waitpid(std::exchange(pid_, 0), &status, 0);
    return status;
  }
  std::string until(const std::string& text) {
    for (char c = 0; ::read(log_, &c, 1) == 1;) {
      if (c != '\n') {
        line_.push_back(c);
        continue;
      }
      const std::string line = std::exchange(line_, {});
      if (line.find(text) != std::string::npos) return line;
    }
    FAIL("the program's log has ended");
    return {};
  }
  tcp::endpoint endpoint;

 private:
  pid_t pid_{};
  int log_{};
  std::string line_;
};

}  // namespace

TEST_CASE("spool: the real program, killed or asked to stop, leaves to the next one what its disk holds") {
  for (const int signal : {SIGKILL, SIGTERM}) {
    Site::Options options = long_reports();
    Site site(options);
    site.kill();  // its engines, files and directory stay; the coordinator is a process of its own
    site.set_conf("spool {\n  listen 127.0.0.1:0\n  memory 16m\n  result-most 4m\n  disk " +
                  site.folder.path("disk") + " 64m\n" + (signal == SIGKILL ? "  disk-above 1k\n" : "") +
                  "}\n");
    auto process = std::make_unique<Process>(site);
    auto reader = std::make_unique<Client>(site.io, process->endpoint);
    const Reply opened = submit(site, *reader, kId, "report", "acme", 15000);
    REQUIRE(opened.field == 0);
    if (signal == SIGKILL) {
      // On disk once a fetch has been answered from there, which the log does not tell: the folder does.
      REQUIRE(site.until([&] {
        std::uintmax_t bytes = 0;
        for (const auto& entry : std::filesystem::directory_iterator(site.folder.path("disk")))
          if (entry.path().filename() != "index") bytes += entry.file_size();
        return bytes > 300'000;
      }));
      // Its sync and the index follow the bytes; a result stored behind it is their proof.
      std::string behind = kId;
      behind.back() = '2';
      REQUIRE(submit(site, *reader, behind, "report", "acme", 15000).field == 0);
      REQUIRE(site.until([&] {
        std::uintmax_t bytes = 0;
        for (const auto& entry : std::filesystem::directory_iterator(site.folder.path("disk")))
          if (entry.path().filename() != "index") bytes += entry.file_size();
        return bytes > 600'000;
      }));
    }
    const int status = process->end(signal);
    if (signal == SIGTERM) CHECK((WIFEXITED(status) && WEXITSTATUS(status) == 0));
    process = std::make_unique<Process>(site);
    reader = std::make_unique<Client>(site.io, process->endpoint);
    const Reply again = ask(site, *reader, "resume", {{"txn", kId}, {"team", "acme"}});
    REQUIRE(again.field == 0);
    CHECK(again.body + rest(site, *reader, again.at("handle"), 60) == whole(*site.script, kId, 1));
    CHECK(site.runs(kId) == 1);
  }
}

// Guards against the platform's service changing for what is switched on beside it.
TEST_CASE("spool: the platform's service gives the same bytes with the spool on") {
  std::string bytes[2];
  for (const bool on : {false, true}) {
    Site::Options options = long_reports();
    options.script->rows = 300;
    if (!on) options.conf.clear();
    Site site(options);
    const auto client = site.client();
    client->write(encode_call("execute", 1, request(kId), "select 1 from a_7.t") + encode_check(2) +
                  encode_call("execute", 3, {{"txn", "x"}}, "select 1"));
    REQUIRE(site.until([&] {
      char part[65536];
      boost::system::error_code error;
      const std::size_t count = client->socket().read_some(boost::asio::buffer(part), error);
      bytes[on].append(part, error ? 0 : count);
      return bytes[on].size() >= 30'148;
    }));
    site.run_for(milliseconds(20));
    CHECK_FALSE(client->take());
  }
  CHECK(bytes[0] == bytes[1]);
}

TEST_CASE("spool: metrics are written to their file at SIGUSR1") {
  Site::Options options = long_reports();
  const Folder folder;
  options.conf += "metrics {\n  file " + folder.path("m.prom") + "\n}\n";
  Site site(options);
  const auto reader = site.reader();
  REQUIRE(submit(site, *reader, kId).field == 0);
  ::raise(SIGUSR1);
  std::string text;
  REQUIRE(site.until([&] {
    std::ifstream file(folder.path("m.prom"));
    text.assign(std::istreambuf_iterator<char>(file), {});
    return !text.empty();
  }));
  CHECK(text.find("steprail_spool_memory_bytes 300000\n") != std::string::npos);
}
