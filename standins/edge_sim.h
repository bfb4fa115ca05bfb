// Devices, links, the edge's logic, its ledger on a disk that fails, a coordinator and engines, in one
// process and in virtual time: one seed, one history. An independent checker reads the history.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace steprail::standin {

struct SimOptions {
  std::uint64_t seed{1};
  int devices{4};
  int requests{12};    // of each
  bool durable{true};  // the ledger has a disk
  bool crashes{true};  // of the edge's process
  bool disk_faults{true};
  bool forged{true};  // devices that acknowledge what they never had
  // Deliberately broken variants, which the checker must catch.
  bool record_after_dispatch{false}, trust_acknowledgements{false}, ignore_incarnation{false};
  bool trace{false};
};

struct SimResult {
  std::vector<std::string> faults;  // what the checker found; empty: nothing
  std::uint64_t digest{};           // of the whole history: equal seeds give equal ones
  std::uint64_t requests{}, answers{}, unknown{}, loads{}, loads_run{}, loads_run_twice{}, crashes{}, cuts{},
      resumes{}, commits{}, records{};
  std::vector<std::string> history;  // where it was asked for
};

SimResult simulate(const SimOptions& options);

}  // namespace steprail::standin
