#include "server.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "base/signals.h"

namespace steprail {

namespace {
// After SIGTERM new connections come for 0.4 s at most, and requests on open ones for 0.2 s more.
constexpr std::chrono::milliseconds kGrace{700};
// SIGKILL comes no earlier than the longest request's time, or 3 s where that is longer, after the grace.
// Shortly before, what is still open is answered: a process that is killed answers nobody.
constexpr std::chrono::milliseconds kKilledAfter{3000}, kLastAnswers{200};
constexpr std::chrono::milliseconds kDrainLook{10};
constexpr std::chrono::seconds kSettle{5};
// Clients come once all coordinators are ready, or after 30 s.
constexpr std::chrono::seconds kListenMost{30};
constexpr std::chrono::milliseconds kListenPause{50};
constexpr std::chrono::seconds kDrainMost{15};  // for devices to take what is on its way to them
constexpr std::size_t kStorePart = 8;           // of the memory may be held for slow clients
constexpr std::size_t kSpoolDescriptors =
    16;                                      // listener, index, a segment being written and those being read
constexpr std::size_t kOwnDescriptors = 24;  // log, epoll, timers, signals, listener, directory
}  // namespace

Server::Server(Config config, OperatorConf conf, spool::Substitutes substitutes,
               std::unique_ptr<spool::Index> ledger)
    : config_(std::move(config)),
      conf_(std::move(conf)),
      strand_(io_.get_executor()),
      signals_(strand_),
      grace_(strand_),
      last_call_(strand_),
      last_(strand_),
      coordinator_(strand_, log_, config_.seed, config_.settings),
      engines_(strand_, coordinator_, log_, engine_limits()),
      front_(strand_, coordinator_, log_, config_.tables,
             {.sessions = client_limit(), .store = (config_.memory_mb << 20) / kStorePart}),
      directory_(strand_, coordinator_, log_, config_.tables, config_.directory, reference_time(),
                 config_.seed) {
  coordinator_.attach(engines_);
  start_parts(std::move(substitutes), std::move(ledger));
}

Server::~Server() = default;

void Server::start_parts(spool::Substitutes substitutes, std::unique_ptr<spool::Index> ledger) {
  if (conf_.path.empty()) return;
  log_.configure(conf_.log);
  const std::string fault = misfit(conf_, config_.memory_mb, config_.sockets);
  if (!fault.empty()) throw std::runtime_error(conf_.path + ": " + fault);
  metrics_ = std::make_unique<Metrics>();
  take_routes(routes_of(conf_, config_.settings, config_.tables));
  if (!conf_.spool.on) return;
  std::vector<std::string> tenants;
  for (int i = 0; i < config_.tables.tenants.size(); ++i) tenants.push_back(config_.tables.tenants.name(i));
  spool_ = std::make_unique<spool::Spool>(strand_, log_, *metrics_, conf_.spool, std::move(tenants),
                                          std::move(substitutes));
  readers_ = std::make_unique<spool::ReaderFront>(strand_, coordinator_, log_, config_.tables, *spool_,
                                                  reader_limits());
  if (!conf_.edge.on) return;
  edge_ = std::make_unique<edge::Edge>(strand_, coordinator_, log_, *metrics_, config_.tables, *spool_,
                                       conf_.edge, config_.seed, std::move(ledger));
  edge_fronts_ = std::make_unique<edge::Fronts>(strand_, log_, *edge_, edge_limits());
}

void Server::take_routes(routes::RouteSet set) {
  if (routes_) return routes_->reconfigure(std::move(set));
  if (set.routes.empty()) return;
  routes_ = std::make_unique<routes::Routes>(coordinator_, log_, *metrics_, config_.tables, std::move(set));
}

edge::Fronts::Limits Server::edge_limits() const { return {conf_.edge.connections, conf_.edge.poll_wait}; }

FramedServer::Limits Server::reader_limits() const {
  return {.sessions = conf_.spool.sessions,
          .store = (config_.memory_mb << 20) / kStorePart,
          .idle = std::max(conf_.spool.logic.lease, Micros{kSettle}),
          .pause_at = conf_.spool.unread_most};
}

void Server::start() {
  std::signal(SIGPIPE, SIG_IGN);
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  signals_.add(SIGHUP);
  if (!conf_.metrics_file.empty()) signals_.add(SIGUSR1);
  await_signal();
  unblock_signals();
  coordinator_.start();
  directory_.load(config_.known);
  directory_.follow();
  if (readers_) {
    const auto at = parse_address(conf_.spool.listen);
    if (!at) throw std::runtime_error(conf_.path + ": listen is no address: '" + conf_.spool.listen + "'");
    reader_endpoint_ = readers_->listen(*at);
    readers_->set_ready(true);
    const std::string address =
        reader_endpoint_.address().to_string() + ':' + std::to_string(reader_endpoint_.port());
    log_.event(LogLevel::kInfo, "spool-listening", {{"address", address}});
  }
  if (edge_fronts_) {
    const auto at = parse_address(conf_.edge.listen);
    if (!at) throw std::runtime_error(conf_.path + ": listen is no address: '" + conf_.edge.listen + "'");
    edge_endpoint_ = edge_fronts_->listen(*at);
    const std::string address =
        edge_endpoint_.address().to_string() + ':' + std::to_string(edge_endpoint_.port());
    log_.event(LogLevel::kInfo, "edge-listening", {{"address", address}, {"home", conf_.edge.logic.home}});
  }
  listen_until_ = std::chrono::steady_clock::now() + kListenMost;
  open_front();
}

// The process before this one may hold the address still: it has its requests' time to end. Nobody comes to
// this one before it answers.
void Server::open_front() {
  if (stopping_) return;
  boost::system::error_code error;
  const tcp::endpoint at = front_.listen(config_.listen, error);
  if (!error) {
    endpoint_ = at;
    front_.set_ready(true);
    return log_.message("serving as " + config_.name);
  }
  const std::string address =
      config_.listen.address().to_string() + ':' + std::to_string(config_.listen.port());
  if (error != boost::asio::error::address_in_use || std::chrono::steady_clock::now() >= listen_until_)
    throw std::runtime_error("cannot listen at " + address + ": " + error.message());
  if (!std::exchange(told_held_, true))
    log_.message("the address " + address + " is held by another process, waiting");
  grace_.expires_after(kListenPause);
  grace_.async_wait([this](boost::system::error_code e) {
    if (!e) open_front();
  });
}

void Server::await_signal() {
  signals_.async_wait([this](boost::system::error_code error, int number) {
    if (error) return;
    if (number == SIGHUP) {
      reload();
    } else if (number == SIGUSR1) {
      write_metrics();
    } else {
      stop();
    }
    await_signal();
  });
}

// Of the platform's file only the directory's address can change under way: what else it says takes a
// restart. The operator's file is taken whole or not at all. Where either cannot be used, nothing changes.
void Server::reload() {
  try {
    const Config fresh = read_config(config_.path);
    OperatorConf conf = conf_.path.empty() ? OperatorConf{} : read_operator(conf_.path);
    std::string fault = misfit(conf, config_.memory_mb, config_.sockets);
    if (fault.empty()) {
      const std::string fixed = needs_restart(conf_, conf);
      if (!fixed.empty()) fault = "'" + fixed + "' changes with a restart only";
    }
    if (!fault.empty()) throw std::runtime_error(conf_.path + ": " + fault);
    routes::RouteSet set = routes_of(conf, config_.settings, config_.tables);
    log_.message("configuration read again");
    directory_.move_to(fresh.directory);
    if (conf_.path.empty()) return;
    conf_ = std::move(conf);
    log_.configure(conf_.log);
    take_routes(std::move(set));
    if (spool_) {
      spool_->reconfigure(conf_.spool);
      readers_->set_limits(reader_limits());
    }
    if (edge_) {
      edge_->reconfigure(conf_.edge);
      edge_fronts_->set_limits(edge_limits());
    }
  } catch (const std::exception& fault) {
    log_.message(std::string("configuration kept as it was: ") + fault.what());
  }
}

// Clients hold a third of the descriptors at most; with the close of one and the start of the next crossing,
// they are given a little more than that. The engines share what is left.
std::size_t Server::client_limit() const { return std::max<std::size_t>(1, config_.sockets * 2 / 5); }

// Until every request that may have had an attempt on an engine has ended, and the module's next look around.
Micros Server::reference_time() const {
  return longest_request() + config_.settings.answer_slack + Micros{kSettle};
}

Micros Server::longest_request() const {
  Micros longest{0};
  for (const ClassSettings& cls : config_.settings.classes) longest = std::max(longest, cls.hard_limit);
  return longest;
}

EnginePool::Limits Server::engine_limits() const {
  EnginePool::Limits limits = config_.engines;
  const std::size_t taken = client_limit() + std::min(config_.sockets / 4, kOwnDescriptors);
  limits.connections = std::max<std::size_t>(1, config_.sockets - std::min(taken, config_.sockets));
  // An engine has no core for a query of each coordinator, and no place for a connection of each attempt.
  const auto& kinds = config_.settings.kinds;
  limits.sharing = std::any_of(kinds.begin(), kinds.end(), [this](const KindSettings& kind) {
    return config_.settings.gateways > kind.cores;
  });
  // Readers' connections and the spool's own files come out of the engines' part.
  const std::size_t spool = conf_.spool.on ? conf_.spool.sessions + kSpoolDescriptors : 0;
  const std::size_t edge = conf_.edge.on ? conf_.edge.connections + kSpoolDescriptors : 0;
  limits.connections -= std::min(spool + edge, limits.connections - 1);
  return limits;
}

void Server::stop() {
  if (std::exchange(stopping_, true)) return;
  log_.message("stopping, " + std::to_string(coordinator_.unanswered()) + " requests open");
  front_.set_ready(false);
  if (readers_) readers_->set_ready(false);
  if (edge_) edge_->drain();
  // Results that are kept for readers end by their own bounds, and this process is given the time.
  if (!spool_) {
    last_call_.expires_after(kGrace + std::min<Micros>(longest_request(), kKilledAfter) - kLastAnswers);
    last_call_.async_wait([this](boost::system::error_code error) {
      if (error || coordinator_.unanswered() == 0) return;
      log_.message("answering " + std::to_string(coordinator_.unanswered()) +
                   " requests that cannot end any more");
      coordinator_.answer_all();
    });
  }
  // By then every request has its answer, and every client had its time to read it. Results that readers have
  // not fetched yet have bounds of their own.
  last_.expires_after(kGrace + reference_time());
  last_.async_wait([this](boost::system::error_code error) {
    if (!error && !spool_) end();
  });
  grace_.expires_after(kGrace);
  grace_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    front_.refuse_new();
    if (readers_) readers_->refuse_new();
    coordinator_.when_empty([this] {
      if (spool_) spool_->store_all();
      drain_until_ = std::chrono::steady_clock::now() + kDrainMost;
      leave();
    });
  });
}

void Server::write_metrics() {
  if (spool_) spool_->observe();
  if (edge_) edge_->observe();
  if (routes_) routes_->observe();
  if (!errands_) errands_ = std::make_unique<Worker>(1);
  const bool taken = errands_->post([this, path = conf_.metrics_file, text = metrics_->serialize()] {
    const std::string fault = replace_file(path, text);
    boost::asio::post(strand_, [this, fault] {
      if (fault.empty()) return log_.event(LogLevel::kInfo, "metrics-written", {});
      log_.event(LogLevel::kWarn, "metrics-not-written", {{"cause", fault}});
    });
  });
  if (!taken)
    log_.event(LogLevel::kWarn, "metrics-not-written", {{"cause", "the last ones are still being written"}});
}

// The last answers must be with the kernel before the process ends.
void Server::leave() {
  // Whole results that only this process has wait for their readers: their leases and give-up times end that.
  const bool spooled = !spool_ || (spool_->settled() && readers_->written_out());
  // Devices that are there hear their answers; those on dead links have the ledger, and the next process.
  const bool edged = !edge_ || (edge_->settled() && edge_fronts_->written_out()) ||
                     std::chrono::steady_clock::now() > drain_until_;
  if (front_.written_out() && spooled && edged) return end();
  grace_.expires_after(kDrainLook);
  grace_.async_wait([this](boost::system::error_code error) {
    if (!error) leave();
  });
}

void Server::end() {
  if (coordinator_.unanswered() > 0)
    log_.message("requests that never got their answer: " + std::to_string(coordinator_.unanswered()));
  log_.message("ended, " + std::to_string(log_.broken_invariant_count()) + " invariants broken");
  io_.stop();
}

}  // namespace steprail
