// Checks and cuts text in UTF-8.
#pragma once

#include <cstddef>
#include <string_view>

namespace steprail {

// True if the whole text is valid UTF-8: no overlong forms, no surrogates, nothing beyond U+10FFFF.
bool is_utf8(std::string_view text);

// The longest beginning of the text that holds at most `max_bytes` and no part of a character. The text has
// to be valid UTF-8.
std::string_view utf8_prefix(std::string_view text, std::size_t max_bytes);

}  // namespace steprail
