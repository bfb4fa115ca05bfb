#include "net/engine_line.h"

#include <charconv>
#include <cmath>

namespace steprail {
namespace {

constexpr std::size_t kMaxLineBytes = 1024;
constexpr std::int64_t kMaxBodyBytes = 6000;  // of one page
constexpr std::string_view kLineEnd = "\r\n";

constexpr std::pair<std::string_view, AnswerKind> kAnswerKinds[] = {
    {"ACK", AnswerKind::kAck},     {"AGAIN", AnswerKind::kAgain},  {"EIO", AnswerKind::kEio},
    {"STALE", AnswerKind::kStale}, {"EVENT", AnswerKind::kEvent},  {"BLOCK", AnswerKind::kBlock},
    {"READY", AnswerKind::kReady}, {"AILING", AnswerKind::kAiling}};

// Removes the text before the first `separator`, and the separator, from the front of `text` and returns the
// text.
std::string_view split_off(std::string_view& text, char separator) {
  const std::size_t at = text.find(separator);
  const std::string_view head = text.substr(0, at);
  text.remove_prefix(at == std::string_view::npos ? text.size() : at + 1);
  return head;
}

// Accepts both the names of the socket protocol and those of the settings.
bool parse_report(std::string_view text, LoadReport& report) {
  while (!text.empty()) {
    std::string_view pair = split_off(text, ';');
    const std::string_view name = split_off(pair, ':');
    const auto value = parse_number(pair);
    if (!value) return false;
    if (name == "util" || name == "load_share") report.cpu_utilisation = value;
    if (name == "inflight" || name == "concurrent") report.in_flight = value;
    if (name == "queue" || name == "depth") report.queued = value;
    if (name == "x0") report.memory_utilisation = value;
    if (name == "x1") report.disk_utilisation = value;
  }
  return true;
}

bool parse_fields(std::string_view text, EngineAnswer& answer) {
  if (text == "-") return true;
  while (!text.empty()) {
    std::string_view value = split_off(text, ',');
    const std::string_view name = split_off(value, '=');
    if (name == "rep") {
      if (!parse_report(value, answer.report)) return false;
    } else if (name == "count" || name == "pos") {
      const auto number = parse_count(value);
      if (!number) return false;
      (name == "count" ? answer.page_count : answer.page) = *number;
    } else if (name == "why") {
      answer.note_kind = value;
    } else if (name == "reading") {
      const auto number = parse_number(value);
      if (!number) return false;
      answer.note_value = *number;
    }
  }
  return true;
}

}  // namespace

std::string_view name_of(AnswerKind kind) {
  for (const auto& [name, known] : kAnswerKinds) {
    if (known == kind) return name;
  }
  return "?";
}

std::optional<RequestId> parse_request_id(std::string_view text) {
  RequestId id = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
  if (text.size() != 16 || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return id;
}

std::optional<double> parse_number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::optional<std::int64_t> parse_count(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value < 0) return std::nullopt;
  return value;
}

ParseStatus parse_answer(std::string_view bytes, EngineAnswer& answer, std::size_t& consumed) {
  const std::size_t end = bytes.substr(0, kMaxLineBytes).find(kLineEnd);
  if (end == std::string_view::npos)
    return bytes.size() >= kMaxLineBytes ? ParseStatus::kMalformed : ParseStatus::kIncomplete;
  std::string_view line = bytes.substr(0, end);
  answer = {};
  answer.id = split_off(line, ' ');
  const std::string_view word = split_off(line, ' ');
  const std::string_view fields = split_off(line, ' ');
  const auto length = parse_count(line);
  if (answer.id.empty() || !length || *length > kMaxBodyBytes) return ParseStatus::kMalformed;
  const auto* known = std::begin(kAnswerKinds);
  while (known != std::end(kAnswerKinds) && known->first != word) ++known;
  if (known == std::end(kAnswerKinds) || !parse_fields(fields, answer)) return ParseStatus::kMalformed;
  answer.kind = known->second;
  const std::size_t from = end + kLineEnd.size();
  const auto body = static_cast<std::size_t>(*length);
  if (bytes.size() < from + body + kLineEnd.size()) return ParseStatus::kIncomplete;
  if (bytes.substr(from + body, kLineEnd.size()) != kLineEnd) return ParseStatus::kMalformed;
  answer.body = bytes.substr(from, body);
  consumed = from + body + kLineEnd.size();
  return ParseStatus::kComplete;
}

bool has_only_whole_rows(std::string_view page) {
  constexpr int kTabsPerRow = 2;  // three columns
  int tabs = 0;
  for (const char c : page) {
    if (c == '\t') ++tabs;
    if (c != '\n') continue;
    if (tabs != kTabsPerRow) return false;
    tabs = 0;
  }
  return page.empty() || page.back() == '\n';
}

std::string serve_command_line(std::string_view name, std::string_view class_name, Micros time_left,
                               std::size_t statement_bytes) {
  const auto ttl_ms = std::max<std::int64_t>(1, time_left.count() / 1000);
  return "serve " + std::string(name) + " lane=" + std::string(class_name) +
         ",ttl=" + std::to_string(ttl_ms) + ' ' + std::to_string(statement_bytes) + "\r\n";
}

}  // namespace steprail
