// The edge's settings in the operator's file, and the registration of their directives.
#pragma once

#include <map>
#include <set>
#include <string>

#include "conf/schema.h"
#include "edge/logic/edge_logic.h"

namespace steprail::edge {

struct EdgeConf {
  bool enabled{false};
  std::string listen;
  std::string secret_file;    // empty: each process generates its own
  std::string ledger_folder;  // empty: the ledger is kept in memory
  std::uint64_t max_ledger_bytes{256u << 20};
  Micros poll_wait{25'000'000};
  std::size_t max_connections{256};
  EdgeSettings logic;
  bool operator==(const EdgeConf&) const = default;
};

void register_edge(conf::Schema& schema, EdgeConf& config);
std::string needs_restart(const EdgeConf& running, const EdgeConf& updated);

}  // namespace steprail::edge
