// The outcome ledger: the state of each request that a device may send again.
//
// One entry per (tenant, device, key). For a `load` the ledger writes a record before it is dispatched and
// its outcome before it is reported, so that after any crash it is known that the load was never dispatched
// (and may run), or its outcome, or that the outcome is unknown, which is final as well. No I/O: the ledger
// returns the records to write, and its caller reports when they are durable or that writing them failed.
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

struct RequestKey {
  int tenant{};
  std::string device;
  std::uint64_t number{};  // assigned by the device: increasing and never reused
  bool operator==(const RequestKey&) const = default;
  auto operator<=>(const RequestKey&) const = default;
};

// The names are written to logs and the numbers to disk.
enum class EntryState : std::uint8_t {
  kTaken,       // its record is being written; not dispatched yet
  kDispatched,  // may have run
  kAnswered,    // the outcome is known, and its record is being written
  kTold,        // the outcome is durable and may be reported
  kUnknown      // the outcome is unknown, for good
};

// The final result of a request, as reported to the device.
struct Outcome {
  enum class Status : std::uint8_t { kServed, kRefused, kFailed, kUnknown } status{Status::kFailed};
  bool retry_safe{false};     // the device may safely send the request again under a new key
  Micros retry_after{0};      // kRefused: delay before the retry
  std::uint64_t result_id{};  // kServed: id of the result in the spool
  std::uint64_t rows{}, bytes{};
  bool operator==(const Outcome&) const = default;
};

// A record for the store: one value per key, the latest replaces the others. A watermark holds the highest
// number of a device whose entry has expired: keys up to it are too old.
struct LedgerRecord {
  RequestKey key;
  EntryState state{};
  std::uint64_t digest{};
  std::int64_t expires_unix_us{};
  Outcome outcome;
  bool watermark{false};
  bool erase{false};
};

struct LedgerSettings {
  bool durable{false};
  Micros retention{24ll * 3600 * 1'000'000};  // of entries of at-most-once requests
  Micros repeatable_retention{60'000'000};    // of all other entries: longer than any request is in progress
  std::size_t max_entries{1'000'000};
  bool operator==(const LedgerSettings&) const = default;
};

class LedgerLogic {
 public:
  // `incarnations`: those of this home whose records are complete here; the last one is this process's own.
  LedgerLogic(LedgerSettings settings, std::vector<std::uint64_t> incarnations, Micros now,
              std::int64_t now_unix_us);

  // Restores a stored record at startup, in any order. A request that was dispatched and has no outcome
  // becomes unknown; the record of that is added to `out`.
  void recover(const LedgerRecord& record, std::vector<LedgerRecord>& out);

  enum class Lookup {
    kRun,             // new: call add_entry() and dispatch it
    kInProgress,      // the same request is in progress
    kOutcome,         // its outcome is final
    kOtherStatement,  // the key was used for another statement
    kTooOld,          // the key's entry may have existed and expired
    kFull             // no room for another entry
  };
  // `first_incarnation`: the one to which the device first sent the request. `at_most_once`: the request must
  // not run twice.
  Lookup lookup(const RequestKey& key, std::uint64_t digest, bool at_most_once,
                std::uint64_t first_incarnation, Outcome& outcome);
  // Adds an entry after lookup() returned kRun. True if its record must be durable before the dispatch.
  bool add_entry(const RequestKey& key, std::uint64_t digest, bool at_most_once, std::uint64_t request,
                 std::vector<LedgerRecord>& out);
  // That record is durable: the request is dispatched now. False if the entry has ended meanwhile.
  bool mark_dispatched(const RequestKey& key);
  // Writing that record failed: the request was not and will not be dispatched. While this process lives,
  // lookup() returns `outcome`, so that a retry which crosses the refusal does not run after all.
  void refuse_unrecorded(const RequestKey& key, const Outcome& outcome);
  // Sets the request's outcome. True if it must be durable before it is reported.
  bool set_outcome(const RequestKey& key, const Outcome& outcome, std::vector<LedgerRecord>& out);
  // The outcome's record is durable; or writing it failed, and the outcome is unknown for good. Returns the
  // final outcome.
  const Outcome* finalize_outcome(const RequestKey& key, bool durable);

  void advance(Micros now, std::int64_t now_unix_us, std::vector<LedgerRecord>& out);
  std::optional<Micros> next_wakeup() const { return wheel_.next_wakeup(); }
  std::optional<EntryState> state_of(const RequestKey& key) const;
  std::uint64_t request_of(const RequestKey& key) const;
  std::uint64_t incarnation() const { return incarnations_.back(); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    EntryState state{EntryState::kTaken};
    std::uint64_t digest{};
    bool at_most_once{};
    std::uint64_t request{};
    Outcome outcome;
    std::int64_t expires_unix_us{};
  };
  LedgerRecord make_record(const RequestKey& key, const Entry& entry) const;
  void set_state(Entry& entry, EntryState to);

  LedgerSettings settings_;
  std::vector<std::uint64_t> incarnations_;
  std::int64_t now_unix_us_;
  std::map<RequestKey, Entry> entries_;
  std::map<std::pair<int, std::string>, std::uint64_t> watermarks_;
  TimingWheel wheel_;
  std::unordered_map<std::uint64_t, RequestKey> key_by_timer_;
  std::uint64_t last_timer_id_{0};
};

constexpr const char* name(EntryState state) {
  constexpr const char* names[] = {"taken", "dispatched", "answered", "told", "unknown"};
  return names[static_cast<int>(state)];
}
// The allowed state transitions; kTold and kUnknown are final.
constexpr bool may_follow(EntryState from, EntryState to) {
  switch (from) {
    case EntryState::kTaken:
      return to == EntryState::kDispatched || to == EntryState::kAnswered;
    case EntryState::kDispatched:
      return to == EntryState::kAnswered || to == EntryState::kUnknown;
    case EntryState::kAnswered:
      return to == EntryState::kTold || to == EntryState::kUnknown;
    default:
      return false;
  }
}

}  // namespace steprail::edge
