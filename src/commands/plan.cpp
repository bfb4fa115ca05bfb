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

conf::Document read(const std::string& path) {
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
  const conf::Document document = read(traffic_path);
  const auto faults = schema.apply(document);
  if (!faults.empty())
    throw std::runtime_error("traffic file cannot be used:\n" + conf::render_diagnostics(document, faults));
  if (traffic.cores <= 0) throw std::runtime_error(traffic_path + ": a block 'engines' is missing");

  using Planner = void (*)(const routes::Traffic*, const Settings*, const Tables*, routes::Plan*);
  std::string fault;
  const auto planner = reinterpret_cast<Planner>(routes::solver_function("steprail_plan_routes", fault));
  if (planner == nullptr) throw std::runtime_error("there is no planner: " + fault);
  routes::Plan planned;
  planner(&traffic, &config.settings, &config.tables, &planned);
  if (!planned.fault.empty()) throw std::runtime_error(traffic_path + ": " + planned.fault);

  // What comes out has to pass the checker, beside what the operator's file says already.
  routes::RouteConf all;
  if (!conf_path.empty()) all = read_operator(conf_path).routes;
  const std::size_t own = all.routes.size();
  conf::Schema routes_schema;
  routes::register_routes(routes_schema, all);
  const conf::Document made = conf::parse("the plan", planned.file());
  const auto wrong_words = routes_schema.apply(made);
  if (!wrong_words.empty()) throw std::runtime_error(conf::render_diagnostics(made, wrong_words));
  std::vector<routes::Wrong> wrong;
  routes::checked(all, config.settings, config.tables, wrong);
  if (!wrong.empty()) {
    throw std::runtime_error(
        (own > 0 ? "beside " + conf_path + " the plan does not pass: " : "the plan does not pass: ") +
        wrong.front().text);
  }
  out << planned.file();
}

}  // namespace steprail::commands
