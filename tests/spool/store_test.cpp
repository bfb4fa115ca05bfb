// The segment store over a disk that fails: at every operation, in every way, and what the next process
// finds.
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
  item.meta.left_us = kLater - kNow;
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

bool same(SegmentStore& store, std::uint64_t id) {
  std::vector<std::string> read;
  return store.read(id, 0, 25, read) == StoreError::kNone && read == pages_of(id);
}

// What a day on the disk is, as far as it gets: what it was told is there, and what it has taken back.
struct Told {
  std::set<std::uint64_t> stored, erased, asked;
  bool died{false};
};
Told day(FaultyDisk& disk, int compression) {
  Told told;
  const auto files = disk.files();
  const auto index = disk.index();
  SegmentStore store(*files, *index, {10u << 20, 300'000, compression});
  try {
    store.recover(kNow);
    const auto one = [&](std::uint64_t id) {
      told.asked.insert(id);
      if (put(store, id) == StoreError::kNone) told.stored.insert(id);
    };
    one(1);
    {
      const auto a = pages_of(2), b = pages_of(3);
      std::vector<SegmentStore::Item> both{item(2, a), item(3, b)};
      told.asked.insert({2, 3});
      store.put(both);
      for (const auto& each : both) {
        if (each.error == StoreError::kNone) told.stored.insert(each.meta.id);
      }
    }
    told.erased.insert(1);
    store.erase({1});
    one(4);
    told.erased.insert({2, 3});
    store.erase({2, 3});
    one(5);
    one(6);
  } catch (const FaultyDisk::Died&) {
    told.died = true;
  }
  // While the process lives it never gives out what it has not checked.
  if (!told.died) {
    for (const std::uint64_t id : told.asked) {
      std::vector<std::string> read;
      if (store.read(id, 0, 25, read) == StoreError::kNone) CHECK(read == pages_of(id));
    }
  }
  return told;
}

void check_next(const std::shared_ptr<FaultyDisk>& disk, const Told& told, const char* how) {
  const auto files = disk->files();
  const auto index = disk->index();
  SegmentStore store(*files, *index, {10u << 20, 300'000, 0});
  const auto found = store.recover(kNow);
  std::set<std::uint64_t> whole;
  for (const StoredResult& result : found.whole) {
    INFO(how << ", result " << result.id);
    whole.insert(result.id);
    CHECK(same(store, result.id));
    CHECK(result.handle == "handle" + std::to_string(result.id));
  }
  // What was said to be there is there, until its erasing was asked for.
  for (const std::uint64_t id : told.stored) {
    INFO(how << ", result " << id);
    if (!told.erased.contains(id)) CHECK(whole.contains(id));
  }
  // Nothing dead stays behind: every segment left has a living result.
  std::set<std::string> used;
  for (const StoredResult& result : found.whole) {
    for (const auto& chunk : result.chunks) used.insert(std::to_string(chunk.segment));
  }
  CHECK(files->list().size() == used.size());
  // And it goes on from there.
  CHECK(put(store, 99) == StoreError::kNone);
  CHECK(same(store, 99));
}

}  // namespace

TEST_CASE("store: every operation fails once in every way, and the next process finds the whole or nothing") {
  for (const int compression : {0, 3}) {
    FaultyDisk clean;
    const Told all = day(clean, compression);
    REQUIRE(all.stored == std::set<std::uint64_t>{1, 2, 3, 4, 5, 6});
    const std::size_t operations = clean.operations();
    REQUIRE(operations > 15);
    for (std::size_t at = 1; at <= operations; ++at) {
      for (const Fault fault : {Fault::kShortWrite, Fault::kNoSpace, Fault::kEio, Fault::kDieBefore,
                                Fault::kDieWithin, Fault::kDieAfter}) {
        FaultyDisk disk;
        disk.fail_at(at, fault);
        const Told told = day(disk, compression);
        CHECK(told.died == (fault >= Fault::kDieBefore));
        CHECK(disk.writes_after_failed_sync() == 0);
        INFO("operation " << at << ", fault " << static_cast<int>(fault));
        check_next(disk.after_kill(), told, "killed");
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
          check_next(disk.after_power_loss(seed), told, "power lost");
      }
    }
  }
}

// Guards against rows that the disk has changed being served.
TEST_CASE("store: a flipped bit anywhere in a segment is found, at the read and at the start") {
  for (const int compression : {0, 3}) {
    FaultyDisk disk;
    const auto files = disk.files();
    const auto index = disk.index();
    SegmentStore store(*files, *index, {10u << 20, 1u << 20, compression});
    store.recover(kNow);
    REQUIRE(put(store, 1) == StoreError::kNone);
    const std::string name = disk.content().begin()->first;
    const std::size_t size = disk.content().begin()->second.size();
    for (std::size_t byte = 0; byte < size; byte += byte < 100 ? 1 : 997) {
      const int bit = static_cast<int>(byte % 8);
      disk.flip_bit(name, byte, bit);
      std::vector<std::string> read;
      CHECK(store.read(1, 0, 25, read) == StoreError::kSpoilt);
      CHECK(read.empty());
      const auto next = disk.after_kill();
      const auto next_files = next->files();
      const auto next_index = next->index();
      SegmentStore later(*next_files, *next_index, {});
      const auto found = later.recover(kNow);
      CHECK(found.whole.empty());
      CHECK(found.lost == 1);
      disk.flip_bit(name, byte, bit);
    }
    CHECK(same(store, 1));
  }
}

// Guards against a value of the index that a program misreads: from another version, or half of one.
TEST_CASE("store: an index value cut or changed anywhere is no result, or the same result") {
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
    decode(other, changed);  // whatever it says, the records' checksums have the last word
  }
}

TEST_CASE("store: a part of a result is read without the rest, and nothing beyond it") {
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

TEST_CASE("store: its budget counts what is dead as well, and dead segments go") {
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
  CHECK(same(store, id));
  CHECK(disk.content().size() == store.segments());
}

TEST_CASE("store: what is too old is not brought back") {
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
  CHECK(found.whole.empty());
  CHECK(found.expired == 1);
  CHECK(next->content().empty());
  CHECK(next->entries().empty());
}

TEST_CASE("store: files of a folder and LMDB's index hold what the stand-in disk holds") {
  const TempDir folder;
  const std::string at = folder.path("spool");
  {
    const auto files = posix_files(at);
    const auto index = lmdb_index(at, 4u << 20);
    SegmentStore store(*files, *index, {10u << 20, 200'000, 0});
    store.recover(kNow);
    for (std::uint64_t id = 1; id <= 5; ++id) REQUIRE(put(store, id) == StoreError::kNone);
    CHECK(store.erase({2, 4}));
    CHECK(same(store, 1));
    CHECK(store.segments() >= 2);
  }
  {
    const auto files = posix_files(at);
    const auto index = lmdb_index(at, 4u << 20);
    SegmentStore store(*files, *index, {10u << 20, 200'000, 0});
    const auto found = store.recover(kNow);
    CHECK(found.whole.size() == 3);
    for (const std::uint64_t id : {1, 3, 5}) CHECK(same(store, id));
    CHECK(store.erase({1, 3, 5}));
    CHECK(files->list() == std::vector<std::string>{"index"});
    // A full index is a full disk, not a broken one.
    std::vector<Change> big{{77, std::string(8u << 20, 'x')}};
    CHECK(index->commit(big) == Io::kNoSpace);
    CHECK(put(store, 6) == StoreError::kNone);
  }
  CHECK_THROWS(posix_files("/proc/nowhere/spool"));
}

// Guards against results given up for lost, or a tier closed, where only descriptors were short for a moment.
TEST_CASE("store: without descriptors nothing is lost and nothing closed") {
  FaultyDisk disk;
  const auto files = disk.files();
  const auto index = disk.index();
  SegmentStore store(*files, *index, {10u << 20, 100'000, 0});
  store.recover(kNow);
  REQUIRE(put(store, 1) == StoreError::kNone);
  disk.take_descriptors(true);
  std::vector<std::string> read;
  CHECK(store.read(1, 0, 25, read) == StoreError::kBusy);
  CHECK(put(store, 2) == StoreError::kNoRoom);
  CHECK_FALSE(store.closed());
  const auto next = disk.after_kill();
  next->take_descriptors(true);
  const auto next_files = next->files();
  const auto next_index = next->index();
  CHECK_FALSE(SegmentStore(*next_files, *next_index, {}).recover(kNow).usable);
  CHECK(next->entries().size() == 1);
  disk.take_descriptors(false);
  CHECK(same(store, 1));
  CHECK(put(store, 3) == StoreError::kNone);
}
