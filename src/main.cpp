// The command line, and how a coordinator is put together, started and stopped.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "config.h"
#include "core/coordinator.h"
#include "net/directory.h"
#include "net/engine_pool.h"
#include "net/front.h"

namespace {

using namespace steprail;

// After SIGTERM new connections come for 0.4 s at most, and requests on open ones for 0.2 s more.
constexpr std::chrono::milliseconds kGrace{700};
constexpr std::chrono::milliseconds kDrainLook{10};
constexpr std::size_t kOwnDescriptors = 24;  // log, epoll, timers, signals, listener, directory

class Server {
 public:
  explicit Server(Config config)
      : config_(std::move(config)),
        strand_(io_.get_executor()),
        signals_(strand_),
        grace_(strand_),
        coordinator_(strand_, log_, config_.seed, config_.settings),
        engines_(strand_, coordinator_, log_, engine_limits()),
        front_(strand_, coordinator_, log_, config_.settings, config_.tables, {client_limit()}),
        directory_(strand_, coordinator_, log_, config_.tables, config_.directory) {
    coordinator_.attach(front_, engines_);
  }

  int serve() {
    std::signal(SIGPIPE, SIG_IGN);
    signals_.add(SIGTERM);
    signals_.add(SIGINT);
    signals_.async_wait([this](boost::system::error_code error, int) {
      if (!error) stop();
    });
    coordinator_.start();
    directory_.load(config_.known);
    directory_.follow();
    front_.listen(config_.listen);
    front_.set_ready(true);
    log_.line("serving as " + config_.name);
    io_.run();
    log_.line("ended, " + std::to_string(log_.broken_count()) + " invariants broken");
    return 0;
  }

 private:
  // Clients hold a third of the descriptors at most; with the close of one and the start of the next
  // crossing, they are given a little more than that. The engines share what is left.
  std::size_t client_limit() const { return std::max<std::size_t>(1, config_.sockets * 2 / 5); }
  EnginePool::Limits engine_limits() const {
    EnginePool::Limits limits = config_.engines;
    limits.connections = std::max<std::size_t>(
        1, config_.sockets - client_limit() - std::min(config_.sockets / 4, kOwnDescriptors));
    return limits;
  }

  void stop() {
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
  void leave() {
    if (front_.written_out()) return io_.stop();
    grace_.expires_after(kDrainLook);
    grace_.async_wait([this](boost::system::error_code error) {
      if (!error) leave();
    });
  }

  Config config_;
  EventLog log_;
  boost::asio::io_context io_{1};
  Strand strand_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer grace_;
  Coordinator coordinator_;
  EnginePool engines_;
  ThriftFront front_;
  Directory directory_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"steprail: a coordinator in front of query engines"};
  app.require_subcommand(1);
  std::string path;
  const auto with_config = [&](CLI::App* command) {
    command->add_option("--config", path, "configuration file (JSON)")->envname("NODE_CONFIG")->required();
    return command;
  };
  CLI::App* serve = with_config(app.add_subcommand("serve", "serve until SIGTERM"));
  CLI::App* check =
      with_config(app.add_subcommand("check-config", "read the configuration and say if it can be used"));
  CLI::App* version = app.add_subcommand("version", "print the version");
  CLI11_PARSE(app, argc, argv);
  try {
    if (*version) std::cout << "steprail " STEPRAIL_VERSION "\n";
    if (*check) {
      const Config config = read_config(path);
      std::cout << config.name << ": can be used\n";
    }
    if (*serve) return Server(read_config(path)).serve();
  } catch (const std::exception& fault) {
    std::cerr << "steprail: " << fault.what() << '\n';
    return 1;
  }
  return 0;
}
