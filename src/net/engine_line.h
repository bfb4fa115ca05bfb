// The engines' text protocol: lines of words separated by blanks; the last word may give the length of a body
// that follows the line.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/ports.h"

namespace steprail {

enum class AnswerKind { kAck, kAgain, kEio, kStale, kEvent, kBlock, kReady, kAiling };

// One answer of an engine. Its views point into the buffer that it was parsed from.
struct EngineAnswer {
  std::string_view id;
  AnswerKind kind{};
  std::string_view body;
  std::int64_t page_count{-1};  // ACK: of the whole result
  std::int64_t page{-1};        // BLOCK: number of the page
  std::string_view note_kind;   // EVENT: kind of the note
  double note_value{};          // EVENT: value of the note
  LoadReport report;
};

enum class ParseStatus { kComplete, kIncomplete, kMalformed };
// Parses one answer at the start of `bytes`. `consumed` is its length if it is complete.
ParseStatus parse_answer(std::string_view bytes, EngineAnswer& answer, std::size_t& consumed);

std::string_view name_of(AnswerKind kind);  // as on the wire

std::optional<RequestId> parse_request_id(std::string_view text);  // 16 hex digits
std::optional<double> parse_number(std::string_view text);
std::optional<std::int64_t> parse_count(std::string_view text);  // not negative

// A row has three columns separated by tabs and ends with a line feed.
bool has_only_whole_rows(std::string_view page);

// The line before the statement in the command that starts an attempt, and what follows the statement.
// `time_left`: how long the engine may run it.
std::string serve_command_line(std::string_view name, std::string_view class_name, Micros time_left,
                               std::size_t statement_bytes);
constexpr std::string_view kCommandEnd = "\r\n";

}  // namespace steprail
