// The ledger on disk: one value per key in the embedded store, and the incarnations of this home. A thread of
// its own writes; records that come while a commit is in progress form the next transaction (group commit).
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/worker.h"
#include "core/coordinator.h"
#include "edge/logic/ledger_logic.h"
#include "spool/store/files.h"

namespace steprail::edge {

// Reads and writes the records synchronously; has no thread.
class LedgerStore {
 public:
  // Records store the names of `tenants`, as their indexes may change between processes.
  LedgerStore(spool::Index& index, std::vector<std::string> tenants);

  struct Recovery {
    std::vector<LedgerRecord> records;
    std::vector<std::uint64_t> incarnations;  // the last one is this process's own, already stored
    std::uint64_t unreadable{};
    bool usable{true};
  };
  Recovery recover(std::uint64_t new_incarnation, std::int64_t now_unix_us);

  // Atomic. Any failure other than a lack of space closes the store: the state on disk after a failed write
  // is not known, and a dispatch must not depend on it.
  bool commit(const std::vector<LedgerRecord>& records);
  bool closed() const { return closed_; }

 private:
  std::uint64_t index_key(const LedgerRecord& record) const;
  spool::Index& index_;
  std::vector<std::string> tenants_;
  bool closed_{false};
};

class LedgerWriter {
 public:
  using RecordedCallback = std::function<void(const LedgerRecord&, bool durable)>;
  LedgerWriter(Strand strand, std::unique_ptr<spool::Index> index, std::vector<std::string> tenants,
               RecordedCallback on_recorded);
  // Blocks; for startup only.
  LedgerStore::Recovery recover(std::uint64_t new_incarnation, std::int64_t now_unix_us) {
    return store_.recover(new_incarnation, now_unix_us);
  }
  void write(LedgerRecord record);
  bool idle() const { return !committing_ && pending_.empty(); }
  std::uint64_t commit_count() const { return commit_count_; }
  std::uint64_t record_count() const { return record_count_; }

 private:
  void start_commit();
  Strand strand_;
  std::unique_ptr<spool::Index> index_;
  LedgerStore store_;
  RecordedCallback on_recorded_;
  std::vector<LedgerRecord> pending_;
  bool committing_{false};
  std::uint64_t commit_count_{0}, record_count_{0};
  std::shared_ptr<LedgerWriter*> self_;
  Worker worker_;
};

}  // namespace steprail::edge
