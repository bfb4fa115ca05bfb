#include "server.h"

#include <csignal>

namespace steprail {

namespace {
// After SIGTERM new connections come for 0.4 s at most, and requests on open ones for 0.2 s more.
constexpr std::chrono::milliseconds kGrace{700};
constexpr std::chrono::milliseconds kDrainLook{10};
constexpr std::chrono::seconds kSettle{5};
constexpr std::size_t kStorePart = 8;        // of the memory may be held for slow clients
constexpr std::size_t kOwnDescriptors = 24;  // log, epoll, timers, signals, listener, directory
}  // namespace

Server::Server(Config config)
    : config_(std::move(config)),
      strand_(io_.get_executor()),
      signals_(strand_),
      grace_(strand_),
      coordinator_(strand_, log_, config_.seed, config_.settings),
      engines_(strand_, coordinator_, log_, engine_limits()),
      front_(strand_, coordinator_, log_, config_.tables,
             {.sessions = client_limit(), .store = (config_.memory_mb << 20) / kStorePart}),
      directory_(strand_, coordinator_, log_, config_.tables, config_.directory, reference_time()) {
  coordinator_.attach(engines_);
}

void Server::start() {
  std::signal(SIGPIPE, SIG_IGN);
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  signals_.add(SIGHUP);
  await_signal();
  coordinator_.start();
  directory_.load(config_.known);
  directory_.follow();
  endpoint_ = front_.listen(config_.listen);
  front_.set_ready(true);
  log_.line("serving as " + config_.name);
}

void Server::await_signal() {
  signals_.async_wait([this](boost::system::error_code error, int number) {
    if (error) return;
    number == SIGHUP ? reload() : stop();
    await_signal();
  });
}

// Only the directory's address can change under way: what else the file says takes a restart. A file that
// cannot be used changes nothing.
void Server::reload() {
  try {
    const Config fresh = read_config(config_.path);
    log_.line("configuration read again");
    directory_.move_to(fresh.directory);
  } catch (const std::exception& fault) {
    log_.line(std::string("configuration kept as it was: ") + fault.what());
  }
}

// Clients hold a third of the descriptors at most; with the close of one and the start of the next crossing,
// they are given a little more than that. The engines share what is left.
std::size_t Server::client_limit() const { return std::max<std::size_t>(1, config_.sockets * 2 / 5); }

// Until every request that may have had an attempt on an engine has ended, and the module's next look around.
Micros Server::reference_time() const {
  Micros longest{0};
  for (const ClassSettings& cls : config_.settings.classes) longest = std::max(longest, cls.hard_limit);
  return longest + config_.settings.answer_slack + Micros{kSettle};
}

EnginePool::Limits Server::engine_limits() const {
  EnginePool::Limits limits = config_.engines;
  const std::size_t taken = client_limit() + std::min(config_.sockets / 4, kOwnDescriptors);
  limits.connections = std::max<std::size_t>(1, config_.sockets - std::min(taken, config_.sockets));
  return limits;
}

void Server::stop() {
  if (std::exchange(stopping_, true)) return;
  log_.line("stopping, " + std::to_string(coordinator_.unanswered()) + " requests open");
  front_.set_ready(false);
  grace_.expires_after(kGrace);
  grace_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    front_.refuse_new();
    coordinator_.when_empty([this] { leave(); });
  });
}

// The last answers must be with the kernel before the process ends.
void Server::leave() {
  if (front_.written_out()) {
    log_.line("ended, " + std::to_string(log_.broken_count()) + " invariants broken");
    return io_.stop();
  }
  grace_.expires_after(kDrainLook);
  grace_.async_wait([this](boost::system::error_code error) {
    if (!error) leave();
  });
}

}  // namespace steprail
