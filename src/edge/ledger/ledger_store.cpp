#include "edge/ledger/ledger_store.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace steprail::edge {
namespace {

using nlohmann::json;
constexpr int kVersion = 1;
constexpr std::uint64_t kIncarnations = 0;  // the place of their list
constexpr std::size_t kIncarnationsMost = 4096;

std::string to_bytes(const json& value) {
  const auto bytes = json::to_cbor(value);
  return {bytes.begin(), bytes.end()};
}

}  // namespace

LedgerStore::LedgerStore(spool::Index& index, std::vector<std::string> tenants)
    : index_(index), tenants_(std::move(tenants)) {}

// 64 bits of a hash: of a million entries two share a place with a chance of one in thirty million.
std::uint64_t LedgerStore::place(const Record& record) const {
  const auto tenant = static_cast<std::size_t>(record.key.tenant);
  std::string text = record.mark ? "mark" : "key";
  text +=
      '\0' + (tenant < tenants_.size() ? tenants_[tenant] : std::string()) + '\0' + record.key.device + '\0';
  if (!record.mark) text += std::to_string(record.key.number);
  const std::uint64_t hash = XXH3_64bits(text.data(), text.size());
  return hash == kIncarnations ? 1 : hash;
}

LedgerStore::Recovery LedgerStore::recover(std::uint64_t fresh, std::int64_t now_unix_us) {
  Recovery found;
  json list = json::array();
  const bool read = index_.scan([&](std::uint64_t place, std::string_view bytes) {
    try {
      const json value = json::from_cbor(bytes.begin(), bytes.end());
      if (place == kIncarnations) {
        list = value;
        return;
      }
      if (value.at("v") != kVersion) throw std::invalid_argument("version");
      Record record;
      const std::string tenant = value.at("t");
      const auto at = std::find(tenants_.begin(), tenants_.end(), tenant);
      if (at == tenants_.end() && !tenants_.empty()) return;  // a tenant that is no more asks for nothing
      record.key = {static_cast<int>(at - tenants_.begin()), value.at("d"), value.at("n")};
      if (tenants_.empty()) record.key.tenant = 0;
      record.mark = value.at("m");
      if (!record.mark) {
        record.fate = static_cast<Fate>(value.at("f").get<int>());
        record.digest = value.at("s");
        record.expires_unix_us = value.at("e");
        const json& o = value.at("o");
        record.outcome = {static_cast<Outcome::How>(o.at(0).get<int>()),
                          o.at(1),
                          Micros{o.at(2).get<std::int64_t>()},
                          o.at(3),
                          o.at(4),
                          o.at(5)};
      }
      found.records.push_back(std::move(record));
    } catch (const std::exception&) {
      ++found.unreadable;
    }
  });
  if (!read) {
    closed_ = true;
    found.usable = false;
    found.incarnations = {fresh};
    return found;
  }
  // A value that cannot be read may have been any: no earlier process can be vouched for.
  if (found.unreadable > 0) list = json::array();
  list.push_back({fresh, now_unix_us});
  while (list.size() > kIncarnationsMost) list.erase(list.begin());
  for (const json& one : list) found.incarnations.push_back(one.at(0));
  if (index_.commit({{kIncarnations, to_bytes(list)}}) != spool::IoStatus::kOk) {
    closed_ = true;
    found.usable = false;
  }
  return found;
}

bool LedgerStore::commit(const std::vector<Record>& records) {
  if (closed_) return false;
  std::vector<spool::Change> changes;
  for (const Record& r : records) {
    if (r.erase) {
      changes.push_back({place(r), {}});
      continue;
    }
    const auto tenant = static_cast<std::size_t>(r.key.tenant);
    json value = {{"v", kVersion},
                  {"t", tenant < tenants_.size() ? tenants_[tenant] : std::string()},
                  {"d", r.key.device},
                  {"n", r.key.number},
                  {"m", r.mark}};
    if (!r.mark) {
      value.update(
          {{"f", static_cast<int>(r.fate)},
           {"s", r.digest},
           {"e", r.expires_unix_us},
           {"o", json::array({static_cast<int>(r.outcome.how), r.outcome.again, r.outcome.later.count(),
                              r.outcome.request, r.outcome.rows, r.outcome.bytes})}});
    }
    changes.push_back({place(r), to_bytes(value)});
  }
  const spool::IoStatus done = index_.commit(changes);
  if (done == spool::IoStatus::kFailed) closed_ = true;
  return done == spool::IoStatus::kOk;
}

LedgerWriter::LedgerWriter(Strand strand, std::unique_ptr<spool::Index> index,
                           std::vector<std::string> tenants, Done done)
    : strand_(strand),
      index_(std::move(index)),
      store_(*index_, std::move(tenants)),
      done_(std::move(done)),
      self_(std::make_shared<LedgerWriter*>(this)),
      worker_(1) {}

void LedgerWriter::write(Record record) {
  queue_.push_back(std::move(record));
  ++records_;
  kick();
}

void LedgerWriter::kick() {
  if (busy_ || queue_.empty()) return;
  busy_ = true;
  ++commits_;
  auto batch = std::make_shared<std::vector<Record>>(std::exchange(queue_, {}));
  worker_.post([this, batch, self = std::weak_ptr<LedgerWriter*>(self_)] {
    const bool good = store_.commit(*batch);
    boost::asio::post(strand_, [batch, good, self] {
      const auto here = self.lock();
      if (!here) return;
      LedgerWriter& writer = **here;
      writer.busy_ = false;
      writer.kick();
      for (const Record& record : *batch) writer.done_(record, good);
    });
  });
}

}  // namespace steprail::edge
