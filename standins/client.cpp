#include "standins/client.h"

#include <boost/asio/write.hpp>

#include "net/thrift.h"

namespace steprail::standin {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

std::string encode_integer(std::uint64_t value, int bytes) {
  std::string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift));
  return out;
}
std::string encode_string(const std::string& s) { return encode_integer(s.size(), 4) + s; }
std::string encode_message(int kind, const std::string& method, std::int32_t call, const std::string& args) {
  return encode_string(encode_integer(0x80010000u | static_cast<unsigned>(kind), 4) + encode_string(method) +
                       encode_integer(static_cast<std::uint32_t>(call), 4) + args);
}

void read_fields(thrift::Reader& reader, Fields& fields) {
  reader.u8();
  reader.u8();
  for (std::int32_t remaining = reader.i32(); remaining > 0 && reader.good(); --remaining) {
    std::string name(reader.bytes());
    fields[std::move(name)] = std::string(reader.bytes());
  }
}

}  // namespace

std::string encode_call(const std::string& method, std::int32_t call, const Fields& fields,
                        const std::string& body) {
  std::string args(1, '\x0d');
  args.append(encode_integer(1, 2)).append("\x0b\x0b").append(encode_integer(fields.size(), 4));
  for (const auto& [name, value] : fields) args += encode_string(name) + encode_string(value);
  if (!body.empty()) args.append("\x0b").append(encode_integer(2, 2)).append(encode_string(body));
  args.push_back('\0');
  return encode_message(1, method, call, args);
}

std::string encode_interrupt(std::int32_t call) {
  std::string args(1, '\x08');
  args.append(encode_integer(1, 2))
      .append(encode_integer(static_cast<std::uint32_t>(call), 4))
      .push_back('\0');
  return encode_message(4, "interrupt", 0, args);
}

std::string encode_check(std::int32_t call) { return encode_message(1, "check", call, std::string(1, '\0')); }

Client::Client(asio::io_context& io, const tcp::endpoint& to) : socket_(io) {
  socket_.connect(to);
  socket_.set_option(tcp::no_delay(true));
  socket_.non_blocking(true);
}

void Client::write(const std::string& bytes) {
  error_code error;
  std::size_t written = 0;
  while (written < bytes.size() && !error) {
    written += socket_.write_some(asio::buffer(bytes.data() + written, bytes.size() - written), error);
    if (error == asio::error::would_block) error = {};
  }
  if (error) ended_ = true;
}

std::optional<Reply> Client::next_reply(std::size_t max_bytes) {
  char bytes[16384];
  error_code error;
  while (max_bytes > 0 && !ended_ && socket_.is_open()) {
    const std::size_t count =
        socket_.read_some(asio::buffer(bytes, std::min(max_bytes, sizeof bytes)), error);
    if (error == asio::error::would_block) break;
    if (error) ended_ = true;
    in_.append(bytes, count);
    bytes_received_ += count;
    max_bytes -= std::min(max_bytes, count);
  }
  const std::int64_t length = in_.size() < 4 ? -1 : thrift::frame_length(in_);
  if (length < 0 || in_.size() < 4 + static_cast<std::size_t>(length)) return std::nullopt;
  const std::string message = in_.substr(4, static_cast<std::size_t>(length));
  in_.erase(0, 4 + static_cast<std::size_t>(length));
  Reply reply;
  thrift::Reader reader(message);
  thrift::Message head;
  if (!thrift::read_message_head(reader, head)) return std::nullopt;
  reply.call = head.call;
  reply.kind = static_cast<int>(head.kind);
  if (head.kind != thrift::Kind::kReply || reader.u8() == 0) return reply;
  reply.field = reader.i16();
  while (reader.good()) {
    const thrift::Type type{reader.u8()};
    if (type == thrift::Type::kStop) break;
    reader.i16();
    if (type == thrift::Type::kMap) {
      read_fields(reader, reply.fields);
    } else if (type == thrift::Type::kString) {
      reply.body = reader.bytes();
    } else if (type == thrift::Type::kBool) {
      reply.good = reader.u8() != 0;
    } else {
      reader.skip(type);
    }
  }
  return reply;
}

void Client::reset() {
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

}  // namespace steprail::standin
