#include "edge/edge.h"

#include <sodium.h>

#include <fstream>
#include <stdexcept>

#include "net/statement.h"

namespace steprail::edge {
namespace {

// Total size of the results that are kept here because the spool did not take them; above it, the rows of
// further such results are dropped.
constexpr std::uint64_t kMaxInlineBytes = 4u << 20;
// Reader ids of the spool's own service count up from 1; this bit keeps the edge's apart.
constexpr std::uint64_t kEdgeReaderBit = std::uint64_t{1} << 63;

TokenSigner::Secret load_secret(const std::string& path) {
  TokenSigner::Secret secret{};
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

Edge::Gauges::Gauges(Metrics& metrics)
    : sessions(metrics.gauge("steprail_edge_sessions", "Device sessions.")),
      live(metrics.gauge("steprail_edge_sessions_live", "Device sessions that have a connection.")),
      bytes(metrics.gauge("steprail_edge_in_flight_bytes", "Bytes of rows in flight to devices.")),
      waiting(metrics.gauge("steprail_edge_waiting", "Devices waiting for admission.")),
      entries(metrics.gauge("steprail_edge_ledger_entries", "Outcomes known to the ledger.")),
      begun(metrics.gauge("steprail_edge_sessions_begun_total", "Sessions started.")),
      resumed(metrics.gauge("steprail_edge_resumed_total", "Sessions resumed by another connection.")),
      taken_over(metrics.gauge("steprail_edge_taken_over_total",
                               "Sessions resumed while the earlier connection still seemed alive.")),
      expired(metrics.gauge("steprail_edge_expired_total", "Sessions that expired.")),
      turned_away(metrics.gauge("steprail_edge_turned_away_total",
                                "Connections refused or told to come back later.")),
      forged(
          metrics.gauge("steprail_edge_forged_total", "Tokens or acknowledgements that cannot be genuine.")),
      suspected(
          metrics.gauge("steprail_edge_suspected_total", "Connections closed because they seemed dead.")),
      requests(metrics.gauge("steprail_edge_requests_total", "Requests received.")),
      repeats(metrics.gauge("steprail_edge_repeats_total",
                            "Client retries: requests received that were sent before.")),
      answers(metrics.gauge("steprail_edge_answers_total", "Final answers.")),
      unknowns(metrics.gauge("steprail_edge_unknown_total", "Final answers whose outcome is 'unknown'.")),
      refused(metrics.gauge("steprail_edge_refused_total", "Messages turned away with an error code.")),
      commits(metrics.gauge("steprail_edge_ledger_commits_total", "Ledger transactions.")),
      records(
          metrics.gauge("steprail_edge_ledger_records_total", "Records written in ledger transactions.")) {}

Edge::Edge(Strand strand, Coordinator& coordinator, EventLog& log, Metrics& metrics, const NameTables& tables,
           spool::Spool& spool, const EdgeConf& conf, std::uint64_t seed,
           std::shared_ptr<MemoryBudget> request_memory, std::unique_ptr<spool::Index> index)
    : strand_(strand),
      coordinator_(coordinator),
      log_(log),
      tables_(tables),
      spool_(spool),
      request_memory_(std::move(request_memory)),
      front_index_(coordinator.attach(*this)),
      timer_(strand),
      gauges_(metrics) {
  if (sodium_init() < 0)
    throw std::runtime_error("no source of random numbers for tokens: libsodium cannot be initialized");
  const EdgeSettings settings = make_logic_settings(conf);
  std::uint64_t new_incarnation = 0;
  randombytes_buf(&new_incarnation, sizeof new_incarnation);
  LedgerStore::Recovery recovery;
  recovery.incarnations = {new_incarnation};
  if (!conf.ledger_folder.empty() || index) {
    if (!index) {
      spool::open_posix_files(conf.ledger_folder);  // creates the folder, or throws with the reason
      index = spool::open_lmdb_index(conf.ledger_folder, conf.max_ledger_bytes);
    }
    ledger_ = std::make_unique<LedgerWriter>(
        strand, std::move(index), settings.tenants, [this](const LedgerRecord& record, bool durable) {
          if (!durable) log_.event(LogLevel::kError, "edge-not-recorded", {{"fate", name(record.state)}});
          logic_->on_recorded(record, durable, now(), actions_);
          perform_actions();
        });
    recovery = ledger_->recover(new_incarnation, unix_now());
    log_.event(recovery.usable && recovery.unreadable == 0 ? LogLevel::kInfo : LogLevel::kError,
               "edge-ledger",
               {{"entries", recovery.records.size()},
                {"unreadable", recovery.unreadable},
                {"incarnations", recovery.incarnations.size()},
                {"usable", recovery.usable ? "yes" : "no"}});
  }
  logic_ = std::make_unique<EdgeLogic>(settings, TokenSigner(load_secret(conf.secret_file)),
                                       recovery.incarnations, seed, now(), unix_now());
  for (const LedgerRecord& record : recovery.records) logic_->recover(record, actions_);
  perform_actions();
}

Edge::~Edge() = default;

Micros Edge::now() {
  return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}
std::int64_t Edge::unix_now() {
  using namespace std::chrono;
  return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

EdgeSettings Edge::make_logic_settings(const EdgeConf& conf) const {
  EdgeSettings settings = conf.logic;
  for (int i = 0; i < tables_.tenants.size(); ++i) settings.tenants.push_back(tables_.tenants.name(i));
  for (int i = 0; i < tables_.classes.size(); ++i)
    settings.at_most_once[tables_.classes.name(i)] =
        coordinator_.settings().classes[static_cast<std::size_t>(i)].idempotency != Idempotency::kIdempotent;
  return settings;
}

void Edge::reconfigure(const EdgeConf& conf) { logic_->reconfigure(make_logic_settings(conf)); }

// ---- Called by the fronts ----

ConnId Edge::on_opened(std::shared_ptr<DeviceConnection> connection) {
  const ConnId conn = ++last_conn_id_;
  connections_[conn] = std::move(connection);
  logic_->on_open(conn, now());
  arm_timer();
  return conn;
}
void Edge::on_frame(ConnId conn, const Frame& frame) {
  logic_->on_frame(conn, frame, now(), actions_);
  perform_actions();
}
void Edge::on_closed(ConnId conn) {
  connections_.erase(conn);
  logic_->on_close(conn, now(), actions_);
  perform_actions();
}
void Edge::set_writable(ConnId conn, bool writable) {
  logic_->on_writable(conn, writable, now(), actions_);
  perform_actions();
}
void Edge::on_poll(ConnId conn, Seq have) {
  logic_->on_poll(conn, have, now(), actions_);
  perform_actions();
}

// ---- Actions of the logic ----

// Performing an action can append further ones to actions_; the outermost call performs them all.
void Edge::perform_actions() {
  if (std::exchange(performing_actions_, true)) return;
  drop_expired_results();
  for (std::size_t i = 0; i < actions_.size(); ++i) {
    const EdgeAction action = std::move(actions_[i]);
    std::visit([this](const auto& a) { perform(a); }, action);
  }
  actions_.clear();
  performing_actions_ = false;
  arm_timer();
}

void Edge::perform(const SendFrame& action) {
  const auto at = connections_.find(action.conn);
  if (at != connections_.end()) at->second->send(action.frame);
}

void Edge::perform(const CloseConn& action) {
  const auto at = connections_.find(action.conn);
  if (at == connections_.end()) return;
  const auto connection = std::move(at->second);
  connections_.erase(at);
  connection->close();
  logic_->on_close(action.conn, now(), actions_);
}

void Edge::perform(const WriteRecord& action) {
  if (ledger_) ledger_->write(action.record);
}

void Edge::perform(const SubmitRequest& action) {
  Query query;
  query.id = action.request;
  query.name = hex16(action.request);
  query.class_name = action.body.verb;
  query.cls = tables_.classes.index(action.body.verb);
  query.tenant = tables_.tenants.size() > 0 ? action.tenant : -1;
  query.estimate_ms = action.body.cpu;
  query.memory_mb = action.body.mem;
  query.time_limit = Micros{std::clamp<std::int64_t>(action.body.limit_ms, 0, 1'000'000'000) * 1000};
  query.received_at = coordinator_.now();
  // The logic limits the open requests of each session, so a request has an account of its own.
  const auto account = std::make_shared<MemoryAccount>(request_memory_);
  auto charge = account->try_charge(action.body.statement.size() + kRequestOverheadBytes);
  if (charge) query.statement = share_statement(action.body.statement, std::move(*charge));
  query.table_group = table_group(action.body.statement);
  query.reply_to = {action.request, 0, front_index_};
  if (!charge || coordinator_.validation_error(query) != nullptr || coordinator_.has_request(query.id) ||
      !coordinator_.has_room_for(query.cls)) {
    Outcome outcome;  // refused here: neither the gateway nor an engine sees it
    outcome.status = Outcome::Status::kRefused;
    return report_outcome(action.request, outcome);
  }
  RunningRequest& running = running_[action.request];
  running.tenant = action.tenant;
  running.deadline = now() + query.time_limit;
  running.repeatable = coordinator_.settings().classes[static_cast<std::size_t>(query.cls)].idempotency ==
                       Idempotency::kIdempotent;
  auto reserve = account->try_charge(spool_.settings().logic.max_direct_bytes);
  running.reserved = reserve.has_value();
  running.spooled = spool_.add_request(query.id, query.tenant, action.request | kEdgeReaderBit,
                                       query.time_limit, std::move(reserve).value_or(MemoryCharge{}));
  if (running.spooled) {
    query.sink = &spool_;
    query.max_result_bytes = spool_.settings().logic.max_result_bytes;
  }
  coordinator_.arrived(std::move(query));
}

void Edge::perform(const CancelRequest& action) {
  running_.erase(action.request);
  spool_.end_request(action.request, spool::EndReason::kInterrupted);
  coordinator_.client_gone(action.request);
}

void Edge::report_outcome(RequestId request, const Outcome& outcome) {
  logic_->on_outcome(request, outcome, now(), actions_);
  perform_actions();
}

void Edge::answer(const ReplyTarget& ticket, Answer answer) {
  const RequestId id = ticket.session;
  const auto at = running_.find(id);
  if (at == running_.end()) return;
  const RunningRequest running = at->second;
  running_.erase(at);
  Outcome outcome;
  if (answer.verdict != Verdict::kServed) {
    const bool refused = answer.verdict == Verdict::kRefused;
    if (running.spooled)
      spool_.end_request(id, refused ? spool::EndReason::kRefused : spool::EndReason::kFailed);
    outcome.status = refused ? Outcome::Status::kRefused : Outcome::Status::kFailed;
    outcome.retry_safe = refused || running.repeatable;
    outcome.retry_after = answer.retry_after;
    return report_outcome(id, outcome);
  }
  outcome.status = Outcome::Status::kServed;
  outcome.result_id = id;
  Result result;
  result.tenant = running.tenant;
  const auto keep_inline = [&](spool::Window window) {
    outcome.rows = window.total_rows;
    outcome.bytes = window.bytes;
    if (inline_bytes_ + window.bytes > kMaxInlineBytes)
      return;  // the device gets the outcome, but its rows are not kept
    inline_bytes_ += window.bytes;
    result.is_inline = true;
    result.inline_window = std::move(window);
  };
  if (!running.spooled) {
    spool::Window window;
    for (std::string& page : answer.pages) {
      window.rows += static_cast<std::uint64_t>(std::count(page.begin(), page.end(), '\n'));
      const auto text = std::make_shared<const std::string>(std::move(page));
      window.bytes += text->size();
      window.slices.push_back({text, 0, text->size()});
    }
    window.total_rows = window.rows;
    keep_inline(std::move(window));
  } else {
    const auto overflow =
        running.reserved ? spool::Spool::Overflow::kKeep : spool::Spool::Overflow::kAnswerWhole;
    spool_.complete(id, overflow, [&](const spool::Delivery& opened) {
      if (opened.kind == spool::Delivery::Kind::kHandle) {
        result.handle = opened.handle;
        outcome.rows = opened.rows;
        outcome.bytes = opened.bytes;
      } else if (opened.kind == spool::Delivery::Kind::kWhole) {
        keep_inline(opened.window);
        spool_.whole_answer_written(id);
      } else {
        // The query ran, but the spool had no room for its rows.
        outcome.status = Outcome::Status::kFailed;
        outcome.retry_safe = running.repeatable;
      }
    });
  }
  if (outcome.status == Outcome::Status::kServed && outcome.rows > 0) {
    results_[id] = std::move(result);
    result_expiries_.emplace(running.deadline, id);
  }
  report_outcome(id, outcome);
}

void Edge::perform(const FetchRows& action) {
  auto at = results_.find(action.request);
  if (at == results_.end()) {
    // A result from an earlier process, which the spool may have recovered from disk.
    const auto view = spool_.logic().view(action.request);
    if (view && spool_.resume(action.request, static_cast<int>(view->tenant), action.request | kEdgeReaderBit)
                        .access == spool::Access::kGranted) {
      Result result;
      result.tenant = static_cast<int>(view->tenant);
      result.handle = *view->handle;
      at = results_.emplace(action.request, std::move(result)).first;
    }
  }
  spool::Window failed_window;
  failed_window.error = spool::StoreError::kUnknown;
  if (at == results_.end()) return deliver_rows(action, failed_window);
  const Result& result = at->second;
  if (result.is_inline) {
    // All rows from the requested one on: an inline result is small.
    spool::Window window = result.inline_window;
    std::uint64_t skip = action.first_row;
    while (skip > 0 && !window.slices.empty()) {
      spool::Slice& slice = window.slices.front();
      const std::size_t end = slice.page->find('\n', slice.from);
      slice.from = end == std::string::npos || end >= slice.to ? slice.to : end + 1;
      if (slice.from == slice.to) window.slices.erase(window.slices.begin());
      --skip;
    }
    window.first_row = action.first_row;
    window.rows = window.total_rows - action.first_row;
    return deliver_rows(action, window);
  }
  const spool::Grant grant = spool_.fetch(
      result.handle, result.tenant, action.request | kEdgeReaderBit, {false, action.first_row},
      action.page_bytes, [this, action](const spool::Window& window) { deliver_rows(action, window); });
  if (grant.access != spool::Access::kGranted) deliver_rows(action, failed_window);
}

void Edge::deliver_rows(const FetchRows& action, const spool::Window& window) {
  EdgeLogic::Rows rows{action.session, action.request, action.first_row, window.rows, nullptr, false};
  if (window.error == spool::StoreError::kNone) {
    auto text = std::make_shared<std::string>();
    for (const spool::Slice& slice : window.slices)
      text->append(*slice.page, slice.from, slice.to - slice.from);
    rows.text = std::move(text);
    rows.last = window.last();
  }
  logic_->on_rows(rows, now(), actions_);
  perform_actions();
}

// The spool drops expired results by itself; this drops the handles that are kept here, and the rows of
// inline results.
void Edge::drop_expired_results() {
  while (!result_expiries_.empty() && result_expiries_.top().first <= now()) {
    perform(ReleaseResult{result_expiries_.top().second, 0});
    result_expiries_.pop();
  }
}

void Edge::perform(const ReleaseResult& action) {
  const auto at = results_.find(action.request);
  if (at == results_.end()) return;
  const Result result = std::move(at->second);
  results_.erase(at);
  if (result.is_inline) {
    inline_bytes_ -= std::min(inline_bytes_, result.inline_window.bytes);
  } else if (action.delivered_rows > 0) {
    spool_.acknowledge(result.handle, result.tenant, action.request | kEdgeReaderBit, action.delivered_rows);
  } else {
    spool_.release(result.handle, result.tenant, action.request | kEdgeReaderBit);
  }
}

void Edge::arm_timer() {
  const auto next = logic_->next_wakeup(now());
  if (!next || (timer_due_at_.count() > 0 && timer_due_at_ <= *next)) return;
  timer_due_at_ = *next;
  timer_.expires_at(std::chrono::steady_clock::time_point(timer_due_at_));
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    timer_due_at_ = Micros{0};
    logic_->advance(now(), unix_now(), actions_);
    perform_actions();
  });
}

void Edge::drain() {
  logic_->drain(now(), actions_);
  perform_actions();
}

void Edge::update_metrics() {
  const Counters& counts = logic_->counters();
  const auto set = [](prometheus::Gauge& gauge, std::uint64_t value) {
    gauge.Set(static_cast<double>(value));
  };
  set(gauges_.sessions, logic_->session_count());
  set(gauges_.live, logic_->connected_count());
  set(gauges_.bytes, logic_->memory().used());
  set(gauges_.waiting, logic_->waiting_count());
  set(gauges_.entries, logic_->ledger().size());
  set(gauges_.begun, counts.sessions_begun);
  set(gauges_.resumed, counts.resumed);
  set(gauges_.taken_over, counts.taken_over);
  set(gauges_.expired, counts.expired);
  set(gauges_.turned_away, counts.rejected);
  set(gauges_.forged, counts.forged);
  set(gauges_.suspected, counts.suspected);
  set(gauges_.requests, counts.requests);
  set(gauges_.repeats, counts.repeats);
  set(gauges_.answers, counts.answers);
  set(gauges_.unknowns, counts.unknown_outcomes);
  set(gauges_.refused, counts.refused);
  if (ledger_) set(gauges_.commits, ledger_->commit_count()), set(gauges_.records, ledger_->record_count());
}

}  // namespace steprail::edge
