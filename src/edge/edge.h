// Joins the edge's decision logic with the ledger on disk, the devices' connections, the coordinator and the
// spool. Runs on the coordinator's strand, except for the ledger's thread.
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

// A device's connection over any transport. Frames are sent in order. After close() the implementation makes
// no further calls to the edge.
class DeviceConnection {
 public:
  virtual ~DeviceConnection() = default;
  virtual void send(const Frame& frame) = 0;
  virtual void close() = 0;
};

class Edge : public Front {
 public:
  // Throws std::runtime_error if the ledger's folder or the secret file cannot be used. Tests pass `index` in
  // place of the folder.
  Edge(Strand strand, Coordinator& coordinator, EventLog& log, Metrics& metrics, const NameTables& tables,
       spool::Spool& spool, const EdgeConf& conf, std::uint64_t seed,
       std::shared_ptr<MemoryBudget> request_memory, std::unique_ptr<spool::Index> index = nullptr);
  ~Edge() override;

  void reconfigure(const EdgeConf& conf);

  // ---- Called by the fronts ----
  ConnId on_opened(std::shared_ptr<DeviceConnection> connection);
  void on_frame(ConnId conn, const Frame& frame);
  void on_closed(ConnId conn);
  void set_writable(ConnId conn, bool writable);
  void on_poll(ConnId conn, Seq have);

  // ---- Front: called by the coordinator ----
  void answer(const ReplyTarget& ticket, Answer answer) override;
  void flush() override {}

  // Called at SIGTERM: tells the devices. drained() is true once every accepted request is answered and the
  // devices that are connected have received their answers.
  void drain();
  bool drained() const { return logic_->quiescent() && (!ledger_ || ledger_->idle()); }
  void update_metrics();
  const EdgeLogic& logic() const { return *logic_; }
  const LedgerWriter* ledger() const { return ledger_.get(); }

 private:
  struct Result {  // the rows of a served request
    int tenant{};
    std::string handle;
    spool::Window inline_window;  // all rows, if the spool had no room for them
    bool is_inline{false};
  };
  static Micros now();
  static std::int64_t unix_now();
  EdgeSettings make_logic_settings(const EdgeConf& conf) const;
  void perform_actions();
  void perform(const SendFrame& action);
  void perform(const CloseConn& action);
  void perform(const WriteRecord& action);
  void perform(const SubmitRequest& action);
  void perform(const CancelRequest& action);
  void perform(const FetchRows& action);
  void perform(const ReleaseResult& action);
  void report_outcome(RequestId request, const Outcome& outcome);
  void drop_expired_results();
  void deliver_rows(const FetchRows& action, const spool::Window& window);
  void arm_timer();

  Strand strand_;
  Coordinator& coordinator_;
  EventLog& log_;
  const NameTables& tables_;
  spool::Spool& spool_;
  std::shared_ptr<MemoryBudget> request_memory_;
  int front_index_;  // identifies the edge among the coordinator's fronts
  std::unique_ptr<EdgeLogic> logic_;
  std::unique_ptr<LedgerWriter> ledger_;
  std::unordered_map<ConnId, std::shared_ptr<DeviceConnection>> connections_;
  struct RunningRequest {
    int tenant{};
    bool spooled{}, repeatable{};
    bool reserved{};  // there is memory for a short result that the spool has no room for
    Micros deadline{0};
  };
  std::unordered_map<RequestId, RunningRequest> running_;
  std::unordered_map<RequestId, Result> results_;
  // When a result may be dropped because its request's deadline has passed; earliest first.
  using ResultExpiry = std::pair<Micros, RequestId>;
  std::priority_queue<ResultExpiry, std::vector<ResultExpiry>, std::greater<>> result_expiries_;
  std::uint64_t inline_bytes_{0};
  ConnId last_conn_id_{0};
  std::vector<EdgeAction> actions_;
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
