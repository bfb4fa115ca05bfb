#include "conf/document.h"

#include <algorithm>
#include <tao/pegtl.hpp>

namespace steprail::conf {
namespace {

namespace pegtl = tao::pegtl;

// Each line is parsed on its own, so that a syntax error in one line does not affect the others.
namespace grammar {
using namespace pegtl;
struct blanks : star<blank> {};
struct comment : if_must<one<'#'>, until<eof>> {};
struct escaped_char : seq<one<'\\'>, one<'"', '\\'>> {};
struct plain_char : not_one<'"', '\\'> {};
struct quoted_text : star<sor<escaped_char, plain_char>> {};
struct quote_end : one<'"'> {};
struct quoted_word : if_must<one<'"'>, quoted_text, quote_end> {};
struct bare_word
    : plus<sor<ranges<'a', 'z', 'A', 'Z', '0', '9'>,
               one<'_', '-', '.', ':', '/', '%', '*', '+', ',', '=', '@', '[', ']', '~', '?', '!', '&'>,
               utf8::range<0x80, 0x10ffff>>> {};
struct block_open : one<'{'> {};
struct block_close : one<'}'> {};
struct words : plus<sor<quoted_word, bare_word>, blanks> {};
struct statement : seq<words, opt<block_open>> {};
struct line_end : eof {};
struct line : must<blanks, opt<sor<block_close, statement>>, blanks, opt<comment>, line_end> {};
}  // namespace grammar

template <typename Rule>
struct GrammarError {
  static constexpr const char* message = "cannot be read";
};
template <>
struct GrammarError<grammar::quote_end> {
  static constexpr const char* message =
      "quoted text does not end, or has a '\\' before a character other than '\"' and '\\'";
};
template <>
struct GrammarError<grammar::line_end> {
  static constexpr const char* message = "this character can stand in \"quotes\" only";
};
template <typename Rule>
struct Control : pegtl::normal<Rule> {
  template <typename Input, typename... States>
  [[noreturn]] static void raise(const Input& in, States&&...) {
    throw pegtl::parse_error(GrammarError<Rule>::message, in);
  }
};

struct ParsedLine {
  std::vector<Word> words;
  bool opens_block{false}, closes_block{false};
};

template <typename Rule>
struct Action : pegtl::nothing<Rule> {};
template <>
struct Action<grammar::bare_word> {
  template <typename In>
  static void apply(const In& in, ParsedLine& line) {
    line.words.push_back({in.string(), 0, in.position().column});
  }
};
template <>
struct Action<grammar::quoted_text> {
  template <typename In>
  static void apply(const In& in, ParsedLine& line) {
    std::string text;
    const std::string_view escaped = in.string_view();
    for (std::size_t i = 0; i < escaped.size(); ++i) {
      if (escaped[i] == '\\') ++i;
      text.push_back(escaped[i]);
    }
    line.words.push_back({std::move(text), 0, in.position().column});
  }
};
template <>
struct Action<grammar::block_open> {
  static void apply0(ParsedLine& line) { line.opens_block = true; }
};
template <>
struct Action<grammar::block_close> {
  static void apply0(ParsedLine& line) { line.closes_block = true; }
};

}  // namespace

Document parse(std::string name, std::string_view text) {
  Document document;
  document.name = std::move(name);
  struct OpenBlock {
    Node node;
    std::size_t line;
  };
  std::vector<OpenBlock> open_blocks;
  const auto append_node = [&](Node node) {
    (open_blocks.empty() ? document.nodes : open_blocks.back().node.children).push_back(std::move(node));
  };
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view raw = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (!raw.empty() && raw.back() == '\r') raw.remove_suffix(1);
    document.lines.emplace_back(raw);
    const std::size_t line_number = document.lines.size();
    ParsedLine line;
    try {
      pegtl::memory_input in(raw.data(), raw.data() + raw.size(), document.name);
      pegtl::parse<grammar::line, Action, Control>(in, line);
    } catch (const pegtl::parse_error& error) {
      document.diagnostics.push_back(
          {line_number, error.positions().front().column, 1, std::string(error.message())});
      continue;
    }
    for (Word& word : line.words) word.line = line_number;
    if (line.closes_block) {
      if (open_blocks.empty()) {
        document.diagnostics.push_back({line_number, raw.find('}') + 1, 1, "'}' closes no block"});
        continue;
      }
      Node node = std::move(open_blocks.back().node);
      open_blocks.pop_back();
      append_node(std::move(node));
    } else if (line.opens_block) {
      open_blocks.push_back({{std::move(line.words), true, {}}, line_number});
    } else if (!line.words.empty()) {
      append_node({std::move(line.words), false, {}});
    }
  }
  while (!open_blocks.empty()) {
    const Word& head = open_blocks.back().node.words.front();
    document.diagnostics.push_back({open_blocks.back().line, head.column, head.text.size(),
                                    "block '" + head.text + "' is not closed by a '}'"});
    Node node = std::move(open_blocks.back().node);
    open_blocks.pop_back();
    append_node(std::move(node));
  }
  return document;
}

std::string render_diagnostics(const Document& document, std::vector<Diagnostic> diagnostics) {
  std::stable_sort(diagnostics.begin(), diagnostics.end(), [](const Diagnostic& a, const Diagnostic& b) {
    return std::pair(a.line, a.column) < std::pair(b.line, b.column);
  });
  std::string out;
  for (const Diagnostic& diagnostic : diagnostics) {
    out += document.name + ':' + std::to_string(diagnostic.line) + ':' + std::to_string(diagnostic.column) +
           ": " + diagnostic.message + '\n';
    if (diagnostic.line == 0 || diagnostic.line > document.lines.size()) continue;
    const std::string& line = document.lines[diagnostic.line - 1];
    const std::size_t offset = std::min(diagnostic.column - 1, line.size());
    // Keep tabs, so that the caret is aligned with the word.
    std::string padding = line.substr(0, offset);
    for (char& c : padding) {
      if (c != '\t') c = ' ';
    }
    out += "  " + line + "\n  " + padding + '^' +
           std::string(std::max<std::size_t>(diagnostic.length, 1) - 1, '~') + '\n';
  }
  return out;
}

}  // namespace steprail::conf
