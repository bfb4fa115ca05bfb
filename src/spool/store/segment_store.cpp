#include "spool/store/segment_store.h"

#include <zstd.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <nlohmann/json.hpp>
#include <set>

namespace steprail::spool {
namespace {

using nlohmann::json;

constexpr std::uint32_t kMagic = 0x31505253;  // "SRP1" in the file
constexpr std::uint32_t kCompressed = 1;
constexpr std::size_t kChunk = 64 << 10;
constexpr std::size_t kReaders = 8;
constexpr std::uint32_t kChunkMost = 1u << 30;
constexpr int kVersion = 1;
constexpr std::string_view kPrefix = "segment-";

// Little-endian on the disk as in memory: the folder belongs to one machine.
struct Head {
  std::uint32_t magic{kMagic};
  std::uint32_t length{};  // of the bytes that follow the head
  std::uint32_t raw{};     // once they are decompressed
  std::uint32_t flags{};
  std::uint64_t id{};
  std::uint32_t first_page{};
  std::uint32_t pages{};
  std::uint64_t checksum{};  // of all before it and of the bytes that follow
};
static_assert(sizeof(Head) == 40);

std::uint64_t checksum(const Head& head, std::string_view bytes) {
  XXH3_state_t state;
  XXH3_64bits_reset(&state);
  XXH3_64bits_update(&state, &head, offsetof(Head, checksum));
  XXH3_64bits_update(&state, bytes.data(), bytes.size());
  return XXH3_64bits_digest(&state);
}

std::string segment_name(std::uint32_t number) {
  std::string digits = std::to_string(number);
  return std::string(kPrefix) + std::string(10 - std::min<std::size_t>(10, digits.size()), '0') + digits;
}

bool parse_segment(const std::string& name, std::uint32_t& number) {
  if (name.compare(0, kPrefix.size(), kPrefix) != 0) return false;
  const char* end = name.data() + name.size();
  const auto [at, error] = std::from_chars(name.data() + kPrefix.size(), end, number);
  return error == std::errc{} && at == end;
}

}  // namespace

std::uint64_t StoredResult::bytes_on_disk() const {
  std::uint64_t bytes = 0;
  for (const Chunk& chunk : chunks) bytes += chunk.length;
  return bytes;
}

std::string encode(const StoredResult& result) {
  json pages = json::array(), chunks = json::array();
  for (const StoredPage& page : result.pages) pages.push_back({page.rows, page.bytes});
  for (const StoredResult::Chunk& chunk : result.chunks)
    chunks.push_back({chunk.segment, chunk.offset, chunk.length, chunk.first_page});
  const json value = {{"v", kVersion},
                      {"h", result.handle},
                      {"t", result.tenant},
                      {"a", result.acknowledged},
                      {"g", result.give_up_unix_us},
                      {"l", result.left_us},
                      {"p", std::move(pages)},
                      {"c", std::move(chunks)}};
  const auto bytes = json::to_cbor(value);
  return {bytes.begin(), bytes.end()};
}

bool decode(std::string_view bytes, StoredResult& result) {
  try {
    const json value = json::from_cbor(bytes.begin(), bytes.end());
    if (value.at("v") != kVersion) return false;
    result.handle = value.at("h");
    result.tenant = value.at("t");
    result.acknowledged = value.at("a");
    result.give_up_unix_us = value.at("g");
    result.left_us = value.at("l");
    for (const json& page : value.at("p")) result.pages.push_back({page.at(0), page.at(1)});
    for (const json& c : value.at("c")) result.chunks.push_back({c.at(0), c.at(1), c.at(2), c.at(3)});
  } catch (const json::exception&) {
    return false;
  }
  std::uint32_t next = 0;
  for (const StoredResult::Chunk& chunk : result.chunks) {
    if (chunk.first_page != next && chunk.first_page == 0) return false;
    if (chunk.first_page < next || chunk.first_page >= result.pages.size()) return false;
    next = chunk.first_page + 1;
  }
  return !result.pages.empty() && !result.chunks.empty() && result.chunks.front().first_page == 0;
}

SegmentStore::SegmentStore(Files& files, Index& index, StoreSettings settings)
    : files_(files), index_(index), settings_(settings) {}

SegmentStore::Recovery SegmentStore::recover(std::int64_t now_unix_us) {
  Recovery recovery;
  std::set<std::uint32_t> found;
  for (const std::string& name : files_.list()) {
    std::uint32_t number = 0;
    if (parse_segment(name, number)) found.insert(number);
  }
  // New records never join an old segment: its tail may be torn.
  current_ = found.empty() ? 0 : *found.rbegin();
  std::vector<Change> gone;
  std::vector<StoredResult> kept;
  const bool read = index_.scan([&](std::uint64_t id, std::string_view value) {
    StoredResult result;
    result.id = id;
    if (!decode(value, result)) {
      ++recovery.lost;
      gone.push_back({id, {}});
    } else if (result.give_up_unix_us <= now_unix_us) {
      ++recovery.expired;
      gone.push_back({id, {}});
    } else {
      kept.push_back(std::move(result));
    }
  });
  if (!read) {
    closed_ = true;
    recovery.usable = false;
    return recovery;
  }
  for (StoredResult& result : kept) {
    bool whole = true;
    std::string raw;
    for (std::size_t chunk = 0; whole && chunk < result.chunks.size(); ++chunk) {
      const StoreError error = read_chunk(result, chunk, raw);
      if (error == StoreError::kBusy) {
        // Nothing can be said of what is there, so nothing is taken for lost either.
        closed_ = true;
        recovery = {};
        recovery.usable = false;
        return recovery;
      }
      whole = error == StoreError::kNone;
      recovery.bytes_read += result.chunks[chunk].length;
    }
    if (!whole) {
      ++recovery.lost;
      gone.push_back({result.id, {}});
      continue;
    }
    count(result, 1);
    for (const StoredResult::Chunk& chunk : result.chunks) {
      Segment& segment = segments_[chunk.segment];
      segment.bytes = std::max(segment.bytes, chunk.offset + chunk.length);
    }
    results_.emplace(result.id, result);
    recovery.whole.push_back(std::move(result));
  }
  if (!gone.empty() && index_.commit(gone) != Io::kGood) closed_ = true;
  for (const std::uint32_t number : found) {
    if (!segments_.contains(number)) files_.remove(segment_name(number));
  }
  return recovery;
}

std::uint64_t SegmentStore::bytes() const {
  std::uint64_t sum = 0;
  for (const auto& [_, segment] : segments_) sum += segment.bytes;
  return sum;
}

void SegmentStore::count(const StoredResult& result, int sign) {
  std::uint32_t last = 0;
  bool first = true;
  for (const StoredResult::Chunk& chunk : result.chunks) {
    if (!first && chunk.segment == last) continue;
    first = false;
    last = chunk.segment;
    Segment& segment = segments_[chunk.segment];
    segment.live = sign > 0 ? segment.live + 1 : segment.live - 1;
  }
}

Io SegmentStore::roll() {
  out_ = files_.create(segment_name(current_ + 1));
  if (!out_) return Io::kNoSpace;  // or descriptor: nothing is lost by it, and a later try may have one
  ++current_;
  segments_[current_] = {};
  return files_.sync_names() == Io::kGood ? Io::kGood : Io::kFailed;
}

Io SegmentStore::append(Item& item) {
  StoredResult& meta = item.meta;
  meta.chunks.clear();
  std::size_t page = 0;
  while (page < item.pages.size()) {
    Head head;
    head.id = meta.id;
    head.first_page = static_cast<std::uint32_t>(page);
    std::size_t raw = 0, end = page;
    while (end < item.pages.size() && (end == page || raw + item.pages[end].size() <= kChunk))
      raw += item.pages[end++].size();
    head.pages = static_cast<std::uint32_t>(end - page);
    head.raw = static_cast<std::uint32_t>(raw);
    std::string bytes;
    bytes.reserve(raw);
    for (std::size_t i = page; i < end; ++i) bytes.append(item.pages[i]);
    if (settings_.compression > 0) {
      std::string packed(ZSTD_compressBound(raw), '\0');
      const std::size_t size =
          ZSTD_compress(packed.data(), packed.size(), bytes.data(), bytes.size(), settings_.compression);
      if (!ZSTD_isError(size) && size < raw) {
        packed.resize(size);
        bytes = std::move(packed);
        head.flags = kCompressed;
      }
    }
    head.length = static_cast<std::uint32_t>(bytes.size());
    head.checksum = checksum(head, bytes);
    if (!out_ || segments_[current_].bytes >= settings_.segment) {
      // What stands in the old one must be on the disk before the index names it.
      if (out_) {
        const Io synced = out_->sync();
        if (synced != Io::kGood) return Io::kFailed;
      }
      const Io rolled = roll();
      if (rolled != Io::kGood) return rolled;
    }
    Segment& segment = segments_[current_];
    const std::string_view pieces[] = {{reinterpret_cast<const char*>(&head), sizeof head}, bytes};
    const std::uint64_t length = sizeof head + bytes.size();
    meta.chunks.push_back({current_, segment.bytes, static_cast<std::uint32_t>(length), head.first_page});
    const Io wrote = out_->append(pieces);
    if (wrote != Io::kGood) return wrote;
    segment.bytes += length;
    page = end;
  }
  return Io::kGood;
}

void SegmentStore::put(std::vector<Item>& items) {
  std::vector<Change> changes;
  bool failed = closed_, full = false;
  for (Item& item : items) {
    std::uint64_t size = 0;
    for (const std::string_view page : item.pages) size += page.size();
    if (failed) {
      item.error = StoreError::kClosed;
    } else if (full || bytes() + size > settings_.most || results_.contains(item.meta.id)) {
      item.error = StoreError::kNoRoom;
    } else {
      const Io wrote = append(item);
      if (wrote == Io::kNoSpace) {
        // The segment may end in half a record: nothing more goes behind it.
        full = true;
        item.error = StoreError::kNoRoom;
        if (out_ && out_->sync() != Io::kGood) failed = true;
        out_.reset();
      } else if (wrote == Io::kFailed) {
        failed = true;
      } else {
        changes.push_back({item.meta.id, encode(item.meta)});
        item.on_disk = item.meta.bytes_on_disk();
      }
    }
  }
  if (!failed && !changes.empty() && out_ && out_->sync() != Io::kGood) failed = true;
  if (!failed && !changes.empty()) {
    const Io committed = index_.commit(changes);
    if (committed == Io::kNoSpace) {
      for (Item& item : items) item.error = StoreError::kNoRoom;
    } else if (committed == Io::kFailed) {
      failed = true;
    }
  }
  if (failed) {
    // Nothing of this batch is known to be there, and whatever comes later cannot rely on this disk.
    closed_ = true;
    out_.reset();
    for (Item& item : items) item.error = StoreError::kClosed;
    return;
  }
  for (const Item& item : items) {
    if (item.error != StoreError::kNone) continue;
    count(item.meta, 1);
    results_.emplace(item.meta.id, item.meta);
  }
  remove_dead();
}

bool SegmentStore::erase(const std::vector<std::uint64_t>& ids) {
  std::vector<Change> changes;
  for (const std::uint64_t id : ids) {
    const auto at = results_.find(id);
    if (at == results_.end()) continue;
    count(at->second, -1);
    results_.erase(at);
    changes.push_back({id, {}});
  }
  if (changes.empty()) return !closed_;
  // Where the index has failed its entries stay; the next start finds them too old, or their segments gone.
  if (!closed_ && index_.commit(changes) != Io::kGood) closed_ = true;
  remove_dead();
  return !closed_;
}

void SegmentStore::remove_dead() {
  for (auto at = segments_.begin(); at != segments_.end();) {
    const bool current = out_ != nullptr && at->first == current_;
    if (at->second.live > 0 || (current && at->second.bytes < settings_.segment)) {
      ++at;
      continue;
    }
    if (current) out_.reset();
    std::erase_if(readers_, [&](const auto& held) { return held.first == at->first; });
    files_.remove(segment_name(at->first));
    at = segments_.erase(at);
  }
}

File* SegmentStore::reader(std::uint32_t segment, StoreError& error) {
  const auto held = std::find_if(readers_.begin(), readers_.end(),
                                 [&](const auto& entry) { return entry.first == segment; });
  if (held != readers_.end()) {
    std::rotate(readers_.begin(), held, held + 1);
    return readers_.front().second.get();
  }
  bool missing = false;
  auto file = files_.open(segment_name(segment), missing);
  if (!file) {
    error = missing ? StoreError::kSpoilt : StoreError::kBusy;
    return nullptr;
  }
  if (readers_.size() >= kReaders) readers_.pop_back();
  readers_.insert(readers_.begin(), {segment, std::move(file)});
  return readers_.front().second.get();
}

StoreError SegmentStore::read_chunk(const StoredResult& result, std::size_t number, std::string& raw) {
  const StoredResult::Chunk& chunk = result.chunks[number];
  const std::size_t end =
      number + 1 < result.chunks.size() ? result.chunks[number + 1].first_page : result.pages.size();
  if (chunk.length < sizeof(Head) || chunk.length > kChunkMost) return StoreError::kSpoilt;
  StoreError error = StoreError::kNone;
  File* file = reader(chunk.segment, error);
  if (file == nullptr) return error;
  std::string record(chunk.length, '\0');
  if (!file->read(chunk.offset, record)) return StoreError::kSpoilt;
  Head head;
  std::memcpy(&head, record.data(), sizeof head);
  const std::string_view bytes = std::string_view(record).substr(sizeof head);
  std::uint64_t expected = 0;
  for (std::size_t page = chunk.first_page; page < end; ++page) expected += result.pages[page].bytes;
  if (head.magic != kMagic || head.length != bytes.size() || head.id != result.id ||
      head.first_page != chunk.first_page || head.pages != end - chunk.first_page || head.raw != expected ||
      head.checksum != checksum(head, bytes))
    return StoreError::kSpoilt;
  if ((head.flags & kCompressed) == 0) {
    raw.assign(bytes);
    return raw.size() == expected ? StoreError::kNone : StoreError::kSpoilt;
  }
  raw.resize(head.raw);
  const std::size_t size = ZSTD_decompress(raw.data(), raw.size(), bytes.data(), bytes.size());
  return !ZSTD_isError(size) && size == raw.size() ? StoreError::kNone : StoreError::kSpoilt;
}

StoreError SegmentStore::read(std::uint64_t id, std::size_t first, std::size_t last,
                              std::vector<std::string>& pages) {
  pages.clear();
  const auto at = results_.find(id);
  if (at == results_.end()) return StoreError::kUnknown;
  const StoredResult& result = at->second;
  if (first >= last || last > result.pages.size()) return StoreError::kUnknown;
  std::string raw;
  for (std::size_t number = 0; number < result.chunks.size(); ++number) {
    const std::size_t begin = result.chunks[number].first_page;
    const std::size_t end =
        number + 1 < result.chunks.size() ? result.chunks[number + 1].first_page : result.pages.size();
    if (end <= first || begin >= last) continue;
    const StoreError error = read_chunk(result, number, raw);
    if (error != StoreError::kNone) {
      pages.clear();
      return error;
    }
    std::size_t offset = 0;
    for (std::size_t page = begin; page < end; ++page) {
      const std::size_t size = result.pages[page].bytes;
      if (page >= first && page < last) pages.push_back(raw.substr(offset, size));
      offset += size;
    }
  }
  return StoreError::kNone;
}

}  // namespace steprail::spool
