#include "net/thrift.h"

namespace thrift {
namespace {

constexpr std::uint32_t kVersion = 0x80010000, kVersionMask = 0xffff0000;
constexpr int kDeepest = 16;  // of nested fields that are skipped

class Writer {
 public:
  explicit Writer(std::size_t frame_extra = 0) : extra_(frame_extra) { out_.assign(kFrameHead, '\0'); }
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
  Writer& map(const Texts& fields) {
    number(11, 1).number(11, 1).number(fields.size(), 4);
    for (const auto& [name, value] : fields) text(name).text(value);
    return *this;
  }
  Writer& head(Kind kind, std::string_view method, std::int32_t call) {
    return number(kVersion | static_cast<unsigned>(kind), 4)
        .text(method)
        .number(static_cast<std::uint32_t>(call), 4);
  }
  std::string frame() {
    const std::size_t length = out_.size() - kFrameHead + extra_;
    for (std::size_t i = 0; i < kFrameHead; ++i) out_[i] = static_cast<char>(length >> (24 - 8 * i));
    return std::move(out_);
  }

 private:
  std::string out_;
  std::size_t extra_;
};

// Of an Answer, what follows its body: the map of fields, `good`, and the ends of both structs.
std::size_t tail_bytes(const Texts& fields) {
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
  if (!good_ || count > left_.size()) {
    good_ = false;
    return {};
  }
  const std::string_view taken = left_.substr(0, count);
  left_.remove_prefix(count);
  return taken;
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
  if (depth > kDeepest) good_ = false;
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
      for (std::int32_t left = i32(); left > 0 && good_; --left) {
        skip(first, depth + 1);
        if (type == Type::kMap) skip(second, depth + 1);
      }
      return;
    }
    default:
      good_ = false;
  }
}

bool read_head(Reader& reader, Message& message) {
  const auto word = static_cast<std::uint32_t>(reader.i32());
  if (!reader.good() || (word & kVersionMask) != kVersion) return false;
  message.kind = Kind{static_cast<std::uint8_t>(word & 0xff)};
  message.method = reader.bytes();
  message.call = reader.i32();
  return reader.good();
}

namespace {

void read_map(Reader& reader, Fields& fields) {
  const Type key{reader.u8()}, value{reader.u8()};
  for (std::int32_t left = reader.i32(); left > 0 && reader.good(); --left) {
    if (key == Type::kString && value == Type::kString) {
      const std::string_view name = reader.bytes();
      fields.emplace_back(name, reader.bytes());
    } else {
      reader.skip(key);
      reader.skip(value);
    }
  }
}

// Calls `known(id, type)` for every field of a struct; what it leaves alone (false) is skipped.
template <typename F>
bool read_struct(Reader& reader, F&& known) {
  while (reader.good()) {
    const Type type{reader.u8()};
    if (type == Type::kStop) return reader.good();
    const std::int16_t id = reader.i16();
    if (!known(id, type)) reader.skip(type);
  }
  return false;
}

}  // namespace

bool read_execute(Reader& reader, Fields& fields, std::string_view& body) {
  return read_struct(reader, [&](std::int16_t id, Type type) {
    if (id == 1 && type == Type::kMap) return read_map(reader, fields), true;
    if (id == 2 && type == Type::kString) return body = reader.bytes(), true;
    return false;
  });
}

bool read_interrupt(Reader& reader, std::int32_t& call) {
  return read_struct(reader, [&](std::int16_t id, Type type) {
    if (id != 1 || type != Type::kI32) return false;
    call = reader.i32();
    return true;
  });
}

std::string served_head(std::int32_t call, std::string_view method, std::size_t body_bytes,
                        const Texts& fields) {
  Writer out(body_bytes + tail_bytes(fields));
  out.head(Kind::kReply, method, call).field(Type::kStruct, 0).field(Type::kString, 1).number(body_bytes, 4);
  return out.frame();
}

std::string served_tail(bool good, const Texts& fields) {
  Writer out;
  out.field(Type::kMap, 2).map(fields);
  out.field(Type::kBool, 3).number(good ? 1 : 0, 1).stop().stop();
  return out.frame().substr(kFrameHead);
}

std::string thrown(std::int32_t call, std::string_view method, std::int16_t field, const Texts& fields) {
  Writer out;
  out.head(Kind::kReply, method, call).field(Type::kStruct, field).field(Type::kMap, 1).map(fields);
  return out.stop().stop().frame();
}

std::string application_exception(std::int32_t call, std::string_view method, Fault fault,
                                  std::string_view text) {
  Writer out;
  out.head(Kind::kException, method, call).field(Type::kString, 1).text(text);
  return out.field(Type::kI32, 2).number(static_cast<std::uint32_t>(fault), 4).stop().frame();
}

}  // namespace thrift
