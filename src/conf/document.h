// Syntax tree of the operator's configuration file: directives, their words and blocks in braces, each word
// with its position.
//
//   spool {                    # a block
//     memory 64m high 90%      # a directive and its words; text with blanks is written in "quotes"
//   }
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace steprail::conf {

struct Word {
  std::string text;
  std::size_t line{}, column{};  // both start at 1
};

struct Node {
  std::vector<Word> words;  // the first is the name of the directive or block
  bool is_block{false};
  std::vector<Node> children;
};

struct Diagnostic {
  std::size_t line{}, column{}, length{1};
  std::string message;
};

struct Document {
  std::string name;  // file name, for error messages
  std::vector<std::string> lines;
  std::vector<Node> nodes;
  std::vector<Diagnostic> diagnostics;  // syntax errors; lines without one are parsed nevertheless
};

Document parse(std::string name, std::string_view text);

// Formats the diagnostics sorted by position: file, line, column and message, then the source line with a
// caret below the word.
std::string render_diagnostics(const Document& document, std::vector<Diagnostic> diagnostics);

}  // namespace steprail::conf
