// What a route or a pool lets in: a concurrency limit that follows measured delay, a rate, fair shares of
// tenants, and a slow start. Plain state in virtual time; each is one small machine of its own.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <vector>

namespace steprail::routes {

using Micros = std::chrono::microseconds;

// Additive increase, multiplicative decrease: one more for each round of requests that end in time, a tenth
// less for a round that is slow against the quickest lately or ends badly. A gradient (limit x quickest /
// now) was weighed in docs/design/routes.md: it moves with the noise of mixed work.
class AdaptiveLimit {
 public:
  void set(int least, int most) {
    least_ = std::max(1, least), most_ = std::max(least_, most);
    limit_ =
        limit_ == 0 ? least_ : std::clamp(limit_, static_cast<double>(least_), static_cast<double>(most_));
  }
  bool room() const { return out_ < static_cast<int>(limit_); }
  void entered() {
    ++out_;
    pressed_ = std::max(pressed_, out_);
  }
  // `good`: it ended as it should; a request that its client gave up says nothing.
  void left(Micros delay, bool good, bool counts, Micros now) {
    out_ = std::max(0, out_ - 1);
    if (!counts) return;
    // The quickest lately: forgotten slowly, so that work that grows heavier for good is not taken for a jam.
    const auto took = static_cast<double>(delay.count());
    if (good) {
      if (now > seen_) quickest_ *= std::exp2(static_cast<double>((now - seen_).count()) / kForget);
      quickest_ = quickest_ == 0 ? took : std::min(took, quickest_);
      seen_ = now;
    }
    const bool slow = !good || took > kTolerance * quickest_;
    if (slow) {
      // Once a round: those that were out together tell of one jam, not of as many as they are.
      if (now < calm_until_) return;
      limit_ = std::max(static_cast<double>(least_), limit_ * kDecrease);
      calm_until_ = now + std::max(delay, Micros{1000});
      pressed_ = out_;
    } else if (2 * pressed_ >= static_cast<int>(limit_)) {
      // A limit that nothing presses against has not been tested, and is not opened further.
      limit_ = std::min(static_cast<double>(most_), limit_ + 1 / limit_);
    }
  }
  double limit() const { return limit_; }
  int out() const { return out_; }

 private:
  static constexpr double kDecrease = 0.9, kTolerance = 3,
                          kForget = 20e6;  // microseconds in which it doubles
  int least_{1}, most_{1}, out_{0}, pressed_{0};
  double limit_{0}, quickest_{0};
  Micros calm_until_{0}, seen_{0};
};

// So many a second, and so many at once before that holds (GCRA).
class RateLimit {
 public:
  void set(double rate, double burst) { rate_ = rate, burst_ = std::max(1.0, burst); }
  bool take(Micros now) {
    if (rate_ <= 0) return true;
    const auto interval = static_cast<std::int64_t>(1e6 / rate_);
    const Micros theoretical = std::max(arrival_, now);
    if ((theoretical - now).count() > static_cast<std::int64_t>((burst_ - 1) * static_cast<double>(interval)))
      return false;
    arrival_ = theoretical + Micros{interval};
    return true;
  }

 private:
  double rate_{0}, burst_{1};
  Micros arrival_{0};
};

// Places under one limit, shared between tenants: each may always have its share; what one does not want is
// for the others. What a tenant wants is remembered for some seconds, so that one within its share finds its
// places free although the others want them all. Stride scheduling was weighed in docs/design/routes.md:
// requests are never held here, and without a queue it leaves places empty wherever the hindmost tenant wants
// few.
class FairShare {
 public:
  explicit FairShare(std::vector<double> weights = {1}) { set(std::move(weights)); }
  void set(const std::vector<double>& weights) {
    double sum = 0;
    for (const double weight : weights) sum += std::max(weight, 0.0);
    tenants_.resize(std::max<std::size_t>(1, weights.size()));
    for (std::size_t t = 0; t < tenants_.size(); ++t)
      tenants_[t].share = sum > 0 && t < weights.size() ? std::max(weights[t], 0.0) / sum
                                                        : 1.0 / static_cast<double>(tenants_.size());
  }
  // True where this tenant may have one of the places, of which there are so many.
  bool asks(std::size_t tenant, double places, Micros now) {
    tenant = std::min(tenant, tenants_.size() - 1);
    Tenant& own = tenants_[tenant];
    fade(own, now);
    own.wants = std::max(own.wants, own.out + 1.0);
    if (out_ + 1 > places) return false;
    if (own.out + 1 <= own.share * places) return true;
    double kept = 0;
    for (Tenant& other : tenants_) {
      if (&other == &own) continue;
      fade(other, now);
      kept += std::max(0.0, std::min(other.wants + 1, other.share * places) * (other.wants > 0) - other.out);
    }
    return out_ + 1 + kept <= places;
  }
  void entered(std::size_t tenant) {
    ++tenants_[std::min(tenant, tenants_.size() - 1)].out;
    ++out_;
  }
  void left(std::size_t tenant) {
    Tenant& own = tenants_[std::min(tenant, tenants_.size() - 1)];
    own.out = std::max(0.0, own.out - 1);
    out_ = std::max(0.0, out_ - 1);
  }
  double share(std::size_t tenant) const { return tenants_[std::min(tenant, tenants_.size() - 1)].share; }
  double out(std::size_t tenant) const { return tenants_[std::min(tenant, tenants_.size() - 1)].out; }
  double out() const { return out_; }

 private:
  static constexpr double kHalf = 2e6;  // microseconds in which a wish that is not heard again halves
  struct Tenant {
    double share{1}, out{0}, wants{0};
    Micros seen{0};
  };
  static void fade(Tenant& tenant, Micros now) {
    if (now <= tenant.seen) return;
    tenant.wants *= std::exp2(-static_cast<double>((now - tenant.seen).count()) / kHalf);
    if (tenant.wants < 0.5) tenant.wants = 0;
    tenant.wants = std::max(tenant.wants, tenant.out);
    tenant.seen = now;
  }
  std::vector<Tenant> tenants_;
  double out_{0};
};

// The part of its limit that a pool gets after it was empty.
class SlowStart {
 public:
  void set(Micros time, double from) { time_ = time, from_ = from; }
  void members(std::size_t count, Micros now) {
    if (count > 0 && count_ == 0 && seen_) since_ = now, starting_ = true;
    seen_ = seen_ || count > 0;
    count_ = count;
  }
  double share(Micros now) const {
    if (!starting_ || time_.count() <= 0 || now >= since_ + time_) return 1;
    return from_ +
           (1 - from_) * static_cast<double>((now - since_).count()) / static_cast<double>(time_.count());
  }

 private:
  Micros time_{0}, since_{0};
  double from_{1};
  std::size_t count_{0};
  bool seen_{false}, starting_{false};
};

}  // namespace steprail::routes
