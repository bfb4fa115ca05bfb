// Measures the edge: answers under faults, reconnect storms, goodput and cost. Reports ratios and counts
// within this one run; the last line is JSON.
#include <malloc.h>

#include <CLI/CLI.hpp>
#include <cmath>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "bench/bench.h"
#include "bench/ordinary.h"
#include "edge/edge.h"
#include "standins/edge_client.h"
#include "standins/edge_sim.h"
#include "standins/proxy.h"
#include "standins/site.h"

namespace {

using namespace steprail;
using namespace steprail::standin;
using namespace steprail::bench;
using nlohmann::json;
using std::chrono::milliseconds;
using Transport = EdgeClient::Transport;

json run_simulations(bool quick) {
  const std::uint64_t seeds = quick ? 400 : 4000;
  std::uint64_t requests = 0, answers = 0, loads_run_twice = 0, seeds_with_faults = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SimOptions options;
    options.seed = 500'000 + seed;
    options.durable = seed % 4 != 0;
    const SimResult result = simulate(options);
    requests += result.requests, answers += result.answers, loads_run_twice += result.loads_run_twice;
    seeds_with_faults += !result.violations.empty();
  }
  return {{"answers_per_request", static_cast<double>(answers) / static_cast<double>(requests)},
          {"loads_run_twice", loads_run_twice},
          {"requests_counted", requests},
          {"seeds_with_faults", seeds_with_faults}};
}

// Memory of the logic per session, as allocated on the heap; a connection's buffers are not included.
json measure_idle_sessions() {
  constexpr std::size_t kSessions = 10'000;
  edge::EdgeSettings settings;
  settings.admission.rate_per_second = 1e6;
  settings.admission.burst = 1e6;
  edge::EdgeLogic logic(settings, edge::TokenSigner({}), {1}, 7, edge::Micros{0}, 0);
  std::vector<edge::EdgeAction> acts;
  const auto before = mallinfo2().uordblks;
  for (std::uint64_t conn = 1; conn <= kSessions; ++conn) {
    logic.on_open(conn, edge::Micros{0});
    edge::Frame hello;
    hello.type = edge::Frame::Type::kHello;
    hello.device = "tablet-" + std::to_string(conn);
    logic.on_frame(conn, hello, edge::Micros{0}, acts);
    acts.clear();
  }
  acts.shrink_to_fit();
  const auto after = mallinfo2().uordblks;
  if (logic.session_count() != kSessions) std::abort();
  return {{"bytes_per_idle_session", static_cast<double>(after - before) / kSessions}};
}

// Devices that all reconnect at once, in virtual time: their admission times, and those of the tenth with the
// nearest deadlines, over that of a device that connects alone, which takes one round trip.
json measure_reconnect_storm(bool quick) {
  const std::uint64_t devices = quick ? 2000 : 10'000;
  edge::EdgeSettings settings;
  edge::EdgeLogic logic(settings, edge::TokenSigner({}), {1}, 7, edge::Micros{0}, 0);
  constexpr double kRoundTripUs = 100'000;
  pcg32 random(5);
  struct Device {
    std::int64_t arrives_at{0}, deadline{0}, admitted_at{-1};
  };
  std::vector<Device> states(devices + 1);
  std::multimap<std::int64_t, std::uint64_t> arrivals;
  for (std::uint64_t i = 1; i <= devices; ++i) {
    states[i].deadline = 1'000'000 + random(30'000'000);
    arrivals.emplace(random(200'000), i);
  }
  std::map<std::uint64_t, std::uint64_t> device_of;
  std::uint64_t conn = 0, turned_away = 0, remaining = devices;
  std::vector<edge::EdgeAction> acts;
  for (std::int64_t now = 0; remaining > 0 && now < 600'000'000; now += 10'000) {
    while (!arrivals.empty() && arrivals.begin()->first <= now) {
      const std::uint64_t i = arrivals.begin()->second;
      arrivals.erase(arrivals.begin());
      device_of[++conn] = i;
      logic.on_open(conn, edge::Micros{now});
      edge::Frame hello;
      hello.type = edge::Frame::Type::kHello;
      hello.device = "d" + std::to_string(i);
      hello.deadline_ms = std::max<std::int64_t>(0, (states[i].deadline - now) / 1000);
      logic.on_frame(conn, hello, edge::Micros{now}, acts);
    }
    logic.advance(edge::Micros{now}, now, acts);
    for (const edge::EdgeAction& act : acts) {
      const auto* down = std::get_if<edge::SendFrame>(&act);
      if (down == nullptr) continue;
      const auto at = device_of.find(down->conn);
      if (at == device_of.end()) continue;
      if (down->frame.type == edge::Frame::Type::kWelcome) {
        states[at->second].admitted_at = now;
        --remaining;
      } else if (down->frame.type == edge::Frame::Type::kLater) {
        ++turned_away;
        arrivals.emplace(now + down->frame.retry_after_ms * 1000 + static_cast<std::int64_t>(kRoundTripUs),
                         at->second);
      } else {
        continue;
      }
      if (down->frame.type == edge::Frame::Type::kLater) logic.on_close(at->first, edge::Micros{now}, acts);
      device_of.erase(at);
    }
    acts.clear();
  }
  std::vector<double> admission_times, urgent;
  for (std::uint64_t i = 1; i <= devices; ++i) {
    admission_times.push_back(static_cast<double>(states[i].admitted_at) + kRoundTripUs);
    if (states[i].deadline < 4'000'000) urgent.push_back(admission_times.back());
  }
  const auto p99 = [](std::vector<double>& values) {
    std::sort(values.begin(), values.end());
    return values[values.size() * 99 / 100];
  };
  return {{"storm_devices", devices},
          {"storm_turned_away", turned_away},
          {"storm_p99_over_uncontended", p99(admission_times) / kRoundTripUs},
          {"storm_urgent_median_over_uncontended", median(urgent) / kRoundTripUs}};
}

std::string site_conf(const std::string& more = {}) {
  return "spool {\n  listen 127.0.0.1:0\n  memory 64m\n  result-most 4m\n}\n"
         "edge {\n  listen 127.0.0.1:0\n  home one\n  rate 100000\n  burst 1000\n  heartbeat-least 200ms\n" +
         more + "}\n";
}

json measure_ledger_cost(bool quick) {
  Site::Options options;
  options.engines = 4;
  options.script->rows = 1;
  options.conf = site_conf();
  Site site(options);
  // The two alternate for several rounds, so that warm-up and slow phases affect both alike.
  std::vector<double> seconds_per_load[2];
  json out;
  const int rounds = quick ? 3 : 9;
  for (int run = 0; run < 2 * rounds; ++run) {
    const bool durable = run % 2 == 1;
    site.kill();
    site.write_conf(site_conf(durable ? "  requests 256\n  ledger " +
                                            site.temp_dir.path("ledger" + std::to_string(run)) + " 64m\n"
                                      : "  requests 256\n"));
    site.start();
    Device device("acme", "tablet");
    EdgeClient client(site.io, device, site.server->edge_endpoint(), Transport::kWebSocketCbor);
    client.connect();
    // The coordinator has its own thread, so that it does not wait for the event loop of the test doubles.
    std::thread coordinator([&] { site.server->io().run(); });
    const auto run_client_once = [&] { site.io.run_one_for(milliseconds(1)); };
    while (!device.welcomed()) run_client_once();
    const std::size_t loads = quick ? 500 : 2000;
    std::size_t sent = 0;
    const auto start = Time::now();
    while (sent < loads || !device.idle()) {
      while (sent < loads && device.open_count() < 128) {
        client.send_request("load", "insert into a_" + std::to_string(sent % 64) + ".t", 9000);
        ++sent;
      }
      run_client_once();
    }
    seconds_per_load[durable].push_back(seconds_since(start) / static_cast<double>(loads));
    site.server->io().stop();
    coordinator.join();
    for (const auto& [_, request] : device.requests()) {
      if (request.outcome.status != edge::Outcome::Status::kServed) std::abort();
    }
    if (durable) {
      const auto* ledger = site.server->edge()->ledger();
      // Each transaction is one sync, so this is the number of durable records that share a sync.
      out["ledger_commits_per_sync"] =
          static_cast<double>(ledger->record_count()) / static_cast<double>(ledger->commit_count());
    }
  }
  out["load_us_in_memory"] = median(seconds_per_load[0]) * 1e6;
  out["load_us_durable"] = median(seconds_per_load[1]) * 1e6;
  out["durable_load_over_memory"] = median(seconds_per_load[1]) / median(seconds_per_load[0]);
  return out;
}

// ---- Goodput ----

// A connection that is cut after an exponentially distributed number of bytes to the client; some cuts are
// black holes.
LinkScript link_script_with_cuts(std::uint64_t seed, double mean_bytes) {
  pcg32 random(seed);
  LinkScript script;
  script.up.delay = script.down.delay = milliseconds(2);
  script.down.bytes_per_second = 4'000'000;
  if (mean_bytes <= 0) return script;
  const double uniform = (static_cast<double>(random()) + 1) / 4294967297.0;
  script.down.fault_after_bytes = 1 + static_cast<std::uint64_t>(-std::log(uniform) * mean_bytes);
  if (random(20) == 0) script.down.fault = LinkScript::Fault::kBlackHole;
  return script;
}

// Devices request one report after the other for a fixed time, over connections that are cut on average
// `cuts_per_answer` times within the length of an answer on the wire. Returns the rows of the answers that
// arrived whole within their limit. Without sessions each connection starts anew and sends the request again
// under the same key, so that the engine does not run it twice.
double complete_rows_delivered(double cuts_per_answer, bool sessions, bool quick, double answer_bytes) {
  Site::Options options;
  options.engines = 2;
  options.script->rows = 600;  // 120 KB
  options.script->row_bytes = 200;
  options.conf = site_conf("  session-keep 60s\n  connections 300\n");
  Site site(options);
  const int devices = quick ? 6 : 12;
  std::vector<std::unique_ptr<Proxy>> proxies;
  std::vector<std::unique_ptr<Device>> tablets;
  std::vector<std::unique_ptr<EdgeClient>> clients;
  const double mean_bytes = cuts_per_answer > 0 ? answer_bytes / cuts_per_answer : 0;
  for (int i = 0; i < devices; ++i) {
    proxies.push_back(
        std::make_unique<Proxy>(site.io, site.server->edge_endpoint(), [i, mean_bytes](std::size_t n) {
          return link_script_with_cuts(static_cast<std::uint64_t>(i) * 7919 + n, mean_bytes);
        }));
    tablets.push_back(std::make_unique<Device>("acme", "tablet" + std::to_string(i)));
    tablets.back()->sessionless = !sessions;
    clients.push_back(std::make_unique<EdgeClient>(site.io, *tablets.back(), proxies.back()->endpoint(),
                                                   Transport::kWebSocketCbor));
    clients.back()->set_silence_timeout(milliseconds(300));
    clients.back()->connect();
  }
  const auto end = Time::now() + milliseconds(quick ? 1200 : 5000);
  while (Time::now() < end) {
    for (std::size_t i = 0; i < clients.size(); ++i) {
      if (tablets[i]->idle()) clients[i]->send_request("report", "select 1 from a_1.t", 4000);
    }
    site.run_for(milliseconds(1));
  }
  double rows = 0;
  for (const auto& tablet : tablets) {
    for (const auto& [_, request] : tablet->requests())
      rows += request.done && request.row_count == request.outcome.rows
                  ? static_cast<double>(request.row_count)
                  : 0;
  }
  return rows;
}

json measure_goodput(bool quick) {
  // Bytes of one answer on the wire, including the welcome and the framing.
  double answer_bytes = 0;
  {
    Site::Options options;
    options.script->rows = 600;
    options.script->row_bytes = 200;
    options.conf = site_conf();
    Site site(options);
    Proxy proxy(site.io, site.server->edge_endpoint(), [](std::size_t) { return LinkScript{}; });
    Device device("acme", "tablet");
    EdgeClient client(site.io, device, proxy.endpoint(), Transport::kWebSocketCbor);
    client.connect();
    client.send_request("report", "select 1 from a_1.t", 4000);
    if (!site.run_until([&] { return device.idle(); })) std::abort();
    answer_bytes = static_cast<double>(proxy.bytes_down());
  }
  json by_link = json::array();
  double worst_link_ratio = 0;
  for (const double cuts : {0.0, 0.5, 1.0, 2.0, 3.0, 4.0}) {
    const double rows_without_sessions = complete_rows_delivered(cuts, false, quick, answer_bytes),
                 rows_with_sessions = complete_rows_delivered(cuts, true, quick, answer_bytes);
    worst_link_ratio =
        rows_with_sessions /
        std::max(rows_without_sessions, 600.0);  // the rows of one answer, if none arrive without sessions
    by_link.push_back({{"cuts_an_answer", cuts},
                       {"plain_rows", rows_without_sessions},
                       {"session_rows", rows_with_sessions},
                       {"ratio", worst_link_ratio}});
  }
  return {{"goodput_answer_bytes", answer_bytes},
          {"goodput_by_link", by_link},
          {"goodput_over_plain", worst_link_ratio}};
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"measures the edge under faults and load, and its cost"};
  bool quick = false;
  std::string program = STEPRAIL, before, only;
  app.add_flag("--quick", quick, "under 20 s");
  app.add_option("--program", program, "the program to measure");
  app.add_option("--before", before, "an earlier build, to compare the cost of ordinary requests with");
  app.add_option("--only", only, "one part: simulated, idle, storm, ledger, goodput, cost");
  CLI11_PARSE(app, argc, argv);
  most_descriptors();
  json out = {{"bench", "edge"}, {"quick", quick}};
  const auto part = [&](const std::string& name, const std::function<json()>& run) {
    if (!only.empty() && only != name) return;
    std::cout << name << " ..." << std::endl;
    const json found = run();
    out.update(found);
    std::cout << "  " << found.dump() << std::endl;
  };
  part("simulated", [&] { return run_simulations(quick); });
  part("idle", [] { return measure_idle_sessions(); });
  part("storm", [&] { return measure_reconnect_storm(quick); });
  part("ledger", [&] { return measure_ledger_cost(quick); });
  part("goodput", [&] { return measure_goodput(quick); });
  part("cost", [&] { return ordinary_cost(program, before, ::site_conf(), quick); });
  std::cout << out.dump() << std::endl;
  return 0;
}
