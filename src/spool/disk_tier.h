// Runs the segment store on a thread of its own, behind a queue. Jobs that arrive while the thread is busy
// form its next batch: results that complete together share one sync.
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

  // Blocks: call it at startup, before requests are served.
  SegmentStore::Recovery recover(std::int64_t now_unix_us) { return store_.recover(now_unix_us); }

  // Callbacks run on the strand, in the order of the calls.
  using PutCallback = std::function<void(StoreError, std::uint64_t on_disk)>;
  using ReadCallback = std::function<void(StoreError, std::vector<std::string>)>;
  void put(StoredResult meta, std::shared_ptr<const Pages> pages, PutCallback done);
  void read(std::uint64_t id, std::size_t first, std::size_t last, ReadCallback done);
  void erase(std::uint64_t id, std::function<void()> done);
  bool idle() const { return !busy_ && queue_.empty(); }
  std::uint64_t batch_count() const { return batches_; }

 private:
  struct Job {
    enum class Kind { kPut, kRead, kErase } kind{};
    StoredResult meta;
    std::shared_ptr<const Pages> pages;
    std::size_t first{}, last{};
    StoreError error{StoreError::kNone};
    std::uint64_t on_disk{};
    std::vector<std::string> pages_read;
    PutCallback put_done;
    ReadCallback read_done;
    std::function<void()> erase_done;
  };
  using Batch = std::vector<Job>;
  void enqueue(Job job);
  void start_batch();
  void run_batch(Batch& batch);
  void finish_batch(Batch& batch);

  Strand strand_;
  std::unique_ptr<Files> files_;
  std::unique_ptr<Index> index_;
  SegmentStore store_;
  std::deque<Job> queue_;
  bool busy_{false};
  std::uint64_t batches_{0};
  // Lets completion handlers that run after the destruction of this object detect it.
  std::shared_ptr<DiskTier*> self_;
  Worker worker_;
};

}  // namespace steprail::spool
