// The outcome ledger: what has become of a request that a device may send again.
//
// One entry a (tenant, device, key). A `load` is entered durably before it is dispatched and its outcome
// durably before it is told, so that after any crash one of three things is known: it was never dispatched
// (it may run), its outcome, or that nobody knows (and nobody will: 'unknown' is final as well). No I/O: what
// has to be written comes out as records, and the ledger is told when they are on the disk, or that they
// never will be.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/timing_wheel.h"

namespace steprail::edge {

using Micros = std::chrono::microseconds;

struct Key {
  int tenant{};
  std::string device;
  std::uint64_t number{};  // the device's own: it counts up, and no request has that of another
  bool operator==(const Key&) const = default;
  auto operator<=>(const Key&) const = default;
};

enum class Fate : std::uint8_t {
  kTaken,       // its record is on the way to the disk; it has not been dispatched
  kDispatched,  // it may have run
  kAnswered,    // the outcome is known, and on the way to the disk
  kTold,        // the outcome is durable
  kUnknown      // nobody knows, nor ever will
};

// What a device is told in the end.
struct Outcome {
  enum class How : std::uint8_t { kServed, kRefused, kFailed, kUnknown } how{How::kFailed};
  bool again{false};        // sending it anew, under a new key, is harmless
  Micros later{0};          // refused: when
  std::uint64_t request{};  // served: the spool's result
  std::uint64_t rows{}, bytes{};
  bool operator==(const Outcome&) const = default;
};

// What goes to the disk: one value a key, the newest one counts. A mark says below which number a device's
// keys are too old to be known.
struct Record {
  Key key;
  Fate fate{};
  std::uint64_t digest{};
  std::int64_t expires_unix_us{};
  Outcome outcome;
  bool mark{false};
  bool erase{false};
};

struct LedgerSettings {
  bool durable{false};
  Micros keep{24ll * 3600 * 1'000'000};  // how long the entry of what must not run twice lives
  Micros keep_repeatable{60'000'000};    // of the others: longer than any is under way
  std::size_t entries_most{1'000'000};
  bool operator==(const LedgerSettings&) const = default;
};

class LedgerLogic {
 public:
  // `incarnations`: those of this home whose records are all here; the last one is this process's.
  LedgerLogic(LedgerSettings settings, std::vector<std::uint64_t> incarnations, Micros now,
              std::int64_t now_unix_us);

  // At the start, in any order: what the store holds. What was dispatched and has no outcome becomes unknown,
  // and the records that say so come out.
  void recover(const Record& record, std::vector<Record>& out);

  enum class Answer {
    kRun,      // enter it: record it if it must not run twice, then dispatch
    kSame,     // it is under way
    kOutcome,  // here is what has become of it
    kOther,    // the key was another statement's
    kTooOld,   // the key's entry may have lived and gone
    kFull      // no room for another entry
  };
  // `first`: the incarnation under which the device first sent it. `once`: it must not run twice.
  Answer look(const Key& key, std::uint64_t digest, bool once, std::uint64_t first, Outcome& outcome);
  // Enters what look() let run. True where a record must be durable before it is dispatched.
  bool take(const Key& key, std::uint64_t digest, bool once, std::uint64_t request, std::vector<Record>& out);
  // That record is on the disk: dispatch it now. False where the entry has ended meanwhile.
  bool dispatched(const Key& key);
  // It will never be on the disk: the request was not dispatched and is not. `outcome` is what is told of it,
  // to all who ask while this process lives: one that crosses it must not be run after all.
  void not_recorded(const Key& key, const Outcome& outcome);
  // The request's answer. True where it must be durable before it is told.
  bool answered(const Key& key, const Outcome& outcome, std::vector<Record>& out);
  // The outcome's record is on the disk, or never will be: then the outcome is unknown, once and for good.
  const Outcome* told(const Key& key, bool durable);

  void advance(Micros now, std::int64_t now_unix_us, std::vector<Record>& out);
  std::optional<Micros> next() const { return wheel_.next_wakeup(); }
  std::optional<Fate> fate(const Key& key) const;
  std::uint64_t request(const Key& key) const;
  std::uint64_t incarnation() const { return incarnations_.back(); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Fate fate{Fate::kTaken};
    std::uint64_t digest{};
    bool once{};
    std::uint64_t request{};
    Outcome outcome;
    std::int64_t expires_unix_us{};
  };
  Record record(const Key& key, const Entry& entry) const;
  void move(Entry& entry, Fate to);

  LedgerSettings settings_;
  std::vector<std::uint64_t> incarnations_;
  std::int64_t unix_us_;
  std::map<Key, Entry> entries_;
  std::map<std::pair<int, std::string>, std::uint64_t> marks_;
  TimingWheel wheel_;
  std::unordered_map<std::uint64_t, Key> timers_;
  std::uint64_t last_timer_{0};
};

constexpr const char* name(Fate fate) {
  constexpr const char* names[] = {"taken", "dispatched", "answered", "told", "unknown"};
  return names[static_cast<int>(fate)];
}
// Which may follow which; unknown and told are final.
constexpr bool may_follow(Fate from, Fate to) {
  switch (from) {
    case Fate::kTaken:
      return to == Fate::kDispatched || to == Fate::kAnswered;
    case Fate::kDispatched:
      return to == Fate::kAnswered || to == Fate::kUnknown;
    case Fate::kAnswered:
      return to == Fate::kTold || to == Fate::kUnknown;
    default:
      return false;
  }
}

}  // namespace steprail::edge
