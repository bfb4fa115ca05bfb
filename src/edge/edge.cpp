#include "edge/edge.h"

#include <sodium.h>

#include <fstream>
#include <stdexcept>

#include "net/statement.h"

namespace steprail::edge {
namespace {

// Of answers that the spool had no room for; beyond it their rows are not kept for a device that is away.
constexpr std::uint64_t kDirectMost = 4u << 20;
// Readers of the spool's own service count up from 1.
constexpr std::uint64_t kOwnReader = std::uint64_t{1} << 63;

Sealer::Secret secret_of(const std::string& path) {
  Sealer::Secret secret{};
  if (path.empty()) {
    randombytes_buf(secret.data(), secret.size());
    return secret;
  }
  std::ifstream file(path, std::ios::binary);
  std::string bytes((std::istreambuf_iterator<char>(file)), {});
  if (bytes.size() < secret.size())
    throw std::runtime_error("secret " + path + " cannot be read, or has fewer than 32 bytes");
  crypto_generichash(secret.data(), secret.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                     bytes.size(), nullptr, 0);
  return secret;
}

std::string hex16(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

}  // namespace

Edge::Counted::Counted(Metrics& m)
    : sessions(m.gauge("steprail_edge_sessions", "Sessions of devices.")),
      live(m.gauge("steprail_edge_sessions_live", "Of these, those with a connection.")),
      bytes(m.gauge("steprail_edge_in_flight_bytes", "Bytes of rows on their way to devices.")),
      waiting(m.gauge("steprail_edge_waiting", "Devices that wait to be let in.")),
      entries(m.gauge("steprail_edge_ledger_entries", "Outcomes known.")),
      begun(m.gauge("steprail_edge_sessions_begun_total", "Sessions begun.")),
      resumed(m.gauge("steprail_edge_resumed_total", "Sessions resumed by another connection.")),
      taken_over(
          m.gauge("steprail_edge_taken_over_total", "Of these, while the old one still looked alive.")),
      expired(m.gauge("steprail_edge_expired_total", "Sessions given up.")),
      turned_away(m.gauge("steprail_edge_turned_away_total", "Connections refused or told to come later.")),
      forged(m.gauge("steprail_edge_forged_total", "Tokens or acknowledgements that could not be.")),
      suspected(m.gauge("steprail_edge_suspected_total", "Connections given up as dead.")),
      requests(m.gauge("steprail_edge_requests_total", "Requests heard.")),
      repeats(m.gauge("steprail_edge_repeats_total", "Of these, sent before.")),
      answers(m.gauge("steprail_edge_answers_total", "Final answers.")),
      unknowns(m.gauge("steprail_edge_unknown_total", "Of these, 'outcome unknown'.")),
      refused(m.gauge("steprail_edge_refused_total", "Messages turned away by name.")),
      commits(m.gauge("steprail_edge_ledger_commits_total", "Transactions of the ledger.")),
      records(m.gauge("steprail_edge_ledger_records_total", "Records in them.")) {}

Edge::Edge(Strand strand, Coordinator& coordinator, EventLog& log, Metrics& metrics, const Tables& tables,
           spool::Spool& spool, const EdgeConf& conf, std::uint64_t seed, std::unique_ptr<spool::Index> index)
    : strand_(strand),
      coordinator_(coordinator),
      log_(log),
      tables_(tables),
      spool_(spool),
      number_(coordinator.attach(*this)),
      timer_(strand),
      counted_(metrics) {
  if (sodium_init() < 0) throw std::runtime_error("no source of random numbers for tokens");
  const EdgeSettings settings = settings_of(conf);
  std::uint64_t fresh = 0;
  randombytes_buf(&fresh, sizeof fresh);
  LedgerStore::Recovery found;
  found.incarnations = {fresh};
  if (!conf.ledger_folder.empty() || index) {
    if (!index) {
      spool::posix_files(conf.ledger_folder);  // makes the folder, or says why not
      index = spool::lmdb_index(conf.ledger_folder, conf.ledger_most);
    }
    ledger_ = std::make_unique<LedgerWriter>(
        strand, std::move(index), settings.tenants, [this](const Record& record, bool durable) {
          if (!durable) log_.event(LogLevel::kError, "edge-not-recorded", {{"fate", name(record.fate)}});
          logic_->recorded(record, durable, now(), acts_);
          run();
        });
    found = ledger_->recover(fresh, unix_now());
    log_.event(found.usable && found.unreadable == 0 ? LogLevel::kInfo : LogLevel::kError, "edge-ledger",
               {{"entries", found.records.size()},
                {"unreadable", found.unreadable},
                {"incarnations", found.incarnations.size()},
                {"usable", found.usable ? "yes" : "no"}});
  }
  logic_ = std::make_unique<EdgeLogic>(settings, Sealer(secret_of(conf.secret_file)), found.incarnations,
                                       seed, now(), unix_now());
  for (const Record& record : found.records) logic_->recover(record, acts_);
  run();
}

Edge::~Edge() = default;

Micros Edge::now() {
  return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}
std::int64_t Edge::unix_now() {
  using namespace std::chrono;
  return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

EdgeSettings Edge::settings_of(const EdgeConf& conf) const {
  EdgeSettings settings = conf.logic;
  for (int i = 0; i < tables_.tenants.size(); ++i) settings.tenants.push_back(tables_.tenants.name(i));
  for (int i = 0; i < tables_.classes.size(); ++i)
    settings.once[tables_.classes.name(i)] =
        coordinator_.settings().classes[static_cast<std::size_t>(i)].effect != Effect::kRepeatable;
  return settings;
}

void Edge::reconfigure(const EdgeConf& conf) { logic_->reconfigure(settings_of(conf)); }

// ---- Links ----

ConnId Edge::opened(std::shared_ptr<Link> link) {
  const ConnId conn = ++last_conn_;
  links_[conn] = std::move(link);
  logic_->opened(conn, now());
  arm();
  return conn;
}
void Edge::heard(ConnId conn, const Frame& frame) {
  logic_->heard(conn, frame, now(), acts_);
  run();
}
void Edge::closed(ConnId conn) {
  links_.erase(conn);
  logic_->closed(conn, now(), acts_);
  run();
}
void Edge::room(ConnId conn, bool room) {
  logic_->room(conn, room, now(), acts_);
  run();
}
void Edge::polled(ConnId conn, Seq have) {
  logic_->polled(conn, have, now(), acts_);
  run();
}

// ---- Acts ----

void Edge::run() {
  if (std::exchange(working_, true)) return;
  forget_due();
  for (std::size_t i = 0; i < acts_.size(); ++i) {
    const Act act = std::move(acts_[i]);
    std::visit([this](const auto& a) { carry_out(a); }, act);
  }
  acts_.clear();
  working_ = false;
  arm();
}

void Edge::carry_out(const ToDevice& act) {
  const auto at = links_.find(act.conn);
  if (at != links_.end()) at->second->send(act.frame);
}

void Edge::carry_out(const CloseConn& act) {
  const auto at = links_.find(act.conn);
  if (at == links_.end()) return;
  const auto link = std::move(at->second);
  links_.erase(at);
  link->close();
  logic_->closed(act.conn, now(), acts_);
}

void Edge::carry_out(const Write& act) {
  if (ledger_) ledger_->write(act.record);
}

void Edge::carry_out(const Submit& act) {
  Query query;
  query.id = act.request;
  query.name = hex16(act.request);
  query.class_name = act.body.verb;
  query.cls = tables_.classes.index(act.body.verb);
  query.tenant = tables_.tenants.size() > 0 ? act.tenant : -1;
  query.estimate_ms = act.body.cpu;
  query.memory_mb = act.body.mem;
  query.limit = Micros{std::clamp<std::int64_t>(act.body.limit_ms, 0, 1'000'000'000) * 1000};
  query.taken = coordinator_.now();
  query.statement = act.body.statement;
  query.group = table_group(act.body.statement);
  query.ticket = {act.request, 0, number_};
  if (coordinator_.unusable(query) != nullptr || coordinator_.knows(query.id)) {
    Outcome outcome;  // it reaches neither the module nor an engine
    outcome.how = Outcome::How::kRefused;
    return answered(act.request, outcome);
  }
  Running& running = running_[act.request];
  running.tenant = act.tenant;
  running.give_up = now() + query.limit;
  running.repeatable =
      coordinator_.settings().classes[static_cast<std::size_t>(query.cls)].effect == Effect::kRepeatable;
  running.spooled = spool_.submitted(query.id, query.tenant, act.request | kOwnReader, query.limit);
  if (running.spooled) {
    query.sink = &spool_;
    query.result_most = spool_.settings().logic.result_most;
  }
  coordinator_.arrived(std::move(query));
}

void Edge::carry_out(const Withdraw& act) {
  running_.erase(act.request);
  spool_.ended(act.request, spool::End::kInterrupted);
  coordinator_.client_gone(act.request);
}

void Edge::answered(RequestId request, const Outcome& outcome) {
  logic_->answered(request, outcome, now(), acts_);
  run();
}

void Edge::answer(const Ticket& ticket, Answer answer) {
  const RequestId id = ticket.session;
  const auto at = running_.find(id);
  if (at == running_.end()) return;
  const Running running = at->second;
  running_.erase(at);
  Outcome outcome;
  if (answer.verdict != Verdict::kServed) {
    const bool refused = answer.verdict == Verdict::kRefused;
    if (running.spooled) spool_.ended(id, refused ? spool::End::kRefused : spool::End::kFailed);
    outcome.how = refused ? Outcome::How::kRefused : Outcome::How::kFailed;
    outcome.again = refused || running.repeatable;
    outcome.later = answer.come_back;
    return answered(id, outcome);
  }
  outcome.how = Outcome::How::kServed;
  outcome.request = id;
  Result result;
  result.tenant = running.tenant;
  const auto keep_whole = [&](spool::Window window) {
    outcome.rows = window.total_rows;
    outcome.bytes = window.bytes;
    if (direct_bytes_ + window.bytes > kDirectMost)
      return;  // the device is told, though its rows are not kept
    direct_bytes_ += window.bytes;
    result.direct = true;
    result.whole = std::move(window);
  };
  if (!running.spooled) {
    spool::Window window;
    for (std::string& page : answer.pages) {
      window.rows += static_cast<std::uint64_t>(std::count(page.begin(), page.end(), '\n'));
      const auto one = std::make_shared<const std::string>(std::move(page));
      window.bytes += one->size();
      window.slices.push_back({one, 0, one->size()});
    }
    window.total_rows = window.rows;
    keep_whole(std::move(window));
  } else {
    spool_.delivered(id, [&](const spool::Opened& opened) {
      if (opened.how == spool::Opened::How::kHandle) {
        result.handle = opened.handle;
        outcome.rows = opened.rows;
        outcome.bytes = opened.bytes;
      } else if (opened.how == spool::Opened::How::kWhole) {
        keep_whole(opened.window);
      } else {
        // It ran, and its rows found no room.
        outcome.how = Outcome::How::kFailed;
        outcome.again = running.repeatable;
      }
    });
  }
  if (outcome.how == Outcome::How::kServed && outcome.rows > 0) {
    results_[id] = std::move(result);
    due_.emplace(running.give_up, id);
  }
  answered(id, outcome);
}

void Edge::carry_out(const Fetch& act) {
  auto at = results_.find(act.request);
  if (at == results_.end()) {
    // A result of a process before this one, which the spool may have found on disk.
    const auto view = spool_.logic().view(act.request);
    if (view && spool_.resume(act.request, static_cast<int>(view->tenant), act.request | kOwnReader).access ==
                    spool::Access::kGranted) {
      Result result;
      result.tenant = static_cast<int>(view->tenant);
      result.handle = *view->handle;
      at = results_.emplace(act.request, std::move(result)).first;
    }
  }
  spool::Window none;
  none.error = spool::StoreError::kUnknown;
  if (at == results_.end()) return give(act, none);
  const Result& result = at->second;
  if (result.direct) {
    // All there is, from the row on: it is short.
    spool::Window window = result.whole;
    std::uint64_t skip = act.row;
    while (skip > 0 && !window.slices.empty()) {
      spool::Slice& slice = window.slices.front();
      const std::size_t end = slice.page->find('\n', slice.from);
      slice.from = end == std::string::npos || end >= slice.to ? slice.to : end + 1;
      if (slice.from == slice.to) window.slices.erase(window.slices.begin());
      --skip;
    }
    window.first_row = act.row;
    window.rows = window.total_rows - act.row;
    return give(act, window);
  }
  const spool::Grant grant =
      spool_.fetch(result.handle, result.tenant, act.request | kOwnReader, {false, act.row}, act.bytes,
                   [this, act](const spool::Window& window) { give(act, window); });
  if (grant.access != spool::Access::kGranted) give(act, none);
}

void Edge::give(const Fetch& act, const spool::Window& window) {
  EdgeLogic::Rows rows{act.session, act.request, act.row, window.rows, nullptr, false};
  if (window.error == spool::StoreError::kNone) {
    auto text = std::make_shared<std::string>();
    for (const spool::Slice& slice : window.slices)
      text->append(*slice.page, slice.from, slice.to - slice.from);
    rows.text = std::move(text);
    rows.last = window.last();
  }
  logic_->rows(rows, now(), acts_);
  run();
}

// The spool has let go of them by itself; what stands here is the handle, or a short answer's rows.
void Edge::forget_due() {
  while (!due_.empty() && due_.top().first <= now()) {
    carry_out(Release{due_.top().second, 0});
    due_.pop();
  }
}

void Edge::carry_out(const Release& act) {
  const auto at = results_.find(act.request);
  if (at == results_.end()) return;
  const Result result = std::move(at->second);
  results_.erase(at);
  if (result.direct) {
    direct_bytes_ -= std::min(direct_bytes_, result.whole.bytes);
  } else if (act.rows > 0) {
    spool_.acknowledge(result.handle, result.tenant, act.request | kOwnReader, act.rows);
  } else {
    spool_.release(result.handle, result.tenant, act.request | kOwnReader);
  }
}

void Edge::arm() {
  const auto next = logic_->next(now());
  if (!next || (armed_for_.count() > 0 && armed_for_ <= *next)) return;
  armed_for_ = *next;
  timer_.expires_at(std::chrono::steady_clock::time_point(armed_for_));
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    armed_for_ = Micros{0};
    logic_->advance(now(), unix_now(), acts_);
    run();
  });
}

void Edge::drain() {
  logic_->drain(now(), acts_);
  run();
}

void Edge::observe() {
  const Counts& c = logic_->counts();
  const auto set = [](prometheus::Gauge& gauge, std::uint64_t value) {
    gauge.Set(static_cast<double>(value));
  };
  set(counted_.sessions, logic_->sessions());
  set(counted_.live, logic_->live());
  set(counted_.bytes, logic_->memory().used());
  set(counted_.waiting, logic_->waiting());
  set(counted_.entries, logic_->ledger().size());
  set(counted_.begun, c.sessions_begun);
  set(counted_.resumed, c.resumed);
  set(counted_.taken_over, c.taken_over);
  set(counted_.expired, c.expired);
  set(counted_.turned_away, c.turned_away);
  set(counted_.forged, c.forged);
  set(counted_.suspected, c.suspected);
  set(counted_.requests, c.requests);
  set(counted_.repeats, c.repeats);
  set(counted_.answers, c.answers);
  set(counted_.unknowns, c.unknowns);
  set(counted_.refused, c.refused);
  if (ledger_) set(counted_.commits, ledger_->commits()), set(counted_.records, ledger_->records());
}

}  // namespace steprail::edge
