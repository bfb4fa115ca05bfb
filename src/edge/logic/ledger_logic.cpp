#include "edge/logic/ledger_logic.h"

#include <algorithm>
#include <cassert>

namespace steprail::edge {
namespace {
constexpr Micros kTick{100'000};
constexpr Outcome kNobodyKnows{Outcome::How::kUnknown, false, Micros{0}, 0, 0, 0};
}  // namespace

LedgerLogic::LedgerLogic(LedgerSettings settings, std::vector<std::uint64_t> incarnations, Micros now,
                         std::int64_t now_unix_us)
    : settings_(settings), incarnations_(std::move(incarnations)), unix_us_(now_unix_us), wheel_(kTick, now) {
  assert(!incarnations_.empty());
}

void LedgerLogic::move(Entry& entry, Fate to) {
  assert(may_follow(entry.fate, to));
  entry.fate = to;
}

Record LedgerLogic::record(const Key& key, const Entry& entry) const {
  return {key, entry.fate, entry.digest, entry.expires_unix_us, entry.outcome, false, false};
}

void LedgerLogic::recover(const Record& record, std::vector<Record>& out) {
  if (record.mark) {
    auto& mark = marks_[{record.key.tenant, record.key.device}];
    mark = std::max(mark, record.key.number);
    return;
  }
  Entry entry;
  entry.once = true;
  entry.digest = record.digest;
  entry.expires_unix_us = record.expires_unix_us;
  entry.outcome = record.outcome;
  entry.fate = record.fate;
  if (record.fate == Fate::kAnswered) entry.fate = Fate::kTold;  // it was on the disk, so it is durable
  if (record.fate == Fate::kTaken || record.fate == Fate::kDispatched) {
    entry.fate = Fate::kUnknown;
    entry.outcome = kNobodyKnows;
  }
  const auto [at, fresh] = entries_.insert_or_assign(record.key, entry);
  if (entry.fate != record.fate) out.push_back(this->record(record.key, at->second));
  const std::uint64_t timer = ++last_timer_;
  timers_[timer] = record.key;
  const Micros left{std::clamp<std::int64_t>(entry.expires_unix_us - unix_us_, 0, settings_.keep.count())};
  wheel_.schedule(wheel_.now() + left, timer);
}

LedgerLogic::Answer LedgerLogic::look(const Key& key, std::uint64_t digest, bool once, std::uint64_t first,
                                      Outcome& outcome) {
  const auto at = entries_.find(key);
  if (at != entries_.end()) {
    const Entry& entry = at->second;
    if (entry.digest != digest) return Answer::kOther;
    if (entry.fate != Fate::kTold && entry.fate != Fate::kUnknown) return Answer::kSame;
    outcome = entry.outcome;
    return Answer::kOutcome;
  }
  const auto mark = marks_.find({key.tenant, key.device});
  if (mark != marks_.end() && key.number <= mark->second) return Answer::kTooOld;
  // A process whose records are not all here may have run it: of a load, nobody can say.
  const bool ours = settings_.durable
                        ? std::find(incarnations_.begin(), incarnations_.end(), first) != incarnations_.end()
                        : first == incarnations_.back();
  if (once && !ours) {
    outcome = kNobodyKnows;
    return Answer::kOutcome;
  }
  return entries_.size() >= settings_.entries_most ? Answer::kFull : Answer::kRun;
}

bool LedgerLogic::take(const Key& key, std::uint64_t digest, bool once, std::uint64_t request,
                       std::vector<Record>& out) {
  Entry entry;
  entry.digest = digest;
  entry.once = once;
  entry.request = request;
  entry.expires_unix_us = unix_us_ + settings_.keep.count();
  const bool durable = once && settings_.durable;
  entry.fate = durable ? Fate::kTaken : Fate::kDispatched;
  entries_[key] = entry;
  const std::uint64_t timer = ++last_timer_;
  timers_[timer] = key;
  wheel_.schedule(wheel_.now() + (once ? settings_.keep : settings_.keep_repeatable), timer);
  if (durable) {
    // What the disk says is 'may have run': it is dispatched as soon as that is there.
    entry.fate = Fate::kDispatched;
    out.push_back(record(key, entry));
  }
  return durable;
}

bool LedgerLogic::dispatched(const Key& key) {
  const auto at = entries_.find(key);
  if (at == entries_.end() || at->second.fate != Fate::kTaken) return false;
  move(at->second, Fate::kDispatched);
  return true;
}

void LedgerLogic::not_recorded(const Key& key, const Outcome& outcome) {
  const auto at = entries_.find(key);
  if (at == entries_.end() || at->second.fate != Fate::kTaken) return;
  move(at->second, Fate::kAnswered);
  move(at->second, Fate::kTold);
  at->second.outcome = outcome;
}

bool LedgerLogic::answered(const Key& key, const Outcome& outcome, std::vector<Record>& out) {
  const auto at = entries_.find(key);
  if (at == entries_.end()) return false;
  Entry& entry = at->second;
  if (entry.fate != Fate::kTaken && entry.fate != Fate::kDispatched) return false;
  const bool durable = entry.once && settings_.durable;
  move(entry, Fate::kAnswered);
  entry.outcome = outcome;
  if (durable) out.push_back(record(key, entry));
  return durable;
}

const Outcome* LedgerLogic::told(const Key& key, bool durable) {
  const auto at = entries_.find(key);
  if (at == entries_.end()) return nullptr;
  Entry& entry = at->second;
  if (entry.fate == Fate::kAnswered) {
    // The disk still says 'dispatched', and a next process would call it unknown: so does this one.
    if (!durable) entry.outcome = kNobodyKnows;
    move(entry, durable ? Fate::kTold : Fate::kUnknown);
  }
  return &entry.outcome;
}

void LedgerLogic::advance(Micros now, std::int64_t now_unix_us, std::vector<Record>& out) {
  unix_us_ = std::max(unix_us_, now_unix_us);
  wheel_.advance(now, [&](std::uint64_t timer) {
    const auto timed = timers_.find(timer);
    if (timed == timers_.end()) return;
    const Key key = timed->second;
    timers_.erase(timed);
    const auto at = entries_.find(key);
    if (at == entries_.end()) return;
    if (at->second.fate != Fate::kTold && at->second.fate != Fate::kUnknown) {
      // Under way for so long: it has not ended, and must not be forgotten before it has.
      const std::uint64_t next = ++last_timer_;
      timers_[next] = key;
      wheel_.schedule(now + settings_.keep, next);
      return;
    }
    const bool once = at->second.once, durable = once && settings_.durable;
    entries_.erase(at);
    if (!once) return;  // run again, it does no harm
    // From now on the number itself is too old: with the entry gone, nothing else says that it was ever here.
    auto& mark = marks_[{key.tenant, key.device}];
    if (key.number > mark) {
      mark = key.number;
      if (durable) out.push_back({key, {}, 0, 0, {}, true, false});
    }
    if (durable) out.push_back({key, {}, 0, 0, {}, false, true});
  });
}

std::optional<Fate> LedgerLogic::fate(const Key& key) const {
  const auto at = entries_.find(key);
  if (at == entries_.end()) return std::nullopt;
  return at->second.fate;
}

std::uint64_t LedgerLogic::request(const Key& key) const {
  const auto at = entries_.find(key);
  return at == entries_.end() ? 0 : at->second.request;
}

}  // namespace steprail::edge
