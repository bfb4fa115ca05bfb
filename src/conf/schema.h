// Schema of the operator's configuration file. Each subsystem registers its blocks and directives with unit,
// range, default and one line of help. The same registration validates a file, fills in the settings and
// generates the reference documentation.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "conf/document.h"

namespace steprail::conf {

// How a value is written and stored. kBytes: 64k, 8m, 2g (units are powers of 1024); kTime: 200ms, 30s, 5m or
// 1h, stored in microseconds; kPercent: 25%, stored as 0.25.
enum class ValueKind { kBytes, kTime, kPercent, kCount, kText, kPath, kAddress, kChoice };
using Value = std::variant<std::int64_t, double, std::string>;

struct Argument {
  std::string name;
  ValueKind kind{};
  double min{0}, max{0};  // in bytes, microseconds, fraction or count; no range check if equal
  std::vector<std::string> choices{};
};

class Directive {
 public:
  Directive(std::string name, std::string help) : name_(std::move(name)), help_(std::move(help)) {}
  Directive& bytes(std::string name, double min, double max) {
    return add({std::move(name), ValueKind::kBytes, min, max});
  }
  Directive& time(std::string name, double min_us, double max_us) {
    return add({std::move(name), ValueKind::kTime, min_us, max_us});
  }
  Directive& percent(std::string name, double min, double max) {
    return add({std::move(name), ValueKind::kPercent, min, max});
  }
  Directive& count(std::string name, double min, double max) {
    return add({std::move(name), ValueKind::kCount, min, max});
  }
  Directive& text(std::string name) { return add({std::move(name), ValueKind::kText}); }
  Directive& path(std::string name) { return add({std::move(name), ValueKind::kPath}); }
  Directive& address(std::string name) { return add({std::move(name), ValueKind::kAddress}); }
  Directive& choice(std::vector<std::string> words) {
    return add({"", ValueKind::kChoice, 0, 0, std::move(words)});
  }
  // Adds an optional `NAME value` pair that may follow the arguments; `argument` gives its name, kind and
  // range.
  Directive& option(Argument argument) {
    options_.push_back(std::move(argument));
    return *this;
  }
  Directive& default_value(std::string text) {
    default_value_ = std::move(text);
    return *this;
  }
  Directive& required() {
    required_ = true;
    return *this;
  }
  Directive& repeated() {
    repeated_ = true;
    return *this;
  }
  // One occurrence of the directive in the file: its argument values in order, and its options by name.
  struct Parsed {
    std::vector<Value> values;
    std::map<std::string, Value> options;
    std::size_t line{};
    std::int64_t integer(std::size_t index) const { return std::get<std::int64_t>(values.at(index)); }
    double real(std::size_t index) const { return std::get<double>(values.at(index)); }
    const std::string& text(std::size_t index) const { return std::get<std::string>(values.at(index)); }
    double option(const std::string& name, double default_value) const {
      const auto found = options.find(name);
      return found == options.end() ? default_value : std::get<double>(found->second);
    }
  };
  // Called for each valid occurrence. A text that it returns, unless empty, is reported as an error at the
  // first value.
  Directive& on_parsed(std::function<std::string(const Parsed&)> callback) {
    on_parsed_ = std::move(callback);
    return *this;
  }

 private:
  friend class Block;
  friend class Schema;
  Directive& add(Argument argument) {
    arguments_.push_back(std::move(argument));
    return *this;
  }
  std::string usage() const;
  std::string name_, help_, default_value_;
  std::vector<Argument> arguments_, options_;
  bool required_{false}, repeated_{false};
  std::function<std::string(const Parsed&)> on_parsed_;
};

class Block {
 public:
  Block(std::string name, std::string help) : name_(std::move(name)), help_(std::move(help)) {}
  Directive& directive(std::string name, std::string help) {
    return directives_.emplace_back(std::move(name), std::move(help));
  }
  // Called when the block is present in the file, before its directives are processed.
  Block& on_present(std::function<void()> callback) {
    on_present_ = std::move(callback);
    return *this;
  }
  // Allows any number of such blocks, each with a unique name: `route NAME { ... }`. The callback receives
  // the name and line of each; a text that it returns, unless empty, is reported as an error at the name.
  Block& named(std::function<std::string(const std::string&, std::size_t)> callback) {
    on_named_ = std::move(callback);
    return *this;
  }
  // A check across several directives, run only if the directives have no errors. It returns the error
  // message and the directive where the error is to be shown, or two empty strings.
  struct Violation {
    std::string directive, message;
  };
  Block& rule(std::function<Violation()> check) {
    rules_.push_back(std::move(check));
    return *this;
  }

 private:
  friend class Schema;
  std::string name_, help_;
  std::deque<Directive> directives_;
  std::function<void()> on_present_;
  std::function<std::string(const std::string&, std::size_t)> on_named_;
  std::vector<std::function<Violation()>> rules_;
};

class Schema {
 public:
  Block& block(std::string name, std::string help) {
    return blocks_.emplace_back(std::move(name), std::move(help));
  }
  // Validates the document and fills in the settings as directives are parsed. Returns all errors, including
  // the document's syntax errors.
  std::vector<Diagnostic> apply(const Document& document) const;
  // Reference text of the block or directive named `word`, or of everything if `word` is empty. Empty if
  // nothing has that name.
  std::string reference(const std::string& word = {}) const;

 private:
  std::deque<Block> blocks_;
};

// Suggestion for a misspelt `word`: the one of `words` with the smallest edit distance, or empty if none is
// close enough.
std::string nearest_word(const std::string& word, const std::vector<std::string>& words);

// Parses one value and checks its range. Returns nullopt and sets `error_text` if the text is not a valid
// value.
std::optional<Value> parse_value(const Argument& argument, const std::string& text, std::string& error_text);

}  // namespace steprail::conf
