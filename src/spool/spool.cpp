#include "spool/spool.h"

#include <sodium.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <stdexcept>

namespace steprail::spool {
namespace {

constexpr std::uint64_t kIndexMost = 256u
                                     << 20;  // of LMDB's file: some 100 bytes a page of what lives on disk
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

std::uint32_t rows_in(std::string_view page) {
  return static_cast<std::uint32_t>(std::count(page.begin(), page.end(), '\n'));
}

// Where the n-th row of a page begins.
std::size_t row_at(std::string_view page, std::uint64_t rows) {
  std::size_t at = 0;
  for (; rows > 0; --rows) at = page.find('\n', at) + 1;
  return at;
}

}  // namespace

Spool::Counted::Counted(Metrics& m)
    : metrics(m),
      results(m.counter("steprail_spool_results_total", "Results that came in whole.")),
      served(m.counter("steprail_spool_served_total", "Results whose last row was handed out.")),
      direct(m.counter("steprail_spool_direct_total", "Results answered whole at once: the spool was full.")),
      full(m.counter("steprail_spool_full_total",
                     "Results that neither the spool nor a direct answer could take.")),
      stored(m.counter("steprail_spool_stored_total", "Results written to disk.")),
      not_stored(m.counter("steprail_spool_not_stored_total",
                           "Results that stayed in memory: no room, or no disk.")),
      spoilt(m.counter("steprail_spool_spoilt_total", "Reads from disk that did not give what was written.")),
      recovered(m.counter("steprail_spool_recovered_total", "Results found whole at the start.")),
      lost(m.counter("steprail_spool_lost_total", "Results that the index knew and the disk did not have.")),
      memory(m.gauge("steprail_spool_memory_bytes", "Bytes of results in memory.")),
      borrowed(m.gauge("steprail_spool_read_back_bytes", "Bytes read back from disk for readers.")),
      disk(m.gauge("steprail_spool_disk_bytes", "Bytes of results on disk.")),
      held(m.gauge("steprail_spool_results", "Results held.")),
      unread(m.gauge("steprail_spool_unread", "Whole results whose readers are not done.")),
      sizes(m.histogram("steprail_spool_result_bytes", "Size of whole results.",
                        {1e3, 6e3, 48e3, 256e3, 1e6, 4e6, 16e6, 64e6})) {}

Spool::Spool(Strand strand, EventLog& log, Metrics& metrics, SpoolSettings settings,
             std::vector<std::string> tenants, Substitutes substitutes)
    : strand_(strand),
      log_(log),
      settings_(std::move(settings)),
      tenants_(std::move(tenants)),
      unix_us_(substitutes.unix_us ? std::move(substitutes.unix_us) : unix_now),
      logic_(settings_.logic, weights(settings_), now()),
      freed_(std::make_shared<Pages::Freed>()),
      returned_(std::make_shared<Pages::Freed>()),
      timer_(strand),
      counted_(metrics) {
  if (sodium_init() < 0) throw std::runtime_error("no source of random numbers for handles");
  *freed_ = [this](std::size_t tenant, std::uint64_t bytes) {
    logic_.freed(tenant, bytes, orders_);
    run();
  };
  *returned_ = [this](std::size_t tenant, std::uint64_t bytes) {
    logic_.returned(tenant, bytes);
    boost::asio::post(strand_, [this, here = std::weak_ptr<Pages::Freed>(returned_)] {
      const auto still = here.lock();
      if (still && *still) read_back();
    });
  };
  std::unique_ptr<Files> files = std::move(substitutes.files);
  std::unique_ptr<Index> index = std::move(substitutes.index);
  if (!settings_.disk_path.empty() && !files) {
    files = posix_files(settings_.disk_path);
    index = lmdb_index(settings_.disk_path, kIndexMost);
  }
  if (files) {
    disk_ = std::make_unique<DiskTier>(
        strand, std::move(files), std::move(index),
        StoreSettings{settings_.logic.disk.most, settings_.segment, settings_.compression});
    recover();
  }
  arm();
}

Spool::~Spool() {
  // Pages in queues may outlive the spool: there is nobody left to be told.
  *freed_ = nullptr;
  *returned_ = nullptr;
}

Micros Spool::now() {
  return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}

// Those that the file names have what it says, the others equal parts of what is left.
std::vector<double> Spool::weights(const SpoolSettings& settings) const {
  if (tenants_.empty()) return {1};
  double left = 1;
  std::size_t unnamed = tenants_.size();
  for (const std::string& tenant : tenants_) {
    const auto share = settings.shares.find(tenant);
    if (share != settings.shares.end()) left -= share->second, --unnamed;
  }
  std::vector<double> weights;
  for (const std::string& tenant : tenants_) {
    const auto share = settings.shares.find(tenant);
    weights.push_back(share != settings.shares.end() ? share->second
                                                     : std::max(left, 0.001) / static_cast<double>(unnamed));
  }
  return weights;
}

void Spool::recover() {
  const std::int64_t unix_time = unix_us_();
  SegmentStore::Recovery found = disk_->recover(unix_time);
  if (!found.usable) logic_.disk_closed();
  for (const StoredResult& result : found.whole) {
    const auto tenant = std::find(tenants_.begin(), tenants_.end(), result.tenant);
    const bool known_tenant = tenant != tenants_.end() || tenants_.empty();
    PageIndex index;
    index.reserve(result.pages.size());
    for (const StoredPage& page : result.pages) index.add(page.rows, page.bytes);
    const Micros left{std::min(result.give_up_unix_us - unix_time, result.left_us)};
    const auto number = tenants_.empty() ? 0 : static_cast<std::size_t>(tenant - tenants_.begin());
    if (known_tenant && logic_.recovered(result.id, number, result.handle, std::move(index),
                                         result.acknowledged, result.bytes_on_disk(), now() + left, now())) {
      counted_.recovered.Increment();
    } else {
      disk_->erase(result.id, [] {});
    }
  }
  counted_.lost.Increment(static_cast<double>(found.lost));
  log_.event(found.usable && found.lost == 0 ? LogLevel::kInfo : LogLevel::kWarn, "spool-recovered",
             {{"whole", found.whole.size()},
              {"expired", found.expired},
              {"lost", found.lost},
              {"bytes", found.bytes_read},
              {"usable", found.usable ? "yes" : "no"}});
}

void Spool::reconfigure(const SpoolSettings& settings) {
  settings_ = settings;
  logic_.reconfigure(settings.logic, weights(settings), orders_);
  run();
}

// ---- A request ----

bool Spool::submitted(RequestId id, int tenant, ReaderId reader, Micros limit) {
  if (!logic_.submitted(id, known(tenant), make_handle(), reader, now() + limit)) return false;
  arm();
  return true;
}

PageSink::Want Spool::give_up_on(Held& held, End why) {
  held.spoilt = why;
  held.pages.reset();
  return Want::kEnough;
}

PageSink::Want Spool::begin(RequestId id, int attempt, std::size_t pages, std::string_view first) {
  const auto view = logic_.view(id);
  if (!view) return Want::kEnough;  // it has ended: interrupted, or its time is over
  const auto [at, fresh] = held_.try_emplace(id);
  STEPRAIL_INVARIANT(log_, fresh);
  if (!fresh) lost(id, at->second.attempt);
  Held& held = fresh ? at->second : held_[id];
  held.attempt = attempt;
  held.missing = pages;
  const Bytes expected = std::max<Bytes>(first.size(), 1) * pages;
  const Placement placement = logic_.begin(id, expected);
  if (placement == Placement::kRefused)
    return give_up_on(held, logic_.too_long(expected) ? End::kTooLong : End::kFull);
  held.pages = std::make_shared<Pages>(freed_, view->tenant);
  held.pages->charge(logic_.charged(id));
  held.pages->bytes.resize(pages);
  held.have.resize(pages);
  held.early.resize(pages);
  return page(id, attempt, 0, first);
}

PageSink::Want Spool::page(RequestId id, int attempt, std::size_t number, std::string_view bytes) {
  const auto at = held_.find(id);
  if (at == held_.end() || at->second.attempt != attempt || at->second.spoilt || !logic_.view(id))
    return Want::kEnough;
  Held& held = at->second;
  STEPRAIL_INVARIANT(log_, number < held.have.size() && !held.have[number]);
  held.pages->bytes[number] = std::string(bytes);
  held.have[number] = true;
  held.early[number] = rows_in(bytes);
  --held.missing;
  if (!tell(id, held)) {
    const bool too_long = logic_.too_long(logic_.charged(id) + bytes.size());
    return give_up_on(held, too_long ? End::kTooLong : End::kFull);
  }
  return Want::kMore;
}

// The logic hears of pages in their order, so that its index of rows is right at every moment.
bool Spool::tell(RequestId id, Held& held) {
  bool room = true;
  while (room && held.next < held.have.size() && held.have[held.next]) {
    room = logic_.page(id, held.early[held.next], held.pages->bytes[held.next].size());
    held.pages->charge(logic_.charged(id));
    ++held.next;
  }
  return room;
}

void Spool::lost(RequestId id, int attempt) {
  const auto at = held_.find(id);
  if (at == held_.end() || at->second.attempt != attempt) return;
  logic_.attempt_lost(id);
  held_.erase(at);
}

void Spool::delivered(RequestId id, std::function<void(Opened)> then) {
  Opened opened;
  const auto at = held_.find(id);
  const auto view = logic_.view(id);
  if (at == held_.end() || !view) {
    opened.why = logic_.remembered(id).value_or(End::kGivenUp);
    return then(std::move(opened));
  }
  Held& held = at->second;
  if (held.spoilt) {
    opened.why = *held.spoilt;
    counted_.full.Increment();
    log_.event(LogLevel::kWarn, "spool-refused",
               {{"why", name(opened.why)}, {"pages", held.have.size()}, {"memory", logic_.memory().used()}});
    ended(id, opened.why);
    return then(std::move(opened));
  }
  STEPRAIL_INVARIANT(log_, held.missing == 0);
  counted_.results.Increment();
  counted_.sizes.Observe(static_cast<double>(view->index->bytes()));
  const std::shared_ptr<const Pages> pages = held.pages;
  const PageIndex index = *view->index;
  logic_.complete(id, now(), orders_);
  if (logic_.view(id)) {
    held.pages->charge(logic_.charged(id));
    opened = describe(id);
    opened.window = cut(pages, 0, index, 0, 1, 0, settings_.window_most);
    handed_out(id, opened.window);
    run();
    return then(std::move(opened));
  }
  run();
  counted_.direct.Increment();
  counted_.served.Increment();
  opened.how = Opened::How::kWhole;
  opened.rows = index.rows();
  opened.bytes = index.bytes();
  opened.pages = index.pages();
  opened.window = cut(pages, 0, index, 0, index.pages(), 0, index.bytes());
  then(std::move(opened));
}

void Spool::ended(RequestId id, End why) {
  logic_.ended(id, why, orders_);
  run();
}

Opened Spool::describe(RequestId id) const {
  Opened opened;
  const auto view = logic_.view(id);
  opened.how = Opened::How::kHandle;
  opened.handle = *view->handle;
  opened.rows = view->index->rows();
  opened.bytes = view->index->bytes();
  opened.pages = view->index->pages();
  opened.lease = view->expires - now();
  return opened;
}

// ---- Readers ----

void Spool::reopen(RequestId id, std::function<void(Opened)> then) {
  const auto view = logic_.view(id);
  STEPRAIL_INVARIANT(log_, view && view->state >= State::kReady);
  if (!view) return;
  arm();
  serve(id, 0, 1, 0, settings_.window_most, view->on_disk,
        [this, id, opened = describe(id), then = std::move(then)](Window window) mutable {
          if (window.error != StoreError::kNone) {
            opened.how = Opened::How::kNothing;
            opened.why = End::kLost;
          }
          opened.window = std::move(window);
          then(std::move(opened));
        });
}

Grant Spool::fetch(std::string_view handle, int tenant, ReaderId reader, From from, Bytes window,
                   std::function<void(Window)> then) {
  window = std::min(window == 0 ? settings_.window_most : window, settings_.window_most);
  const Grant grant = from.by_page ? logic_.fetch_page(handle, known(tenant), reader, from.at, window, now())
                                   : logic_.fetch_row(handle, known(tenant), reader, from.at, window, now());
  if (grant.access == Access::kGranted)
    serve(grant.id, grant.first_page, grant.end_page, grant.first_row, window, grant.on_disk,
          std::move(then));
  return grant;
}

void Spool::serve(RequestId id, std::size_t first, std::size_t last, std::uint64_t row, Bytes window,
                  bool on_disk, std::function<void(Window)> then) {
  const auto view = logic_.view(id);
  if (!on_disk) {
    const Window cut_out = cut(held_.at(id).pages, 0, *view->index, first, last, row, window);
    handed_out(id, cut_out);
    return then(cut_out);
  }
  Reading reading{id, view->tenant, first, last, 0, row, window, std::move(then)};
  reading.bytes = view->index->bytes_before(last - 1) + view->index->bytes_in(last - 1) -
                  view->index->bytes_before(first);
  waiting_.push_back(std::move(reading));
  read_back();
}

// Reads for which there is room; those of a tenant that has none left wait without keeping others back.
void Spool::read_back() {
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    if (!logic_.borrow(at->tenant, at->bytes)) {
      ++at;
      continue;
    }
    Reading reading = std::move(*at);
    at = waiting_.erase(at);
    // Held from before the read: whatever becomes of it, the room comes back.
    auto pages = std::make_shared<Pages>(returned_, reading.tenant);
    pages->charge(reading.bytes);
    const RequestId id = reading.id;
    const std::size_t first = reading.first, last = reading.last;
    disk_->read(id, first, last,
                [this, pages = std::move(pages), reading = std::move(reading)](
                    StoreError error, std::vector<std::string> bytes) mutable {
                  const auto view = logic_.view(reading.id);
                  Window window;
                  window.error = view ? error : StoreError::kUnknown;
                  if (window.error == StoreError::kNone) {
                    pages->bytes = std::move(bytes);
                    window = cut(pages, reading.first, *view->index, reading.first, reading.last, reading.row,
                                 reading.window);
                    handed_out(reading.id, window);
                  } else if (view && error != StoreError::kBusy) {
                    counted_.spoilt.Increment();
                    log_.event(LogLevel::kError, "spool-result-lost", {{"pages", view->index->pages()}});
                    ended(reading.id, End::kLost);
                  }
                  pages.reset();
                  reading.then(std::move(window));
                });
  }
}

// Whole rows from `row` on, of the pages first to last; pages->bytes begins with page `offset`.
Window Spool::cut(const std::shared_ptr<const Pages>& pages, std::size_t offset, const PageIndex& index,
                  std::size_t first, std::size_t last, std::uint64_t row, Bytes window) {
  Window out;
  out.first_row = row;
  out.total_rows = index.rows();
  for (std::size_t page = first; page < last; ++page) {
    const auto one = Pages::one(pages, page - offset);
    const std::uint64_t skipped = page == first ? row - std::min(row, index.first_row(page)) : 0;
    std::size_t from = skipped == 0 ? 0 : row_at(*one, skipped), to = one->size();
    std::uint64_t rows = index.rows_in(page) - skipped;
    if (out.bytes + (to - from) > window) {
      // Part of a page, up to the last whole row that fits; one row goes in any case, or nothing would move.
      const Bytes left = window - std::min(window, out.bytes);
      std::size_t end = left > 0 && from + left <= to ? one->rfind('\n', from + left - 1) : std::string::npos;
      if ((end == std::string::npos || end < from) && out.rows == 0) end = one->find('\n', from);
      if (end == std::string::npos || end < from) break;
      to = end + 1;
      rows = rows_in(std::string_view(*one).substr(from, to - from));
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

void Spool::handed_out(RequestId id, const Window& window) {
  if (logic_.handed_out(id, window.first_row + window.rows)) counted_.served.Increment();
}

Grant Spool::acknowledge(std::string_view handle, int tenant, ReaderId reader, std::uint64_t rows) {
  const Grant grant = logic_.acknowledge(handle, known(tenant), reader, rows, now(), orders_);
  run();
  return grant;
}

Grant Spool::release(std::string_view handle, int tenant, ReaderId reader) {
  const Grant grant = logic_.release(handle, known(tenant), reader, orders_);
  run();
  return grant;
}

// ---- Orders ----

// Carrying one out may free memory, and so bring further ones.
void Spool::run() {
  if (std::exchange(running_, true)) return;
  for (std::size_t i = 0; i < orders_.size(); ++i) {
    const Order order = orders_[i];
    std::visit([this](const auto& o) { carry_out(o); }, order);
  }
  orders_.clear();
  running_ = false;
  arm();
}

void Spool::carry_out(const Drop& drop) {
  held_.erase(drop.id);
  if (!drop.on_disk) return;
  disk_->erase(drop.id, [this, id = drop.id] { logic_.erased(id); });
}

void Spool::carry_out(const Store& store) {
  const auto view = logic_.view(store.id);
  const auto held = held_.find(store.id);
  STEPRAIL_INVARIANT(log_, view && held != held_.end());
  if (!view || held == held_.end()) return;
  StoredResult meta;
  meta.id = store.id;
  meta.handle = *view->handle;
  if (!tenants_.empty()) meta.tenant = tenants_[view->tenant];
  meta.acknowledged = view->acknowledged;
  meta.left_us = (view->give_up - now()).count();
  meta.give_up_unix_us = unix_us_() + meta.left_us;
  for (std::size_t page = 0; page < view->index->pages(); ++page)
    meta.pages.push_back({static_cast<std::uint32_t>(view->index->rows_in(page)),
                          static_cast<std::uint32_t>(view->index->bytes_in(page))});
  disk_->put(
      std::move(meta), held->second.pages, [this, id = store.id](StoreError error, std::uint64_t on_disk) {
        if (error == StoreError::kNone) {
          counted_.stored.Increment();
          logic_.stored(id, on_disk);
          const auto view = logic_.view(id);
          if (view && view->on_disk) held_.erase(id);
          return;
        }
        counted_.not_stored.Increment();
        if (error == StoreError::kClosed && logic_.disk_open()) {
          log_.event(LogLevel::kError, "spool-disk-closed", {{"cause", "a write or a sync has failed"}});
          logic_.disk_closed();
        }
        logic_.not_stored(id);
      });
}

void Spool::arm() {
  const auto next = logic_.next_lease();
  if (!next || *next == armed_for_) return;
  armed_for_ = *next;
  timer_.expires_at(std::chrono::steady_clock::time_point(armed_for_));
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    armed_for_ = Micros{0};
    logic_.advance(now(), orders_);
    run();
  });
}

// ---- The end ----

void Spool::store_all() {
  logic_.store_all(orders_);
  run();
}

bool Spool::settled() const { return logic_.unread_in_memory() == 0 && (!disk_ || disk_->idle()); }

void Spool::observe() {
  counted_.memory.Set(static_cast<double>(logic_.memory().used()));
  counted_.borrowed.Set(static_cast<double>(logic_.borrowed()));
  counted_.disk.Set(static_cast<double>(logic_.disk().used()));
  counted_.held.Set(static_cast<double>(logic_.size()));
  counted_.unread.Set(static_cast<double>(logic_.unread()));
}

}  // namespace steprail::spool
