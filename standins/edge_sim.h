// Simulates devices, links, the edge's logic, its ledger on a failing disk, a coordinator and engines in one
// process and in virtual time. The history is determined by the seed, and an independent checker verifies it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace steprail::standin {

struct SimOptions {
  std::uint64_t seed{1};
  int devices{4};
  int requests_per_device{12};
  bool durable{true};  // the ledger is on disk
  bool crashes{true};  // of the edge's process
  bool disk_faults{true};
  bool forged_acks{true};  // some devices acknowledge messages that they did not receive
  // Deliberately broken variants that the checker must detect.
  bool record_after_dispatch{false}, trust_acknowledgements{false}, ignore_incarnation{false};
  bool trace{false};
};

struct SimResult {
  std::vector<std::string> violations;  // found by the checker; empty if there are none
  std::uint64_t digest{};               // of the whole history; equal for equal seeds
  std::uint64_t requests{}, answers{}, unknown_outcomes{}, loads{}, load_runs{}, loads_run_twice{}, crashes{},
      link_failures{}, resumes{}, commits{}, records{};
  std::vector<std::string> history;  // only if trace is set
};

SimResult simulate(const SimOptions& options);

}  // namespace steprail::standin
