#include "spool/logic/spool_logic.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace steprail::spool {
namespace {
constexpr Micros kTick{1000};
constexpr Bytes kDiskOverhead = 64;  // a record's head and more, a chunk; corrected once it is stored
}  // namespace

SpoolLogic::SpoolLogic(LogicSettings settings, std::vector<double> weights, Micros now)
    : settings_(settings), disk_open_(settings.disk.most > 0), wheel_(kTick, now) {
  std::vector<Order> none;
  if (weights.empty()) weights.push_back(1);
  eviction_.resize(weights.size());
  reconfigure(settings, weights, none);
}

void SpoolLogic::reconfigure(const LogicSettings& settings, const std::vector<double>& weights,
                             std::vector<Order>& out) {
  settings_ = settings;
  Marks memory = settings.memory;
  memory.most -= borrow_most();
  memory_.set(memory, weights);
  disk_.set(settings.disk, weights);
  read_.set({borrow_most(), 1, 0.99, settings.memory.reserved}, weights);
  relieve(out);
}

Bytes SpoolLogic::borrow_most() const {
  if (settings_.disk.most == 0) return 0;
  return static_cast<Bytes>(static_cast<double>(settings_.memory.most) * settings_.read_part);
}

void SpoolLogic::move(Result& result, State to) {
  assert(may_follow(result.state, to));
  result.state = to;
}

// ---- A request ----

bool SpoolLogic::submitted(ResultId id, std::size_t tenant, std::string handle, ReaderId reader,
                           Micros give_up) {
  if (results_.size() >= settings_.results_most || on_disk_.contains(id) || handles_.contains(handle))
    return false;
  const auto [at, fresh] = results_.try_emplace(id);
  if (!fresh) return false;
  Result& result = at->second;
  result.tenant = std::min(tenant, memory_.tenants() - 1);
  result.handle = std::move(handle);
  result.give_up = give_up;
  handles_.emplace(result.handle, id);
  result.reader = reader;
  if (reader != kNoReader) readers_[reader].push_back(id);
  watch(id, result, give_up);
  return true;
}

Placement SpoolLogic::begin(ResultId id, Bytes expected) {
  const auto at = results_.find(id);
  if (at == results_.end()) return Placement::kRefused;
  Result& result = at->second;
  move(result, State::kFilling);
  result.direct = false;
  if (too_long(expected)) return Placement::kRefused;
  if (memory_.take(result.tenant, expected)) {
    result.charged = expected;
    return Placement::kSpool;
  }
  result.direct = expected <= settings_.direct_most;
  return result.direct ? Placement::kDirect : Placement::kRefused;
}

bool SpoolLogic::page(ResultId id, std::uint64_t rows, Bytes bytes) {
  const auto at = results_.find(id);
  if (at == results_.end() || at->second.state != State::kFilling) return false;
  Result& result = at->second;
  const Bytes filled = result.filled + bytes;
  if (filled > settings_.result_most) return false;
  if (result.direct) {
    if (filled > settings_.direct_most) return false;
  } else if (filled > result.charged) {
    if (!memory_.take(result.tenant, filled - result.charged)) return false;
    result.charged = filled;
  }
  result.filled = filled;
  result.index.add(rows, bytes);
  return true;
}

void SpoolLogic::attempt_lost(ResultId id) {
  const auto at = results_.find(id);
  if (at == results_.end() || at->second.state != State::kFilling) return;
  Result& result = at->second;
  move(result, State::kRunning);
  result.charged = result.filled = 0;
  result.index.clear();
}

void SpoolLogic::complete(ResultId id, Micros now, std::vector<Order>& out) {
  const auto at = results_.find(id);
  if (at == results_.end()) return;
  Result& result = at->second;
  move(result, State::kReady);
  if (result.direct) return end(at, End::kDirect, out);
  memory_.give_back(result.tenant, result.charged - result.filled);
  result.charged = result.filled;
  touch(id, result, now);
  if (settings_.disk_above > 0 && result.filled >= settings_.disk_above) store(id, result, out);
  relieve(out);
}

void SpoolLogic::ended(ResultId id, End why, std::vector<Order>& out) {
  const auto at = results_.find(id);
  if (at != results_.end()) end(at, why, out);
}

void SpoolLogic::end(Results::iterator at, End why, std::vector<Order>& out) {
  const ResultId id = at->first;
  Result& result = at->second;
  move(result, State::kEnded);
  wheel_.cancel(result.timer);
  unplace(result);
  if (result.storing) storing_bytes_ -= result.charged;
  handles_.erase(result.handle);
  if (result.reader != kNoReader) {
    const auto reader = readers_.find(result.reader);
    if (reader != readers_.end()) {
      std::erase(reader->second, id);
      if (reader->second.empty()) readers_.erase(reader);
    }
  }
  remember(id, result, why);
  out.push_back(Drop{id, why, on_disk_.contains(id)});
  results_.erase(at);
}

void SpoolLogic::remember(ResultId id, const Result& result, End why) {
  if (settings_.remembered == 0) return;
  const std::uint64_t serial = ++past_serial_;
  past_.emplace(serial, Past{id, result.tenant, result.handle, why});
  past_order_.push_back(serial);
  past_ids_[id] = serial;
  past_handles_[result.handle] = serial;
  while (past_order_.size() > settings_.remembered) {
    const auto oldest = past_.find(past_order_.front());
    const auto by_id = past_ids_.find(oldest->second.id);
    if (by_id != past_ids_.end() && by_id->second == oldest->first) past_ids_.erase(by_id);
    past_handles_.erase(oldest->second.handle);
    past_.erase(oldest);
    past_order_.pop_front();
  }
}

// ---- Readers ----

Grant SpoolLogic::resume(ResultId id, std::size_t tenant, ReaderId reader, Micros now) {
  Grant grant;
  const auto at = results_.find(id);
  if (at == results_.end()) {
    const auto past = past_ids_.find(id);
    if (past == past_ids_.end()) return grant;
    const Past& known = past_.at(past->second);
    if (known.tenant == tenant) grant.access = Access::kEnded, grant.end = known.why;
    return grant;
  }
  Result& result = at->second;
  if (result.tenant != tenant) return grant;
  grant.id = id;
  if (now >= result.give_up) {
    grant.access = Access::kEnded, grant.end = End::kGivenUp;
    return grant;
  }
  if (result.reader != reader) {
    if (result.reader != kNoReader) std::erase(readers_[result.reader], id);
    result.reader = reader;
    readers_[reader].push_back(id);
  }
  grant.access = result.state >= State::kReady ? Access::kGranted : Access::kNotYet;
  grant.on_disk = result.on_disk;
  if (grant.access == Access::kGranted) touch(id, result, now);
  return grant;
}

Grant SpoolLogic::open(std::string_view handle, std::size_t tenant, ReaderId reader) {
  Grant grant;
  const std::string key(handle);
  const auto found = handles_.find(key);
  if (found == handles_.end()) {
    const auto past = past_handles_.find(key);
    if (past == past_handles_.end()) return grant;
    const Past& known = past_.at(past->second);
    if (known.tenant == tenant) grant.access = Access::kEnded, grant.end = known.why;
    return grant;
  }
  Result& result = results_.at(found->second);
  if (result.tenant != tenant) return grant;
  grant.id = found->second;
  if (result.reader == kNoReader) {
    result.reader = reader;
    readers_[reader].push_back(grant.id);
  }
  if (result.reader != reader) {
    grant.access = Access::kOtherReader;
  } else {
    grant.access = result.state >= State::kReady ? Access::kGranted : Access::kNotYet;
  }
  grant.on_disk = result.on_disk;
  return grant;
}

Grant SpoolLogic::fetch_row(std::string_view handle, std::size_t tenant, ReaderId reader, std::uint64_t row,
                            Bytes window, Micros now) {
  Grant grant = open(handle, tenant, reader);
  if (grant.access != Access::kGranted) return grant;
  Result& result = results_.at(grant.id);
  // The end of an empty result is its beginning.
  if (row >= result.index.rows() && (row > 0 || result.index.rows() > 0)) {
    grant.access = Access::kBeyond;
    return grant;
  }
  touch(grant.id, result, now);
  grant.first_page = result.index.rows() == 0 ? 0 : result.index.page_of(row);
  grant.end_page = result.index.end_of_window(grant.first_page, window);
  grant.first_row = row;
  return grant;
}

Grant SpoolLogic::fetch_page(std::string_view handle, std::size_t tenant, ReaderId reader, std::size_t page,
                             Bytes window, Micros now) {
  Grant grant = open(handle, tenant, reader);
  if (grant.access != Access::kGranted) return grant;
  Result& result = results_.at(grant.id);
  if (page >= result.index.pages()) {
    grant.access = Access::kBeyond;
    return grant;
  }
  touch(grant.id, result, now);
  grant.first_page = page;
  grant.end_page = result.index.end_of_window(page, window);
  grant.first_row = result.index.first_row(page);
  return grant;
}

Grant SpoolLogic::acknowledge(std::string_view handle, std::size_t tenant, ReaderId reader,
                              std::uint64_t rows, Micros now, std::vector<Order>& out) {
  Grant grant = open(handle, tenant, reader);
  if (grant.access != Access::kGranted) return grant;
  const auto at = results_.find(grant.id);
  Result& result = at->second;
  if (rows > result.handed) {
    grant.access = Access::kBeyond;  // nobody has rows that were never handed out
    return grant;
  }
  result.acknowledged = std::max(result.acknowledged, rows);
  touch(grant.id, result, now);
  // Also of one that a process before this one has handed out to its last row.
  if (result.acknowledged == result.index.rows()) end(at, End::kAcknowledged, out);
  return grant;
}

Grant SpoolLogic::release(std::string_view handle, std::size_t tenant, ReaderId reader,
                          std::vector<Order>& out) {
  Grant grant = open(handle, tenant, reader);
  if (grant.access != Access::kGranted) return grant;
  end(results_.find(grant.id), End::kReleased, out);
  return grant;
}

bool SpoolLogic::handed_out(ResultId id, std::uint64_t end_row) {
  const auto at = results_.find(id);
  if (at == results_.end() || at->second.state < State::kReady) return false;
  Result& result = at->second;
  result.handed = std::max(result.handed, end_row);
  if (result.state != State::kReady || end_row < result.index.rows()) return false;
  move(result, State::kRead);
  return true;
}

void SpoolLogic::reader_gone(ReaderId reader) {
  const auto at = readers_.find(reader);
  if (at == readers_.end()) return;
  for (const ResultId id : at->second) {
    const auto result = results_.find(id);
    if (result != results_.end() && result->second.reader == reader) result->second.reader = kNoReader;
  }
  readers_.erase(at);
}

// ---- Memory and disk ----

void SpoolLogic::freed(std::size_t tenant, Bytes bytes, std::vector<Order>& out) {
  memory_.give_back(std::min(tenant, memory_.tenants() - 1), bytes);
  relieve(out);
}

Bytes SpoolLogic::charged(ResultId id) const {
  const auto at = results_.find(id);
  return at == results_.end() ? 0 : at->second.charged;
}

bool SpoolLogic::borrow(std::size_t tenant, Bytes bytes) {
  if (read_.take(tenant, bytes)) return true;
  // A tenant that has nothing gets one window in any case, or a long one could never be read.
  if (read_.used(tenant) > 0) return false;
  read_.take_anyway(tenant, bytes);
  return true;
}

void SpoolLogic::returned(std::size_t tenant, Bytes bytes) { read_.give_back(tenant, bytes); }

bool SpoolLogic::store(ResultId id, Result& result, std::vector<Order>& out) {
  if (!disk_open_ || result.storing || result.on_disk) return false;
  const Bytes wanted = result.filled + kDiskOverhead;
  if (!disk_.take(result.tenant, wanted)) return false;
  on_disk_.emplace(id, OnDisk{result.tenant, wanted});
  result.storing = true;
  storing_bytes_ += result.charged;
  unplace(result);
  out.push_back(Store{id});
  return true;
}

// Under pressure, from the high mark down to the low one: the tenant that stands highest over its share gives
// up the result that was left alone for longest. What is on its way to disk counts as gone already.
void SpoolLogic::relieve(std::vector<Order>& out) {
  if (!disk_open_ || !memory_.pressed()) return;
  std::vector<bool> full(eviction_.size());
  while (memory_.used() > memory_.low() + storing_bytes_) {
    std::optional<std::size_t> most;
    for (std::size_t t = 0; t < eviction_.size(); ++t) {
      if (full[t] || eviction_[t].empty()) continue;
      if (!most || memory_.pressure(t) > memory_.pressure(*most)) most = t;
    }
    if (!most) return;
    const ResultId id = eviction_[*most].front();
    if (!store(id, results_.at(id), out)) full[*most] = true;
  }
}

void SpoolLogic::stored(ResultId id, Bytes on_disk) {
  const auto entry = on_disk_.find(id);
  if (entry == on_disk_.end()) return;
  disk_.give_back(entry->second.tenant, entry->second.bytes);
  entry->second.bytes = on_disk;
  disk_.take_anyway(entry->second.tenant, on_disk);
  const auto at = results_.find(id);
  if (at == results_.end()) return;  // it has ended; the order to erase it is under way
  Result& result = at->second;
  result.storing = false;
  result.on_disk = true;
  storing_bytes_ -= result.charged;
  result.charged = 0;
}

void SpoolLogic::not_stored(ResultId id) {
  const auto at = results_.find(id);
  if (at == results_.end()) return;  // erased() follows
  Result& result = at->second;
  result.storing = false;
  storing_bytes_ -= result.charged;
  erased(id);
  place(id, result);
}

void SpoolLogic::erased(ResultId id) {
  const auto entry = on_disk_.find(id);
  if (entry == on_disk_.end()) return;
  disk_.give_back(entry->second.tenant, entry->second.bytes);
  on_disk_.erase(entry);
}

void SpoolLogic::disk_closed() { disk_open_ = false; }

bool SpoolLogic::recovered(ResultId id, std::size_t tenant, std::string handle, PageIndex index,
                           std::uint64_t acknowledged, Bytes on_disk, Micros give_up, Micros now) {
  if (give_up <= now || !submitted(id, tenant, std::move(handle), kNoReader, give_up)) return false;
  Result& result = results_.at(id);
  move(result, State::kFilling);
  move(result, State::kReady);
  result.filled = index.bytes();
  result.index = std::move(index);
  // What the process before has handed out is not known: a reader may acknowledge all of it.
  result.handed = result.index.rows();
  result.acknowledged = acknowledged;
  result.on_disk = true;
  on_disk_.emplace(id, OnDisk{result.tenant, on_disk});
  disk_.take_anyway(result.tenant, on_disk);
  touch(id, result, now);
  return true;
}

void SpoolLogic::store_all(std::vector<Order>& out) {
  for (auto& [id, result] : results_) {
    if (result.state >= State::kReady) store(id, result, out);
  }
}

// ---- Leases ----

void SpoolLogic::watch(ResultId id, Result& result, Micros until) {
  wheel_.cancel(result.timer);
  result.expires = until;
  result.timer = wheel_.schedule(until, id);
}

// A reader was here: the lease begins anew, and the result goes to the end of the order of eviction.
void SpoolLogic::touch(ResultId id, Result& result, Micros now) {
  watch(id, result, std::min(now + settings_.lease, result.give_up));
  unplace(result);
  place(id, result);
}

void SpoolLogic::place(ResultId id, Result& result) {
  if (result.on_disk || result.storing || result.charged == 0) return;
  auto& order = eviction_[result.tenant];
  result.place = order.insert(order.end(), id);
  result.placed = true;
}

void SpoolLogic::unplace(Result& result) {
  if (std::exchange(result.placed, false)) eviction_[result.tenant].erase(result.place);
}

void SpoolLogic::advance(Micros now, std::vector<Order>& out) {
  wheel_.advance(now, [&](ResultId id) {
    const auto at = results_.find(id);
    if (at == results_.end()) return;
    end(at, at->second.expires >= at->second.give_up ? End::kGivenUp : End::kLeaseEnded, out);
  });
}

// ---- What is known ----

std::optional<SpoolLogic::View> SpoolLogic::view(ResultId id) const {
  const auto at = results_.find(id);
  if (at == results_.end()) return std::nullopt;
  const Result& r = at->second;
  return View{r.state,   r.tenant,  &r.handle, &r.index,  r.acknowledged,
              r.charged, r.expires, r.give_up, r.on_disk, r.storing};
}

std::optional<End> SpoolLogic::remembered(ResultId id) const {
  const auto at = past_ids_.find(id);
  if (at == past_ids_.end()) return std::nullopt;
  return past_.at(at->second).why;
}

std::size_t SpoolLogic::unread() const {
  return static_cast<std::size_t>(std::count_if(results_.begin(), results_.end(), [](const auto& entry) {
    return entry.second.state >= State::kReady;
  }));
}

std::size_t SpoolLogic::unread_in_memory() const {
  return static_cast<std::size_t>(std::count_if(results_.begin(), results_.end(), [](const auto& entry) {
    return entry.second.state >= State::kReady && !entry.second.on_disk;
  }));
}

}  // namespace steprail::spool
