#include "edge/ledger/ledger_store.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace steprail::edge {
namespace {

using nlohmann::json;
constexpr int kVersion = 1;
constexpr std::uint64_t kIncarnationsKey = 0;  // index key of the list of incarnations
constexpr std::size_t kMaxIncarnations = 4096;

std::string to_bytes(const json& value) {
  const auto bytes = json::to_cbor(value);
  return {bytes.begin(), bytes.end()};
}

}  // namespace

LedgerStore::LedgerStore(spool::Index& index, std::vector<std::string> tenants)
    : index_(index), tenants_(std::move(tenants)) {}

// A 64-bit hash: the chance that any two of a million entries collide is one in thirty million.
std::uint64_t LedgerStore::index_key(const LedgerRecord& record) const {
  const auto tenant = static_cast<std::size_t>(record.key.tenant);
  std::string text = record.watermark ? "mark" : "key";
  text +=
      '\0' + (tenant < tenants_.size() ? tenants_[tenant] : std::string()) + '\0' + record.key.device + '\0';
  if (!record.watermark) text += std::to_string(record.key.number);
  const std::uint64_t hash = XXH3_64bits(text.data(), text.size());
  return hash == kIncarnationsKey ? 1 : hash;
}

LedgerStore::Recovery LedgerStore::recover(std::uint64_t new_incarnation, std::int64_t now_unix_us) {
  Recovery recovery;
  json incarnations = json::array();
  const bool read = index_.scan([&](std::uint64_t key, std::string_view bytes) {
    try {
      const json value = json::from_cbor(bytes.begin(), bytes.end());
      if (key == kIncarnationsKey) {
        incarnations = value;
        return;
      }
      if (value.at("v") != kVersion) throw std::invalid_argument("version");
      LedgerRecord record;
      const std::string tenant = value.at("t");
      const auto at = std::find(tenants_.begin(), tenants_.end(), tenant);
      if (at == tenants_.end() && !tenants_.empty())
        return;  // the tenant was removed from the settings: nobody can ask for it
      record.key = {static_cast<int>(at - tenants_.begin()), value.at("d"), value.at("n")};
      if (tenants_.empty()) record.key.tenant = 0;
      record.watermark = value.at("m");
      if (!record.watermark) {
        record.state = static_cast<EntryState>(value.at("f").get<int>());
        record.digest = value.at("s");
        record.expires_unix_us = value.at("e");
        const json& o = value.at("o");
        record.outcome = {static_cast<Outcome::Status>(o.at(0).get<int>()),
                          o.at(1),
                          Micros{o.at(2).get<std::int64_t>()},
                          o.at(3),
                          o.at(4),
                          o.at(5)};
      }
      recovery.records.push_back(std::move(record));
    } catch (const std::exception&) {
      ++recovery.unreadable;
    }
  });
  if (!read) {
    closed_ = true;
    recovery.usable = false;
    recovery.incarnations = {new_incarnation};
    return recovery;
  }
  // An unreadable value may have been any record: the records of earlier incarnations are not complete.
  if (recovery.unreadable > 0) incarnations = json::array();
  incarnations.push_back({new_incarnation, now_unix_us});
  while (incarnations.size() > kMaxIncarnations) incarnations.erase(incarnations.begin());
  for (const json& entry : incarnations) recovery.incarnations.push_back(entry.at(0));
  if (index_.commit({{kIncarnationsKey, to_bytes(incarnations)}}) != spool::IoStatus::kOk) {
    closed_ = true;
    recovery.usable = false;
  }
  return recovery;
}

bool LedgerStore::commit(const std::vector<LedgerRecord>& records) {
  if (closed_) return false;
  std::vector<spool::Change> changes;
  for (const LedgerRecord& r : records) {
    if (r.erase) {
      changes.push_back({index_key(r), {}});
      continue;
    }
    const auto tenant = static_cast<std::size_t>(r.key.tenant);
    json value = {{"v", kVersion},
                  {"t", tenant < tenants_.size() ? tenants_[tenant] : std::string()},
                  {"d", r.key.device},
                  {"n", r.key.number},
                  {"m", r.watermark}};
    if (!r.watermark) {
      value.update({{"f", static_cast<int>(r.state)},
                    {"s", r.digest},
                    {"e", r.expires_unix_us},
                    {"o", json::array({static_cast<int>(r.outcome.status), r.outcome.retry_safe,
                                       r.outcome.retry_after.count(), r.outcome.result_id, r.outcome.rows,
                                       r.outcome.bytes})}});
    }
    changes.push_back({index_key(r), to_bytes(value)});
  }
  const spool::IoStatus done = index_.commit(changes);
  if (done == spool::IoStatus::kFailed) closed_ = true;
  return done == spool::IoStatus::kOk;
}

LedgerWriter::LedgerWriter(Strand strand, std::unique_ptr<spool::Index> index,
                           std::vector<std::string> tenants, RecordedCallback on_recorded)
    : strand_(strand),
      index_(std::move(index)),
      store_(*index_, std::move(tenants)),
      on_recorded_(std::move(on_recorded)),
      self_(std::make_shared<LedgerWriter*>(this)),
      worker_(1) {}

void LedgerWriter::write(LedgerRecord record) {
  pending_.push_back(std::move(record));
  ++record_count_;
  start_commit();
}

void LedgerWriter::start_commit() {
  if (committing_ || pending_.empty()) return;
  committing_ = true;
  ++commit_count_;
  auto batch = std::make_shared<std::vector<LedgerRecord>>(std::exchange(pending_, {}));
  worker_.post([this, batch, self = std::weak_ptr<LedgerWriter*>(self_)] {
    const bool good = store_.commit(*batch);
    boost::asio::post(strand_, [batch, good, self] {
      const auto here = self.lock();
      if (!here) return;
      LedgerWriter& writer = **here;
      writer.committing_ = false;
      writer.start_commit();
      for (const LedgerRecord& record : *batch) writer.on_recorded_(record, good);
    });
  });
}

}  // namespace steprail::edge
