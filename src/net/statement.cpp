#include "net/statement.h"

#include <charconv>

namespace steprail {
namespace {

bool word(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' || c == '$' ||
         static_cast<unsigned char>(c) >= 0x80;
}

// The number behind the last underscore of a schema's name; -1 if there is none.
int number_of(std::string_view schema) {
  const std::size_t bar = schema.rfind('_');
  if (bar == std::string_view::npos || bar + 1 == schema.size()) return -1;
  int number = -1;
  const char* end = schema.data() + schema.size();
  const auto [stopped, error] = std::from_chars(schema.data() + bar + 1, end, number);
  return error == std::errc{} && stopped == end ? number : -1;
}

// Past a quoted text that begins at `at`; a quote within is doubled or follows a backslash.
std::size_t past_quoted(std::string_view s, std::size_t at) {
  const char quote = s[at++];
  for (; at < s.size(); ++at) {
    if (s[at] == '\\' && quote == '\'') {
      ++at;
    } else if (s[at] == quote) {
      if (at + 1 >= s.size() || s[at + 1] != quote) return at + 1;
      ++at;
    }
  }
  return s.size();
}

}  // namespace

int table_group(std::string_view s) {
  std::size_t at = 0;
  while (at < s.size()) {
    const char c = s[at];
    const char next = at + 1 < s.size() ? s[at + 1] : '\0';
    if (c == '\'') {
      at = past_quoted(s, at);
    } else if (c == '-' && next == '-') {
      at = std::min(s.find('\n', at), s.size());
    } else if (c == '/' && next == '*') {
      const std::size_t end = s.find("*/", at + 2);
      at = end == std::string_view::npos ? s.size() : end + 2;
    } else if (word(c) || c == '"' || c == '`') {
      const std::size_t from = at;
      std::string_view name;
      if (word(c)) {
        while (at < s.size() && word(s[at])) ++at;
        name = s.substr(from, at - from);
      } else {
        at = past_quoted(s, at);
        if (at - from >= 2) name = s.substr(from + 1, at - from - 2);
      }
      // A schema is what stands before a dot and behind none.
      const bool qualifies = at < s.size() && s[at] == '.' && (from == 0 || s[from - 1] != '.');
      const int number = qualifies ? number_of(name) : -1;
      if (number >= 0) return number;
    } else {
      ++at;
    }
  }
  return -1;
}

}  // namespace steprail
