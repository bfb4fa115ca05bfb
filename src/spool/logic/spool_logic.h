// What the spool decides: which result is kept, where, for how long, and who may read it.
//
// No I/O, no clock, no randomness: events in, actions out, equal events give equal actions. Times are of a
// monotonic clock. Bytes are charged when they are let in and given back when the last holder has let go of
// them, so that what waits in a client's queue counts for as long as it is in memory.
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
using ResultId = std::uint64_t;  // the request's
using ReaderId = std::uint64_t;  // a reader's connection; 0: none
constexpr ReaderId kNoReader = 0;

struct LogicSettings {
  Marks memory{64u << 20};
  Marks disk{0};            // most = 0: no disk tier
  double read_part{0.125};  // of the memory, for what is read back from disk
  Bytes disk_above{0};      // results so long go to disk as soon as they are whole; 0: only under pressure
  Bytes result_most{48'000};
  Bytes direct_most{48'000};  // the platform's bound on an answer, for those that find the spool full
  Micros lease{30'000'000};
  std::size_t results_most{100'000};
  std::size_t remembered{4096};  // ended results, so that who comes late is told why
  bool operator==(const LogicSettings&) const = default;
};

// What is to be done, in this order.
struct Drop {  // let go of the pages in memory; on disk: erase it there, behind a Store under way; erased()
               // follows
  ResultId id{};
  End why{};
  bool on_disk{};
};
struct Store {  // write a whole result to disk; stored() or not_stored() follows
  ResultId id{};
};
using Order = std::variant<Drop, Store>;

enum class Placement { kSpool, kDirect, kRefused };

enum class Access {
  kGranted,
  kUnknown,      // no such handle, or another tenant's: the two are not told apart
  kEnded,        // it was here; `end` says why it is not
  kOtherReader,  // another connection reads it; resume() takes it over
  kNotYet,       // it is not whole
  kBeyond        // the row or page lies behind the end
};

struct Grant {
  Access access{Access::kUnknown};
  End end{};
  ResultId id{};
  std::size_t first_page{}, end_page{};  // of a fetch
  std::uint64_t first_row{};
  bool on_disk{};
};

class SpoolLogic {
 public:
  SpoolLogic(LogicSettings settings, std::vector<double> weights, Micros now);

  // A reload. What is in use stays; a budget that is lower than that lets in nothing until it has drained.
  void reconfigure(const LogicSettings& settings, const std::vector<double>& weights,
                   std::vector<Order>& out);

  // ---- A request ----
  // False where the id is in use already or too many results are held: then the request goes without the
  // spool.
  bool submitted(ResultId id, std::size_t tenant, std::string handle, ReaderId reader, Micros give_up);
  // The first page of an attempt is here; `expected` is the guess at the whole. Charged if it is let in.
  Placement begin(ResultId id, Bytes expected);
  // A page more: rows and bytes. False where the spool has no room for what was more than expected.
  bool page(ResultId id, std::uint64_t rows, Bytes bytes);
  // The attempt's end without all of its pages: what was charged is due to come back through freed().
  void attempt_lost(ResultId id);
  // All pages are here, in order. The charge falls to what it really is; the difference is given back.
  void complete(ResultId id, Micros now, std::vector<Order>& out);
  // The request's other ends.
  void ended(ResultId id, End why, std::vector<Order>& out);

  // ---- Readers ----
  Grant resume(ResultId id, std::size_t tenant, ReaderId reader, Micros now);
  Grant fetch_row(std::string_view handle, std::size_t tenant, ReaderId reader, std::uint64_t row,
                  Bytes window, Micros now);
  Grant fetch_page(std::string_view handle, std::size_t tenant, ReaderId reader, std::size_t page,
                   Bytes window, Micros now);
  // Cumulative; rows beyond the end are kBeyond. The last row's ends the result.
  Grant acknowledge(std::string_view handle, std::size_t tenant, ReaderId reader, std::uint64_t rows,
                    Micros now, std::vector<Order>& out);
  Grant release(std::string_view handle, std::size_t tenant, ReaderId reader, std::vector<Order>& out);
  // True once for each result: its last row has been handed out.
  bool handed_out(ResultId id, std::uint64_t end_row);
  void reader_gone(ReaderId reader);

  // ---- Memory and disk ----
  void freed(std::size_t tenant, Bytes bytes, std::vector<Order>& out);
  // What is charged for a result's pages now: the holder of the pages gives back as much when the last is
  // gone.
  Bytes charged(ResultId id) const;
  bool too_long(Bytes expected) const { return expected > settings_.result_most; }
  // Room for reading back from disk: a budget of its own, so that a full spool cannot stop its readers.
  bool borrow(std::size_t tenant, Bytes bytes);
  void returned(std::size_t tenant, Bytes bytes);
  void stored(ResultId id, Bytes on_disk);
  void not_stored(ResultId id);
  void erased(ResultId id);
  // The tier failed: nothing goes there from now on, and it is not tried again.
  void disk_closed();
  // Found on disk at the start: a whole result that may be resumed.
  bool recovered(ResultId id, std::size_t tenant, std::string handle, PageIndex index,
                 std::uint64_t acknowledged, Bytes on_disk, Micros give_up, Micros now);
  // Everything in memory that may go to disk goes there now: the process ends.
  void store_all(std::vector<Order>& out);

  // Ends leases. next_lease() is when that has to be done again, if ever.
  void advance(Micros now, std::vector<Order>& out);
  std::optional<Micros> next_lease() const { return wheel_.next_wakeup(); }

  // ---- What is known ----
  struct View {
    State state{};
    std::size_t tenant{};
    const std::string* handle{};
    const PageIndex* index{};
    std::uint64_t acknowledged{};
    Bytes charged{};
    Micros expires{};  // of its lease, or of the request
    Micros give_up{};
    bool on_disk{}, storing{};
  };
  std::optional<View> view(ResultId id) const;
  std::optional<End> remembered(ResultId id) const;
  std::size_t size() const { return results_.size(); }
  std::size_t unread() const;  // whole, and not read to the last row
  std::size_t unread_in_memory() const;
  const Budget& memory() const { return memory_; }
  const Budget& disk() const { return disk_; }
  bool disk_open() const { return disk_open_; }
  Bytes borrowed() const { return read_.used(); }
  Bytes borrow_most() const;

 private:
  struct Result {
    State state{State::kRunning};
    std::size_t tenant{};
    std::string handle;
    ReaderId reader{kNoReader};
    Micros give_up{0}, expires{0};
    TimingWheel::TimerId timer{TimingWheel::kNoTimer};
    PageIndex index;
    Bytes charged{0}, filled{0};
    std::uint64_t handed{0}, acknowledged{0};  // rows
    bool direct{false}, on_disk{false}, storing{false};
    std::list<ResultId>::iterator place{};  // in its tenant's order of eviction, while it may be evicted
    bool placed{false};
  };
  using Results = std::unordered_map<ResultId, Result>;

  void move(Result& result, State to);
  void end(Results::iterator at, End why, std::vector<Order>& out);
  void touch(ResultId id, Result& result, Micros now);
  void watch(ResultId id, Result& result, Micros until);
  void place(ResultId id, Result& result);
  void unplace(Result& result);
  void relieve(std::vector<Order>& out);
  bool store(ResultId id, Result& result, std::vector<Order>& out);
  void remember(ResultId id, const Result& result, End why);
  Grant open(std::string_view handle, std::size_t tenant, ReaderId reader);
  Grant window(Results::iterator at, std::size_t page, std::uint64_t row, Bytes bytes, Micros now);

  LogicSettings settings_;
  Budget memory_, disk_, read_;
  bool disk_open_;
  Bytes storing_bytes_{0};
  TimingWheel wheel_;
  Results results_;
  // What a result takes on disk, from the order to store it until it is erased there: also when it has ended.
  struct OnDisk {
    std::size_t tenant{};
    Bytes bytes{};
  };
  std::unordered_map<ResultId, OnDisk> on_disk_;
  std::unordered_map<std::string, ResultId> handles_;
  std::vector<std::list<ResultId>>
      eviction_;  // by tenant; the one that was left alone for longest goes first
  struct Past {
    ResultId id{};
    std::size_t tenant{};
    std::string handle;
    End why{};
  };
  std::deque<std::uint64_t> past_order_;
  std::unordered_map<std::uint64_t, Past> past_;  // by serial
  std::unordered_map<ResultId, std::uint64_t> past_ids_;
  std::unordered_map<std::string, std::uint64_t> past_handles_;
  std::uint64_t past_serial_{0};
  std::map<ReaderId, std::vector<ResultId>> readers_;
};

}  // namespace steprail::spool
