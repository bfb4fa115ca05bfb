#include "edge/codec.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace steprail::edge {
namespace {

using nlohmann::json;
using Type = Frame::Type;

constexpr std::pair<const char*, Type> kTypes[] = {
    {"hello", Type::kHello}, {"welcome", Type::kWelcome}, {"msg", Type::kMessage}, {"ack", Type::kAck},
    {"ping", Type::kPing},   {"pong", Type::kPong},       {"later", Type::kLater}, {"moved", Type::kMoved},
    {"error", Type::kError}, {"bye", Type::kBye}};
constexpr std::pair<const char*, Body::Kind> kKinds[] = {{"request", Body::Kind::kRequest},
                                                         {"interrupt", Body::Kind::kInterrupt},
                                                         {"answer", Body::Kind::kAnswer},
                                                         {"rows", Body::Kind::kRows},
                                                         {"notice", Body::Kind::kNotice}};
constexpr std::pair<const char*, Outcome::Status> kHows[] = {{"served", Outcome::Status::kServed},
                                                             {"refused", Outcome::Status::kRefused},
                                                             {"failed", Outcome::Status::kFailed},
                                                             {"unknown", Outcome::Status::kUnknown}};

template <typename T, std::size_t N>
const char* word(const std::pair<const char*, T> (&words)[N], T value) {
  for (const auto& [text, of] : words) {
    if (of == value) return text;
  }
  return "";
}
template <typename T, std::size_t N>
T value(const std::pair<const char*, T> (&words)[N], const std::string& text) {
  for (const auto& [known, of] : words) {
    if (text == known) return of;
  }
  throw std::invalid_argument("unknown word '" + text.substr(0, 32) + "'");
}

// 64 bits do not fit into every reader's numbers: they go as hexadecimal text.
std::string hex(std::uint64_t number) {
  char text[17];
  const auto end = std::to_chars(text, text + 16, number, 16);
  return {text, end.ptr};
}
std::uint64_t unhex(const std::string& text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
  if (error != std::errc{} || end != text.data() + text.size())
    throw std::invalid_argument("no hexadecimal number");
  return number;
}

// Stops before a document is built: deep nesting costs stack, and long containers memory.
class Shape : public nlohmann::json_sax<json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= kNestingMost; }
  bool key(string_t&) override { return true; }
  bool end_object() override { return --depth_, true; }
  bool start_array(std::size_t size) override {
    return ++depth_ <= kNestingMost && (size == static_cast<std::size_t>(-1) || size <= kFrameMost);
  }
  bool end_array() override { return --depth_, true; }
  bool parse_error(std::size_t, const std::string&, const json::exception&) override { return false; }

 private:
  int depth_{0};
};

json parse(std::string_view bytes, Format format) {
  Shape shape;
  const auto kind = format == Format::kJson ? json::input_format_t::json : json::input_format_t::cbor;
  if (bytes.size() > kFrameMost || !json::sax_parse(bytes.begin(), bytes.end(), &shape, kind))
    throw std::invalid_argument("unreadable, too long or nested too deep");
  return format == Format::kJson ? json::parse(bytes.begin(), bytes.end())
                                 : json::from_cbor(bytes.begin(), bytes.end());
}

std::string write(const json& value, Format format) {
  if (format == Format::kJson) return value.dump(-1, ' ', false, json::error_handler_t::strict);
  const auto bytes = json::to_cbor(value);
  return {bytes.begin(), bytes.end()};
}

std::string base64(std::string_view bytes) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const std::size_t left = std::min<std::size_t>(3, bytes.size() - i);
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j)
      group = group << 8 | (j < left ? static_cast<unsigned char>(bytes[i + j]) : 0);
    for (std::size_t j = 0; j < 4; ++j) out.push_back(j <= left ? digits[group >> (18 - 6 * j) & 63] : '=');
  }
  return out;
}
std::string unbase64(const std::string& text) {
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

bool is_utf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto c = static_cast<unsigned char>(text[i]);
    const std::size_t more = c < 0x80                ? 0
                             : c >= 0xc2 && c < 0xe0 ? 1
                             : (c & 0xf0) == 0xe0    ? 2
                             : c >= 0xf0 && c < 0xf5 ? 3
                                                     : 9;
    if (more == 9 || i + more >= text.size() + 0u) {
      if (more == 9 || i + more > text.size() - 1) return false;
    }
    std::uint32_t point = more == 0 ? c : c & (0x3f >> more);
    for (std::size_t j = 1; j <= more; ++j) {
      const auto next = static_cast<unsigned char>(text[i + j]);
      if ((next & 0xc0) != 0x80) return false;
      point = point << 6 | (next & 0x3f);
    }
    if ((more == 2 && (point < 0x800 || (point >= 0xd800 && point < 0xe000))) ||
        (more == 3 && (point < 0x10000 || point > 0x10ffff)))
      return false;
    i += more + 1;
  }
  return true;
}

json body_to(const Body& b, Format format) {
  json out = {{"k", word(kKinds, b.kind)}};
  if (b.kind != Body::Kind::kNotice) out["key"] = b.key;
  switch (b.kind) {
    case Body::Kind::kRequest:
      out["first"] = hex(b.first_incarnation);
      out["verb"] = b.verb;
      out["statement"] = b.statement;
      out["limit"] = b.limit_ms;
      if (b.cpu > 0) out["cpu"] = b.cpu;
      if (b.mem > 0) out["mem"] = b.mem;
      break;
    case Body::Kind::kAnswer:
      out["how"] = word(kHows, b.outcome.status);
      out["again"] = b.outcome.retry_safe;
      if (b.outcome.retry_after.count() > 0) out["later"] = b.outcome.retry_after.count() / 1000;
      if (b.outcome.status == Outcome::Status::kServed)
        out["rows"] = b.outcome.rows, out["bytes"] = b.outcome.bytes;
      break;
    case Body::Kind::kRows:
      out["row"] = b.first_row;
      out["count"] = b.row_count;
      out["last"] = b.last;
      if (b.text) {
        // The rows' bytes are the engine's: where they are no text, they go as they can without being
        // changed.
        if (format == Format::kCbor) {
          out["text"] = json::binary({b.text->begin(), b.text->end()});
        } else if (is_utf8(*b.text)) {
          out["text"] = *b.text;
        } else {
          out["base64"] = base64(*b.text);
        }
      }
      break;
    default:
      break;
  }
  if (!b.code.empty()) out["code"] = b.code;
  return out;
}

void body_from(const json& in, Body& b) {
  b.kind = value(kKinds, in.at("k").get<std::string>());
  b.key = in.value("key", std::uint64_t{0});
  b.code = in.value("code", std::string());
  switch (b.kind) {
    case Body::Kind::kRequest:
      b.first_incarnation = unhex(in.at("first"));
      b.verb = in.at("verb");
      b.statement = in.at("statement");
      b.limit_ms = in.at("limit");
      b.cpu = in.value("cpu", 0.0);
      b.mem = in.value("mem", 0.0);
      break;
    case Body::Kind::kAnswer:
      b.outcome.status = value(kHows, in.at("how").get<std::string>());
      b.outcome.retry_safe = in.at("again");
      b.outcome.retry_after = Micros{in.value("later", std::int64_t{0}) * 1000};
      b.outcome.rows = in.value("rows", std::uint64_t{0});
      b.outcome.bytes = in.value("bytes", std::uint64_t{0});
      break;
    case Body::Kind::kRows:
      b.first_row = in.at("row");
      b.row_count = in.at("count");
      b.last = in.at("last");
      if (in.contains("text")) {
        const json& text = in.at("text");
        b.text = text.is_binary()
                     ? std::make_shared<const std::string>(text.get_binary().begin(), text.get_binary().end())
                     : std::make_shared<const std::string>(text.get<std::string>());
      } else if (in.contains("base64")) {
        b.text = std::make_shared<const std::string>(unbase64(in.at("base64")));
      }
      break;
    default:
      break;
  }
}

json frame_to(const Frame& f, Format format) {
  json out = {{"t", word(kTypes, f.type)}};
  switch (f.type) {
    case Type::kHello:
      out.update({{"tenant", f.tenant},
                  {"device", f.device},
                  {"have", f.next_expected},
                  {"deadline", f.deadline_ms}});
      if (!f.token.empty()) out["token"] = f.token;
      break;
    case Type::kWelcome:
      out.update({{"token", f.token},
                  {"incarnation", hex(f.incarnation)},
                  {"have", f.next_expected},
                  {"resumed", f.resumed},
                  {"heartbeat", f.heartbeat_ms}});
      break;
    case Type::kMessage:
      out.update({{"seq", f.seq}, {"have", f.next_expected}, {"body", body_to(f.body, format)}});
      break;
    case Type::kAck:
      out["have"] = f.next_expected;
      break;
    case Type::kPing:
    case Type::kPong:
      out.update({{"nonce", hex(f.nonce)}, {"have", f.next_expected}});
      break;
    case Type::kLater:
      out["later"] = f.retry_after_ms;
      break;
    case Type::kMoved:
      out["home"] = f.home;
      break;
    case Type::kError:
      out.update({{"code", f.code}, {"text", f.text}, {"again", f.retry_safe}});
      break;
    default:
      break;
  }
  return out;
}

void frame_from(const json& in, Frame& f) {
  f.type = value(kTypes, in.at("t").get<std::string>());
  f.next_expected = in.value("have", Seq{0});
  switch (f.type) {
    case Type::kHello:
      f.tenant = in.value("tenant", std::string());
      f.device = in.at("device");
      f.token = in.value("token", std::string());
      f.deadline_ms = in.value("deadline", std::int64_t{60'000});
      break;
    case Type::kWelcome:
      f.token = in.at("token");
      f.incarnation = unhex(in.at("incarnation"));
      f.resumed = in.at("resumed");
      f.heartbeat_ms = in.at("heartbeat");
      break;
    case Type::kMessage:
      f.seq = in.at("seq");
      in.at("have");
      body_from(in.at("body"), f.body);
      break;
    case Type::kAck:
      in.at("have");
      break;
    case Type::kPing:
    case Type::kPong:
      f.nonce = unhex(in.at("nonce"));
      break;
    case Type::kLater:
      f.retry_after_ms = in.at("later");
      break;
    case Type::kMoved:
      f.home = in.at("home");
      break;
    case Type::kError:
      f.code = in.at("code");
      f.text = in.at("text");
      f.retry_safe = in.at("again");
      break;
    default:
      break;
  }
}

}  // namespace

std::string encode(const Frame& frame, Format format) { return write(frame_to(frame, format), format); }

bool decode(std::string_view bytes, Format format, Frame& frame, std::string& why) {
  try {
    frame = {};
    frame_from(parse(bytes, format), frame);
    return true;
  } catch (const std::exception& fault) {
    why = fault.what();
    return false;
  }
}

std::string encode(const Envelope& envelope, Format format) {
  json frames = json::array();
  for (const Frame& frame : envelope.frames) frames.push_back(frame_to(frame, format));
  return write({{"link", envelope.link}, {"have", envelope.have}, {"frames", std::move(frames)}}, format);
}

bool decode(std::string_view bytes, Format format, Envelope& envelope, std::string& why) {
  try {
    envelope = {};
    const json in = parse(bytes, format);
    envelope.link = in.value("link", std::string());
    envelope.have = in.value("have", Seq{0});
    if (in.contains("frames")) {
      for (const json& one : in.at("frames")) frame_from(one, envelope.frames.emplace_back());
    }
    return true;
  } catch (const std::exception& fault) {
    why = fault.what();
    return false;
  }
}

}  // namespace steprail::edge
