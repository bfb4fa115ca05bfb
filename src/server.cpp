#include "server.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "base/signals.h"

namespace steprail {

namespace {
// After SIGTERM new connections arrive for at most 0.4 s, and requests on open ones for 0.2 s more.
constexpr std::chrono::milliseconds kStopGrace{700};
// After the grace time, SIGKILL follows no earlier than the time limit of the longest request, or 3 s where
// that limit is longer. Shortly before, all open requests are answered, as a killed process can answer
// nobody.
constexpr std::chrono::milliseconds kMinKillDelay{3000}, kFinalAnswerMargin{200};
constexpr std::chrono::milliseconds kDrainPollInterval{10};
constexpr std::size_t kRunHistoryPerMb = 512;  // ids of some 80 bytes each: 4 % of the memory
constexpr std::chrono::seconds kSettleMargin{5};
// Clients connect once all coordinators are ready, or after 30 s.
constexpr std::chrono::seconds kListenTimeout{30};
constexpr std::chrono::milliseconds kListenRetryInterval{50};
constexpr std::chrono::seconds kMaxDeviceDrain{15};  // time for devices to receive messages in transit
// Parts of the clients' memory: open requests, replies to slow clients, long requests received in part.
constexpr std::size_t kRequestDivisor = 4, kUnreadDivisor = 8, kLongFrameDivisor = 16;
constexpr std::size_t kSpoolDescriptors = 16;     // listener, index, segments being written or read
constexpr std::size_t kReservedDescriptors = 24;  // log, epoll, timers, signals, listener, directory
}  // namespace

Server::Server(Config config, OperatorConf conf, spool::Substitutes substitutes,
               std::unique_ptr<spool::Index> ledger)
    : config_(std::move(config)),
      operator_conf_(std::move(conf)),
      strand_(io_.get_executor()),
      signals_(strand_),
      request_memory_(create_request_memory()),
      grace_timer_(strand_),
      final_answer_timer_(strand_),
      end_timer_(strand_),
      coordinator_(strand_, log_, config_.seed, config_.settings, config_.memory_mb * kRunHistoryPerMb),
      engines_(strand_, coordinator_, log_, engine_limits()),
      front_(strand_, coordinator_, log_, config_.tables, front_limits(), request_memory_),
      directory_(strand_, coordinator_, log_, config_.tables, config_.directory, request_settle_time(),
                 config_.seed) {
  coordinator_.attach(engines_);
  create_components(std::move(substitutes), std::move(ledger));
}

Server::~Server() = default;

void Server::create_components(spool::Substitutes substitutes, std::unique_ptr<spool::Index> ledger) {
  if (operator_conf_.path.empty()) return;
  log_.configure(operator_conf_.log);
  const std::string fault = limit_violation(operator_conf_, config_.memory_mb, config_.sockets);
  if (!fault.empty()) throw std::runtime_error(operator_conf_.path + ": " + fault);
  metrics_ = std::make_unique<Metrics>();
  apply_routes(resolve_routes(operator_conf_, config_.settings, config_.tables));
  if (!operator_conf_.spool.enabled) return;
  std::vector<std::string> tenants;
  for (int i = 0; i < config_.tables.tenants.size(); ++i) tenants.push_back(config_.tables.tenants.name(i));
  spool_ = std::make_unique<spool::Spool>(strand_, log_, *metrics_, operator_conf_.spool, std::move(tenants),
                                          std::move(substitutes));
  readers_ = std::make_unique<spool::ReaderFront>(strand_, coordinator_, log_, config_.tables, *spool_,
                                                  reader_limits(), request_memory_);
  if (!operator_conf_.edge.enabled) return;
  edge_ = std::make_unique<edge::Edge>(strand_, coordinator_, log_, *metrics_, config_.tables, *spool_,
                                       operator_conf_.edge, config_.seed, request_memory_, std::move(ledger));
  edge_fronts_ = std::make_unique<edge::Fronts>(strand_, log_, *edge_, edge_limits());
}

void Server::apply_routes(routes::RouteSet set) {
  if (routes_) return routes_->reconfigure(std::move(set));
  if (set.routes.empty()) return;
  routes_ = std::make_unique<routes::Routes>(coordinator_, log_, *metrics_, config_.tables, std::move(set));
}

edge::Fronts::Limits Server::edge_limits() const {
  return {operator_conf_.edge.max_connections, operator_conf_.edge.poll_wait};
}

std::size_t Server::client_memory_bytes() const {
  const std::size_t memory = config_.memory_mb << 20;
  const std::size_t results = operator_conf_.spool.enabled ? operator_conf_.spool.logic.memory.max_bytes : 0;
  return memory - std::min(results, memory);
}

std::shared_ptr<MemoryBudget> Server::create_request_memory() const {
  const std::size_t readers = operator_conf_.spool.enabled ? operator_conf_.spool.max_sessions : 0;
  return std::make_shared<MemoryBudget>(client_memory_bytes() / kRequestDivisor,
                                        max_client_connections() + readers);
}

FramedServer::Limits Server::front_limits() const {
  return {.max_sessions = max_client_connections(),
          .max_long_frame_bytes = client_memory_bytes() / kLongFrameDivisor,
          .max_unread_bytes = client_memory_bytes() / kUnreadDivisor};
}

FramedServer::Limits Server::reader_limits() const {
  return {.max_sessions = operator_conf_.spool.max_sessions,
          .max_long_frame_bytes = client_memory_bytes() / kLongFrameDivisor,
          .max_unread_bytes = client_memory_bytes() / kUnreadDivisor,
          .idle_timeout = std::max(operator_conf_.spool.logic.lease, Micros{kSettleMargin}),
          .pause_threshold = operator_conf_.spool.max_unread_bytes};
}

void Server::start() {
  std::signal(SIGPIPE, SIG_IGN);
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  signals_.add(SIGHUP);
  if (!operator_conf_.metrics_file.empty()) signals_.add(SIGUSR1);
  await_signal();
  unblock_signals();
  coordinator_.start();
  directory_.load_saved(config_.known_list);
  directory_.follow();
  if (readers_) {
    const auto at = parse_address(operator_conf_.spool.listen);
    if (!at)
      throw std::runtime_error(operator_conf_.path + ": listen is no valid address: '" +
                               operator_conf_.spool.listen + "'");
    reader_endpoint_ = readers_->listen(*at);
    readers_->set_ready(true);
    const std::string address =
        reader_endpoint_.address().to_string() + ':' + std::to_string(reader_endpoint_.port());
    log_.event(LogLevel::kInfo, "spool-listening", {{"address", address}});
  }
  if (edge_fronts_) {
    const auto at = parse_address(operator_conf_.edge.listen);
    if (!at)
      throw std::runtime_error(operator_conf_.path + ": listen is no valid address: '" +
                               operator_conf_.edge.listen + "'");
    edge_endpoint_ = edge_fronts_->listen(*at);
    const std::string address =
        edge_endpoint_.address().to_string() + ':' + std::to_string(edge_endpoint_.port());
    log_.event(LogLevel::kInfo, "edge-listening",
               {{"address", address}, {"home", operator_conf_.edge.logic.home}});
  }
  listen_until_ = std::chrono::steady_clock::now() + kListenTimeout;
  listen_for_clients();
}

// The previous process may still hold the address while its requests end. No client connects to this process
// before it answers, so it can wait.
void Server::listen_for_clients() {
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
  if (!std::exchange(logged_address_held_, true))
    log_.message("the address " + address + " is held by another process, waiting");
  grace_timer_.expires_after(kListenRetryInterval);
  grace_timer_.async_wait([this](boost::system::error_code e) {
    if (!e) listen_for_clients();
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

// Of the platform's file only the directory's address can change at run time; everything else needs a
// restart. The operator's file is applied as a whole or not at all. If either file cannot be used, nothing
// changes.
void Server::reload() {
  try {
    const Config new_config = read_config(config_.path);
    OperatorConf conf = operator_conf_.path.empty() ? OperatorConf{} : read_operator(operator_conf_.path);
    std::string fault = limit_violation(conf, config_.memory_mb, config_.sockets);
    if (fault.empty()) {
      const std::string directive = needs_restart(operator_conf_, conf);
      if (!directive.empty()) fault = "'" + directive + "' changes with a restart only";
    }
    if (!fault.empty()) throw std::runtime_error(operator_conf_.path + ": " + fault);
    routes::RouteSet set = resolve_routes(conf, config_.settings, config_.tables);
    log_.message("configuration read again");
    directory_.move_to(new_config.directory);
    if (operator_conf_.path.empty()) return;
    operator_conf_ = std::move(conf);
    log_.configure(operator_conf_.log);
    apply_routes(std::move(set));
    if (spool_) {
      spool_->reconfigure(operator_conf_.spool);
      readers_->set_limits(reader_limits());
    }
    if (edge_) {
      edge_->reconfigure(operator_conf_.edge);
      edge_fronts_->set_limits(edge_limits());
    }
  } catch (const std::exception& fault) {
    log_.message(std::string("configuration kept as it was: ") + fault.what());
  }
}

// Clients hold at most a third of the descriptors. The limit is slightly higher, as the close of one
// connection and the start of the next may cross. Connections to engines use the remaining descriptors.
std::size_t Server::max_client_connections() const {
  return std::max<std::size_t>(1, config_.sockets * 2 / 5);
}

// The time until every request that may have an attempt on an engine has ended, and the gateway's next
// periodic check after that.
Micros Server::request_settle_time() const {
  return longest_request() + config_.settings.answer_slack + Micros{kSettleMargin};
}

Micros Server::longest_request() const {
  Micros longest{0};
  for (const ClassSettings& cls : config_.settings.classes) longest = std::max(longest, cls.hard_limit);
  return longest;
}

EnginePool::Limits Server::engine_limits() const {
  EnginePool::Limits limits = config_.engines;
  const std::size_t reserved = max_client_connections() + std::min(config_.sockets / 4, kReservedDescriptors);
  limits.max_connections = std::max<std::size_t>(1, config_.sockets - std::min(reserved, config_.sockets));
  // With more coordinators than an engine has cores, an engine cannot run a query for each of them, nor hold
  // a connection for each attempt.
  const auto& kinds = config_.settings.kinds;
  limits.share_connections = std::any_of(kinds.begin(), kinds.end(), [this](const KindSettings& kind) {
    return config_.settings.gateways > kind.cores;
  });
  // The connections of readers and devices and the spool's files are taken from the engines' share.
  const std::size_t spool_descriptors =
      operator_conf_.spool.enabled ? operator_conf_.spool.max_sessions + kSpoolDescriptors : 0;
  const std::size_t edge_descriptors =
      operator_conf_.edge.enabled ? operator_conf_.edge.max_connections + kSpoolDescriptors : 0;
  limits.max_connections -= std::min(spool_descriptors + edge_descriptors, limits.max_connections - 1);
  return limits;
}

void Server::stop() {
  if (std::exchange(stopping_, true)) return;
  log_.message("stopping, " + std::to_string(coordinator_.unanswered()) + " requests open");
  front_.set_ready(false);
  if (readers_) readers_->set_ready(false);
  if (edge_) edge_->drain();
  // With a spool the open requests are not answered early: stored results have time limits of their own, and
  // this process is given that time.
  if (!spool_) {
    final_answer_timer_.expires_after(kStopGrace + std::min<Micros>(longest_request(), kMinKillDelay) -
                                      kFinalAnswerMargin);
    final_answer_timer_.async_wait([this](boost::system::error_code error) {
      if (error || coordinator_.unanswered() == 0) return;
      log_.message("answering " + std::to_string(coordinator_.unanswered()) +
                   " requests that cannot end any more");
      coordinator_.answer_all();
    });
  }
  // By then every request is answered, and every client has had its time to read the answer. Results that
  // readers have not fetched yet have time limits of their own.
  end_timer_.expires_after(kStopGrace + request_settle_time());
  end_timer_.async_wait([this](boost::system::error_code error) {
    if (!error && !spool_) end();
  });
  grace_timer_.expires_after(kStopGrace);
  grace_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    front_.refuse_new();
    if (readers_) readers_->refuse_new();
    coordinator_.when_all_answered([this] {
      if (spool_) spool_->store_all();
      drain_until_ = std::chrono::steady_clock::now() + kMaxDeviceDrain;
      end_when_written();
    });
  });
}

void Server::write_metrics() {
  if (spool_) spool_->update_gauges();
  if (edge_) edge_->update_metrics();
  if (routes_) routes_->observe();
  if (!file_writer_) file_writer_ = std::make_unique<Worker>(1);
  const bool queued =
      file_writer_->post([this, path = operator_conf_.metrics_file, text = metrics_->serialize()] {
        const std::string fault = replace_file(path, text);
        boost::asio::post(strand_, [this, fault] {
          if (fault.empty()) return log_.event(LogLevel::kInfo, "metrics-written", {});
          log_.event(LogLevel::kWarn, "metrics-not-written", {{"cause", fault}});
        });
      });
  if (!queued)
    log_.event(LogLevel::kWarn, "metrics-not-written",
               {{"cause", "the last metrics are still being written"}});
}

// The last answers have to be written to their sockets before the process ends.
void Server::end_when_written() {
  // Complete results that only this process holds wait for their readers, until their lease or time limit
  // ends.
  const bool spool_done = !spool_ || (spool_->drained() && readers_->written_out());
  // Connected devices receive their answers; devices with a broken connection get them from the ledger
  // through the next process.
  const bool edge_done = !edge_ || (edge_->drained() && edge_fronts_->all_written()) ||
                         std::chrono::steady_clock::now() > drain_until_;
  if (front_.written_out() && spool_done && edge_done) return end();
  grace_timer_.expires_after(kDrainPollInterval);
  grace_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) end_when_written();
  });
}

void Server::end() {
  if (coordinator_.unanswered() > 0)
    log_.message("requests that never got their answer: " + std::to_string(coordinator_.unanswered()));
  log_.message("ended, " + std::to_string(log_.broken_invariant_count()) + " invariants broken");
  io_.stop();
}

}  // namespace steprail
