// `steprail explain`: the route that a request takes, and why.
#pragma once

#include <iosfwd>
#include <string>

namespace steprail::commands {

struct ExplainOptions {
  std::string config, conf;  // both files
  std::string cls, tenant, front{"platform"}, statement;
  int group{-1};
  double work_ms{0}, memory_mb{0};
};

// Throws std::runtime_error where a file cannot be used, or a name is nobody's.
void explain(const ExplainOptions& options, std::ostream& out);

}  // namespace steprail::commands
