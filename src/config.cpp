#include "config.h"

#include <charconv>
#include <fstream>

namespace steprail {

using nlohmann::json;

namespace {

tcp::endpoint address(const json& from, const char* field) {
  const std::string text = from.at(field);
  const auto parsed = parse_address(text);
  if (!parsed) throw std::runtime_error(std::string(field) + " is no valid address: '" + text + "'");
  return *parsed;
}

std::uint64_t parse_seed(const json& seed) {
  if (seed.is_number_unsigned()) return seed.get<std::uint64_t>();
  const std::string text = seed;
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (error != std::errc{} || end != text.data() + text.size())
    throw std::runtime_error("seed is no 64-bit hexadecimal number: '" + text + "'");
  return value;
}

Config decode(const json& from) {
  Config config;
  config.name = from.at("name");
  config.listen = address(from, "listen");
  config.directory = address(from, "coordinator");
  config.seed = parse_seed(from.at("seed"));
  const json& limits = from.at("limits");
  config.memory_mb = limits.at("memory_mb");
  config.sockets = limits.at("sockets");
  // Optional: the directory stream delivers the list as well.
  config.known_list = optional_field(from, "known", json::object());
  const json& params = from.at("settings");
  config.settings = read_settings(params, config.tables);
  validate(config.settings);
  config.engines.max_attempts_per_connection =
      std::max(1, optional_field(params.at("limits"), "multiplex", 1));
  config.engines.connect_timeout = config.settings.connect_timeout;
  config.engines.idle_timeout = read_micros(params.at("limits"), "conn_idle_us");
  config.engines.request_load_reports = config.settings.report_mode != ReportMode::kNone;
  return config;
}

}  // namespace

Config read_config(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("configuration " + path + " cannot be opened");
  try {
    Config config = decode(json::parse(file));
    config.path = path;
    return config;
  } catch (const std::exception& fault) {
    throw std::runtime_error("configuration " + path + " cannot be used: " + fault.what());
  }
}

}  // namespace steprail
