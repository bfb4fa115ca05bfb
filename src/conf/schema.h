// What may stand in the operator's file: each subsystem registers its blocks and directives, with unit,
// range, default and one line of help. The same registration checks a file, fills settings in, and prints the
// reference.
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

// kBytes: 64k, 8m, 2g (of 1024); kTime: 200ms, 30s, 5m, 1h, in microseconds; kPercent: 25%, as 0.25 ...
enum class Kind { kBytes, kTime, kPercent, kCount, kText, kPath, kAddress, kChoice };
using Value = std::variant<std::int64_t, double, std::string>;

struct Argument {
  std::string name;
  Kind kind{};
  double least{0}, most{0};  // bytes, microseconds, share or count; equal: no range
  std::vector<std::string> choices{};
};

class Directive {
 public:
  Directive(std::string name, std::string help) : name_(std::move(name)), help_(std::move(help)) {}
  Directive& bytes(std::string name, double least, double most) {
    return add({std::move(name), Kind::kBytes, least, most});
  }
  Directive& time(std::string name, double least_us, double most_us) {
    return add({std::move(name), Kind::kTime, least_us, most_us});
  }
  Directive& percent(std::string name, double least, double most) {
    return add({std::move(name), Kind::kPercent, least, most});
  }
  Directive& count(std::string name, double least, double most) {
    return add({std::move(name), Kind::kCount, least, most});
  }
  Directive& text(std::string name) { return add({std::move(name), Kind::kText}); }
  Directive& path(std::string name) { return add({std::move(name), Kind::kPath}); }
  Directive& address(std::string name) { return add({std::move(name), Kind::kAddress}); }
  Directive& choice(std::vector<std::string> words) {
    return add({"", Kind::kChoice, 0, 0, std::move(words)});
  }
  // A pair `WORD value` that may follow the arguments; it has the kind of the last argument given here.
  Directive& option(Argument argument) {
    options_.push_back(std::move(argument));
    return *this;
  }
  Directive& standard(std::string text) {
    standard_ = std::move(text);
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
  // Where it stands in the file: the arguments in order, and the options given, by name. What it returns, if
  // anything, is wrong with the values.
  struct Given {
    std::vector<Value> values;
    std::map<std::string, Value> options;
    std::size_t line{};
    std::int64_t whole(std::size_t n) const { return std::get<std::int64_t>(values.at(n)); }
    double real(std::size_t n) const { return std::get<double>(values.at(n)); }
    const std::string& text(std::size_t n) const { return std::get<std::string>(values.at(n)); }
    double option(const std::string& name, double otherwise) const {
      const auto at = options.find(name);
      return at == options.end() ? otherwise : std::get<double>(at->second);
    }
  };
  Directive& take(std::function<std::string(const Given&)> into) {
    take_ = std::move(into);
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
  std::string name_, help_, standard_;
  std::vector<Argument> arguments_, options_;
  bool required_{false}, repeated_{false};
  std::function<std::string(const Given&)> take_;
};

class Block {
 public:
  Block(std::string name, std::string help) : name_(std::move(name)), help_(std::move(help)) {}
  Directive& directive(std::string name, std::string help) {
    return directives_.emplace_back(std::move(name), std::move(help));
  }
  // Called once where the block stands in the file, before its directives.
  Block& present(std::function<void()> then) {
    present_ = std::move(then);
    return *this;
  }
  // The block may stand any number of times, each under a name of its own: `route NAME { ... }`. Called for
  // each, with its name and line; what it returns, if anything, is wrong with the name.
  Block& named(std::function<std::string(const std::string&, std::size_t)> then) {
    named_ = std::move(then);
    return *this;
  }
  // A rule over several directives, held once all are read without a fault. It returns what is wrong and the
  // directive whose place is to be shown, or two empty texts.
  struct Wrong {
    std::string directive, text;
  };
  Block& rule(std::function<Wrong()> check) {
    rules_.push_back(std::move(check));
    return *this;
  }

 private:
  friend class Schema;
  std::string name_, help_;
  std::deque<Directive> directives_;
  std::function<void()> present_;
  std::function<std::string(const std::string&, std::size_t)> named_;
  std::vector<std::function<Wrong()>> rules_;
};

class Schema {
 public:
  Block& block(std::string name, std::string help) {
    return blocks_.emplace_back(std::move(name), std::move(help));
  }
  // All faults of the document, those of its grammar included; settings are filled in as they are read.
  std::vector<Fault> apply(const Document& document) const;
  // The reference: of everything, of a block or of a directive. Empty where there is no such word.
  std::string reference(const std::string& word = {}) const;

 private:
  std::deque<Block> blocks_;
};

// The one of `words` that is so near to `word` that it was likely meant; empty where none is.
std::string nearest(const std::string& word, const std::vector<std::string>& words);

// Reads one value; a text that begins with no digit of a value gives the fault in `fault`.
std::optional<Value> read_value(const Argument& argument, const std::string& text, std::string& fault);

}  // namespace steprail::conf
