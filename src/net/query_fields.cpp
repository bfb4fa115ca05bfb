#include "net/query_fields.h"

#include "net/engine_line.h"

namespace steprail {

namespace {
constexpr std::int64_t kLimitMost = 1'000'000'000;  // ms: beyond every class's, and far from running over
}

const char* read_query(const thrift::Fields& fields, const NameTables& tables, Coordinator& coordinator,
                       Query& query) {
  std::optional<RequestId> id;
  std::optional<std::int64_t> limit;
  std::optional<double> work = 0.0, memory = 0.0;  // need not be told
  query.cls = -1;
  for (const auto& [name, value] : fields) {
    if (name == "txn") {
      id = parse_id(value);
      query.name = value;
    } else if (name == "verb") {
      query.cls = tables.classes.index(value);
      query.class_name = value;
    } else if (name == "limit") {
      limit = parse_count(value);
    } else if (name == "team") {
      query.tenant = tables.tenants.index(value);
    } else if (name == "second") {
      query.resent = value == "1";
    } else if (name == "cpu") {
      work = parse_number(value);
    } else if (name == "mem") {
      memory = parse_number(value);
    }
  }
  if (!id) return "txn";
  if (!limit || *limit > kLimitMost) return "limit";
  if (!work) return "cpu";
  if (!memory) return "mem";
  if (coordinator.knows(*id)) return "txn in use";
  query.id = *id;
  query.estimate_ms = *work;
  query.memory_mb = *memory;
  query.limit = Micros{*limit * 1000};
  query.taken = coordinator.now();
  return coordinator.unusable(query);
}

std::string_view field(const thrift::Fields& fields, std::string_view name) {
  for (const auto& [key, value] : fields) {
    if (key == name) return value;
  }
  return {};
}

}  // namespace steprail
