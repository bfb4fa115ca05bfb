// The process log, one line per message or event, and the count of broken invariants.
//
// The log is written to a file descriptor, which may be a pipe that nobody reads, so writing never blocks.
// Lines that cannot be written yet are kept in a bounded buffer; lines that do not fit are dropped, and the
// number of dropped lines is logged. Not thread-safe: use it from one thread.
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

enum class LogLevel { kDebug, kInfo, kWarn, kError };

struct LogField {
  using Value = std::variant<std::string_view, std::int64_t, double>;
  template <typename T>
  LogField(std::string_view field_name, const T& field_value)
      : name(field_name), value(convert(field_value)) {}
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
  LogLevel min_level{LogLevel::kInfo};
  bool json{false};
  bool operator==(const LogSettings&) const = default;
};

class EventLog {
 public:
  explicit EventLog(int descriptor = 2);  // standard error
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;
  void configure(const LogSettings& settings);

  // Logs a plain sentence. On-call staff search the log for these, so their first words are stable.
  void message(std::string_view text);
  // Logs `name key=value ...`, with values that contain blanks quoted, or an object in JSON format.
  void event(LogLevel level, std::string_view name, std::initializer_list<LogField> fields);
  // Counts every broken invariant but logs only the first ones, so that a failure in a loop cannot flood the
  // log.
  void record_broken_invariant(const char* condition, const char* file, int line);
  std::uint64_t broken_invariant_count() const { return broken_invariants_; }
  std::uint64_t dropped_line_count() const;
  // Writes as many buffered lines as the descriptor accepts without blocking.
  void flush();

 private:
  class Sink;
  void write(LogLevel level, std::string_view text);
  struct Impl;
  std::unique_ptr<Impl> impl_;
  LogSettings settings_;
  std::uint64_t broken_invariants_{0};
};

}  // namespace steprail

// Checks a condition that must hold whatever peers do. If it does not, a debug build aborts; a release build
// counts and logs it and continues to serve.
#ifdef NDEBUG
#define STEPRAIL_INVARIANT(log, condition) \
  ((condition) ? static_cast<void>(0) : (log).record_broken_invariant(#condition, __FILE__, __LINE__))
#else
#define STEPRAIL_INVARIANT(log, condition) (static_cast<void>(log), assert(condition))
#endif
