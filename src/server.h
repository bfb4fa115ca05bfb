// A coordinator put together: started, served with, and stopped.
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
  // Throws std::runtime_error with one plain line where a part that the operator's file turns on cannot be.
  explicit Server(Config config, OperatorConf conf = {}, spool::Substitutes substitutes = {},
                  std::unique_ptr<spool::Index> ledger = nullptr);
  ~Server();
  // From here on clients can come; the loop itself is the caller's, by io().
  void start();
  // As at SIGTERM: what was taken is answered, then the loop ends.
  void stop();
  // As at SIGHUP: reads the configuration's file again and follows the directory at the address it names.
  void reload();
  boost::asio::io_context& io() { return io_; }
  // The last event of the list that was taken.
  std::int64_t listed() const { return directory_.last(); }
  tcp::endpoint endpoint() const { return endpoint_; }
  // Of the second service, where it is on.
  tcp::endpoint reader_endpoint() const { return reader_endpoint_; }
  // Of the edge, where it is on.
  tcp::endpoint edge_endpoint() const { return edge_endpoint_; }
  edge::Edge* edge() { return edge_.get(); }
  routes::Routes* routes() { return routes_.get(); }
  Metrics* metrics() { return metrics_.get(); }
  spool::Spool* spool() { return spool_.get(); }
  std::uint64_t broken_invariants() const { return log_.broken_invariant_count(); }

 private:
  std::size_t client_limit() const;
  EnginePool::Limits engine_limits() const;
  Micros reference_time() const;
  Micros longest_request() const;
  void leave();
  void await_signal();
  void open_front();
  void end();
  void start_parts(spool::Substitutes substitutes, std::unique_ptr<spool::Index> ledger);
  FramedServer::Limits reader_limits() const;
  edge::Fronts::Limits edge_limits() const;
  void write_metrics();
  void take_routes(routes::RouteSet set);

  Config config_;
  OperatorConf conf_;
  EventLog log_;
  boost::asio::io_context io_{1};
  Strand strand_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer grace_, last_call_, last_;
  Coordinator coordinator_;
  EnginePool engines_;
  ThriftFront front_;
  Directory directory_;
  // What the operator's file turns on; null where it does not.
  std::unique_ptr<Metrics> metrics_;
  std::unique_ptr<spool::Spool> spool_;
  std::unique_ptr<spool::ReaderFront> readers_;
  std::unique_ptr<edge::Edge> edge_;
  std::unique_ptr<routes::Routes> routes_;
  std::unique_ptr<edge::Fronts> edge_fronts_;
  std::unique_ptr<Worker> errands_;  // the metrics file is written off the loop
  tcp::endpoint endpoint_, reader_endpoint_, edge_endpoint_;
  std::chrono::steady_clock::time_point drain_until_{}, listen_until_{};
  bool stopping_{false}, told_held_{false};
};

}  // namespace steprail
