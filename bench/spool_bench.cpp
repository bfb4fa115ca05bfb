// Costs and benefits of the spool. All figures are ratios or counts within one run; the last line of the
// output is JSON.
#include <CLI/CLI.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <queue>

#include "base/timing_wheel.h"
#include "bench/bench.h"
#include "bench/ordinary.h"
#include "net/engine_line.h"
#include "spool/logic/page_index.h"
#include "spool/store/segment_store.h"
#include "standins/site.h"

namespace {

using namespace steprail;
using namespace steprail::standin;
using namespace steprail::bench;
using nlohmann::json;
using std::chrono::milliseconds;

// ---- Data structures against simpler ones ----

// Half of the timers are cancelled before they fire, like leases that their readers renew.
json wheel_over_heap(std::size_t n, int rounds) {
  using Micros = std::chrono::microseconds;
  pcg32 random(7);
  std::vector<std::int64_t> due(n);
  for (auto& at : due) at = 1000 + random(30'000'000);
  const double wheel = ns_each(n, rounds, [&] {
    TimingWheel timers(Micros{1000}, Micros{0});
    std::vector<TimingWheel::TimerId> handles(n);
    std::size_t fired = 0;
    for (std::size_t i = 0; i < n; ++i) handles[i] = timers.schedule(Micros{due[i]}, i);
    for (std::size_t i = 0; i < n; i += 2) timers.cancel(handles[i]);
    for (std::int64_t now = 0; timers.size() > 0; now += 100'000)
      timers.advance(Micros{now}, [&](std::uint64_t) { ++fired; });
    if (fired != n / 2) std::abort();
  });
  const double heap = ns_each(n, rounds, [&] {
    using Entry = std::pair<std::int64_t, std::size_t>;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> timers;
    std::vector<bool> cancelled(n);
    std::size_t fired = 0;
    for (std::size_t i = 0; i < n; ++i) timers.push({due[i], i});
    for (std::size_t i = 0; i < n; i += 2) cancelled[i] = true;
    for (std::int64_t now = 0; !timers.empty(); now += 100'000) {
      while (!timers.empty() && timers.top().first <= now) {
        fired += !cancelled[timers.top().second];
        timers.pop();
      }
    }
    if (fired != n / 2) std::abort();
  });
  return wheel / heap;
}

json index_over_map(std::size_t n, int rounds) {
  pcg32 random(11);
  spool::PageIndex index;
  std::map<std::uint64_t, std::size_t> tree;
  for (std::size_t page = 0; page < n; ++page) {
    tree[index.row_count()] = page;
    index.append(40 + random(40), 6000);
  }
  constexpr std::size_t kLookups = 200'000;
  std::vector<std::uint64_t> rows(kLookups);
  for (auto& row : rows) row = random(static_cast<std::uint32_t>(index.row_count()));
  std::size_t sum = 0, other = 0;
  const double flat = ns_each(kLookups, rounds, [&] {
    for (const std::uint64_t row : rows) sum += index.page_of(row);
  });
  const double map = ns_each(kLookups, rounds, [&] {
    for (const std::uint64_t row : rows) other += std::prev(tree.upper_bound(row))->second;
  });
  if (sum != other) std::abort();
  return flat / map;
}

// ---- The store ----

json store_figures(bool quick) {
  const TempDir folder;
  const std::size_t results = quick ? 128 : 512, pages = 340;  // 2 MB per result
  std::string page;
  pcg32 random(3);
  while (page.size() < 6000) page.push_back(static_cast<char>('a' + random(26)));
  double append = 0;
  const double bytes = static_cast<double>(results * pages) * 6000;
  {
    const auto files = spool::open_posix_files(folder.path("spool"));
    const auto index = spool::open_lmdb_index(folder.path("spool"), 64u << 20);
    spool::SegmentStore store(*files, *index, {8ull << 30, 64u << 20, 0});
    store.recover(0);
    const auto start = Time::now();
    for (std::size_t i = 0; i < results; i += 8) {
      std::vector<spool::SegmentStore::Item> items(8);
      for (std::size_t j = 0; j < 8; ++j) {
        items[j].meta.id = i + j + 1;
        items[j].meta.handle = "h";
        items[j].meta.give_up_unix_us = items[j].meta.remaining_us = 1'000'000'000;
        items[j].pages.assign(pages, page);
        items[j].meta.pages.assign(pages, {60, 6000});
      }
      store.put(items);
    }
    append = bytes / seconds_since(start);
  }
  const auto files = spool::open_posix_files(folder.path("plain"));
  const auto file = files->create("plain");
  const std::string block(48u << 10, 'x');
  auto start = Time::now();
  double plain = 0;
  // Writes the same number of bytes with the same number of syncs.
  for (std::size_t i = 0; i < results; i += 8) {
    for (double written = 0; written < 8 * 340 * 6000; written += static_cast<double>(block.size())) {
      const std::string_view piece = block;
      file->append({&piece, 1});
    }
    file->sync();
  }
  plain = bytes / seconds_since(start);
  const auto again = spool::open_posix_files(folder.path("spool"));
  const auto index = spool::open_lmdb_index(folder.path("spool"), 64u << 20);
  spool::SegmentStore store(*again, *index, {8ull << 30, 64u << 20, 0});
  start = Time::now();
  const auto found = store.recover(1);
  const double recovery = seconds_since(start);
  if (found.intact.size() != results) std::abort();
  return {{"append_mb_per_s", append / 1e6},
          {"append_over_plain_write", append / plain},
          {"recovery_ms_per_gb", recovery * 1000 / (static_cast<double>(found.bytes_read) / 1e9)}};
}

// ---- Time that an engine's session stays open ----

std::string conf(const std::string& memory, const std::string& more = {}) {
  return "spool {\n  listen 127.0.0.1:0\n  memory " + memory + "\n  result-most 1m\n  window-most 64k\n" +
         more + "}\n";
}

json session_figures() {
  Site::Options options;
  options.script->rows = 3000;
  options.script->row_bytes = 100;
  options.script->run_time = milliseconds(10);
  options.conf = conf("64m");
  Site site(options);
  const std::string id = "00000000000000a1";
  const auto reader = site.reader();
  reader->call("submit", 1, request(id), "select 1 from a_7.t");
  const auto opened = site.wait_for_reply(*reader);
  if (!opened || opened->field != 0) std::abort();
  const Session span = site.engines[0]->sessions().at(0);
  const double spooled = std::chrono::duration<double>(span.closed_at - span.opened_at).count();
  // Without the spool: pages are read from the engine itself, at the reader's slow pace.
  const double reading_seconds = 100 * spooled;
  tcp::socket socket(site.io);
  socket.connect(*parse_address(site.engines[0]->address()));
  const std::string statement = "select 1 from a_7.t", direct_id = "00000000000000b2";
  const auto send_text = [&](const std::string& text) {
    boost::asio::write(socket, boost::asio::buffer(text));
  };
  send_text("serve " + direct_id + " lane=report,ttl=60000 " + std::to_string(statement.size()) + "\r\n" +
            statement + "\r\n");
  constexpr std::size_t kPages = 50;
  std::size_t page = 1;
  const auto start = Time::now();
  socket.non_blocking(true);
  site.run_until([&] {
    char bytes[65536];
    boost::system::error_code error;
    socket.read_some(boost::asio::buffer(bytes), error);
    if (page < kPages && seconds_since(start) > reading_seconds * static_cast<double>(page) / kPages)
      send_text("read " + direct_id + ' ' + std::to_string(page++) + "\r\n");
    return page == kPages && site.open_sessions() == 0;
  });
  const Session slow = site.engines[0]->sessions().at(1);
  const double direct = std::chrono::duration<double>(slow.closed_at - slow.opened_at).count();
  return {{"session_ratio", direct / spooled},
          {"session_spooled_ms", spooled * 1000},
          {"session_direct_ms", direct * 1000}};
}

// ---- Memory with stalled readers ----

json memory_figures(const std::string& program, bool quick) {
  const std::size_t readers = quick ? 500 : 2000;
  const std::uint64_t budget = quick ? 128u << 20 : 256u << 20;
  Site::Options options;
  options.engines = 8;
  options.script->rows = 5000;  // 500 KB per result
  options.script->row_bytes = 100;
  options.hard_limit = milliseconds(60'000);
  options.edit_config = [&](json& config) {
    config["limits"]["sockets"] = 16'384;
    config["limits"]["memory_mb"] = 2048;
  };
  options.conf =
      conf(std::to_string(budget >> 20) + "m", "  sessions 2500\n  unread-most 256k\n  lease 5s\n");
  Site site(options);
  site.kill();
  Process process({program, "serve", "--config", site.temp_dir.path("config.json"), "--conf",
                   site.temp_dir.path("steprail.conf")},
                  "serving as");
  const double idle = process.memory("VmRSS");
  const tcp::endpoint to{boost::asio::ip::address_v4::loopback(),
                         static_cast<std::uint16_t>(process.reader_port)};
  std::vector<std::unique_ptr<Client>> stalled;
  std::size_t kept = 0, refused = 0;
  for (std::size_t i = 0; i < readers; ++i) {
    stalled.push_back(std::make_unique<Client>(site.io, to));
    char id[17];
    std::snprintf(id, sizeof id, "%016zx", i + 1);
    stalled.back()->call("submit", 1, request(id, "report", i % 2 == 0 ? "acme" : "umbra", 50'000),
                         "select 1 from a_7.t");
    std::optional<Reply> reply;
    site.run_until(
        [&] { return (reply = stalled.back()->next_reply()).has_value() || stalled.back()->ended(); });
    const bool good = reply && reply->field == 0 && !reply->at("handle").empty();
    ++(good ? kept : refused);
    // Requests the whole result and reads nothing.
    for (int call = 2; good && call < 20; ++call)
      stalled.back()->call("fetch", call,
                           {{"handle", reply->at("handle")},
                            {"team", i % 2 == 0 ? "acme" : "umbra"},
                            {"row", "0"},
                            {"window", "65536"}});
  }
  const double peak = process.memory("VmHWM");
  return {{"memory_peak_over_budget", peak / static_cast<double>(budget)},
          {"memory_idle_mb", idle / 1e6},
          {"stalled_readers", readers},
          {"stalled_kept", kept},
          {"stalled_refused", refused}};
}

json leftover_bytes() {
  Site::Options options;
  options.script->rows = 1000;
  options.script->row_bytes = 100;
  options.conf = conf("16m", "  lease 200ms\n");
  Site site(options);
  std::vector<std::unique_ptr<Client>> readers;
  for (int i = 0; i < 50; ++i) {
    readers.push_back(site.reader());
    char id[17];
    std::snprintf(id, sizeof id, "%016x", i + 1);
    readers.back()->call("submit", 1, request(id), "select 1 from a_7.t");
    site.wait_for_reply(*readers.back());
  }
  readers.clear();
  site.run_until([&] { return site.server->spool()->bytes_held() == 0; }, std::chrono::seconds(5));
  return site.server->spool()->bytes_held();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"costs and benefits of the spool"};
  bool quick = false;
  std::string program = STEPRAIL, before, only;
  app.add_flag("--quick", quick, "shorter run, under 20 s");
  app.add_option("--program", program, "the program to measure");
  app.add_option("--before", before, "an earlier build, to compare the path without the spool with");
  app.add_option("--only", only, "run one part only: structures, store, session, memory, cost, left");
  CLI11_PARSE(app, argc, argv);
  most_descriptors();
  json out = {{"bench", "spool"}, {"quick", quick}};
  const auto part = [&](const std::string& name, const std::function<json()>& run) {
    if (!only.empty() && only != name) return;
    std::cout << name << " ..." << std::endl;
    const json found = run();
    if (!found.is_null()) out.update(found);
    std::cout << "  " << found.dump() << std::endl;
  };
  part("structures", [&] {
    json found;
    for (const std::size_t n : {std::size_t{1000}, std::size_t{100'000}, std::size_t{1'000'000}}) {
      const int rounds = n > 100'000 ? (quick ? 2 : 5) : 9;
      found["wheel_over_heap"][std::to_string(n)] = wheel_over_heap(n, rounds);
      found["index_over_map"][std::to_string(n)] = index_over_map(n, rounds);
    }
    return found;
  });
  part("store", [&] { return store_figures(quick); });
  part("session", [&] { return session_figures(); });
  part("memory", [&] { return memory_figures(program, quick); });
  part("cost", [&] { return ordinary_cost(program, before, ::conf("64m"), quick); });
  part("left", [&] { return json{{"bytes_left", leftover_bytes()}}; });
  std::cout << out.dump() << std::endl;
  return 0;
}
