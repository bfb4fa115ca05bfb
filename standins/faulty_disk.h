// An in-memory disk that fails on request: at the n-th operation, in the requested way. The state that a
// crash leaves behind can be handed to the next process, with or without the data that the kernel had not yet
// written out.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "spool/store/files.h"

namespace steprail::standin {

class FaultyDisk {
 public:
  enum class Fault {
    kNone,
    kShortWrite,  // a part of the data is written, then the write fails
    kNoSpace,     // as kShortWrite, with the error of a full disk
    kEio,         // the operation fails without effect
    kDieBefore,   // the process dies before the operation,
    kDieDuring,   // with a part of it done,
    kDieAfter     // or just after it
  };
  struct ProcessDied {};  // thrown where the process dies

  // Mutating operations are counted from 1, over files and index together.
  void fail_at(std::size_t operation, Fault fault) { fail_at_ = operation, fault_ = fault; }
  std::size_t operation_count() const { return operation_count_; }
  // Operations other than syncs and removals after a failed sync; must be 0.
  std::size_t writes_after_failed_sync() const { return writes_after_failed_sync_; }

  // What the next process finds: after kill -9 all that was written; after a power loss what was synced and a
  // part of the rest.
  std::shared_ptr<FaultyDisk> after_kill() const;
  std::shared_ptr<FaultyDisk> after_power_loss(std::uint64_t seed) const;
  // While set, no file can be opened or created, as when all file descriptors are in use.
  void exhaust_descriptors(bool exhausted) { no_descriptors_ = exhausted; }
  void flip_bit(const std::string& file, std::size_t byte, int bit);

  std::unique_ptr<spool::Files> files();
  std::unique_ptr<spool::Index> index();
  const std::map<std::string, std::string>& contents() const { return written_; }
  const std::map<std::uint64_t, std::string>& index_entries() const { return index_entries_; }

 private:
  friend class DiskFiles;
  friend class DiskFile;
  friend class DiskIndex;
  // Counts the operation and returns the fault to inject into it.
  Fault begin_operation(bool is_sync = false);

  std::map<std::string, std::string> written_;  // name -> contents as the kernel has them
  std::map<std::string, std::string> synced_;   // name -> contents that are durable
  std::set<std::string> synced_names_;
  std::map<std::uint64_t, std::string> index_entries_;
  std::size_t operation_count_{0}, fail_at_{0}, writes_after_failed_sync_{0};
  Fault fault_{Fault::kNone};
  bool sync_failed_{false}, no_descriptors_{false};
};

}  // namespace steprail::standin
