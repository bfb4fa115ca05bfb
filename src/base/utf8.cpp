#include "base/utf8.h"

#include <cstdint>

namespace steprail {

bool is_utf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto c = static_cast<unsigned char>(text[i]);
    const std::size_t continuation_bytes = c < 0x80                ? 0
                                           : c >= 0xc2 && c < 0xe0 ? 1
                                           : (c & 0xf0) == 0xe0    ? 2
                                           : c >= 0xf0 && c < 0xf5 ? 3
                                                                   : 9;
    if (continuation_bytes == 9 || i + continuation_bytes >= text.size() + 0u) {
      if (continuation_bytes == 9 || i + continuation_bytes > text.size() - 1) return false;
    }
    std::uint32_t code_point = continuation_bytes == 0 ? c : c & (0x3f >> continuation_bytes);
    for (std::size_t j = 1; j <= continuation_bytes; ++j) {
      const auto next = static_cast<unsigned char>(text[i + j]);
      if ((next & 0xc0) != 0x80) return false;
      code_point = code_point << 6 | (next & 0x3f);
    }
    if ((continuation_bytes == 2 && (code_point < 0x800 || (code_point >= 0xd800 && code_point < 0xe000))) ||
        (continuation_bytes == 3 && (code_point < 0x10000 || code_point > 0x10ffff)))
      return false;
    i += continuation_bytes + 1;
  }
  return true;
}

std::string_view utf8_prefix(std::string_view text, std::size_t max_bytes) {
  if (text.size() <= max_bytes) return text;
  const auto continues_character = [&](std::size_t at) {
    return (static_cast<unsigned char>(text[at]) & 0xc0) == 0x80;
  };
  std::size_t end = max_bytes;
  while (end > 0 && continues_character(end)) --end;
  return text.substr(0, end);
}

}  // namespace steprail
