// `steprail explain`: prints the route that matches a request, and why.
#pragma once

#include <iosfwd>
#include <string>

namespace steprail::commands {

struct ExplainOptions {
  std::string config, conf;  // paths of the platform's and the operator's file
  std::string cls, tenant, front{"platform"}, statement;
  int group{-1};
  double work_ms{0}, memory_mb{0};
};

// Throws std::runtime_error if a file cannot be used or a class, tenant or front is unknown.
void explain(const ExplainOptions& options, std::ostream& out);

}  // namespace steprail::commands
