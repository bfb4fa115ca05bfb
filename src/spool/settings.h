// The spool's settings in the operator's file, and their registration in its schema.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "conf/schema.h"
#include "spool/logic/spool_logic.h"

namespace steprail::spool {

struct SpoolSettings {
  bool enabled{false};
  std::string listen;  // address of the second service
  LogicSettings logic;
  std::string disk_path;  // empty: no disk tier and no disk thread
  int compression{0};     // zstd level; 0: off
  std::size_t segment_bytes{16u << 20};
  std::uint64_t max_window_bytes{1u << 20};  // upper limit of one fetch
  // Bytes queued to one reader from which on its next calls have to wait.
  std::uint64_t max_unread_bytes{2u << 20};
  std::size_t max_sessions{256};         // concurrent connections of readers
  std::map<std::string, double> shares;  // by tenant name; the other tenants divide the rest
  bool operator==(const SpoolSettings&) const = default;
};

// Registers the block `spool`. `settings` is filled in when a document is applied to the schema.
void register_spool(conf::Schema& schema, SpoolSettings& settings);

// Empty if the running spool can adopt `updated` without a restart, otherwise the first directive that
// prevents it.
std::string needs_restart(const SpoolSettings& running, const SpoolSettings& updated);

}  // namespace steprail::spool
