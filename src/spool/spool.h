// The spool: pages of results come in from the engines, are kept in memory or on disk as its logic decides,
// and go out to readers by window. On the coordinator's strand, the disk's thread excepted.
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

// A part of a page, on its way to a reader.
struct Slice {
  std::shared_ptr<const std::string> page;
  std::size_t from{}, to{};
};

// What one fetch gives.
struct Window {
  StoreError error{StoreError::kNone};
  std::vector<Slice> slices;
  std::uint64_t bytes{}, first_row{}, rows{}, total_rows{};
  bool last() const { return first_row + rows >= total_rows; }
};

// How a request's own answer is to be given.
struct Opened {
  enum class How {
    kHandle,  // fetch the rest by the handle; the window holds the first page
    kWhole,   // the spool was full: the window holds everything, and there is no handle
    kNothing  // `why` says what has become of it
  } how{How::kNothing};
  End why{};
  std::string handle;
  std::uint64_t rows{}, bytes{}, pages{};
  Micros lease{0};  // from now on
  Window window;
};

// What stands in for the machine's own in tests.
struct Substitutes {
  std::unique_ptr<Files> files{};  // of the disk tier's folder, and its index
  std::unique_ptr<Index> index{};
  std::function<std::int64_t()> unix_us{};  // the wall clock; leases do not look at it
};

class Spool : public PageSink {
 public:
  // Throws std::runtime_error where the folder of the disk tier cannot be used.
  Spool(Strand strand, EventLog& log, Metrics& metrics, SpoolSettings settings,
        std::vector<std::string> tenants, Substitutes substitutes = {});
  ~Spool() override;

  void reconfigure(const SpoolSettings& settings);
  const SpoolSettings& settings() const { return settings_; }

  // ---- A request, in the order of its life ----
  // False where the request has to go without the spool.
  bool submitted(RequestId id, int tenant, ReaderId reader, Micros limit);
  Want begin(RequestId id, int attempt, std::size_t pages, std::string_view first) override;
  Want page(RequestId id, int attempt, std::size_t number, std::string_view bytes) override;
  void lost(RequestId id, int attempt) override;
  // The module's answer is 'served': all pages are here, or it is known why not.
  void delivered(RequestId id, std::function<void(Opened)> then);
  void ended(RequestId id, End why);
  bool holds(RequestId id) const { return logic_.view(id).has_value(); }

  // ---- Readers ----
  Grant resume(RequestId id, int tenant, ReaderId reader) {
    return logic_.resume(id, known(tenant), reader, now());
  }
  // What a resumed result looks like, with its first page.
  void reopen(RequestId id, std::function<void(Opened)> then);
  struct From {
    bool by_page{};
    std::uint64_t at{};
  };
  // `then` is called at once or from a later turn; not at all where access is not granted.
  Grant fetch(std::string_view handle, int tenant, ReaderId reader, From from, Bytes window,
              std::function<void(Window)> then);
  Grant acknowledge(std::string_view handle, int tenant, ReaderId reader, std::uint64_t rows);
  Grant release(std::string_view handle, int tenant, ReaderId reader);
  void reader_gone(ReaderId reader) { logic_.reader_gone(reader); }

  // ---- The end ----
  // At SIGTERM: what may go to disk goes there.
  void store_all();
  // Nothing is left that only this process has.
  bool settled() const;
  bool disk_idle() const { return !disk_ || disk_->idle(); }

  // Brings the gauges up to date.
  void observe();
  const SpoolLogic& logic() const { return logic_; }
  Bytes bytes_held() const { return logic_.memory().used() + logic_.borrowed(); }

 private:
  struct Held {
    std::shared_ptr<Pages> pages;
    int attempt{};
    std::size_t missing{};
    std::vector<bool> have;
    std::vector<std::uint32_t> early;  // rows of pages that came before those ahead of them
    std::size_t next{};                // the page that the logic hears of next
    std::optional<End> spoilt;         // no use in further pages, and why
  };
  struct Reading {
    RequestId id{};
    std::size_t tenant{};
    std::size_t first{}, last{};
    Bytes bytes{};
    std::uint64_t row{};
    Bytes window{};
    std::function<void(Window)> then;
  };

  std::size_t known(int tenant) const { return tenant < 0 ? 0 : static_cast<std::size_t>(tenant); }
  static Micros now();
  std::vector<double> weights(const SpoolSettings& settings) const;
  void recover();
  void run();
  void carry_out(const Drop& drop);
  void carry_out(const Store& store);
  void arm();
  Want give_up_on(Held& held, End why);
  bool tell(RequestId id, Held& held);
  void serve(RequestId id, std::size_t first, std::size_t last, std::uint64_t row, Bytes window, bool on_disk,
             std::function<void(Window)> then);
  void read_back();
  Window cut(const std::shared_ptr<const Pages>& pages, std::size_t offset, const PageIndex& index,
             std::size_t first, std::size_t last, std::uint64_t row, Bytes window);
  void handed_out(RequestId id, const Window& window);
  Opened describe(RequestId id) const;

  Strand strand_;
  EventLog& log_;
  SpoolSettings settings_;
  std::vector<std::string> tenants_;
  std::function<std::int64_t()> unix_us_;
  SpoolLogic logic_;
  std::shared_ptr<Pages::Freed> freed_, returned_;
  std::unordered_map<RequestId, Held> held_;
  std::vector<Order> orders_;
  bool running_{false};
  std::deque<Reading> waiting_;  // for room to read back into
  std::unique_ptr<DiskTier> disk_;
  boost::asio::steady_timer timer_;
  Micros armed_for_{0};

  struct Counted {
    explicit Counted(Metrics& metrics);
    Metrics& metrics;
    prometheus::Counter &results, &served, &direct, &full, &stored, &not_stored, &spoilt, &recovered, &lost;
    prometheus::Gauge &memory, &borrowed, &disk, &held, &unread;
    prometheus::Histogram& sizes;
  } counted_;
};

}  // namespace steprail::spool
