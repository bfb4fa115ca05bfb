// `steprail plan`: routes for stated traffic, as a file that the checker passes.
#pragma once

#include <iosfwd>
#include <string>

namespace steprail::commands {

// Throws std::runtime_error where a file cannot be used, or there is no plan. `conf` may be empty: the
// operator's present file, whose routes the plan is not to cross.
void plan(const std::string& config, const std::string& conf, const std::string& traffic, std::ostream& out);

}  // namespace steprail::commands
