#include "conf/document.h"

#include <algorithm>
#include <tao/pegtl.hpp>

namespace steprail::conf {
namespace {

namespace pegtl = tao::pegtl;

// A line by itself is a whole sentence of the grammar: a fault in one costs no other.
namespace grammar {
using namespace pegtl;
struct blanks : star<blank> {};
struct comment : if_must<one<'#'>, until<eof>> {};
struct escaped : seq<one<'\\'>, one<'"', '\\'>> {};
struct plain : not_one<'"', '\\'> {};
struct quoted_text : star<sor<escaped, plain>> {};
struct quote_end : one<'"'> {};
struct quoted : if_must<one<'"'>, quoted_text, quote_end> {};
struct bare
    : plus<sor<ranges<'a', 'z', 'A', 'Z', '0', '9'>,
               one<'_', '-', '.', ':', '/', '%', '*', '+', ',', '=', '@', '[', ']', '~', '?', '!', '&'>,
               utf8::range<0x80, 0x10ffff>>> {};
struct opening : one<'{'> {};
struct closing : one<'}'> {};
struct words : plus<sor<quoted, bare>, blanks> {};
struct statement : seq<words, opt<opening>> {};
struct line_end : eof {};
struct line : must<blanks, opt<sor<closing, statement>>, blanks, opt<comment>, line_end> {};
}  // namespace grammar

template <typename Rule>
struct Complaint {
  static constexpr const char* text = "cannot be read";
};
template <>
struct Complaint<grammar::quote_end> {
  static constexpr const char* text =
      "quoted text does not end, or holds a '\\' before another character than '\"' and '\\'";
};
template <>
struct Complaint<grammar::line_end> {
  static constexpr const char* text = "this character can stand in \"quotes\" only";
};
template <typename Rule>
struct Control : pegtl::normal<Rule> {
  template <typename Input, typename... States>
  [[noreturn]] static void raise(const Input& in, States&&...) {
    throw pegtl::parse_error(Complaint<Rule>::text, in);
  }
};

struct Line {
  std::vector<Word> words;
  bool opens{false}, closes{false};
};

template <typename Rule>
struct Action : pegtl::nothing<Rule> {};
template <>
struct Action<grammar::bare> {
  template <typename In>
  static void apply(const In& in, Line& line) {
    line.words.push_back({in.string(), 0, in.position().column});
  }
};
template <>
struct Action<grammar::quoted_text> {
  template <typename In>
  static void apply(const In& in, Line& line) {
    std::string text;
    const std::string_view from = in.string_view();
    for (std::size_t i = 0; i < from.size(); ++i) {
      if (from[i] == '\\') ++i;
      text.push_back(from[i]);
    }
    line.words.push_back({std::move(text), 0, in.position().column});
  }
};
template <>
struct Action<grammar::opening> {
  static void apply0(Line& line) { line.opens = true; }
};
template <>
struct Action<grammar::closing> {
  static void apply0(Line& line) { line.closes = true; }
};

}  // namespace

Document parse(std::string name, std::string_view text) {
  Document document;
  document.name = std::move(name);
  struct Open {
    Node node;
    std::size_t line;
  };
  std::vector<Open> open;
  const auto place = [&](Node node) {
    (open.empty() ? document.nodes : open.back().node.inner).push_back(std::move(node));
  };
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view raw = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (!raw.empty() && raw.back() == '\r') raw.remove_suffix(1);
    document.lines.emplace_back(raw);
    const std::size_t number = document.lines.size();
    Line line;
    try {
      pegtl::memory_input in(raw.data(), raw.data() + raw.size(), document.name);
      pegtl::parse<grammar::line, Action, Control>(in, line);
    } catch (const pegtl::parse_error& error) {
      document.faults.push_back({number, error.positions().front().column, 1, std::string(error.message())});
      continue;
    }
    for (Word& word : line.words) word.line = number;
    if (line.closes) {
      if (open.empty()) {
        document.faults.push_back({number, raw.find('}') + 1, 1, "'}' closes no block"});
        continue;
      }
      Node node = std::move(open.back().node);
      open.pop_back();
      place(std::move(node));
    } else if (line.opens) {
      open.push_back({{std::move(line.words), true, {}}, number});
    } else if (!line.words.empty()) {
      place({std::move(line.words), false, {}});
    }
  }
  while (!open.empty()) {
    const Word& head = open.back().node.words.front();
    document.faults.push_back({open.back().line, head.column, head.text.size(),
                               "block '" + head.text + "' is not closed by a '}'"});
    Node node = std::move(open.back().node);
    open.pop_back();
    place(std::move(node));
  }
  return document;
}

std::string render(const Document& document, std::vector<Fault> faults) {
  std::stable_sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) {
    return std::pair(a.line, a.column) < std::pair(b.line, b.column);
  });
  std::string out;
  for (const Fault& fault : faults) {
    out += document.name + ':' + std::to_string(fault.line) + ':' + std::to_string(fault.column) + ": " +
           fault.text + '\n';
    if (fault.line == 0 || fault.line > document.lines.size()) continue;
    const std::string& line = document.lines[fault.line - 1];
    const std::size_t at = std::min(fault.column - 1, line.size());
    // Tabs stay tabs, so that the caret stands below the word.
    std::string under = line.substr(0, at);
    for (char& c : under) {
      if (c != '\t') c = ' ';
    }
    out += "  " + line + "\n  " + under + '^' + std::string(std::max<std::size_t>(fault.length, 1) - 1, '~') +
           '\n';
  }
  return out;
}

}  // namespace steprail::conf
