// The segment store on a faulty disk: every operation fails in every way, and the next process recovers.
#include <catch2/catch.hpp>
#include <set>

#include "spool/store/segment_store.h"
#include "standins/faulty_disk.h"
#include "standins/site.h"

namespace {

using namespace steprail::spool;
using steprail::standin::FaultyDisk;
using steprail::standin::TempDir;
using Fault = FaultyDisk::Fault;

constexpr std::int64_t kNow = 1'000'000, kLater = 1'000'000'000;

std::vector<std::string> pages_of(std::uint64_t id, std::size_t count = 25) {
  std::vector<std::string> pages;
  for (std::size_t page = 0; page < count; ++page) {
    std::string text;
    while (text.size() < 5000) text += std::to_string(id * 7919 + page * 31 + text.size()) + "\tb\tc\n";
    pages.push_back(text);
  }
  return pages;
}

SegmentStore::Item item(std::uint64_t id, const std::vector<std::string>& pages) {
  SegmentStore::Item item;
  item.meta.id = id;
  item.meta.handle = "handle" + std::to_string(id);
  item.meta.tenant = "acme";
  item.meta.give_up_unix_us = kLater;
  item.meta.remaining_us = kLater - kNow;
  for (const std::string& page : pages) {
    item.meta.pages.push_back({1, static_cast<std::uint32_t>(page.size())});
    item.pages.push_back(page);
  }
  return item;
}

StoreError put(SegmentStore& store, std::uint64_t id) {
  const auto pages = pages_of(id);
  std::vector<SegmentStore::Item> items{item(id, pages)};
  store.put(items);
  return items[0].error;
}

bool reads_back(SegmentStore& store, std::uint64_t id) {
  std::vector<std::string> read;
  return store.read(id, 0, 25, read) == StoreError::kNone && read == pages_of(id);
}

// What the workload did until it ended or died: results reported as stored, and results whose erasure was
// requested.
struct Outcome {
  std::set<std::uint64_t> stored, erased, attempted;
  bool died{false};
};
Outcome run_workload(FaultyDisk& disk, int compression) {
  Outcome outcome;
  const auto files = disk.files();
  const auto index = disk.index();
  SegmentStore store(*files, *index, {10u << 20, 300'000, compression});
  try {
    store.recover(kNow);
    const auto put_one = [&](std::uint64_t id) {
      outcome.attempted.insert(id);
      if (put(store, id) == StoreError::kNone) outcome.stored.insert(id);
    };
    put_one(1);
    {
      const auto a = pages_of(2), b = pages_of(3);
      std::vector<SegmentStore::Item> both{item(2, a), item(3, b)};
      outcome.attempted.insert({2, 3});
      store.put(both);
      for (const auto& each : both) {
        if (each.error == StoreError::kNone) outcome.stored.insert(each.meta.id);
      }
    }
    outcome.erased.insert(1);
    store.erase({1});
    put_one(4);
    outcome.erased.insert({2, 3});
    store.erase({2, 3});
    put_one(5);
    put_one(6);
  } catch (const FaultyDisk::ProcessDied&) {
    outcome.died = true;
  }
  // A live process never returns data that it has not verified.
  if (!outcome.died) {
    for (const std::uint64_t id : outcome.attempted) {
      std::vector<std::string> read;
      if (store.read(id, 0, 25, read) == StoreError::kNone) CHECK(read == pages_of(id));
    }
  }
  return outcome;
}

void check_recovery(const std::shared_ptr<FaultyDisk>& disk, const Outcome& outcome, const char* crash_kind) {
  const auto files = disk->files();
  const auto index = disk->index();
  SegmentStore store(*files, *index, {10u << 20, 300'000, 0});
  const auto found = store.recover(kNow);
  std::set<std::uint64_t> whole;
  for (const StoredResult& result : found.intact) {
    INFO(crash_kind << ", result " << result.id);
    whole.insert(result.id);
    CHECK(reads_back(store, result.id));
    CHECK(result.handle == "handle" + std::to_string(result.id));
  }
  // A result reported as stored exists until its erasure was requested.
  for (const std::uint64_t id : outcome.stored) {
    INFO(crash_kind << ", result " << id);
    if (!outcome.erased.contains(id)) CHECK(whole.contains(id));
  }
  // No unused segment remains: each one holds a record of an intact result.
  std::set<std::string> used;
  for (const StoredResult& result : found.intact) {
    for (const auto& chunk : result.chunks) used.insert(std::to_string(chunk.segment));
  }
  CHECK(files->list().size() == used.size());
  // The recovered store accepts new results.
  CHECK(put(store, 99) == StoreError::kNone);
  CHECK(reads_back(store, 99));
}

}  // namespace

TEST_CASE("store: whichever operation fails, the next process finds each result whole or not at all") {
  for (const int compression : {0, 3}) {
    FaultyDisk clean;
    const Outcome all = run_workload(clean, compression);
    REQUIRE(all.stored == std::set<std::uint64_t>{1, 2, 3, 4, 5, 6});
    const std::size_t operations = clean.operation_count();
    REQUIRE(operations > 15);
    for (std::size_t at = 1; at <= operations; ++at) {
      for (const Fault fault : {Fault::kShortWrite, Fault::kNoSpace, Fault::kEio, Fault::kDieBefore,
                                Fault::kDieDuring, Fault::kDieAfter}) {
        FaultyDisk disk;
        disk.fail_at(at, fault);
        const Outcome outcome = run_workload(disk, compression);
        CHECK(outcome.died == (fault >= Fault::kDieBefore));
        CHECK(disk.writes_after_failed_sync() == 0);
        INFO("operation " << at << ", fault " << static_cast<int>(fault));
        check_recovery(disk.after_kill(), outcome, "killed");
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
          check_recovery(disk.after_power_loss(seed), outcome, "power lost");
      }
    }
  }
}

// Guards against serving rows that the disk has altered.
TEST_CASE("store: a flipped bit anywhere in a segment is detected by reads and by recovery") {
  for (const int compression : {0, 3}) {
    FaultyDisk disk;
    const auto files = disk.files();
    const auto index = disk.index();
    SegmentStore store(*files, *index, {10u << 20, 1u << 20, compression});
    store.recover(kNow);
    REQUIRE(put(store, 1) == StoreError::kNone);
    const std::string name = disk.contents().begin()->first;
    const std::size_t size = disk.contents().begin()->second.size();
    for (std::size_t byte = 0; byte < size; byte += byte < 100 ? 1 : 997) {
      const int bit = static_cast<int>(byte % 8);
      disk.flip_bit(name, byte, bit);
      std::vector<std::string> read;
      CHECK(store.read(1, 0, 25, read) == StoreError::kCorrupt);
      CHECK(read.empty());
      const auto next = disk.after_kill();
      const auto next_files = next->files();
      const auto next_index = next->index();
      SegmentStore later(*next_files, *next_index, {});
      const auto found = later.recover(kNow);
      CHECK(found.intact.empty());
      CHECK(found.lost == 1);
      disk.flip_bit(name, byte, bit);
    }
    CHECK(reads_back(store, 1));
  }
}

// Guards against misreading an index value that is of another version or truncated.
TEST_CASE("store: truncated index values are rejected, and altered ones are handled") {
  SegmentStore::Item whole = item(1, pages_of(1));
  whole.meta.chunks = {{1, 0, 60'040, 0}, {1, 60'040, 60'040, 12}};
  const std::string value = encode(whole.meta);
  StoredResult back;
  REQUIRE(decode(value, back));
  CHECK(back.handle == whole.meta.handle);
  CHECK(back.chunks.size() == 2);
  for (std::size_t cut = 0; cut < value.size(); ++cut) {
    StoredResult half;
    CHECK_FALSE(decode(value.substr(0, cut), half));
  }
  for (std::size_t at = 0; at < value.size(); ++at) {
    std::string other = value;
    other[at] = static_cast<char>(other[at] ^ 0x41);
    StoredResult changed;
    decode(other, changed);  // whatever it decodes to, the records' checksums decide
  }
}

TEST_CASE("store: a range of pages is read, and a range beyond the end is refused") {
  FaultyDisk disk;
  const auto files = disk.files();
  const auto index = disk.index();
  SegmentStore store(*files, *index, {});
  store.recover(kNow);
  REQUIRE(put(store, 1) == StoreError::kNone);
  const auto pages = pages_of(1);
  std::vector<std::string> read;
  for (std::size_t first = 0; first < 25; first += 3) {
    for (std::size_t last = first + 1; last <= 25; last += 4) {
      REQUIRE(store.read(1, first, last, read) == StoreError::kNone);
      CHECK(read == std::vector<std::string>(pages.begin() + static_cast<long>(first),
                                             pages.begin() + static_cast<long>(last)));
    }
  }
  CHECK(store.read(1, 0, 26, read) == StoreError::kUnknown);
  CHECK(store.read(1, 3, 3, read) == StoreError::kUnknown);
  CHECK(store.read(2, 0, 1, read) == StoreError::kUnknown);
}

TEST_CASE("store: the budget includes dead data, and dead segments are deleted") {
  FaultyDisk disk;
  const auto files = disk.files();
  const auto index = disk.index();
  SegmentStore store(*files, *index, {500'000, 100'000, 0});
  store.recover(kNow);
  std::uint64_t id = 1;
  while (put(store, id) == StoreError::kNone) ++id;
  CHECK(store.bytes() <= 500'000);
  CHECK_FALSE(store.closed());
  std::vector<std::uint64_t> all;
  for (std::uint64_t i = 1; i < id; ++i) all.push_back(i);
  CHECK(store.erase(all));
  CHECK(store.bytes() < 100'000);
  CHECK(put(store, id) == StoreError::kNone);
  CHECK(reads_back(store, id));
  CHECK(disk.contents().size() == store.segments());
}

TEST_CASE("store: expired results are not recovered") {
  FaultyDisk disk;
  {
    const auto files = disk.files();
    const auto index = disk.index();
    SegmentStore store(*files, *index, {});
    store.recover(kNow);
    REQUIRE(put(store, 1) == StoreError::kNone);
  }
  const auto next = disk.after_kill();
  const auto files = next->files();
  const auto index = next->index();
  SegmentStore store(*files, *index, {});
  const auto found = store.recover(kLater);
  CHECK(found.intact.empty());
  CHECK(found.expired == 1);
  CHECK(next->contents().empty());
  CHECK(next->index_entries().empty());
}

TEST_CASE("store: POSIX files and the LMDB index behave like the fake disk") {
  const TempDir folder;
  const std::string at = folder.path("spool");
  {
    const auto files = open_posix_files(at);
    const auto index = open_lmdb_index(at, 4u << 20);
    SegmentStore store(*files, *index, {10u << 20, 200'000, 0});
    store.recover(kNow);
    for (std::uint64_t id = 1; id <= 5; ++id) REQUIRE(put(store, id) == StoreError::kNone);
    CHECK(store.erase({2, 4}));
    CHECK(reads_back(store, 1));
    CHECK(store.segments() >= 2);
  }
  {
    const auto files = open_posix_files(at);
    const auto index = open_lmdb_index(at, 4u << 20);
    SegmentStore store(*files, *index, {10u << 20, 200'000, 0});
    const auto found = store.recover(kNow);
    CHECK(found.intact.size() == 3);
    for (const std::uint64_t id : {1, 3, 5}) CHECK(reads_back(store, id));
    CHECK(store.erase({1, 3, 5}));
    CHECK(files->list() == std::vector<std::string>{"index"});
    // A full index counts as a full disk, not as a failed one.
    std::vector<Change> big{{77, std::string(8u << 20, 'x')}};
    CHECK(index->commit(big) == IoStatus::kNoSpace);
    CHECK(put(store, 6) == StoreError::kNone);
  }
  CHECK_THROWS(open_posix_files("/proc/nowhere/spool"));
}

// Guards against giving up results as lost, or closing the store, when file descriptors run out for a moment.
TEST_CASE("store: a lack of file descriptors loses no result and does not close the store") {
  FaultyDisk disk;
  const auto files = disk.files();
  const auto index = disk.index();
  SegmentStore store(*files, *index, {10u << 20, 100'000, 0});
  store.recover(kNow);
  REQUIRE(put(store, 1) == StoreError::kNone);
  disk.exhaust_descriptors(true);
  std::vector<std::string> read;
  CHECK(store.read(1, 0, 25, read) == StoreError::kBusy);
  CHECK(put(store, 2) == StoreError::kNoSpace);
  CHECK_FALSE(store.closed());
  const auto next = disk.after_kill();
  next->exhaust_descriptors(true);
  const auto next_files = next->files();
  const auto next_index = next->index();
  CHECK_FALSE(SegmentStore(*next_files, *next_index, {}).recover(kNow).usable);
  CHECK(next->index_entries().size() == 1);
  disk.exhaust_descriptors(false);
  CHECK(reads_back(store, 1));
  CHECK(put(store, 3) == StoreError::kNone);
}
