// The operator's file: enables and configures everything beyond the platform's own service. Without the file,
// all of that is off.
#pragma once

#include <string>

#include "base/log.h"
#include "conf/schema.h"
#include "edge/settings.h"
#include "routes/settings.h"
#include "spool/settings.h"

namespace steprail {

struct OperatorConf {
  std::string path;  // empty: there is no file
  LogSettings log;
  std::string metrics_file;  // written at SIGUSR1; empty: SIGUSR1 is not handled
  spool::SpoolSettings spool;
  edge::EdgeConf edge;
  routes::RouteConf routes;
  conf::Document document;  // as read, to show errors that are found later at their place
};

// Resolves the routes and checks them against the platform's settings. Throws std::runtime_error that lists
// all errors.
routes::RouteSet resolve_routes(const OperatorConf& conf, const Settings& settings, const NameTables& tables);

// Registers the blocks of all subsystems; applying a document fills `into`.
void register_blocks(conf::Schema& schema, OperatorConf& into);

// Throws std::runtime_error that lists all errors with their places if the file cannot be read or used.
OperatorConf read_operator(const std::string& path);

// Returns why the file does not fit the platform's limits; empty if it does.
std::string limit_violation(const OperatorConf& conf, std::size_t memory_mb, std::size_t sockets);
// Returns the first block or directive that differs and cannot change in a reload; empty if none.
std::string needs_restart(const OperatorConf& running, const OperatorConf& fresh);

}  // namespace steprail
