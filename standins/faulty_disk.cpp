#include "standins/faulty_disk.h"

#include <pcg_random.hpp>

namespace steprail::standin {

using spool::IoStatus;

FaultyDisk::Fault FaultyDisk::begin_operation(bool is_sync) {
  ++operation_count_;
  if (sync_failed_ && !is_sync) ++writes_after_failed_sync_;
  if (operation_count_ != fail_at_) return Fault::kNone;
  if (fault_ == Fault::kDieBefore) throw ProcessDied{};
  return fault_;
}

class DiskFile : public spool::File {
 public:
  DiskFile(FaultyDisk& disk, std::string name) : disk_(disk), name_(std::move(name)) {}

  IoStatus append(std::span<const std::string_view> pieces) override {
    using Fault = FaultyDisk::Fault;
    std::string all;
    for (const std::string_view piece : pieces) all += piece;
    const Fault fault = disk_.begin_operation();
    if (fault == Fault::kEio) return IoStatus::kFailed;
    const bool partial =
        fault == Fault::kShortWrite || fault == Fault::kNoSpace || fault == Fault::kDieDuring;
    disk_.written_[name_] += partial ? all.substr(0, all.size() / 2) : all;
    if (fault == Fault::kDieDuring || fault == Fault::kDieAfter) throw FaultyDisk::ProcessDied{};
    return fault == Fault::kShortWrite ? IoStatus::kFailed
           : fault == Fault::kNoSpace  ? IoStatus::kNoSpace
                                       : IoStatus::kOk;
  }
  bool read(std::uint64_t offset, std::span<char> buffer) override {
    const auto at = disk_.written_.find(name_);
    if (at == disk_.written_.end() || offset + buffer.size() > at->second.size()) return false;
    at->second.copy(buffer.data(), buffer.size(), offset);
    return true;
  }
  IoStatus sync() override {
    using Fault = FaultyDisk::Fault;
    const Fault fault = disk_.begin_operation(true);
    if (fault == Fault::kEio || fault == Fault::kShortWrite || fault == Fault::kNoSpace) {
      disk_.sync_failed_ = true;
      return IoStatus::kFailed;
    }
    const std::string& now = disk_.written_[name_];
    std::string& synced = disk_.synced_[name_];
    synced = fault == Fault::kDieDuring ? now.substr(0, (synced.size() + now.size()) / 2) : now;
    if (fault == Fault::kDieDuring || fault == Fault::kDieAfter) throw FaultyDisk::ProcessDied{};
    return IoStatus::kOk;
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
    const Fault fault = disk_.begin_operation();
    if (disk_.no_descriptors_ || fault == Fault::kEio || fault == Fault::kNoSpace ||
        fault == Fault::kShortWrite)
      return nullptr;
    if (!disk_.written_.emplace(name, "").second) return nullptr;
    if (fault == Fault::kDieDuring || fault == Fault::kDieAfter) throw FaultyDisk::ProcessDied{};
    return std::make_unique<DiskFile>(disk_, name);
  }
  std::unique_ptr<spool::File> open(const std::string& name, bool& missing) override {
    missing = !disk_.written_.contains(name);
    if (missing || disk_.no_descriptors_) return nullptr;
    return std::make_unique<DiskFile>(disk_, name);
  }
  bool remove(const std::string& name) override {
    using Fault = FaultyDisk::Fault;
    const Fault fault =
        disk_.begin_operation(true);  // removing unused segments is harmless even after a failed sync
    if (fault == Fault::kEio || fault == Fault::kNoSpace || fault == Fault::kShortWrite) return false;
    disk_.written_.erase(name);
    disk_.synced_.erase(name);
    disk_.synced_names_.erase(name);
    if (fault == Fault::kDieDuring || fault == Fault::kDieAfter) throw FaultyDisk::ProcessDied{};
    return true;
  }
  std::vector<std::string> list() override {
    std::vector<std::string> names;
    for (const auto& [name, _] : disk_.written_) names.push_back(name);
    return names;
  }
  IoStatus sync_directory() override {
    using Fault = FaultyDisk::Fault;
    const Fault fault = disk_.begin_operation(true);
    if (fault == Fault::kEio || fault == Fault::kShortWrite || fault == Fault::kNoSpace) {
      disk_.sync_failed_ = true;
      return IoStatus::kFailed;
    }
    for (const auto& [name, _] : disk_.written_) disk_.synced_names_.insert(name);
    if (fault == Fault::kDieDuring || fault == Fault::kDieAfter) throw FaultyDisk::ProcessDied{};
    return IoStatus::kOk;
  }

 private:
  FaultyDisk& disk_;
};

class DiskIndex : public spool::Index {
 public:
  explicit DiskIndex(FaultyDisk& disk) : disk_(disk) {}
  // Transactions are atomic: a partial one has no effect.
  IoStatus commit(const std::vector<spool::Change>& changes) override {
    using Fault = FaultyDisk::Fault;
    const Fault fault = disk_.begin_operation();
    if (fault == Fault::kEio || fault == Fault::kShortWrite) return IoStatus::kFailed;
    if (fault == Fault::kNoSpace) return IoStatus::kNoSpace;
    if (fault == Fault::kDieDuring) throw FaultyDisk::ProcessDied{};
    for (const spool::Change& change : changes) {
      if (change.value.empty()) {
        disk_.index_entries_.erase(change.key);
      } else {
        disk_.index_entries_[change.key] = change.value;
      }
    }
    if (fault == Fault::kDieAfter) throw FaultyDisk::ProcessDied{};
    return IoStatus::kOk;
  }
  bool scan(const std::function<void(std::uint64_t, std::string_view)>& each) override {
    for (const auto& [key, value] : disk_.index_entries_) each(key, value);
    return true;
  }

 private:
  FaultyDisk& disk_;
};

std::unique_ptr<spool::Files> FaultyDisk::files() { return std::make_unique<DiskFiles>(*this); }
std::unique_ptr<spool::Index> FaultyDisk::index() { return std::make_unique<DiskIndex>(*this); }

std::shared_ptr<FaultyDisk> FaultyDisk::after_kill() const {
  auto next = std::make_shared<FaultyDisk>();
  next->written_ = next->synced_ = written_;
  for (const auto& [name, _] : written_) next->synced_names_.insert(name);
  next->index_entries_ = index_entries_;
  return next;
}

std::shared_ptr<FaultyDisk> FaultyDisk::after_power_loss(std::uint64_t seed) const {
  pcg32 random(seed);
  auto next = std::make_shared<FaultyDisk>();
  for (const auto& [name, bytes] : written_) {
    if (!synced_names_.contains(name)) continue;
    const auto at = synced_.find(name);
    std::string surviving = at == synced_.end() ? std::string() : at->second;
    // A part of the data that was not synced may survive, possibly with a torn end.
    if (bytes.size() > surviving.size()) {
      const std::size_t more = random(static_cast<std::uint32_t>(bytes.size() - surviving.size() + 1));
      surviving += bytes.substr(surviving.size(), more);
      if (more > 0 && random(2) == 1) surviving.back() = static_cast<char>(surviving.back() ^ 1);
    }
    next->written_[name] = next->synced_[name] = surviving;
    next->synced_names_.insert(name);
  }
  next->index_entries_ = index_entries_;
  return next;
}

void FaultyDisk::flip_bit(const std::string& file, std::size_t byte, int bit) {
  written_.at(file).at(byte) = static_cast<char>(written_.at(file).at(byte) ^ (1 << bit));
}

}  // namespace steprail::standin
