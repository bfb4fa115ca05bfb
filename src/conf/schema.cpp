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

// The largest unit that the value is a whole number of.
template <std::size_t N>
std::string with_unit(double value, const Unit (&units)[N]) {
  for (const Unit& unit : units) {
    const double count = value / unit.factor;
    if (value != 0 && count == std::floor(count))
      return std::to_string(static_cast<std::int64_t>(count)) + std::string(unit.name);
  }
  return std::to_string(static_cast<std::int64_t>(value)) +
         (value == 0 && N == 4 && units[0].factor == 3.6e9 ? "s" : "");
}

std::string show(const Argument& argument, double value) {
  switch (argument.kind) {
    case Kind::kBytes:
      return with_unit(value, kByteUnits);
    case Kind::kTime:
      return with_unit(value, kTimeUnits);
    case Kind::kPercent:
      return std::to_string(std::lround(value * 100)) + '%';
    default:
      return std::to_string(static_cast<std::int64_t>(value));
  }
}

std::string expected(Kind kind) {
  switch (kind) {
    case Kind::kBytes:
      return "a size such as 64k, 8m or 2g";
    case Kind::kTime:
      return "a time such as 200ms, 30s, 5m or 1h";
    case Kind::kPercent:
      return "a share such as 25%";
    case Kind::kCount:
      return "a whole number";
    case Kind::kAddress:
      return "an address such as 127.0.0.1:7070";
    case Kind::kPath:
      return "a path that begins with '/'";
    default:
      return "a word";
  }
}

template <std::size_t N>
std::optional<double> scaled(double number, std::string_view suffix, const Unit (&units)[N]) {
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
  const auto [at, error] = std::from_chars(text.data() + colon + 1, end, port);
  return error == std::errc{} && at == end && port <= 65535 &&
         text.find_first_not_of("0123456789.abcdefABCDEF:[]") == std::string::npos;
}

std::string join(const std::vector<std::string>& words, const char* between) {
  std::string out;
  for (const std::string& word : words) out += (out.empty() ? "" : between) + word;
  return out;
}

Fault at(const Word& word, std::string text) {
  return {word.line, word.column, word.text.size(), std::move(text)};
}

template <typename C>
std::string unknown(const std::string& what, const std::string& word, const C& known) {
  std::vector<std::string> names;
  for (const auto& one : known) names.push_back(one);
  const std::string near = nearest(word, names);
  return "'" + word + "' is no " + what + (near.empty() ? "" : "; did you mean '" + near + "'?");
}

}  // namespace

std::string nearest(const std::string& word, const std::vector<std::string>& words) {
  std::string best;
  std::size_t least = std::max<std::size_t>(2, word.size() / 3) + 1;
  for (const std::string& other : words) {
    std::vector<std::size_t> row(other.size() + 1);
    for (std::size_t j = 0; j < row.size(); ++j) row[j] = j;
    for (std::size_t i = 1; i <= word.size(); ++i) {
      std::size_t corner = std::exchange(row[0], i);
      for (std::size_t j = 1; j <= other.size(); ++j) {
        const std::size_t change = corner + (word[i - 1] != other[j - 1]);
        corner = std::exchange(row[j], std::min({row[j] + 1, row[j - 1] + 1, change}));
      }
    }
    if (row.back() < least) least = row.back(), best = other;
  }
  return best;
}

std::optional<Value> read_value(const Argument& argument, const std::string& text, std::string& fault) {
  const auto wrong = [&]() -> std::optional<Value> {
    fault = "'" + text + "' is not " + expected(argument.kind);
    return std::nullopt;
  };
  switch (argument.kind) {
    case Kind::kText:
      if (text.empty()) return fault = "empty text", std::nullopt;
      return Value(text);
    case Kind::kPath:
      if (text.empty() || text.front() != '/') return wrong();
      return Value(text);
    case Kind::kAddress:
      if (!is_address(text)) return wrong();
      return Value(text);
    case Kind::kChoice:
      if (std::find(argument.choices.begin(), argument.choices.end(), text) == argument.choices.end()) {
        fault = unknown("choice here (" + join(argument.choices, ", ") + ")", text, argument.choices);
        return std::nullopt;
      }
      return Value(text);
    default:
      break;
  }
  double number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number, std::chars_format::fixed);
  if (error != std::errc{} || number < 0 || !std::isfinite(number)) return wrong();
  const std::string_view suffix(stop, static_cast<std::size_t>(end - stop));
  std::optional<double> value;
  if (argument.kind == Kind::kBytes) value = scaled(number, suffix, kByteUnits);
  if (argument.kind == Kind::kTime) value = scaled(number, suffix, kTimeUnits);
  if (argument.kind == Kind::kPercent && suffix == "%") value = number / 100;
  if (argument.kind == Kind::kCount && suffix.empty() && number == std::floor(number)) value = number;
  if (!value) return wrong();
  if (argument.least != argument.most && (*value < argument.least || *value > argument.most)) {
    fault = "'" + text + "' is out of range: " + show(argument, argument.least) + " to " +
            show(argument, argument.most);
    return std::nullopt;
  }
  if (argument.kind == Kind::kPercent) return Value(*value);
  return Value(static_cast<std::int64_t>(*value));
}

std::vector<Fault> Schema::apply(const Document& document) const {
  std::vector<Fault> faults = document.faults;
  std::map<std::string, std::size_t> seen_blocks;
  for (const Node& node : document.nodes) {
    const Word& head = node.words.front();
    const auto block =
        std::find_if(blocks_.begin(), blocks_.end(), [&](const Block& b) { return b.name_ == head.text; });
    if (block == blocks_.end()) {
      std::vector<std::string> names;
      for (const Block& b : blocks_) names.push_back(b.name_);
      faults.push_back(at(head, unknown("block", head.text, names)));
      continue;
    }
    if (!node.block) {
      faults.push_back(at(head, "'" + head.text + "' is a block: its directives stand in { }"));
      continue;
    }
    const bool named = static_cast<bool>(block->named_);
    if (node.words.size() > (named ? 2u : 1u)) {
      faults.push_back(
          at(node.words[named ? 2 : 1],
             "'" + head.text + (named ? "' takes one name" : "' takes no words") + " before '{'"));
    }
    if (named && node.words.size() < 2) {
      faults.push_back(at(head, "'" + head.text + "' lacks a name: " + head.text + " NAME { ... }"));
      continue;
    }
    const std::string whole_name = named ? head.text + ' ' + node.words[1].text : head.text;
    const auto [before, fresh] = seen_blocks.try_emplace(whole_name, head.line);
    if (!fresh) {
      faults.push_back(at(
          head, "block '" + whole_name + "' stands in line " + std::to_string(before->second) + " already"));
      continue;
    }
    if (block->present_) block->present_();
    if (named) {
      const std::string wrong = block->named_(node.words[1].text, head.line);
      if (!wrong.empty()) faults.push_back(at(node.words[1], wrong));
    }
    const std::size_t before_faults = faults.size();
    std::map<std::string, Word> places;
    for (const Node& inner : node.inner) {
      const Word& word = inner.words.front();
      const auto found = std::find_if(block->directives_.begin(), block->directives_.end(),
                                      [&](const Directive& d) { return d.name_ == word.text; });
      if (found == block->directives_.end()) {
        std::vector<std::string> names;
        for (const Directive& d : block->directives_) names.push_back(d.name_);
        faults.push_back(at(word, unknown("directive of " + block->name_, word.text, names)));
        continue;
      }
      const Directive& directive = *found;
      if (inner.block) {
        faults.push_back(at(word, "'" + word.text + "' is no block"));
        continue;
      }
      const auto [earlier, first] = places.try_emplace(word.text, word);
      if (!first && !directive.repeated_) {
        faults.push_back(at(
            word, "'" + word.text + "' stands in line " + std::to_string(earlier->second.line) + " already"));
        continue;
      }
      Directive::Given given;
      given.line = word.line;
      bool good = true;
      std::string fault;
      std::size_t next = 1;
      for (const Argument& argument : directive.arguments_) {
        if (next >= inner.words.size()) {
          faults.push_back(at(word, "'" + word.text + "' lacks a value: " + directive.usage()));
          good = false;
          break;
        }
        const Word& value_word = inner.words[next++];
        auto value = read_value(argument, value_word.text, fault);
        if (!value) {
          faults.push_back(at(value_word, fault));
          good = false;
        } else {
          given.values.push_back(std::move(*value));
        }
      }
      while (good && next < inner.words.size()) {
        const Word& name = inner.words[next++];
        const auto option = std::find_if(directive.options_.begin(), directive.options_.end(),
                                         [&](const Argument& a) { return a.name == name.text; });
        if (option == directive.options_.end()) {
          std::vector<std::string> names;
          for (const Argument& a : directive.options_) names.push_back(a.name);
          faults.push_back(at(name, names.empty()
                                        ? "'" + word.text + "' ends before this: " + directive.usage()
                                        : unknown("word of " + directive.name_, name.text, names)));
          good = false;
        } else if (next >= inner.words.size()) {
          faults.push_back(at(name, "'" + name.text + "' lacks a value: " + directive.usage()));
          good = false;
        } else {
          auto value = read_value(*option, inner.words[next].text, fault);
          if (!value) {
            faults.push_back(at(inner.words[next], fault));
            good = false;
          } else if (!given.options.emplace(name.text, std::move(*value)).second) {
            faults.push_back(at(name, "'" + name.text + "' is given twice"));
            good = false;
          }
          ++next;
        }
      }
      if (!good || !directive.take_) continue;
      const std::string wrong = directive.take_(given);
      if (!wrong.empty()) faults.push_back(at(inner.words.size() > 1 ? inner.words[1] : word, wrong));
    }
    for (const Directive& directive : block->directives_) {
      if (directive.required_ && !places.contains(directive.name_))
        faults.push_back(at(head, "block '" + head.text + "' lacks '" + directive.usage() + "'"));
    }
    if (faults.size() > before_faults) continue;
    for (const auto& rule : block->rules_) {
      const Block::Wrong wrong = rule();
      if (wrong.text.empty()) continue;
      const auto place = places.find(wrong.directive);
      faults.push_back(at(place == places.end() ? head : place->second, wrong.text));
    }
  }
  return faults;
}

std::string Directive::usage() const {
  std::string out = name_;
  const auto show_one = [](const Argument& argument) {
    return argument.kind == Kind::kChoice ? join(argument.choices, "|") : argument.name;
  };
  for (const Argument& argument : arguments_) out += ' ' + show_one(argument);
  for (const Argument& argument : options_) out += " [" + argument.name + " VALUE]";
  return out;
}

std::string Schema::reference(const std::string& word) const {
  std::string out;
  for (const Block& block : blocks_) {
    const bool whole = word.empty() || word == block.name_;
    std::string inner;
    for (const Directive& directive : block.directives_) {
      if (!whole && word != directive.name_) continue;
      inner += "  " + directive.usage() + "\n      " + directive.help_ + '\n';
      std::string more;
      const auto describe = [&](const Argument& argument, const std::string& name) {
        if (argument.kind == Kind::kChoice) return;
        more += (more.empty() ? "" : "; ") + name + ": " + expected(argument.kind);
        if (argument.least != argument.most)
          more += ", " + show(argument, argument.least) + " to " + show(argument, argument.most);
      };
      for (const Argument& argument : directive.arguments_) describe(argument, argument.name);
      for (const Argument& argument : directive.options_) describe(argument, argument.name);
      if (!more.empty()) inner += "      " + more + ".\n";
      if (!directive.standard_.empty()) inner += "      Default: " + directive.standard_ + ".\n";
      if (directive.required_) inner += "      Required.\n";
      if (directive.repeated_) inner += "      May be repeated.\n";
    }
    if (!whole && inner.empty()) continue;
    out += block.name_ + (block.named_ ? " NAME" : "") + " { ... }\n    " + block.help_ + '\n' + inner;
  }
  return out;
}

}  // namespace steprail::conf
