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
constexpr Micros kCalm{60 *
                       kSecond};  // from here on links, disk and process hold, so that all can come to an end
constexpr Micros kEnd{240 * kSecond};

class World {
 public:
  explicit World(const SimOptions& options) : o_(options), random_(options.seed) {
    settings_.home = "one";
    settings_.tenants = {"acme", "umbra"};
    settings_.once = {{"lookup", false}, {"report", false}, {"load", true}};
    settings_.session_keep = 30 * kSecond;
    settings_.heartbeat_least = 500 * kMs;
    settings_.heartbeat_most = 2 * kSecond;
    settings_.window = 8 << 10;
    settings_.page_least = 512;
    settings_.page_most = 4 << 10;
    settings_.memory.max_bytes = 64 << 10;
    settings_.gate.rate = 50;
    settings_.gate.burst = 4;
    settings_.ledger.durable = options.durable;
    start();
    for (int i = 0; i < options.devices; ++i) {
      links_.push_back(std::make_unique<Link>(i % 2 == 0 ? "acme" : "umbra", "device" + std::to_string(i)));
      // A link's character: how long it holds, and how slow it is.
      links_.back()->mean_hold = Micros{200'000 + below(4'000'000)};
      links_.back()->delay = Micros{1000 + below(300'000)};
      links_.back()->forges = options.forged && below(4) == 0;
      at(Micros{below(500'000)}, [this, i] { connect(i); });
      for (int r = 0; r < options.requests; ++r) at(Micros{below(40'000'000)}, [this, i] { ask(i); });
    }
    if (options.crashes) {
      for (int i = 0; i < 3; ++i) at(Micros{1'000'000 + below(50'000'000)}, [this] { crash(); });
    }
  }

  SimResult run() {
    while (!events_.empty() && events_.top().when <= kEnd) {
      const auto next = events_.top();
      events_.pop();
      now_ = next.when;
      (*next.what)();
      check_bounds();
    }
    check();
    result_.digest = digest_;
    return std::move(result_);
  }

 private:
  struct Event {
    Micros when{0};
    std::uint64_t order{};
    std::shared_ptr<std::function<void()>> what;
    bool operator>(const Event& other) const {
      return std::pair(when, order) > std::pair(other.when, other.order);
    }
  };
  struct Link {
    Link(const std::string& tenant, const std::string& name) : device(tenant, name) {}
    Device device;
    ConnId conn{0};  // as the device sees it; 0: none
    Micros mean_hold{0}, delay{0}, last_down{0}, last_up{0};
    bool hole{false};  // what is sent on it disappears, and neither side is told
    bool forges{false};
    std::map<std::uint64_t, std::string> expected;  // key -> statement
  };
  struct Run {  // at the coordinator and its engine
    int tenant{};
    std::string verb, statement;
    bool withdrawn{false};
    std::uint64_t incarnation{};
    std::uint64_t rows{};
  };

  std::uint32_t below(std::uint32_t n) { return n == 0 ? 0 : random_(n); }
  void at(Micros when, std::function<void()> what) {
    events_.push({std::max(now_, when), ++order_, std::make_shared<std::function<void()>>(std::move(what))});
  }
  void note(const std::string& text) {
    for (const char c : text) digest_ = (digest_ ^ static_cast<unsigned char>(c)) * 1099511628211u;
    digest_ = (digest_ ^ static_cast<std::uint64_t>(now_.count())) * 1099511628211u;
    if (o_.trace) result_.history.push_back(std::to_string(now_.count() / 1000) + " ms  " + text);
  }

  // ---- The edge's process ----

  void start() {
    ++incarnation_;
    incarnations_.push_back(1000 + incarnation_);
    Sealer::Secret secret{};
    secret[0] = 7;
    const auto known = o_.durable ? incarnations_ : std::vector<std::uint64_t>{incarnations_.back()};
    edge_ = std::make_unique<EdgeLogic>(settings_, Sealer(secret), known, o_.seed * 31 + incarnation_, now_,
                                        now_.count(), 0xfffffff0u);
    std::vector<Act> acts;
    for (const auto& [_, record] : disk_) edge_->recover(record, acts);
    carry_out(acts);
    wake();
  }
  void crash() {
    if (now_ > kCalm) return;
    ++result_.crashes;
    note("crash");
    edge_.reset();
    conns_.clear();
    pending_.clear();
    committing_ = false;
    ++life_;
    // Its connections are reset, which devices hear sooner or later.
    for (std::size_t i = 0; i < links_.size(); ++i) {
      if (links_[i]->conn != 0)
        at(now_ + links_[i]->delay, [this, i, conn = links_[i]->conn] { lost(static_cast<int>(i), conn); });
    }
    at(now_ + Micros{50'000 + below(3'000'000)}, [this] {
      note("restart");
      start();
    });
  }
  void wake() {
    if (!edge_) return;
    const auto next = edge_->next(now_);
    if (!next || (armed_ > now_ && armed_ <= *next)) return;
    armed_ = std::max(*next, now_ + kMs);
    at(armed_, [this, life = life_] {
      if (!edge_ || life != life_) return;
      armed_ = Micros{0};
      std::vector<Act> acts;
      edge_->advance(now_, now_.count(), acts);
      carry_out(acts);
    });
  }

  void carry_out(std::vector<Act>& acts) {
    for (std::size_t i = 0; i < acts.size(); ++i)
      std::visit([this](const auto& act) { carry(act); }, Act(acts[i]));
    acts.clear();
    wake();
  }
  void carry(const ToDevice& act) {
    const auto conn = conns_.find(act.conn);
    if (conn == conns_.end()) return;
    Link& link = *links_[static_cast<std::size_t>(conn->second)];
    if (link.hole) return;
    // In order, as a connection keeps it.
    link.last_down = std::max(link.last_down + Micros{1}, now_ + link.delay + Micros{below(20'000)});
    at(link.last_down,
       [this, i = conn->second, id = act.conn, frame = act.frame] { arrive_down(i, id, frame); });
  }
  void carry(const CloseConn& act) {
    const auto conn = conns_.find(act.conn);
    if (conn == conns_.end()) return;
    const int i = conn->second;
    conns_.erase(conn);
    std::vector<Act> acts;
    edge_->closed(act.conn, now_, acts);
    Link& link = *links_[static_cast<std::size_t>(i)];
    if (!link.hole) {
      link.last_down = std::max(link.last_down + Micros{1}, now_ + link.delay);
      at(link.last_down, [this, i, id = act.conn] { lost(i, id); });
    }
    carry_out(acts);
  }
  void carry(const Write& act) {
    ++result_.records;
    if (o_.record_after_dispatch && act.record.fate == Fate::kDispatched && !act.record.mark &&
        !act.record.erase) {
      // Broken: it goes on as if the disk had it already.
      pending_.push_back({act.record, false});
      at(now_, [this, record = act.record, life = life_] {
        if (!edge_ || life != life_) return;
        std::vector<Act> acts;
        edge_->recorded(record, true, now_, acts);
        carry_out(acts);
      });
    } else {
      pending_.push_back({act.record, true});
    }
    commit();
  }
  // One commit at a time takes all that has come meanwhile: a crash leaves it whole or not at all.
  void commit() {
    if (committing_ || pending_.empty()) return;
    committing_ = true;
    auto batch = std::move(pending_);
    pending_.clear();
    const bool fails = o_.disk_faults && now_ < kCalm && below(25) == 0;
    at(now_ + Micros{2000 + below(60'000)}, [this, batch, fails, life = life_] {
      if (!edge_ || life != life_) return;  // it died before the commit was through
      if (!fails) {
        ++result_.commits;
        for (const auto& [record, _] : batch) write(record);
      }
      // Between the commit and the word of it there is time to die as well.
      at(now_ + Micros{below(5000)}, [this, batch, fails, life] {
        if (!edge_ || life != life_) return;
        committing_ = false;
        std::vector<Act> acts;
        for (const auto& [record, tell] : batch) {
          if (tell) edge_->recorded(record, !fails, now_, acts);
        }
        carry_out(acts);
        commit();
      });
    });
  }
  void write(const Record& record) {
    const std::string key = std::to_string(record.key.tenant) + record.key.device +
                            (record.mark ? "#" : "/") +
                            (record.mark ? "" : std::to_string(record.key.number));
    if (record.erase) {
      disk_.erase(key);
    } else {
      disk_[key] = record;
    }
  }
  void carry(const Submit& act) {
    note("submit " + act.body.verb + ' ' + act.body.statement);
    const RequestId id = act.request;
    runs_[id] = {act.tenant, act.body.verb, act.body.statement, false, incarnation_, 1 + below(60)};
    // As the coordinator may: refused without having run, failed after it may have, served; always in time.
    const Micros limit{act.body.limit_ms * 1000};
    const std::uint32_t kind = below(20);
    const Micros begins = now_ + Micros{below(100'000)}, ends = begins + Micros{below(400'000)};
    if (kind > 0) {
      at(begins, [this, id] {
        const Run& run = runs_.at(id);
        if (run.withdrawn) return;
        ++engine_runs_[run.statement];
        if (run.verb == "load") ++result_.loads_run;
        note("runs " + run.statement);
      });
    }
    Outcome outcome;
    outcome.how = kind == 0   ? Outcome::How::kRefused
                  : kind == 1 ? Outcome::How::kFailed
                              : Outcome::How::kServed;
    if (outcome.how == Outcome::How::kServed) outcome.rows = runs_[id].rows, outcome.request = id;
    at(std::min(ends, now_ + limit), [this, id, outcome, life = life_] {
      if (!edge_ || life != life_ || runs_.at(id).withdrawn) return;
      std::vector<Act> acts;
      edge_->answered(id, outcome, now_, acts);
      carry_out(acts);
    });
  }
  void carry(const Withdraw& act) { runs_.at(act.request).withdrawn = true; }
  void carry(const Release& act) { released_.push_back(act.request); }
  void carry(const Fetch& act) {
    at(now_ + Micros{below(3000)}, [this, act, life = life_] {
      if (!edge_ || life != life_) return;
      EdgeLogic::Rows rows{act.session, act.request, act.row, 0, nullptr, false};
      const auto run = runs_.find(act.request);
      const bool here = run != runs_.end() && (run->second.incarnation == incarnation_ || o_.durable) &&
                        std::find(released_.begin(), released_.end(), act.request) == released_.end();
      if (here) {
        std::string text;
        while (act.row + rows.count < run->second.rows) {
          const std::string one = row(run->second.statement, act.row + rows.count);
          if (rows.count > 0 && text.size() + one.size() > act.bytes) break;
          text += one;
          ++rows.count;
        }
        rows.last = act.row + rows.count == run->second.rows;
        rows.text = std::make_shared<const std::string>(std::move(text));
      }
      std::vector<Act> acts;
      edge_->rows(rows, now_, acts);
      carry_out(acts);
    });
  }
  static std::string row(const std::string& statement, std::uint64_t number) {
    return std::to_string(number) + '\t' + statement + '\t' +
           std::string(static_cast<std::size_t>(number % 97), 'x') + '\n';
  }

  static std::string shown(const Frame& frame) {
    static const char* types[] = {"hello", "welcome", "message", "ack",   "ping",
                                  "pong",  "later",   "moved",   "error", "bye"};
    std::string text = types[static_cast<int>(frame.type)];
    if (frame.type == Frame::Type::kMessage) {
      static const char* kinds[] = {"request", "interrupt", "answer", "rows", "notice"};
      text += ' ' + std::to_string(frame.seq) + ' ' + kinds[static_cast<int>(frame.body.kind)] + " key " +
              std::to_string(frame.body.key) + ' ' + frame.body.code;
      if (frame.body.kind == Body::Kind::kRows)
        text += " row " + std::to_string(frame.body.row) + '+' + std::to_string(frame.body.count) +
                (frame.body.last ? " last" : "");
    }
    return text + " have " + std::to_string(frame.have) + ' ' + frame.code;
  }

  // ---- Devices and their links ----

  void connect(int i) {
    Link& link = *links_[static_cast<std::size_t>(i)];
    if (link.conn != 0) return;
    if (!edge_) return at(now_ + Micros{300'000 + below(500'000)}, [this, i] { connect(i); });
    link.conn = ++last_conn_;
    link.hole = false;
    link.last_up = link.last_down = now_;
    const ConnId conn = link.conn;
    conns_[conn] = i;
    edge_->opened(conn, now_);
    wake();
    say(i, link.device.hello(now_));
    if (now_ < kCalm) {
      const Micros hold{
          static_cast<std::int64_t>(below(static_cast<std::uint32_t>(2 * link.mean_hold.count())))};
      at(now_ + hold, [this, i, conn] { fail(i, conn); });
    }
  }
  void fail(int i, ConnId conn) {
    Link& link = *links_[static_cast<std::size_t>(i)];
    if (link.conn != conn || now_ > kCalm) return;
    ++result_.cuts;
    switch (below(4)) {
      case 0:  // both sides hear of it
        note("cut " + link.device.name());
        edge_closed(conn);
        lost(i, conn);
        break;
      case 1:  // the device gives it up, the edge does not hear
        note("left " + link.device.name());
        lost(i, conn);
        break;
      case 2:  // the edge hears, the device finds out late
        note("half " + link.device.name());
        edge_closed(conn);
        link.hole = true;
        at(now_ + Micros{below(4'000'000)}, [this, i, conn] { lost(i, conn); });
        break;
      default:  // a black hole that stays open: the device gives up by itself, the edge by suspicion
        note("hole " + link.device.name());
        link.hole = true;
        at(now_ + Micros{1'000'000 + below(6'000'000)}, [this, i, conn] { lost(i, conn); });
    }
  }
  void edge_closed(ConnId conn) {
    if (conns_.erase(conn) == 0 || !edge_) return;
    std::vector<Act> acts;
    edge_->closed(conn, now_, acts);
    carry_out(acts);
  }
  // The device's side of a connection is over.
  void lost(int i, ConnId conn) {
    Link& link = *links_[static_cast<std::size_t>(i)];
    if (link.conn != conn) return;
    link.conn = 0;
    Micros wait{50'000 + below(1'500'000)};
    if (link.device.later_ms > 0) wait = Micros{std::exchange(link.device.later_ms, 0) * 1000};
    // Some devices lose their memory of the session, not of what they asked.
    if (now_ < kCalm && below(12) == 0) link.device.forget_token();
    at(now_ + wait, [this, i] { connect(i); });
  }
  void ask(int i) {
    Link& link = *links_[static_cast<std::size_t>(i)];
    const char* verbs[] = {"lookup", "report", "load"};
    const std::string verb = verbs[below(3)];
    const std::string statement = verb + " of " + link.device.name() + " no " + std::to_string(++statements_);
    const std::uint64_t key = link.device.ask(verb, statement, 2000 + below(6000), now_);
    link.expected[key] = statement;
    ++result_.requests;
    result_.loads += verb == "load";
    note("ask " + statement);
    push(i);
    if (below(3) == 0) {
      at(now_ + Micros{below(3'000'000)}, [this, i, key] {
        links_[static_cast<std::size_t>(i)]->device.ask_again(key);
        push(i);
      });
    }
    if (below(15) == 0) {
      at(now_ + Micros{below(1'000'000)}, [this, i, key] {
        links_[static_cast<std::size_t>(i)]->device.interrupt(key);
        push(i);
      });
    }
  }
  void push(int i) {
    Link& link = *links_[static_cast<std::size_t>(i)];
    if (link.conn == 0) return;
    std::vector<Frame> frames;
    link.device.transmit(frames);
    for (const Frame& frame : frames) say(i, frame);
  }
  void say(int i, Frame frame) {
    Link& link = *links_[static_cast<std::size_t>(i)];
    if (link.conn == 0 || link.hole) return;
    if (link.forges && now_ < kCalm && frame.type == Frame::Type::kAck && below(10) == 0)
      frame.have += 1 + below(5);
    link.last_up = std::max(link.last_up + Micros{1}, now_ + link.delay + Micros{below(20'000)});
    at(link.last_up, [this, conn = link.conn, frame] { arrive_up(conn, frame); });
  }
  void arrive_up(ConnId conn, Frame frame) {
    if (!edge_ || !conns_.contains(conn)) return;
    note("up " + shown(frame) + " of " + links_[static_cast<std::size_t>(conns_.at(conn))]->device.name());
    if (o_.ignore_incarnation && frame.body.kind == Body::Kind::kRequest)
      frame.body.first = incarnations_.back();
    if (o_.trust_acknowledgements && frame.type == Frame::Type::kAck) {
      // Broken: whatever the device says it has is taken for true, as far as there is anything.
      const auto sent = last_sent_.find(conn);
      if (sent != last_sent_.end() && before(sent->second, frame.have)) frame.have = sent->second;
    }
    std::vector<Act> acts;
    edge_->heard(conn, frame, now_, acts);
    for (const Act& act : acts) {
      const auto* down = std::get_if<ToDevice>(&act);
      if (down != nullptr && down->frame.type == Frame::Type::kMessage)
        last_sent_[down->conn] = down->frame.seq + 1;
    }
    carry_out(acts);
  }
  void arrive_down(int i, ConnId conn, const Frame& frame) {
    Link& link = *links_[static_cast<std::size_t>(i)];
    if (link.conn != conn || link.hole) return;
    note("down " + shown(frame) + " to " + link.device.name());
    std::vector<Frame> replies;
    const auto then = link.device.heard(frame, replies);
    for (const Frame& reply : replies) say(i, reply);
    if (then == Device::Then::kGoOn) return;
    // It hangs up, and the edge hears of that in time.
    at(now_ + link.delay, [this, conn] { edge_closed(conn); });
    lost(i, conn);
  }

  // ---- The checker ----

  void fault(const std::string& text) {
    if (result_.faults.size() < 20) result_.faults.push_back(text);
  }
  void check_bounds() {
    if (!edge_) return;
    // One page for each tenant may go beyond, or nothing would move; a row may be longer than a page.
    const std::uint64_t most = settings_.memory.max_bytes + 2 * (settings_.page_most + 200);
    if (edge_->memory().used() > most)
      fault("memory: " + std::to_string(edge_->memory().used()) + " bytes on their way");
    if (edge_->sessions() > static_cast<std::size_t>(o_.devices) * settings_.sessions_device)
      fault("too many sessions");
  }
  void check() {
    for (const auto& link : links_) {
      for (const auto& [key, request] : link->device.requests()) {
        const std::string& statement = link->expected.at(key);
        const int runs = engine_runs_.contains(statement) ? engine_runs_.at(statement) : 0;
        const bool load = request.body.verb == "load";
        result_.answers += static_cast<std::uint64_t>(request.finals);
        if (request.finals != 1) fault(statement + ": " + std::to_string(request.finals) + " final answers");
        if (load && request.changed) fault(statement + ": answered otherwise when it was asked again");
        if (request.wrong) fault(statement + ": rows out of order or of nobody's");
        if (load && runs > 1) {
          ++result_.loads_run_twice;
          fault(statement + ": ran " + std::to_string(runs) + " times");
        }
        if (!request.done) continue;
        result_.unknown += request.outcome.how == Outcome::How::kUnknown;
        if (request.outcome.how == Outcome::How::kServed) {
          if (runs == 0) fault(statement + ": served, though it never ran");
          std::string all;
          for (std::uint64_t n = 0; n < request.have_rows; ++n) all += row(statement, n);
          if (request.rows != all) fault(statement + ": rows that are not its own");
          if (request.code.empty() && request.have_rows != request.outcome.rows)
            fault(statement + ": rows are missing");
        }
        if (load && request.outcome.how == Outcome::How::kRefused && runs > 0)
          fault(statement + ": refused, though it ran");
      }
      result_.resumes += link->device.resumes;
    }
    if (edge_ && edge_->memory().used() != 0) fault("bytes left: " + std::to_string(edge_->memory().used()));
  }

  SimOptions o_;
  pcg32 random_;
  EdgeSettings settings_;
  SimResult result_;
  Micros now_{0}, armed_{0};
  std::uint64_t order_{0}, digest_{14695981039346656037u}, incarnation_{0}, life_{0}, statements_{0};
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::unique_ptr<EdgeLogic> edge_;
  std::vector<std::uint64_t> incarnations_;
  std::map<std::string, Record> disk_;
  std::vector<std::pair<Record, bool>> pending_;
  bool committing_{false};
  std::map<ConnId, int> conns_;
  std::map<ConnId, Seq> last_sent_;
  ConnId last_conn_{0};
  std::vector<std::unique_ptr<Link>> links_;
  std::map<RequestId, Run> runs_;
  std::map<std::string, int> engine_runs_;
  std::vector<RequestId> released_;
};

}  // namespace

SimResult simulate(const SimOptions& options) { return World(options).run(); }

}  // namespace steprail::standin
