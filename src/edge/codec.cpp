#include "edge/codec.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "base/utf8.h"

namespace steprail::edge {
namespace {

using nlohmann::json;
using FrameType = Frame::Type;

constexpr std::pair<const char*, FrameType> kFrameTypes[] = {
    {"hello", FrameType::kHello}, {"welcome", FrameType::kWelcome}, {"msg", FrameType::kMessage},
    {"ack", FrameType::kAck},     {"ping", FrameType::kPing},       {"pong", FrameType::kPong},
    {"later", FrameType::kLater}, {"moved", FrameType::kMoved},     {"error", FrameType::kError},
    {"bye", FrameType::kBye}};
constexpr std::pair<const char*, Body::Kind> kBodyKinds[] = {{"request", Body::Kind::kRequest},
                                                             {"interrupt", Body::Kind::kInterrupt},
                                                             {"answer", Body::Kind::kAnswer},
                                                             {"rows", Body::Kind::kRows},
                                                             {"notice", Body::Kind::kNotice}};
constexpr std::pair<const char*, Outcome::Status> kOutcomes[] = {{"served", Outcome::Status::kServed},
                                                                 {"refused", Outcome::Status::kRefused},
                                                                 {"failed", Outcome::Status::kFailed},
                                                                 {"unknown", Outcome::Status::kUnknown}};

// The beginning of a word of the input for an error text. The text may be sent back in JSON, which holds
// UTF-8 alone; words in CBOR need not be UTF-8, and such a word is not quoted.
std::string quoted(const std::string& word) {
  constexpr std::size_t kMaxQuotedBytes = 32;
  if (!is_utf8(word)) return ", which is no UTF-8";
  return " '" + std::string(utf8_prefix(word, kMaxQuotedBytes)) + "'";
}

template <typename T, std::size_t N>
const char* name_of(const std::pair<const char*, T> (&names)[N], T value) {
  for (const auto& [name, known] : names) {
    if (known == value) return name;
  }
  return "";
}
template <typename T, std::size_t N>
T value_of(const std::pair<const char*, T> (&names)[N], const std::string& text) {
  for (const auto& [name, known] : names) {
    if (text == name) return known;
  }
  throw std::invalid_argument("unknown word" + quoted(text));
}

// 64-bit numbers are written as hexadecimal text, as JSON readers may hold numbers as doubles.
std::string hex(std::uint64_t number) {
  char text[17];
  const auto end = std::to_chars(text, text + 16, number, 16);
  return {text, end.ptr};
}
std::uint64_t parse_hex(const std::string& text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
  if (error != std::errc{} || end != text.data() + text.size())
    throw std::invalid_argument("no hexadecimal number");
  return number;
}

// Rejects input before a document is built from it: deep nesting costs stack, and long containers memory.
class ShapeCheck : public nlohmann::json_sax<json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= kMaxNesting; }
  bool key(string_t&) override { return true; }
  bool end_object() override { return --depth_, true; }
  bool start_array(std::size_t size) override {
    return ++depth_ <= kMaxNesting && (size == static_cast<std::size_t>(-1) || size <= kMaxFrameBytes);
  }
  bool end_array() override { return --depth_, true; }
  bool parse_error(std::size_t, const std::string&, const json::exception&) override { return false; }

 private:
  int depth_{0};
};

json parse(std::string_view bytes, Format format) {
  ShapeCheck check;
  const auto kind = format == Format::kJson ? json::input_format_t::json : json::input_format_t::cbor;
  if (bytes.size() > kMaxFrameBytes || !json::sax_parse(bytes.begin(), bytes.end(), &check, kind))
    throw std::invalid_argument("unreadable, too long or nested too deep");
  return format == Format::kJson ? json::parse(bytes.begin(), bytes.end())
                                 : json::from_cbor(bytes.begin(), bytes.end());
}

std::string serialize(const json& value, Format format) {
  if (format == Format::kJson) return value.dump(-1, ' ', false, json::error_handler_t::strict);
  const auto bytes = json::to_cbor(value);
  return {bytes.begin(), bytes.end()};
}

std::string to_base64(std::string_view bytes) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const std::size_t remaining = std::min<std::size_t>(3, bytes.size() - i);
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j)
      group = group << 8 | (j < remaining ? static_cast<unsigned char>(bytes[i + j]) : 0);
    for (std::size_t j = 0; j < 4; ++j)
      out.push_back(j <= remaining ? digits[group >> (18 - 6 * j) & 63] : '=');
  }
  return out;
}
std::string from_base64(const std::string& text) {
  std::string out;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    int digit = -1;
    if (c >= 'A' && c <= 'Z') digit = c - 'A';
    if (c >= 'a' && c <= 'z') digit = c - 'a' + 26;
    if (c >= '0' && c <= '9') digit = c - '0' + 52;
    if (c == '+') digit = 62;
    if (c == '/') digit = 63;
    if (c == '=') break;
    if (digit < 0) throw std::invalid_argument("no base64");
    group = group << 6 | static_cast<std::uint32_t>(digit);
    bits += 6;
    if (bits >= 8) out.push_back(static_cast<char>(group >> (bits -= 8) & 0xff));
  }
  return out;
}

json body_to_json(const Body& body, Format format) {
  json out = {{"k", name_of(kBodyKinds, body.kind)}};
  if (body.kind != Body::Kind::kNotice) out["key"] = body.key;
  switch (body.kind) {
    case Body::Kind::kRequest:
      out["first"] = hex(body.first_incarnation);
      out["verb"] = body.verb;
      out["statement"] = body.statement;
      out["limit"] = body.limit_ms;
      if (body.cpu > 0) out["cpu"] = body.cpu;
      if (body.mem > 0) out["mem"] = body.mem;
      break;
    case Body::Kind::kAnswer:
      out["how"] = name_of(kOutcomes, body.outcome.status);
      out["again"] = body.outcome.retry_safe;
      if (body.outcome.retry_after.count() > 0) out["later"] = body.outcome.retry_after.count() / 1000;
      if (body.outcome.status == Outcome::Status::kServed)
        out["rows"] = body.outcome.rows, out["bytes"] = body.outcome.bytes;
      break;
    case Body::Kind::kRows:
      out["row"] = body.first_row;
      out["count"] = body.row_count;
      out["last"] = body.last;
      if (body.text) {
        // The rows are the engine's bytes, which need not be UTF-8: each format carries them in a way that
        // leaves them unchanged.
        if (format == Format::kCbor) {
          out["text"] = json::binary({body.text->begin(), body.text->end()});
        } else if (is_utf8(*body.text)) {
          out["text"] = *body.text;
        } else {
          out["base64"] = to_base64(*body.text);
        }
      }
      break;
    default:
      break;
  }
  if (!body.code.empty()) out["code"] = body.code;
  return out;
}

void body_from_json(const json& in, Body& body) {
  body.kind = value_of(kBodyKinds, in.at("k").get<std::string>());
  body.key = in.value("key", std::uint64_t{0});
  body.code = in.value("code", std::string());
  switch (body.kind) {
    case Body::Kind::kRequest:
      body.first_incarnation = parse_hex(in.at("first"));
      body.verb = in.at("verb");
      body.statement = in.at("statement");
      body.limit_ms = in.at("limit");
      body.cpu = in.value("cpu", 0.0);
      body.mem = in.value("mem", 0.0);
      break;
    case Body::Kind::kAnswer:
      body.outcome.status = value_of(kOutcomes, in.at("how").get<std::string>());
      body.outcome.retry_safe = in.at("again");
      body.outcome.retry_after = Micros{in.value("later", std::int64_t{0}) * 1000};
      body.outcome.rows = in.value("rows", std::uint64_t{0});
      body.outcome.bytes = in.value("bytes", std::uint64_t{0});
      break;
    case Body::Kind::kRows:
      body.first_row = in.at("row");
      body.row_count = in.at("count");
      body.last = in.at("last");
      if (in.contains("text")) {
        const json& text = in.at("text");
        body.text = text.is_binary() ? std::make_shared<const std::string>(text.get_binary().begin(),
                                                                           text.get_binary().end())
                                     : std::make_shared<const std::string>(text.get<std::string>());
      } else if (in.contains("base64")) {
        body.text = std::make_shared<const std::string>(from_base64(in.at("base64")));
      }
      break;
    default:
      break;
  }
}

json frame_to_json(const Frame& frame, Format format) {
  json out = {{"t", name_of(kFrameTypes, frame.type)}};
  switch (frame.type) {
    case FrameType::kHello:
      out.update({{"tenant", frame.tenant},
                  {"device", frame.device},
                  {"have", frame.next_expected},
                  {"deadline", frame.deadline_ms}});
      if (!frame.token.empty()) out["token"] = frame.token;
      break;
    case FrameType::kWelcome:
      out.update({{"token", frame.token},
                  {"incarnation", hex(frame.incarnation)},
                  {"have", frame.next_expected},
                  {"resumed", frame.resumed},
                  {"heartbeat", frame.heartbeat_ms}});
      break;
    case FrameType::kMessage:
      out.update(
          {{"seq", frame.seq}, {"have", frame.next_expected}, {"body", body_to_json(frame.body, format)}});
      break;
    case FrameType::kAck:
      out["have"] = frame.next_expected;
      break;
    case FrameType::kPing:
    case FrameType::kPong:
      out.update({{"nonce", hex(frame.nonce)}, {"have", frame.next_expected}});
      break;
    case FrameType::kLater:
      out["later"] = frame.retry_after_ms;
      break;
    case FrameType::kMoved:
      out["home"] = frame.home;
      break;
    case FrameType::kError:
      out.update({{"code", frame.code}, {"text", frame.text}, {"again", frame.retry_safe}});
      break;
    default:
      break;
  }
  return out;
}

void frame_from_json(const json& in, Frame& frame) {
  frame.type = value_of(kFrameTypes, in.at("t").get<std::string>());
  frame.next_expected = in.value("have", Seq{0});
  switch (frame.type) {
    case FrameType::kHello:
      frame.tenant = in.value("tenant", std::string());
      frame.device = in.at("device");
      frame.token = in.value("token", std::string());
      frame.deadline_ms = in.value("deadline", std::int64_t{60'000});
      break;
    case FrameType::kWelcome:
      frame.token = in.at("token");
      frame.incarnation = parse_hex(in.at("incarnation"));
      frame.resumed = in.at("resumed");
      frame.heartbeat_ms = in.at("heartbeat");
      break;
    case FrameType::kMessage:
      frame.seq = in.at("seq");
      in.at("have");
      body_from_json(in.at("body"), frame.body);
      break;
    case FrameType::kAck:
      in.at("have");
      break;
    case FrameType::kPing:
    case FrameType::kPong:
      frame.nonce = parse_hex(in.at("nonce"));
      break;
    case FrameType::kLater:
      frame.retry_after_ms = in.at("later");
      break;
    case FrameType::kMoved:
      frame.home = in.at("home");
      break;
    case FrameType::kError:
      frame.code = in.at("code");
      frame.text = in.at("text");
      frame.retry_safe = in.at("again");
      break;
    default:
      break;
  }
}

}  // namespace

std::string encode(const Frame& frame, Format format) {
  return serialize(frame_to_json(frame, format), format);
}

bool decode(std::string_view bytes, Format format, Frame& frame, std::string& reason) {
  try {
    frame = {};
    frame_from_json(parse(bytes, format), frame);
    return true;
  } catch (const std::exception& fault) {
    reason = fault.what();
    return false;
  }
}

std::string encode(const Envelope& envelope, Format format) {
  json frames = json::array();
  for (const Frame& frame : envelope.frames) frames.push_back(frame_to_json(frame, format));
  return serialize({{"link", envelope.link}, {"have", envelope.have}, {"frames", std::move(frames)}}, format);
}

bool decode(std::string_view bytes, Format format, Envelope& envelope, std::string& reason) {
  try {
    envelope = {};
    const json in = parse(bytes, format);
    envelope.link = in.value("link", std::string());
    envelope.have = in.value("have", Seq{0});
    if (in.contains("frames")) {
      for (const json& element : in.at("frames")) frame_from_json(element, envelope.frames.emplace_back());
    }
    return true;
  } catch (const std::exception& fault) {
    reason = fault.what();
    return false;
  }
}

}  // namespace steprail::edge
