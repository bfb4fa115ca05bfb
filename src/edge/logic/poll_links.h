// Which long-poll links are kept. A link has no connection whose end would be heard of, so that it goes by
// rules: the number of links is bounded, and where all places are taken one gives way to a newcomer: one that
// has ended first, then the one heard of longest ago. One whose poll waits here is in use and gives way to
// nobody.
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
  // A new link; its first poll is its hello.
  void open(const std::string& name, Micros now) { place(name, State{now, false, false}); }
  void heard(const std::string& name, Micros now) {
    change(name, [now](State& state) { state.heard = now; });
  }
  void waits(const std::string& name, bool waits) {
    change(name, [waits](State& state) { state.waits = waits; });
  }
  // The edge has closed it; what it was last told may still be fetched, while there is room.
  void end(const std::string& name) {
    change(name, [](State& state) { state.ended = true; });
  }
  void erase(const std::string& name) {
    const auto at = states_.find(name);
    if (at == states_.end()) return;
    idle_.erase({rank(at->second), at->second.heard, name});
    states_.erase(at);
  }

  // Who has to go so that one more fits among `most`. Empty where nobody gives way and there is no room.
  struct Room {
    bool is{};
    std::vector<std::string> gives_way{};
  };
  Room room(std::size_t most) const {
    Room room;
    std::size_t size = states_.size();
    for (auto at = idle_.begin(); size >= most && at != idle_.end(); ++at, --size)
      room.gives_way.push_back(at->name);
    room.is = size < most;
    if (!room.is) room.gives_way.clear();
    return room;
  }
  // Those not heard of for so long, whether or not a poll of theirs seems to wait.
  std::vector<std::string> silent(Micros now, Micros keep) const {
    std::vector<std::string> names;
    for (const auto& [name, state] : states_) {
      if (now - state.heard > keep) names.push_back(name);
    }
    return names;
  }
  std::size_t size() const { return states_.size(); }

 private:
  struct State {
    Micros heard{0};
    bool waits{}, ended{};
  };
  struct Idle {
    int rank{};
    Micros heard{0};
    std::string name;
    auto operator<=>(const Idle&) const = default;
  };
  static int rank(const State& state) { return state.ended ? 0 : 1; }
  void place(const std::string& name, const State& state) {
    states_[name] = state;
    if (!state.waits) idle_.insert({rank(state), state.heard, name});
  }
  template <typename F>
  void change(const std::string& name, F&& how) {
    const auto at = states_.find(name);
    if (at == states_.end()) return;
    State state = at->second;
    idle_.erase({rank(state), state.heard, name});
    how(state);
    place(name, state);
  }

  std::unordered_map<std::string, State> states_;
  std::set<Idle> idle_;  // in the order in which they give way
};

}  // namespace steprail::edge
