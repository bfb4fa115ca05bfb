// Integration tests of the program as a process of its own: start, stop, signals, and limits of descriptors
// and memory.
#include <fcntl.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <csignal>

#include "net_world.h"

using namespace net_fixture;

namespace {

using Clock = std::chrono::steady_clock;

// A loopback address that only this process uses, with a free port.
tcp::endpoint free_endpoint() {
  const auto pid = static_cast<std::uint32_t>(::getpid());
  const asio::ip::address_v4 host((127u << 24) | (77u << 16) | (pid & 0xffffu) | 1u);
  asio::io_context io;
  return tcp::acceptor(io, {host, 0}).local_endpoint();
}

std::string to_text(const tcp::endpoint& at) {
  return at.address().to_string() + ':' + std::to_string(at.port());
}

class Process {
 public:
  explicit Process(const std::string& config, rlim_t descriptors = 0) {
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(ends[1], 2);
      ::close_range(3, ~0u, 0);  // the child must not inherit this process's listeners
      const rlimit descriptor_limit{descriptors, descriptors};
      if (descriptors > 0) ::setrlimit(RLIMIT_NOFILE, &descriptor_limit);
      ::execl(STEPRAIL, STEPRAIL, "serve", "--config", config.c_str(), nullptr);
      ::_exit(127);
    }
    ::close(ends[1]);
    log_ = ends[0];
  }
  ~Process() {
    if (pid_ > 0) {
      // The test ended before the process did: the end of its log shows why.
      ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
      for (char bytes[4096];;) {
        const auto count = ::read(log_, bytes, sizeof bytes);
        if (count <= 0) break;
        log.append(bytes, static_cast<std::size_t>(count));
      }
      WARN(log.substr(log.size() - std::min<std::size_t>(log.size(), 2000)));
    }
    ::close(log_);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void signal(int number) const { REQUIRE(::kill(pid_, number) == 0); }
  // Returns true once the log contains the text, false if the log ends without it.
  bool wait_for_log(const std::string& text) {
    while (log.find(text) == std::string::npos) {
      if (!read()) return false;
    }
    return true;
  }
  // Reads what has been logged so far.
  void read_available() {
    pollfd poll_request{log_, POLLIN, 0};
    while (::poll(&poll_request, 1, 0) == 1 && read()) continue;
  }
  // Returns the exit code, or the negated number of the signal that ended the process.
  int wait() {
    while (read()) continue;
    int status = 0;
    ::waitpid(std::exchange(pid_, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  pid_t pid() const { return pid_; }
  std::string log;

 private:
  bool read() {
    pollfd poll_request{log_, POLLIN, 0};
    REQUIRE(::poll(&poll_request, 1, 30'000) == 1);  // fails a test that hangs
    char bytes[4096];
    const auto count = ::read(log_, bytes, sizeof bytes);
    if (count > 0) log.append(bytes, static_cast<std::size_t>(count));
    return count > 0;
  }

  pid_t pid_{};
  int log_{};
};

// A configuration file that the test writes while the program reads it: a named pipe, where each side's
// open() waits for the other side's.
class ConfigPipe {
 public:
  ConfigPipe() { REQUIRE(::mkfifo(path.c_str(), 0600) == 0); }
  ~ConfigPipe() { std::remove(path.c_str()); }
  ConfigPipe(const ConfigPipe&) = delete;
  ConfigPipe& operator=(const ConfigPipe&) = delete;
  // Returns once the program has opened the file, and so while it is starting.
  int open() const { return ::open(path.c_str(), O_WRONLY); }
  static void write(int end, const std::string& text) {
    CHECK(::write(end, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    ::close(end);
  }
  const std::string path{"/tmp/steprail-fifo-" + std::to_string(::getpid())};
};

json process_config(const tcp::endpoint& listen, const std::string& directory) {
  json from = config(directory, json::array());
  from["listen"] = to_text(listen);
  return from;
}

// Connects as a client, as soon as the program listens.
std::unique_ptr<Peer> connect(asio::io_context& io, const tcp::endpoint& to) {
  const auto end = Clock::now() + kHangTimeout;
  for (;;) {
    tcp::socket socket(io);
    error_code error;
    socket.connect(to, error);
    if (!error) return std::make_unique<Peer>(std::move(socket));
    REQUIRE(Clock::now() < end);
    ::usleep(1000);
  }
}

void wait_until(const std::function<bool()>& condition) {
  const auto end = Clock::now() + kHangTimeout;
  while (!condition()) {
    REQUIRE(Clock::now() < end);
    ::usleep(1000);
  }
}

}  // namespace

// Guards against a signal that ends the process by its default action while it still reads its configuration.
TEST_CASE("process: SIGTERM during the start, even twice, ends it with exit code 0") {
  ConfigPipe file;
  Process process(file.path);
  const int end = file.open();
  process.signal(SIGTERM);
  process.signal(SIGTERM);
  ConfigPipe::write(end, process_config(free_endpoint(), "127.0.0.1:9").dump());
  CHECK(process.wait() == 0);
  CHECK(process.log.find("stopping, 0 requests open") != std::string::npos);
}

// Guards against a SIGHUP for a new configuration that ends a starting process, or that it misses.
TEST_CASE("process: SIGHUP during the start does not end it and is not lost") {
  asio::io_context io;
  Listener first(io), second(io);
  const auto listen = free_endpoint();
  ConfigPipe file;
  Process process(file.path);
  int end = file.open();
  process.signal(SIGHUP);
  ConfigPipe::write(end, process_config(listen, address(first.acceptor)).dump());
  REQUIRE(process.wait_for_log("serving as n0"));
  end = file.open();  // the program reads its configuration again
  ConfigPipe::write(end, process_config(listen, address(second.acceptor)).dump());
  wait_until([&] { return second.has(0, "follow 1\n"); });
  process.signal(SIGTERM);
  CHECK(process.wait() == 0);
}

// Guards against a start that fails because the previous process still answers its accepted requests.
TEST_CASE("process: an address that another process still holds is waited for") {
  asio::io_context io;
  const auto listen = free_endpoint();
  auto before = std::make_unique<tcp::acceptor>(io, listen);
  ConfigFile file(process_config(listen, "127.0.0.1:9"));
  Process process(file.path());
  REQUIRE(process.wait_for_log("is held by another process, waiting"));
  before.reset();
  const auto client = connect(io, listen);
  client->write(kCheckCall);
  wait_until([&] { return client->read().size() > 4; });
  process.signal(SIGTERM);
  CHECK(process.wait() == 0);
}

// Guards against a process that ignores signals while it waits for its address.
TEST_CASE("process: SIGTERM while the address is held by another process ends it with exit code 0") {
  asio::io_context io;
  const tcp::acceptor before(io, free_endpoint());
  ConfigFile file(process_config(before.local_endpoint(), "127.0.0.1:9"));
  Process process(file.path());
  REQUIRE(process.wait_for_log("is held by another process, waiting"));
  process.signal(SIGTERM);
  CHECK(process.wait() == 0);
}

// Guards against a restart that fails under its old address, or whose accept queue is too short for all the
// clients that wait for it.
TEST_CASE(
    "process: killed with open connections, it restarts at once under its address and serves waiting "
    "clients") {
  asio::io_context io;
  const auto listen = free_endpoint();
  ConfigFile file(process_config(listen, "127.0.0.1:9"));
  auto process = std::make_unique<Process>(file.path());
  std::vector<std::unique_ptr<Peer>> clients;
  for (int i = 0; i < 200; ++i) clients.push_back(connect(io, listen));
  for (const auto& client : clients) client->write(kCheckCall);
  for (const auto& client : clients) wait_until([&] { return client->read().size() > 4; });
  process->signal(SIGKILL);
  CHECK(process->wait() == -SIGKILL);
  process = std::make_unique<Process>(file.path());
  clients.clear();
  for (int i = 0; i < 200; ++i) clients.push_back(connect(io, listen)), clients.back()->write(kCheckCall);
  for (const auto& client : clients) wait_until([&] { return client->read().size() > 4; });
  process->signal(SIGTERM);
  CHECK(process->wait() == 0);
}

// Guards against a process that serves with an unusable configuration, or ends without an error message.
TEST_CASE("process: a bad configuration gives a one-line error message and a non-zero exit code") {
  ConfigFile file(process_config(free_endpoint(), "127.0.0.1:9"));
  const std::string whole = process_config(free_endpoint(), "127.0.0.1:9").dump();
  json wrong = process_config(free_endpoint(), "127.0.0.1:9");
  wrong["settings"]["profiles"] = 7;
  for (const std::string& text : {std::string(), whole.substr(0, whole.size() / 2), wrong.dump()}) {
    file.write(text);
    Process process(file.path());
    CHECK(process.wait() == 1);
    CHECK(std::count(process.log.begin(), process.log.end(), '\n') == 1);
    CHECK(process.log.find("cannot be used") != std::string::npos);
  }
  Process process("/nowhere/config.json");
  CHECK(process.wait() == 1);
  CHECK(process.log == "steprail: configuration /nowhere/config.json cannot be opened\n");
}

#ifndef __SANITIZE_ADDRESS__  // the address sanitizer itself needs descriptors
// Guards against a busy loop or an exception when descriptors run out, although fewer than the configured
// limit are used.
TEST_CASE("process: it recovers after running out of descriptors") {
  asio::io_context io;
  const auto listen = free_endpoint();
  Listener directory(io), engine(io);
  json from = process_config(listen, address(directory.acceptor));
  from["known"]["updates"] = {event(1, {row(0, address(engine.acceptor))}, true)};
  ConfigFile file(from);
  Process process(file.path(), 16);
  const auto first = connect(io, listen);
  first->write(kCheckCall);
  wait_until([&] { return first->read().size() > 4; });
  std::vector<std::unique_ptr<Peer>> many;
  for (int i = 0; i < 30; ++i) many.push_back(connect(io, listen)), many.back()->write(kCheckCall);
  REQUIRE(process.wait_for_log("accept failed: Too many open files"));
  // No connection to the engine can be made: the client is answered at once.
  first->received.clear();
  first->write(query(1, kId));
  wait_until([&] { return first->read().size() > 4; });
  rusage before{}, after{};
  ::usleep(300'000);
  many.clear();
  const auto late = connect(io, listen);
  late->write(kCheckCall);
  wait_until([&] { return late->read().size() > 4; });
  late->write(query(2, "00000000000000a2"));
  wait_until([&] { return engine.has(0, "serve 00000000000000a2"); });
  engine.peer(0)->write(ack("00000000000000a2", "x\t\t\n"));
  wait_until([&] { return late->has("x\t\t\n"); });
  process.signal(SIGTERM);
  ::getrusage(RUSAGE_CHILDREN, &before);
  CHECK(process.wait() == 0);
  ::getrusage(RUSAGE_CHILDREN, &after);
  CHECK(after.ru_utime.tv_sec - before.ru_utime.tv_sec <= 1);  // user time of its whole run: it did not spin
}

#endif

// Guards against a directory failure that keeps a process from starting, serving or ending.
TEST_CASE("process: it serves with a directory that is absent, silent, or closes within an event") {
  asio::io_context io;
  for (const int kind : {0, 1, 2}) {  // 0: absent, 1: silent, 2: closes within an event
    const auto listen = free_endpoint();
    Listener directory(io), engine(io);
    json from = process_config(listen, address(directory.acceptor));
    from["known"]["updates"] = {event(1, {row(0, address(engine.acceptor))}, true)};
    if (kind == 0) directory.acceptor.close();
    ConfigFile file(from);
    Process process(file.path());
    const auto client = connect(io, listen);
    if (kind == 2) {
      wait_until([&] { return directory.has(0, "follow 1\n"); });
      directory.peer(0)->write("{\"index\":2,\"endp");
      directory.peer(0)->close();
    }
    client->write(query(1, kId));
    wait_until([&] { return engine.has(0, "serve " + kId); });
    engine.peer(0)->write(ack(kId, "x\t\t\n"));
    wait_until([&] { return client->read().size() > 4; });
    if (kind == 2) wait_until([&] { return directory.has(1, "follow 1\n"); });
    process.signal(SIGTERM);
    CHECK(process.wait() == 0);
  }
}

namespace {

// An engine whose only client is the program. It tells the attempts of a request apart by the connection and
// the position of their command on it.
struct WatchedEngine {
  explicit WatchedEngine(asio::io_context& io) : listener(io) {}
  // Returns how often the request was sent to this engine, over all connections.
  std::size_t attempts(const std::string& id) {
    listener.poll();
    std::size_t count = 0;
    const std::string command = "serve " + id + ' ';
    for (const auto& peer : listener.peers) {
      const std::string& in = peer->read();
      for (auto at = in.find(command); at != std::string::npos; at = in.find(command, at + 1)) ++count;
    }
    return count;
  }
  Listener listener;
};

json one_engine_config(const tcp::endpoint& listen, const std::string& directory, WatchedEngine& engine) {
  json from = process_config(listen, directory);
  from["known"]["updates"] = {event(1, {row(0, address(engine.listener.acceptor))}, true)};
  from["settings"]["limits"]["most_tries"] = 5;
  return from;
}

// Long enough for every unwanted attempt to arrive; a correct program sends none, so nothing signals the end.
constexpr auto kExtraAttemptWait = std::chrono::milliseconds(300);

// Checks the number of attempts until a further attempt would have arrived.
void expect_attempts(WatchedEngine& engine, const std::string& id, std::size_t count) {
  const auto end = Clock::now() + kExtraAttemptWait;
  while (Clock::now() < end) {
    REQUIRE(engine.attempts(id) == count);
    ::usleep(10'000);
  }
}

}  // namespace

// Guards against errors for several lost pages of one attempt that end the attempts after it.
TEST_CASE("process: lost pages of one attempt do not start several attempts at once") {
  asio::io_context io;
  Listener directory(io);
  WatchedEngine engine(io);
  const auto listen = free_endpoint();
  ConfigFile file(one_engine_config(listen, address(directory.acceptor), engine));
  Process process(file.path());
  const auto client = connect(io, listen);
  client->write(query(1, kId));
  wait_until([&] { return engine.attempts(kId) == 1; });
  Peer& first = *engine.listener.peer(0);
  first.write(ack(kId, "a\t\t\n", 4));
  wait_until([&] { return first.has("read " + kId + " 3\r\n"); });
  // One error for each requested page; the next attempt starts after the first error, before the others.
  const std::string lost = kId + " EIO - 0\r\n\r\n";
  first.write(lost);
  wait_until([&] { return engine.attempts(kId) == 2; });
  first.write(lost + lost);
  expect_attempts(engine, kId, 2);
  for (const auto& peer : engine.listener.peers) peer->write(ack(kId, "b\t\t\n"));
  wait_until([&] { return client->read().size() > 4; });
  CHECK(client->received.find("b\t\t\n") != std::string::npos);
  process.signal(SIGTERM);
  CHECK(process.wait() == 0);
}

// Guards against a duplicate "full" reply that is taken for the reply to the next attempt: a load would run
// twice.
TEST_CASE("process: a duplicate refusal does not start a load twice") {
  asio::io_context io;
  Listener directory(io);
  WatchedEngine engine(io);
  const auto listen = free_endpoint();
  ConfigFile file(one_engine_config(listen, address(directory.acceptor), engine));
  Process process(file.path());
  const auto client = connect(io, listen);
  client->write(query(1, kId, "load"));
  wait_until([&] { return engine.attempts(kId) == 1; });
  const std::string full = kId + " AGAIN - 0\r\n\r\n";
  engine.listener.peer(0)->write(full);
  wait_until([&] { return engine.attempts(kId) >= 2; });
  engine.listener.peer(0)->write(full);
  expect_attempts(engine, kId, 2);
  for (const auto& peer : engine.listener.peers) peer->write(ack(kId, "b\t\t\n"));
  wait_until([&] { return client->read().size() > 4; });
  CHECK(client->received.find("b\t\t\n") != std::string::npos);
  process.signal(SIGTERM);
  CHECK(process.wait() == 0);
}

namespace {

// A thousand engines behind one listener, which accepts connections to any loopback address.
class ManyEngines {
 public:
  explicit ManyEngines(asio::io_context& io) : acceptor_(io, {asio::ip::address_v4::any(), 0}) {
    acceptor_.non_blocking(true);
  }
  std::string at(int number) const {
    const asio::ip::address_v4 host((127u << 24) | (80u << 16) | static_cast<std::uint32_t>(number + 1));
    return to_text({host, acceptor_.local_endpoint().port()});
  }
  // Accepts all connections and answers all commands that have arrived.
  void poll() {
    for (;;) {
      error_code error;
      tcp::socket socket(acceptor_.get_executor());
      acceptor_.accept(socket, error);
      if (error) break;
      peers_.push_back(std::make_unique<Peer>(std::move(socket)));
      ++connections;
    }
    for (const auto& peer : peers_) answer(*peer);
    std::erase_if(peers_, [](const auto& peer) { return peer->ended(); });
  }
  std::size_t served{}, connections{};

 private:
  void answer(Peer& peer) {
    for (peer.read();;) {
      const std::size_t end = peer.received.find("\r\n");
      if (end == std::string::npos) return;
      const std::string line = peer.received.substr(0, end);
      const std::string id =
          line.substr(line.find(' ') + 1, line.find(' ', line.find(' ') + 1) - line.find(' ') - 1);
      std::size_t whole = end + 2;
      if (line.starts_with("serve ")) {
        whole += std::stoul(line.substr(line.rfind(' ') + 1)) + 2;
        if (peer.received.size() < whole) return;
        peer.write(ack(id, "x\t\t\n"));
        ++served;
      } else if (line.starts_with("gauges ")) {
        peer.write(id + " READY rep=load_share:0.2 0\r\n\r\n");
      }
      peer.received.erase(0, whole);
    }
  }
  tcp::acceptor acceptor_;
  std::vector<std::unique_ptr<Peer>> peers_;
};

constexpr int kEngineCount = 1024;
constexpr std::size_t kMemoryMb = 56, kSockets = 512;

json many_rows(const ManyEngines& engines, int from) {
  json rows = json::array();
  for (int i = 0; i < kEngineCount; ++i) {
    json one = row(from + i, engines.at(i));
    one["zone"] = "zone" + std::to_string(i % 16);
    one["type"] = "kind" + std::to_string(i % 12);
    rows.push_back(one);
  }
  return rows;
}

json many_config(const tcp::endpoint& listen, const std::string& directory, const json& rows) {
  json from = process_config(listen, directory);
  from["known"]["updates"] = {event(1, rows, true)};
  from["limits"] = {{"cores", 1.0}, {"memory_mb", kMemoryMb}, {"sockets", kSockets}};
  json& settings = from["settings"];
  settings["balancers"] = kEngineCount, settings["rank"] = kEngineCount - 1;
  settings["localities"] = settings["host_types"] = json::array();
  for (int i = 0; i < 16; ++i) settings["localities"].push_back("zone" + std::to_string(i));
  for (int i = 0; i < 12; ++i) settings["host_types"].push_back("kind" + std::to_string(i));
  settings["locality"] = "zone3";
  settings["family_info"] = {{"cores_by_kind", std::vector<int>(12, 8)},
                             {"threads_by_class", {1, 2}},
                             {"class_load", {false, true}},
                             {"yields_to_loads", {true, false}},
                             {"progress_us", 500000}};
  for (int i = 0; i < 64; ++i)
    settings["customers"].push_back(
        {{"name", i == 0 ? "acme" : "team" + std::to_string(i)}, {"share", 1.0 / 64}});
  return from;
}

[[maybe_unused]] long proc_status_value(pid_t pid, const std::string& name) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with(name + ':')) return std::stol(line.substr(name.size() + 1));
  return -1;
}

}  // namespace

// Guards against a limit on the number of engines or coordinators, and against memory, descriptors or time
// that grow with their product.
TEST_CASE(
    "process: a thousand coordinators and engines, 60 % of the engines replaced, the directory moved, stop") {
  asio::io_context io;
  Listener first(io), second(io);
  ManyEngines engines(io);
  const auto listen = free_endpoint();
  json from = many_config(listen, address(first.acceptor), many_rows(engines, 0));
  ConfigFile file(from);
  Process process(file.path());
  const auto client = connect(io, listen);
  int call = 0, answered = 0, good = 0;
  const auto poll_all = [&] {
    process.read_available(), engines.poll();
    for (client->read(); client->received.size() >= 4;) {
      const auto length = static_cast<std::size_t>(thrift::frame_length(client->received));
      if (client->received.size() < 4 + length) break;
      const std::string bytes = client->received.substr(4, length);
      client->received.erase(0, 4 + length);
      thrift::Reader reader(bytes);
      thrift::Message message;
      REQUIRE(thrift::read_message_head(reader, message));
      ++answered, reader.u8(), good += reader.i16() == 0;
    }
  };
  const auto run_queries = [&](int count) {
    for (int i = 0; i < count; ++i) {
      char id[17];
      std::snprintf(id, sizeof id, "%016x", ++call);
      client->write(query(call, id, call % 16 == 0 ? "load" : "lookup"));
      wait_until([&] { return poll_all(), answered + 16 > call; });
    }
    wait_until([&] { return poll_all(), answered == call; });
  };
  // The program reconnects to a directory that was silent for long, so the update goes to its open
  // connection.
  const auto send_update = [&](Listener& directory, const std::string& follow, const std::string& text) {
    wait_until([&] {
      poll_all(), directory.poll();
      for (const auto& peer : directory.peers) {
        if (!peer->has(follow) || peer->ended()) continue;
        peer->write(text);
        return true;
      }
      return false;
    });
  };
  run_queries(200);
  CHECK(good >= call * 9 / 10);
  send_update(first, "follow 1\n", event(2, many_rows(engines, 0), true).dump() + "\n2\n");
  run_queries(50);
  // New engines under the addresses of those that leave.
  json change = json::array();
  const json one = many_rows(engines, 0)[0];
  for (int i = 0; i < kEngineCount; ++i) {
    if (i % 10 >= 6) continue;
    json gone = one;
    gone["name"] = "engine" + std::to_string(i), gone["status"] = "left", gone["address"] = engines.at(i);
    json fresh = gone;
    fresh["name"] = "engine" + std::to_string(kEngineCount + i), fresh["status"] = "active";
    change.push_back(gone), change.push_back(fresh);
  }
  send_update(first, "follow 2\n", event(3, change, false).dump() + "\n3\n");
  run_queries(200);
  CHECK(good >= call * 9 / 10);
  from["coordinator"] = address(second.acceptor);
  file.write(from.dump());
  process.signal(SIGHUP);
  send_update(second, "follow 3\n", "3\n");
  run_queries(20);
#ifdef NDEBUG
  CHECK(proc_status_value(process.pid(), "VmHWM") < static_cast<long>(kMemoryMb << 10) / 2);
#endif
  process.signal(SIGTERM);
  CHECK(process.wait() == 0);
  CHECK(process.log.find(", 0 invariants broken") != std::string::npos);
}
