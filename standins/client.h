// A scripted client or reader for tests: calls in Thrift's framed binary protocol, over a non-blocking socket
// that is read only as fast as the test wants.
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
  int kind{};     // Thrift's message type: 2 reply, 3 exception
  int field{-1};  // of the result: 0 served, 1 refused, 2 failed
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
  // Returns the next complete reply, if there is one; reads at most `max_bytes` from the connection.
  std::optional<Reply> next_reply(std::size_t max_bytes = 1 << 20);
  bool ended() const { return ended_; }
  void close() { socket_.close(); }
  // Closes the connection such that the other side sees a reset, as after the loss of a machine or its link.
  void reset();
  tcp::socket& socket() { return socket_; }
  std::uint64_t bytes_received() const { return bytes_received_; }

 private:
  tcp::socket socket_;
  std::string in_;
  std::uint64_t bytes_received_{0};
  bool ended_{false};
};

}  // namespace steprail::standin
