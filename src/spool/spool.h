// The spool keeps the pages of results that engines deliver, in memory or on disk as its logic decides, and
// sends them to readers window by window. It runs on the coordinator's strand, except for the disk thread.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/log.h"
#include "base/metrics.h"
#include "core/coordinator.h"
#include "spool/disk_tier.h"
#include "spool/logic/spool_logic.h"
#include "spool/pages.h"
#include "spool/settings.h"

namespace steprail::spool {

// A part of a page that is sent to a reader.
struct Slice {
  std::shared_ptr<const std::string> page;
  std::size_t from{}, to{};
};

// The result of one fetch.
struct Window {
  StoreError error{StoreError::kNone};
  std::vector<Slice> slices;
  std::uint64_t bytes{}, first_row{}, rows{}, total_rows{};
  bool last() const { return first_row + rows >= total_rows; }
};

// How the answer to a request is delivered.
struct Delivery {
  enum class Kind {
    kHandle,  // the reader fetches the rest by the handle; the window holds the first page
    kWhole,   // the spool was full: the window holds the whole result, and there is no handle
    kNone     // no result; `reason` says why
  } kind{Kind::kNone};
  EndReason reason{};
  std::string handle;
  std::uint64_t rows{}, bytes{}, pages{};
  Micros lease{0};  // remaining time
  Window window;
};

// Replacements for the real disk and wall clock in tests.
struct Substitutes {
  std::unique_ptr<Files> files{};  // of the disk tier, with its index
  std::unique_ptr<Index> index{};
  std::function<std::int64_t()> unix_us{};  // the wall clock; leases do not use it
};

class Spool : public PageSink {
 public:
  // Throws std::runtime_error if the folder of the disk tier cannot be used.
  Spool(Strand strand, EventLog& log, Metrics& metrics, SpoolSettings settings,
        std::vector<std::string> tenants, Substitutes substitutes = {});
  ~Spool() override;

  void reconfigure(const SpoolSettings& settings);
  const SpoolSettings& settings() const { return settings_; }

  // ---- Requests, in the order of the calls ----
  // False if the request has to run without the spool. `reserve` is memory for a result of up to
  // max_direct_bytes, which is kept there where the spool has no room for it.
  bool add_request(RequestId id, int tenant, ReaderId reader, Micros limit, MemoryCharge reserve = {});
  Want begin(RequestId id, int attempt, std::size_t pages, std::string_view first) override;
  Want page(RequestId id, int attempt, std::size_t number, std::string_view bytes) override;
  void lost(RequestId id, int attempt) override;
  // The coordinator's final answer is "served": either all pages have arrived, or the reason why not is
  // known. A result that the spool has no room for is delivered whole or kept in its reserve. It stays here
  // in both cases, until whole_answer_written() or as any other result.
  enum class Overflow { kAnswerWhole, kKeep };
  void complete(RequestId id, Overflow overflow, std::function<void(Delivery)> then);
  void whole_answer_written(RequestId id) { end_request(id, EndReason::kAnsweredDirectly); }
  void end_request(RequestId id, EndReason reason);
  bool contains(RequestId id) const { return logic_.view(id).has_value(); }

  // ---- Readers ----
  Grant resume(RequestId id, int tenant, ReaderId reader) {
    return logic_.resume(id, tenant_index(tenant), reader, now());
  }
  // Delivers a resumed result with its first page.
  void reopen(RequestId id, std::function<void(Delivery)> then);
  struct Position {
    bool by_page{};
    std::uint64_t at{};
  };
  // Calls `then` at once or in a later event loop iteration; never if access is not granted.
  Grant fetch(std::string_view handle, int tenant, ReaderId reader, Position from, Bytes window,
              std::function<void(Window)> then);
  Grant acknowledge(std::string_view handle, int tenant, ReaderId reader, std::uint64_t rows);
  Grant release(std::string_view handle, int tenant, ReaderId reader);
  void reader_disconnected(ReaderId reader) { logic_.reader_disconnected(reader); }

  // ---- Shutdown ----
  // At SIGTERM: stores on disk what fits there.
  void store_all();
  // True if no unread result exists in memory only and the disk is idle.
  bool drained() const;
  bool disk_idle() const { return !disk_ || disk_->idle(); }

  // Sets the gauges to the current values.
  void update_gauges();
  const SpoolLogic& logic() const { return logic_; }
  Bytes bytes_held() const { return logic_.memory().used() + logic_.read_back_bytes(); }

 private:
  struct ResultBuffer {
    std::shared_ptr<Pages> pages;
    int attempt{};
    std::size_t missing_pages{};
    std::vector<bool> received;
    std::vector<std::uint32_t> page_rows;  // row counts of the pages received, by page number
    std::size_t next_page{};               // the next page to report to the logic, which wants them in order
    std::optional<EndReason> failure;      // set when further pages are of no use, with the reason
  };
  struct PendingRead {
    RequestId id{};
    std::size_t tenant{};
    std::size_t first{}, last{};
    Bytes bytes{};
    std::uint64_t row{};
    Bytes window{};
    std::function<void(Window)> then;
  };

  std::size_t tenant_index(int tenant) const { return tenant < 0 ? 0 : static_cast<std::size_t>(tenant); }
  static Micros now();
  std::vector<double> weights(const SpoolSettings& settings) const;
  void recover();
  void run_actions();
  void carry_out(const DropAction& drop);
  void carry_out(const StoreAction& store);
  void arm_lease_timer();
  Want reject_result(ResultBuffer& buffer, EndReason reason);
  bool report_pages(RequestId id, ResultBuffer& buffer);
  void serve_window(RequestId id, std::size_t first, std::size_t last, std::uint64_t row, Bytes window,
                    bool on_disk, std::function<void(Window)> then);
  void start_pending_reads();
  Window make_window(const std::shared_ptr<const Pages>& pages, std::size_t offset, const PageIndex& index,
                     std::size_t first, std::size_t last, std::uint64_t row, Bytes window);
  void window_sent(RequestId id, const Window& window);
  Delivery describe(RequestId id) const;

  Strand strand_;
  EventLog& log_;
  SpoolSettings settings_;
  std::vector<std::string> tenants_;
  std::function<std::int64_t()> unix_us_;
  SpoolLogic logic_;
  std::shared_ptr<Pages::FreedCallback> memory_freed_, read_back_freed_;
  std::unordered_map<RequestId, ResultBuffer> buffers_;
  std::unordered_map<RequestId, MemoryCharge> reserves_;  // of requests that are not complete
  std::vector<SpoolAction> actions_;
  bool running_actions_{false};
  std::deque<PendingRead> pending_reads_;  // wait for memory to read back into
  std::unique_ptr<DiskTier> disk_;
  boost::asio::steady_timer lease_timer_;
  Micros timer_due_at_{0};

  struct SpoolMetrics {
    explicit SpoolMetrics(Metrics& metrics);
    Metrics& metrics;
    prometheus::Counter &results, &served, &direct, &full, &stored, &not_stored, &corrupt, &recovered, &lost;
    prometheus::Gauge &memory, &read_back, &disk, &results_held, &unread;
    prometheus::Histogram& sizes;
  } metrics_;
};

}  // namespace steprail::spool
