// Connections to the engines, the attempts on them, and the pages of their results.
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

// An address as it stands in the configuration and in lists: numbers only, there is no name service.
std::optional<tcp::endpoint> parse_address(const std::string& text);

class EnginePool : public Engines {
 public:
  struct Limits {
    std::size_t multiplex{1};  // attempts on a connection at a time
    Micros connect_timeout{0};
    Micros idle{0};             // engines close a connection that has carried nothing for so long
    std::size_t connections{};  // to all engines at a time
    bool reports{};             // probes ask for the load report
    bool sharing{};             // attempts that may run again share connections from the first on
  };

  EnginePool(Strand strand, Coordinator& coordinator, EventLog& log, Limits limits);
  ~EnginePool() override;

  void list(const EngineChange& change) override;
  void send(const Dispatch& dispatch) override;
  void give_up(RequestId id, int attempt) override;
  void probe(int engine) override;
  void flush() override;

 private:
  class Line;
  struct Engine {
    std::string name, address;
    std::optional<tcp::endpoint> endpoint;
    EngineStatus standing{EngineStatus::kGone};
    Micros came_up{0};
    std::vector<std::shared_ptr<Line>> lines;
  };

  std::shared_ptr<Line> pick(int engine, std::optional<RequestId> id, bool alone = false);
  bool runs_once(const Query& query) const;
  bool room_for(int engine, bool needed);
  void drop(int engine, const Line* line);
  void never_written(RequestId id, int attempt, EndCause cause);
  void sweep();

  Strand strand_;
  Coordinator& coordinator_;
  EventLog& log_;
  Limits limits_;
  boost::asio::steady_timer sweep_;
  std::uint64_t last_probe_{0}, last_connection_{0};
  std::vector<Engine> engines_;
  std::size_t connections_{0};
  std::unordered_map<RequestId, std::shared_ptr<Line>> where_;  // the line of a request's attempt that is out
  std::vector<std::shared_ptr<Line>> dirty_;
};

}  // namespace steprail
