// A budget in bytes that is divided among tenants.
//
// A fraction of the budget is reserved for the tenants by weight; the rest is first come, first served. Each
// tenant can always use its own reserve, whatever the other tenants hold: a charge is accepted only if
// everything in use, the charge itself and all unused reserves together still fit. Once use exceeds the high
// watermark, a tenant gets nothing beyond its reserve until use has fallen to the low watermark.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace steprail::spool {

using Bytes = std::uint64_t;

struct BudgetSettings {
  Bytes max_bytes{};
  double high_watermark{0.9}, low_watermark{0.7};  // fractions of max_bytes
  double reserved_fraction{0.5};                   // fraction of max_bytes, divided by weight
  bool operator==(const BudgetSettings&) const = default;
};

class Budget {
 public:
  void configure(const BudgetSettings& settings, const std::vector<double>& weights) {
    settings_ = settings;
    double sum = 0;
    for (const double weight : weights) sum += weight;
    tenants_.resize(std::max(tenants_.size(), weights.size()));
    for (std::size_t tenant = 0; tenant < tenants_.size(); ++tenant) {
      const double normalized = tenant < weights.size() && sum > 0 ? weights[tenant] / sum : 0;
      tenants_[tenant].weight = normalized;
      tenants_[tenant].reserve = static_cast<Bytes>(static_cast<double>(settings.max_bytes) *
                                                    settings.reserved_fraction * normalized);
    }
    update_pressure();
  }

  bool fits(std::size_t tenant, Bytes bytes) const {
    const Tenant& own = tenants_[tenant];
    const Bytes own_bytes = own.used + bytes;
    if (under_pressure_ && own_bytes > own.reserve) return false;
    // The unused reserves of other tenants stay available to them. A budget that was lowered below its
    // current use accepts nothing.
    Bytes total = used_ + bytes;
    if (total > settings_.max_bytes) return false;
    for (std::size_t other = 0; other < tenants_.size(); ++other) {
      const Bytes other_bytes = other == tenant ? own_bytes : tenants_[other].used;
      if (other_bytes < tenants_[other].reserve) total += tenants_[other].reserve - other_bytes;
    }
    return total <= settings_.max_bytes;
  }

  bool try_charge(std::size_t tenant, Bytes bytes) {
    if (!fits(tenant, bytes)) return false;
    tenants_[tenant].used += bytes;
    used_ += bytes;
    peak_ = std::max(peak_, used_);
    update_pressure();
    return true;
  }

  void release(std::size_t tenant, Bytes bytes) {
    bytes = std::min(bytes, tenants_[tenant].used);
    tenants_[tenant].used -= bytes;
    used_ -= bytes;
    update_pressure();
  }

  // Charges bytes that are already held and cannot be refused, as after a restart.
  void force_charge(std::size_t tenant, Bytes bytes) {
    tenants_[tenant].used += bytes;
    used_ += bytes;
    peak_ = std::max(peak_, used_);
    update_pressure();
  }

  // Bytes in use relative to the tenant's weight; results of the tenant with the highest value are evicted
  // first.
  double usage_per_weight(std::size_t tenant) const {
    const Tenant& own = tenants_[tenant];
    return own.weight > 0 ? static_cast<double>(own.used) / own.weight : static_cast<double>(own.used) * 1e9;
  }

  bool under_pressure() const { return under_pressure_; }
  Bytes used() const { return used_; }
  Bytes used(std::size_t tenant) const { return tenants_[tenant].used; }
  Bytes reserve(std::size_t tenant) const { return tenants_[tenant].reserve; }
  Bytes max_bytes() const { return settings_.max_bytes; }
  Bytes peak() const { return peak_; }
  Bytes high_watermark() const { return fraction_of_max(settings_.high_watermark); }
  Bytes low_watermark() const { return fraction_of_max(settings_.low_watermark); }
  std::size_t tenant_count() const { return tenants_.size(); }

 private:
  struct Tenant {
    double weight{};
    Bytes reserve{}, used{};
  };
  Bytes fraction_of_max(double fraction) const {
    return static_cast<Bytes>(static_cast<double>(settings_.max_bytes) * fraction);
  }
  void update_pressure() {
    if (used_ > high_watermark()) under_pressure_ = true;
    if (used_ <= low_watermark()) under_pressure_ = false;
  }

  BudgetSettings settings_;
  std::vector<Tenant> tenants_;
  Bytes used_{0}, peak_{0};
  bool under_pressure_{false};
};

}  // namespace steprail::spool
