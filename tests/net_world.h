// Fixture for tests over loopback sockets: a configuration, scripted peers, and a coordinator between them.
// All run in one thread: each test runs the coordinator's event loop until the condition it waits for holds.
#pragma once

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <functional>

#include "net/thrift.h"
#include "server.h"

namespace net_fixture {

using namespace steprail;
using nlohmann::json;
namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::chrono::seconds kHangTimeout{30};  // ends a test that hangs; no result depends on it

inline std::string address(const tcp::acceptor& at) {
  return "127.0.0.1:" + std::to_string(at.local_endpoint().port());
}

// The remote end of a connection, read without blocking.
class Peer {
 public:
  explicit Peer(tcp::socket socket) : socket_(std::move(socket)) { socket_.non_blocking(true); }
  // Write errors of a closed connection are ignored; the next read reports the close.
  void write(const std::string& bytes) {
    error_code ignored;
    asio::write(socket_, asio::buffer(bytes), ignored);
  }
  // Writes as much as the connection takes at once; returns how many bytes that were.
  std::size_t write_some(const std::string& bytes) {
    error_code ignored;
    return bytes.empty() ? 0 : socket_.write_some(asio::buffer(bytes), ignored);
  }
  void close() { socket_.close(); }
  bool ended() const { return ended_; }
  const std::string& read() {
    char bytes[4096];
    error_code error;
    while (!ended_ && socket_.is_open()) {
      const std::size_t count = socket_.read_some(asio::buffer(bytes), error);
      if (error == asio::error::would_block) break;
      if (error) ended_ = true;
      received.append(bytes, count);
    }
    return received;
  }
  bool has(const std::string& text) { return read().find(text) != std::string::npos; }
  std::string received;

 private:
  tcp::socket socket_;
  bool ended_{false};
};

struct Listener {
  explicit Listener(asio::io_context& io) : acceptor(io, {asio::ip::address_v4::loopback(), 0}) {
    acceptor.non_blocking(true);
  }
  void poll() {
    for (;;) {
      error_code error;
      tcp::socket socket(acceptor.get_executor());
      acceptor.accept(socket, error);
      if (error) return;
      peers.push_back(std::make_unique<Peer>(std::move(socket)));
    }
  }
  // The n-th connection, or null if it has not been accepted yet.
  Peer* peer(std::size_t n) { return poll(), n < peers.size() ? peers[n].get() : nullptr; }
  bool has(std::size_t n, const std::string& text) { return peer(n) != nullptr && peers[n]->has(text); }
  tcp::acceptor acceptor;
  std::vector<std::unique_ptr<Peer>> peers;
};

inline json row(int number, const std::string& at, const std::string& status = "active") {
  return {{"name", "engine" + std::to_string(number)},
          {"address", at},
          {"zone", "here"},
          {"type", "box"},
          {"group", 0},
          {"status", status},
          {"weight", 1.0},
          {"since_ms", 0}};
}

inline json event(int index, json rows, bool snapshot) {
  return {{"index", index}, {"endpoints", {{"index", index}, {"snapshot", snapshot}, {"endpoints", rows}}}};
}

inline json config(const std::string& directory, json rows) {
  const auto cls = [](const char* name, const char* effect) {
    return json{{"name", name}, {"effect", effect}, {"objective_us", 1000000}, {"hard_limit_us", 20000000}};
  };
  return {{"name", "n0"},
          {"listen", "127.0.0.1:0"},
          {"seed", "8c1f30d27a5be964"},
          {"coordinator", directory},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"known", {{"index", 1}, {"updates", {event(1, rows, true)}}}},
          {"settings",
           {{"balancers", 1},
            {"rank", 0},
            {"localities", {"here"}},
            {"locality", "here"},
            {"host_types", {"box"}},
            {"registry_mode", "push"},
            {"reporting", {{"how", "piggyback"}, {"names", {"load_share"}}}},
            {"family_info", {{"cores_by_kind", {8}}, {"threads_by_class", {1, 1}}}},
            {"limits",
             {{"most_tries", 3},
              {"may_cancel", true},
              {"multiplex", 10},
              {"retry_after", true},
              {"max_retry_after_us", 700000},
              {"conn_idle_us", 15000000},
              {"connect_timeout_us", 250000}}},
            {"rules", {{"answer_slack_us", 20000}, {"drain_grace_us", 1000000}}},
            {"profiles", {cls("lookup", "repeatable"), cls("load", "once")}}}}};
}

// A configuration file that exists as long as this object.
class ConfigFile {
 public:
  explicit ConfigFile(const json& config_json) {
    close(mkstemp(path_.data()));
    write(config_json.dump());
  }
  ~ConfigFile() { std::remove(path_.c_str()); }
  ConfigFile(const ConfigFile&) = delete;
  ConfigFile& operator=(const ConfigFile&) = delete;
  void write(const std::string& text) const { std::ofstream(path_) << text; }
  Config read() const { return read_config(path_); }
  const std::string& path() const { return path_; }

 private:
  std::string path_{"/tmp/steprail-config-XXXXXX"};
};

inline std::string encode_number(std::uint32_t value, int bytes = 4) {
  std::string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift));
  return out;
}
inline std::string encode_text(const std::string& s) {
  return encode_number(static_cast<std::uint32_t>(s.size())) + s;
}
inline std::string frame(int kind, const std::string& method, int call, const std::string& args) {
  return encode_text(encode_number(0x80010000u | static_cast<unsigned>(kind)) + encode_text(method) +
                     encode_number(static_cast<std::uint32_t>(call)) + args);
}
inline std::string execute(int call, const std::vector<std::pair<std::string, std::string>>& fields,
                           const std::string& statement = "select 1 from a_7.t") {
  std::string args =
      "\x0d" + encode_number(1, 2) + "\x0b\x0b" + encode_number(static_cast<std::uint32_t>(fields.size()));
  for (const auto& [name, value] : fields) args += encode_text(name) + encode_text(value);
  return frame(1, "execute", call, args + "\x0b" + encode_number(2, 2) + encode_text(statement) + '\0');
}
inline std::string query(int call, const std::string& id, const std::string& verb = "lookup",
                         const std::string& limit = "9000") {
  return execute(call, {{"txn", id}, {"verb", verb}, {"limit", limit}, {"team", "acme"}});
}
inline std::string interrupt(int call) {
  return frame(4, "interrupt", 99,
               "\x08" + encode_number(1, 2) + encode_number(static_cast<std::uint32_t>(call)) + '\0');
}
inline const std::string kCheckCall = frame(1, "check", 50, std::string(1, '\0'));

// A decoded answer to a client.
struct Reply {
  int call{};
  int kind{};
  int field{-1};  // 0 served, 1 refused, 2 failed
  std::string rest;
};

inline const std::string kId = "00000000000000a1";

class Fixture {
 public:
  explicit Fixture(
      std::size_t engine_count, const std::function<void(json&)>& adjust_config = [](json&) {})
      : directory(io) {
    json rows = json::array();
    for (std::size_t i = 0; i < engine_count; ++i) {
      engines.push_back(std::make_unique<Listener>(io));
      rows.push_back(row(static_cast<int>(i), address(engines[i]->acceptor)));
    }
    config_json = config(address(directory.acceptor), rows);
    adjust_config(config_json);
    file = std::make_unique<ConfigFile>(config_json);
    server = std::make_unique<Server>(file->read());
    server->start();
  }
  ~Fixture() { CHECK(server->broken_invariants() == 0); }

  std::unique_ptr<Peer> client() {
    tcp::socket socket(io);
    socket.connect(server->endpoint());
    return std::make_unique<Peer>(std::move(socket));
  }
  void run_until(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + kHangTimeout;
    while (!condition()) {
      REQUIRE(std::chrono::steady_clock::now() < end);
      server->io().run_for(std::chrono::milliseconds(1));
    }
  }
  // Waits for the client's next answer and removes it from the received bytes.
  Reply answer(Peer& client) {
    std::size_t length = 0;
    run_until([&] {
      if (client.read().size() < 4) return false;
      length = static_cast<std::size_t>(thrift::frame_length(client.received));
      return client.received.size() >= 4 + length;
    });
    const std::string bytes = client.received.substr(4, length);
    client.received.erase(0, 4 + length);
    thrift::Reader reader(bytes);
    thrift::Message message;
    REQUIRE(thrift::read_message_head(reader, message));
    Reply reply{message.call, static_cast<int>(message.kind), -1, bytes};
    if (message.kind == thrift::Kind::kReply) reader.u8(), reply.field = reader.i16();
    return reply;
  }

  asio::io_context io;
  Listener directory;
  json config_json;
  std::unique_ptr<ConfigFile> file;
  std::vector<std::unique_ptr<Listener>> engines;
  std::unique_ptr<Server> server;
};

inline std::string ack(const std::string& id, const std::string& body, int pages = 1) {
  return id + " ACK count=" + std::to_string(pages) + ",rep=load_share:0.5 " + std::to_string(body.size()) +
         "\r\n" + body + "\r\n";
}
inline std::string block(const std::string& id, const std::string& body, int page) {
  return id + " BLOCK pos=" + std::to_string(page) + ' ' + std::to_string(body.size()) + "\r\n" + body +
         "\r\n";
}

}  // namespace net_fixture
