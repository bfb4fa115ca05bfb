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
constexpr std::uint32_t kCompressedFlag = 1;
constexpr std::size_t kTargetChunkBytes = 64 << 10;
constexpr std::size_t kMaxOpenReaders = 8;
constexpr std::uint32_t kMaxChunkBytes = 1u << 30;
constexpr int kIndexVersion = 1;
constexpr std::string_view kSegmentPrefix = "segment-";

// Little-endian on disk as in memory: a folder is only used on one machine.
struct RecordHeader {
  std::uint32_t magic{kMagic};
  std::uint32_t length{};      // of the bytes that follow the header
  std::uint32_t raw_length{};  // length after decompression
  std::uint32_t flags{};
  std::uint64_t id{};
  std::uint32_t first_page{};
  std::uint32_t pages{};
  std::uint64_t checksum{};  // over the fields above and the bytes that follow
};
static_assert(sizeof(RecordHeader) == 40);

std::uint64_t checksum(const RecordHeader& header, std::string_view bytes) {
  XXH3_state_t state;
  XXH3_64bits_reset(&state);
  XXH3_64bits_update(&state, &header, offsetof(RecordHeader, checksum));
  XXH3_64bits_update(&state, bytes.data(), bytes.size());
  return XXH3_64bits_digest(&state);
}

std::string segment_name(std::uint32_t number) {
  std::string digits = std::to_string(number);
  return std::string(kSegmentPrefix) + std::string(10 - std::min<std::size_t>(10, digits.size()), '0') +
         digits;
}

bool parse_segment_number(const std::string& name, std::uint32_t& number) {
  if (name.compare(0, kSegmentPrefix.size(), kSegmentPrefix) != 0) return false;
  const char* end = name.data() + name.size();
  const auto [at, error] = std::from_chars(name.data() + kSegmentPrefix.size(), end, number);
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
  const json value = {{"v", kIndexVersion},       {"h", result.handle},          {"t", result.tenant},
                      {"a", result.acknowledged}, {"g", result.give_up_unix_us}, {"l", result.remaining_us},
                      {"p", std::move(pages)},    {"c", std::move(chunks)}};
  const auto bytes = json::to_cbor(value);
  return {bytes.begin(), bytes.end()};
}

bool decode(std::string_view bytes, StoredResult& result) {
  try {
    const json value = json::from_cbor(bytes.begin(), bytes.end());
    if (value.at("v") != kIndexVersion) return false;
    result.handle = value.at("h");
    result.tenant = value.at("t");
    result.acknowledged = value.at("a");
    result.give_up_unix_us = value.at("g");
    result.remaining_us = value.at("l");
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
  std::set<std::uint32_t> segment_numbers;
  for (const std::string& name : files_.list()) {
    std::uint32_t number = 0;
    if (parse_segment_number(name, number)) segment_numbers.insert(number);
  }
  // New records are never appended to an old segment, since its end may be torn.
  current_segment_ = segment_numbers.empty() ? 0 : *segment_numbers.rbegin();
  std::vector<Change> erasures;
  std::vector<StoredResult> candidates;
  const bool read = index_.scan([&](std::uint64_t id, std::string_view value) {
    StoredResult result;
    result.id = id;
    if (!decode(value, result)) {
      ++recovery.lost;
      erasures.push_back({id, {}});
    } else if (result.give_up_unix_us <= now_unix_us) {
      ++recovery.expired;
      erasures.push_back({id, {}});
    } else {
      candidates.push_back(std::move(result));
    }
  });
  if (!read) {
    closed_ = true;
    recovery.usable = false;
    return recovery;
  }
  for (StoredResult& result : candidates) {
    bool intact = true;
    std::string raw;
    for (std::size_t chunk = 0; intact && chunk < result.chunks.size(); ++chunk) {
      const StoreError error = read_chunk(result, chunk, raw);
      if (error == StoreError::kBusy) {
        // The contents are unknown, so no result may be counted as lost either.
        closed_ = true;
        recovery = {};
        recovery.usable = false;
        return recovery;
      }
      intact = error == StoreError::kNone;
      recovery.bytes_read += result.chunks[chunk].length;
    }
    if (!intact) {
      ++recovery.lost;
      erasures.push_back({result.id, {}});
      continue;
    }
    adjust_live_results(result, 1);
    for (const StoredResult::Chunk& chunk : result.chunks) {
      Segment& segment = segments_[chunk.segment];
      segment.bytes = std::max(segment.bytes, chunk.offset + chunk.length);
    }
    results_.emplace(result.id, result);
    recovery.intact.push_back(std::move(result));
  }
  if (!erasures.empty() && index_.commit(erasures) != IoStatus::kOk) closed_ = true;
  for (const std::uint32_t number : segment_numbers) {
    if (!segments_.contains(number)) files_.remove(segment_name(number));
  }
  return recovery;
}

std::uint64_t SegmentStore::bytes() const {
  std::uint64_t sum = 0;
  for (const auto& [_, segment] : segments_) sum += segment.bytes;
  return sum;
}

void SegmentStore::adjust_live_results(const StoredResult& result, int sign) {
  std::uint32_t last = 0;
  bool first = true;
  for (const StoredResult::Chunk& chunk : result.chunks) {
    if (!first && chunk.segment == last) continue;
    first = false;
    last = chunk.segment;
    Segment& segment = segments_[chunk.segment];
    segment.live_results = sign > 0 ? segment.live_results + 1 : segment.live_results - 1;
  }
}

IoStatus SegmentStore::start_segment() {
  writer_ = files_.create(segment_name(current_segment_ + 1));
  if (!writer_)
    // No space, or no free file descriptor: nothing is lost, and a later attempt may succeed.
    return IoStatus::kNoSpace;
  ++current_segment_;
  segments_[current_segment_] = {};
  return files_.sync_directory() == IoStatus::kOk ? IoStatus::kOk : IoStatus::kFailed;
}

IoStatus SegmentStore::append(Item& item) {
  StoredResult& meta = item.meta;
  meta.chunks.clear();
  std::size_t page = 0;
  while (page < item.pages.size()) {
    RecordHeader header;
    header.id = meta.id;
    header.first_page = static_cast<std::uint32_t>(page);
    std::size_t raw = 0, end = page;
    while (end < item.pages.size() && (end == page || raw + item.pages[end].size() <= kTargetChunkBytes))
      raw += item.pages[end++].size();
    header.pages = static_cast<std::uint32_t>(end - page);
    header.raw_length = static_cast<std::uint32_t>(raw);
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
        header.flags = kCompressedFlag;
      }
    }
    header.length = static_cast<std::uint32_t>(bytes.size());
    header.checksum = checksum(header, bytes);
    if (!writer_ || segments_[current_segment_].bytes >= settings_.segment_bytes) {
      // The records in the previous segment must be durable before the index refers to them.
      if (writer_) {
        const IoStatus synced = writer_->sync();
        if (synced != IoStatus::kOk) return IoStatus::kFailed;
      }
      const IoStatus rolled = start_segment();
      if (rolled != IoStatus::kOk) return rolled;
    }
    Segment& segment = segments_[current_segment_];
    const std::string_view pieces[] = {{reinterpret_cast<const char*>(&header), sizeof header}, bytes};
    const std::uint64_t length = sizeof header + bytes.size();
    meta.chunks.push_back(
        {current_segment_, segment.bytes, static_cast<std::uint32_t>(length), header.first_page});
    const IoStatus wrote = writer_->append(pieces);
    if (wrote != IoStatus::kOk) return wrote;
    segment.bytes += length;
    page = end;
  }
  return IoStatus::kOk;
}

void SegmentStore::put(std::vector<Item>& items) {
  std::vector<Change> changes;
  bool failed = closed_, full = false;
  for (Item& item : items) {
    std::uint64_t size = 0;
    for (const std::string_view page : item.pages) size += page.size();
    if (failed) {
      item.error = StoreError::kClosed;
    } else if (full || bytes() + size > settings_.max_bytes || results_.contains(item.meta.id)) {
      item.error = StoreError::kNoSpace;
    } else {
      const IoStatus wrote = append(item);
      if (wrote == IoStatus::kNoSpace) {
        // The segment may end in a partial record, so nothing more is appended to it.
        full = true;
        item.error = StoreError::kNoSpace;
        if (writer_ && writer_->sync() != IoStatus::kOk) failed = true;
        writer_.reset();
      } else if (wrote == IoStatus::kFailed) {
        failed = true;
      } else {
        changes.push_back({item.meta.id, encode(item.meta)});
        item.on_disk = item.meta.bytes_on_disk();
      }
    }
  }
  if (!failed && !changes.empty() && writer_ && writer_->sync() != IoStatus::kOk) failed = true;
  if (!failed && !changes.empty()) {
    const IoStatus committed = index_.commit(changes);
    if (committed == IoStatus::kNoSpace) {
      for (Item& item : items) item.error = StoreError::kNoSpace;
    } else if (committed == IoStatus::kFailed) {
      failed = true;
    }
  }
  if (failed) {
    // Nothing of this batch can be relied on, nor can anything written to this disk later.
    closed_ = true;
    writer_.reset();
    for (Item& item : items) item.error = StoreError::kClosed;
    return;
  }
  for (const Item& item : items) {
    if (item.error != StoreError::kNone) continue;
    adjust_live_results(item.meta, 1);
    results_.emplace(item.meta.id, item.meta);
  }
  remove_dead_segments();
}

bool SegmentStore::erase(const std::vector<std::uint64_t>& ids) {
  std::vector<Change> changes;
  for (const std::uint64_t id : ids) {
    const auto at = results_.find(id);
    if (at == results_.end()) continue;
    adjust_live_results(at->second, -1);
    results_.erase(at);
    changes.push_back({id, {}});
  }
  if (changes.empty()) return !closed_;
  // If the index has failed, its entries remain; the next start drops them as expired, or as lost with their
  // segments.
  if (!closed_ && index_.commit(changes) != IoStatus::kOk) closed_ = true;
  remove_dead_segments();
  return !closed_;
}

void SegmentStore::remove_dead_segments() {
  for (auto at = segments_.begin(); at != segments_.end();) {
    const bool current = writer_ != nullptr && at->first == current_segment_;
    if (at->second.live_results > 0 || (current && at->second.bytes < settings_.segment_bytes)) {
      ++at;
      continue;
    }
    if (current) writer_.reset();
    std::erase_if(readers_, [&](const auto& held) { return held.first == at->first; });
    files_.remove(segment_name(at->first));
    at = segments_.erase(at);
  }
}

File* SegmentStore::reader_for(std::uint32_t segment, StoreError& error) {
  const auto held = std::find_if(readers_.begin(), readers_.end(),
                                 [&](const auto& entry) { return entry.first == segment; });
  if (held != readers_.end()) {
    std::rotate(readers_.begin(), held, held + 1);
    return readers_.front().second.get();
  }
  bool missing = false;
  auto file = files_.open(segment_name(segment), missing);
  if (!file) {
    error = missing ? StoreError::kCorrupt : StoreError::kBusy;
    return nullptr;
  }
  if (readers_.size() >= kMaxOpenReaders) readers_.pop_back();
  readers_.insert(readers_.begin(), {segment, std::move(file)});
  return readers_.front().second.get();
}

StoreError SegmentStore::read_chunk(const StoredResult& result, std::size_t number, std::string& raw) {
  const StoredResult::Chunk& chunk = result.chunks[number];
  const std::size_t end =
      number + 1 < result.chunks.size() ? result.chunks[number + 1].first_page : result.pages.size();
  if (chunk.length < sizeof(RecordHeader) || chunk.length > kMaxChunkBytes) return StoreError::kCorrupt;
  StoreError error = StoreError::kNone;
  File* file = reader_for(chunk.segment, error);
  if (file == nullptr) return error;
  std::string record(chunk.length, '\0');
  if (!file->read(chunk.offset, record)) return StoreError::kCorrupt;
  RecordHeader header;
  std::memcpy(&header, record.data(), sizeof header);
  const std::string_view bytes = std::string_view(record).substr(sizeof header);
  std::uint64_t expected = 0;
  for (std::size_t page = chunk.first_page; page < end; ++page) expected += result.pages[page].bytes;
  if (header.magic != kMagic || header.length != bytes.size() || header.id != result.id ||
      header.first_page != chunk.first_page || header.pages != end - chunk.first_page ||
      header.raw_length != expected || header.checksum != checksum(header, bytes))
    return StoreError::kCorrupt;
  if ((header.flags & kCompressedFlag) == 0) {
    raw.assign(bytes);
    return raw.size() == expected ? StoreError::kNone : StoreError::kCorrupt;
  }
  raw.resize(header.raw_length);
  const std::size_t size = ZSTD_decompress(raw.data(), raw.size(), bytes.data(), bytes.size());
  return !ZSTD_isError(size) && size == raw.size() ? StoreError::kNone : StoreError::kCorrupt;
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
