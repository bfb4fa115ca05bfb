#include "standins/edge_sim.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <queue>

#include "edge/logic/edge_logic.h"
#include "standins/device.h"

namespace steprail::standin {
namespace {

using namespace edge;

constexpr Micros kMs{1000}, kSecond{1'000'000};
constexpr Micros kFaultsEnd{60 * kSecond};  // no faults from here on, so that every request can end
constexpr Micros kEnd{240 * kSecond};

class EdgeSimulation {
 public:
  explicit EdgeSimulation(const SimOptions& options) : options_(options), random_(options.seed) {
    settings_.home = "one";
    settings_.tenants = {"acme", "umbra"};
    settings_.at_most_once = {{"lookup", false}, {"report", false}, {"load", true}};
    settings_.session_ttl = 30 * kSecond;
    settings_.min_heartbeat = 500 * kMs;
    settings_.max_heartbeat = 2 * kSecond;
    settings_.window = 8 << 10;
    settings_.min_page_bytes = 512;
    settings_.max_page_bytes = 4 << 10;
    settings_.memory.max_bytes = 64 << 10;
    settings_.admission.rate_per_second = 50;
    settings_.admission.burst = 4;
    settings_.ledger.durable = options.durable;
    start_edge();
    for (int i = 0; i < options.devices; ++i) {
      links_.push_back(std::make_unique<Link>(i % 2 == 0 ? "acme" : "umbra", "device" + std::to_string(i)));
      // Each link has its own mean time to failure and its own delay.
      links_.back()->mean_lifetime = Micros{200'000 + random_below(4'000'000)};
      links_.back()->delay = Micros{1000 + random_below(300'000)};
      links_.back()->forges_acks = options.forged_acks && random_below(4) == 0;
      schedule_at(Micros{random_below(500'000)}, [this, i] { connect(i); });
      for (int r = 0; r < options.requests_per_device; ++r)
        schedule_at(Micros{random_below(40'000'000)}, [this, i] { submit_request(i); });
    }
    if (options.crashes) {
      for (int i = 0; i < 3; ++i)
        schedule_at(Micros{1'000'000 + random_below(50'000'000)}, [this] { crash_edge(); });
    }
  }

  SimResult run() {
    while (!events_.empty() && events_.top().due_at <= kEnd) {
      const auto next = events_.top();
      events_.pop();
      now_ = next.due_at;
      (*next.action)();
      check_limits();
    }
    check_outcomes();
    result_.digest = digest_;
    return std::move(result_);
  }

 private:
  struct Event {
    Micros due_at{0};
    std::uint64_t order{};
    std::shared_ptr<std::function<void()>> action;
    bool operator>(const Event& other) const {
      return std::pair(due_at, order) > std::pair(other.due_at, other.order);
    }
  };
  struct Link {
    Link(const std::string& tenant, const std::string& name) : device(tenant, name) {}
    Device device;
    ConnId conn{0};  // as the device sees it; 0: not connected
    Micros mean_lifetime{0}, delay{0}, last_to_device_at{0}, last_to_edge_at{0};
    bool black_hole{false};  // drops everything sent on it, and neither side is notified
    bool forges_acks{false};
    std::map<std::uint64_t, std::string> statement_by_key;
  };
  struct CoordinatorRequest {  // a request at the coordinator and its engine
    int tenant{};
    std::string verb, statement;
    bool cancelled{false};
    std::uint64_t incarnation{};
    std::uint64_t rows{};
  };

  std::uint32_t random_below(std::uint32_t n) { return n == 0 ? 0 : random_(n); }
  void schedule_at(Micros due_at, std::function<void()> action) {
    events_.push(
        {std::max(now_, due_at), ++event_count_, std::make_shared<std::function<void()>>(std::move(action))});
  }
  void trace(const std::string& text) {
    for (const char c : text) digest_ = (digest_ ^ static_cast<unsigned char>(c)) * 1099511628211u;
    digest_ = (digest_ ^ static_cast<std::uint64_t>(now_.count())) * 1099511628211u;
    if (options_.trace) result_.history.push_back(std::to_string(now_.count() / 1000) + " ms  " + text);
  }

  // ---- The edge's process ----

  void start_edge() {
    ++incarnation_;
    incarnations_.push_back(1000 + incarnation_);
    TokenSigner::Secret secret{};
    secret[0] = 7;
    const auto known = options_.durable ? incarnations_ : std::vector<std::uint64_t>{incarnations_.back()};
    edge_ = std::make_unique<EdgeLogic>(settings_, TokenSigner(secret), known,
                                        options_.seed * 31 + incarnation_, now_, now_.count(), 0xfffffff0u);
    std::vector<EdgeAction> actions;
    for (const auto& [_, record] : records_on_disk_) edge_->recover(record, actions);
    execute_all(actions);
    arm_timer();
  }
  void crash_edge() {
    if (now_ > kFaultsEnd) return;
    ++result_.crashes;
    trace("crash");
    edge_.reset();
    conns_.clear();
    pending_records_.clear();
    committing_ = false;
    ++process_generation_;
    // Its connections are reset, which devices notice after the link's delay.
    for (std::size_t i = 0; i < links_.size(); ++i) {
      if (links_[i]->conn != 0)
        schedule_at(now_ + links_[i]->delay,
                    [this, i, conn = links_[i]->conn] { on_device_disconnected(static_cast<int>(i), conn); });
    }
    schedule_at(now_ + Micros{50'000 + random_below(3'000'000)}, [this] {
      trace("restart");
      start_edge();
    });
  }
  void arm_timer() {
    if (!edge_) return;
    const auto next = edge_->next_wakeup(now_);
    if (!next || (armed_for_ > now_ && armed_for_ <= *next)) return;
    armed_for_ = std::max(*next, now_ + kMs);
    schedule_at(armed_for_, [this, generation = process_generation_] {
      if (!edge_ || generation != process_generation_) return;
      armed_for_ = Micros{0};
      std::vector<EdgeAction> actions;
      edge_->advance(now_, now_.count(), actions);
      execute_all(actions);
    });
  }

  void execute_all(std::vector<EdgeAction>& actions) {
    for (std::size_t i = 0; i < actions.size(); ++i)
      std::visit([this](const auto& action) { execute(action); }, EdgeAction(actions[i]));
    actions.clear();
    arm_timer();
  }
  void execute(const SendFrame& action) {
    const auto conn = conns_.find(action.conn);
    if (conn == conns_.end()) return;
    Link& link = *links_[static_cast<std::size_t>(conn->second)];
    if (link.black_hole) return;
    // A connection delivers in order.
    link.last_to_device_at =
        std::max(link.last_to_device_at + Micros{1}, now_ + link.delay + Micros{random_below(20'000)});
    schedule_at(link.last_to_device_at, [this, i = conn->second, id = action.conn, frame = action.frame] {
      deliver_to_device(i, id, frame);
    });
  }
  void execute(const CloseConn& action) {
    const auto conn = conns_.find(action.conn);
    if (conn == conns_.end()) return;
    const int i = conn->second;
    conns_.erase(conn);
    std::vector<EdgeAction> actions;
    edge_->on_close(action.conn, now_, actions);
    Link& link = *links_[static_cast<std::size_t>(i)];
    if (!link.black_hole) {
      link.last_to_device_at = std::max(link.last_to_device_at + Micros{1}, now_ + link.delay);
      schedule_at(link.last_to_device_at, [this, i, id = action.conn] { on_device_disconnected(i, id); });
    }
    execute_all(actions);
  }
  void execute(const WriteRecord& action) {
    ++result_.records;
    if (options_.record_after_dispatch && action.record.state == EntryState::kDispatched &&
        !action.record.watermark && !action.record.erase) {
      // Broken variant: reports the record as durable before it is written.
      pending_records_.push_back({action.record, false});
      schedule_at(now_, [this, record = action.record, generation = process_generation_] {
        if (!edge_ || generation != process_generation_) return;
        std::vector<EdgeAction> actions;
        edge_->on_recorded(record, true, now_, actions);
        execute_all(actions);
      });
    } else {
      pending_records_.push_back({action.record, true});
    }
    start_commit();
  }
  // One commit at a time, with all records that came meanwhile. A commit is atomic across a crash.
  void start_commit() {
    if (committing_ || pending_records_.empty()) return;
    committing_ = true;
    auto batch = std::move(pending_records_);
    pending_records_.clear();
    const bool fails = options_.disk_faults && now_ < kFaultsEnd && random_below(25) == 0;
    schedule_at(now_ + Micros{2000 + random_below(60'000)},
                [this, batch, fails, generation = process_generation_] {
                  if (!edge_ || generation != process_generation_)
                    return;  // the process died before the commit was done
                  if (!fails) {
                    ++result_.commits;
                    for (const auto& [record, _] : batch) write_to_disk(record);
                  }
                  // The process may also die between the commit and its notification.
                  schedule_at(now_ + Micros{random_below(5000)}, [this, batch, fails, generation] {
                    if (!edge_ || generation != process_generation_) return;
                    committing_ = false;
                    std::vector<EdgeAction> actions;
                    for (const auto& [record, notify] : batch) {
                      if (notify) edge_->on_recorded(record, !fails, now_, actions);
                    }
                    execute_all(actions);
                    start_commit();
                  });
                });
  }
  void write_to_disk(const LedgerRecord& record) {
    const std::string key = std::to_string(record.key.tenant) + record.key.device +
                            (record.watermark ? "#" : "/") +
                            (record.watermark ? "" : std::to_string(record.key.number));
    if (record.erase) {
      records_on_disk_.erase(key);
    } else {
      records_on_disk_[key] = record;
    }
  }
  void execute(const SubmitRequest& action) {
    trace("submit " + action.body.verb + ' ' + action.body.statement);
    const RequestId id = action.request;
    coordinator_requests_[id] = {action.tenant, action.body.verb, action.body.statement,
                                 false,         incarnation_,     1 + random_below(60)};
    // The outcomes of a coordinator, always before the deadline: refused without having run, failed after it
    // may have run, or served.
    const Micros limit{action.body.limit_ms * 1000};
    const std::uint32_t kind = random_below(20);
    const Micros starts_at = now_ + Micros{random_below(100'000)},
                 ends_at = starts_at + Micros{random_below(400'000)};
    if (kind > 0) {
      schedule_at(starts_at, [this, id] {
        const CoordinatorRequest& request = coordinator_requests_.at(id);
        if (request.cancelled) return;
        ++run_count_by_statement_[request.statement];
        if (request.verb == "load") ++result_.load_runs;
        trace("engine runs " + request.statement);
      });
    }
    Outcome outcome;
    outcome.status = kind == 0   ? Outcome::Status::kRefused
                     : kind == 1 ? Outcome::Status::kFailed
                                 : Outcome::Status::kServed;
    if (outcome.status == Outcome::Status::kServed)
      outcome.rows = coordinator_requests_[id].rows, outcome.result_id = id;
    schedule_at(std::min(ends_at, now_ + limit), [this, id, outcome, generation = process_generation_] {
      if (!edge_ || generation != process_generation_ || coordinator_requests_.at(id).cancelled) return;
      std::vector<EdgeAction> actions;
      edge_->on_outcome(id, outcome, now_, actions);
      execute_all(actions);
    });
  }
  void execute(const CancelRequest& action) { coordinator_requests_.at(action.request).cancelled = true; }
  void execute(const ReleaseResult& action) { released_results_.push_back(action.request); }
  void execute(const FetchRows& action) {
    schedule_at(now_ + Micros{random_below(3000)}, [this, action, generation = process_generation_] {
      if (!edge_ || generation != process_generation_) return;
      EdgeLogic::Rows rows{action.session, action.request, action.first_row, 0, nullptr, false};
      const auto request = coordinator_requests_.find(action.request);
      const bool available = request != coordinator_requests_.end() &&
                             (request->second.incarnation == incarnation_ || options_.durable) &&
                             std::find(released_results_.begin(), released_results_.end(), action.request) ==
                                 released_results_.end();
      if (available) {
        std::string text;
        while (action.first_row + rows.row_count < request->second.rows) {
          const std::string row = make_row(request->second.statement, action.first_row + rows.row_count);
          if (rows.row_count > 0 && text.size() + row.size() > action.page_bytes) break;
          text += row;
          ++rows.row_count;
        }
        rows.last = action.first_row + rows.row_count == request->second.rows;
        rows.text = std::make_shared<const std::string>(std::move(text));
      }
      std::vector<EdgeAction> actions;
      edge_->on_rows(rows, now_, actions);
      execute_all(actions);
    });
  }
  static std::string make_row(const std::string& statement, std::uint64_t number) {
    return std::to_string(number) + '\t' + statement + '\t' +
           std::string(static_cast<std::size_t>(number % 97), 'x') + '\n';
  }

  static std::string describe(const Frame& frame) {
    static const char* types[] = {"hello", "welcome", "message", "ack",   "ping",
                                  "pong",  "later",   "moved",   "error", "bye"};
    std::string text = types[static_cast<int>(frame.type)];
    if (frame.type == Frame::Type::kMessage) {
      static const char* kinds[] = {"request", "interrupt", "answer", "rows", "notice"};
      text += ' ' + std::to_string(frame.seq) + ' ' + kinds[static_cast<int>(frame.body.kind)] + " key " +
              std::to_string(frame.body.key) + ' ' + frame.body.code;
      if (frame.body.kind == Body::Kind::kRows)
        text += " row " + std::to_string(frame.body.first_row) + '+' + std::to_string(frame.body.row_count) +
                (frame.body.last ? " last" : "");
    }
    return text + " have " + std::to_string(frame.next_expected) + ' ' + frame.code;
  }

  // ---- Devices and their links ----

  void connect(int i) {
    Link& link = *links_[static_cast<std::size_t>(i)];
    if (link.conn != 0) return;
    if (!edge_) return schedule_at(now_ + Micros{300'000 + random_below(500'000)}, [this, i] { connect(i); });
    link.conn = ++last_conn_;
    link.black_hole = false;
    link.last_to_edge_at = link.last_to_device_at = now_;
    const ConnId conn = link.conn;
    conns_[conn] = i;
    edge_->on_open(conn, now_);
    arm_timer();
    send_to_edge(i, link.device.hello(now_));
    if (now_ < kFaultsEnd) {
      const Micros lifetime{static_cast<std::int64_t>(
          random_below(static_cast<std::uint32_t>(2 * link.mean_lifetime.count())))};
      schedule_at(now_ + lifetime, [this, i, conn] { fail_link(i, conn); });
    }
  }
  void fail_link(int i, ConnId conn) {
    Link& link = *links_[static_cast<std::size_t>(i)];
    if (link.conn != conn || now_ > kFaultsEnd) return;
    ++result_.link_failures;
    switch (random_below(4)) {
      case 0:  // both sides notice
        trace("link cut: " + link.device.name());
        close_at_edge(conn);
        on_device_disconnected(i, conn);
        break;
      case 1:  // the device drops the connection, and the edge does not notice
        trace("link left open at the edge: " + link.device.name());
        on_device_disconnected(i, conn);
        break;
      case 2:  // the edge notices, the device only later
        trace("link closed at edge only: " + link.device.name());
        close_at_edge(conn);
        link.black_hole = true;
        schedule_at(now_ + Micros{random_below(4'000'000)},
                    [this, i, conn] { on_device_disconnected(i, conn); });
        break;
      default:  // a black hole that stays open: the device times out, and the edge's failure detector fires
        trace("link black hole: " + link.device.name());
        link.black_hole = true;
        schedule_at(now_ + Micros{1'000'000 + random_below(6'000'000)},
                    [this, i, conn] { on_device_disconnected(i, conn); });
    }
  }
  void close_at_edge(ConnId conn) {
    if (conns_.erase(conn) == 0 || !edge_) return;
    std::vector<EdgeAction> actions;
    edge_->on_close(conn, now_, actions);
    execute_all(actions);
  }
  // The device's side of a connection has ended.
  void on_device_disconnected(int i, ConnId conn) {
    Link& link = *links_[static_cast<std::size_t>(i)];
    if (link.conn != conn) return;
    link.conn = 0;
    Micros wait{50'000 + random_below(1'500'000)};
    if (link.device.retry_after_ms > 0) wait = Micros{std::exchange(link.device.retry_after_ms, 0) * 1000};
    // Some devices lose their session token, but not their requests.
    if (now_ < kFaultsEnd && random_below(12) == 0) link.device.forget_token();
    schedule_at(now_ + wait, [this, i] { connect(i); });
  }
  void submit_request(int i) {
    Link& link = *links_[static_cast<std::size_t>(i)];
    const char* verbs[] = {"lookup", "report", "load"};
    const std::string verb = verbs[random_below(3)];
    const std::string statement =
        verb + " of " + link.device.name() + " no " + std::to_string(++statement_count_);
    const std::uint64_t key = link.device.submit(verb, statement, 2000 + random_below(6000), now_);
    link.statement_by_key[key] = statement;
    ++result_.requests;
    result_.loads += verb == "load";
    trace("ask " + statement);
    flush_device(i);
    if (random_below(3) == 0) {
      schedule_at(now_ + Micros{random_below(3'000'000)}, [this, i, key] {
        links_[static_cast<std::size_t>(i)]->device.resend(key);
        flush_device(i);
      });
    }
    if (random_below(15) == 0) {
      schedule_at(now_ + Micros{random_below(1'000'000)}, [this, i, key] {
        links_[static_cast<std::size_t>(i)]->device.interrupt(key);
        flush_device(i);
      });
    }
  }
  void flush_device(int i) {
    Link& link = *links_[static_cast<std::size_t>(i)];
    if (link.conn == 0) return;
    std::vector<Frame> frames;
    link.device.transmit(frames);
    for (const Frame& frame : frames) send_to_edge(i, frame);
  }
  void send_to_edge(int i, Frame frame) {
    Link& link = *links_[static_cast<std::size_t>(i)];
    if (link.conn == 0 || link.black_hole) return;
    if (link.forges_acks && now_ < kFaultsEnd && frame.type == Frame::Type::kAck && random_below(10) == 0)
      frame.next_expected += 1 + random_below(5);
    link.last_to_edge_at =
        std::max(link.last_to_edge_at + Micros{1}, now_ + link.delay + Micros{random_below(20'000)});
    schedule_at(link.last_to_edge_at, [this, conn = link.conn, frame] { deliver_to_edge(conn, frame); });
  }
  void deliver_to_edge(ConnId conn, Frame frame) {
    if (!edge_ || !conns_.contains(conn)) return;
    trace("up " + describe(frame) + " of " +
          links_[static_cast<std::size_t>(conns_.at(conn))]->device.name());
    if (options_.ignore_incarnation && frame.body.kind == Body::Kind::kRequest)
      frame.body.first_incarnation = incarnations_.back();
    if (options_.trust_acknowledgements && frame.type == Frame::Type::kAck) {
      // Broken variant: trusts any acknowledgement, limited to what was sent.
      const auto sent = next_seq_sent_.find(conn);
      if (sent != next_seq_sent_.end() && seq_before(sent->second, frame.next_expected))
        frame.next_expected = sent->second;
    }
    std::vector<EdgeAction> actions;
    edge_->on_frame(conn, frame, now_, actions);
    for (const EdgeAction& action : actions) {
      const auto* sent = std::get_if<SendFrame>(&action);
      if (sent != nullptr && sent->frame.type == Frame::Type::kMessage)
        next_seq_sent_[sent->conn] = sent->frame.seq + 1;
    }
    execute_all(actions);
  }
  void deliver_to_device(int i, ConnId conn, const Frame& frame) {
    Link& link = *links_[static_cast<std::size_t>(i)];
    if (link.conn != conn || link.black_hole) return;
    trace("down " + describe(frame) + " to " + link.device.name());
    std::vector<Frame> replies;
    const auto next_step = link.device.on_frame(frame, replies);
    for (const Frame& reply : replies) send_to_edge(i, reply);
    if (next_step == Device::NextStep::kContinue) return;
    // The device disconnects, and the edge notices after the link's delay.
    schedule_at(now_ + link.delay, [this, conn] { close_at_edge(conn); });
    on_device_disconnected(i, conn);
  }

  // ---- The checker ----

  void add_violation(const std::string& text) {
    if (result_.violations.size() < 20) result_.violations.push_back(text);
  }
  void check_limits() {
    if (!edge_) return;
    // Each tenant may exceed the limit by one page, or it could not progress; rows may exceed a page.
    const std::uint64_t max_bytes = settings_.memory.max_bytes + 2 * (settings_.max_page_bytes + 200);
    if (edge_->memory().used() > max_bytes)
      add_violation("memory: " + std::to_string(edge_->memory().used()) + " bytes in flight");
    if (edge_->session_count() >
        static_cast<std::size_t>(options_.devices) * settings_.max_sessions_per_device)
      add_violation("too many sessions");
  }
  void check_outcomes() {
    for (const auto& link : links_) {
      for (const auto& [key, request] : link->device.requests()) {
        const std::string& statement = link->statement_by_key.at(key);
        const int runs =
            run_count_by_statement_.contains(statement) ? run_count_by_statement_.at(statement) : 0;
        const bool load = request.body.verb == "load";
        result_.answers += static_cast<std::uint64_t>(request.final_answers);
        if (request.final_answers != 1)
          add_violation(statement + ": " + std::to_string(request.final_answers) + " final answers");
        if (load && request.answer_changed)
          add_violation(statement + ": answered otherwise when it was sent again");
        if (request.rows_invalid) add_violation(statement + ": rows out of order or after the request's end");
        if (load && runs > 1) {
          ++result_.loads_run_twice;
          add_violation(statement + ": ran " + std::to_string(runs) + " times");
        }
        if (!request.done) continue;
        result_.unknown_outcomes += request.outcome.status == Outcome::Status::kUnknown;
        if (request.outcome.status == Outcome::Status::kServed) {
          if (runs == 0) add_violation(statement + ": served without having run");
          std::string all;
          for (std::uint64_t n = 0; n < request.row_count; ++n) all += make_row(statement, n);
          if (request.rows != all) add_violation(statement + ": rows with wrong contents");
          if (request.code.empty() && request.row_count != request.outcome.rows)
            add_violation(statement + ": rows are missing");
        }
        if (load && request.outcome.status == Outcome::Status::kRefused && runs > 0)
          add_violation(statement + ": refused after it ran");
      }
      result_.resumes += link->device.resume_count;
    }
    if (edge_ && edge_->memory().used() != 0)
      add_violation("bytes left in flight: " + std::to_string(edge_->memory().used()));
  }

  SimOptions options_;
  pcg32 random_;
  EdgeSettings settings_;
  SimResult result_;
  Micros now_{0}, armed_for_{0};
  std::uint64_t event_count_{0}, digest_{14695981039346656037u}, incarnation_{0}, process_generation_{0},
      statement_count_{0};
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::unique_ptr<EdgeLogic> edge_;
  std::vector<std::uint64_t> incarnations_;
  std::map<std::string, LedgerRecord> records_on_disk_;
  std::vector<std::pair<LedgerRecord, bool>> pending_records_;
  bool committing_{false};
  std::map<ConnId, int> conns_;
  std::map<ConnId, Seq> next_seq_sent_;
  ConnId last_conn_{0};
  std::vector<std::unique_ptr<Link>> links_;
  std::map<RequestId, CoordinatorRequest> coordinator_requests_;
  std::map<std::string, int> run_count_by_statement_;
  std::vector<RequestId> released_results_;
};

}  // namespace

SimResult simulate(const SimOptions& options) { return EdgeSimulation(options).run(); }

}  // namespace steprail::standin
