// A coordinator put together: started, served with, and stopped.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "config.h"
#include "core/coordinator.h"
#include "net/directory.h"
#include "net/engine_pool.h"
#include "net/front.h"

namespace steprail {

class Server {
 public:
  explicit Server(Config config);
  // From here on clients can come; the loop itself is the caller's, by io().
  void start();
  // As at SIGTERM: what was taken is answered, then the loop ends.
  void stop();
  // As at SIGHUP: reads the configuration's file again and follows the directory at the address it names.
  void reload();
  boost::asio::io_context& io() { return io_; }
  tcp::endpoint endpoint() const { return endpoint_; }
  std::uint64_t broken_invariants() const { return log_.broken_count(); }

 private:
  std::size_t client_limit() const;
  EnginePool::Limits engine_limits() const;
  Micros reference_time() const;
  void leave();
  void await_signal();

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
  tcp::endpoint endpoint_;
  bool stopping_{false};
};

}  // namespace steprail
