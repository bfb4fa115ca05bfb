// Finds the group of tables that a statement uses.
#pragma once

#include <string_view>

namespace steprail {

// The number after the underscore in the name of the schema that the statement reads or writes; -1 if there
// is none.
int table_group(std::string_view statement);

}  // namespace steprail
