// What routes decide: which one a request takes, whether its limits have a place for it, and which engines it
// may go to. The decision module is told figures and facts; that it then sends, tries again or refuses is its
// own word.
//
// No I/O, no clock: events in, facts out. Limits keep their state over a reload as long as they keep their
// name.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "routes/logic/limits.h"
#include "routes/logic/route.h"
#include "steprail/gateway.h"

namespace steprail::routes {

struct RouteSet {
  std::vector<Route> routes;
  std::vector<Pool> pools;
  bool operator==(const RouteSet&) const = default;
};

enum class Let { kIn, kRate, kLimit, kShare };
constexpr const char* name(Let let) {
  constexpr const char* names[] = {"in", "rate", "limit", "share"};
  return names[static_cast<int>(let)];
}

class RouteLogic {
 public:
  // `weights`: of the tenants, by index.
  RouteLogic(RouteSet set, std::vector<double> weights, Micros now);
  // Open requests keep the figures with which they came; their places are still counted under the old names.
  void reconfigure(RouteSet set, std::vector<double> weights, Micros now);

  struct Entry {
    int route{-1};  // none matches: as without routes
    Let let{Let::kIn};
  };
  // Counted from here on, if it is let in, until left().
  Entry arrived(RequestId id, const Facts& facts, Micros now);
  enum class How { kServed, kFailed, kRefused, kGone };
  void left(RequestId id, How how, Micros now);

  struct Engine {
    int engine{};
    std::string name;
    int zone{}, kind{};
  };
  // The whole list as it is now.
  void engines(const std::vector<Engine>& engines, Micros now);
  // What the module is to hear: the figures of all routes, and each pool's engines.
  RoutesUpdate news() const;

  const RouteSet& set() const { return set_; }
  struct Standing {
    double limit{0};
    int out{0};
    std::uint64_t entered{0}, turned{0};
  };
  std::optional<Standing> standing(const std::string& route) const;
  std::size_t open() const { return open_.size(); }

 private:
  struct Limits {  // of one name
    bool limited{false};
    AdaptiveLimit places;
    FairShare shares;
    RateLimit rate;
    std::uint64_t entered{0}, turned{0};
    int number{0};  // what the module knows it by
  };
  struct Open {
    std::shared_ptr<Limits> limits;
    std::size_t tenant{};
    Micros since{0};
  };
  void adopt(RouteSet set, const std::vector<double>& weights);
  void refill(Micros now);

  RouteSet set_;
  RouteTree tree_;
  std::map<std::string, std::shared_ptr<Limits>> limits_;
  std::vector<std::shared_ptr<Limits>> by_route_;
  std::map<std::string, SlowStart> starts_;
  std::vector<int> pool_of_;  // route -> pool, -1: every engine
  std::vector<Engine> engines_;
  std::vector<std::vector<bool>> members_;
  std::unordered_map<RequestId, Open> open_;
  int last_number_{0};
};

}  // namespace steprail::routes
