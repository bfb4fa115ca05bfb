// The stand-ins behind one program, for an operator's hands: a stand-in engine, a reader at a pace of its
// own, and a demonstration of the main job with nothing else needed.
#include <CLI/CLI.hpp>
#include <iostream>
#include <thread>

#include "standins/edge_sim.h"
#include "standins/site.h"

namespace {

using namespace steprail;
using namespace steprail::standin;
using std::chrono::steady_clock;

double ms_since(steady_clock::time_point from) {
  return std::chrono::duration<double, std::milli>(steady_clock::now() - from).count();
}

int demo() {
  Site::Options options;
  options.engines = 2;
  options.script->rows = 20000;
  options.script->row_bytes = 100;
  options.script->run_time = std::chrono::milliseconds(40);
  options.conf =
      "spool {\n"
      "  listen 127.0.0.1:0\n"
      "  memory 64m\n"
      "  result-most 8m\n"
      "}\n";
  Site site(options);
  std::cout << "a coordinator at " << site.server->endpoint() << ", its spool at "
            << site.server->reader_endpoint() << ", two stand-in engines\n";
  const std::string report = "00000000000000b2";
  const auto client = site.client();
  site.script->rows_for = [&](const std::string& id) -> std::size_t { return id == report ? 20000 : 3; };
  const std::string small = "00000000000000c3";
  client->call("execute", 2, request(small, "lookup"), "select name from pupils_3.list");
  const auto served = site.wait_for_reply(*client);
  std::cout << "lookup over the platform's service, three rows: "
            << (served && served->field == 0 ? "served" : "failed") << "\n"
            << (served ? served->body : "");
  const auto start = steady_clock::now();
  auto reader = site.reader();
  reader->call("submit", 1, request(report), "select * from lessons_3.hours");
  const auto opened = site.wait_for_reply(*reader);
  if (!opened || opened->field != 0) return std::cout << "the report was not served\n", 1;
  site.run_until([&] { return site.open_sessions() == 0; });
  std::cout << "report of " << opened->at("rows") << " rows, " << opened->at("bytes")
            << " bytes: complete after " << static_cast<int>(ms_since(start))
            << " ms, no engine's session is open any more\n";
  std::string all = opened->body;
  std::uint64_t row = std::stoull(opened->at("got"));
  bool last = opened->at("last") == "1", dropped = false;
  std::string handle = opened->at("handle");
  int call = 2;
  while (!last) {
    if (!dropped && row > 7000) {
      reader->reset();
      dropped = true;
      std::cout << "the reader's connection breaks at row " << row << "; it comes back and resumes\n";
      reader = site.reader();
      reader->call("resume", call++, {{"txn", report}, {"team", "acme"}});
      const auto again = site.wait_for_reply(*reader);
      if (!again || again->field != 0) return std::cout << "not resumed\n", 1;
    }
    reader->call("fetch", call++,
                 {{"handle", handle}, {"team", "acme"}, {"row", std::to_string(row)}, {"window", "65536"}});
    const auto part = site.wait_for_reply(*reader);
    if (!part || part->field != 0)
      return std::cout << "not fetched: " << (part ? part->at("code") : "closed") << "\n", 1;
    all += part->body;
    row += std::stoull(part->at("got"));
    last = part->at("last") == "1";
  }
  reader->call("acknowledge", call++, {{"handle", handle}, {"team", "acme"}, {"rows", std::to_string(row)}});
  site.wait_for_reply(*reader);
  const bool same = all == full_result(*site.script, report, 1);
  std::cout << "all " << row << " rows are here, "
            << (same ? "byte-identical" : "NOT as the engine made them") << ", the report ran "
            << site.run_count(report)
            << " time(s), bytes left in the spool: " << site.server->spool()->bytes_held() << "\n";
  return same && site.server->spool()->bytes_held() == 0 ? 0 : 1;
}

int serve_engine(const Script& script, int seconds) {
  boost::asio::io_context io;
  Engine engine(io, std::make_shared<Script>(script), std::make_shared<std::map<std::string, int>>());
  std::cout << "engine at " << engine.address() << std::endl;
  io.run_for(std::chrono::seconds(seconds));
  std::cout << engine.sessions().size() << " sessions, " << engine.open_sessions() << " open at the end\n";
  return 0;
}

int simulate_seeds(SimOptions options, std::uint64_t seeds) {
  std::uint64_t bad = 0, requests = 0, answers = 0, twice = 0, unknown = 0, loads = 0, crashes = 0, cuts = 0;
  for (; seeds > 0; --seeds, ++options.seed) {
    const SimResult result = simulate(options);
    for (const std::string& line : result.history) std::cout << line << '\n';
    for (const std::string& fault : result.violations)
      std::cout << "seed " << options.seed << ": " << fault << '\n';
    bad += !result.violations.empty();
    requests += result.requests, answers += result.answers, twice += result.loads_run_twice;
    unknown += result.unknown_outcomes, loads += result.loads, crashes += result.crashes,
        cuts += result.link_failures;
  }
  std::cout << requests << " requests, " << answers << " final answers, " << loads << " loads, " << twice
            << " run twice, " << unknown << " unknown; " << crashes << " crashes, " << cuts << " cuts; "
            << bad << " seeds with faults\n";
  return bad == 0 ? 0 : 1;
}

int read_slowly(const std::string& address, const Fields& fields, const std::string& statement,
                std::size_t pace) {
  const auto to = parse_address(address);
  if (!to) return std::cerr << "no address: " << address << '\n', 1;
  boost::asio::io_context io;
  Client reader(io, *to);
  const auto start = steady_clock::now();
  const auto wait = [&] {
    for (std::uint64_t told = 0;;) {
      // So many bytes a second, in steps of 10 ms.
      if (auto reply = reader.next_reply(std::max<std::size_t>(1, pace / 100))) return reply;
      if (reader.ended()) return std::optional<Reply>();
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      if (reader.bytes_received() / 100000 > told) {
        told = reader.bytes_received() / 100000;
        std::cout << "  " << reader.bytes_received() << " bytes after " << static_cast<int>(ms_since(start))
                  << " ms\n";
      }
    }
  };
  reader.call("submit", 1, fields, statement);
  auto reply = wait();
  if (!reply || reply->field != 0)
    return std::cout << (reply ? reply->at("code") + ": " + reply->at("reason") : "closed") << '\n', 1;
  const std::string handle = reply->at("handle");
  std::uint64_t row = std::stoull(reply->at("got"));
  std::cout << reply->at("rows") << " rows, handle " << handle << '\n';
  for (int call = 2; reply->at("last") != "1"; ++call) {
    reader.call(
        "fetch", call,
        {{"handle", handle}, {"team", fields.at("team")}, {"row", std::to_string(row)}, {"window", "65536"}});
    reply = wait();
    if (!reply || reply->field != 0) return std::cout << (reply ? reply->at("code") : "closed") << '\n', 1;
    row += std::stoull(reply->at("got"));
  }
  std::cout << row << " rows after " << static_cast<int>(ms_since(start)) << " ms\n";
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"steprail_lab: stand-ins on loopback for a coordinator's surroundings"};
  app.require_subcommand(1);
  CLI::App* demonstration =
      app.add_subcommand("demo", "a query and a long report, answered before your eyes");
  CLI::App* engine = app.add_subcommand("engine", "a stand-in engine");
  Script script;
  int seconds = 60, runs_ms = 0;
  engine->add_option("--rows", script.rows, "rows of each result");
  engine->add_option("--row-bytes", script.row_bytes, "bytes of each row");
  engine->add_option("--runs-ms", runs_ms, "how long each query runs");
  engine->add_option("--seconds", seconds, "ends after so long")->check(CLI::Range(1, 3600));
  CLI::App* sim =
      app.add_subcommand("edge-sim", "devices, bad links and crashes in virtual time; one seed, one history");
  SimOptions options;
  std::uint64_t seeds = 1;
  bool memory = false;
  sim->add_option("--seed", options.seed, "the first seed");
  sim->add_option("--seeds", seeds, "so many, from that one on");
  sim->add_option("--devices", options.devices, "devices")->check(CLI::Range(1, 1000));
  sim->add_option("--requests", options.requests_per_device, "requests of each device")
      ->check(CLI::Range(1, 10000));
  sim->add_flag("--memory", memory, "the ledger has no disk");
  sim->add_flag("--record-after-dispatch", options.record_after_dispatch, "broken on purpose");
  sim->add_flag("--trust-acknowledgements", options.trust_acknowledgements, "broken on purpose");
  sim->add_flag("--ignore-incarnation", options.ignore_incarnation, "broken on purpose; with --memory");
  sim->add_flag("--trace", options.trace, "print the history");
  CLI::App* reader = app.add_subcommand("reader", "a reader of the spool's service, at a pace of its own");
  std::string address, id = "00000000000000d4", team = "acme", verb = "report",
                       statement = "select 1 from a_1.t";
  std::size_t pace = 100000;
  int limit = 15000;
  reader->add_option("address", address, "the spool's listener")->required();
  reader->add_option("--id", id, "the request's 16 hex digits");
  reader->add_option("--team", team, "the tenant");
  reader->add_option("--verb", verb, "the class");
  reader->add_option("--limit", limit, "ms that it waits");
  reader->add_option("--statement", statement, "the query");
  reader->add_option("--pace", pace, "bytes a second")->check(CLI::PositiveNumber);
  CLI11_PARSE(app, argc, argv);
  try {
    if (*demonstration) return demo();
    script.run_time = std::chrono::milliseconds(runs_ms);
    if (*sim) {
      options.durable = !memory;
      return simulate_seeds(options, seeds);
    }
    if (*engine) return serve_engine(script, seconds);
    return read_slowly(address, request(id, verb, team, limit), statement, pace);
  } catch (const std::exception& fault) {
    std::cerr << "steprail_lab: " << fault.what() << '\n';
    return 1;
  }
}
