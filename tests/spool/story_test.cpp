// Integration tests of the spool over loopback: a coordinator, fake engines, and readers that stall,
// disconnect and resume.
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
using At = FaultPoint::Stage;
using std::chrono::milliseconds;

const std::string kId = "00000000000000a1";

std::string conf(const std::string& more = {}) {
  return "spool {\n  listen 127.0.0.1:0\n  memory 16m\n  result-most 4m\n  window-most 64k\n" + more + "}\n";
}

Site::Options long_report_options(std::size_t engines = 1, const std::string& more = {}) {
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
  const auto reply = site.wait_for_reply(reader);
  REQUIRE(reply);
  return *reply;
}

Reply call_and_wait(Site& site, Client& reader, const std::string& method, const Fields& fields) {
  reader.call(method, 7, fields);
  const auto reply = site.wait_for_reply(reader);
  REQUIRE(reply);
  return *reply;
}

Fields from_row(const std::string& handle, std::uint64_t row, const std::string& window = "20000",
                const std::string& team = "acme") {
  return {{"handle", handle}, {"team", team}, {"row", std::to_string(row)}, {"window", window}};
}

// Fetches from `row` to the last row.
std::string read_rest(Site& site, Client& reader, const std::string& handle, std::uint64_t row,
                      const std::string& window = "20000", const std::string& team = "acme") {
  std::string all;
  for (;;) {
    const Reply part = call_and_wait(site, reader, "fetch", from_row(handle, row, window, team));
    REQUIRE(part.field == 0);
    all += part.body;
    row += std::stoull(part.at("got"));
    if (part.at("last") == "1") return all;
  }
}

double metric_value(Site& site, const std::string& name) {
  const std::string text = site.server->metrics()->serialize();
  const std::size_t at = text.find('\n' + name + ' ');
  return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 2));
}

std::uint64_t held_bytes(Site& site) { return site.server->spool()->bytes_held(); }

}  // namespace

TEST_CASE("spool: a long report is complete and its engine free before the reader reads a row") {
  Site site(long_report_options());
  const auto reader = site.reader();
  reader->call("submit", 1, request(kId), "select * from lessons_3.hours");
  REQUIRE(site.run_until([&] { return site.run_count(kId) == 1 && site.open_sessions() == 0; }));
  const auto opened = site.wait_for_reply(*reader);
  REQUIRE(opened->field == 0);
  CHECK(opened->at("rows") == "3000");
  CHECK(opened->at("columns") == "3");
  CHECK(opened->at("pages") == "50");
  CHECK(opened->at("handle").size() == 32);
  const std::uint64_t got = std::stoull(opened->at("got"));
  CHECK(got == 60);
  CHECK(opened->body + read_rest(site, *reader, opened->at("handle"), got) ==
        full_result(*site.script, kId, 1));
  CHECK(site.run_count(kId) == 1);
  CHECK(site.server->broken_invariants() == 0);
}

// Guards against rows that are lost or duplicated where the ends of windows and pages differ.
TEST_CASE("spool: a fetch from any row with any window returns at least one row, and only whole rows") {
  Site site(long_report_options());
  const auto reader = site.reader();
  const Reply opened = submit(site, *reader, kId);
  const std::string all = full_result(*site.script, kId, 1);
  std::vector<std::size_t> starts{0};
  for (std::size_t at = 0; at < all.size(); ++at) {
    if (all[at] == '\n') starts.push_back(at + 1);
  }
  for (const std::uint64_t row : {0, 1, 59, 60, 61, 119, 1500, 2998, 2999}) {
    for (const char* window : {"1", "99", "100", "101", "5999", "6000", "6001", "20000", "9999999"}) {
      const Reply part = call_and_wait(site, *reader, "fetch", from_row(opened.at("handle"), row, window));
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
      call_and_wait(site, *reader, "fetch",
                    {{"handle", opened.at("handle")}, {"team", "acme"}, {"page", "49"}, {"window", "9"}});
  CHECK(page.at("row") == "2940");
}

// Guards against rows that are missing when a reader, or the edge after a lost link, fetches a window again.
TEST_CASE("spool: a window holds as many rows as fit, and fetched again with just its bytes it is the same") {
  constexpr std::uint64_t kRows = 3000, kRowBytes = 100, kMaxWindow = 65536;
  Site site(long_report_options());
  const auto reader = site.reader();
  const Reply opened = submit(site, *reader, kId);
  for (const std::uint64_t row : {0, 1, 40, 59, 60, 61, 119, 1500, 2921, 2998}) {
    for (const std::uint64_t window : {1, 100, 4000, 5999, 6000, 6001, 12000, 20000, 65536}) {
      INFO("row " << row << ", window " << window);
      const auto fetch = [&](std::uint64_t bytes) {
        return call_and_wait(site, *reader, "fetch",
                             from_row(opened.at("handle"), row, std::to_string(bytes)));
      };
      const Reply first = fetch(window);
      const std::uint64_t fitting = std::max<std::uint64_t>(1, std::min(window, kMaxWindow) / kRowBytes);
      CHECK(std::stoull(first.at("got")) == std::min(kRows - row, fitting));
      const Reply again = fetch(first.body.size());
      CHECK(again.body == first.body);
      CHECK(again.at("last") == first.at("last"));
    }
  }
}

// Guards against mixing the rows of two attempts in one result, and against running a load twice because its
// pages were lost.
TEST_CASE("spool: an engine dies when half of the pages are spooled") {
  for (const std::string verb : {"report", "load"}) {
    Site::Options options = long_report_options(2);
    options.script->fault = [](const FaultPoint& m) {
      return m.stage == At::kPage && m.run == 1 && m.page == 25 ? Fault::kCrash : Fault::kNone;
    };
    Site site(options);
    const auto reader = site.reader();
    const Reply opened = submit(site, *reader, kId, verb);
    if (verb == "load") {
      CHECK(opened.field == 2);
      CHECK(opened.at("code") == "failed");
      CHECK(opened.at("again") == "0");
      site.run_for(milliseconds(50));
      CHECK(site.run_count(kId) == 1);
    } else {
      REQUIRE(opened.field == 0);
      CHECK(site.run_count(kId) == 2);
      const std::uint64_t got = std::stoull(opened.at("got"));
      CHECK(opened.body + read_rest(site, *reader, opened.at("handle"), got) ==
            full_result(*site.script, kId, 2));
      call_and_wait(site, *reader, "release", {{"handle", opened.at("handle")}, {"team", "acme"}});
    }
    CHECK(held_bytes(site) == 0);
    CHECK(site.server->broken_invariants() == 0);
  }
}

TEST_CASE("spool: a reader that disconnects after page 3 resumes there, and nothing runs again") {
  Site site(long_report_options());
  auto reader = site.reader();
  const Reply opened = submit(site, *reader, kId);
  const std::string handle = opened.at("handle");
  std::string all = opened.body;
  const Reply part = call_and_wait(site, *reader, "fetch", from_row(handle, 60, "12000"));
  all += part.body;
  CHECK(part.at("got") == "120");
  reader->reset();
  reader = site.reader();
  const Reply again = call_and_wait(site, *reader, "resume", {{"txn", kId}, {"team", "acme"}});
  REQUIRE(again.field == 0);
  CHECK(again.at("handle") == handle);
  CHECK(again.body == opened.body);
  all += read_rest(site, *reader, handle, 180);
  CHECK(all == full_result(*site.script, kId, 1));
  CHECK(site.run_count(kId) == 1);
  CHECK(metric_value(site, "steprail_spool_served_total") == 1);
  // Acknowledging the last row ends the result; later calls are told the reason.
  Fields ack{{"handle", handle}, {"team", "acme"}, {"rows", "3001"}};
  CHECK(call_and_wait(site, *reader, "acknowledge", ack).at("code") == "beyond");
  ack["rows"] = "2999";
  CHECK(call_and_wait(site, *reader, "acknowledge", ack).field == 0);
  CHECK(held_bytes(site) == 300'000);
  ack["rows"] = "3000";
  CHECK(call_and_wait(site, *reader, "acknowledge", ack).field == 0);
  CHECK(held_bytes(site) == 0);
  const Reply gone = call_and_wait(site, *reader, "fetch", from_row(handle, 0));
  CHECK(gone.field == 2);
  CHECK(gone.at("code") == "acknowledged");
  CHECK(metric_value(site, "steprail_spool_served_total") == 1);
}

TEST_CASE("spool: a reader that disconnects while its query runs gets the answer on another connection") {
  Site::Options options = long_report_options();
  options.script->run_time = milliseconds(150);
  Site site(options);
  auto reader = site.reader();
  reader->call("submit", 1, request(kId), "select * from lessons_3.hours");
  REQUIRE(site.run_until([&] { return site.run_count(kId) == 1; }));
  reader->reset();
  // A call that waits is refused when another connection takes its place.
  const auto second = site.reader();
  second->call("resume", 3, {{"txn", kId}, {"team", "acme"}});
  site.run_for(milliseconds(20));
  const auto third = site.reader();
  third->call("resume", 4, {{"txn", kId}, {"team", "acme"}});
  const auto displaced = site.wait_for_reply(*second);
  CHECK(displaced->call == 3);
  CHECK(displaced->at("code") == "other-reader");
  const auto opened = site.wait_for_reply(*third);
  REQUIRE(opened->field == 0);
  CHECK(opened->call == 4);
  CHECK(opened->body + read_rest(site, *third, opened->at("handle"), 60) ==
        full_result(*site.script, kId, 1));
  CHECK(site.run_count(kId) == 1);
}

TEST_CASE("spool: results of readers that come too late or never are dropped") {
  Site site(long_report_options(1, "  lease 1s\n"));
  auto reader = site.reader();
  REQUIRE(submit(site, *reader, kId).field == 0);
  const std::string other = "00000000000000b2";
  const auto polling_reader = site.reader();
  const auto start = std::chrono::steady_clock::now();
  const Reply opened = submit(site, *polling_reader, other, "report", "acme", 2500);
  CHECK(held_bytes(site) == 600'000);
  reader->reset();
  // Every fetch renews the lease, but never beyond the request's give-up time.
  Reply part;
  do {
    site.run_for(milliseconds(20));
    part = call_and_wait(site, *polling_reader, "fetch", from_row(opened.at("handle"), 0, "100"));
  } while (part.field == 0);
  CHECK(std::chrono::steady_clock::now() - start > milliseconds(2400));
  CHECK(part.at("code") == "too-late");
  CHECK(held_bytes(site) == 0);
  reader = site.reader();
  CHECK(call_and_wait(site, *reader, "resume", {{"txn", kId}, {"team", "acme"}}).at("code") == "lease-ended");
  CHECK(call_and_wait(site, *reader, "resume", {{"txn", other}, {"team", "acme"}}).at("code") == "too-late");
  CHECK(site.run_count(kId) == 1);
  CHECK(site.server->spool()->logic().size() == 0);
}

TEST_CASE("spool: an interrupt while pages arrive frees the engine and the memory") {
  Site::Options options = long_report_options();
  options.script->fault = [](const FaultPoint& m) {
    return m.stage == At::kPage && m.page == 30 ? Fault::kSilent : Fault::kNone;
  };
  Site site(options);
  const auto reader = site.reader();
  reader->call("submit", 5, request(kId), "select * from lessons_3.hours");
  REQUIRE(site.run_until(
      [&] { return held_bytes(site) > 0 && site.engines[0]->commands_received("read") >= 30; }));
  reader->write(encode_interrupt(5));
  REQUIRE(site.run_until([&] { return site.open_sessions() == 0; }));
  CHECK(held_bytes(site) == 0);
  CHECK(call_and_wait(site, *reader, "resume", {{"txn", kId}, {"team", "acme"}}).at("code") == "interrupted");
}

TEST_CASE("spool: a handle gives no access to another tenant's result, and every refusal has its reason") {
  Site site(long_report_options());
  const auto reader = site.reader();
  const Reply opened = submit(site, *reader, kId);
  const std::string handle = opened.at("handle");
  const auto other_reader = site.reader();
  // Another tenant's handle and a forged one give identical refusals.
  const Reply forged =
      call_and_wait(site, *other_reader, "fetch", from_row(std::string(32, 'a'), 0, "10", "umbra"));
  const Reply others = call_and_wait(site, *other_reader, "fetch", from_row(handle, 0, "10", "umbra"));
  CHECK(forged.at("code") == "unknown");
  CHECK(others.fields == forged.fields);
  CHECK(others.body.empty());
  CHECK(call_and_wait(site, *other_reader, "resume", {{"txn", kId}, {"team", "umbra"}}).fields ==
        forged.fields);
  CHECK(call_and_wait(site, *other_reader, "fetch", from_row(handle, 0, "10", "nobody")).at("code") ==
        "unusable");
  // Another connection of the same tenant is refused while the first one reads.
  CHECK(call_and_wait(site, *other_reader, "fetch", from_row(handle, 0)).at("code") == "other-reader");
  CHECK(call_and_wait(site, *other_reader, "resume", {{"txn", kId}, {"team", "acme"}}).field == 0);
  CHECK(call_and_wait(site, *reader, "fetch", from_row(handle, 0)).at("code") == "other-reader");
  CHECK(call_and_wait(site, *other_reader, "fetch", from_row(handle, 3000)).at("code") == "beyond");
  CHECK(call_and_wait(site, *other_reader, "fetch", {{"handle", handle}, {"team", "acme"}, {"page", "50"}})
            .at("code") == "beyond");
  CHECK(call_and_wait(site, *other_reader, "fetch", {{"handle", handle}, {"team", "acme"}}).at("code") ==
        "unusable");
  CHECK(call_and_wait(site, *other_reader, "fetch", from_row(handle, 0, "-1")).at("code") == "unusable");
  CHECK(
      call_and_wait(site, *other_reader, "acknowledge", {{"handle", handle}, {"team", "acme"}, {"rows", "x"}})
          .at("code") == "unusable");
  CHECK(submit(site, *other_reader, kId).at("reason") == "txn in use");
  CHECK(call_and_wait(site, *other_reader, "release", {{"handle", handle}, {"team", "acme"}}).field == 0);
  CHECK(call_and_wait(site, *other_reader, "fetch", from_row(handle, 0)).at("code") == "released");
  CHECK(held_bytes(site) == 0);
}

TEST_CASE("spool: a full spool answers short results directly and refuses longer ones with a reason") {
  Site::Options options = long_report_options();
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
  CHECK(site.run_count(id) == 1);
  // Within the platform's limit the whole result is sent at once, as without a spool.
  site.script->rows = 400;
  id.back() = '8';
  Reply whole_answer = submit(site, *reader, id);
  REQUIRE(whole_answer.field == 0);
  CHECK(whole_answer.at("handle").empty());
  CHECK(whole_answer.body == full_result(*site.script, id, 1));
  CHECK(call_and_wait(site, *reader, "resume", {{"txn", id}, {"team", "acme"}}).at("code") == "answered");
  site.script->rows = 2700;
  id.back() = '9';
  CHECK(submit(site, *reader, id).at("code") == "too-long");
  for (const std::string& handle : handles)
    CHECK(call_and_wait(site, *reader, "release", {{"handle", handle}, {"team", "acme"}}).field == 0);
  CHECK(held_bytes(site) == 0);
  // Refusing a result neither drops the engines' connections nor counts as a failure of theirs.
  CHECK(site.open_sessions() == 0);
  CHECK(site.server->broken_invariants() == 0);
}

TEST_CASE("spool: one tenant's stalled readers do not use the other's share") {
  Site::Options options = long_report_options();
  options.edit_config = [](nlohmann::json& config) { config["limits"]["sockets"] = 4096; };
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
    // Requests a lot and reads none of it.
    const auto opened = site.wait_for_reply(*stalled.back());
    if (opened->field != 0) {
      ++full;
      continue;
    }
    for (int call = 2; call < 30; ++call)
      stalled.back()->call("fetch", call, from_row(opened->at("handle"), 0, "999999"));
  }
  CHECK(full > 80);
  CHECK(held_bytes(site) <= 4u << 20);
  const auto reader = site.reader();
  for (const char c : {'1', '2', '3', '4'}) {
    std::string id = "00000000000000f0";
    id.back() = c;
    const Reply opened = submit(site, *reader, id, "report", "umbra");
    REQUIRE(opened.field == 0);
    REQUIRE_FALSE(opened.at("handle").empty());
    CHECK(opened.body + read_rest(site, *reader, opened.at("handle"), 60, "20000", "umbra") ==
          full_result(*site.script, id, 1));
    call_and_wait(site, *reader, "release", {{"handle", opened.at("handle")}, {"team", "umbra"}});
  }
  CHECK(held_bytes(site) <= 4u << 20);
}

TEST_CASE("spool: 2,000 stalled readers hold no engine, stay within the budget, and leave nothing behind") {
  rlimit limit{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
  limit.rlim_cur = limit.rlim_max;
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
  constexpr int kReaders = 2000, kBatch = 10;
  Site::Options options = long_report_options(2);
  options.edit_config = [](nlohmann::json& config) { config["limits"]["sockets"] = 8192; };
  options.script->rows = 1000;  // 100 KB: too long for a direct answer
  constexpr std::uint64_t kBudget = 32u << 20;
  options.conf =
      "spool {\n  listen 127.0.0.1:0\n  memory 32m reserved 60%\n  result-most 512k\n  sessions 2500\n"
      "  unread-most 16k\n  lease 5s\n}\n";
  Site site(options);
  std::vector<std::unique_ptr<Client>> stalled;
  int kept = 0;
  std::uint64_t max_held = 0;
  for (int from = 0; from < kReaders; from += kBatch) {
    for (int i = from; i < from + kBatch; ++i) {
      char id[17];
      std::snprintf(id, sizeof id, "%016x", 0xa0000 + i);
      stalled.push_back(site.reader());
      stalled.back()->call("submit", 1, request(id, "report", "acme", 19000),
                           "select * from lessons_3.hours");
    }
    for (int i = from; i < from + kBatch; ++i) {
      Client& reader = *stalled[static_cast<std::size_t>(i)];
      const auto opened = site.wait_for_reply(reader);
      REQUIRE(opened);
      // Requests the whole result repeatedly and reads none of it.
      if (opened->field == 0) {
        ++kept;
        for (int call = 2; call < 30; ++call)
          reader.call("fetch", call, from_row(opened->at("handle"), 0, "65536"));
      } else {
        CHECK(opened->at("code") == "spool-full");
      }
    }
    max_held = std::max(max_held, held_bytes(site));
  }
  CHECK(stalled.size() == kReaders);
  CHECK(kept > 200);
  CHECK(max_held <= kBudget);
  REQUIRE(site.run_until([&] { return site.open_sessions() == 0; }));
  // Both kinds of query are still answered: the other tenant's from its reserve, and direct ones without
  // memory of the spool.
  const auto reader = site.reader();
  const std::string id = "00000000000000f0";
  const Reply opened = submit(site, *reader, id, "report", "umbra");
  REQUIRE(opened.field == 0);
  CHECK(opened.body + read_rest(site, *reader, opened.at("handle"), 60, "20000", "umbra") ==
        full_result(*site.script, id, 1));
  call_and_wait(site, *reader, "release", {{"handle", opened.at("handle")}, {"team", "umbra"}});
  for (const auto& client : stalled) client->reset();
  REQUIRE(site.run_until([&] { return held_bytes(site) == 0; }, std::chrono::seconds(60)));
  CHECK(site.server->spool()->logic().size() == 0);
  CHECK(site.server->broken_invariants() == 0);
}

// Guards against the result of a reader that is away being dropped because the spool is full (review/10).
TEST_CASE("spool: a full spool keeps a short result for a reader that is away, and says answered only then") {
  Site::Options options = long_report_options();
  options.conf = "spool {\n  listen 127.0.0.1:0\n  memory 1m reserved 0%\n  result-most 256k\n}\n";
  options.script->rows = 2000;  // 200 KB
  Site site(options);
  const auto reader = site.reader();
  std::string id = kId;
  for (char c = '1'; c <= '5'; ++c) {
    id.back() = c;
    REQUIRE(submit(site, *reader, id).field == 0);
  }
  site.script->rows = 400;  // 40 KB: within the platform's limit
  site.script->run_time = std::chrono::milliseconds(300);
  id.back() = '6';
  const auto away = site.reader();
  away->call("submit", 1, request(id), "select * from lessons_3.hours");
  REQUIRE(site.run_until([&] { return site.run_count(id) == 1; }));
  away->close();
  REQUIRE(site.run_until([&] { return site.open_sessions() == 0; }));
  const auto back = site.reader();
  const Reply resumed = call_and_wait(site, *back, "resume", {{"txn", id}, {"team", "acme"}});
  REQUIRE(resumed.field == 0);
  CHECK(resumed.body + read_rest(site, *back, resumed.at("handle"), std::stoull(resumed.at("got"))) ==
        full_result(*site.script, id, 1));
  CHECK(site.run_count(id) == 1);
  CHECK(call_and_wait(site, *back, "acknowledge",
                      {{"handle", resumed.at("handle")}, {"team", "acme"}, {"rows", "400"}})
            .field == 0);
  // One that stays gets the whole result at once, and is then told so.
  id.back() = '7';
  const Reply whole = submit(site, *back, id);
  CHECK(whole.body == full_result(*site.script, id, 1));
  CHECK(call_and_wait(site, *back, "resume", {{"txn", id}, {"team", "acme"}}).at("code") == "answered");
}

// Guards against requests that run although there is no memory for their results (review/10).
TEST_CASE("spool: a request whose short result could not be kept is refused before it runs") {
  constexpr int kRequests = 32;
  Site::Options options = long_report_options();
  options.conf = "spool {\n  listen 127.0.0.1:0\n  memory 1m\n  result-most 256k\n}\n";
  options.edit_config = [](nlohmann::json& config) { config["limits"]["memory_mb"] = 4; };
  options.script->rows = 10;
  options.script->run_time = std::chrono::milliseconds(500);
  Site site(options);
  const auto reader = site.reader();
  std::map<int, std::string> ids;
  for (int call = 1; call <= kRequests; ++call) {
    ids[call] = kId.substr(0, 14) + std::to_string(10 + call);
    reader->call("submit", call, request(ids[call]), "select * from lessons_3.hours");
  }
  int refused = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto reply = site.wait_for_reply(*reader);
    REQUIRE(reply);
    if (reply->field == 0) continue;
    CHECK(reply->at("again") == "1");
    if (site.run_count(ids[reply->call]) == 0) ++refused;
  }
  CHECK(refused > 0);
}

TEST_CASE(
    "spool: a reload with a budget below its use keeps the results, and an invalid one changes nothing") {
  Site site(long_report_options());
  const auto reader = site.reader();
  const Reply opened = submit(site, *reader, kId);
  REQUIRE(opened.field == 0);
  site.write_conf("spool {\n  listen 127.0.0.1:0\n  memory 1m\n  result-most 256k\n  window-most 16k\n}\n");
  site.server->reload();
  CHECK(site.server->spool()->settings().logic.memory.max_bytes == 1u << 20);
  CHECK(opened.body + read_rest(site, *reader, opened.at("handle"), 60) == full_result(*site.script, kId, 1));
  for (const char* bad : {"spool {\n  memory 8m\n", "", "spool {\n  listen 127.0.0.1:1\n  memory 2m\n}\n",
                          "spool {\n  listen 127.0.0.1:0\n  memory 8g\n  result-most 8m\n}\n"}) {
    site.write_conf(bad);
    site.server->reload();
    CHECK(site.server->spool()->settings().logic.memory.max_bytes == 1u << 20);
  }
}

namespace {

// A test site whose spool uses a faulty disk, and a wall clock that the test sets.
struct DiskFixture {
  explicit DiskFixture(const std::string& more = "  disk-above 1k\n") {
    Site::Options options = long_report_options(1, "  disk /unused 64m\n" + more);
    options.substitutes = [this] {
      return spool::Substitutes{disk->files(), disk->index(), [this] { return unix_us; }};
    };
    site = std::make_unique<Site>(options);
  }
  bool stored() {
    return site->run_until([&] {
      const auto view = site->server->spool()->logic().view(0xa1);
      return !view || (!view->storing && site->server->spool()->disk_idle());
    });
  }
  std::shared_ptr<FaultyDisk> disk = std::make_shared<FaultyDisk>();
  std::int64_t unix_us{1'700'000'000'000'000};
  std::unique_ptr<Site> site;
};

}  // namespace

TEST_CASE("spool: results on disk are read back unchanged, and ended ones leave nothing behind") {
  DiskFixture fixture;
  const auto reader = fixture.site->reader();
  const Reply opened = submit(*fixture.site, *reader, kId);
  REQUIRE(fixture.stored());
  CHECK(fixture.site->server->spool()->logic().view(0xa1)->on_disk);
  CHECK(held_bytes(*fixture.site) == 0);
  CHECK(opened.body + read_rest(*fixture.site, *reader, opened.at("handle"), 60) ==
        full_result(*fixture.site->script, kId, 1));
  CHECK(held_bytes(*fixture.site) == 0);
  CHECK(call_and_wait(*fixture.site, *reader, "acknowledge",
                      {{"handle", opened.at("handle")}, {"team", "acme"}, {"rows", "3000"}})
            .field == 0);
  REQUIRE(fixture.site->run_until([&] { return fixture.site->server->spool()->disk_idle(); }));
  CHECK(fixture.site->server->spool()->logic().disk().used() == 0);
  CHECK(fixture.disk->index_entries().empty());
}

TEST_CASE("spool: after a kill the next process continues with the results on disk") {
  DiskFixture fixture;
  auto reader = fixture.site->reader();
  const Reply opened = submit(*fixture.site, *reader, kId);
  REQUIRE(fixture.stored());
  fixture.site->kill();
  fixture.disk = fixture.disk->after_kill();
  fixture.unix_us += 2'000'000;
  fixture.site->start();
  reader = fixture.site->reader();
  const Reply again = call_and_wait(*fixture.site, *reader, "resume", {{"txn", kId}, {"team", "acme"}});
  REQUIRE(again.field == 0);
  CHECK(again.at("handle") == opened.at("handle"));
  CHECK(opened.body + read_rest(*fixture.site, *reader, again.at("handle"), 60) ==
        full_result(*fixture.site->script, kId, 1));
  CHECK(fixture.site->run_count(kId) == 1);
  CHECK(metric_value(*fixture.site, "steprail_spool_recovered_total") == 1);
}

// Guards against keeping a fully read result on disk until its lease ends.
TEST_CASE("spool: a result fully read before a restart ends when it is acknowledged after the restart") {
  DiskFixture fixture("  disk-above 1k\n  lease 1h\n");
  auto reader = fixture.site->reader();
  const Reply opened = submit(*fixture.site, *reader, kId);
  REQUIRE(fixture.stored());
  CHECK(opened.body + read_rest(*fixture.site, *reader, opened.at("handle"), 60) ==
        full_result(*fixture.site->script, kId, 1));
  fixture.site->kill();
  fixture.disk = fixture.disk->after_kill();
  fixture.site->start();
  reader = fixture.site->reader();
  const Fields ack{{"handle", opened.at("handle")}, {"team", "acme"}, {"rows", "3000"}};
  CHECK(call_and_wait(*fixture.site, *reader, "acknowledge", ack).field == 0);
  REQUIRE(fixture.site->run_until([&] { return fixture.site->server->spool()->disk_idle(); }));
  CHECK(fixture.site->server->spool()->logic().size() == 0);
  CHECK(fixture.disk->index_entries().empty());
}

// Guards against the wall clock extending or shortening leases.
TEST_CASE("spool: jumps of the wall clock change no lease, and after a restart extend none") {
  DiskFixture fixture("  disk-above 1k\n  lease 1h\n");
  auto reader = fixture.site->reader();
  submit(*fixture.site, *reader, kId);
  const auto before = fixture.site->server->spool()->logic().view(0xa1)->expires_at;
  REQUIRE(fixture.stored());
  fixture.unix_us += 3'600'000'000;
  fixture.site->run_for(milliseconds(30));
  CHECK(fixture.site->server->spool()->logic().view(0xa1)->expires_at == before);
  // Set back by an hour while the process was down: the remaining time does not grow.
  fixture.unix_us -= 2 * 3'600'000'000ll;
  fixture.site->kill();
  fixture.disk = fixture.disk->after_kill();
  fixture.site->start();
  const auto view = fixture.site->server->spool()->logic().view(0xa1);
  REQUIRE(view);
  const auto now = std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
  CHECK(view->give_up_at - now <= std::chrono::seconds(9));
  // Set forward beyond the give-up time: the result is dropped, and nothing of it remains.
  fixture.unix_us += 4 * 3'600'000'000ll;
  fixture.site->kill();
  fixture.disk = fixture.disk->after_kill();
  fixture.site->start();
  CHECK_FALSE(fixture.site->server->spool()->logic().view(0xa1));
  CHECK(fixture.disk->index_entries().empty());
}

TEST_CASE("spool: a failed sync closes the disk tier, and its results stay in memory") {
  DiskFixture fixture;
  // Operations before the sync: create, sync of the directory, five chunks of the 300 KB.
  fixture.disk->fail_at(2 + 5 + 1, FaultyDisk::Fault::kEio);
  const auto reader = fixture.site->reader();
  const Reply opened = submit(*fixture.site, *reader, kId);
  REQUIRE(fixture.site->run_until([&] { return !fixture.site->server->spool()->logic().disk_usable(); }));
  CHECK(opened.body + read_rest(*fixture.site, *reader, opened.at("handle"), 60) ==
        full_result(*fixture.site->script, kId, 1));
  CHECK(held_bytes(*fixture.site) == 300'000);
  const std::size_t operations = fixture.disk->operation_count();
  std::string other = kId;
  other.back() = '2';
  REQUIRE(submit(*fixture.site, *reader, other).field == 0);
  fixture.site->run_for(milliseconds(20));
  CHECK(fixture.disk->operation_count() == operations);
  CHECK(fixture.disk->writes_after_failed_sync() == 0);
}

TEST_CASE("spool: corrupt rows are not served, and the reader is told that the result is lost") {
  DiskFixture fixture;
  const auto reader = fixture.site->reader();
  const Reply opened = submit(*fixture.site, *reader, kId);
  REQUIRE(fixture.stored());
  fixture.disk->flip_bit(fixture.disk->contents().begin()->first, 100'000, 3);
  CHECK(call_and_wait(*fixture.site, *reader, "fetch", from_row(opened.at("handle"), 0, "6000")).field == 0);
  const Reply spoilt =
      call_and_wait(*fixture.site, *reader, "fetch", from_row(opened.at("handle"), 900, "6000"));
  CHECK(spoilt.at("code") == "lost");
  CHECK(spoilt.body.empty());
  CHECK(call_and_wait(*fixture.site, *reader, "fetch", from_row(opened.at("handle"), 0, "6000")).at("code") ==
        "lost");
  CHECK(held_bytes(*fixture.site) == 0);
}

// Guards against counting a result as lost when only file descriptors are short.
TEST_CASE("spool: without file descriptors a read is refused but the result is kept") {
  DiskFixture fixture;
  const auto reader = fixture.site->reader();
  const Reply opened = submit(*fixture.site, *reader, kId);
  REQUIRE(fixture.stored());
  fixture.disk->exhaust_descriptors(true);
  const Reply busy = call_and_wait(*fixture.site, *reader, "fetch", from_row(opened.at("handle"), 60));
  CHECK(busy.field == 1);
  CHECK(busy.at("code") == "busy");
  fixture.disk->exhaust_descriptors(false);
  CHECK(opened.body + read_rest(*fixture.site, *reader, opened.at("handle"), 60) ==
        full_result(*fixture.site->script, kId, 1));
}

TEST_CASE("spool: connections beyond the limit wait or replace an idle one") {
  Site::Options options = long_report_options(1, "  sessions 4\n");
  Site site(options);
  std::vector<std::unique_ptr<Client>> idle;
  for (int i = 0; i < 12; ++i) {
    idle.push_back(site.reader());
    idle.back()->write(encode_check(1));
    REQUIRE(site.wait_for_reply(*idle.back()));
  }
  const auto reader = site.reader();
  CHECK(submit(site, *reader, kId).field == 0);
}

TEST_CASE(
    "spool: after SIGTERM without a disk unread results can be read, and the process waits no longer than "
    "leases") {
  Site site(long_report_options());
  const auto reader = site.reader();
  const Reply opened = submit(site, *reader, kId, "report", "acme", 3000);
  const auto other = site.reader();
  std::string unread_id = kId;
  unread_id.back() = '2';
  const auto start = std::chrono::steady_clock::now();
  REQUIRE(submit(site, *other, unread_id, "report", "acme", 2000).field == 0);
  other->reset();
  site.server->stop();
  site.run_for(milliseconds(900));  // past the drain grace: no new request is accepted
  std::string late_id = kId;
  late_id.back() = '3';
  CHECK(submit(site, *reader, late_id).at("code") == "refused");
  CHECK(opened.body + read_rest(site, *reader, opened.at("handle"), 60) == full_result(*site.script, kId, 1));
  CHECK(call_and_wait(site, *reader, "acknowledge",
                      {{"handle", opened.at("handle")}, {"team", "acme"}, {"rows", "3000"}})
            .field == 0);
  CHECK_FALSE(site.server->io().stopped());
  REQUIRE(site.run_until([&] { return site.server->io().stopped(); }));
  const auto elapsed = std::chrono::steady_clock::now() - start;
  CHECK(elapsed > milliseconds(1900));
  CHECK(held_bytes(site) == 0);
}

namespace {

// The real program in a process of its own; its log is read from a pipe.
class Process {
 public:
  explicit Process(const Site& site) {
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    const std::string config = site.temp_dir.path("config.json"), conf = site.temp_dir.path("steprail.conf");
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(ends[1], 2);
      ::close(ends[0]);
      ::execl(STEPRAIL, STEPRAIL, "serve", "--config", config.c_str(), "--conf", conf.c_str(), nullptr);
      ::_exit(127);
    }
    ::close(ends[1]);
    log_ = ends[0];
    const std::string line = read_log_until("spool-listening address=");
    const std::size_t colon = line.rfind(':');
    endpoint = {boost::asio::ip::address_v4::loopback(),
                static_cast<std::uint16_t>(std::stoi(line.substr(colon + 1)))};
  }
  ~Process() {
    if (pid_ > 0) signal_and_wait(SIGKILL);
    ::close(log_);
  }
  int signal_and_wait(int signal) {
    int status = 0;
    ::kill(pid_, signal);
    ::waitpid(std::exchange(pid_, 0), &status, 0);
    return status;
  }
  std::string read_log_until(const std::string& text) {
    for (char c = 0; ::read(log_, &c, 1) == 1;) {
      if (c != '\n') {
        line_.push_back(c);
        continue;
      }
      const std::string line = std::exchange(line_, {});
      if (line.find(text) != std::string::npos) return line;
    }
    FAIL("the program's log ended");
    return {};
  }
  tcp::endpoint endpoint;

 private:
  pid_t pid_{};
  int log_{};
  std::string line_;
};

}  // namespace

TEST_CASE("spool: the real program, killed or stopped, leaves its results on disk to the next process") {
  for (const int signal : {SIGKILL, SIGTERM}) {
    Site::Options options = long_report_options();
    Site site(options);
    site.kill();  // its engines, files and directory stay; the coordinator runs as a separate process
    site.write_conf("spool {\n  listen 127.0.0.1:0\n  memory 16m\n  result-most 4m\n  disk " +
                    site.temp_dir.path("disk") + " 64m\n" + (signal == SIGKILL ? "  disk-above 1k\n" : "") +
                    "}\n");
    auto process = std::make_unique<Process>(site);
    auto reader = std::make_unique<Client>(site.io, process->endpoint);
    const Reply opened = submit(site, *reader, kId, "report", "acme", 15000);
    REQUIRE(opened.field == 0);
    if (signal == SIGKILL) {
      // The log does not report when a result is on disk, so the folder is watched instead.
      REQUIRE(site.run_until([&] {
        std::uintmax_t bytes = 0;
        for (const auto& entry : std::filesystem::directory_iterator(site.temp_dir.path("disk")))
          if (entry.path().filename() != "index") bytes += entry.file_size();
        return bytes > 300'000;
      }));
      // The sync and the index commit follow the data; once a second result is written behind it, both are
      // done.
      std::string second_id = kId;
      second_id.back() = '2';
      REQUIRE(submit(site, *reader, second_id, "report", "acme", 15000).field == 0);
      REQUIRE(site.run_until([&] {
        std::uintmax_t bytes = 0;
        for (const auto& entry : std::filesystem::directory_iterator(site.temp_dir.path("disk")))
          if (entry.path().filename() != "index") bytes += entry.file_size();
        return bytes > 600'000;
      }));
    }
    const int status = process->signal_and_wait(signal);
    if (signal == SIGTERM) CHECK((WIFEXITED(status) && WEXITSTATUS(status) == 0));
    process = std::make_unique<Process>(site);
    reader = std::make_unique<Client>(site.io, process->endpoint);
    const Reply again = call_and_wait(site, *reader, "resume", {{"txn", kId}, {"team", "acme"}});
    REQUIRE(again.field == 0);
    CHECK(again.body + read_rest(site, *reader, again.at("handle"), 60) == full_result(*site.script, kId, 1));
    CHECK(site.run_count(kId) == 1);
  }
}

// Guards against changes to the platform's service when the spool is enabled.
TEST_CASE("spool: the platform's service sends the same bytes with the spool enabled") {
  std::string bytes[2];
  for (const bool on : {false, true}) {
    Site::Options options = long_report_options();
    options.script->rows = 300;
    if (!on) options.conf.clear();
    Site site(options);
    const auto client = site.client();
    client->write(encode_call("execute", 1, request(kId), "select 1 from a_7.t") + encode_check(2) +
                  encode_call("execute", 3, {{"txn", "x"}}, "select 1"));
    REQUIRE(site.run_until([&] {
      char part[65536];
      boost::system::error_code error;
      const std::size_t count = client->socket().read_some(boost::asio::buffer(part), error);
      bytes[on].append(part, error ? 0 : count);
      return bytes[on].size() >= 30'148;
    }));
    site.run_for(milliseconds(20));
    CHECK_FALSE(client->next_reply());
  }
  CHECK(bytes[0] == bytes[1]);
}

TEST_CASE("spool: metrics are written to their file at SIGUSR1") {
  Site::Options options = long_report_options();
  const TempDir folder;
  options.conf += "metrics {\n  file " + folder.path("m.prom") + "\n}\n";
  Site site(options);
  const auto reader = site.reader();
  REQUIRE(submit(site, *reader, kId).field == 0);
  ::raise(SIGUSR1);
  std::string text;
  REQUIRE(site.run_until([&] {
    std::ifstream file(folder.path("m.prom"));
    text.assign(std::istreambuf_iterator<char>(file), {});
    return !text.empty();
  }));
  CHECK(text.find("steprail_spool_memory_bytes 300000\n") != std::string::npos);
}
