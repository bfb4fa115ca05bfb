// Stores complete results on disk: records in segment files, and an index that locates them.
//
// A result is written as records of up to 64 KB of whole pages, each with a checksum over its header and
// data. The order is: records, sync of the segments, index transaction with its own sync. A result exists
// once it is in the index; what a crash leaves behind without that is unused data at the end of a segment.
// Segments of an earlier process are not appended to, and nothing is ever rewritten: a segment is deleted
// when no result in it is live. Results live for seconds to minutes, so that segments become empty by
// themselves and need no compaction.
//
// Not thread-safe. After a failed write or sync nothing more is written: it is unknown what the kernel did
// with the pages that it could not write, and a later sync that succeeds would prove nothing.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "spool/store/files.h"

namespace steprail::spool {

struct StoreSettings {
  std::uint64_t max_bytes{1u << 30};  // of all segments, dead data included
  std::uint64_t segment_bytes{16u << 20};
  int compression{0};
};

struct StoredPage {
  std::uint32_t rows{}, bytes{};
};

// A result as it is recorded in the index.
struct StoredResult {
  std::uint64_t id{};
  std::string handle, tenant;
  std::uint64_t acknowledged{};    // acknowledged rows
  std::int64_t give_up_unix_us{};  // give-up time of the request, by the wall clock
  // Time until the give-up time when it was stored: a wall clock that is set back cannot extend it.
  std::int64_t remaining_us{};
  std::vector<StoredPage> pages;
  struct Chunk {
    std::uint32_t segment{};
    std::uint64_t offset{};
    std::uint32_t length{};      // of the record, header included
    std::uint32_t first_page{};  // the pages end where those of the next chunk begin
  };
  std::vector<Chunk> chunks;
  std::uint64_t bytes_on_disk() const;
};

// kBusy: no file descriptor is free; the result is still there.
enum class StoreError { kNone, kNoSpace, kClosed, kUnknown, kCorrupt, kBusy };

class SegmentStore {
 public:
  SegmentStore(Files& files, Index& index, StoreSettings settings);

  struct Recovery {
    std::vector<StoredResult> intact;
    std::uint64_t expired{}, lost{}, bytes_read{};
    bool usable{true};  // false: the index or a segment cannot be read now; the store is closed
  };
  // To be called once, before anything else. Reads and verifies each result; those that are not intact are
  // erased.
  Recovery recover(std::int64_t now_unix_us);

  struct Item {
    StoredResult meta;  // put() fills in its chunks
    std::vector<std::string_view> pages;
    StoreError error{StoreError::kNone};
    std::uint64_t on_disk{};
  };
  // Items succeed or fail one by one, with one sync and one transaction for all that fit. kNoSpace: the disk
  // is full and the store stays open. kClosed: the store has failed for good.
  void put(std::vector<Item>& items);
  // Ignores unknown ids. False if the index could not be written: the store is closed.
  bool erase(const std::vector<std::uint64_t>& ids);
  // Reads the pages [first, last), byte-identical to what was put, or returns an error.
  StoreError read(std::uint64_t id, std::size_t first, std::size_t last, std::vector<std::string>& pages);

  bool closed() const { return closed_; }
  std::uint64_t bytes() const;  // of all segments
  std::size_t segments() const { return segments_.size(); }
  std::size_t size() const { return results_.size(); }

 private:
  struct Segment {
    std::uint64_t bytes{0};
    std::size_t live_results{0};  // results with a record in this segment
  };
  IoStatus start_segment();
  IoStatus append(Item& item);
  StoreError read_chunk(const StoredResult& result, std::size_t chunk, std::string& raw);
  File* reader_for(std::uint32_t segment, StoreError& error);
  void adjust_live_results(const StoredResult& result, int sign);
  void remove_dead_segments();

  Files& files_;
  Index& index_;
  StoreSettings settings_;
  std::map<std::uint32_t, Segment> segments_;
  std::unordered_map<std::uint64_t, StoredResult> results_;
  std::uint32_t current_segment_{0};
  std::unique_ptr<File> writer_;
  // Recently read segments are kept open, but only a few, since file descriptors are limited.
  std::vector<std::pair<std::uint32_t, std::unique_ptr<File>>> readers_;
  bool closed_{false};
};

// The value in the index, as CBOR. decode() returns false for anything that is not a valid value of this
// version.
std::string encode(const StoredResult& result);
bool decode(std::string_view bytes, StoredResult& result);

}  // namespace steprail::spool
