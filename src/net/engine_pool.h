// Connections to the engines, the attempts in flight on them, and the pages of their results.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/coordinator.h"

namespace steprail {

using boost::asio::ip::tcp;

// Parses an address of the configuration or of a list: IP and port in digits, as there is no name service.
std::optional<tcp::endpoint> parse_address(const std::string& text);

class EnginePool : public Engines {
 public:
  struct Limits {
    std::size_t max_attempts_per_connection{1};  // in flight at a time
    Micros connect_timeout{0};
    Micros idle_timeout{0};         // engines close a connection that has been idle for this long
    std::size_t max_connections{};  // to all engines together
    bool request_load_reports{};    // a probe asks for a load report and not only for health
    // repeatable attempts share connections from the start, not only once connections run short
    bool share_connections{};
  };

  EnginePool(Strand strand, Coordinator& coordinator, EventLog& log, Limits limits);
  ~EnginePool() override;

  void apply_change(const EngineChange& change) override;
  void send(const Dispatch& dispatch) override;
  bool cancel(RequestId id, int attempt) override;
  void probe(int engine) override;
  void flush() override;

 private:
  class Connection;
  struct Engine {
    std::string name, address;
    std::optional<tcp::endpoint> endpoint;
    EngineStatus standing{EngineStatus::kGone};
    Micros started_at{0};
    std::vector<std::shared_ptr<Connection>> connections;
  };

  std::shared_ptr<Connection> pick_connection(int engine, std::optional<RequestId> id,
                                              bool exclusive = false);
  bool runs_at_most_once(const Query& query) const;
  bool make_room_for(int engine, bool required);
  void remove_connection(int engine, const Connection* connection);
  void end_unsent_attempt(RequestId id, int attempt, Outcome outcome, EndCause cause);
  void sweep();

  Strand strand_;
  Coordinator& coordinator_;
  EventLog& log_;
  Limits limits_;
  boost::asio::steady_timer sweep_timer_;
  std::uint64_t last_probe_number_{0}, last_connection_number_{0};
  std::vector<Engine> engines_;
  std::size_t connection_count_{0};
  // of the attempt in flight
  std::unordered_map<RequestId, std::shared_ptr<Connection>> connection_by_request_;
  std::vector<std::shared_ptr<Connection>> dirty_;
};

}  // namespace steprail
