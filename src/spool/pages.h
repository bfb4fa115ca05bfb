// The pages of one result in memory, shared by all who still need them: the spool, the disk's thread and the
// queues to readers. What was charged for them is given back when the last one lets go.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace steprail::spool {

class Pages {
 public:
  using Freed = std::function<void(std::size_t tenant, std::uint64_t bytes)>;
  // `freed` may be emptied by its owner, where nobody is left to be told.
  Pages(std::shared_ptr<Freed> freed, std::size_t tenant) : freed_(std::move(freed)), tenant_(tenant) {}
  ~Pages() {
    if (charge_ > 0 && *freed_) (*freed_)(tenant_, charge_);
  }
  Pages(const Pages&) = delete;
  Pages& operator=(const Pages&) = delete;

  void charge(std::uint64_t bytes) { charge_ = bytes; }
  std::uint64_t charged() const { return charge_; }
  std::vector<std::string> bytes;

  // One page, which keeps all of them.
  static std::shared_ptr<const std::string> one(const std::shared_ptr<const Pages>& pages, std::size_t page) {
    return {pages, &pages->bytes[page]};
  }

 private:
  std::shared_ptr<Freed> freed_;
  std::size_t tenant_;
  std::uint64_t charge_{0};
};

}  // namespace steprail::spool
