// The ledger on disk: one value a key in the embedded store, and the incarnations of this home. A thread of
// its own writes; what comes while it is busy is its next transaction.
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

// Without a thread: what a batch is on the disk.
class LedgerStore {
 public:
  // `tenants` names them, so that their numbers may change between processes.
  LedgerStore(spool::Index& index, std::vector<std::string> tenants);

  struct Recovery {
    std::vector<Record> records;
    std::vector<std::uint64_t> incarnations;  // the last one is this process's, written already
    std::uint64_t unreadable{};
    bool usable{true};
  };
  Recovery recover(std::uint64_t fresh_incarnation, std::int64_t now_unix_us);

  // All or nothing. After a failure that is none of space it is closed: what a disk has made of a write that
  // failed is not known, and 'may have run' must not be built on it.
  bool commit(const std::vector<Record>& records);
  bool closed() const { return closed_; }

 private:
  std::uint64_t place(const Record& record) const;
  spool::Index& index_;
  std::vector<std::string> tenants_;
  bool closed_{false};
};

class LedgerWriter {
 public:
  using Done = std::function<void(const Record&, bool durable)>;
  LedgerWriter(Strand strand, std::unique_ptr<spool::Index> index, std::vector<std::string> tenants,
               Done done);
  // Blocks: at the start.
  LedgerStore::Recovery recover(std::uint64_t fresh, std::int64_t now_unix_us) {
    return store_.recover(fresh, now_unix_us);
  }
  void write(Record record);
  bool idle() const { return !busy_ && queue_.empty(); }
  std::uint64_t commits() const { return commits_; }
  std::uint64_t records() const { return records_; }

 private:
  void kick();
  Strand strand_;
  std::unique_ptr<spool::Index> index_;
  LedgerStore store_;
  Done done_;
  std::vector<Record> queue_;
  bool busy_{false};
  std::uint64_t commits_{0}, records_{0};
  std::shared_ptr<LedgerWriter*> self_;
  Worker worker_;
};

}  // namespace steprail::edge
