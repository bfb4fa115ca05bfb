// What the operator's file says of the spool, and its registration there.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "conf/schema.h"
#include "spool/logic/spool_logic.h"

namespace steprail::spool {

struct SpoolSettings {
  bool on{false};
  std::string listen;  // of the second service
  LogicSettings logic;
  std::string disk_path;  // empty: no disk tier, and no thread
  int compression{0};     // zstd's level; 0: none
  std::size_t segment{16u << 20};
  std::uint64_t window_most{1u << 20};   // bytes that one fetch gets at most
  std::uint64_t unread_most{2u << 20};   // bytes queued to one reader, from which on its calls wait
  std::size_t sessions{256};             // readers' connections at a time
  std::map<std::string, double> shares;  // by tenant's name; the others divide what is left
  bool operator==(const SpoolSettings&) const = default;
};

// The block `spool`. `into` is filled in as a document is applied to the schema.
void register_spool(conf::Schema& schema, SpoolSettings& into);

// Empty where the running spool can take on `fresh` without a restart, else the directive that keeps it from
// it.
std::string needs_restart(const SpoolSettings& running, const SpoolSettings& fresh);

}  // namespace steprail::spool
