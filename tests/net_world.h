// What stories over loopback sockets have in common: a configuration, scripted peers, and a coordinator among
// them. One thread runs all: each story advances the program until what it waits for has happened.
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

namespace story {

using namespace steprail;
using nlohmann::json;
namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::chrono::seconds kGiveUp{30};  // ends a story that hangs; no verdict depends on it

inline std::string address(const tcp::acceptor& at) {
  return "127.0.0.1:" + std::to_string(at.local_endpoint().port());
}

// The far end of a connection, read without waiting.
class Peer {
 public:
  explicit Peer(tcp::socket socket) : socket_(std::move(socket)) { socket_.non_blocking(true); }
  // To one that has closed meanwhile nothing is written; reading tells.
  void write(const std::string& bytes) {
    error_code ignored;
    asio::write(socket_, asio::buffer(bytes), ignored);
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
      in.append(bytes, count);
    }
    return in;
  }
  bool has(const std::string& text) { return read().find(text) != std::string::npos; }
  std::string in;

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
  // The n-th connection, once it is there.
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

// A configuration's file, for as long as its story lasts.
class ConfigFile {
 public:
  explicit ConfigFile(const json& from) {
    close(mkstemp(path_.data()));
    write(from.dump());
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

inline std::string number(std::uint32_t value, int bytes = 4) {
  std::string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift));
  return out;
}
inline std::string text(const std::string& s) { return number(static_cast<std::uint32_t>(s.size())) + s; }
inline std::string frame(int kind, const std::string& method, int call, const std::string& args) {
  return text(number(0x80010000u | static_cast<unsigned>(kind)) + text(method) +
              number(static_cast<std::uint32_t>(call)) + args);
}
inline std::string execute(int call, const std::vector<std::pair<std::string, std::string>>& fields) {
  std::string args = "\x0d" + number(1, 2) + "\x0b\x0b" + number(static_cast<std::uint32_t>(fields.size()));
  for (const auto& [name, value] : fields) args += text(name) + text(value);
  return frame(1, "execute", call, args + "\x0b" + number(2, 2) + text("select 1 from a_7.t") + '\0');
}
inline std::string query(int call, const std::string& id, const std::string& verb = "lookup",
                         const std::string& limit = "9000") {
  return execute(call, {{"txn", id}, {"verb", verb}, {"limit", limit}, {"team", "acme"}});
}
inline std::string interrupt(int call) {
  return frame(4, "interrupt", 99, "\x08" + number(1, 2) + number(static_cast<std::uint32_t>(call)) + '\0');
}
inline const std::string kCheck = frame(1, "check", 50, std::string(1, '\0'));

// What an answer's frame holds.
struct Told {
  int call{};
  int kind{};
  int field{-1};  // 0 served, 1 refused, 2 failed
  std::string rest;
};

inline const std::string kId = "00000000000000a1";

class World {
 public:
  explicit World(
      std::size_t count, const std::function<void(json&)>& change = [](json&) {})
      : directory(io) {
    json rows = json::array();
    for (std::size_t i = 0; i < count; ++i) {
      engines.push_back(std::make_unique<Listener>(io));
      rows.push_back(row(static_cast<int>(i), address(engines[i]->acceptor)));
    }
    from = config(address(directory.acceptor), rows);
    change(from);
    file = std::make_unique<ConfigFile>(from);
    server = std::make_unique<Server>(file->read());
    server->start();
  }
  ~World() { CHECK(server->broken_invariants() == 0); }

  std::unique_ptr<Peer> client() {
    tcp::socket socket(io);
    socket.connect(server->endpoint());
    return std::make_unique<Peer>(std::move(socket));
  }
  void until(const std::function<bool()>& happened) {
    const auto end = std::chrono::steady_clock::now() + kGiveUp;
    while (!happened()) {
      REQUIRE(std::chrono::steady_clock::now() < end);
      server->io().run_for(std::chrono::milliseconds(1));
    }
  }
  // The client's next answer, taken off what it has read.
  Told answer(Peer& client) {
    std::size_t length = 0;
    until([&] {
      if (client.read().size() < 4) return false;
      length = static_cast<std::size_t>(thrift::frame_length(client.in));
      return client.in.size() >= 4 + length;
    });
    const std::string bytes = client.in.substr(4, length);
    client.in.erase(0, 4 + length);
    thrift::Reader reader(bytes);
    thrift::Message message;
    REQUIRE(thrift::read_head(reader, message));
    Told told{message.call, static_cast<int>(message.kind), -1, bytes};
    if (message.kind == thrift::Kind::kReply) reader.u8(), told.field = reader.i16();
    return told;
  }

  asio::io_context io;
  Listener directory;
  json from;
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

}  // namespace story
