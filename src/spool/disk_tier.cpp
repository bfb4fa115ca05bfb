#include "spool/disk_tier.h"

#include <boost/asio/post.hpp>

#include "spool/pages.h"

namespace steprail::spool {
namespace {
// Limit on the results of one batch, which bounds how long the reads queued behind it have to wait.
constexpr std::uint64_t kBatchBytes = 4u << 20;
}  // namespace

DiskTier::DiskTier(Strand strand, std::unique_ptr<Files> files, std::unique_ptr<Index> index,
                   StoreSettings settings)
    : strand_(strand),
      files_(std::move(files)),
      index_(std::move(index)),
      store_(*files_, *index_, settings),
      self_(std::make_shared<DiskTier*>(this)),
      worker_(1) {}

void DiskTier::put(StoredResult meta, std::shared_ptr<const Pages> pages, PutCallback done) {
  Job job;
  job.kind = Job::Kind::kPut;
  job.meta = std::move(meta);
  job.pages = std::move(pages);
  job.put_done = std::move(done);
  enqueue(std::move(job));
}

void DiskTier::read(std::uint64_t id, std::size_t first, std::size_t last, ReadCallback done) {
  Job job;
  job.kind = Job::Kind::kRead;
  job.meta.id = id;
  job.first = first;
  job.last = last;
  job.read_done = std::move(done);
  enqueue(std::move(job));
}

void DiskTier::erase(std::uint64_t id, std::function<void()> done) {
  Job job;
  job.kind = Job::Kind::kErase;
  job.meta.id = id;
  job.erase_done = std::move(done);
  enqueue(std::move(job));
}

void DiskTier::enqueue(Job job) {
  queue_.push_back(std::move(job));
  start_batch();
}

void DiskTier::start_batch() {
  if (busy_ || queue_.empty()) return;
  auto batch = std::make_shared<Batch>();
  std::uint64_t bytes = 0;
  while (!queue_.empty() && bytes < kBatchBytes) {
    if (queue_.front().pages) bytes += queue_.front().pages->charged();
    batch->push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  busy_ = true;
  ++batches_;
  worker_.post([this, batch, self = std::weak_ptr<DiskTier*>(self_)]() mutable {
    run_batch(*batch);
    // The batch is passed back with the completion, so that its pages are only ever released on the strand.
    boost::asio::post(strand_, [batch = std::move(batch), self = std::move(self)] {
      if (const auto here = self.lock()) (*here)->finish_batch(*batch);
    });
  });
}

void DiskTier::run_batch(Batch& batch) {
  for (std::size_t i = 0; i < batch.size();) {
    std::size_t end = i + 1;
    while (end < batch.size() && batch[end].kind == batch[i].kind) ++end;
    if (batch[i].kind == Job::Kind::kPut) {
      std::vector<SegmentStore::Item> items;
      for (std::size_t j = i; j < end; ++j) {
        SegmentStore::Item item;
        item.meta = std::move(batch[j].meta);
        for (const std::string& page : batch[j].pages->contents) item.pages.push_back(page);
        items.push_back(std::move(item));
      }
      store_.put(items);
      for (std::size_t j = i; j < end; ++j) {
        batch[j].error = items[j - i].error;
        batch[j].on_disk = items[j - i].on_disk;
      }
    } else if (batch[i].kind == Job::Kind::kErase) {
      std::vector<std::uint64_t> ids;
      for (std::size_t j = i; j < end; ++j) ids.push_back(batch[j].meta.id);
      store_.erase(ids);
    } else {
      for (std::size_t j = i; j < end; ++j)
        batch[j].error = store_.read(batch[j].meta.id, batch[j].first, batch[j].last, batch[j].pages_read);
    }
    i = end;
  }
}

void DiskTier::finish_batch(Batch& batch) {
  busy_ = false;
  start_batch();
  for (Job& job : batch) {
    if (job.put_done) job.put_done(job.error, job.on_disk);
    if (job.read_done) job.read_done(job.error, std::move(job.pages_read));
    if (job.erase_done) job.erase_done();
  }
}

}  // namespace steprail::spool
