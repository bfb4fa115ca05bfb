// Whole results on disk: records in segments, and an index that says where they are.
//
// A result is written as records of up to 64 KB of whole pages, each with a checksum over its head and its
// bytes. Order: records, sync, index, its sync. A result is there once the index says so; what a crash leaves
// behind without that is a dead tail of a segment. Nothing is written into a segment of an earlier process,
// and nothing is ever rewritten: a segment goes as a whole when no result in it lives. Results live for
// seconds to minutes, so that segments die by themselves and need no compaction.
//
// For one thread. After a failed write or sync nothing more is written: what the kernel has done with the
// pages that it could not write is not known, and a second sync that succeeds would prove nothing.
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
  std::uint64_t most{1u << 30};  // bytes of all segments, dead ones included
  std::uint64_t segment{16u << 20};
  int compression{0};
};

struct StoredPage {
  std::uint32_t rows{}, bytes{};
};

// A result as the index keeps it.
struct StoredResult {
  std::uint64_t id{};
  std::string handle, tenant;
  std::uint64_t acknowledged{};    // rows
  std::int64_t give_up_unix_us{};  // of the request
  std::int64_t left_us{};          // until then, when it was stored: no wall clock makes it longer
  std::vector<StoredPage> pages;
  struct Chunk {
    std::uint32_t segment{};
    std::uint64_t offset{};
    std::uint32_t length{};      // of the record, head included
    std::uint32_t first_page{};  // the next chunk's says where this one ends
  };
  std::vector<Chunk> chunks;
  std::uint64_t bytes_on_disk() const;
};

// kBusy: no descriptor is to be had now; the result is there.
enum class StoreError { kNone, kNoRoom, kClosed, kUnknown, kSpoilt, kBusy };

class SegmentStore {
 public:
  SegmentStore(Files& files, Index& index, StoreSettings settings);

  struct Recovery {
    std::vector<StoredResult> whole;
    std::uint64_t expired{}, lost{}, bytes_read{};
    bool usable{true};  // false: the index cannot be read; the store is closed
  };
  // To be called once, before anything else. Each result is read and checked; what is not whole is erased.
  Recovery recover(std::int64_t now_unix_us);

  struct Item {
    StoredResult meta;  // its chunks are filled in
    std::vector<std::string_view> pages;
    StoreError error{StoreError::kNone};
    std::uint64_t on_disk{};
  };
  // All or each for itself: one sync and one transaction for all that fit. kNoRoom says the disk is full and
  // leaves the store open; kClosed says that it has failed for good.
  void put(std::vector<Item>& items);
  // Unknown ids are passed over. False where the index could not be written: the store is closed.
  bool erase(const std::vector<std::uint64_t>& ids);
  // Pages first to last (not within), byte-identical to what was put, or an error.
  StoreError read(std::uint64_t id, std::size_t first, std::size_t last, std::vector<std::string>& pages);

  bool closed() const { return closed_; }
  std::uint64_t bytes() const;  // of all segments
  std::size_t segments() const { return segments_.size(); }
  std::size_t size() const { return results_.size(); }

 private:
  struct Segment {
    std::uint64_t bytes{0};
    std::size_t live{0};  // results with a record in it
  };
  Io roll();
  Io append(Item& item);
  StoreError read_chunk(const StoredResult& result, std::size_t chunk, std::string& raw);
  File* reader(std::uint32_t segment, StoreError& error);
  void count(const StoredResult& result, int sign);
  void remove_dead();

  Files& files_;
  Index& index_;
  StoreSettings settings_;
  std::map<std::uint32_t, Segment> segments_;
  std::unordered_map<std::uint64_t, StoredResult> results_;
  std::uint32_t current_{0};
  std::unique_ptr<File> out_;
  // A few segments stay open to be read: descriptors are few.
  std::vector<std::pair<std::uint32_t, std::unique_ptr<File>>> readers_;
  bool closed_{false};
};

// The index's value, in CBOR. decode() is false for what cannot be a value of this version.
std::string encode(const StoredResult& result);
bool decode(std::string_view bytes, StoredResult& result);

}  // namespace steprail::spool
