// Reads a query from the fields of a call, for every service with this form of call.
#pragma once

#include "core/coordinator.h"
#include "net/thrift.h"
#include "settings_json.h"

namespace steprail {

// Fills in the query except for its ticket and statement. Returns null if the query is valid, else what is
// wrong with it, as text for the client.
const char* read_query(const thrift::Fields& fields, const NameTables& tables, Coordinator& coordinator,
                       Query& query);

// The value of the field, or empty if it is absent.
// The id of a request; nothing if it is missing or malformed.
std::optional<RequestId> request_id(const thrift::Fields& fields);

std::string_view field(const thrift::Fields& fields, std::string_view name);

}  // namespace steprail
