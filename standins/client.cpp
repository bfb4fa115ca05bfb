#include "standins/client.h"

#include <boost/asio/write.hpp>

#include "net/thrift.h"

namespace steprail::standin {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

std::string number(std::uint64_t value, int bytes) {
  std::string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift));
  return out;
}
std::string text(const std::string& s) { return number(s.size(), 4) + s; }
std::string frame(int kind, const std::string& method, std::int32_t call, const std::string& args) {
  return text(number(0x80010000u | static_cast<unsigned>(kind), 4) + text(method) +
              number(static_cast<std::uint32_t>(call), 4) + args);
}

void read_fields(thrift::Reader& reader, Fields& fields) {
  reader.u8();
  reader.u8();
  for (std::int32_t left = reader.i32(); left > 0 && reader.good(); --left) {
    std::string name(reader.bytes());
    fields[std::move(name)] = std::string(reader.bytes());
  }
}

}  // namespace

std::string encode_call(const std::string& method, std::int32_t call, const Fields& fields,
                        const std::string& body) {
  std::string args(1, '\x0d');
  args.append(number(1, 2)).append("\x0b\x0b").append(number(fields.size(), 4));
  for (const auto& [name, value] : fields) args += text(name) + text(value);
  if (!body.empty()) args.append("\x0b").append(number(2, 2)).append(text(body));
  args.push_back('\0');
  return frame(1, method, call, args);
}

std::string encode_interrupt(std::int32_t call) {
  std::string args(1, '\x08');
  args.append(number(1, 2)).append(number(static_cast<std::uint32_t>(call), 4)).push_back('\0');
  return frame(4, "interrupt", 0, args);
}

std::string encode_check(std::int32_t call) { return frame(1, "check", call, std::string(1, '\0')); }

Client::Client(asio::io_context& io, const tcp::endpoint& to) : socket_(io) {
  socket_.connect(to);
  socket_.set_option(tcp::no_delay(true));
  socket_.non_blocking(true);
}

void Client::write(const std::string& bytes) {
  error_code error;
  std::size_t done = 0;
  while (done < bytes.size() && !error) {
    done += socket_.write_some(asio::buffer(bytes.data() + done, bytes.size() - done), error);
    if (error == asio::error::would_block) error = {};
  }
  if (error) ended_ = true;
}

std::optional<Reply> Client::take(std::size_t most) {
  char bytes[16384];
  error_code error;
  while (most > 0 && !ended_ && socket_.is_open()) {
    const std::size_t count = socket_.read_some(asio::buffer(bytes, std::min(most, sizeof bytes)), error);
    if (error == asio::error::would_block) break;
    if (error) ended_ = true;
    in_.append(bytes, count);
    received_ += count;
    most -= std::min(most, count);
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
