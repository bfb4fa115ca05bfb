// The program's log: one line an occasion, and the count of broken invariants.
//
// Lines go to a descriptor that may be a pipe which nobody reads: writing never blocks. What cannot leave
// waits in a bounded store; what does not fit there is dropped, and the log says how many lines that were. To
// be used from one thread.
#pragma once

#include <cassert>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace steprail {

enum class Level { kDebug, kInfo, kWarn, kError };

struct LogField {
  using Value = std::variant<std::string_view, std::int64_t, double>;
  template <typename T>
  LogField(std::string_view n, const T& v) : name(n), value(convert(v)) {}
  std::string_view name;
  Value value;

 private:
  template <typename T>
  static Value convert(const T& v) {
    if constexpr (std::is_floating_point_v<T>) {
      return static_cast<double>(v);
    } else if constexpr (std::is_integral_v<T>) {
      return static_cast<std::int64_t>(v);
    } else {
      return std::string_view(v);
    }
  }
};

struct LogSettings {
  Level least{Level::kInfo};
  bool json{false};
  bool operator==(const LogSettings&) const = default;
};

class EventLog {
 public:
  explicit EventLog(int descriptor = 2);  // standard error
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;
  void set(const LogSettings& settings);

  // A sentence, as on-call staff know it.
  void line(std::string_view text);
  // `name key=value ...`; values with blanks are quoted. In JSON, an object.
  void event(Level level, std::string_view name, std::initializer_list<LogField> fields);
  // Counts every broken invariant and logs the first ones: a fault in a loop must not fill the log.
  void broken(const char* condition, const char* file, int line);
  std::uint64_t broken_count() const { return broken_; }
  std::uint64_t dropped_count() const;
  // Writes what is waiting, as far as it can be taken.
  void flush();

 private:
  class Sink;
  void write(Level level, std::string_view text);
  struct Impl;
  std::unique_ptr<Impl> impl_;
  LogSettings settings_;
  std::uint64_t broken_{0};
};

}  // namespace steprail

// What must hold whatever peers do. A debug build stops there; a release build counts it and goes on serving.
#ifdef NDEBUG
#define STEPRAIL_INVARIANT(log, condition) \
  ((condition) ? static_cast<void>(0) : (log).broken(#condition, __FILE__, __LINE__))
#else
#define STEPRAIL_INVARIANT(log, condition) (static_cast<void>(log), assert(condition))
#endif
