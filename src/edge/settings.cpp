#include "edge/settings.h"

namespace steprail::edge {
namespace {
constexpr double kKiB = 1024, kMiB = 1024 * kKiB, kGiB = 1024 * kMiB, kSecond = 1e6, kHour = 3600 * kSecond;
}

void register_edge(conf::Schema& schema, EdgeConf& config) {
  using Given = conf::Directive::Parsed;
  conf::Block& block = schema.block(
      "edge",
      "Serves devices on poor links over WebSocket and HTTP long poll: sessions outlive connections, "
      "and a load that is sent again gets its first outcome. Needs the block 'spool'.");
  block.on_present([&config] { config.enabled = true; });
  const auto time = [&](const char* name, const char* help, double min, double max, const char* default_value,
                        Micros& target) {
    block.directive(name, help)
        .time("TIME", min, max)
        .default_value(default_value)
        .on_parsed(
            [&target](const Given& given) { return target = Micros{given.integer(0)}, std::string(); });
  };
  const auto count = [&](const char* name, const char* help, double min, double max,
                         const char* default_value, auto& target) {
    block.directive(name, help)
        .count("COUNT", min, max)
        .default_value(default_value)
        .on_parsed([&target](const Given& given) {
          return target = static_cast<std::remove_reference_t<decltype(target)>>(given.integer(0)),
                 std::string();
        });
  };
  const auto bytes = [&](const char* name, const char* help, double min, double max,
                         const char* default_value, auto& target) {
    block.directive(name, help)
        .bytes("SIZE", min, max)
        .default_value(default_value)
        .on_parsed([&target](const Given& given) {
          return target = static_cast<std::remove_reference_t<decltype(target)>>(given.integer(0)),
                 std::string();
        });
  };
  block.directive("listen", "the address that devices connect to")
      .address("ADDRESS")
      .required()
      .on_parsed([&config](const Given& given) { return config.listen = given.text(0), std::string(); });
  block.directive("home", "this coordinator's name in its devices' tokens; no two coordinators share one")
      .text("NAME")
      .required()
      .on_parsed([&config](const Given& given) { return config.logic.home = given.text(0), std::string(); });
  block.directive("other", "another home, and the address at which its devices reach it")
      .text("NAME")
      .text("ADDRESS")
      .repeated()
      .on_parsed([&config](const Given& given) {
        return config.logic.peer_homes.emplace(given.text(0), given.text(1)).second
                   ? std::string()
                   : "home '" + given.text(0) + "' is given twice";
      });
  block
      .directive(
          "gone",
          "a home that will never come back: its devices start new sessions here, and a load first sent "
          "to it is answered 'unknown'")
      .text("NAME")
      .repeated()
      .on_parsed([&config](const Given& given) {
        return config.logic.retired_homes.insert(given.text(0)), std::string();
      });
  block
      .directive("secret",
                 "a file of at least 32 bytes that all homes share; without it tokens are valid for this "
                 "process only")
      .path("FILE")
      .default_value("random, the process's own")
      .on_parsed([&config](const Given& given) { return config.secret_file = given.text(0), std::string(); });
  block
      .directive("ledger",
                 "a folder for the outcomes of loads, and its maximum size; without it they are kept in "
                 "memory, and are 'unknown' after a restart")
      .path("FOLDER")
      .bytes("SIZE", kMiB, 64 * kGiB)
      .default_value("in memory")
      .on_parsed([&config](const Given& given) {
        config.ledger_folder = given.text(0);
        config.max_ledger_bytes = static_cast<std::uint64_t>(given.integer(1));
        config.logic.ledger.durable = true;
        return std::string();
      });
  time("ledger-keep", "how long the outcome of a load is known; later its key is refused as too old",
       60 * kSecond, 720 * kHour, "24h", config.logic.ledger.retention);
  count("ledger-entries", "maximum number of outcomes known at a time; beyond it, requests are refused", 100,
        1e8, "1000000", config.logic.ledger.max_entries);
  time("session-keep", "how long a session is kept without a connection", kSecond, 48 * kHour, "10m",
       config.logic.session_ttl);
  time("poll-wait", "how long a poll waits for something to send", kSecond / 10, 120 * kSecond, "25s",
       config.poll_wait);
  count("sessions", "maximum number of sessions at a time", 1, 1e6, "20000", config.logic.max_sessions);
  count("sessions-tenant", "maximum number of sessions of one tenant", 1, 1e6, "20000",
        config.logic.max_sessions_per_tenant);
  count("sessions-device",
        "maximum number of sessions of one device; the one left unused for longest is evicted", 1, 64, "4",
        config.logic.max_sessions_per_device);
  count("connections", "maximum number of connections at a time", 1, 65536, "256", config.max_connections);
  count("requests", "maximum number of requests of one session open at a time", 1, 1024, "32",
        config.logic.max_open_requests);
  bytes("window", "maximum size of the rows in flight to one device", 4 * kKiB, 16 * kMiB, "128k",
        config.logic.window);
  bytes("page-least", "size of the rows in one message on the slowest links", 256, 64 * kKiB, "4k",
        config.logic.min_page_bytes);
  bytes("page-most", "size of the rows in one message on the fastest connections", kKiB, 128 * kKiB, "64k",
        config.logic.max_page_bytes);
  bytes("memory", "maximum size of the rows in flight to all devices", kMiB, 16 * kGiB, "32m",
        config.logic.memory.max_bytes);
  count("rate", "devices admitted a second when many connect at once", 1, 1e6, "500",
        config.logic.admission.rate_per_second);
  count("burst", "devices admitted at once before the rate applies", 1, 1e6, "100",
        config.logic.admission.burst);
  count("waiting", "maximum number of devices waiting for admission; others are told when to come back", 1,
        1e6, "1000", config.logic.admission.max_waiting);
  time("heartbeat-least", "interval between heartbeats on the fastest links", kSecond / 10, 60 * kSecond,
       "2s", config.logic.min_heartbeat);
  time("heartbeat-most", "interval between heartbeats on the slowest connections", kSecond / 5, 600 * kSecond,
       "30s", config.logic.max_heartbeat);
  using Wrong = conf::Block::Violation;
  block.rule([&config]() -> Wrong {
    if (config.logic.min_page_bytes <= config.logic.max_page_bytes) return {};
    return {"page-least", "the minimum page is larger than the maximum"};
  });
  block.rule([&config]() -> Wrong {
    if (config.logic.window >= config.logic.max_page_bytes) return {};
    return {"window", "a window must hold the largest page"};
  });
  block.rule([&config]() -> Wrong {
    if (config.logic.min_heartbeat <= config.logic.max_heartbeat) return {};
    return {"heartbeat-least", "the minimum pause between heartbeats is longer than the maximum"};
  });
  block.rule([&config]() -> Wrong {
    if (!config.logic.peer_homes.contains(config.logic.home) &&
        !config.logic.retired_homes.contains(config.logic.home))
      return {};
    return {"home", "this home is also named by 'other' or 'gone'"};
  });
  block.rule([&config]() -> Wrong {
    if (config.secret_file.empty() &&
        (!config.logic.peer_homes.empty() || !config.logic.retired_homes.empty()))
      return {"home", "homes that name each other must share a 'secret'"};
    return {};
  });
}

std::string needs_restart(const EdgeConf& running, const EdgeConf& updated) {
  if (running.enabled != updated.enabled) return "edge";
  if (running.listen != updated.listen) return "listen";
  if (running.logic.home != updated.logic.home) return "home";
  if (running.secret_file != updated.secret_file) return "secret";
  if (running.ledger_folder != updated.ledger_folder || running.max_ledger_bytes != updated.max_ledger_bytes)
    return "ledger";
  return {};
}

}  // namespace steprail::edge
