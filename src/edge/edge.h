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
class Link {
 public:
  virtual ~Link() = default;
  virtual void send(const Frame& frame) = 0;
  virtual void close() = 0;
};

class Edge : public Front {
 public:
  // Throws std::runtime_error where the ledger's folder or the secret's file cannot be used. `index` stands
  // in for the folder in tests.
  Edge(Strand strand, Coordinator& coordinator, EventLog& log, Metrics& metrics, const NameTables& tables,
       spool::Spool& spool, const EdgeConf& conf, std::uint64_t seed,
       std::unique_ptr<spool::Index> index = nullptr);
  ~Edge() override;

  void reconfigure(const EdgeConf& conf);

  // ---- Links ----
  ConnId opened(std::shared_ptr<Link> link);
  void heard(ConnId conn, const Frame& frame);
  void closed(ConnId conn);
  void room(ConnId conn, bool room);
  void polled(ConnId conn, Seq have);

  // ---- Front ----
  void answer(const ReplyTarget& ticket, Answer answer) override;
  void flush() override {}

  // At SIGTERM: devices are told; settled() once all that was taken is answered and, as far as devices are
  // there, has arrived.
  void drain();
  bool settled() const { return logic_->quiescent() && (!ledger_ || ledger_->idle()); }
  void observe();
  const EdgeLogic& logic() const { return *logic_; }
  const LedgerWriter* ledger() const { return ledger_.get(); }

 private:
  struct Result {  // of a request that was served
    int tenant{};
    std::string handle;
    spool::Window whole;  // where the spool was full: all there is
    bool direct{false};
  };
  static Micros now();
  static std::int64_t unix_now();
  EdgeSettings settings_of(const EdgeConf& conf) const;
  void run();
  void carry_out(const SendFrame& act);
  void carry_out(const CloseConn& act);
  void carry_out(const WriteRecord& act);
  void carry_out(const SubmitRequest& act);
  void carry_out(const CancelRequest& act);
  void carry_out(const FetchRows& act);
  void carry_out(const ReleaseResult& act);
  void answered(RequestId request, const Outcome& outcome);
  void forget_due();
  void give(const FetchRows& act, const spool::Window& window);
  void arm();

  Strand strand_;
  Coordinator& coordinator_;
  EventLog& log_;
  const NameTables& tables_;
  spool::Spool& spool_;
  int number_;  // among the coordinator's fronts
  std::unique_ptr<EdgeLogic> logic_;
  std::unique_ptr<LedgerWriter> ledger_;
  std::unordered_map<ConnId, std::shared_ptr<Link>> links_;
  struct Running {
    int tenant{};
    bool spooled{}, repeatable{};
    Micros give_up{0};
  };
  std::unordered_map<RequestId, Running> running_;
  std::unordered_map<RequestId, Result> results_;
  // When nobody may come for a result any more.
  using Due = std::pair<Micros, RequestId>;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::uint64_t direct_bytes_{0};
  ConnId last_conn_{0};
  std::vector<EdgeAction> acts_;
  bool working_{false};
  boost::asio::steady_timer timer_;
  Micros armed_for_{0};
  struct Counted {
    explicit Counted(Metrics& metrics);
    prometheus::Gauge &sessions, &live, &bytes, &waiting, &entries;
    prometheus::Gauge &begun, &resumed, &taken_over, &expired, &turned_away, &forged, &suspected, &requests,
        &repeats, &answers, &unknowns, &refused, &commits, &records;
  } counted_;
};

}  // namespace steprail::edge
