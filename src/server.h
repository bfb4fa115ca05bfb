// The whole coordinator process: its components, their start, reload and stop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "base/worker.h"
#include "config.h"
#include "core/coordinator.h"
#include "edge/fronts.h"
#include "net/directory.h"
#include "net/engine_pool.h"
#include "net/front.h"
#include "operator.h"
#include "routes/routes.h"
#include "spool/reader_front.h"

namespace steprail {

class Server {
 public:
  // Throws std::runtime_error with a one-line message if a component that the operator's file enables cannot
  // be created.
  explicit Server(Config config, OperatorConf conf = {}, spool::Substitutes substitutes = {},
                  std::unique_ptr<spool::Index> ledger = nullptr);
  ~Server();
  // Opens the listeners; the caller has to run the event loop, io().
  void start();
  // As at SIGTERM: answers the requests that were accepted, then stops the event loop.
  void stop();
  // As at SIGHUP: reads the configuration files again, and follows the directory at the address found there.
  void reload();
  boost::asio::io_context& io() { return io_; }
  // The index of the last directory event that was applied to the engine list.
  std::int64_t last_list_event() const { return directory_.last_index(); }
  tcp::endpoint endpoint() const { return endpoint_; }
  // Of the spool's reader service, if enabled.
  tcp::endpoint reader_endpoint() const { return reader_endpoint_; }
  // Of the edge, if enabled.
  tcp::endpoint edge_endpoint() const { return edge_endpoint_; }
  edge::Edge* edge() { return edge_.get(); }
  routes::Routes* routes() { return routes_.get(); }
  Metrics* metrics() { return metrics_.get(); }
  spool::Spool* spool() { return spool_.get(); }
  // Open connections to the platform's service.
  std::size_t client_count() const { return front_.session_count(); }
  const MemoryBudget& request_memory() const { return *request_memory_; }
  std::uint64_t broken_invariants() const { return log_.broken_invariant_count(); }

 private:
  std::size_t max_client_connections() const;
  EnginePool::Limits engine_limits() const;
  Micros request_settle_time() const;
  Micros longest_request() const;
  void end_when_written();
  void await_signal();
  void listen_for_clients();
  void end();
  void create_components(spool::Substitutes substitutes, std::unique_ptr<spool::Index> ledger);
  // What clients' buffers and requests may take together: the memory without the spool's results.
  std::size_t client_memory_bytes() const;
  std::shared_ptr<MemoryBudget> create_request_memory() const;
  FramedServer::Limits front_limits() const;
  FramedServer::Limits reader_limits() const;
  edge::Fronts::Limits edge_limits() const;
  void write_metrics();
  void apply_routes(routes::RouteSet set);

  Config config_;
  OperatorConf operator_conf_;
  EventLog log_;
  boost::asio::io_context io_{1};
  Strand strand_;
  boost::asio::signal_set signals_;
  std::shared_ptr<MemoryBudget> request_memory_;  // of the open requests of all fronts
  boost::asio::steady_timer grace_timer_, final_answer_timer_, end_timer_;
  Coordinator coordinator_;
  EnginePool engines_;
  ThriftFront front_;
  Directory directory_;
  // Enabled by the operator's file; null otherwise.
  std::unique_ptr<Metrics> metrics_;
  std::unique_ptr<spool::Spool> spool_;
  std::unique_ptr<spool::ReaderFront> readers_;
  std::unique_ptr<edge::Edge> edge_;
  std::unique_ptr<routes::Routes> routes_;
  std::unique_ptr<edge::Fronts> edge_fronts_;
  std::unique_ptr<Worker> file_writer_;  // writes the metrics file outside the event loop
  tcp::endpoint endpoint_, reader_endpoint_, edge_endpoint_;
  std::chrono::steady_clock::time_point drain_until_{}, listen_until_{};
  bool stopping_{false}, logged_address_held_{false};
};

}  // namespace steprail
