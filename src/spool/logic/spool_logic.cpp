#include "spool/logic/spool_logic.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace steprail::spool {
namespace {
constexpr Micros kTimerTick{1000};
// Estimate of record headers and chunk entries; replaced by the real size once the result is stored.
constexpr Bytes kDiskOverhead = 64;
}  // namespace

SpoolLogic::SpoolLogic(LogicSettings settings, std::vector<double> weights, Micros now)
    : settings_(settings), disk_usable_(settings.disk.max_bytes > 0), lease_timers_(kTimerTick, now) {
  std::vector<SpoolAction> none;
  if (weights.empty()) weights.push_back(1);
  lru_by_tenant_.resize(weights.size());
  reconfigure(settings, weights, none);
}

void SpoolLogic::reconfigure(const LogicSettings& settings, const std::vector<double>& weights,
                             std::vector<SpoolAction>& out) {
  settings_ = settings;
  BudgetSettings memory = settings.memory;
  memory.max_bytes -= max_read_back_bytes();
  memory_.configure(memory, weights);
  disk_.configure(settings.disk, weights);
  read_back_.configure({max_read_back_bytes(), 1, 0.99, settings.memory.reserved_fraction}, weights);
  evict_to_disk(out);
}

Bytes SpoolLogic::max_read_back_bytes() const {
  if (settings_.disk.max_bytes == 0) return 0;
  return static_cast<Bytes>(static_cast<double>(settings_.memory.max_bytes) * settings_.read_back_fraction);
}

void SpoolLogic::set_state(Result& result, State to) {
  assert(is_valid_transition(result.state, to));
  result.state = to;
}

// ---- Requests ----

bool SpoolLogic::add_request(ResultId id, std::size_t tenant, std::string handle, ReaderId reader,
                             Micros give_up_at) {
  if (results_.size() >= settings_.max_results || disk_entries_.contains(id) ||
      results_by_handle_.contains(handle))
    return false;
  const auto [at, inserted] = results_.try_emplace(id);
  if (!inserted) return false;
  Result& result = at->second;
  result.tenant = std::min(tenant, memory_.tenant_count() - 1);
  result.handle = std::move(handle);
  result.give_up_at = give_up_at;
  results_by_handle_.emplace(result.handle, id);
  result.reader = reader;
  if (reader != kNoReader) results_by_reader_[reader].push_back(id);
  set_expiry(id, result, give_up_at);
  return true;
}

Placement SpoolLogic::begin_attempt(ResultId id, Bytes expected) {
  const auto at = results_.find(id);
  if (at == results_.end()) return Placement::kRefused;
  Result& result = at->second;
  set_state(result, State::kFilling);
  result.direct = false;
  if (too_long(expected)) return Placement::kRefused;
  if (memory_.try_charge(result.tenant, expected)) {
    result.charged = expected;
    return Placement::kSpool;
  }
  result.direct = expected <= settings_.max_direct_bytes;
  return result.direct ? Placement::kDirect : Placement::kRefused;
}

bool SpoolLogic::add_page(ResultId id, std::uint64_t rows, Bytes bytes) {
  const auto at = results_.find(id);
  if (at == results_.end() || at->second.state != State::kFilling) return false;
  Result& result = at->second;
  const Bytes received = result.received + bytes;
  if (received > settings_.max_result_bytes) return false;
  if (result.direct) {
    if (received > settings_.max_direct_bytes) return false;
  } else if (received > result.charged) {
    if (!memory_.try_charge(result.tenant, received - result.charged)) return false;
    result.charged = received;
  }
  result.received = received;
  result.index.append(rows, bytes);
  return true;
}

void SpoolLogic::attempt_lost(ResultId id) {
  const auto at = results_.find(id);
  if (at == results_.end() || at->second.state != State::kFilling) return;
  Result& result = at->second;
  set_state(result, State::kRunning);
  result.charged = result.received = 0;
  result.index.clear();
}

void SpoolLogic::complete(ResultId id, Micros now, std::vector<SpoolAction>& out) {
  const auto at = results_.find(id);
  if (at == results_.end()) return;
  Result& result = at->second;
  set_state(result, State::kReady);
  if (result.direct) return renew_lease(id, result, now);
  memory_.release(result.tenant, result.charged - result.received);
  result.charged = result.received;
  renew_lease(id, result, now);
  if (settings_.disk_threshold > 0 && result.received >= settings_.disk_threshold)
    schedule_store(id, result, out);
  evict_to_disk(out);
}

void SpoolLogic::end_request(ResultId id, EndReason reason, std::vector<SpoolAction>& out) {
  const auto at = results_.find(id);
  if (at != results_.end()) end_result(at, reason, out);
}

void SpoolLogic::end_result(Results::iterator at, EndReason reason, std::vector<SpoolAction>& out) {
  const ResultId id = at->first;
  Result& result = at->second;
  set_state(result, State::kEnded);
  lease_timers_.cancel(result.timer);
  remove_from_lru(result);
  if (result.storing) storing_bytes_ -= result.charged;
  results_by_handle_.erase(result.handle);
  if (result.reader != kNoReader) {
    const auto reader = results_by_reader_.find(result.reader);
    if (reader != results_by_reader_.end()) {
      std::erase(reader->second, id);
      if (reader->second.empty()) results_by_reader_.erase(reader);
    }
  }
  remember_end(id, result, reason);
  out.push_back(DropAction{id, reason, disk_entries_.contains(id)});
  results_.erase(at);
}

void SpoolLogic::remember_end(ResultId id, const Result& result, EndReason reason) {
  if (settings_.max_remembered == 0) return;
  const std::uint64_t serial = ++last_ended_serial_;
  ended_.emplace(serial, EndedResult{id, result.tenant, result.handle, reason});
  ended_order_.push_back(serial);
  ended_by_id_[id] = serial;
  ended_by_handle_[result.handle] = serial;
  while (ended_order_.size() > settings_.max_remembered) {
    const auto oldest = ended_.find(ended_order_.front());
    const auto by_id = ended_by_id_.find(oldest->second.id);
    if (by_id != ended_by_id_.end() && by_id->second == oldest->first) ended_by_id_.erase(by_id);
    ended_by_handle_.erase(oldest->second.handle);
    ended_.erase(oldest);
    ended_order_.pop_front();
  }
}

// ---- Readers ----

Grant SpoolLogic::resume(ResultId id, std::size_t tenant, ReaderId reader, Micros now) {
  Grant grant;
  const auto at = results_.find(id);
  if (at == results_.end()) {
    const auto past = ended_by_id_.find(id);
    if (past == ended_by_id_.end()) return grant;
    const EndedResult& known = ended_.at(past->second);
    if (known.tenant == tenant) grant.access = Access::kEnded, grant.end_reason = known.reason;
    return grant;
  }
  Result& result = at->second;
  if (result.tenant != tenant) return grant;
  grant.id = id;
  if (now >= result.give_up_at) {
    grant.access = Access::kEnded, grant.end_reason = EndReason::kGivenUp;
    return grant;
  }
  if (result.reader != reader) {
    if (result.reader != kNoReader) std::erase(results_by_reader_[result.reader], id);
    result.reader = reader;
    results_by_reader_[reader].push_back(id);
  }
  grant.access = result.state >= State::kReady ? Access::kGranted : Access::kIncomplete;
  grant.on_disk = result.on_disk;
  if (grant.access == Access::kGranted) renew_lease(id, result, now);
  return grant;
}

Grant SpoolLogic::check_access(std::string_view handle, std::size_t tenant, ReaderId reader) {
  Grant grant;
  const std::string key(handle);
  const auto found = results_by_handle_.find(key);
  if (found == results_by_handle_.end()) {
    const auto past = ended_by_handle_.find(key);
    if (past == ended_by_handle_.end()) return grant;
    const EndedResult& known = ended_.at(past->second);
    if (known.tenant == tenant) grant.access = Access::kEnded, grant.end_reason = known.reason;
    return grant;
  }
  Result& result = results_.at(found->second);
  if (result.tenant != tenant) return grant;
  grant.id = found->second;
  if (result.reader == kNoReader) {
    result.reader = reader;
    results_by_reader_[reader].push_back(grant.id);
  }
  if (result.reader != reader) {
    grant.access = Access::kOtherReader;
  } else {
    grant.access = result.state >= State::kReady ? Access::kGranted : Access::kIncomplete;
  }
  grant.on_disk = result.on_disk;
  return grant;
}

Grant SpoolLogic::fetch_row(std::string_view handle, std::size_t tenant, ReaderId reader, std::uint64_t row,
                            Bytes window, Micros now) {
  Grant grant = check_access(handle, tenant, reader);
  if (grant.access != Access::kGranted) return grant;
  Result& result = results_.at(grant.id);
  // Row 0 of an empty result is valid, so that the reader gets its (empty) last window.
  if (row >= result.index.row_count() && (row > 0 || result.index.row_count() > 0)) {
    grant.access = Access::kOutOfRange;
    return grant;
  }
  renew_lease(grant.id, result, now);
  grant.first_page = result.index.row_count() == 0 ? 0 : result.index.page_of(row);
  // The window is counted from the row, so that the same row and just the bytes of an earlier window give
  // that window again.
  grant.end_page = result.index.row_window_end(grant.first_page, window);
  grant.first_row = row;
  return grant;
}

Grant SpoolLogic::fetch_page(std::string_view handle, std::size_t tenant, ReaderId reader, std::size_t page,
                             Bytes window, Micros now) {
  Grant grant = check_access(handle, tenant, reader);
  if (grant.access != Access::kGranted) return grant;
  Result& result = results_.at(grant.id);
  if (page >= result.index.page_count()) {
    grant.access = Access::kOutOfRange;
    return grant;
  }
  renew_lease(grant.id, result, now);
  grant.first_page = page;
  grant.end_page = result.index.window_end(page, window);
  grant.first_row = result.index.first_row(page);
  return grant;
}

Grant SpoolLogic::acknowledge(std::string_view handle, std::size_t tenant, ReaderId reader,
                              std::uint64_t rows, Micros now, std::vector<SpoolAction>& out) {
  Grant grant = check_access(handle, tenant, reader);
  if (grant.access != Access::kGranted) return grant;
  const auto at = results_.find(grant.id);
  Result& result = at->second;
  if (rows > result.sent_rows) {
    grant.access = Access::kOutOfRange;  // rows that were never sent cannot be acknowledged
    return grant;
  }
  result.acknowledged = std::max(result.acknowledged, rows);
  renew_lease(grant.id, result, now);
  // Also holds for a result that an earlier process sent to its last row.
  if (result.acknowledged == result.index.row_count()) end_result(at, EndReason::kAcknowledged, out);
  return grant;
}

Grant SpoolLogic::release(std::string_view handle, std::size_t tenant, ReaderId reader,
                          std::vector<SpoolAction>& out) {
  Grant grant = check_access(handle, tenant, reader);
  if (grant.access != Access::kGranted) return grant;
  end_result(results_.find(grant.id), EndReason::kReleased, out);
  return grant;
}

bool SpoolLogic::mark_sent(ResultId id, std::uint64_t end_row) {
  const auto at = results_.find(id);
  if (at == results_.end() || at->second.state < State::kReady) return false;
  Result& result = at->second;
  result.sent_rows = std::max(result.sent_rows, end_row);
  if (result.state != State::kReady || end_row < result.index.row_count()) return false;
  set_state(result, State::kRead);
  return true;
}

void SpoolLogic::reader_disconnected(ReaderId reader) {
  const auto at = results_by_reader_.find(reader);
  if (at == results_by_reader_.end()) return;
  for (const ResultId id : at->second) {
    const auto result = results_.find(id);
    if (result != results_.end() && result->second.reader == reader) result->second.reader = kNoReader;
  }
  results_by_reader_.erase(at);
}

// ---- Memory and disk ----

void SpoolLogic::memory_freed(std::size_t tenant, Bytes bytes, std::vector<SpoolAction>& out) {
  memory_.release(std::min(tenant, memory_.tenant_count() - 1), bytes);
  evict_to_disk(out);
}

Bytes SpoolLogic::charged(ResultId id) const {
  const auto at = results_.find(id);
  return at == results_.end() ? 0 : at->second.charged;
}

bool SpoolLogic::reserve_read_back(std::size_t tenant, Bytes bytes) {
  if (read_back_.try_charge(tenant, bytes)) return true;
  // A tenant without any read under way gets one window in any case; otherwise a window larger than its
  // budget could never be read.
  if (read_back_.used(tenant) > 0) return false;
  read_back_.force_charge(tenant, bytes);
  return true;
}

void SpoolLogic::read_back_freed(std::size_t tenant, Bytes bytes) { read_back_.release(tenant, bytes); }

bool SpoolLogic::schedule_store(ResultId id, Result& result, std::vector<SpoolAction>& out) {
  if (!disk_usable_ || result.storing || result.on_disk) return false;
  const Bytes bytes = result.received + kDiskOverhead;
  if (!disk_.try_charge(result.tenant, bytes)) return false;
  disk_entries_.emplace(id, DiskEntry{result.tenant, bytes});
  result.storing = true;
  storing_bytes_ += result.charged;
  remove_from_lru(result);
  out.push_back(StoreAction{id});
  return true;
}

// Called under memory pressure, between the high and the low watermark: evicts the least recently used result
// of the tenant with the highest use per weight. Results that are being stored count as evicted already.
void SpoolLogic::evict_to_disk(std::vector<SpoolAction>& out) {
  if (!disk_usable_ || !memory_.under_pressure()) return;
  std::vector<bool> disk_full(lru_by_tenant_.size());
  while (memory_.used() > memory_.low_watermark() + storing_bytes_) {
    std::optional<std::size_t> heaviest;
    for (std::size_t tenant = 0; tenant < lru_by_tenant_.size(); ++tenant) {
      if (disk_full[tenant] || lru_by_tenant_[tenant].empty()) continue;
      if (!heaviest || memory_.usage_per_weight(tenant) > memory_.usage_per_weight(*heaviest))
        heaviest = tenant;
    }
    if (!heaviest) return;
    const ResultId id = lru_by_tenant_[*heaviest].front();
    if (!schedule_store(id, results_.at(id), out)) disk_full[*heaviest] = true;
  }
}

void SpoolLogic::store_succeeded(ResultId id, Bytes on_disk) {
  const auto entry = disk_entries_.find(id);
  if (entry == disk_entries_.end()) return;
  disk_.release(entry->second.tenant, entry->second.bytes);
  entry->second.bytes = on_disk;
  disk_.force_charge(entry->second.tenant, on_disk);
  const auto at = results_.find(id);
  // the result has ended; the action to erase it is queued behind the store
  if (at == results_.end()) return;
  Result& result = at->second;
  result.storing = false;
  result.on_disk = true;
  storing_bytes_ -= result.charged;
  result.charged = 0;
}

void SpoolLogic::store_failed(ResultId id) {
  const auto at = results_.find(id);
  if (at == results_.end()) return;  // disk_erased() follows
  Result& result = at->second;
  result.storing = false;
  storing_bytes_ -= result.charged;
  disk_erased(id);
  add_to_lru(id, result);
}

void SpoolLogic::disk_erased(ResultId id) {
  const auto entry = disk_entries_.find(id);
  if (entry == disk_entries_.end()) return;
  disk_.release(entry->second.tenant, entry->second.bytes);
  disk_entries_.erase(entry);
}

void SpoolLogic::disk_failed() { disk_usable_ = false; }

bool SpoolLogic::add_recovered(ResultId id, std::size_t tenant, std::string handle, PageIndex index,
                               std::uint64_t acknowledged, Bytes on_disk, Micros give_up_at, Micros now) {
  if (give_up_at <= now || !add_request(id, tenant, std::move(handle), kNoReader, give_up_at)) return false;
  Result& result = results_.at(id);
  set_state(result, State::kFilling);
  set_state(result, State::kReady);
  result.received = index.byte_count();
  result.index = std::move(index);
  // It is not known how much the earlier process sent: a reader may acknowledge all of it.
  result.sent_rows = result.index.row_count();
  result.acknowledged = acknowledged;
  result.on_disk = true;
  disk_entries_.emplace(id, DiskEntry{result.tenant, on_disk});
  disk_.force_charge(result.tenant, on_disk);
  renew_lease(id, result, now);
  return true;
}

void SpoolLogic::store_all(std::vector<SpoolAction>& out) {
  for (auto& [id, result] : results_) {
    if (result.state >= State::kReady) schedule_store(id, result, out);
  }
}

// ---- Leases ----

void SpoolLogic::set_expiry(ResultId id, Result& result, Micros expires_at) {
  lease_timers_.cancel(result.timer);
  result.expires_at = expires_at;
  result.timer = lease_timers_.schedule(expires_at, id);
}

// Called when a reader has used the result: restarts the lease and moves the result to the end of the LRU
// list.
void SpoolLogic::renew_lease(ResultId id, Result& result, Micros now) {
  set_expiry(id, result, std::min(now + settings_.lease, result.give_up_at));
  remove_from_lru(result);
  add_to_lru(id, result);
}

void SpoolLogic::add_to_lru(ResultId id, Result& result) {
  if (result.on_disk || result.storing || result.charged == 0) return;
  auto& lru = lru_by_tenant_[result.tenant];
  result.lru_position = lru.insert(lru.end(), id);
  result.in_lru = true;
}

void SpoolLogic::remove_from_lru(Result& result) {
  if (std::exchange(result.in_lru, false)) lru_by_tenant_[result.tenant].erase(result.lru_position);
}

void SpoolLogic::expire_leases(Micros now, std::vector<SpoolAction>& out) {
  lease_timers_.advance(now, [&](ResultId id) {
    const auto at = results_.find(id);
    if (at == results_.end()) return;
    end_result(at,
               at->second.expires_at >= at->second.give_up_at ? EndReason::kGivenUp : EndReason::kLeaseEnded,
               out);
  });
}

// ---- Queries ----

std::optional<SpoolLogic::View> SpoolLogic::view(ResultId id) const {
  const auto at = results_.find(id);
  if (at == results_.end()) return std::nullopt;
  const Result& r = at->second;
  return View{r.state,      r.tenant,     &r.handle, &r.index,  r.acknowledged, r.charged,
              r.expires_at, r.give_up_at, r.on_disk, r.storing, r.direct};
}

std::optional<EndReason> SpoolLogic::end_reason_of(ResultId id) const {
  const auto at = ended_by_id_.find(id);
  if (at == ended_by_id_.end()) return std::nullopt;
  return ended_.at(at->second).reason;
}

std::size_t SpoolLogic::unread_count() const {
  return static_cast<std::size_t>(std::count_if(results_.begin(), results_.end(), [](const auto& entry) {
    return entry.second.state >= State::kReady;
  }));
}

std::size_t SpoolLogic::unread_in_memory_count() const {
  return static_cast<std::size_t>(std::count_if(results_.begin(), results_.end(), [](const auto& entry) {
    return entry.second.state >= State::kReady && !entry.second.on_disk;
  }));
}

}  // namespace steprail::spool
