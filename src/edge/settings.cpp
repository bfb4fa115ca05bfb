#include "edge/settings.h"

namespace steprail::edge {
namespace {
constexpr double kK = 1024, kM = 1024 * kK, kG = 1024 * kM, kSecond = 1e6, kHour = 3600 * kSecond;
}

void register_edge(conf::Schema& schema, EdgeConf& into) {
  using Given = conf::Directive::Parsed;
  conf::Block& block = schema.block(
      "edge",
      "Devices on poor links, over WebSocket and HTTP long poll: sessions outlive connections, and a load "
      "that is sent again gets its first outcome. Needs the block 'spool'.");
  block.on_present([&into] { into.on = true; });
  const auto time = [&](const char* name, const char* help, double least, double most, const char* standard,
                        Micros& to) {
    block.directive(name, help)
        .time("TIME", least, most)
        .default_value(standard)
        .on_parsed([&to](const Given& given) { return to = Micros{given.integer(0)}, std::string(); });
  };
  const auto count = [&](const char* name, const char* help, double least, double most, const char* standard,
                         auto& to) {
    block.directive(name, help)
        .count("COUNT", least, most)
        .default_value(standard)
        .on_parsed([&to](const Given& given) {
          return to = static_cast<std::remove_reference_t<decltype(to)>>(given.integer(0)), std::string();
        });
  };
  const auto bytes = [&](const char* name, const char* help, double least, double most, const char* standard,
                         auto& to) {
    block.directive(name, help)
        .bytes("SIZE", least, most)
        .default_value(standard)
        .on_parsed([&to](const Given& given) {
          return to = static_cast<std::remove_reference_t<decltype(to)>>(given.integer(0)), std::string();
        });
  };
  block.directive("listen", "where devices connect")
      .address("ADDRESS")
      .required()
      .on_parsed([&into](const Given& given) { return into.listen = given.text(0), std::string(); });
  block.directive("home", "this coordinator's name in its devices' tokens; every one has its own")
      .text("NAME")
      .required()
      .on_parsed([&into](const Given& given) { return into.logic.home = given.text(0), std::string(); });
  block.directive("other", "another home, and where its devices reach it")
      .text("NAME")
      .text("ADDRESS")
      .repeated()
      .on_parsed([&into](const Given& given) {
        return into.logic.homes.emplace(given.text(0), given.text(1)).second
                   ? std::string()
                   : "home '" + given.text(0) + "' is given twice";
      });
  block
      .directive("gone",
                 "a home that will never come back: its devices begin anew here, and a load first sent to "
                 "it is answered 'unknown'")
      .text("NAME")
      .repeated()
      .on_parsed(
          [&into](const Given& given) { return into.logic.gone.insert(given.text(0)), std::string(); });
  block
      .directive("secret",
                 "a file of 32 bytes or more that all homes share; without it tokens hold for this process")
      .path("FILE")
      .default_value("one of this process's own")
      .on_parsed([&into](const Given& given) { return into.secret_file = given.text(0), std::string(); });
  block
      .directive("ledger",
                 "a folder for the outcomes of loads, and the size it may grow to; without it they are in "
                 "memory, and after a restart 'unknown'")
      .path("FOLDER")
      .bytes("SIZE", kM, 64 * kG)
      .default_value("in memory")
      .on_parsed([&into](const Given& given) {
        into.ledger_folder = given.text(0);
        into.ledger_most = static_cast<std::uint64_t>(given.integer(1));
        into.logic.ledger.durable = true;
        return std::string();
      });
  time("ledger-keep", "how long the outcome of a load is known; later its key is refused as too old",
       60 * kSecond, 720 * kHour, "24h", into.logic.ledger.keep);
  count("ledger-entries", "outcomes known at a time; beyond, requests are refused", 100, 1e8, "1000000",
        into.logic.ledger.entries_most);
  time("session-keep", "how long a session lives without a connection", kSecond, 48 * kHour, "10m",
       into.logic.session_keep);
  time("poll-wait", "how long a poll waits for something to tell", kSecond / 10, 120 * kSecond, "25s",
       into.poll_wait);
  count("sessions", "sessions at a time", 1, 1e6, "20000", into.logic.sessions_most);
  count("sessions-tenant", "of one tenant", 1, 1e6, "20000", into.logic.sessions_tenant);
  count("sessions-device", "of one device; the one left alone for longest gives way", 1, 64, "4",
        into.logic.sessions_device);
  count("connections", "connections at a time", 1, 65536, "256", into.connections);
  count("requests", "requests of one session open at a time", 1, 1024, "32", into.logic.asks_most);
  bytes("window", "rows on the way to one device", 4 * kK, 16 * kM, "128k", into.logic.window);
  bytes("page-least", "rows in one message, on the slowest links", 256, 64 * kK, "4k", into.logic.page_least);
  bytes("page-most", "rows in one message, on the fastest", kK, 128 * kK, "64k", into.logic.page_most);
  bytes("memory", "rows on the way to all devices", kM, 16 * kG, "32m", into.logic.memory.most);
  count("rate", "devices let in a second, when many come at once", 1, 1e6, "500", into.logic.gate.rate);
  count("burst", "let in at once before that rate holds", 1, 1e6, "100", into.logic.gate.burst);
  count("waiting", "devices that may wait to be let in; the others are told when to come back", 1, 1e6,
        "1000", into.logic.gate.waiting_most);
  time("heartbeat-least", "between heartbeats, on the fastest links", kSecond / 10, 60 * kSecond, "2s",
       into.logic.heartbeat_least);
  time("heartbeat-most", "on the slowest", kSecond / 5, 600 * kSecond, "30s", into.logic.heartbeat_most);
  using Wrong = conf::Block::Violation;
  block.rule([&into]() -> Wrong {
    if (into.logic.page_least <= into.logic.page_most) return {};
    return {"page-least", "the least page is larger than the most"};
  });
  block.rule([&into]() -> Wrong {
    if (into.logic.window >= into.logic.page_most) return {};
    return {"window", "a window must hold the largest page"};
  });
  block.rule([&into]() -> Wrong {
    if (into.logic.heartbeat_least <= into.logic.heartbeat_most) return {};
    return {"heartbeat-least", "the least pause is longer than the most"};
  });
  block.rule([&into]() -> Wrong {
    if (!into.logic.homes.contains(into.logic.home) && !into.logic.gone.contains(into.logic.home)) return {};
    return {"home", "this home is named among the others"};
  });
  block.rule([&into]() -> Wrong {
    if (into.secret_file.empty() && (!into.logic.homes.empty() || !into.logic.gone.empty()))
      return {"home", "homes that know of each other must share a 'secret'"};
    return {};
  });
}

std::string needs_restart(const EdgeConf& running, const EdgeConf& fresh) {
  if (running.on != fresh.on) return "edge";
  if (running.listen != fresh.listen) return "listen";
  if (running.logic.home != fresh.logic.home) return "home";
  if (running.secret_file != fresh.secret_file) return "secret";
  if (running.ledger_folder != fresh.ledger_folder || running.ledger_most != fresh.ledger_most)
    return "ledger";
  return {};
}

}  // namespace steprail::edge
