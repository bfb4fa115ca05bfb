// The engines' protocol: lines of words, the last of which may announce bytes that follow.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/ports.h"

namespace steprail {

enum class Word { kAck, kAgain, kEio, kStale, kEvent, kBlock, kReady, kAiling };

// One answer of an engine; it points into the buffer that it was read from.
struct EngineAnswer {
  std::string_view id;
  Word word{};
  std::string_view body;
  std::int64_t count{-1};     // ACK: the number of all pages
  std::int64_t position{-1};  // BLOCK: the page's number
  std::string_view why;       // EVENT: the kind of note ...
  double reading{};           // ... and what it says
  LoadReport report;
};

enum class Parsed { kWhole, kMore, kBad };
// Reads one answer from the start of `bytes`; when it is there whole, `used` says how long it is.
Parsed parse_answer(std::string_view bytes, EngineAnswer& answer, std::size_t& used);

std::string_view name_of(Word word);  // as it stands on the wire

std::optional<RequestId> parse_id(std::string_view text);  // 16 hex digits
std::optional<double> parse_number(std::string_view text);
std::optional<std::int64_t> parse_count(std::string_view text);  // zero or more

// A page holds whole rows: three columns with a tab between them, and a line feed behind each row.
bool whole_rows(std::string_view page);

std::string serve_command(const Dispatch& dispatch);

}  // namespace steprail
