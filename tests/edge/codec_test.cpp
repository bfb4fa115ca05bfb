// Properties of the edge's codec.
#include "edge/codec.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace {

using namespace steprail::edge;

// A character of one to four bytes.
rc::Gen<std::string> character() {
  return rc::gen::element<std::string>("a", "\"", "\\", "\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x8e\xb5");
}

Frame error_with(const std::string& text) {
  Frame frame;
  frame.type = Frame::Type::kError;
  frame.code = "unreadable";
  frame.text = text;
  return frame;
}

bool refuses(const std::string& bytes, Format format, std::string& reason) {
  Frame frame;
  return !decode(bytes, format, frame, reason);
}

std::string escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '"' || c == '\\') out.push_back('\\');
    out.push_back(c);
  }
  return out;
}

}  // namespace

// Guards against a reason that cannot be sent, whose exception would end the process.
TEST_CASE("edge codec: the reason for refusing a frame can be sent in either format, whatever it quotes") {
  rc::prop("words of whole characters, in JSON", [] {
    std::string word = "x";
    for (const std::string& part : *rc::gen::container<std::vector<std::string>>(character())) word += part;
    std::string reason;
    RC_ASSERT(refuses("{\"t\":\"" + escaped(word) + "\"}", Format::kJson, reason));
    RC_ASSERT(!encode(error_with(reason), Format::kJson).empty());
    RC_ASSERT(!encode(error_with(reason), Format::kCbor).empty());
  });
  rc::prop("words of any bytes, in CBOR", [] {
    const auto bytes =
        *rc::gen::container<std::string>(*rc::gen::inRange<std::size_t>(1, 100), rc::gen::arbitrary<char>());
    const std::string word = "x" + bytes;
    std::string reason;
    const std::string head = {'\xa1', '\x61', 't', '\x78', static_cast<char>(word.size())};
    RC_ASSERT(refuses(head + word, Format::kCbor, reason));
    RC_ASSERT(!encode(error_with(reason), Format::kJson).empty());
  });
  rc::prop("any bytes", [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    for (const Format format : {Format::kJson, Format::kCbor}) {
      std::string reason;
      if (refuses(bytes, format, reason)) RC_ASSERT(!encode(error_with(reason), Format::kJson).empty());
    }
  });
}
