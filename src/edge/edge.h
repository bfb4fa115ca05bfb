// The edge put together: its logic, its ledger's disk, the links of its fronts, and the way to the
// coordinator and the spool. On the coordinator's strand, the ledger's thread excepted.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

#include "base/log.h"
#include "base/metrics.h"
#include "core/coordinator.h"
#include "edge/ledger/ledger_store.h"
#include "edge/logic/edge_logic.h"
#include "edge/settings.h"
#include "settings_json.h"
#include "spool/spool.h"

namespace steprail::edge {

// A device's connection, whatever it is made of. Frames leave in order; after close() nothing is heard of it.
class DeviceConnection {
 public:
  virtual ~DeviceConnection() = default;
  virtual void send(const Frame& frame) = 0;
  virtual void close() = 0;
};

class Edge : public Front {
 public:
  // Throws std::runtime_error where the ledger's folder or the secret's file cannot be used. `index` stands
  // in for the folder in tests.
  Edge(Strand strand, Coordinator& coordinator, EventLog& log, Metrics& metrics, const Tables& tables,
       spool::Spool& spool, const EdgeConf& conf, std::uint64_t seed,
       std::unique_ptr<spool::Index> index = nullptr);
  ~Edge() override;

  void reconfigure(const EdgeConf& conf);

  // ---- Links ----
  ConnId on_opened(std::shared_ptr<DeviceConnection> connection);
  void on_frame(ConnId conn, const Frame& frame);
  void on_closed(ConnId conn);
  void set_writable(ConnId conn, bool writable);
  void on_poll(ConnId conn, Seq have);

  // ---- Front ----
  void answer(const Ticket& ticket, Answer answer) override;
  void flush() override {}

  // At SIGTERM: devices are told; settled() once all that was taken is answered and, as far as devices are
  // there, has arrived.
  void drain();
  bool drained() const { return logic_->settled() && (!ledger_ || ledger_->idle()); }
  void update_metrics();
  const EdgeLogic& logic() const { return *logic_; }
  const LedgerWriter* ledger() const { return ledger_.get(); }

 private:
  struct Result {  // of a request that was served
    int tenant{};
    std::string handle;
    spool::Window inline_window;  // where the spool was full: all there is
    bool is_inline{false};
  };
  static Micros now();
  static std::int64_t unix_now();
  EdgeSettings make_logic_settings(const EdgeConf& conf) const;
  void perform_actions();
  void perform(const ToDevice& action);
  void perform(const CloseConn& action);
  void perform(const Write& action);
  void perform(const Submit& action);
  void perform(const Withdraw& action);
  void perform(const Fetch& action);
  void perform(const Release& action);
  void report_outcome(RequestId request, const Outcome& outcome);
  void drop_expired_results();
  void deliver_rows(const Fetch& action, const spool::Window& window);
  void arm_timer();

  Strand strand_;
  Coordinator& coordinator_;
  EventLog& log_;
  const Tables& tables_;
  spool::Spool& spool_;
  int front_index_;  // among the coordinator's fronts
  std::unique_ptr<EdgeLogic> logic_;
  std::unique_ptr<LedgerWriter> ledger_;
  std::unordered_map<ConnId, std::shared_ptr<DeviceConnection>> connections_;
  struct RunningRequest {
    int tenant{};
    bool spooled{}, repeatable{};
    Micros deadline{0};
  };
  std::unordered_map<RequestId, RunningRequest> running_;
  std::unordered_map<RequestId, Result> results_;
  // When nobody may come for a result any more.
  using ResultExpiry = std::pair<Micros, RequestId>;
  std::priority_queue<ResultExpiry, std::vector<ResultExpiry>, std::greater<>> result_expiries_;
  std::uint64_t inline_bytes_{0};
  ConnId last_conn_id_{0};
  std::vector<Act> actions_;
  bool performing_actions_{false};
  boost::asio::steady_timer timer_;
  Micros timer_due_at_{0};
  struct Gauges {
    explicit Gauges(Metrics& metrics);
    prometheus::Gauge &sessions, &live, &bytes, &waiting, &entries;
    prometheus::Gauge &begun, &resumed, &taken_over, &expired, &turned_away, &forged, &suspected, &requests,
        &repeats, &answers, &unknowns, &refused, &commits, &records;
  } gauges_;
};

}  // namespace steprail::edge
