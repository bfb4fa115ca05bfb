// A hierarchical timing wheel (Varghese and Lauck): setting and taking back a timer are constant work, and a
// timer moves down at most once a level on its way to its end.
//
// Six levels of 64 slots. A slot of level L spans 64^L ticks; a timer lies on the lowest level on which its
// tick and the wheel's present differ in one digit to base 64 alone. A bit a slot says what is taken, so that
// empty stretches of time cost nothing to pass.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace steprail {

class TimingWheel {
 public:
  using Micros = std::chrono::microseconds;
  // Names a timer until it has fired or was taken back; never given twice.
  using Timer = std::uint64_t;
  static constexpr Timer kNone = 0;

  // Timers fire in the first advance() at or after their time, rounded up to whole ticks.
  TimingWheel(Micros tick, Micros start) : tick_(tick), present_(ticks_down(start)) {
    for (Level& level : levels_) level.slots.fill(kNobody);
  }

  Timer schedule(Micros due, std::uint64_t key) {
    std::uint32_t at = free_;
    if (at == kNobody) {
      at = static_cast<std::uint32_t>(entries_.size());
      entries_.emplace_back();
    } else {
      free_ = entries_[at].next;
    }
    Entry& entry = entries_[at];
    ++entry.generation;
    entry.key = key;
    entry.when = std::min(std::max(ticks_up(due), present_ + 1), present_ + kReach);
    entry.due = ticks_up(due);
    link(at);
    ++size_;
    return static_cast<Timer>(entry.generation) << 32 | (at + 1);
  }

  // False where the timer has fired, or was taken back before.
  bool cancel(Timer timer) {
    const auto low = static_cast<std::uint32_t>(timer);
    if (low == 0 || low > entries_.size()) return false;
    const std::uint32_t at = low - 1;
    if (entries_[at].generation != timer >> 32 || entries_[at].level == kFreeLevel) return false;
    unlink(at);
    put_back(at);
    return true;
  }

  // Calls fire(key) for every timer whose time has come, in the order of their ticks. fire may set timers and
  // take others back.
  template <typename F>
  void advance(Micros now, F&& fire) {
    const std::uint64_t until = ticks_down(now);
    for (;;) {
      const auto next = earliest();
      if (!next || next->first > until) break;
      present_ = std::max(present_, next->first);
      expire(next->second, fire);
    }
    present_ = std::max(present_, until);
  }

  // No timer fires before this; none at all where empty. Not always exact: a timer on a higher level is known
  // by its slot's beginning alone.
  std::optional<Micros> next() const {
    const auto found = earliest();
    if (!found) return std::nullopt;
    return tick_ * static_cast<std::int64_t>(found->first);
  }

  std::size_t size() const { return size_; }
  // What the last advance() has come to.
  Micros now() const { return tick_ * static_cast<std::int64_t>(present_); }

 private:
  static constexpr int kLevels = 6, kDigit = 6;
  static constexpr std::uint64_t kSlots = 1 << kDigit;
  // Half of what the levels span: a slot of the top level is never the present one, come round again.
  static constexpr std::uint64_t kReach = std::uint64_t{1} << (kLevels * kDigit - 1);
  static constexpr std::uint32_t kNobody = std::numeric_limits<std::uint32_t>::max();
  static constexpr std::uint8_t kFreeLevel = 0xff;

  struct Entry {
    std::uint64_t when{}, due{}, key{};
    std::uint32_t next{kNobody}, previous{kNobody};
    std::uint32_t generation{0};
    std::uint8_t level{kFreeLevel}, slot{};
  };
  struct Level {
    std::uint64_t taken{0};
    std::array<std::uint32_t, kSlots> slots{};
  };

  std::uint64_t ticks_down(Micros at) const {
    return at.count() <= 0 ? 0 : static_cast<std::uint64_t>(at / tick_);
  }
  std::uint64_t ticks_up(Micros at) const { return ticks_down(at + tick_ - Micros{1}); }

  void link(std::uint32_t at) {
    Entry& entry = entries_[at];
    const std::uint64_t differ = (present_ ^ entry.when) | (kSlots - 1);
    int level = (std::bit_width(differ) - 1) / kDigit;
    if (level >= kLevels) level = kLevels - 1;
    entry.level = static_cast<std::uint8_t>(level);
    entry.slot = static_cast<std::uint8_t>(entry.when >> (level * kDigit) & (kSlots - 1));
    Level& on = levels_[static_cast<std::size_t>(level)];
    entry.previous = kNobody;
    entry.next = on.slots[entry.slot];
    if (entry.next != kNobody) entries_[entry.next].previous = at;
    on.slots[entry.slot] = at;
    on.taken |= std::uint64_t{1} << entry.slot;
  }

  void unlink(std::uint32_t at) {
    Entry& entry = entries_[at];
    Level& on = levels_[entry.level];
    if (entry.previous != kNobody) {
      entries_[entry.previous].next = entry.next;
    } else {
      on.slots[entry.slot] = entry.next;
      if (entry.next == kNobody) on.taken &= ~(std::uint64_t{1} << entry.slot);
    }
    if (entry.next != kNobody) entries_[entry.next].previous = entry.previous;
  }

  void put_back(std::uint32_t at) {
    entries_[at].level = kFreeLevel;
    entries_[at].next = free_;
    free_ = at;
    --size_;
  }

  // The first tick at which a slot has to be looked at, and that slot's level.
  std::optional<std::pair<std::uint64_t, int>> earliest() const {
    std::optional<std::pair<std::uint64_t, int>> found;
    for (int level = 0; level < kLevels; ++level) {
      const Level& on = levels_[static_cast<std::size_t>(level)];
      if (on.taken == 0) continue;
      const int shift = level * kDigit;
      const auto here = static_cast<int>(present_ >> shift & (kSlots - 1));
      const int ahead = std::countr_zero(std::rotr(on.taken, here));
      const std::uint64_t start = (present_ >> shift) + static_cast<std::uint64_t>(ahead);
      const std::uint64_t tick = std::max(start << shift, present_);
      // Where two levels meet at a tick the upper one goes first: what it holds may be due at that very tick.
      if (!found || tick <= found->first) found = {tick, level};
    }
    return found;
  }

  template <typename F>
  void expire(int level, F&& fire) {
    Level& on = levels_[static_cast<std::size_t>(level)];
    const auto slot = static_cast<std::size_t>(present_ >> (level * kDigit) & (kSlots - 1));
    // One at a time: fire() may take back any of the others.
    while (on.slots[slot] != kNobody) {
      const std::uint32_t at = on.slots[slot];
      unlink(at);
      Entry& entry = entries_[at];
      if (entry.when > present_) {
        link(at);
      } else if (entry.due > present_) {  // farther away than the wheel reaches
        entry.when = std::min(entry.due, present_ + kReach);
        link(at);
      } else {
        const std::uint64_t key = entry.key;
        put_back(at);
        fire(key);
      }
    }
  }

  Micros tick_;
  std::uint64_t present_;
  std::vector<Entry> entries_;
  std::uint32_t free_{kNobody};
  std::size_t size_{0};
  std::array<Level, kLevels> levels_{};
};

}  // namespace steprail
