// The coordinator's configuration file, as the platform writes it (JSON).
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "core/ports.h"
#include "net/engine_pool.h"
#include "settings_json.h"

namespace steprail {

struct Config {
  std::string path;  // of the file, which SIGHUP reads again
  std::string name;
  tcp::endpoint listen, directory;
  std::uint64_t seed{};
  std::size_t memory_mb{}, sockets{};
  nlohmann::json known_list;
  Settings settings;
  EnginePool::Limits engines;  // except `connections` and `sharing`, which the caller sets
  NameTables tables;
};

// Throws std::runtime_error with a one-line message if the file cannot be read or used.
Config read_config(const std::string& path);

}  // namespace steprail
