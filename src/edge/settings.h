// What the operator's file says of the edge, and its registration there.
#pragma once

#include <map>
#include <set>
#include <string>

#include "conf/schema.h"
#include "edge/logic/edge_logic.h"

namespace steprail::edge {

struct EdgeConf {
  bool on{false};
  std::string listen;
  std::string secret_file;    // empty: a secret of this process's own
  std::string ledger_folder;  // empty: the ledger is in memory
  std::uint64_t ledger_most{256u << 20};
  Micros poll_wait{25'000'000};
  std::size_t connections{256};
  EdgeSettings logic;
  bool operator==(const EdgeConf&) const = default;
};

void register_edge(conf::Schema& schema, EdgeConf& into);
std::string needs_restart(const EdgeConf& running, const EdgeConf& fresh);

}  // namespace steprail::edge
