// `steprail plan`: proposes routes for the given traffic, as a file that passes the route checker.
#pragma once

#include <iosfwd>
#include <string>

namespace steprail::commands {

// Throws std::runtime_error if a file cannot be used or no plan was found. `conf` is the operator's current
// file, with whose routes the plan must not conflict; it may be empty.
void plan(const std::string& config, const std::string& conf, const std::string& traffic, std::ostream& out);

}  // namespace steprail::commands
