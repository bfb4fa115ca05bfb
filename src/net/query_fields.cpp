#include "net/query_fields.h"

#include "net/engine_line.h"

namespace steprail {

namespace {
// more than the limit of any class, and small enough that microseconds cannot overflow
constexpr std::int64_t kMaxLimitMs = 1'000'000'000;
}  // namespace

const char* read_query(const thrift::Fields& fields, const NameTables& tables, Coordinator& coordinator,
                       Query& query) {
  std::optional<RequestId> id;
  std::optional<std::int64_t> limit_ms;
  std::optional<double> estimate_ms = 0.0, memory_mb = 0.0;  // optional
  query.cls = -1;
  for (const auto& [name, value] : fields) {
    if (name == "txn") {
      id = parse_request_id(value);
      query.name = value;
    } else if (name == "verb") {
      query.cls = tables.classes.index(value);
      query.class_name = value;
    } else if (name == "limit") {
      limit_ms = parse_count(value);
    } else if (name == "team") {
      query.tenant = tables.tenants.index(value);
    } else if (name == "second") {
      query.client_retry = value == "1";
    } else if (name == "cpu") {
      estimate_ms = parse_number(value);
    } else if (name == "mem") {
      memory_mb = parse_number(value);
    }
  }
  if (!id) return "txn";
  if (!limit_ms || *limit_ms > kMaxLimitMs) return "limit";
  if (!estimate_ms) return "cpu";
  if (!memory_mb) return "mem";
  if (coordinator.has_request(*id)) return "txn in use";
  if (coordinator.may_have_run(*id)) return "txn may have run";
  query.id = *id;
  query.estimate_ms = *estimate_ms;
  query.memory_mb = *memory_mb;
  query.time_limit = Micros{*limit_ms * 1000};
  query.received_at = coordinator.now();
  return coordinator.validation_error(query);
}

std::optional<RequestId> request_id(const thrift::Fields& fields) {
  return parse_request_id(field(fields, "txn"));
}

std::string_view field(const thrift::Fields& fields, std::string_view name) {
  for (const auto& [key, value] : fields) {
    if (key == name) return value;
  }
  return {};
}

}  // namespace steprail
