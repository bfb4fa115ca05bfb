// The planner: from stated traffic and engines, the patience, attempts, limits and rates that bring the most
// worth under the rules, as mixed-integer programming (GLPK). What it says is as good as its traffic file.
#pragma once

#include <string>
#include <vector>

#include "conf/schema.h"
#include "routes/settings.h"
#include "steprail/gateway.h"

namespace steprail::routes {

// One kind of traffic, as stated or as counted from a recorded day.
struct Stream {
  std::string name, cls, tenant;
  std::size_t line{0};
  double rate{0};      // requests a second
  double time_ms{0};   // of an attempt that is answered: the mean ...
  double spread{0.5};  // ... and the deviation, as a part of it (log-normal)
  double lost{0};      // attempts that never answer: bad plans, dead connections
};
struct Traffic {
  double cores{0};  // of all engines together
  std::vector<Stream> streams;
};
void register_traffic(conf::Schema& schema, Traffic& into);

struct PlannedLine {
  std::string text;  // as it stands in the file
  double brings{0};  // worth a second that is lost without this line alone; may be 0
};
struct PlannedRoute {
  std::string name, cls, tenant;
  int attempts{1};
  Micros patience{0};
  double admitted{1};  // part of the stream
  std::vector<PlannedLine> lines;
};
struct Plan {
  std::vector<PlannedRoute> routes;
  double worth{0}, worth_before{0};  // a second: planned, and with no routes at all
  std::string fault;                 // empty: there is a plan
  std::string file() const;          // for the operator
};

// What an option is expected to do for one request of a stream.
struct Expected {
  double worth{0};    // of one request
  double busy_ms{0};  // of an engine's thread
  double extra{0};    // further attempts
};
Expected expected(const Stream& stream, const ClassSettings& cls, int attempts, Micros patience);

Plan plan(const Traffic& traffic, const Settings& settings, const NameTables& tables);

}  // namespace steprail::routes
