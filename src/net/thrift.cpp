#include "net/thrift.h"

namespace thrift {
namespace {

constexpr std::uint32_t kVersion = 0x80010000, kVersionMask = 0xffff0000;
constexpr int kMaxSkipDepth = 16;  // of nested structs and containers that are skipped

class Writer {
 public:
  explicit Writer(std::size_t trailing_bytes = 0) : trailing_bytes_(trailing_bytes) {
    out_.assign(kFrameHeaderBytes, '\0');
  }
  Writer& number(std::uint64_t value, int bytes) {
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
      out_.push_back(static_cast<char>(value >> shift));
    return *this;
  }
  Writer& text(std::string_view text) {
    number(text.size(), 4);
    out_.append(text);
    return *this;
  }
  Writer& field(Type type, int id) {
    return number(static_cast<unsigned>(type), 1).number(static_cast<unsigned>(id), 2);
  }
  Writer& stop() { return number(0, 1); }
  Writer& map(const OwnedFields& fields) {
    number(11, 1).number(11, 1).number(fields.size(), 4);
    for (const auto& [name, value] : fields) text(name).text(value);
    return *this;
  }
  Writer& message_head(Kind kind, std::string_view method, std::int32_t call) {
    return number(kVersion | static_cast<unsigned>(kind), 4)
        .text(method)
        .number(static_cast<std::uint32_t>(call), 4);
  }
  std::string frame() {
    const std::size_t length = out_.size() - kFrameHeaderBytes + trailing_bytes_;
    for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) out_[i] = static_cast<char>(length >> (24 - 8 * i));
    return std::move(out_);
  }

 private:
  std::string out_;
  std::size_t trailing_bytes_;
};

// Bytes of an Answer after its body: the map of fields, `good`, and the stop bytes of both structs.
std::size_t reply_tail_bytes(const OwnedFields& fields) {
  std::size_t bytes = 3 + 6 + 4 + 2;
  for (const auto& [name, value] : fields) bytes += 8 + name.size() + value.size();
  return bytes;
}

}  // namespace

std::int64_t frame_length(std::string_view head) {
  Reader reader(head);
  const std::int32_t length = reader.i32();
  return reader.good() && length > 0 ? length : -1;
}

std::string_view Reader::take(std::size_t count) {
  if (!good_ || count > remaining_.size()) {
    good_ = false;
    return {};
  }
  const std::string_view result = remaining_.substr(0, count);
  remaining_.remove_prefix(count);
  return result;
}

std::uint64_t Reader::number(std::size_t bytes) {
  std::uint64_t value = 0;
  for (const char c : take(bytes)) value = value << 8 | static_cast<unsigned char>(c);
  return value;
}

std::uint8_t Reader::u8() { return static_cast<std::uint8_t>(number(1)); }
std::int16_t Reader::i16() { return static_cast<std::int16_t>(number(2)); }
std::int32_t Reader::i32() { return static_cast<std::int32_t>(number(4)); }

std::string_view Reader::bytes() {
  const std::int32_t length = i32();
  if (length < 0) good_ = false;
  return take(static_cast<std::size_t>(length));
}

void Reader::skip(Type type, int depth) {
  if (depth > kMaxSkipDepth) good_ = false;
  if (!good_) return;
  switch (type) {
    case Type::kBool:
    case Type::kByte:
      take(1);
      return;
    case Type::kI16:
      take(2);
      return;
    case Type::kI32:
      take(4);
      return;
    case Type::kDouble:
    case Type::kI64:
      take(8);
      return;
    case Type::kString:
      bytes();
      return;
    case Type::kStruct:
      while (good_) {
        const Type inner{u8()};
        if (inner == Type::kStop) return;
        i16();
        skip(inner, depth + 1);
      }
      return;
    case Type::kMap:
    case Type::kSet:
    case Type::kList: {
      const Type first{u8()};
      const Type second = type == Type::kMap ? Type{u8()} : Type::kStop;
      for (std::int32_t remaining = i32(); remaining > 0 && good_; --remaining) {
        skip(first, depth + 1);
        if (type == Type::kMap) skip(second, depth + 1);
      }
      return;
    }
    default:
      good_ = false;
  }
}

bool read_message_head(Reader& reader, Message& message) {
  const auto version_and_kind = static_cast<std::uint32_t>(reader.i32());
  if (!reader.good() || (version_and_kind & kVersionMask) != kVersion) return false;
  message.kind = Kind{static_cast<std::uint8_t>(version_and_kind & 0xff)};
  message.method = reader.bytes();
  message.call = reader.i32();
  return reader.good();
}

namespace {

// Returns false, and reads no further, if the map has more than kMaxFields entries.
bool read_map(Reader& reader, Fields& fields) {
  const Type key{reader.u8()}, value{reader.u8()};
  const std::int32_t count = reader.i32();
  if (count > kMaxFields) return false;
  for (std::int32_t remaining = count; remaining > 0 && reader.good(); --remaining) {
    if (key == Type::kString && value == Type::kString) {
      const std::string_view name = reader.bytes();
      fields.emplace_back(name, reader.bytes());
    } else {
      reader.skip(key);
      reader.skip(value);
    }
  }
  return true;
}

// Calls `read_field(id, type)` for every field of a struct and skips the field if that returns false.
template <typename F>
bool read_struct(Reader& reader, F&& read_field) {
  while (reader.good()) {
    const Type type{reader.u8()};
    if (type == Type::kStop) return reader.good();
    const std::int16_t id = reader.i16();
    if (!read_field(id, type)) reader.skip(type);
  }
  return false;
}

}  // namespace

CallArgs read_call_args(Reader& reader, Fields& fields, std::string_view& body) {
  bool too_many = false;
  const bool good = read_struct(reader, [&](std::int16_t id, Type type) {
    if (too_many) return false;
    if (id == 1 && type == Type::kMap) return too_many = !read_map(reader, fields), true;
    if (id == 2 && type == Type::kString) return body = reader.bytes(), true;
    return false;
  });
  if (too_many) return CallArgs::kTooManyFields;
  return good ? CallArgs::kRead : CallArgs::kMalformed;
}

bool read_interrupt_args(Reader& reader, std::int32_t& call) {
  return read_struct(reader, [&](std::int16_t id, Type type) {
    if (id != 1 || type != Type::kI32) return false;
    call = reader.i32();
    return true;
  });
}

std::string reply_head(std::int32_t call, std::string_view method, std::size_t body_bytes,
                       const OwnedFields& fields) {
  Writer out(body_bytes + reply_tail_bytes(fields));
  out.message_head(Kind::kReply, method, call)
      .field(Type::kStruct, 0)
      .field(Type::kString, 1)
      .number(body_bytes, 4);
  return out.frame();
}

std::string reply_tail(bool good, const OwnedFields& fields) {
  Writer out;
  out.field(Type::kMap, 2).map(fields);
  out.field(Type::kBool, 3).number(good ? 1 : 0, 1).stop().stop();
  return out.frame().substr(kFrameHeaderBytes);
}

std::string declared_exception(std::int32_t call, std::string_view method, std::int16_t field,
                               const OwnedFields& fields) {
  Writer out;
  out.message_head(Kind::kReply, method, call).field(Type::kStruct, field).field(Type::kMap, 1).map(fields);
  return out.stop().stop().frame();
}

std::string application_exception(std::int32_t call, std::string_view method, ApplicationError fault,
                                  std::string_view text) {
  Writer out;
  out.message_head(Kind::kException, method, call).field(Type::kString, 1).text(text);
  return out.field(Type::kI32, 2).number(static_cast<std::uint32_t>(fault), 4).stop().frame();
}

}  // namespace thrift
