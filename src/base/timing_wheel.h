// A hierarchical timing wheel (Varghese and Lauck): scheduling and cancelling a timer take constant time, and
// a timer moves down at most once per level before it expires.
//
// There are six levels of 64 slots. A slot of level L spans 64^L ticks. Ticks are read as numbers in base 64:
// a timer is on the level of the highest digit in which its tick differs from the current tick. A bitmap per
// level marks the occupied slots, so that advancing over empty slots costs nothing.
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
  // Identifies a timer until it has fired or was cancelled. Never reused: it holds the entry's index and
  // generation.
  using TimerId = std::uint64_t;
  static constexpr TimerId kNoTimer = 0;

  // A timer fires in the first advance() at or after its due time, rounded up to whole ticks.
  TimingWheel(Micros tick, Micros start) : tick_(tick), current_tick_(floor_ticks(start)) {
    for (Level& level : levels_) level.slots.fill(kNoEntry);
  }

  TimerId schedule(Micros due, std::uint64_t key) {
    std::uint32_t index = free_list_;
    if (index == kNoEntry) {
      index = static_cast<std::uint32_t>(entries_.size());
      entries_.emplace_back();
    } else {
      free_list_ = entries_[index].next;
    }
    Entry& entry = entries_[index];
    ++entry.generation;
    entry.key = key;
    entry.scheduled_tick = std::min(std::max(ceil_ticks(due), current_tick_ + 1), current_tick_ + kMaxSpan);
    entry.due_tick = ceil_ticks(due);
    link(index);
    ++size_;
    return static_cast<TimerId>(entry.generation) << 32 | (index + 1);
  }

  // Returns false if the timer has fired or was cancelled already.
  bool cancel(TimerId timer) {
    const auto low_half = static_cast<std::uint32_t>(timer);
    if (low_half == 0 || low_half > entries_.size()) return false;
    const std::uint32_t index = low_half - 1;
    if (entries_[index].generation != timer >> 32 || entries_[index].level == kFreeLevel) return false;
    unlink(index);
    release_entry(index);
    return true;
  }

  // Calls fire(key) for every timer that is due, in the order of their ticks. fire may schedule and cancel
  // timers.
  template <typename F>
  void advance(Micros now, F&& fire) {
    const std::uint64_t target_tick = floor_ticks(now);
    for (;;) {
      const auto earliest = earliest_slot();
      if (!earliest || earliest->first > target_tick) break;
      current_tick_ = std::max(current_tick_, earliest->first);
      expire_slot(earliest->second, fire);
    }
    current_tick_ = std::max(current_tick_, target_tick);
  }

  // A lower bound for the time of the next timer, or nullopt if there is none. Not always exact: for a timer
  // on a higher level only the start of its slot is known.
  std::optional<Micros> next_wakeup() const {
    const auto earliest = earliest_slot();
    if (!earliest) return std::nullopt;
    return tick_ * static_cast<std::int64_t>(earliest->first);
  }

  std::size_t size() const { return size_; }
  // The time reached by the last advance().
  Micros now() const { return tick_ * static_cast<std::int64_t>(current_tick_); }

 private:
  static constexpr int kLevels = 6, kSlotBits = 6;
  static constexpr std::uint64_t kSlots = 1 << kSlotBits;
  // Half of the range that the levels span, so that a timer on the top level never wraps around into the
  // current slot.
  static constexpr std::uint64_t kMaxSpan = std::uint64_t{1} << (kLevels * kSlotBits - 1);
  static constexpr std::uint32_t kNoEntry = std::numeric_limits<std::uint32_t>::max();
  static constexpr std::uint8_t kFreeLevel = 0xff;

  struct Entry {
    std::uint64_t scheduled_tick{}, due_tick{}, key{};
    std::uint32_t next{kNoEntry}, previous{kNoEntry};
    std::uint32_t generation{0};
    std::uint8_t level{kFreeLevel}, slot{};
  };
  struct Level {
    std::uint64_t occupied{0};
    std::array<std::uint32_t, kSlots> slots{};
  };

  std::uint64_t floor_ticks(Micros time) const {
    return time.count() <= 0 ? 0 : static_cast<std::uint64_t>(time / tick_);
  }
  std::uint64_t ceil_ticks(Micros time) const { return floor_ticks(time + tick_ - Micros{1}); }

  void link(std::uint32_t index) {
    Entry& entry = entries_[index];
    const std::uint64_t differing_bits = (current_tick_ ^ entry.scheduled_tick) | (kSlots - 1);
    int level = (std::bit_width(differing_bits) - 1) / kSlotBits;
    if (level >= kLevels) level = kLevels - 1;
    entry.level = static_cast<std::uint8_t>(level);
    entry.slot = static_cast<std::uint8_t>(entry.scheduled_tick >> (level * kSlotBits) & (kSlots - 1));
    Level& wheel_level = levels_[static_cast<std::size_t>(level)];
    entry.previous = kNoEntry;
    entry.next = wheel_level.slots[entry.slot];
    if (entry.next != kNoEntry) entries_[entry.next].previous = index;
    wheel_level.slots[entry.slot] = index;
    wheel_level.occupied |= std::uint64_t{1} << entry.slot;
  }

  void unlink(std::uint32_t index) {
    Entry& entry = entries_[index];
    Level& wheel_level = levels_[entry.level];
    if (entry.previous != kNoEntry) {
      entries_[entry.previous].next = entry.next;
    } else {
      wheel_level.slots[entry.slot] = entry.next;
      if (entry.next == kNoEntry) wheel_level.occupied &= ~(std::uint64_t{1} << entry.slot);
    }
    if (entry.next != kNoEntry) entries_[entry.next].previous = entry.previous;
  }

  void release_entry(std::uint32_t index) {
    entries_[index].level = kFreeLevel;
    entries_[index].next = free_list_;
    free_list_ = index;
    --size_;
  }

  // The first tick at which a slot has to be processed, and the level of that slot.
  std::optional<std::pair<std::uint64_t, int>> earliest_slot() const {
    std::optional<std::pair<std::uint64_t, int>> found;
    for (int level = 0; level < kLevels; ++level) {
      const Level& wheel_level = levels_[static_cast<std::size_t>(level)];
      if (wheel_level.occupied == 0) continue;
      const int shift = level * kSlotBits;
      const auto current_slot = static_cast<int>(current_tick_ >> shift & (kSlots - 1));
      const int slots_ahead = std::countr_zero(std::rotr(wheel_level.occupied, current_slot));
      const std::uint64_t slot_number = (current_tick_ >> shift) + static_cast<std::uint64_t>(slots_ahead);
      const std::uint64_t tick = std::max(slot_number << shift, current_tick_);
      // If slots of two levels start at the same tick, the upper one goes first: its timers may be due at
      // that tick.
      if (!found || tick <= found->first) found = {tick, level};
    }
    return found;
  }

  template <typename F>
  void expire_slot(int level, F&& fire) {
    Level& wheel_level = levels_[static_cast<std::size_t>(level)];
    const auto slot = static_cast<std::size_t>(current_tick_ >> (level * kSlotBits) & (kSlots - 1));
    // One timer at a time, as fire() may cancel any of the others.
    while (wheel_level.slots[slot] != kNoEntry) {
      const std::uint32_t index = wheel_level.slots[slot];
      unlink(index);
      Entry& entry = entries_[index];
      if (entry.scheduled_tick > current_tick_) {
        link(index);
      } else if (entry.due_tick > current_tick_) {  // was beyond the wheel's range when scheduled
        entry.scheduled_tick = std::min(entry.due_tick, current_tick_ + kMaxSpan);
        link(index);
      } else {
        const std::uint64_t key = entry.key;
        release_entry(index);
        fire(key);
      }
    }
  }

  Micros tick_;
  std::uint64_t current_tick_;
  std::vector<Entry> entries_;
  std::uint32_t free_list_{kNoEntry};
  std::size_t size_{0};
  std::array<Level, kLevels> levels_{};
};

}  // namespace steprail
