// The operator's file as it is written: directives, their words, and blocks in braces, each with its place.
//
//   spool {                    # a block
//     memory 64m high 90%      # a directive and its words; text with blanks stands in "quotes"
//   }
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace steprail::conf {

struct Word {
  std::string text;
  std::size_t line{}, column{};  // from 1
};

struct Node {
  std::vector<Word> words;  // the first names the directive or the block
  bool block{false};
  std::vector<Node> inner;
};

struct Fault {
  std::size_t line{}, column{}, length{1};
  std::string text;
};

struct Document {
  std::string name;  // of the file, for messages
  std::vector<std::string> lines;
  std::vector<Node> nodes;
  std::vector<Fault> faults;  // of the grammar; the lines without one are read all the same
};

Document parse(std::string name, std::string_view text);

// The faults in the order of their places: file, line, column, what is wrong, the line, and a caret under it.
std::string render(const Document& document, std::vector<Fault> faults);

}  // namespace steprail::conf
