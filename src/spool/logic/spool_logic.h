// The spool's decisions: which results are kept, where, for how long, and who may read them.
//
// Deterministic, without I/O, clock or randomness: events come in, actions go out, and the same events give
// the same actions. Times are of a monotonic clock. Bytes are charged when they are accepted and released
// when their last holder is gone, so that data queued to a client is counted for as long as it is in memory.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/timing_wheel.h"
#include "spool/logic/budget.h"
#include "spool/logic/page_index.h"
#include "spool/logic/state.h"

namespace steprail::spool {

using Micros = std::chrono::microseconds;
using ResultId = std::uint64_t;  // the id of its request
using ReaderId = std::uint64_t;  // a reader's connection; 0: none
constexpr ReaderId kNoReader = 0;

struct LogicSettings {
  BudgetSettings memory{64u << 20};
  BudgetSettings disk{0};            // max_bytes = 0: no disk tier
  double read_back_fraction{0.125};  // fraction of the memory budget for results read back from disk
  // Results of at least this size are stored on disk as soon as they are complete; 0: only under memory
  // pressure.
  Bytes disk_threshold{0};
  Bytes max_result_bytes{48'000};
  // The platform's limit on one answer; applies to results that find the spool full.
  Bytes max_direct_bytes{48'000};
  Micros lease{30'000'000};
  std::size_t max_results{100'000};
  // Ended results that are remembered, so that a late reader is told the reason.
  std::size_t max_remembered{4096};
  bool operator==(const LogicSettings&) const = default;
};

// ---- Actions for the caller, to be carried out in order ----

// Release the pages in memory. If `on_disk`, also erase the result there, after a store under way;
// disk_erased() follows.
struct DropAction {
  ResultId id{};
  EndReason reason{};
  bool on_disk{};
};

// Write a complete result to disk; store_succeeded() or store_failed() follows.
struct StoreAction {
  ResultId id{};
};
using SpoolAction = std::variant<DropAction, StoreAction>;

// Where a result goes: into the spool's memory, into what its caller has reserved for it, or nowhere.
enum class Placement { kSpool, kDirect, kRefused };

enum class Access {
  kGranted,
  kUnknown,      // no such handle, or one of another tenant: indistinguishable to the reader
  kEnded,        // it existed; `end_reason` says why it is gone
  kOtherReader,  // another connection reads it; resume() takes it over
  kIncomplete,   // not all of its pages are here yet
  kOutOfRange    // the row or page is beyond the end
};

// The answer to an access check; the pages are only set for a granted fetch.
struct Grant {
  Access access{Access::kUnknown};
  EndReason end_reason{};
  ResultId id{};
  std::size_t first_page{}, end_page{};  // pages to send for a fetch; the end is exclusive
  std::uint64_t first_row{};
  bool on_disk{};
};

class SpoolLogic {
 public:
  SpoolLogic(LogicSettings settings, std::vector<double> weights, Micros now);

  // Applies new settings. Bytes in use stay; a budget that is now below its use accepts nothing until enough
  // is released.
  void reconfigure(const LogicSettings& settings, const std::vector<double>& weights,
                   std::vector<SpoolAction>& out);

  // ---- Requests ----
  // False if the id or handle is in use or too many results are held: the request then runs without the
  // spool.
  bool add_request(ResultId id, std::size_t tenant, std::string handle, ReaderId reader, Micros give_up_at);
  // The first page of an attempt has arrived; `expected` is the estimated size of the whole result. Charges
  // that size if the result is accepted.
  Placement begin_attempt(ResultId id, Bytes expected);
  // Adds one page. False if the result exceeds the expected size and there is no room for the excess.
  bool add_page(ResultId id, std::uint64_t rows, Bytes bytes);
  // The attempt has ended without all of its pages. The charge is released later, by memory_freed().
  void attempt_lost(ResultId id);
  // All pages have arrived, in order. Lowers the charge to the real size. A result without a place in the
  // spool (Placement::kDirect) is kept as well: its caller has reserved the memory for it.
  void complete(ResultId id, Micros now, std::vector<SpoolAction>& out);
  // The request has ended in another way.
  void end_request(ResultId id, EndReason reason, std::vector<SpoolAction>& out);

  // ---- Readers ----
  Grant resume(ResultId id, std::size_t tenant, ReaderId reader, Micros now);
  Grant fetch_row(std::string_view handle, std::size_t tenant, ReaderId reader, std::uint64_t row,
                  Bytes window, Micros now);
  Grant fetch_page(std::string_view handle, std::size_t tenant, ReaderId reader, std::size_t page,
                   Bytes window, Micros now);
  // Cumulative; rows that were never sent give kOutOfRange. Acknowledging the last row ends the result.
  Grant acknowledge(std::string_view handle, std::size_t tenant, ReaderId reader, std::uint64_t rows,
                    Micros now, std::vector<SpoolAction>& out);
  Grant release(std::string_view handle, std::size_t tenant, ReaderId reader, std::vector<SpoolAction>& out);
  // True once per result: when its last row has been sent.
  bool mark_sent(ResultId id, std::uint64_t end_row);
  void reader_disconnected(ReaderId reader);

  // ---- Memory and disk ----
  void memory_freed(std::size_t tenant, Bytes bytes, std::vector<SpoolAction>& out);
  // The bytes charged for a result's pages; the owner of the pages reports the same number to memory_freed()
  // when their last holder is gone.
  Bytes charged(ResultId id) const;
  bool too_long(Bytes expected) const { return expected > settings_.max_result_bytes; }
  // Reserves memory to read back from disk. This budget is separate, so that a full spool cannot block its
  // readers.
  bool reserve_read_back(std::size_t tenant, Bytes bytes);
  void read_back_freed(std::size_t tenant, Bytes bytes);
  // Results of the actions. `on_disk`: the bytes that the result takes there.
  void store_succeeded(ResultId id, Bytes on_disk);
  void store_failed(ResultId id);
  void disk_erased(ResultId id);
  // The disk tier has failed: nothing more is stored there, and it is not retried.
  void disk_failed();
  // Adds a complete result that was found on disk at the start, for readers to resume.
  bool add_recovered(ResultId id, std::size_t tenant, std::string handle, PageIndex index,
                     std::uint64_t acknowledged, Bytes on_disk, Micros give_up_at, Micros now);
  // At shutdown: stores every complete result that is only in memory and fits on disk.
  void store_all(std::vector<SpoolAction>& out);

  // Ends results whose lease has expired. next_expiry() is when it has to be called again, if at all.
  void expire_leases(Micros now, std::vector<SpoolAction>& out);
  std::optional<Micros> next_expiry() const { return lease_timers_.next_wakeup(); }

  // ---- Queries ----
  struct View {
    State state{};
    std::size_t tenant{};
    const std::string* handle{};
    const PageIndex* index{};
    std::uint64_t acknowledged{};
    Bytes charged{};
    Micros expires_at{};  // end of the lease or of the request's time, whichever is earlier
    Micros give_up_at{};
    bool on_disk{}, storing{};
    bool direct{};  // has no place in the spool's memory
  };
  std::optional<View> view(ResultId id) const;
  std::optional<EndReason> end_reason_of(ResultId id) const;
  std::size_t size() const { return results_.size(); }
  std::size_t unread_count() const;  // complete, and not acknowledged to the last row
  std::size_t unread_in_memory_count() const;
  const Budget& memory() const { return memory_; }
  const Budget& disk() const { return disk_; }
  bool disk_usable() const { return disk_usable_; }
  Bytes read_back_bytes() const { return read_back_.used(); }
  Bytes max_read_back_bytes() const;

 private:
  struct Result {
    State state{State::kRunning};
    std::size_t tenant{};
    std::string handle;
    ReaderId reader{kNoReader};
    Micros give_up_at{0}, expires_at{0};
    TimingWheel::TimerId timer{TimingWheel::kNoTimer};
    PageIndex index;
    Bytes charged{0}, received{0};
    std::uint64_t sent_rows{0}, acknowledged{0};  // row counts
    bool direct{false}, on_disk{false}, storing{false};
    std::list<ResultId>::iterator lru_position{};  // in its tenant's LRU list, if in_lru
    bool in_lru{false};
  };
  using Results = std::unordered_map<ResultId, Result>;

  void set_state(Result& result, State to);
  void end_result(Results::iterator at, EndReason reason, std::vector<SpoolAction>& out);
  void renew_lease(ResultId id, Result& result, Micros now);
  void set_expiry(ResultId id, Result& result, Micros expires_at);
  void add_to_lru(ResultId id, Result& result);
  void remove_from_lru(Result& result);
  void evict_to_disk(std::vector<SpoolAction>& out);
  bool schedule_store(ResultId id, Result& result, std::vector<SpoolAction>& out);
  void remember_end(ResultId id, const Result& result, EndReason reason);
  Grant check_access(std::string_view handle, std::size_t tenant, ReaderId reader);
  Grant window(Results::iterator at, std::size_t page, std::uint64_t row, Bytes bytes, Micros now);

  LogicSettings settings_;
  Budget memory_, disk_, read_back_;
  bool disk_usable_;
  Bytes storing_bytes_{0};
  TimingWheel lease_timers_;
  Results results_;
  // A result's bytes on disk, from the store action until it is erased there, even after the result has
  // ended.
  struct DiskEntry {
    std::size_t tenant{};
    Bytes bytes{};
  };
  std::unordered_map<ResultId, DiskEntry> disk_entries_;
  std::unordered_map<std::string, ResultId> results_by_handle_;
  std::vector<std::list<ResultId>> lru_by_tenant_;  // per tenant, least recently used first
  struct EndedResult {
    ResultId id{};
    std::size_t tenant{};
    std::string handle;
    EndReason reason{};
  };
  std::deque<std::uint64_t> ended_order_;
  std::unordered_map<std::uint64_t, EndedResult> ended_;  // by serial number
  std::unordered_map<ResultId, std::uint64_t> ended_by_id_;
  std::unordered_map<std::string, std::uint64_t> ended_by_handle_;
  std::uint64_t last_ended_serial_{0};
  std::map<ReaderId, std::vector<ResultId>> results_by_reader_;
};

}  // namespace steprail::spool
