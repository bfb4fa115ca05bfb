// The operator's own file: what is on beyond the platform's part, and how. All of it is off without the file.
#pragma once

#include <string>

#include "base/log.h"
#include "conf/schema.h"
#include "edge/settings.h"
#include "routes/settings.h"
#include "spool/settings.h"

namespace steprail {

struct OperatorConf {
  std::string path;  // empty: there is none
  LogSettings log;
  std::string metrics_file;  // written at SIGUSR1; empty: SIGUSR1 is not for us
  spool::SpoolSettings spool;
  edge::EdgeConf edge;
  routes::RouteConf routes;
  conf::Document document;  // as it was read, to show faults that are found later in their place
};

// The routes, resolved and checked against the platform's settings. Throws std::runtime_error with all
// faults.
routes::RouteSet routes_of(const OperatorConf& conf, const Settings& settings, const NameTables& tables);

// Registers every part's block; a document that is applied fills `into` in.
void register_all(conf::Schema& schema, OperatorConf& into);

// Throws std::runtime_error with all faults, each with its place, where the file cannot be read or used.
OperatorConf read_operator(const std::string& path);

// What does not fit the platform's limits, or a reload cannot change; empty where all is well.
std::string misfit(const OperatorConf& conf, std::size_t memory_mb, std::size_t sockets);
std::string needs_restart(const OperatorConf& running, const OperatorConf& fresh);

}  // namespace steprail
