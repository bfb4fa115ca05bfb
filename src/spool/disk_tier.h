// The segment store on a thread of its own, behind a queue. What comes while the thread is busy is its next
// batch: results that come together share one sync.
#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "base/worker.h"
#include "core/coordinator.h"
#include "spool/store/segment_store.h"

namespace steprail::spool {

class Pages;

class DiskTier {
 public:
  DiskTier(Strand strand, std::unique_ptr<Files> files, std::unique_ptr<Index> index, StoreSettings settings);

  // Blocks: to be called at the start, before anybody is served.
  SegmentStore::Recovery recover(std::int64_t now_unix_us) { return store_.recover(now_unix_us); }

  // All of these answer on the strand, in the order in which they were asked.
  using Put = std::function<void(StoreError, std::uint64_t on_disk)>;
  using Read = std::function<void(StoreError, std::vector<std::string>)>;
  void put(StoredResult meta, std::shared_ptr<const Pages> pages, Put done);
  void read(std::uint64_t id, std::size_t first, std::size_t last, Read done);
  void erase(std::uint64_t id, std::function<void()> done);
  bool idle() const { return !busy_ && queue_.empty(); }
  std::uint64_t syncs() const { return batches_; }

 private:
  struct Job {
    enum class What { kPut, kRead, kErase } what{};
    StoredResult meta;
    std::shared_ptr<const Pages> pages;
    std::size_t first{}, last{};
    StoreError error{StoreError::kNone};
    std::uint64_t on_disk{};
    std::vector<std::string> read;
    Put put_done;
    Read read_done;
    std::function<void()> erase_done;
  };
  using Batch = std::vector<Job>;
  void add(Job job);
  void kick();
  void work(Batch& batch);
  void finish(Batch& batch);

  Strand strand_;
  std::unique_ptr<Files> files_;
  std::unique_ptr<Index> index_;
  SegmentStore store_;
  std::deque<Job> queue_;
  bool busy_{false};
  std::uint64_t batches_{0};
  // Handlers that come after this object is gone find that out by it.
  std::shared_ptr<DiskTier*> self_;
  Worker worker_;
};

}  // namespace steprail::spool
