#include "commands/explain.h"

#include <algorithm>
#include <ostream>
#include <stdexcept>

#include "config.h"
#include "net/statement.h"
#include "operator.h"
#include "routes/logic/explain.h"

namespace steprail::commands {

void explain(const ExplainOptions& options, std::ostream& out) {
  const Config config = read_config(options.config);
  const OperatorConf conf = read_operator(options.conf);
  const routes::RouteSet set = resolve_routes(conf, config.settings, config.tables);
  routes::Named names;
  for (int i = 0; i < config.tables.classes.size(); ++i)
    names.classes.push_back(config.tables.classes.name(i));
  for (int i = 0; i < config.tables.tenants.size(); ++i)
    names.tenants.push_back(config.tables.tenants.name(i));
  routes::Facts facts;
  facts.cls = config.tables.classes.index_or_throw(options.cls, "class");
  if (!options.tenant.empty()) facts.tenant = config.tables.tenants.index_or_throw(options.tenant, "tenant");
  const auto front = std::find(names.fronts.begin(), names.fronts.end(), options.front);
  if (front == names.fronts.end()) throw std::runtime_error("unknown front '" + options.front + "'");
  facts.front = static_cast<int>(front - names.fronts.begin());
  facts.group = options.statement.empty() ? options.group : table_group(options.statement);
  facts.work_ms = options.work_ms;
  facts.memory_mb = options.memory_mb;
  const routes::Explanation explanation = routes::explain(set, facts, names);
  for (const std::string& line : explanation.why) out << line << '\n';
  if (!explanation.route)
    out << "no route matches: the platform's settings and the gateway's defaults apply\n";
  for (const std::string& line : explanation.figures) out << "  " << line << '\n';
}

}  // namespace steprail::commands
