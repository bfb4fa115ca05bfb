// Reads the settings from JSON, for the simulator's adapter and for the coordinator, and keeps the tables
// that map names to the decision module's indices.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "steprail/gateway.h"

namespace steprail {

// Maps names to indices, which count up from 0. The index of a removed name goes to the next new one.
class NameTable {
 public:
  int add(const std::string& name) {
    const int index = free_.empty() ? static_cast<int>(names_.size()) : free_.back();
    const auto [entry, inserted] = by_name_.try_emplace(name, index);
    if (!inserted) return entry->second;
    if (free_.empty()) {
      names_.push_back(name);
    } else {
      free_.pop_back();
      names_[static_cast<std::size_t>(index)] = name;
    }
    return index;
  }
  void remove(int index) {
    by_name_.erase(name(index));
    free_.push_back(index);
  }
  // Throws std::runtime_error where the name is unknown; `what` says what it should have named.
  int index_or_throw(const std::string& name, const char* what) const {
    const int found = index(name);
    if (found < 0) throw std::runtime_error(std::string("unknown ") + what + " '" + name + "'");
    return found;
  }
  // -1 where the name is unknown.
  int index(std::string_view name) const {
    const auto entry = by_name_.find(name);
    return entry == by_name_.end() ? -1 : entry->second;
  }
  const std::string& name(int index) const { return names_.at(static_cast<std::size_t>(index)); }
  const std::map<std::string, int, std::less<>>& by_name() const { return by_name_; }
  // One more than the highest index ever given, removed names included.
  int size() const { return static_cast<int>(names_.size()); }

 private:
  std::map<std::string, int, std::less<>> by_name_;
  std::vector<std::string> names_;
  std::vector<int> free_;
};

// The value for EngineEntry::name_hash.
std::uint64_t name_hash(std::string_view name);

template <typename T>
T parse_enum(const std::string& text, const std::map<std::string, T>& values, const char* what) {
  const auto entry = values.find(text);
  if (entry == values.end()) throw std::runtime_error(std::string("unknown ") + what + " '" + text + "'");
  return entry->second;
}

// A field that is null counts as absent.
inline bool has_field(const nlohmann::json& from, const char* field) {
  const auto entry = from.find(field);
  return entry != from.end() && !entry->is_null();
}

template <typename T>
T optional_field(const nlohmann::json& from, const char* field, T fallback) {
  return has_field(from, field) ? from.at(field).get<T>() : fallback;
}

// A field in microseconds, an integer or a floating-point number; 0 where it is absent.
Micros read_micros(const nlohmann::json& from, const char* field);

struct NameTables {
  NameTable classes, tenants, zones, kinds, engines;
};

// Fills `tables` with the names that the settings contain. Throws std::runtime_error or
// nlohmann::json::exception where a required field is absent, a field has the wrong type or a name is
// unknown. Ignores unknown fields.
Settings read_settings(const nlohmann::json& params, NameTables& tables);

}  // namespace steprail
