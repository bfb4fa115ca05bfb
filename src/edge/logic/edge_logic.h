// What the edge decides: sessions that outlive their connections, who comes in, what is sent on which link
// and when, and what a request that was sent before is answered.
//
// No I/O, no clock, no randomness but a seed: events in, actions out, in order. Every front speaks to this
// one object, so that a device may move between them within a session.
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
  std::map<std::string, std::string> homes;  // the others: name -> address, to send their devices to
  std::set<std::string> gone;                // homes that will never come back
  std::vector<std::string> tenants;          // empty: none are told apart
  std::map<std::string, bool> once;          // by verb: must not run twice; an unknown one is taken for that
  Micros session_keep{600'000'000};          // after its last connection
  Micros hello_wait{5'000'000};
  Micros heartbeat_least{2'000'000}, heartbeat_most{30'000'000};
  double suspicion{8};
  std::size_t sessions_most{20'000}, sessions_tenant{20'000}, sessions_device{4};
  std::size_t asks_most{32};        // of a session, open at a time
  std::uint32_t window{128 << 10};  // bytes of rows on the way to a device
  std::uint32_t page_least{4 << 10}, page_most{64 << 10};
  spool::Marks memory{32u << 20, 0.9, 0.7, 0.5};  // rows on their way, of all devices
  GateSettings gate;
  LedgerSettings ledger;
  bool operator==(const EdgeSettings&) const = default;
};

// ---- Actions ----
struct ToDevice {
  ConnId conn{};
  Frame frame;
};
struct CloseConn {
  ConnId conn{};
};
struct Write {  // to the ledger's store; recorded() follows, in order
  Record record;
};
struct Submit {
  RequestId request{};
  int tenant{};
  Body body;
};
struct Withdraw {  // its client wants it no more
  RequestId request{};
};
struct Fetch {  // rows(): exactly one answer
  RequestId request{};
  SessionId session{};
  std::uint64_t row{};
  std::uint32_t bytes{};
};
struct Release {  // all its rows have arrived, or nobody will come for them
  RequestId request{};
  std::uint64_t rows{};
};
using Act = std::variant<ToDevice, CloseConn, Write, Submit, Withdraw, Fetch, Release>;

struct Counts {
  std::uint64_t sessions_begun{}, resumed{}, taken_over{}, expired{}, turned_away{}, forged{}, suspected{};
  std::uint64_t requests{}, repeats{}, answers{}, unknowns{}, refused{};
};

class EdgeLogic {
 public:
  // `incarnations` as LedgerLogic takes them; `first` is the number of the first message of a session, either
  // way.
  EdgeLogic(EdgeSettings settings, Sealer sealer, std::vector<std::uint64_t> incarnations, std::uint64_t seed,
            Micros now, std::int64_t now_unix_us, Seq first = 1);

  void reconfigure(const EdgeSettings& settings);
  void recover(const Record& record, std::vector<Act>& out);

  // ---- Links ----
  void opened(ConnId conn, Micros now);
  void heard(ConnId conn, const Frame& frame, Micros now, std::vector<Act>& out);
  void closed(ConnId conn, Micros now, std::vector<Act>& out);
  // The link can take more, or not for now.
  void room(ConnId conn, bool room, Micros now, std::vector<Act>& out);
  // A poll: the device has everything before `have`, and what was given to earlier polls may be lost.
  void polled(ConnId conn, Seq have, Micros now, std::vector<Act>& out);

  // ---- What was asked for has happened ----
  void recorded(const Record& record, bool durable, Micros now, std::vector<Act>& out);
  void answered(RequestId request, const Outcome& outcome, Micros now, std::vector<Act>& out);
  struct Rows {
    SessionId session{};
    RequestId request{};
    std::uint64_t row{}, count{};
    std::shared_ptr<const std::string> text;  // null: they are gone
    bool last{};
  };
  void rows(const Rows& rows, Micros now, std::vector<Act>& out);

  void drain(Micros now, std::vector<Act>& out);
  void advance(Micros now, std::int64_t now_unix_us, std::vector<Act>& out);
  std::optional<Micros> next(Micros now) const;

  // Nothing that was taken is unanswered, and nothing answered is on its way to a device that is there.
  bool settled() const;
  const Counts& counts() const { return counts_; }
  const LedgerLogic& ledger() const { return ledger_; }
  const spool::Budget& memory() const { return memory_; }
  std::size_t sessions() const { return sessions_.size(); }
  std::size_t live() const;
  std::size_t waiting() const { return gate_.waiting(); }

 private:
  struct Out {
    Body body;
    RequestId request{};     // rows: of which result
    std::uint32_t bytes{0};  // rows: text once it is known; it is fetched again to be sent again
    std::uint32_t charged{0};
    bool known{false};
    Micros sent{0};
    bool again{false};  // sent before, on another connection
  };
  struct Delivery {
    RequestId request{};
    std::uint64_t key{}, next{}, rows{};
  };
  struct Session {
    SessionId id{};
    int tenant{};
    const std::string* device{};  // where by_device_ has it
    ConnId conn{0};               // 0: detached
    bool room{false};
    Channel<Out> channel;
    RoundTrip trip;
    Suspicion suspicion;
    PageSize page;
    std::vector<std::uint64_t> asks;  // keys that wait for their answer, or for their rows' arrival
    std::vector<Delivery> deliveries;
    std::vector<RequestId> reading;  // results whose rows have not all arrived
    bool asks_for(std::uint64_t key) const { return std::find(asks.begin(), asks.end(), key) != asks.end(); }
    void ask(std::uint64_t key) {
      if (!asks_for(key)) asks.push_back(key);
    }
    std::uint32_t in_flight{0};
    bool fetching{false}, starving{false}, polling{false};
    Micros heard{0}, ping_sent{0}, expires{0};
    std::uint64_t ping{0};
    TimingWheel::TimerId timer{TimingWheel::kNoTimer};
    explicit Session(Seq first, const EdgeSettings& s) : channel(first), page(s.page_least, s.page_most) {}
  };
  struct Conn {
    SessionId session{0};          // 0: it has not said who it is, or waits to come in
    std::unique_ptr<Frame> hello;  // while it waits: a frame is large, and an idle session has none
    TimingWheel::TimerId timer{TimingWheel::kNoTimer};
  };
  struct Ask {  // a request at the coordinator, or on its way there
    Key key;
    Body body;  // until it is dispatched
    SessionId session{0};
    bool once{};
  };

  void admit(Micros now, std::vector<Act>& out);
  void come_in(ConnId conn, Micros now, std::vector<Act>& out);
  Session* begin(const Frame& hello, int tenant, Micros now, std::vector<Act>& out, std::string& why);
  void attach(Session& session, ConnId conn, const Frame& hello, bool resumed, Micros now,
              std::vector<Act>& out);
  void detach(Session& session, Micros now);
  void expire(Session& session, std::vector<Act>& out);
  void turn_away(ConnId conn, const char* code, const char* text, bool again, std::vector<Act>& out);
  void message(Session& session, const Frame& frame, Micros now, std::vector<Act>& out);
  bool acknowledged(Session& session, Seq have, Micros now, std::vector<Act>& out);
  void request(Session& session, const Body& body, Micros now, std::vector<Act>& out);
  void interrupt(Session& session, std::uint64_t key, Micros now, std::vector<Act>& out);
  void refuse(Session& session, std::uint64_t key, const char* code, bool again, Micros later);
  void tell(Session& session, const Key& key, const Outcome& outcome);
  void finish(RequestId request, const Outcome& outcome, std::vector<Act>& out);
  void pump(Session& session, Micros now, std::vector<Act>& out);
  void transmit(Session& session, Out& out, Micros now, std::vector<Act>& acts);
  void free_flight(Session& session, Out& out);
  void ground(Session& session);
  void stop_reading(Session& session, RequestId request, std::uint64_t rows, std::vector<Act>& out);
  void feed_starving(Micros now, std::vector<Act>& out);
  void watch(Session& session, Micros now);
  Micros heartbeat(const Session& session) const;
  bool once(const std::string& verb) const;
  Session* of(ConnId conn);

  EdgeSettings settings_;
  Sealer sealer_;
  pcg64 random_;
  Seq first_;
  Gate gate_;
  LedgerLogic ledger_;
  spool::Budget memory_;
  TimingWheel wheel_;
  std::unordered_map<ConnId, Conn> conns_;
  std::unordered_map<SessionId, Session> sessions_;
  std::map<std::pair<int, std::string>, std::vector<SessionId>> by_device_;
  std::vector<std::size_t> by_tenant_;
  std::unordered_map<RequestId, Ask> asks_;
  std::map<Key, RequestId> running_;
  std::deque<SessionId> starving_;
  std::unordered_map<RequestId, std::size_t> readers_;  // sessions that a result's rows go to
  bool draining_{false};
  Counts counts_;
};

}  // namespace steprail::edge
