#include "net/statement.h"

#include <charconv>

namespace steprail {
namespace {

bool is_name_char(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' || c == '$' ||
         static_cast<unsigned char>(c) >= 0x80;
}

// The number after the last underscore of a schema name; -1 if there is none.
int group_number(std::string_view schema) {
  const std::size_t underscore = schema.rfind('_');
  if (underscore == std::string_view::npos || underscore + 1 == schema.size()) return -1;
  int number = -1;
  const char* end = schema.data() + schema.size();
  const auto [parsed_end, error] = std::from_chars(schema.data() + underscore + 1, end, number);
  return error == std::errc{} && parsed_end == end ? number : -1;
}

// The position after a quoted text that begins at `pos`. A quote within the text is doubled or, in single
// quotes, escaped by a backslash.
std::size_t end_of_quoted(std::string_view sql, std::size_t pos) {
  const char quote = sql[pos++];
  for (; pos < sql.size(); ++pos) {
    if (sql[pos] == '\\' && quote == '\'') {
      ++pos;
    } else if (sql[pos] == quote) {
      if (pos + 1 >= sql.size() || sql[pos + 1] != quote) return pos + 1;
      ++pos;
    }
  }
  return sql.size();
}

}  // namespace

int table_group(std::string_view sql) {
  std::size_t pos = 0;
  while (pos < sql.size()) {
    const char c = sql[pos];
    const char next = pos + 1 < sql.size() ? sql[pos + 1] : '\0';
    if (c == '\'') {
      pos = end_of_quoted(sql, pos);
    } else if (c == '-' && next == '-') {
      pos = std::min(sql.find('\n', pos), sql.size());
    } else if (c == '/' && next == '*') {
      const std::size_t end = sql.find("*/", pos + 2);
      pos = end == std::string_view::npos ? sql.size() : end + 2;
    } else if (is_name_char(c) || c == '"' || c == '`') {
      const std::size_t start = pos;
      std::string_view name;
      if (is_name_char(c)) {
        while (pos < sql.size() && is_name_char(sql[pos])) ++pos;
        name = sql.substr(start, pos - start);
      } else {
        pos = end_of_quoted(sql, pos);
        if (pos - start >= 2) name = sql.substr(start + 1, pos - start - 2);
      }
      // A schema is a name that is followed by a dot and does not follow one.
      const bool qualifies = pos < sql.size() && sql[pos] == '.' && (start == 0 || sql[start - 1] != '.');
      const int number = qualifies ? group_number(name) : -1;
      if (number >= 0) return number;
    } else {
      ++pos;
    }
  }
  return -1;
}

}  // namespace steprail
