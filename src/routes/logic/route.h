// Routes: what holds for which requests. A route matches by class, tenant, table group, front and estimates;
// of those that match, the most specific one holds. Indices are those of the coordinator's tables; -1 is any.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace steprail::routes {

using Micros = std::chrono::microseconds;

// From `least` on, up to and without `most`.
struct Range {
  double least{0}, most{std::numeric_limits<double>::infinity()};
  bool holds(double value) const { return value >= least && value < most; }
  bool within(const Range& other) const { return least >= other.least && most <= other.most; }
  Range both(const Range& other) const { return {std::max(least, other.least), std::min(most, other.most)}; }
  bool empty() const { return least >= most; }
  bool operator==(const Range&) const = default;
};

// What is known of a request when it comes in.
struct Facts {
  int cls{-1}, tenant{-1}, group{-1}, front{-1};
  double work_ms{0}, memory_mb{0};  // as estimated; 0: not told
};

struct Match {
  int cls{-1}, tenant{-1}, group{-1}, front{-1};
  Range work_ms, memory_mb;
  bool holds(const Facts& facts) const;
  bool within(const Match& other) const;  // whatever this one matches, the other does
  // What both match; none where that is nothing.
  std::optional<Match> both(const Match& other) const;
  bool operator==(const Match&) const = default;
};

struct Terms {
  int attempts{0};                 // 0: as the platform allows
  std::vector<Micros> patience{};  // by attempt, the last one for all further ones; empty: the module's own
  Micros pause{0};                 // before a further attempt ...
  double jitter{0};                // ... give or take this part of it
  Micros move_after{0};  // an attempt that may run again leaves its engine after so long; 0: never so
  Micros copy_after{0};  // a later copy; 0: none. Only checked: none is sent yet
  std::optional<double> ration{};  // further attempts for each first one
  double ration_burst{4};
  int limit_least{0}, limit_most{0};  // requests open at a time; 0: no limit
  double rate{0}, rate_burst{1};      // requests a second; 0: no limit
  double memory_mb{0};                // for each attempt; 0: the module's own
  int priority{-1};                   // 1 to 3; -1: the module's own
  std::string pool{};                 // empty: every engine
  bool operator==(const Terms&) const = default;
};

struct Route {
  std::string name;
  std::size_t line{0};  // where it stands in the file
  Match match{};
  Terms terms{};
  bool operator==(const Route&) const = default;
};

struct Pool {
  std::string name;
  std::size_t line{0};
  std::vector<int> zones{}, kinds{};  // empty: any
  std::string pattern{"*"};           // of engines' names: * for any run of characters, ? for one
  Micros slow_start{0};               // after it was empty its share grows for so long ...
  double slow_from{0.1};              // ... from this part of it
  bool operator==(const Pool&) const = default;
};

bool matches_pattern(const std::string& pattern, const std::string& name);

// Two routes of which neither is the more specific one where both match, and no third one says which holds
// there.
struct Ambiguity {
  std::size_t first{}, second{};  // of the routes
};
std::vector<Ambiguity> ambiguities(const std::vector<Route>& routes);

// Plain: looks at each. What RouteTree answers as well, and is measured against.
std::optional<std::size_t> match_linear(const std::vector<Route>& routes, const Facts& facts);

// A decision tree over class, tenant, group, front, work and memory, one step a dimension; nodes with the
// same routes left to choose from are one. Routes must be free of ambiguities.
class RouteTree {
 public:
  RouteTree() = default;
  explicit RouteTree(const std::vector<Route>& routes);
  std::optional<std::size_t> match(const Facts& facts) const;
  std::size_t nodes() const { return nodes_.size(); }

 private:
  static constexpr int kDimensions = 6;
  struct Node {
    // The first four dimensions: an exact value, else `otherwise`. The last two: the last cut at or below it.
    std::vector<double> keys;
    std::vector<std::int32_t> children;
    std::int32_t otherwise{-1};
  };
  std::vector<Node> nodes_;
  std::vector<std::int8_t> dimensions_;  // of each node
  std::int32_t root_{-1};                // below -1: a leaf, -2 - route; -1: no route
};

}  // namespace steprail::routes
