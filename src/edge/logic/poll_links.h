// Tracks long-poll links and chooses which to evict. A link has no connection whose end would be noticed, so
// the number of links is bounded: when all are taken, a new link evicts closed links first, then the one that
// was heard from longest ago. A link with a poll waiting is in use and is never evicted.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace steprail::edge {

using Micros = std::chrono::microseconds;

class PollLinks {
 public:
  // Adds a link; its first poll carries its hello.
  void open(const std::string& name, Micros now) { insert(name, State{now, false, false}); }
  void touch(const std::string& name, Micros now) {
    update(name, [now](State& state) { state.last_heard_at = now; });
  }
  void set_polling(const std::string& name, bool polling) {
    update(name, [polling](State& state) { state.polling = polling; });
  }
  // The edge has closed the link. Its last frames may still be fetched until it is evicted.
  void mark_closed(const std::string& name) {
    update(name, [](State& state) { state.closed = true; });
  }
  void erase(const std::string& name) {
    const auto at = states_.find(name);
    if (at == states_.end()) return;
    idle_.erase({eviction_rank(at->second), at->second.last_heard_at, name});
    states_.erase(at);
  }

  // Which links to evict so that one more fits within `max_links`; evicts none if there is no room even so.
  struct EvictionPlan {
    bool has_room{};
    std::vector<std::string> evicted{};
  };
  EvictionPlan plan_eviction(std::size_t max_links) const {
    EvictionPlan plan;
    std::size_t size = states_.size();
    for (auto at = idle_.begin(); size >= max_links && at != idle_.end(); ++at, --size)
      plan.evicted.push_back(at->name);
    plan.has_room = size < max_links;
    if (!plan.has_room) plan.evicted.clear();
    return plan;
  }
  // Links not heard from for longer than `max_silence`, even if a poll of theirs seems to wait.
  std::vector<std::string> silent_longer_than(Micros now, Micros max_silence) const {
    std::vector<std::string> names;
    for (const auto& [name, state] : states_) {
      if (now - state.last_heard_at > max_silence) names.push_back(name);
    }
    return names;
  }
  std::size_t size() const { return states_.size(); }

 private:
  struct State {
    Micros last_heard_at{0};
    bool polling{}, closed{};
  };
  struct Idle {
    int rank{};
    Micros last_heard_at{0};
    std::string name;
    auto operator<=>(const Idle&) const = default;
  };
  static int eviction_rank(const State& state) { return state.closed ? 0 : 1; }
  void insert(const std::string& name, const State& state) {
    states_[name] = state;
    if (!state.polling) idle_.insert({eviction_rank(state), state.last_heard_at, name});
  }
  template <typename F>
  void update(const std::string& name, F&& modify) {
    const auto at = states_.find(name);
    if (at == states_.end()) return;
    State state = at->second;
    idle_.erase({eviction_rank(state), state.last_heard_at, name});
    modify(state);
    insert(name, state);
  }

  std::unordered_map<std::string, State> states_;
  std::set<Idle> idle_;  // in eviction order
};

}  // namespace steprail::edge
