// A query from the fields of a call, for every service that takes queries in this form.
#pragma once

#include "core/coordinator.h"
#include "net/thrift.h"
#include "settings_json.h"

namespace steprail {

// Fills the query in, its ticket and statement excepted. Null if it can be used, else the name of what
// cannot.
const char* read_query(const thrift::Fields& fields, const NameTables& tables, Coordinator& coordinator,
                       Query& query);

// The field's value; empty where it is not there.
std::string_view field(const thrift::Fields& fields, std::string_view name);

}  // namespace steprail
