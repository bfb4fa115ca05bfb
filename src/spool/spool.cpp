#include "spool/spool.h"

#include <sodium.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <stdexcept>

namespace steprail::spool {
namespace {

constexpr std::uint64_t kMaxIndexBytes =
    // Size of the LMDB file: some 100 bytes per page stored on disk.
    256u << 20;
constexpr std::size_t kHandleBytes = 16;

std::int64_t unix_now() {
  using namespace std::chrono;
  return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

std::string make_handle() {
  unsigned char bytes[kHandleBytes];
  randombytes_buf(bytes, sizeof bytes);
  char text[2 * kHandleBytes + 1];
  sodium_bin2hex(text, sizeof text, bytes, sizeof bytes);
  return text;
}

std::uint32_t count_rows(std::string_view page) {
  return static_cast<std::uint32_t>(std::count(page.begin(), page.end(), '\n'));
}

// Byte offset of a page's row with this number.
std::size_t row_offset(std::string_view page, std::uint64_t rows) {
  std::size_t at = 0;
  for (; rows > 0; --rows) at = page.find('\n', at) + 1;
  return at;
}

}  // namespace

Spool::SpoolMetrics::SpoolMetrics(Metrics& m)
    : metrics(m),
      results(m.counter("steprail_spool_results_total", "Results that arrived whole.")),
      served(m.counter("steprail_spool_served_total", "Results whose last row was sent to a reader.")),
      direct(m.counter("steprail_spool_direct_total",
                       "Results answered whole at once because the spool was full.")),
      full(m.counter("steprail_spool_full_total",
                     "Results that neither the spool nor a direct answer could take.")),
      stored(m.counter("steprail_spool_stored_total", "Results written to disk.")),
      not_stored(m.counter("steprail_spool_not_stored_total",
                           "Results that stayed in memory: no room on disk, or no usable disk.")),
      corrupt(m.counter("steprail_spool_spoilt_total",
                        "Reads from disk that failed or did not return what was written.")),
      recovered(m.counter("steprail_spool_recovered_total", "Results found whole on disk at the start.")),
      lost(m.counter("steprail_spool_lost_total",
                     "Results in the index that the disk did not have intact at the start.")),
      memory(m.gauge("steprail_spool_memory_bytes", "Bytes of results in memory.")),
      read_back(m.gauge("steprail_spool_read_back_bytes", "Bytes read back from disk for readers.")),
      disk(m.gauge("steprail_spool_disk_bytes", "Bytes of results on disk.")),
      results_held(m.gauge("steprail_spool_results", "Results held.")),
      unread(m.gauge("steprail_spool_unread", "Whole results that are not yet fully acknowledged.")),
      sizes(m.histogram("steprail_spool_result_bytes", "Size of whole results in bytes.",
                        {1e3, 6e3, 48e3, 256e3, 1e6, 4e6, 16e6, 64e6})) {}

Spool::Spool(Strand strand, EventLog& log, Metrics& metrics, SpoolSettings settings,
             std::vector<std::string> tenants, Substitutes substitutes)
    : strand_(strand),
      log_(log),
      settings_(std::move(settings)),
      tenants_(std::move(tenants)),
      unix_us_(substitutes.unix_us ? std::move(substitutes.unix_us) : unix_now),
      logic_(settings_.logic, weights(settings_), now()),
      memory_freed_(std::make_shared<Pages::FreedCallback>()),
      read_back_freed_(std::make_shared<Pages::FreedCallback>()),
      lease_timer_(strand),
      metrics_(metrics) {
  if (sodium_init() < 0) throw std::runtime_error("no source of random numbers for handles");
  *memory_freed_ = [this](std::size_t tenant, std::uint64_t bytes) {
    logic_.memory_freed(tenant, bytes, actions_);
    run_actions();
  };
  *read_back_freed_ = [this](std::size_t tenant, std::uint64_t bytes) {
    logic_.read_back_freed(tenant, bytes);
    boost::asio::post(strand_, [this, weak_callback = std::weak_ptr<Pages::FreedCallback>(read_back_freed_)] {
      const auto callback = weak_callback.lock();
      if (callback && *callback) start_pending_reads();
    });
  };
  std::unique_ptr<Files> files = std::move(substitutes.files);
  std::unique_ptr<Index> index = std::move(substitutes.index);
  if (!settings_.disk_path.empty() && !files) {
    files = open_posix_files(settings_.disk_path);
    index = open_lmdb_index(settings_.disk_path, kMaxIndexBytes);
  }
  if (files) {
    disk_ = std::make_unique<DiskTier>(
        strand, std::move(files), std::move(index),
        StoreSettings{settings_.logic.disk.max_bytes, settings_.segment_bytes, settings_.compression});
    recover();
  }
  arm_lease_timer();
}

Spool::~Spool() {
  // Pages in send queues may outlive the spool; their callbacks must not run then.
  *memory_freed_ = nullptr;
  *read_back_freed_ = nullptr;
}

Micros Spool::now() {
  return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}

// Tenants named in the operator's file have the share given there; the others divide the rest equally.
std::vector<double> Spool::weights(const SpoolSettings& settings) const {
  if (tenants_.empty()) return {1};
  double remaining = 1;
  std::size_t unnamed = tenants_.size();
  for (const std::string& tenant : tenants_) {
    const auto share = settings.shares.find(tenant);
    if (share != settings.shares.end()) remaining -= share->second, --unnamed;
  }
  std::vector<double> weights;
  for (const std::string& tenant : tenants_) {
    const auto share = settings.shares.find(tenant);
    weights.push_back(share != settings.shares.end()
                          ? share->second
                          : std::max(remaining, 0.001) / static_cast<double>(unnamed));
  }
  return weights;
}

void Spool::recover() {
  const std::int64_t unix_time = unix_us_();
  SegmentStore::Recovery recovery = disk_->recover(unix_time);
  if (!recovery.usable) logic_.disk_failed();
  for (const StoredResult& result : recovery.intact) {
    const auto tenant = std::find(tenants_.begin(), tenants_.end(), result.tenant);
    const bool known_tenant = tenant != tenants_.end() || tenants_.empty();
    PageIndex index;
    index.reserve(result.pages.size());
    for (const StoredPage& page : result.pages) index.append(page.rows, page.bytes);
    const Micros remaining{std::min(result.give_up_unix_us - unix_time, result.remaining_us)};
    const auto tenant_number = tenants_.empty() ? 0 : static_cast<std::size_t>(tenant - tenants_.begin());
    if (known_tenant &&
        logic_.add_recovered(result.id, tenant_number, result.handle, std::move(index), result.acknowledged,
                             result.bytes_on_disk(), now() + remaining, now())) {
      metrics_.recovered.Increment();
    } else {
      disk_->erase(result.id, [] {});
    }
  }
  metrics_.lost.Increment(static_cast<double>(recovery.lost));
  log_.event(recovery.usable && recovery.lost == 0 ? LogLevel::kInfo : LogLevel::kWarn, "spool-recovered",
             {{"whole", recovery.intact.size()},
              {"expired", recovery.expired},
              {"lost", recovery.lost},
              {"bytes", recovery.bytes_read},
              {"usable", recovery.usable ? "yes" : "no"}});
}

void Spool::reconfigure(const SpoolSettings& settings) {
  settings_ = settings;
  logic_.reconfigure(settings.logic, weights(settings), actions_);
  run_actions();
}

// ---- Requests ----

bool Spool::add_request(RequestId id, int tenant, ReaderId reader, Micros limit, MemoryCharge reserve) {
  if (!logic_.add_request(id, tenant_index(tenant), make_handle(), reader, now() + limit)) return false;
  reserves_[id] = std::move(reserve);
  arm_lease_timer();
  return true;
}

PageSink::Want Spool::reject_result(ResultBuffer& buffer, EndReason reason) {
  buffer.failure = reason;
  buffer.pages.reset();
  return Want::kEnough;
}

PageSink::Want Spool::begin(RequestId id, int attempt, std::size_t pages, std::string_view first) {
  const auto view = logic_.view(id);
  if (!view) return Want::kEnough;  // the request has ended: interrupted, or its give-up time has passed
  const auto [at, inserted] = buffers_.try_emplace(id);
  STEPRAIL_INVARIANT(log_, inserted);
  if (!inserted) lost(id, at->second.attempt);
  ResultBuffer& buffer = inserted ? at->second : buffers_[id];
  buffer.attempt = attempt;
  buffer.missing_pages = pages;
  const Bytes expected = std::max<Bytes>(first.size(), 1) * pages;
  const Placement placement = logic_.begin_attempt(id, expected);
  if (placement == Placement::kRefused)
    return reject_result(buffer, logic_.too_long(expected) ? EndReason::kTooLong : EndReason::kSpoolFull);
  buffer.pages = std::make_shared<Pages>(memory_freed_, view->tenant);
  buffer.pages->set_charge(logic_.charged(id));
  buffer.pages->contents.resize(pages);
  buffer.received.resize(pages);
  buffer.page_rows.resize(pages);
  return page(id, attempt, 0, first);
}

PageSink::Want Spool::page(RequestId id, int attempt, std::size_t number, std::string_view bytes) {
  const auto at = buffers_.find(id);
  if (at == buffers_.end() || at->second.attempt != attempt || at->second.failure || !logic_.view(id))
    return Want::kEnough;
  ResultBuffer& buffer = at->second;
  STEPRAIL_INVARIANT(log_, number < buffer.received.size() && !buffer.received[number]);
  buffer.pages->contents[number] = std::string(bytes);
  buffer.received[number] = true;
  buffer.page_rows[number] = count_rows(bytes);
  --buffer.missing_pages;
  if (!report_pages(id, buffer)) {
    const bool too_long = logic_.too_long(logic_.charged(id) + bytes.size());
    return reject_result(buffer, too_long ? EndReason::kTooLong : EndReason::kSpoolFull);
  }
  return Want::kMore;
}

// Reports pages to the logic in order, so that its row index is correct at all times.
bool Spool::report_pages(RequestId id, ResultBuffer& buffer) {
  bool fits = true;
  while (fits && buffer.next_page < buffer.received.size() && buffer.received[buffer.next_page]) {
    fits = logic_.add_page(id, buffer.page_rows[buffer.next_page],
                           buffer.pages->contents[buffer.next_page].size());
    buffer.pages->set_charge(logic_.charged(id));
    ++buffer.next_page;
  }
  return fits;
}

void Spool::lost(RequestId id, int attempt) {
  const auto at = buffers_.find(id);
  if (at == buffers_.end() || at->second.attempt != attempt) return;
  logic_.attempt_lost(id);
  buffers_.erase(at);
}

void Spool::complete(RequestId id, Overflow overflow, std::function<void(Delivery)> then) {
  Delivery delivery;
  const auto at = buffers_.find(id);
  const auto view = logic_.view(id);
  if (at == buffers_.end() || !view) {
    delivery.reason = logic_.end_reason_of(id).value_or(EndReason::kGivenUp);
    return then(std::move(delivery));
  }
  ResultBuffer& buffer = at->second;
  if (buffer.failure) {
    delivery.reason = *buffer.failure;
    metrics_.full.Increment();
    log_.event(LogLevel::kWarn, "spool-refused",
               {{"why", name(delivery.reason)},
                {"pages", buffer.received.size()},
                {"memory", logic_.memory().used()}});
    end_request(id, delivery.reason);
    return then(std::move(delivery));
  }
  STEPRAIL_INVARIANT(log_, buffer.missing_pages == 0);
  metrics_.results.Increment();
  metrics_.sizes.Observe(static_cast<double>(view->index->byte_count()));
  const std::shared_ptr<const Pages> pages = buffer.pages;
  const PageIndex index = *view->index;
  logic_.complete(id, now(), actions_);
  buffer.pages->set_charge(logic_.charged(id));
  const bool has_place = !logic_.view(id)->direct;
  if (!has_place) buffer.pages->hold(std::move(reserves_[id]));
  reserves_.erase(id);
  delivery = describe(id);
  if (has_place || overflow == Overflow::kKeep) {
    delivery.window = make_window(pages, 0, index, 0, 1, 0, settings_.max_window_bytes);
  } else {
    metrics_.direct.Increment();
    delivery.kind = Delivery::Kind::kWhole;
    delivery.handle.clear();
    delivery.lease = Micros{0};
    delivery.window = make_window(pages, 0, index, 0, index.page_count(), 0, index.byte_count());
  }
  window_sent(id, delivery.window);
  run_actions();
  then(std::move(delivery));
}

void Spool::end_request(RequestId id, EndReason reason) {
  logic_.end_request(id, reason, actions_);
  run_actions();
}

Delivery Spool::describe(RequestId id) const {
  Delivery delivery;
  const auto view = logic_.view(id);
  delivery.kind = Delivery::Kind::kHandle;
  delivery.handle = *view->handle;
  delivery.rows = view->index->row_count();
  delivery.bytes = view->index->byte_count();
  delivery.pages = view->index->page_count();
  delivery.lease = view->expires_at - now();
  return delivery;
}

// ---- Readers ----

void Spool::reopen(RequestId id, std::function<void(Delivery)> then) {
  const auto view = logic_.view(id);
  STEPRAIL_INVARIANT(log_, view && view->state >= State::kReady);
  if (!view) return;
  arm_lease_timer();
  serve_window(id, 0, 1, 0, settings_.max_window_bytes, view->on_disk,
               [this, id, delivery = describe(id), then = std::move(then)](Window window) mutable {
                 if (window.error != StoreError::kNone) {
                   delivery.kind = Delivery::Kind::kNone;
                   delivery.reason = EndReason::kLost;
                 }
                 delivery.window = std::move(window);
                 then(std::move(delivery));
               });
}

Grant Spool::fetch(std::string_view handle, int tenant, ReaderId reader, Position from, Bytes window,
                   std::function<void(Window)> then) {
  window = std::min(window == 0 ? settings_.max_window_bytes : window, settings_.max_window_bytes);
  const Grant grant = from.by_page
                          ? logic_.fetch_page(handle, tenant_index(tenant), reader, from.at, window, now())
                          : logic_.fetch_row(handle, tenant_index(tenant), reader, from.at, window, now());
  if (grant.access == Access::kGranted)
    serve_window(grant.id, grant.first_page, grant.end_page, grant.first_row, window, grant.on_disk,
                 std::move(then));
  return grant;
}

void Spool::serve_window(RequestId id, std::size_t first, std::size_t last, std::uint64_t row, Bytes window,
                         bool on_disk, std::function<void(Window)> then) {
  const auto view = logic_.view(id);
  if (!on_disk) {
    const Window window_out = make_window(buffers_.at(id).pages, 0, *view->index, first, last, row, window);
    window_sent(id, window_out);
    return then(window_out);
  }
  PendingRead pending{id, view->tenant, first, last, 0, row, window, std::move(then)};
  pending.bytes = view->index->bytes_before(last - 1) + view->index->bytes_of(last - 1) -
                  view->index->bytes_before(first);
  pending_reads_.push_back(std::move(pending));
  start_pending_reads();
}

// Starts the reads for which there is memory. Reads of a tenant without any left wait and do not block those
// of others.
void Spool::start_pending_reads() {
  for (auto at = pending_reads_.begin(); at != pending_reads_.end();) {
    if (!logic_.reserve_read_back(at->tenant, at->bytes)) {
      ++at;
      continue;
    }
    PendingRead pending = std::move(*at);
    at = pending_reads_.erase(at);
    // Created before the read, so that the reserved memory is released whatever the outcome.
    auto pages = std::make_shared<Pages>(read_back_freed_, pending.tenant);
    pages->set_charge(pending.bytes);
    const RequestId id = pending.id;
    const std::size_t first = pending.first, last = pending.last;
    disk_->read(id, first, last,
                [this, pages = std::move(pages), pending = std::move(pending)](
                    StoreError error, std::vector<std::string> bytes) mutable {
                  const auto view = logic_.view(pending.id);
                  Window window;
                  window.error = view ? error : StoreError::kUnknown;
                  if (window.error == StoreError::kNone) {
                    pages->contents = std::move(bytes);
                    window = make_window(pages, pending.first, *view->index, pending.first, pending.last,
                                         pending.row, pending.window);
                    window_sent(pending.id, window);
                  } else if (view && error != StoreError::kBusy) {
                    metrics_.corrupt.Increment();
                    log_.event(LogLevel::kError, "spool-result-lost", {{"pages", view->index->page_count()}});
                    end_request(pending.id, EndReason::kLost);
                  }
                  pages.reset();
                  pending.then(std::move(window));
                });
  }
}

// Cuts whole rows, from `row` on, out of the pages [first, last). pages->contents begins with page number
// `offset`.
Window Spool::make_window(const std::shared_ptr<const Pages>& pages, std::size_t offset,
                          const PageIndex& index, std::size_t first, std::size_t last, std::uint64_t row,
                          Bytes window) {
  Window out;
  out.first_row = row;
  out.total_rows = index.row_count();
  for (std::size_t page = first; page < last; ++page) {
    const auto one = Pages::page(pages, page - offset);
    const std::uint64_t skipped = page == first ? row - std::min(row, index.first_row(page)) : 0;
    std::size_t from = skipped == 0 ? 0 : row_offset(*one, skipped), to = one->size();
    std::uint64_t rows = index.rows_of(page) - skipped;
    if (out.bytes + (to - from) > window) {
      // The window ends within this page, after the last whole row that fits. One row is sent in any case;
      // otherwise a row longer than the window could never be read.
      const Bytes left = window - std::min(window, out.bytes);
      std::size_t end = left > 0 && from + left <= to ? one->rfind('\n', from + left - 1) : std::string::npos;
      if ((end == std::string::npos || end < from) && out.rows == 0) end = one->find('\n', from);
      if (end == std::string::npos || end < from) break;
      to = end + 1;
      rows = count_rows(std::string_view(*one).substr(from, to - from));
      out.slices.push_back({one, from, to});
      out.bytes += to - from;
      out.rows += rows;
      break;
    }
    out.slices.push_back({one, from, to});
    out.bytes += to - from;
    out.rows += rows;
  }
  return out;
}

void Spool::window_sent(RequestId id, const Window& window) {
  if (logic_.mark_sent(id, window.first_row + window.rows)) metrics_.served.Increment();
}

Grant Spool::acknowledge(std::string_view handle, int tenant, ReaderId reader, std::uint64_t rows) {
  const Grant grant = logic_.acknowledge(handle, tenant_index(tenant), reader, rows, now(), actions_);
  run_actions();
  return grant;
}

Grant Spool::release(std::string_view handle, int tenant, ReaderId reader) {
  const Grant grant = logic_.release(handle, tenant_index(tenant), reader, actions_);
  run_actions();
  return grant;
}

// ---- Actions ----

// Carrying out an action may free memory and so add further actions.
void Spool::run_actions() {
  if (std::exchange(running_actions_, true)) return;
  for (std::size_t i = 0; i < actions_.size(); ++i) {
    const SpoolAction order = actions_[i];
    std::visit([this](const auto& o) { carry_out(o); }, order);
  }
  actions_.clear();
  running_actions_ = false;
  arm_lease_timer();
}

void Spool::carry_out(const DropAction& drop) {
  buffers_.erase(drop.id);
  reserves_.erase(drop.id);
  if (!drop.on_disk) return;
  disk_->erase(drop.id, [this, id = drop.id] { logic_.disk_erased(id); });
}

void Spool::carry_out(const StoreAction& store) {
  const auto view = logic_.view(store.id);
  const auto buffer = buffers_.find(store.id);
  STEPRAIL_INVARIANT(log_, view && buffer != buffers_.end());
  if (!view || buffer == buffers_.end()) return;
  StoredResult meta;
  meta.id = store.id;
  meta.handle = *view->handle;
  if (!tenants_.empty()) meta.tenant = tenants_[view->tenant];
  meta.acknowledged = view->acknowledged;
  meta.remaining_us = (view->give_up_at - now()).count();
  meta.give_up_unix_us = unix_us_() + meta.remaining_us;
  for (std::size_t page = 0; page < view->index->page_count(); ++page)
    meta.pages.push_back({static_cast<std::uint32_t>(view->index->rows_of(page)),
                          static_cast<std::uint32_t>(view->index->bytes_of(page))});
  disk_->put(
      std::move(meta), buffer->second.pages, [this, id = store.id](StoreError error, std::uint64_t on_disk) {
        if (error == StoreError::kNone) {
          metrics_.stored.Increment();
          logic_.store_succeeded(id, on_disk);
          const auto view = logic_.view(id);
          if (view && view->on_disk) buffers_.erase(id);
          return;
        }
        metrics_.not_stored.Increment();
        if (error == StoreError::kClosed && logic_.disk_usable()) {
          log_.event(LogLevel::kError, "spool-disk-closed", {{"cause", "a write or a sync has failed"}});
          logic_.disk_failed();
        }
        logic_.store_failed(id);
      });
}

void Spool::arm_lease_timer() {
  const auto next = logic_.next_expiry();
  if (!next || *next == timer_due_at_) return;
  timer_due_at_ = *next;
  lease_timer_.expires_at(std::chrono::steady_clock::time_point(timer_due_at_));
  lease_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    timer_due_at_ = Micros{0};
    logic_.expire_leases(now(), actions_);
    run_actions();
  });
}

// ---- Shutdown ----

void Spool::store_all() {
  logic_.store_all(actions_);
  run_actions();
}

bool Spool::drained() const { return logic_.unread_in_memory_count() == 0 && (!disk_ || disk_->idle()); }

void Spool::update_gauges() {
  metrics_.memory.Set(static_cast<double>(logic_.memory().used()));
  metrics_.read_back.Set(static_cast<double>(logic_.read_back_bytes()));
  metrics_.disk.Set(static_cast<double>(logic_.disk().used()));
  metrics_.results_held.Set(static_cast<double>(logic_.size()));
  metrics_.unread.Set(static_cast<double>(logic_.unread_count()));
}

}  // namespace steprail::spool
