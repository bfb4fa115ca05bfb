// Stand-ins for the cases 6 to 10: the platform (starts, signals and ends the coordinator), the directory,
// engines, and clients of the platform's service and of the spool's. Each keeps to the protocol pages.
// Blocking sockets and threads, so that a case reads from top to bottom. Loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();
inline int now_ms() {
  return static_cast<int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStart).count());
}
inline void sleep_ms(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }
inline void sleep_until_ms(int at) {
  if (at > now_ms()) sleep_ms(at - now_ms());
}

// ---- The record of what was sent, answered and run ----

class Record {
 public:
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    char text[1024];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    if (file_ != nullptr) std::fprintf(file_, "%7d ms  %s\n", now_ms(), text), std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_{};
};
inline Record record;

// The case could not run: this says nothing about the rule.
struct CannotRun {
  std::string why;
};

// ---- Sockets ----

inline sockaddr_in loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  return at;
}

inline int listen_on_loopback(int& port, int backlog = 64) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, backlog) != 0)
    throw CannotRun{"a stand-in has no address"};
  socklen_t size = sizeof at;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  port = ntohs(at.sin_port);
  return fd;
}

// A port that is free now. Ports below the ephemeral range, so that no connection takes one meanwhile.
inline int free_port() {
  static int next = 20000 + static_cast<int>(::getpid() % 400) * 20;
  for (int tries = 0; tries < 2000; ++tries) {
    int port = next++;
    if (next > 31000) next = 20000;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = loopback(port);
    const bool free = ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
    ::close(fd);
    if (free) return port;
  }
  throw CannotRun{"no port is free"};
}

class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Socket() { close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  bool connect(int port) {
    close();
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in at = loopback(port);
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) return true;
    close();
    return false;
  }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  // A reset instead of an orderly close.
  void reset() {
    const linger hard{1, 0};
    if (fd_ >= 0) ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close();
  }
  void shut() const {
    if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
  }
  bool write(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t count = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
  }
  enum class Read { kData, kEnd, kTimeout };
  // Appends what has arrived; waits up to `wait_ms` for it (-1: without end).
  Read read(std::string& into, int wait_ms) const {
    pollfd one{fd_, POLLIN, 0};
    if (::poll(&one, 1, wait_ms) <= 0) return Read::kTimeout;
    char bytes[16384];
    const ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
    if (count <= 0) return Read::kEnd;
    into.append(bytes, static_cast<std::size_t>(count));
    return Read::kData;
  }
  int fd() const { return fd_; }

 private:
  int fd_{-1};
};

// ---- The directory ("the coordinator" of the protocol page) ----

class Directory {
 public:
  Directory() : fd_(listen_on_loopback(port_)) {
    std::thread([this] {
      for (;;) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        std::thread([this, fd] { serve(fd); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  // A new event; it is told at once to all that follow.
  void tell(const json& rows) {
    const std::lock_guard lock(mutex_);
    const int index = static_cast<int>(events_.size()) + 1;
    events_.push_back(
        {{"index", index}, {"endpoints", {{"index", index}, {"snapshot", index == 1}, {"endpoints", rows}}}});
    record.line("directory: event %d: %s", index, rows.dump().c_str());
  }
  json known() {
    const std::lock_guard lock(mutex_);
    json updates = json::array();
    for (const json& event : events_) updates.push_back(event);
    return {{"index", events_.size()}, {"updates", updates}};
  }

 private:
  void serve(int fd) {
    Socket socket(fd);
    std::string in;
    while (in.find('\n') == std::string::npos)
      if (socket.read(in, -1) != Socket::Read::kData) return;
    std::size_t told = static_cast<std::size_t>(std::atoi(in.c_str() + std::strlen("follow ")));
    int next_beat = now_ms();
    for (;;) {
      std::string out;
      {
        const std::lock_guard lock(mutex_);
        while (told < events_.size()) out += events_[told++].dump() + "\n";
        if (now_ms() >= next_beat) out += std::to_string(events_.size()) + "\n", next_beat = now_ms() + 1000;
      }
      if (!out.empty() && !socket.write(out)) return;
      if (socket.read(in, 20) == Socket::Read::kEnd) return;
    }
  }
  int port_{0}, fd_;
  std::mutex mutex_;
  std::vector<json> events_;
};

// ---- Engines ----

// What an engine does with one query: it runs so long, and then ends so.
struct Plan {
  int run_ms{20};
  enum class End {
    kAnswer,
    kError,
    kDie
  } end{End::kAnswer};  // kDie: the process dies: all connections are reset
  std::vector<std::string> pages{"a\tb\tc\n"};
};

struct Run {
  std::string id, lane, statement;
  int engine{}, begun_ms{}, ended_ms{-1};
  std::string end;  // "answered", "error", "cancelled", "connection lost", "died"; empty while it runs
};

// All engines' runs, in the order in which they began.
class Runs {
 public:
  std::size_t begin(Run run) {
    const std::lock_guard lock(mutex_);
    runs_.push_back(std::move(run));
    return runs_.size() - 1;
  }
  void end(std::size_t number, const char* how) {
    const std::lock_guard lock(mutex_);
    if (!runs_[number].end.empty()) return;
    runs_[number].end = how;
    runs_[number].ended_ms = now_ms();
    record.line("engine %d: %s: %s", runs_[number].engine, runs_[number].id.c_str(), how);
  }
  std::vector<Run> of(const std::string& id) {
    const std::lock_guard lock(mutex_);
    std::vector<Run> found;
    for (const Run& run : runs_)
      if (run.id == id) found.push_back(run);
    return found;
  }
  std::vector<Run> all() {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  std::mutex mutex_;
  std::vector<Run> runs_;
};
inline Runs runs;

class Engine {
 public:
  using Planner = std::function<Plan(const Run&)>;
  // `backlog`: connections that the system completes before the engine accepts them.
  Engine(int number, Planner plan, int backlog = 64)
      : number_(number), plan_(std::move(plan)), fd_(listen_on_loopback(port_, backlog)) {}
  // Begins to accept connections.
  void start() {
    std::thread([this] {
      for (;;) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        const auto connection = std::make_shared<Connection>(fd);
        {
          const std::lock_guard lock(mutex_);
          connections_.push_back(connection);
          ++accepted_;
        }
        std::thread([this, connection] { serve(connection); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  // Connections taken so far.
  int accepted() const { return accepted_; }
  json row(const char* status = "active") const {
    return {{"name", "engine-" + std::to_string(number_)},
            {"address", "127.0.0.1:" + std::to_string(port_)},
            {"zone", "gent-room1"},
            {"type", "big-16c"},
            {"group", 0},
            {"status", status},
            {"weight", 1.0},
            {"since_ms", 0}};
  }
  // The process dies: it takes no connection any more, and its connections are reset.
  void die() {
    record.line("engine %d: dies", number_);
    ::shutdown(fd_, SHUT_RDWR);
    ::close(fd_);
    std::vector<std::shared_ptr<Connection>> connections;
    {
      const std::lock_guard lock(mutex_);
      connections = connections_;
    }
    for (const auto& connection : connections) connection->lose(true);
  }

 private:
  struct Connection {
    explicit Connection(int fd) : socket(fd) {}
    void answer(const std::string& id, const char* word, const std::string& fields, const std::string& body) {
      const std::lock_guard lock(mutex);
      if (lost) return;
      socket.write(id + ' ' + word + ' ' + (fields.empty() ? "-" : fields) + ' ' +
                   std::to_string(body.size()) + "\r\n" + body + "\r\n");
    }
    void lose(bool reset) {
      const std::lock_guard lock(mutex);
      if (lost) return;
      lost = true;
      const linger hard{1, 0};
      if (reset) ::setsockopt(socket.fd(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      socket.shut();
      if (reset) socket.close();
    }
    Socket socket;
    std::mutex mutex;
    std::atomic<bool> lost{false};
    std::map<std::string, std::shared_ptr<std::atomic<bool>>> given_up;  // of the queries that are open
    std::map<std::string, std::vector<std::string>> pages;
  };

  void serve(const std::shared_ptr<Connection>& connection) {
    std::string in;
    for (;;) {
      const std::size_t end = in.find("\r\n");
      if (end == std::string::npos) {
        if (connection->lost || connection->socket.read(in, 50) == Socket::Read::kEnd) break;
        continue;
      }
      std::vector<std::string> words;
      std::size_t from = 0;
      for (std::size_t at = 0; at <= end; ++at)
        if (at == end || in[at] == ' ') words.push_back(in.substr(from, at - from)), from = at + 1;
      if (words[0] == "serve" && words.size() == 4) {
        const std::size_t length = static_cast<std::size_t>(std::atol(words[3].c_str()));
        while (!connection->lost && in.size() < end + 2 + length + 2)
          if (connection->socket.read(in, 50) == Socket::Read::kEnd) break;
        if (in.size() < end + 2 + length + 2) break;
        Run run{words[1], "", in.substr(end + 2, std::min<std::size_t>(length, 200)), number_, now_ms(),
                -1,       ""};
        const std::size_t lane = words[2].find("lane=");
        if (lane != std::string::npos)
          run.lane = words[2].substr(lane + 5, words[2].find(',', lane) - lane - 5);
        record.line("engine %d: serve %s %s", number_, words[1].c_str(), words[2].c_str());
        in.erase(0, end + 2 + length + 2);
        begin(connection, std::move(run));
        continue;
      }
      in.erase(0, end + 2);
      const std::string id = words.size() > 1 ? words[1] : "";
      if (words[0] == "health" || words[0] == "gauges") {
        connection->answer(id, "READY", "", "");
      } else if (words[0] == "cancel") {
        const std::lock_guard lock(connection->mutex);
        const auto at = connection->given_up.find(id);
        if (at != connection->given_up.end()) *at->second = true;
      } else if (words[0] == "read" && words.size() == 3) {
        std::string page;
        const std::size_t number = static_cast<std::size_t>(std::atol(words[2].c_str()));
        {
          const std::lock_guard lock(connection->mutex);
          const auto& pages = connection->pages[id];
          if (number < pages.size()) page = pages[number];
        }
        connection->answer(id, page.empty() ? "EIO" : "BLOCK", page.empty() ? "" : "pos=" + words[2], page);
      } else if (words[0] == "release") {
        const std::lock_guard lock(connection->mutex);
        connection->pages.erase(id);
      }
    }
    connection->lose(false);
  }

  void begin(const std::shared_ptr<Connection>& connection, Run run) {
    const Plan plan = plan_(run);
    const std::string id = run.id;
    const std::size_t number = runs.begin(std::move(run));
    const auto given_up = std::make_shared<std::atomic<bool>>(false);
    {
      const std::lock_guard lock(connection->mutex);
      connection->given_up[id] = given_up;
    }
    std::thread([this, connection, plan, id, number, given_up] {
      const int begun = now_ms();
      int next_note = begun + 500;
      while (now_ms() < begun + plan.run_ms) {
        sleep_ms(std::min(5, std::max(1, begun + plan.run_ms - now_ms())));
        if (connection->lost) return runs.end(number, "connection lost");
        if (*given_up) return runs.end(number, "cancelled");
        if (now_ms() >= next_note) {
          const double share = static_cast<double>(now_ms() - begun) / std::max(1, plan.run_ms);
          connection->answer(id, "EVENT", "why=pct,reading=" + std::to_string(std::min(0.99, share)), "");
          next_note += 500;
        }
      }
      if (plan.end == Plan::End::kDie) {
        runs.end(number, "ran, then the engine died");
        return die();
      }
      if (plan.end == Plan::End::kError) {
        runs.end(number, "ran, then an error");
        return connection->answer(id, "EIO", "", "");
      }
      {
        const std::lock_guard lock(connection->mutex);
        if (plan.pages.size() > 1) connection->pages[id] = plan.pages;
      }
      runs.end(number, "answered");
      connection->answer(id, "ACK", "count=" + std::to_string(plan.pages.size()), plan.pages[0]);
    }).detach();
  }

  int number_;
  Planner plan_;
  int port_{0}, fd_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::atomic<int> accepted_{0};
};

// ---- Clients: framed Thrift, strict binary protocol ----

using Fields = std::vector<std::pair<std::string, std::string>>;

struct Reply {
  int call{}, kind{}, field{-1};  // field: 0 served, 1 refused, 2 failed
  std::string method, body;
  std::map<std::string, std::string> fields;
  bool good{false};
  std::string at(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  const char* verdict() const {
    return kind == 3 ? "exception" : field == 0 ? "served" : field == 1 ? "refused" : "failed";
  }
};

inline std::string be(std::uint64_t value, int bytes) {
  std::string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift));
  return out;
}
inline std::string text(const std::string& value) { return be(value.size(), 4) + value; }

// A whole frame of a call with fields and, where `body` is set, a body.
inline std::string call_frame(const std::string& method, int call, const Fields& fields,
                              const std::optional<std::string>& body) {
  std::string out = be(0x80010001, 4) + text(method) + be(static_cast<std::uint32_t>(call), 4);
  out += be(13, 1) + be(1, 2) + be(11, 1) + be(11, 1) + be(fields.size(), 4);
  for (const auto& [name, value] : fields) out += text(name) + text(value);
  if (body) out += be(11, 1) + be(2, 2) + text(*body);
  out += be(0, 1);
  return be(out.size(), 4) + out;
}
inline std::string interrupt_frame(int number, int call) {
  const std::string out = be(0x80010004, 4) + text("interrupt") + be(static_cast<std::uint32_t>(number), 4) +
                          be(8, 1) + be(1, 2) + be(static_cast<std::uint32_t>(call), 4) + be(0, 1);
  return be(out.size(), 4) + out;
}
inline std::string check_frame(int call) {
  const std::string out = be(0x80010001, 4) + text("check") + be(static_cast<std::uint32_t>(call), 4) +
                          be(2, 1) + be(1, 2) + be(0, 1) + be(0, 1);
  return be(out.size(), 4) + out;
}

class Client {
 public:
  bool connect(int port) {
    in_.clear();
    ended_ = false;
    return socket_.connect(port);
  }
  bool write(const std::string& bytes) { return socket_.write(bytes); }
  bool call(const std::string& method, int number, const Fields& fields,
            const std::optional<std::string>& body = std::nullopt) {
    return write(call_frame(method, number, fields, body));
  }
  void close() { socket_.close(); }
  void reset() { socket_.reset(); }
  bool ended() const { return ended_; }
  // The next reply; none if the time is over or the connection has ended.
  std::optional<Reply> reply(int wait_ms) {
    const int until = now_ms() + wait_ms;
    for (;;) {
      if (in_.size() >= 4) {
        const std::size_t length = number(0, 4);
        if (in_.size() >= 4 + length) {
          Reply reply;
          if (!parse(4, 4 + length, reply)) throw std::runtime_error("unreadable reply");
          in_.erase(0, 4 + length);
          return reply;
        }
      }
      if (ended_ || now_ms() >= until) return std::nullopt;
      if (socket_.read(in_, until - now_ms()) == Socket::Read::kEnd) ended_ = true;
    }
  }

 private:
  std::size_t number(std::size_t at, std::size_t bytes) const {
    std::size_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i) value = value << 8 | static_cast<unsigned char>(in_.at(at + i));
    return value;
  }
  std::string string(std::size_t& at) const {
    const std::size_t size = number(at, 4);
    at += 4 + size;
    return in_.substr(at - size, size);
  }
  void map(std::size_t& at, Reply& reply) const {
    const std::size_t count = number(at + 2, 4);
    at += 6;
    for (std::size_t i = 0; i < count; ++i) {
      const std::string name = string(at);
      reply.fields[name] = string(at);
    }
  }
  bool parse(std::size_t at, std::size_t end, Reply& reply) const {
    reply.kind = static_cast<int>(number(at, 4) & 0xff);
    at += 4;
    reply.method = string(at);
    reply.call = static_cast<int>(number(at, 4));
    at += 4;
    if (reply.kind == 3) return true;  // an application exception
    if (number(at, 1) != 12) return false;
    reply.field = static_cast<int>(number(at + 1, 2));
    at += 3;
    while (at < end) {
      const std::size_t type = number(at, 1);
      if (type == 0) return true;
      at += 3;
      if (type == 11) {
        reply.body = string(at);
      } else if (type == 13) {
        map(at, reply);
      } else if (type == 2) {
        reply.good = number(at++, 1) == 1;
      } else {
        return false;
      }
    }
    return false;
  }
  Socket socket_;
  std::string in_;
  bool ended_{false};
};

// ---- The platform ----

inline std::string hex16(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}
inline std::uint64_t random64() {
  std::uint64_t number = 0;
  std::ifstream("/dev/urandom", std::ios::binary).read(reinterpret_cast<char*>(&number), sizeof number);
  return number;
}
// An id that no other request of this run has.
inline std::string new_txn() { return hex16(random64()); }

inline json profile(const char* name, const char* effect, int objective_ms, int limit_ms, double stretch,
                    double worth, double late) {
  return {{"name", name},
          {"effect", effect},
          {"objective_us", objective_ms * 1000},
          {"hard_limit_us", limit_ms * 1000},
          {"aim_stretch", stretch},
          {"dedup_scope", "all"},
          {"dedup_window_us", 5000000},
          {"streamed", false},
          {"late_share", late},
          {"worth", worth}};
}

// A small deployment: one coordinator, the site's three classes.
inline json small_deployment() {
  return {{"balancers", 1},
          {"rank", 0},
          {"localities", {"gent-room1"}},
          {"locality", "gent-room1"},
          {"host_types", {"big-16c"}},
          {"registry_mode", "push"},
          {"customers",
           {{{"name", "vlaanderen"}, {"quota_rps", 69.0}, {"share", 0.57}},
            {{"name", "wallonie"}, {"quota_rps", 52.0}, {"share", 0.43}}}},
          {"family_info",
           {{"cores_by_kind", {16}},
            {"ram_of_kind_mb", {32768.0}},
            {"threads_by_class", {1, 2, 2}},
            {"class_load", {false, false, true}},
            {"yields_to_loads", {true, false, false}},
            {"progress_us", 500000},
            {"says_cost", false}}},
          {"limits",
           {{"most_tries", 5},
            {"may_cancel", true},
            {"may_probe", true},
            {"may_duplicate", false},
            {"multiplex", 100},
            {"retry_after", false},
            {"conn_idle_us", 15000000},
            {"connect_timeout_us", 250000}}},
          {"reporting", {{"how", "piggyback"}, {"names", {"concurrent", "load_share", "x1"}}}},
          {"rules",
           {{"answer_slack_us", 20000},
            {"drain_grace_us", 1000000},
            {"cold_from", 0.31},
            {"cold_us", 15000000},
            {"fall_us", 1500000},
            {"overload_factor", 4.0}}},
          {"profiles",
           {profile("lookup", "repeatable", 800, 4000, 2, 1, 0),
            profile("report", "repeatable", 3000, 15000, 2.5, 7.5, 0.3),
            profile("load", "once", 3000, 25000, 2.5, 10, 0.6)}}};
}

class Coordinator {
 public:
  Coordinator(std::string folder, Directory& directory, json settings, std::string conf = {},
              int memory_mb = 192, int sockets = 1024)
      : folder_(std::move(folder)),
        directory_(directory),
        settings_(std::move(settings)),
        conf_(std::move(conf)),
        memory_mb_(memory_mb),
        sockets_(sockets),
        port_(free_port()) {}
  ~Coordinator() { end_all(); }
  int port() const { return port_; }
  json& settings() { return settings_; }

  // As the platform writes it before each start; also read again at SIGHUP.
  void write_config() {
    const json config = {{"name", "n0"},
                         {"listen", "127.0.0.1:" + std::to_string(port_)},
                         {"seed", hex16(random64())},
                         {"limits", {{"cores", 1.0}, {"memory_mb", memory_mb_}, {"sockets", sockets_}}},
                         {"coordinator", "127.0.0.1:" + std::to_string(directory_.port())},
                         {"known", directory_.known()},
                         {"settings", settings_}};
    const std::string path = folder_ + "/config.json";
    std::ofstream(path + ".new", std::ios::trunc) << config.dump();
    std::filesystem::rename(path + ".new", path);
    if (!conf_.empty()) std::ofstream(folder_ + "/steprail.conf", std::ios::trunc) << conf_;
  }
  // Starts the program by the line `run` of the deploy file. Returns its process id.
  pid_t start() {
    write_config();
    std::string run = std::getenv("RUN") != nullptr ? std::getenv("RUN") : "";
    if (run.empty()) throw CannotRun{"the line 'run' of the deploy file is not given"};
    if (!conf_.empty()) run += " --conf " + folder_ + "/steprail.conf";
    const std::string tmp = folder_ + "/tmp", log = folder_ + "/log-" + std::to_string(++starts_);
    std::filesystem::create_directories(tmp);
    const std::string config = folder_ + "/config.json", listen = "127.0.0.1:" + std::to_string(port_);
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid < 0) throw CannotRun{"no process can be started"};
    if (pid == 0) {
      ::setpgid(0, 0);
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(127);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(out, 1), ::dup2(out, 2);
      for (int fd = 3; fd < 4096; ++fd) ::close(fd);
      ::setenv("NODE_NAME", "n0", 1);
      ::setenv("NODE_LISTEN", listen.c_str(), 1);
      ::setenv("NODE_CONFIG", config.c_str(), 1);
      ::setenv("TMPDIR", tmp.c_str(), 1);
      ::execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
      ::_exit(127);
    }
    pids_.push_back(pid);
    record.line("platform: process %d is started", starts_);
    return pid;
  }
  // The front takes the coordinator in once it has answered `check` with yes.
  void wait_until_ready(int wait_ms = 10000) const {
    const int until = now_ms() + wait_ms;
    while (now_ms() < until) {
      Client client;
      if (client.connect(port_) && client.write(check_frame(1))) {
        const auto reply = client.reply(500);
        if (reply && reply->good) return record.line("platform: the coordinator is ready");
      }
      sleep_ms(20);
    }
    throw CannotRun{"the coordinator is not ready in time"};
  }
  static void send_signal(pid_t pid, int number) {
    record.line("platform: signal %s", number == SIGTERM   ? "SIGTERM"
                                       : number == SIGKILL ? "SIGKILL"
                                       : number == SIGHUP  ? "SIGHUP"
                                                           : std::to_string(number).c_str());
    ::kill(pid, number);
  }
  // True if the process has ended within that time.
  bool wait_for_end(pid_t pid, int wait_ms, int* status = nullptr) {
    const int until = now_ms() + wait_ms;
    for (;;) {
      int how = 0;
      if (::waitpid(pid, &how, WNOHANG) == pid) {
        std::erase(pids_, pid);
        if (status != nullptr) *status = how;
        record.line("platform: the process has ended, %s %d", WIFEXITED(how) ? "exit status" : "signal",
                    WIFEXITED(how) ? WEXITSTATUS(how) : WTERMSIG(how));
        return true;
      }
      if (now_ms() >= until) return false;
      sleep_ms(5);
    }
  }
  void end_all() {
    for (const pid_t pid : pids_) ::kill(pid, SIGKILL);
    for (const pid_t pid : pids_) ::waitpid(pid, nullptr, 0);
    pids_.clear();
  }
  std::string log(int start) const {
    std::ifstream file(folder_ + "/log-" + std::to_string(start));
    return {std::istreambuf_iterator<char>(file), {}};
  }
  int starts() const { return starts_; }

 private:
  std::string folder_;
  Directory& directory_;
  json settings_;
  std::string conf_;
  int memory_mb_, sockets_, port_, starts_{0};
  std::vector<pid_t> pids_;
};

// A request's fields, as a sound client writes them.
inline Fields request(const std::string& txn, const std::string& verb, int limit_ms, double cpu_ms,
                      const std::string& team = "vlaanderen") {
  char cpu[32];
  std::snprintf(cpu, sizeof cpu, "%.1f", cpu_ms);
  return {{"txn", txn},   {"verb", verb}, {"limit", std::to_string(limit_ms)},
          {"team", team}, {"cpu", cpu},   {"mem", "96"}};
}

}  // namespace rig
