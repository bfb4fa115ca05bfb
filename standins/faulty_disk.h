// A disk in memory that fails on request: at the n-th operation, in the way that is asked for. What a crash
// leaves of it can be taken over by the next process, with or without what the kernel had not yet written
// out.
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
    kShortWrite,  // a part of the write is there, and it has failed
    kNoSpace,     // likewise, as a full disk does it
    kEio,         // the operation fails and does nothing
    kDieBefore,   // the process ends before the operation ...
    kDieWithin,   // ... with a part of it done ...
    kDieAfter     // ... or just after it
  };
  struct Died {};  // thrown where the process ends

  // Operations that change something are counted from 1, over files and index together.
  void fail_at(std::size_t operation, Fault fault) { at_ = operation, fault_ = fault; }
  std::size_t operations() const { return count_; }
  // Operations that came after a sync had failed: there must be none that write.
  std::size_t writes_after_failed_sync() const { return writes_after_; }

  // What a new process finds: all that was written (kill -9), or what was synced and a part of the rest (a
  // machine that loses its power).
  std::shared_ptr<FaultyDisk> after_kill() const;
  std::shared_ptr<FaultyDisk> after_power_loss(std::uint64_t seed) const;
  // No file can be opened or made, as where all descriptors are taken.
  void take_descriptors(bool taken) { no_descriptors_ = taken; }
  void flip_bit(const std::string& file, std::size_t byte, int bit);

  std::unique_ptr<spool::Files> files();
  std::unique_ptr<spool::Index> index();
  const std::map<std::string, std::string>& content() const { return now_; }
  const std::map<std::uint64_t, std::string>& entries() const { return entries_; }

 private:
  friend class DiskFiles;
  friend class DiskFile;
  friend class DiskIndex;
  // The fault of this operation; counts it.
  Fault operate(bool is_sync = false);

  std::map<std::string, std::string> now_;     // name -> what the kernel has
  std::map<std::string, std::string> synced_;  // name -> what the disk has
  std::set<std::string> names_synced_;
  std::map<std::uint64_t, std::string> entries_;
  std::size_t count_{0}, at_{0}, writes_after_{0};
  Fault fault_{Fault::kNone};
  bool sync_failed_{false}, no_descriptors_{false};
};

}  // namespace steprail::standin
