#include "operator.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

#include "routes/checked.h"

namespace steprail {

using Given = conf::Directive::Parsed;

void register_blocks(conf::Schema& schema, OperatorConf& into) {
  conf::Block& log = schema.block("log", "The log, written to standard error.");
  log.directive("format", "plain text lines, or one JSON object per line")
      .choice({"text", "json"})
      .default_value("text")
      .on_parsed(
          [&into](const Given& given) { return into.log.json = given.text(0) == "json", std::string(); });
  log.directive("level", "the lowest level of what is logged; lines below it are left out")
      .choice({"debug", "info", "warn", "error"})
      .default_value("info")
      .on_parsed([&into](const Given& given) {
        const std::string& word = given.text(0);
        into.log.min_level = word == "debug"  ? LogLevel::kDebug
                             : word == "info" ? LogLevel::kInfo
                             : word == "warn" ? LogLevel::kWarn
                                              : LogLevel::kError;
        return std::string();
      });
  conf::Block& metrics =
      schema.block("metrics", "Counters and gauges, in the Prometheus text exposition format.");
  metrics.directive("file", "replaced as a whole at SIGUSR1")
      .path("FILE")
      .required()
      .on_parsed([&into](const Given& given) { return into.metrics_file = given.text(0), std::string(); });
  spool::register_spool(schema, into.spool);
  edge::register_edge(schema, into.edge);
  routes::register_routes(schema, into.routes);
}

namespace {

void throw_on_faults(const conf::Document& document, const std::vector<conf::Diagnostic>& faults) {
  if (faults.empty()) return;
  std::string message = conf::render_diagnostics(document, faults);
  message.pop_back();
  throw std::runtime_error("operator's file cannot be used:\n" + message);
}

}  // namespace

OperatorConf read_operator(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("operator's file " + path + " cannot be opened");
  std::stringstream text;
  text << file.rdbuf();
  OperatorConf conf;
  conf.path = path;
  conf::Schema schema;
  register_blocks(schema, conf);
  conf.document = conf::parse(path, text.str());
  throw_on_faults(conf.document, schema.apply(conf.document));
  return conf;
}

routes::RouteSet resolve_routes(const OperatorConf& conf, const Settings& settings,
                                const NameTables& tables) {
  std::vector<routes::Wrong> wrong;
  routes::RouteSet set = routes::checked(conf.routes, settings, tables, wrong);
  std::vector<conf::Diagnostic> faults;
  for (const routes::Wrong& one : wrong) {
    // Mark the whole directive in the message.
    const std::string& line = conf.document.lines.at(one.line - 1);
    const std::size_t from = std::min(line.find_first_not_of(" \t"), line.size());
    const std::size_t end = std::min(line.find_last_not_of(" \t\r") + 1, line.size());
    faults.push_back({one.line, from + 1, std::max<std::size_t>(1, end - from), one.text});
  }
  throw_on_faults(conf.document, faults);
  return set;
}

std::string limit_violation(const OperatorConf& conf, std::size_t memory_mb, std::size_t sockets) {
  if (conf.edge.enabled && !conf.spool.enabled)
    return "edge: it stores its rows in the spool, but the block 'spool' is missing";
  if (conf.edge.enabled && conf.edge.max_connections > sockets / 3)
    return "edge: 'connections' is more than a third of the " + std::to_string(sockets) +
           " descriptors that the coordinator has";
  if (!conf.spool.enabled) return {};
  if (conf.spool.logic.memory.max_bytes > (static_cast<std::uint64_t>(memory_mb) << 20) * 3 / 4)
    return "spool: 'memory' is more than three quarters of the " + std::to_string(memory_mb) +
           " MB that the coordinator has";
  if (conf.spool.max_sessions > sockets / 3)
    return "spool: 'sessions' is more than a third of the " + std::to_string(sockets) +
           " descriptors that the coordinator has";
  return {};
}

std::string needs_restart(const OperatorConf& running, const OperatorConf& fresh) {
  if (running.metrics_file.empty() != fresh.metrics_file.empty()) return "metrics";
  const std::string edge = edge::needs_restart(running.edge, fresh.edge);
  return edge.empty() ? spool::needs_restart(running.spool, fresh.spool) : edge;
}

}  // namespace steprail
