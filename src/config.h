// The configuration of one coordinator.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "core/ports.h"
#include "net/engine_pool.h"
#include "settings_json.h"

namespace steprail {

struct Config {
  std::string path;  // the file it came from, to be read again at SIGHUP
  std::string name;
  tcp::endpoint listen, directory;
  std::uint64_t seed{};
  std::size_t memory_mb{}, sockets{};
  nlohmann::json known;
  Settings settings;
  EnginePool::Limits engines;  // how many connections is left to the caller
  NameTables tables;
};

// Throws std::runtime_error with one plain line where the file cannot be read or used.
Config read_config(const std::string& path);

}  // namespace steprail
