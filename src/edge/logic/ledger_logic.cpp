#include "edge/logic/ledger_logic.h"

#include <algorithm>
#include <cassert>

namespace steprail::edge {
namespace {
constexpr Micros kTick{100'000};
constexpr Outcome kUnknownOutcome{Outcome::Status::kUnknown, false, Micros{0}, 0, 0, 0};
}  // namespace

LedgerLogic::LedgerLogic(LedgerSettings settings, std::vector<std::uint64_t> incarnations, Micros now,
                         std::int64_t now_unix_us)
    : settings_(settings),
      incarnations_(std::move(incarnations)),
      now_unix_us_(now_unix_us),
      wheel_(kTick, now) {
  assert(!incarnations_.empty());
}

void LedgerLogic::set_state(Entry& entry, EntryState to) {
  assert(may_follow(entry.state, to));
  entry.state = to;
}

LedgerRecord LedgerLogic::make_record(const RequestKey& key, const Entry& entry) const {
  return {key, entry.state, entry.digest, entry.expires_unix_us, entry.outcome, false, false};
}

void LedgerLogic::recover(const LedgerRecord& record, std::vector<LedgerRecord>& out) {
  if (record.watermark) {
    auto& watermark = watermarks_[{record.key.tenant, record.key.device}];
    watermark = std::max(watermark, record.key.number);
    return;
  }
  Entry entry;
  entry.at_most_once = true;
  entry.digest = record.digest;
  entry.expires_unix_us = record.expires_unix_us;
  entry.outcome = record.outcome;
  entry.state = record.state;
  if (record.state == EntryState::kAnswered)
    entry.state = EntryState::kTold;  // read from disk, so it is durable
  if (record.state == EntryState::kTaken || record.state == EntryState::kDispatched) {
    entry.state = EntryState::kUnknown;
    entry.outcome = kUnknownOutcome;
  }
  const auto [at, inserted] = entries_.insert_or_assign(record.key, entry);
  if (entry.state != record.state) out.push_back(this->make_record(record.key, at->second));
  const std::uint64_t timer = ++last_timer_id_;
  key_by_timer_[timer] = record.key;
  const Micros remaining{
      std::clamp<std::int64_t>(entry.expires_unix_us - now_unix_us_, 0, settings_.retention.count())};
  wheel_.schedule(wheel_.now() + remaining, timer);
}

LedgerLogic::Lookup LedgerLogic::lookup(const RequestKey& key, std::uint64_t digest, bool at_most_once,
                                        std::uint64_t first_incarnation, Outcome& outcome) {
  const auto at = entries_.find(key);
  if (at != entries_.end()) {
    const Entry& entry = at->second;
    if (entry.digest != digest) return Lookup::kOtherStatement;
    if (entry.state != EntryState::kTold && entry.state != EntryState::kUnknown) return Lookup::kInProgress;
    outcome = entry.outcome;
    return Lookup::kOutcome;
  }
  const auto watermark = watermarks_.find({key.tenant, key.device});
  if (watermark != watermarks_.end() && key.number <= watermark->second) return Lookup::kTooOld;
  // An earlier process whose records are not complete here may have run it: the outcome of a load is unknown.
  const bool history_complete = settings_.durable ? std::find(incarnations_.begin(), incarnations_.end(),
                                                              first_incarnation) != incarnations_.end()
                                                  : first_incarnation == incarnations_.back();
  if (at_most_once && !history_complete) {
    outcome = kUnknownOutcome;
    return Lookup::kOutcome;
  }
  return entries_.size() >= settings_.max_entries ? Lookup::kFull : Lookup::kRun;
}

bool LedgerLogic::add_entry(const RequestKey& key, std::uint64_t digest, bool at_most_once,
                            std::uint64_t request, std::vector<LedgerRecord>& out) {
  Entry entry;
  entry.digest = digest;
  entry.at_most_once = at_most_once;
  entry.request = request;
  entry.expires_unix_us = now_unix_us_ + settings_.retention.count();
  const bool durable = at_most_once && settings_.durable;
  entry.state = durable ? EntryState::kTaken : EntryState::kDispatched;
  entries_[key] = entry;
  const std::uint64_t timer = ++last_timer_id_;
  key_by_timer_[timer] = key;
  wheel_.schedule(wheel_.now() + (at_most_once ? settings_.retention : settings_.repeatable_retention),
                  timer);
  if (durable) {
    // The record already says 'may have run', as the dispatch follows as soon as it is durable.
    entry.state = EntryState::kDispatched;
    out.push_back(make_record(key, entry));
  }
  return durable;
}

bool LedgerLogic::mark_dispatched(const RequestKey& key) {
  const auto at = entries_.find(key);
  if (at == entries_.end() || at->second.state != EntryState::kTaken) return false;
  set_state(at->second, EntryState::kDispatched);
  return true;
}

void LedgerLogic::refuse_unrecorded(const RequestKey& key, const Outcome& outcome) {
  const auto at = entries_.find(key);
  if (at == entries_.end() || at->second.state != EntryState::kTaken) return;
  set_state(at->second, EntryState::kAnswered);
  set_state(at->second, EntryState::kTold);
  at->second.outcome = outcome;
}

bool LedgerLogic::set_outcome(const RequestKey& key, const Outcome& outcome, std::vector<LedgerRecord>& out) {
  const auto at = entries_.find(key);
  if (at == entries_.end()) return false;
  Entry& entry = at->second;
  if (entry.state != EntryState::kTaken && entry.state != EntryState::kDispatched) return false;
  const bool durable = entry.at_most_once && settings_.durable;
  set_state(entry, EntryState::kAnswered);
  entry.outcome = outcome;
  if (durable) out.push_back(make_record(key, entry));
  return durable;
}

const Outcome* LedgerLogic::finalize_outcome(const RequestKey& key, bool durable) {
  const auto at = entries_.find(key);
  if (at == entries_.end()) return nullptr;
  Entry& entry = at->second;
  if (entry.state == EntryState::kAnswered) {
    // The disk still says 'dispatched', which the next process would recover as unknown: report the same.
    if (!durable) entry.outcome = kUnknownOutcome;
    set_state(entry, durable ? EntryState::kTold : EntryState::kUnknown);
  }
  return &entry.outcome;
}

void LedgerLogic::advance(Micros now, std::int64_t now_unix_us, std::vector<LedgerRecord>& out) {
  now_unix_us_ = std::max(now_unix_us_, now_unix_us);
  wheel_.advance(now, [&](std::uint64_t timer) {
    const auto timer_entry = key_by_timer_.find(timer);
    if (timer_entry == key_by_timer_.end()) return;
    const RequestKey key = timer_entry->second;
    key_by_timer_.erase(timer_entry);
    const auto at = entries_.find(key);
    if (at == entries_.end()) return;
    if (at->second.state != EntryState::kTold && at->second.state != EntryState::kUnknown) {
      // Still in progress: the entry must not expire before the request has ended.
      const std::uint64_t next_timer = ++last_timer_id_;
      key_by_timer_[next_timer] = key;
      wheel_.schedule(now + settings_.retention, next_timer);
      return;
    }
    const bool at_most_once = at->second.at_most_once, durable = at_most_once && settings_.durable;
    entries_.erase(at);
    if (!at_most_once) return;  // running it again is harmless
    // With the entry gone, only the watermark tells that the key was used.
    auto& watermark = watermarks_[{key.tenant, key.device}];
    if (key.number > watermark) {
      watermark = key.number;
      if (durable) out.push_back({key, {}, 0, 0, {}, true, false});
    }
    if (durable) out.push_back({key, {}, 0, 0, {}, false, true});
  });
}

std::optional<EntryState> LedgerLogic::state_of(const RequestKey& key) const {
  const auto at = entries_.find(key);
  if (at == entries_.end()) return std::nullopt;
  return at->second.state;
}

std::uint64_t LedgerLogic::request_of(const RequestKey& key) const {
  const auto at = entries_.find(key);
  return at == entries_.end() ? 0 : at->second.request;
}

}  // namespace steprail::edge
