#include "standins/faulty_disk.h"

#include <pcg_random.hpp>

namespace steprail::standin {

using spool::Io;

FaultyDisk::Fault FaultyDisk::operate(bool is_sync) {
  ++count_;
  if (sync_failed_ && !is_sync) ++writes_after_;
  if (count_ != at_) return Fault::kNone;
  if (fault_ == Fault::kDieBefore) throw Died{};
  return fault_;
}

class DiskFile : public spool::File {
 public:
  DiskFile(FaultyDisk& disk, std::string name) : disk_(disk), name_(std::move(name)) {}

  Io append(std::span<const std::string_view> pieces) override {
    using Fault = FaultyDisk::Fault;
    std::string all;
    for (const std::string_view piece : pieces) all += piece;
    const Fault fault = disk_.operate();
    if (fault == Fault::kEio) return Io::kFailed;
    const bool part = fault == Fault::kShortWrite || fault == Fault::kNoSpace || fault == Fault::kDieWithin;
    disk_.now_[name_] += part ? all.substr(0, all.size() / 2) : all;
    if (fault == Fault::kDieWithin || fault == Fault::kDieAfter) throw FaultyDisk::Died{};
    return fault == Fault::kShortWrite ? Io::kFailed : fault == Fault::kNoSpace ? Io::kNoSpace : Io::kGood;
  }
  bool read(std::uint64_t from, std::span<char> into) override {
    const auto at = disk_.now_.find(name_);
    if (at == disk_.now_.end() || from + into.size() > at->second.size()) return false;
    at->second.copy(into.data(), into.size(), from);
    return true;
  }
  Io sync() override {
    using Fault = FaultyDisk::Fault;
    const Fault fault = disk_.operate(true);
    if (fault == Fault::kEio || fault == Fault::kShortWrite || fault == Fault::kNoSpace) {
      disk_.sync_failed_ = true;
      return Io::kFailed;
    }
    const std::string& now = disk_.now_[name_];
    std::string& synced = disk_.synced_[name_];
    synced = fault == Fault::kDieWithin ? now.substr(0, (synced.size() + now.size()) / 2) : now;
    if (fault == Fault::kDieWithin || fault == Fault::kDieAfter) throw FaultyDisk::Died{};
    return Io::kGood;
  }

 private:
  FaultyDisk& disk_;
  std::string name_;
};

class DiskFiles : public spool::Files {
 public:
  explicit DiskFiles(FaultyDisk& disk) : disk_(disk) {}
  std::unique_ptr<spool::File> create(const std::string& name) override {
    using Fault = FaultyDisk::Fault;
    const Fault fault = disk_.operate();
    if (disk_.no_descriptors_ || fault == Fault::kEio || fault == Fault::kNoSpace ||
        fault == Fault::kShortWrite)
      return nullptr;
    if (!disk_.now_.emplace(name, "").second) return nullptr;
    if (fault == Fault::kDieWithin || fault == Fault::kDieAfter) throw FaultyDisk::Died{};
    return std::make_unique<DiskFile>(disk_, name);
  }
  std::unique_ptr<spool::File> open(const std::string& name, bool& missing) override {
    missing = !disk_.now_.contains(name);
    if (missing || disk_.no_descriptors_) return nullptr;
    return std::make_unique<DiskFile>(disk_, name);
  }
  bool remove(const std::string& name) override {
    using Fault = FaultyDisk::Fault;
    const Fault fault = disk_.operate(true);  // freeing what is dead does no harm, whatever has failed
    if (fault == Fault::kEio || fault == Fault::kNoSpace || fault == Fault::kShortWrite) return false;
    disk_.now_.erase(name);
    disk_.synced_.erase(name);
    disk_.names_synced_.erase(name);
    if (fault == Fault::kDieWithin || fault == Fault::kDieAfter) throw FaultyDisk::Died{};
    return true;
  }
  std::vector<std::string> list() override {
    std::vector<std::string> names;
    for (const auto& [name, _] : disk_.now_) names.push_back(name);
    return names;
  }
  Io sync_names() override {
    using Fault = FaultyDisk::Fault;
    const Fault fault = disk_.operate(true);
    if (fault == Fault::kEio || fault == Fault::kShortWrite || fault == Fault::kNoSpace) {
      disk_.sync_failed_ = true;
      return Io::kFailed;
    }
    for (const auto& [name, _] : disk_.now_) disk_.names_synced_.insert(name);
    if (fault == Fault::kDieWithin || fault == Fault::kDieAfter) throw FaultyDisk::Died{};
    return Io::kGood;
  }

 private:
  FaultyDisk& disk_;
};

class DiskIndex : public spool::Index {
 public:
  explicit DiskIndex(FaultyDisk& disk) : disk_(disk) {}
  // A transaction holds whole or not at all: half of one is none.
  Io commit(const std::vector<spool::Change>& changes) override {
    using Fault = FaultyDisk::Fault;
    const Fault fault = disk_.operate();
    if (fault == Fault::kEio || fault == Fault::kShortWrite) return Io::kFailed;
    if (fault == Fault::kNoSpace) return Io::kNoSpace;
    if (fault == Fault::kDieWithin) throw FaultyDisk::Died{};
    for (const spool::Change& change : changes) {
      if (change.value.empty()) {
        disk_.entries_.erase(change.key);
      } else {
        disk_.entries_[change.key] = change.value;
      }
    }
    if (fault == Fault::kDieAfter) throw FaultyDisk::Died{};
    return Io::kGood;
  }
  bool scan(const std::function<void(std::uint64_t, std::string_view)>& each) override {
    for (const auto& [key, value] : disk_.entries_) each(key, value);
    return true;
  }

 private:
  FaultyDisk& disk_;
};

std::unique_ptr<spool::Files> FaultyDisk::files() { return std::make_unique<DiskFiles>(*this); }
std::unique_ptr<spool::Index> FaultyDisk::index() { return std::make_unique<DiskIndex>(*this); }

std::shared_ptr<FaultyDisk> FaultyDisk::after_kill() const {
  auto next = std::make_shared<FaultyDisk>();
  next->now_ = next->synced_ = now_;
  for (const auto& [name, _] : now_) next->names_synced_.insert(name);
  next->entries_ = entries_;
  return next;
}

std::shared_ptr<FaultyDisk> FaultyDisk::after_power_loss(std::uint64_t seed) const {
  pcg32 random(seed);
  auto next = std::make_shared<FaultyDisk>();
  for (const auto& [name, bytes] : now_) {
    if (!names_synced_.contains(name)) continue;
    const auto at = synced_.find(name);
    std::string left = at == synced_.end() ? std::string() : at->second;
    // Of what was not synced a part may be there all the same, the last of it torn.
    if (bytes.size() > left.size()) {
      const std::size_t more = random(static_cast<std::uint32_t>(bytes.size() - left.size() + 1));
      left += bytes.substr(left.size(), more);
      if (more > 0 && random(2) == 1) left.back() = static_cast<char>(left.back() ^ 1);
    }
    next->now_[name] = next->synced_[name] = left;
    next->names_synced_.insert(name);
  }
  next->entries_ = entries_;
  return next;
}

void FaultyDisk::flip_bit(const std::string& file, std::size_t byte, int bit) {
  now_.at(file).at(byte) = static_cast<char>(now_.at(file).at(byte) ^ (1 << bit));
}

}  // namespace steprail::standin
