// The edge's decisions: sessions that outlive their connections, admission of devices, what is sent on which
// connection and when, and how a request that was sent before is answered.
//
// Deterministic, without I/O or a clock: events go in, actions come out in order, and random numbers come
// from a seed. All fronts share one instance, so that a device may move between them within a session.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "edge/logic/frame.h"
#include "edge/logic/gate.h"
#include "edge/logic/link_estimate.h"
#include "edge/logic/token.h"
#include "spool/logic/budget.h"

namespace steprail::edge {

using ConnId = std::uint64_t;
using SessionId = std::uint64_t;
using RequestId = std::uint64_t;

struct EdgeSettings {
  std::string home{"here"};
  // Other homes: name -> address to which their devices are redirected.
  std::map<std::string, std::string> peer_homes;
  std::set<std::string> retired_homes;  // homes that are gone for good: their devices start new sessions here
  std::vector<std::string> tenants;     // empty: a single anonymous tenant
  // By verb: whether it must not run twice; unknown verbs count as at-most-once.
  std::map<std::string, bool> at_most_once;
  Micros session_ttl{600'000'000};  // after the last connection closed
  Micros hello_timeout{5'000'000};
  Micros min_heartbeat{2'000'000}, max_heartbeat{30'000'000};
  double phi_threshold{8};
  std::size_t max_sessions{20'000}, max_sessions_per_tenant{20'000}, max_sessions_per_device{4};
  std::size_t max_open_requests{32};  // per session
  std::uint32_t window{128 << 10};    // bytes of rows in flight to one device
  std::uint32_t min_page_bytes{4 << 10}, max_page_bytes{64 << 10};
  spool::BudgetSettings memory{32u << 20, 0.9, 0.7, 0.5};  // rows in flight to all devices
  AdmissionSettings admission;
  LedgerSettings ledger;
  bool operator==(const EdgeSettings&) const = default;
};

// ---- Actions ----
struct SendFrame {
  ConnId conn{};
  Frame frame;
};
struct CloseConn {
  ConnId conn{};
};
struct WriteRecord {  // to the ledger's store; on_recorded() follows for each, in order
  LedgerRecord record;
};
struct SubmitRequest {
  RequestId request{};
  int tenant{};
  Body body;
};
struct CancelRequest {  // interrupted by its device
  RequestId request{};
};
struct FetchRows {  // answered by exactly one on_rows()
  RequestId request{};
  SessionId session{};
  std::uint64_t first_row{};
  std::uint32_t page_bytes{};
};
// The result is no longer needed: the device has the first `delivered_rows` of its rows, or, if 0, no session
// will fetch it.
struct ReleaseResult {
  RequestId request{};
  std::uint64_t delivered_rows{};
};
using EdgeAction =
    std::variant<SendFrame, CloseConn, WriteRecord, SubmitRequest, CancelRequest, FetchRows, ReleaseResult>;

struct Counters {
  std::uint64_t sessions_begun{}, resumed{}, taken_over{}, expired{}, rejected{}, forged{}, suspected{};
  std::uint64_t requests{}, repeats{}, answers{}, unknown_outcomes{}, refused{};
};

class EdgeLogic {
 public:
  // `incarnations` as in LedgerLogic; `first_seq` is the first message's number in each direction.
  EdgeLogic(EdgeSettings settings, TokenSigner token_signer, std::vector<std::uint64_t> incarnations,
            std::uint64_t seed, Micros now, std::int64_t now_unix_us, Seq first_seq = 1);

  void reconfigure(const EdgeSettings& settings);
  void recover(const LedgerRecord& record, std::vector<EdgeAction>& out);

  // ---- Connections ----
  void on_open(ConnId conn, Micros now);
  void on_frame(ConnId conn, const Frame& frame, Micros now, std::vector<EdgeAction>& out);
  void on_close(ConnId conn, Micros now, std::vector<EdgeAction>& out);
  // The connection can take more (`writable`), or its send queue is full.
  void on_writable(ConnId conn, bool writable, Micros now, std::vector<EdgeAction>& out);
  // A long poll: the device has everything before `next_expected`; responses to earlier polls may be lost.
  void on_poll(ConnId conn, Seq next_expected, Micros now, std::vector<EdgeAction>& out);

  // ---- Results of actions ----
  void on_recorded(const LedgerRecord& record, bool durable, Micros now, std::vector<EdgeAction>& out);
  void on_outcome(RequestId request, const Outcome& outcome, Micros now, std::vector<EdgeAction>& out);
  struct Rows {
    SessionId session{};
    RequestId request{};
    std::uint64_t first_row{}, row_count{};
    std::shared_ptr<const std::string> text;  // null: the rows are no longer stored
    bool last{};
  };
  void on_rows(const Rows& rows, Micros now, std::vector<EdgeAction>& out);

  void drain(Micros now, std::vector<EdgeAction>& out);
  void advance(Micros now, std::int64_t now_unix_us, std::vector<EdgeAction>& out);
  std::optional<Micros> next_wakeup(Micros now) const;

  // No request is unanswered, and no message to a connected device is unacknowledged.
  bool quiescent() const;
  const Counters& counters() const { return counters_; }
  const LedgerLogic& ledger() const { return ledger_; }
  const spool::Budget& memory() const { return memory_; }
  std::size_t session_count() const { return sessions_.size(); }
  std::size_t connected_count() const;
  std::size_t waiting_count() const { return admission_gate_.waiting_count(); }

 private:
  struct OutgoingMessage {
    Body body;
    RequestId request{};     // kRows: the request whose result they are of
    std::uint32_t bytes{0};  // kRows: size of the text once known; the text is fetched again for a resend
    std::uint32_t charged_bytes{0};
    bool size_known{false};
    Micros sent_at{0};
    bool resent{false};  // sent before on another connection, so it gives no RTT sample
  };
  struct Delivery {
    RequestId request{};
    std::uint64_t key{}, next_row{}, row_count{};
  };
  struct Session {
    SessionId id{};
    int tenant{};
    const std::string* device{};  // points to the key in sessions_by_device_
    ConnId conn{0};               // 0: not connected
    bool writable{false};
    Channel<OutgoingMessage> channel;
    RttEstimator rtt;
    FailureDetector failure_detector;
    PageSizer page_sizer;
    std::vector<std::uint64_t> open_keys;  // requests whose answer or rows are not all acknowledged
    std::vector<Delivery> deliveries;
    std::vector<RequestId> unread_results;  // results whose rows are not all acknowledged
    bool has_open_key(std::uint64_t key) const {
      return std::find(open_keys.begin(), open_keys.end(), key) != open_keys.end();
    }
    void add_open_key(std::uint64_t key) {
      if (!has_open_key(key)) open_keys.push_back(key);
    }
    std::uint32_t in_flight_bytes{0};
    bool fetching{false}, awaiting_memory{false}, long_polling{false};
    Micros last_heard_at{0}, ping_sent_at{0}, expires_at{0};
    std::uint64_t ping_nonce{0};
    TimingWheel::TimerId timer{TimingWheel::kNoTimer};
    explicit Session(Seq first_seq, const EdgeSettings& settings)
        : channel(first_seq), page_sizer(settings.min_page_bytes, settings.max_page_bytes) {}
  };
  struct Conn {
    SessionId session{0};  // 0: no hello yet, or waiting for admission
    std::unique_ptr<Frame>
        hello;  // only while waiting: a frame is large, and an idle session should hold none
    TimingWheel::TimerId timer{TimingWheel::kNoTimer};
  };
  struct PendingRequest {  // a request at the coordinator, or about to be submitted
    RequestKey key;
    Body body;  // until it is submitted
    SessionId session{0};
    bool at_most_once{};
  };

  void admit(Micros now, std::vector<EdgeAction>& out);
  void handle_hello(ConnId conn, Micros now, std::vector<EdgeAction>& out);
  Session* create_session(const Frame& hello, int tenant, Micros now, std::vector<EdgeAction>& out,
                          std::string& code);
  void attach(Session& session, ConnId conn, const Frame& hello, bool resumed, Micros now,
              std::vector<EdgeAction>& out);
  void detach(Session& session, Micros now);
  void expire(Session& session, std::vector<EdgeAction>& out);
  void reject(ConnId conn, const char* code, const char* text, bool retry_safe, std::vector<EdgeAction>& out);
  void handle_message(Session& session, const Frame& frame, Micros now, std::vector<EdgeAction>& out);
  bool process_ack(Session& session, Seq next_expected, Micros now, std::vector<EdgeAction>& out);
  void handle_request(Session& session, const Body& body, Micros now, std::vector<EdgeAction>& out);
  void handle_interrupt(Session& session, std::uint64_t key, Micros now, std::vector<EdgeAction>& out);
  void refuse(Session& session, std::uint64_t key, const char* code, bool retry_safe, Micros retry_after);
  void send_outcome(Session& session, const RequestKey& key, const Outcome& outcome);
  void complete_request(RequestId request, const Outcome& outcome, std::vector<EdgeAction>& out);
  void send_pending(Session& session, Micros now, std::vector<EdgeAction>& out);
  void transmit(Session& session, OutgoingMessage& outgoing, Micros now, std::vector<EdgeAction>& actions);
  void release_in_flight(Session& session, OutgoingMessage& message);
  void rewind_unacknowledged(Session& session);
  void remove_reader(Session& session, RequestId request, std::uint64_t rows, std::vector<EdgeAction>& out);
  void resume_memory_waiters(Micros now, std::vector<EdgeAction>& out);
  void rearm_timer(Session& session, Micros now);
  Micros heartbeat_interval(const Session& session) const;
  bool is_at_most_once(const std::string& verb) const;
  Session* session_of(ConnId conn);

  EdgeSettings settings_;
  TokenSigner token_signer_;
  pcg64 random_;
  Seq first_seq_;
  AdmissionGate admission_gate_;
  LedgerLogic ledger_;
  spool::Budget memory_;
  TimingWheel wheel_;
  std::unordered_map<ConnId, Conn> conns_;
  std::unordered_map<SessionId, Session> sessions_;
  std::map<std::pair<int, std::string>, std::vector<SessionId>> sessions_by_device_;
  std::vector<std::size_t> session_count_by_tenant_;
  std::unordered_map<RequestId, PendingRequest> pending_requests_;
  std::map<RequestKey, RequestId> pending_by_key_;
  std::deque<SessionId> memory_waiters_;
  std::unordered_map<RequestId, std::size_t> reader_counts_;  // number of sessions that read a result
  bool draining_{false};
  Counters counters_;
};

}  // namespace steprail::edge
