// A budget in bytes, divided among tenants.
//
// A part of the budget is reserved, by the tenants' weights; the rest goes to who comes first. Each tenant
// can always have what is reserved for it, whatever the others hold: a request is let in only if, with it,
// all that is used and all that is reserved but unused still fit. From the high mark down to the low one a
// tenant gets nothing beyond its reserve.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace steprail::spool {

using Bytes = std::uint64_t;

struct Marks {
  Bytes most{};
  double high{0.9}, low{0.7};  // of the whole
  double reserved{0.5};        // of the whole, divided by weight
  bool operator==(const Marks&) const = default;
};

class Budget {
 public:
  void set(const Marks& marks, const std::vector<double>& weights) {
    marks_ = marks;
    double sum = 0;
    for (const double weight : weights) sum += weight;
    tenants_.resize(std::max(tenants_.size(), weights.size()));
    for (std::size_t t = 0; t < tenants_.size(); ++t) {
      const double part = t < weights.size() && sum > 0 ? weights[t] / sum : 0;
      tenants_[t].weight = part;
      tenants_[t].reserve = static_cast<Bytes>(static_cast<double>(marks.most) * marks.reserved * part);
    }
    look();
  }

  bool fits(std::size_t tenant, Bytes bytes) const {
    const Tenant& own = tenants_[tenant];
    const Bytes wanted = own.used + bytes;
    if (pressed_ && wanted > own.reserve) return false;
    // What the others may still claim stays theirs. A budget that was lowered below its use lets in nothing.
    Bytes total = used_ + bytes;
    if (total > marks_.most) return false;
    for (std::size_t t = 0; t < tenants_.size(); ++t) {
      const Bytes used = t == tenant ? wanted : tenants_[t].used;
      if (used < tenants_[t].reserve) total += tenants_[t].reserve - used;
    }
    return total <= marks_.most;
  }

  bool take(std::size_t tenant, Bytes bytes) {
    if (!fits(tenant, bytes)) return false;
    tenants_[tenant].used += bytes;
    used_ += bytes;
    peak_ = std::max(peak_, used_);
    look();
    return true;
  }

  void give_back(std::size_t tenant, Bytes bytes) {
    bytes = std::min(bytes, tenants_[tenant].used);
    tenants_[tenant].used -= bytes;
    used_ -= bytes;
    look();
  }

  // What is here already and cannot be turned away, as after a restart.
  void take_anyway(std::size_t tenant, Bytes bytes) {
    tenants_[tenant].used += bytes;
    used_ += bytes;
    peak_ = std::max(peak_, used_);
    look();
  }

  // How much of what it may count on a tenant uses; who stands highest gives up something first.
  double pressure(std::size_t tenant) const {
    const Tenant& own = tenants_[tenant];
    return own.weight > 0 ? static_cast<double>(own.used) / own.weight : static_cast<double>(own.used) * 1e9;
  }

  bool pressed() const { return pressed_; }
  Bytes used() const { return used_; }
  Bytes used(std::size_t tenant) const { return tenants_[tenant].used; }
  Bytes reserve(std::size_t tenant) const { return tenants_[tenant].reserve; }
  Bytes most() const { return marks_.most; }
  Bytes peak() const { return peak_; }
  Bytes high() const { return part(marks_.high); }
  Bytes low() const { return part(marks_.low); }
  std::size_t tenants() const { return tenants_.size(); }

 private:
  struct Tenant {
    double weight{};
    Bytes reserve{}, used{};
  };
  Bytes part(double share) const { return static_cast<Bytes>(static_cast<double>(marks_.most) * share); }
  void look() {
    if (used_ > high()) pressed_ = true;
    if (used_ <= low()) pressed_ = false;
  }

  Marks marks_;
  std::vector<Tenant> tenants_;
  Bytes used_{0}, peak_{0};
  bool pressed_{false};
};

}  // namespace steprail::spool
