#include "conf/schema.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

namespace steprail::conf {
namespace {

struct Unit {
  std::string_view name;
  double factor;
};
constexpr Unit kByteUnits[] = {{"g", 1024.0 * 1024 * 1024}, {"m", 1024.0 * 1024}, {"k", 1024.0}, {"", 1}};
constexpr Unit kTimeUnits[] = {{"h", 3.6e9}, {"m", 6e7}, {"s", 1e6}, {"ms", 1e3}};

// Uses the largest unit of which the value is a whole multiple.
template <std::size_t N>
std::string format_with_unit(double value, const Unit (&units)[N]) {
  for (const Unit& unit : units) {
    const double count = value / unit.factor;
    if (value != 0 && count == std::floor(count))
      return std::to_string(static_cast<std::int64_t>(count)) + std::string(unit.name);
  }
  return std::to_string(static_cast<std::int64_t>(value)) +
         (value == 0 && N == 4 && units[0].factor == 3.6e9 ? "s" : "");
}

std::string format_value(const Argument& argument, double value) {
  switch (argument.kind) {
    case ValueKind::kBytes:
      return format_with_unit(value, kByteUnits);
    case ValueKind::kTime:
      return format_with_unit(value, kTimeUnits);
    case ValueKind::kPercent:
      return std::to_string(std::lround(value * 100)) + '%';
    default:
      return std::to_string(static_cast<std::int64_t>(value));
  }
}

std::string expected_form(ValueKind kind) {
  switch (kind) {
    case ValueKind::kBytes:
      return "a size such as 64k, 8m or 2g";
    case ValueKind::kTime:
      return "a time such as 200ms, 30s, 5m or 1h";
    case ValueKind::kPercent:
      return "a share such as 25%";
    case ValueKind::kCount:
      return "a whole number";
    case ValueKind::kAddress:
      return "an address such as 127.0.0.1:7070";
    case ValueKind::kPath:
      return "a path that begins with '/'";
    default:
      return "a word";
  }
}

template <std::size_t N>
std::optional<double> scale_by_unit(double number, std::string_view suffix, const Unit (&units)[N]) {
  for (const Unit& unit : units) {
    if (unit.name == suffix) return number * unit.factor;
  }
  return std::nullopt;
}

bool is_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto [port_end, error] = std::from_chars(text.data() + colon + 1, end, port);
  return error == std::errc{} && port_end == end && port <= 65535 &&
         text.find_first_not_of("0123456789.abcdefABCDEF:[]") == std::string::npos;
}

std::string join(const std::vector<std::string>& words, const char* separator) {
  std::string out;
  for (const std::string& word : words) out += (out.empty() ? "" : separator) + word;
  return out;
}

Diagnostic diagnostic_at(const Word& word, std::string message) {
  return {word.line, word.column, word.text.size(), std::move(message)};
}

template <typename C>
std::string unknown_name(const std::string& what, const std::string& word, const C& known) {
  std::vector<std::string> names;
  for (const auto& name : known) names.push_back(name);
  const std::string suggestion = nearest_word(word, names);
  return "'" + word + "' is no " + what + (suggestion.empty() ? "" : "; did you mean '" + suggestion + "'?");
}

}  // namespace

std::string nearest_word(const std::string& word, const std::vector<std::string>& words) {
  std::string best;
  std::size_t best_distance = std::max<std::size_t>(2, word.size() / 3) + 1;
  for (const std::string& candidate : words) {
    std::vector<std::size_t> distances(candidate.size() + 1);
    for (std::size_t j = 0; j < distances.size(); ++j) distances[j] = j;
    for (std::size_t i = 1; i <= word.size(); ++i) {
      std::size_t diagonal = std::exchange(distances[0], i);
      for (std::size_t j = 1; j <= candidate.size(); ++j) {
        const std::size_t substitution = diagonal + (word[i - 1] != candidate[j - 1]);
        diagonal =
            std::exchange(distances[j], std::min({distances[j] + 1, distances[j - 1] + 1, substitution}));
      }
    }
    if (distances.back() < best_distance) best_distance = distances.back(), best = candidate;
  }
  return best;
}

std::optional<Value> parse_value(const Argument& argument, const std::string& text, std::string& error_text) {
  const auto wrong_form = [&]() -> std::optional<Value> {
    error_text = "'" + text + "' is not " + expected_form(argument.kind);
    return std::nullopt;
  };
  switch (argument.kind) {
    case ValueKind::kText:
      if (text.empty()) return error_text = "empty text", std::nullopt;
      return Value(text);
    case ValueKind::kPath:
      if (text.empty() || text.front() != '/') return wrong_form();
      return Value(text);
    case ValueKind::kAddress:
      if (!is_address(text)) return wrong_form();
      return Value(text);
    case ValueKind::kChoice:
      if (std::find(argument.choices.begin(), argument.choices.end(), text) == argument.choices.end()) {
        error_text =
            unknown_name("choice here (" + join(argument.choices, ", ") + ")", text, argument.choices);
        return std::nullopt;
      }
      return Value(text);
    default:
      break;
  }
  double number = 0;
  const char* end = text.data() + text.size();
  const auto [number_end, error] = std::from_chars(text.data(), end, number, std::chars_format::fixed);
  if (error != std::errc{} || number < 0 || !std::isfinite(number)) return wrong_form();
  const std::string_view suffix(number_end, static_cast<std::size_t>(end - number_end));
  std::optional<double> value;
  if (argument.kind == ValueKind::kBytes) value = scale_by_unit(number, suffix, kByteUnits);
  if (argument.kind == ValueKind::kTime) value = scale_by_unit(number, suffix, kTimeUnits);
  if (argument.kind == ValueKind::kPercent && suffix == "%") value = number / 100;
  if (argument.kind == ValueKind::kCount && suffix.empty() && number == std::floor(number)) value = number;
  if (!value) return wrong_form();
  if (argument.min != argument.max && (*value < argument.min || *value > argument.max)) {
    error_text = "'" + text + "' is out of range: " + format_value(argument, argument.min) + " to " +
                 format_value(argument, argument.max);
    return std::nullopt;
  }
  if (argument.kind == ValueKind::kPercent) return Value(*value);
  return Value(static_cast<std::int64_t>(*value));
}

std::vector<Diagnostic> Schema::apply(const Document& document) const {
  std::vector<Diagnostic> diagnostics = document.diagnostics;
  std::map<std::string, std::size_t> block_lines;
  for (const Node& node : document.nodes) {
    const Word& head = node.words.front();
    const auto block =
        std::find_if(blocks_.begin(), blocks_.end(), [&](const Block& b) { return b.name_ == head.text; });
    if (block == blocks_.end()) {
      std::vector<std::string> names;
      for (const Block& b : blocks_) names.push_back(b.name_);
      diagnostics.push_back(diagnostic_at(head, unknown_name("block", head.text, names)));
      continue;
    }
    if (!node.is_block) {
      diagnostics.push_back(diagnostic_at(head, "'" + head.text + "' is a block; put its directives in { }"));
      continue;
    }
    const bool named = static_cast<bool>(block->on_named_);
    if (node.words.size() > (named ? 2u : 1u)) {
      diagnostics.push_back(diagnostic_at(
          node.words[named ? 2 : 1],
          "'" + head.text + (named ? "' takes one name" : "' takes no arguments") + " before '{'"));
    }
    if (named && node.words.size() < 2) {
      diagnostics.push_back(
          diagnostic_at(head, "'" + head.text + "' needs a name: " + head.text + " NAME { ... }"));
      continue;
    }
    const std::string full_name = named ? head.text + ' ' + node.words[1].text : head.text;
    const auto [first_block, is_new] = block_lines.try_emplace(full_name, head.line);
    if (!is_new) {
      diagnostics.push_back(diagnostic_at(head, "block '" + full_name + "' stands in line " +
                                                    std::to_string(first_block->second) + " already"));
      continue;
    }
    if (block->on_present_) block->on_present_();
    if (named) {
      const std::string violation = block->on_named_(node.words[1].text, head.line);
      if (!violation.empty()) diagnostics.push_back(diagnostic_at(node.words[1], violation));
    }
    const std::size_t diagnostics_before = diagnostics.size();
    std::map<std::string, Word> directive_words;
    for (const Node& child : node.children) {
      const Word& word = child.words.front();
      const auto found = std::find_if(block->directives_.begin(), block->directives_.end(),
                                      [&](const Directive& d) { return d.name_ == word.text; });
      if (found == block->directives_.end()) {
        std::vector<std::string> names;
        for (const Directive& d : block->directives_) names.push_back(d.name_);
        diagnostics.push_back(
            diagnostic_at(word, unknown_name("directive of " + block->name_, word.text, names)));
        continue;
      }
      const Directive& directive = *found;
      if (child.is_block) {
        diagnostics.push_back(diagnostic_at(word, "'" + word.text + "' is no block"));
        continue;
      }
      const auto [first_use, is_first] = directive_words.try_emplace(word.text, word);
      if (!is_first && !directive.repeated_) {
        diagnostics.push_back(diagnostic_at(word, "'" + word.text + "' stands in line " +
                                                      std::to_string(first_use->second.line) + " already"));
        continue;
      }
      Directive::Parsed parsed;
      parsed.line = word.line;
      bool valid = true;
      std::string error_text;
      std::size_t next_word = 1;
      for (const Argument& argument : directive.arguments_) {
        if (next_word >= child.words.size()) {
          diagnostics.push_back(
              diagnostic_at(word, "'" + word.text + "' needs a value: " + directive.usage()));
          valid = false;
          break;
        }
        const Word& value_word = child.words[next_word++];
        auto value = parse_value(argument, value_word.text, error_text);
        if (!value) {
          diagnostics.push_back(diagnostic_at(value_word, error_text));
          valid = false;
        } else {
          parsed.values.push_back(std::move(*value));
        }
      }
      while (valid && next_word < child.words.size()) {
        const Word& name = child.words[next_word++];
        const auto option = std::find_if(directive.options_.begin(), directive.options_.end(),
                                         [&](const Argument& a) { return a.name == name.text; });
        if (option == directive.options_.end()) {
          std::vector<std::string> names;
          for (const Argument& a : directive.options_) names.push_back(a.name);
          diagnostics.push_back(diagnostic_at(
              name, names.empty() ? "'" + word.text + "' ends before this: " + directive.usage()
                                  : unknown_name("word of " + directive.name_, name.text, names)));
          valid = false;
        } else if (next_word >= child.words.size()) {
          diagnostics.push_back(
              diagnostic_at(name, "'" + name.text + "' needs a value: " + directive.usage()));
          valid = false;
        } else {
          auto value = parse_value(*option, child.words[next_word].text, error_text);
          if (!value) {
            diagnostics.push_back(diagnostic_at(child.words[next_word], error_text));
            valid = false;
          } else if (!parsed.options.emplace(name.text, std::move(*value)).second) {
            diagnostics.push_back(diagnostic_at(name, "'" + name.text + "' is given twice"));
            valid = false;
          }
          ++next_word;
        }
      }
      if (!valid || !directive.on_parsed_) continue;
      const std::string violation = directive.on_parsed_(parsed);
      if (!violation.empty())
        diagnostics.push_back(diagnostic_at(child.words.size() > 1 ? child.words[1] : word, violation));
    }
    for (const Directive& directive : block->directives_) {
      if (directive.required_ && !directive_words.contains(directive.name_))
        diagnostics.push_back(
            diagnostic_at(head, "block '" + head.text + "' lacks '" + directive.usage() + "'"));
    }
    if (diagnostics.size() > diagnostics_before) continue;
    for (const auto& rule : block->rules_) {
      const Block::Violation violation = rule();
      if (violation.message.empty()) continue;
      const auto position = directive_words.find(violation.directive);
      diagnostics.push_back(
          diagnostic_at(position == directive_words.end() ? head : position->second, violation.message));
    }
  }
  return diagnostics;
}

std::string Directive::usage() const {
  std::string out = name_;
  const auto placeholder = [](const Argument& argument) {
    return argument.kind == ValueKind::kChoice ? join(argument.choices, "|") : argument.name;
  };
  for (const Argument& argument : arguments_) out += ' ' + placeholder(argument);
  for (const Argument& argument : options_) out += " [" + argument.name + " VALUE]";
  return out;
}

std::string Schema::reference(const std::string& word) const {
  std::string out;
  for (const Block& block : blocks_) {
    const bool whole_block = word.empty() || word == block.name_;
    std::string directives_text;
    for (const Directive& directive : block.directives_) {
      if (!whole_block && word != directive.name_) continue;
      directives_text += "  " + directive.usage() + "\n      " + directive.help_ + '\n';
      std::string forms;
      const auto describe = [&](const Argument& argument, const std::string& name) {
        if (argument.kind == ValueKind::kChoice) return;
        forms += (forms.empty() ? "" : "; ") + name + ": " + expected_form(argument.kind);
        if (argument.min != argument.max)
          forms +=
              ", " + format_value(argument, argument.min) + " to " + format_value(argument, argument.max);
      };
      for (const Argument& argument : directive.arguments_) describe(argument, argument.name);
      for (const Argument& argument : directive.options_) describe(argument, argument.name);
      if (!forms.empty()) directives_text += "      " + forms + ".\n";
      if (!directive.default_value_.empty())
        directives_text += "      Default: " + directive.default_value_ + ".\n";
      if (directive.required_) directives_text += "      Required.\n";
      if (directive.repeated_) directives_text += "      May be repeated.\n";
    }
    if (!whole_block && directives_text.empty()) continue;
    out += block.name_ + (block.on_named_ ? " NAME" : "") + " { ... }\n    " + block.help_ + '\n' +
           directives_text;
  }
  return out;
}

}  // namespace steprail::conf
