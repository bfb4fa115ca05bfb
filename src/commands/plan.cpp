#include "commands/plan.h"

#include <fstream>
#include <ostream>
#include <sstream>
#include <stdexcept>

#include "config.h"
#include "operator.h"
#include "routes/checked.h"
#include "routes/plan/plan.h"
#include "routes/solvers.h"

namespace steprail::commands {
namespace {

conf::Document read_document(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("traffic file " + path + " cannot be opened");
  std::stringstream text;
  text << file.rdbuf();
  return conf::parse(path, text.str());
}

}  // namespace

void plan(const std::string& config_path, const std::string& conf_path, const std::string& traffic_path,
          std::ostream& out) {
  const Config config = read_config(config_path);
  routes::Traffic traffic;
  conf::Schema schema;
  routes::register_traffic(schema, traffic);
  const conf::Document document = read_document(traffic_path);
  const auto faults = schema.apply(document);
  if (!faults.empty())
    throw std::runtime_error("traffic file cannot be used:\n" + conf::render_diagnostics(document, faults));
  if (traffic.cores <= 0) throw std::runtime_error(traffic_path + ": a block 'engines' is missing");

  using Planner = void (*)(const routes::Traffic*, const Settings*, const NameTables*, routes::Plan*);
  std::string fault;
  const auto planner = reinterpret_cast<Planner>(routes::solver_function("steprail_plan_routes", fault));
  if (planner == nullptr) throw std::runtime_error("no planner available: " + fault);
  routes::Plan result;
  planner(&traffic, &config.settings, &config.tables, &result);
  if (!result.fault.empty()) throw std::runtime_error(traffic_path + ": " + result.fault);

  // The plan has to pass the checker, together with the routes already in the operator's file.
  routes::RouteConf all_routes;
  if (!conf_path.empty()) all_routes = read_operator(conf_path).routes;
  const std::size_t own_count = all_routes.routes.size();
  conf::Schema routes_schema;
  routes::register_routes(routes_schema, all_routes);
  const conf::Document plan_document = conf::parse("the plan", result.file());
  const auto plan_faults = routes_schema.apply(plan_document);
  if (!plan_faults.empty()) throw std::runtime_error(conf::render_diagnostics(plan_document, plan_faults));
  std::vector<routes::Wrong> wrong;
  routes::checked(all_routes, config.settings, config.tables, wrong);
  if (!wrong.empty()) {
    throw std::runtime_error((own_count > 0
                                  ? "together with " + conf_path + " the plan does not pass the check: "
                                  : "the plan does not pass the check: ") +
                             wrong.front().text);
  }
  out << result.file();
}

}  // namespace steprail::commands
