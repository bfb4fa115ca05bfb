#include "edge/settings.h"

namespace steprail::edge {
namespace {
constexpr double kKiB = 1024, kMiB = 1024 * kKiB, kGiB = 1024 * kMiB, kSecond = 1e6, kHour = 3600 * kSecond;
}

void register_edge(conf::Schema& schema, EdgeConf& config) {
  using Given = conf::Directive::Given;
  conf::Block& block = schema.block(
      "edge",
      "Devices on poor links, over WebSocket and HTTP long poll: sessions outlive connections, and a load "
      "that is sent again gets its first outcome. Needs the block 'spool'.");
  block.present([&config] { config.enabled = true; });
  const auto time = [&](const char* name, const char* help, double min, double max, const char* default_value,
                        Micros& target) {
    block.directive(name, help)
        .time("TIME", min, max)
        .standard(default_value)
        .take([&target](const Given& given) { return target = Micros{given.whole(0)}, std::string(); });
  };
  const auto count = [&](const char* name, const char* help, double min, double max,
                         const char* default_value, auto& target) {
    block.directive(name, help)
        .count("COUNT", min, max)
        .standard(default_value)
        .take([&target](const Given& given) {
          return target = static_cast<std::remove_reference_t<decltype(target)>>(given.whole(0)),
                 std::string();
        });
  };
  const auto bytes = [&](const char* name, const char* help, double min, double max,
                         const char* default_value, auto& target) {
    block.directive(name, help)
        .bytes("SIZE", min, max)
        .standard(default_value)
        .take([&target](const Given& given) {
          return target = static_cast<std::remove_reference_t<decltype(target)>>(given.whole(0)),
                 std::string();
        });
  };
  block.directive("listen", "where devices connect")
      .address("ADDRESS")
      .required()
      .take([&config](const Given& given) { return config.listen = given.text(0), std::string(); });
  block.directive("home", "this coordinator's name in its devices' tokens; every one has its own")
      .text("NAME")
      .required()
      .take([&config](const Given& given) { return config.logic.home = given.text(0), std::string(); });
  block.directive("other", "another home, and where its devices reach it")
      .text("NAME")
      .text("ADDRESS")
      .repeated()
      .take([&config](const Given& given) {
        return config.logic.homes.emplace(given.text(0), given.text(1)).second
                   ? std::string()
                   : "home '" + given.text(0) + "' is given twice";
      });
  block
      .directive("gone",
                 "a home that will never come back: its devices begin anew here, and a load first sent to "
                 "it is answered 'unknown'")
      .text("NAME")
      .repeated()
      .take([&config](const Given& given) { return config.logic.gone.insert(given.text(0)), std::string(); });
  block
      .directive("secret",
                 "a file of 32 bytes or more that all homes share; without it tokens hold for this process")
      .path("FILE")
      .standard("one of this process's own")
      .take([&config](const Given& given) { return config.secret_file = given.text(0), std::string(); });
  block
      .directive("ledger",
                 "a folder for the outcomes of loads, and the size it may grow to; without it they are in "
                 "memory, and after a restart 'unknown'")
      .path("FOLDER")
      .bytes("SIZE", kMiB, 64 * kGiB)
      .standard("in memory")
      .take([&config](const Given& given) {
        config.ledger_folder = given.text(0);
        config.max_ledger_bytes = static_cast<std::uint64_t>(given.whole(1));
        config.logic.ledger.durable = true;
        return std::string();
      });
  time("ledger-keep", "how long the outcome of a load is known; later its key is refused as too old",
       60 * kSecond, 720 * kHour, "24h", config.logic.ledger.keep);
  count("ledger-entries", "outcomes known at a time; beyond, requests are refused", 100, 1e8, "1000000",
        config.logic.ledger.entries_most);
  time("session-keep", "how long a session lives without a connection", kSecond, 48 * kHour, "10m",
       config.logic.session_keep);
  time("poll-wait", "how long a poll waits for something to tell", kSecond / 10, 120 * kSecond, "25s",
       config.poll_wait);
  count("sessions", "sessions at a time", 1, 1e6, "20000", config.logic.sessions_most);
  count("sessions-tenant", "of one tenant", 1, 1e6, "20000", config.logic.sessions_tenant);
  count("sessions-device", "of one device; the one left alone for longest gives way", 1, 64, "4",
        config.logic.sessions_device);
  count("connections", "connections at a time", 1, 65536, "256", config.max_connections);
  count("requests", "requests of one session open at a time", 1, 1024, "32", config.logic.asks_most);
  bytes("window", "rows on the way to one device", 4 * kKiB, 16 * kMiB, "128k", config.logic.window);
  bytes("page-least", "rows in one message, on the slowest links", 256, 64 * kKiB, "4k",
        config.logic.page_least);
  bytes("page-most", "rows in one message, on the fastest", kKiB, 128 * kKiB, "64k", config.logic.page_most);
  bytes("memory", "rows on the way to all devices", kMiB, 16 * kGiB, "32m", config.logic.memory.most);
  count("rate", "devices let in a second, when many come at once", 1, 1e6, "500", config.logic.gate.rate);
  count("burst", "let in at once before that rate holds", 1, 1e6, "100", config.logic.gate.burst);
  count("waiting", "devices that may wait to be let in; the others are told when to come back", 1, 1e6,
        "1000", config.logic.gate.waiting_most);
  time("heartbeat-least", "between heartbeats, on the fastest links", kSecond / 10, 60 * kSecond, "2s",
       config.logic.heartbeat_least);
  time("heartbeat-most", "on the slowest", kSecond / 5, 600 * kSecond, "30s", config.logic.heartbeat_most);
  using Wrong = conf::Block::Wrong;
  block.rule([&config]() -> Wrong {
    if (config.logic.page_least <= config.logic.page_most) return {};
    return {"page-least", "the least page is larger than the most"};
  });
  block.rule([&config]() -> Wrong {
    if (config.logic.window >= config.logic.page_most) return {};
    return {"window", "a window must hold the largest page"};
  });
  block.rule([&config]() -> Wrong {
    if (config.logic.heartbeat_least <= config.logic.heartbeat_most) return {};
    return {"heartbeat-least", "the least pause is longer than the most"};
  });
  block.rule([&config]() -> Wrong {
    if (!config.logic.homes.contains(config.logic.home) && !config.logic.gone.contains(config.logic.home))
      return {};
    return {"home", "this home is named among the others"};
  });
  block.rule([&config]() -> Wrong {
    if (config.secret_file.empty() && (!config.logic.homes.empty() || !config.logic.gone.empty()))
      return {"home", "homes that know of each other must share a 'secret'"};
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
