#include "net/engine_line.h"

#include <charconv>
#include <cmath>

namespace steprail {
namespace {

constexpr std::size_t kLongestLine = 1024;
constexpr std::int64_t kLongestBody = 6000;  // of a page
constexpr std::string_view kEnd = "\r\n";

constexpr std::pair<std::string_view, Word> kWords[] = {
    {"ACK", Word::kAck},     {"AGAIN", Word::kAgain}, {"EIO", Word::kEio},     {"STALE", Word::kStale},
    {"EVENT", Word::kEvent}, {"BLOCK", Word::kBlock}, {"READY", Word::kReady}, {"AILING", Word::kAiling}};

// Cuts the text before the first `separator` off the front of `text`.
std::string_view cut(std::string_view& text, char separator) {
  const std::size_t at = text.find(separator);
  const std::string_view head = text.substr(0, at);
  text.remove_prefix(at == std::string_view::npos ? text.size() : at + 1);
  return head;
}

// A report's values under the sockets' names for them, or those of the settings.
bool read_report(std::string_view text, LoadReport& report) {
  while (!text.empty()) {
    std::string_view pair = cut(text, ';');
    const std::string_view name = cut(pair, ':');
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

bool read_fields(std::string_view text, EngineAnswer& answer) {
  if (text == "-") return true;
  while (!text.empty()) {
    std::string_view value = cut(text, ',');
    const std::string_view name = cut(value, '=');
    if (name == "rep") {
      if (!read_report(value, answer.report)) return false;
    } else if (name == "count" || name == "pos") {
      const auto number = parse_count(value);
      if (!number) return false;
      (name == "count" ? answer.count : answer.position) = *number;
    } else if (name == "why") {
      answer.why = value;
    } else if (name == "reading") {
      const auto number = parse_number(value);
      if (!number) return false;
      answer.reading = *number;
    }
  }
  return true;
}

}  // namespace

std::string_view name_of(Word word) {
  for (const auto& [name, known] : kWords) {
    if (known == word) return name;
  }
  return "?";
}

std::optional<RequestId> parse_id(std::string_view text) {
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

Parsed parse_answer(std::string_view bytes, EngineAnswer& answer, std::size_t& used) {
  const std::size_t end = bytes.substr(0, kLongestLine).find(kEnd);
  if (end == std::string_view::npos) return bytes.size() >= kLongestLine ? Parsed::kBad : Parsed::kMore;
  std::string_view line = bytes.substr(0, end);
  answer = {};
  answer.id = cut(line, ' ');
  const std::string_view word = cut(line, ' ');
  const std::string_view fields = cut(line, ' ');
  const auto length = parse_count(line);
  if (answer.id.empty() || !length || *length > kLongestBody) return Parsed::kBad;
  const auto* known = std::begin(kWords);
  while (known != std::end(kWords) && known->first != word) ++known;
  if (known == std::end(kWords) || !read_fields(fields, answer)) return Parsed::kBad;
  answer.word = known->second;
  const std::size_t from = end + kEnd.size();
  const auto body = static_cast<std::size_t>(*length);
  if (bytes.size() < from + body + kEnd.size()) return Parsed::kMore;
  if (bytes.substr(from + body, kEnd.size()) != kEnd) return Parsed::kBad;
  answer.body = bytes.substr(from, body);
  used = from + body + kEnd.size();
  return Parsed::kWhole;
}

bool whole_rows(std::string_view page) {
  constexpr int kTabs = 2;  // of three columns
  int tabs = 0;
  for (const char c : page) {
    if (c == '\t') ++tabs;
    if (c != '\n') continue;
    if (tabs != kTabs) return false;
    tabs = 0;
  }
  return page.empty() || page.back() == '\n';
}

std::string serve_command(const Dispatch& dispatch) {
  const Query& query = dispatch.query;
  const auto ttl = std::max<std::int64_t>(1, dispatch.patience.count() / 1000);
  std::string command = "serve " + query.name + " lane=" + query.class_name + ",ttl=" + std::to_string(ttl) +
                        ' ' + std::to_string(query.statement.size()) + "\r\n";
  return command.append(query.statement).append(kEnd);
}

}  // namespace steprail
