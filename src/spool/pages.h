// The pages of one result in memory, shared by everything that still needs them: the spool, the disk thread
// and the send queues to readers. The bytes charged for them are released when the last holder is gone.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/memory_budget.h"

namespace steprail::spool {

class Pages {
 public:
  using FreedCallback = std::function<void(std::size_t tenant, std::uint64_t bytes)>;
  // The owner may empty `freed` when it no longer wants to be called.
  Pages(std::shared_ptr<FreedCallback> freed, std::size_t tenant)
      : on_freed_(std::move(freed)), tenant_(tenant) {}
  ~Pages() {
    if (charge_ > 0 && *on_freed_) (*on_freed_)(tenant_, charge_);
  }
  Pages(const Pages&) = delete;
  Pages& operator=(const Pages&) = delete;

  void set_charge(std::uint64_t bytes) { charge_ = bytes; }
  std::uint64_t charged() const { return charge_; }
  // Bytes of a budget other than the spool's, returned together with the pages.
  void hold(MemoryCharge reserve) { reserve_ = std::move(reserve); }
  std::vector<std::string> contents;

  // A pointer to one page that keeps the whole result alive.
  static std::shared_ptr<const std::string> page(const std::shared_ptr<const Pages>& pages,
                                                 std::size_t page) {
    return {pages, &pages->contents[page]};
  }

 private:
  std::shared_ptr<FreedCallback> on_freed_;
  std::size_t tenant_;
  std::uint64_t charge_{0};
  MemoryCharge reserve_;
};

}  // namespace steprail::spool
