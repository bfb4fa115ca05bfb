// A stand-in for a client or a reader: calls in Thrift's framed binary protocol, written and read without
// waiting, at a pace of its own.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace steprail::standin {

using boost::asio::ip::tcp;
using Fields = std::map<std::string, std::string>;

std::string encode_call(const std::string& method, std::int32_t call, const Fields& fields,
                        const std::string& body = {});
std::string encode_interrupt(std::int32_t call);
std::string encode_check(std::int32_t call);

struct Reply {
  std::int32_t call{};
  int kind{};     // Thrift's: 2 reply, 3 exception
  int field{-1};  // 0 served, 1 refused, 2 failed
  Fields fields;
  std::string body;
  bool good{};
  std::string at(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
  }
};

class Client {
 public:
  Client(boost::asio::io_context& io, const tcp::endpoint& to);
  void write(const std::string& bytes);
  void call(const std::string& method, std::int32_t call, const Fields& fields,
            const std::string& body = {}) {
    write(encode_call(method, call, fields, body));
  }
  // The next whole reply that is here, reading so many bytes at most from the connection.
  std::optional<Reply> take(std::size_t most = 1 << 20);
  bool ended() const { return ended_; }
  void close() { socket_.close(); }
  // As a machine does that has lost its link: the other side hears a reset.
  void reset();
  tcp::socket& socket() { return socket_; }
  std::uint64_t received() const { return received_; }

 private:
  tcp::socket socket_;
  std::string in_;
  std::uint64_t received_{0};
  bool ended_{false};
};

}  // namespace steprail::standin
