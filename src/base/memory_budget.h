// A budget of bytes for what clients make the process hold, and the account of each client in it.
//
// Half of the budget is reserved: each account can always hold its guaranteed bytes, whatever the others
// hold. Beyond these an account may grow as long as it holds at most a fixed part of what is free in the
// other half, so that a single greedy client is stopped early. Not thread-safe: all holders run on one
// strand.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

namespace steprail {

class MemoryBudget {
 public:
  // `max_accounts`: the accounts that may have guaranteed bytes at a time.
  MemoryBudget(std::size_t max_bytes, std::size_t max_accounts)
      : max_bytes_(max_bytes),
        max_shared_bytes_(max_bytes / 2),
        guaranteed_bytes_(max_shared_bytes_ / std::max<std::size_t>(1, max_accounts)) {}
  std::size_t max_bytes() const { return max_bytes_; }
  // What each of the accounts can always hold.
  std::size_t guaranteed_bytes() const { return guaranteed_bytes_; }
  std::size_t used() const { return used_; }
  std::size_t peak() const { return peak_; }

 private:
  friend class MemoryAccount;
  std::size_t max_bytes_, max_shared_bytes_, guaranteed_bytes_;
  std::size_t used_{0}, shared_used_{0}, peak_{0};
};

// Bytes that one object holds; they are returned to the budget when it is destroyed.
class MemoryCharge;

// What one client holds of a budget. Shared with its charges, so it may go before them.
class MemoryAccount : public std::enable_shared_from_this<MemoryAccount> {
 public:
  explicit MemoryAccount(std::shared_ptr<MemoryBudget> budget, std::size_t guaranteed_bytes = 0)
      : budget_(std::move(budget)), guaranteed_bytes_(guaranteed_bytes) {}

  std::size_t used() const { return used_; }
  // True if so many bytes more can be charged.
  bool fits(std::size_t bytes) const {
    if (bytes > budget_->max_bytes_ - budget_->used_) return false;
    const std::size_t shared = shared_part(used_ + bytes);
    if (shared == 0) return true;
    const std::size_t free = budget_->max_shared_bytes_ - budget_->shared_used_;
    return shared - shared_part(used_) <= free && shared <= free / kFreeShareDivisor;
  }
  // Nothing if the bytes do not fit.
  std::optional<MemoryCharge> try_charge(std::size_t bytes);

 private:
  friend class MemoryCharge;
  static constexpr std::size_t kFreeShareDivisor = 2;

  std::size_t shared_part(std::size_t bytes) const {
    return bytes > guaranteed_bytes_ ? bytes - guaranteed_bytes_ : 0;
  }
  void add(std::size_t bytes) {
    budget_->used_ += bytes;
    budget_->shared_used_ += shared_part(used_ + bytes) - shared_part(used_);
    budget_->peak_ = std::max(budget_->peak_, budget_->used_);
    used_ += bytes;
  }
  void release(std::size_t bytes) {
    budget_->used_ -= bytes;
    budget_->shared_used_ -= shared_part(used_) - shared_part(used_ - bytes);
    used_ -= bytes;
  }

  std::shared_ptr<MemoryBudget> budget_;
  std::size_t guaranteed_bytes_;
  std::size_t used_{0};
};

class MemoryCharge {
 public:
  MemoryCharge() = default;
  MemoryCharge(MemoryCharge&& other) noexcept
      : account_(std::move(other.account_)), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryCharge& operator=(MemoryCharge&& other) noexcept {
    std::swap(account_, other.account_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }
  ~MemoryCharge() {
    if (account_) account_->release(bytes_);
  }
  std::size_t bytes() const { return bytes_; }

 private:
  friend class MemoryAccount;
  MemoryCharge(std::shared_ptr<MemoryAccount> account, std::size_t bytes)
      : account_(std::move(account)), bytes_(bytes) {
    account_->add(bytes);
  }

  std::shared_ptr<MemoryAccount> account_;
  std::size_t bytes_{0};
};

inline std::optional<MemoryCharge> MemoryAccount::try_charge(std::size_t bytes) {
  if (!fits(bytes)) return std::nullopt;
  return MemoryCharge(shared_from_this(), bytes);
}

}  // namespace steprail
