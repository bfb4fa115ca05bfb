#include "base/log.h"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <climits>
#include <deque>
#include <nlohmann/json.hpp>

namespace steprail {
namespace {
constexpr std::uint64_t kMaxBrokenInvariantLines = 50;
// A pipe that poll() reports as writable accepts a write of this size atomically, without blocking.
constexpr std::size_t kMaxLineBytes = PIPE_BUF;
constexpr std::size_t kMaxPendingBytes = 256 << 10;  // size limit of the buffer of unwritten lines

spdlog::level::level_enum to_spdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarn:
      return spdlog::level::warn;
    default:
      return spdlog::level::err;
  }
}

// Appends the text unquoted if that is unambiguous, otherwise quoted with line feeds and quotes escaped, so
// that an event is always one line.
void append_value(std::string& out, std::string_view text) {
  if (!text.empty() && text.find_first_of(" \t\n\r\"=") == std::string_view::npos) {
    out.append(text);
    return;
  }
  out += nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string format_number(double value) { return fmt::format("{:.6g}", value); }

}  // namespace

class EventLog::Sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit Sink(int descriptor) : descriptor_(descriptor) {}
  std::uint64_t dropped_lines() const { return dropped_lines_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t formatted;
    formatter_->format(message, formatted);
    std::string line(formatted.data(), formatted.size());
    if (line.size() > kMaxLineBytes) {
      line.resize(kMaxLineBytes - 1);
      line.push_back('\n');
    }
    write_pending();
    if (pending_bytes_ + line.size() > kMaxPendingBytes) {
      ++dropped_lines_;
      ++unreported_drops_;
      return;
    }
    pending_bytes_ += line.size();
    pending_.push_back(std::move(line));
    write_pending();
  }
  void flush_() override { write_pending(); }

 private:
  void write_pending() {
    while (!pending_.empty()) {
      pollfd poll_request{descriptor_, POLLOUT, 0};
      if (::poll(&poll_request, 1, 0) != 1 || (poll_request.revents & POLLOUT) == 0) return;
      const std::string& line = pending_.front();
      // One write() per line, so that lines of several processes do not interleave. A failing log must not
      // stop the process: if write() fails for any reason but a full pipe or a signal, the line is lost.
      const auto written = ::write(descriptor_, line.data(), line.size());
      if (written < 0 && (errno == EAGAIN || errno == EINTR)) return;
      pending_bytes_ -= line.size();
      pending_.pop_front();
      if (pending_.empty() && unreported_drops_ > 0) {
        std::string drop_notice = "log lines dropped: " + std::to_string(unreported_drops_) + '\n';
        unreported_drops_ = 0;
        pending_bytes_ += drop_notice.size();
        pending_.push_back(std::move(drop_notice));
      }
    }
  }

  int descriptor_;
  std::deque<std::string> pending_;
  std::size_t pending_bytes_{0};
  std::uint64_t dropped_lines_{0}, unreported_drops_{0};
};

struct EventLog::Impl {
  explicit Impl(int descriptor) : sink(std::make_shared<Sink>(descriptor)), logger("steprail", sink) {
    logger.set_level(spdlog::level::info);
    logger.set_formatter(std::make_unique<spdlog::pattern_formatter>("%E.%e %v"));
  }
  std::shared_ptr<Sink> sink;
  spdlog::logger logger;
};

EventLog::EventLog(int descriptor) : impl_(std::make_unique<Impl>(descriptor)) {}
EventLog::~EventLog() = default;

void EventLog::configure(const LogSettings& settings) {
  settings_ = settings;
  impl_->logger.set_level(to_spdlog(settings.min_level));
  impl_->logger.set_formatter(std::make_unique<spdlog::pattern_formatter>(
      settings.json ? R"({"at":%E.%e,"level":"%l",%v})" : "%E.%e %v"));
}

void EventLog::write(LogLevel level, std::string_view text) {
  impl_->logger.log(to_spdlog(level), spdlog::string_view_t(text.data(), text.size()));
}

void EventLog::message(std::string_view text) {
  if (!settings_.json) return write(LogLevel::kInfo, text);
  write(LogLevel::kInfo,
        "\"text\":" + nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void EventLog::event(LogLevel level, std::string_view name, std::initializer_list<LogField> fields) {
  if (!impl_->logger.should_log(to_spdlog(level))) return;
  std::string out;
  if (settings_.json) {
    nlohmann::ordered_json object;
    object["event"] = name;
    for (const LogField& field : fields) {
      std::visit([&](const auto& value) { object[std::string(field.name)] = value; }, field.value);
    }
    out = object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return write(level, std::string_view(out).substr(1, out.size() - 2));
  }
  out = name;
  for (const LogField& field : fields) {
    out.append(" ").append(field.name).push_back('=');
    if (const auto* text = std::get_if<std::string_view>(&field.value)) {
      append_value(out, *text);
    } else if (const auto* real = std::get_if<double>(&field.value)) {
      out += format_number(*real);
    } else {
      out += std::to_string(std::get<std::int64_t>(field.value));
    }
  }
  write(level, out);
}

void EventLog::record_broken_invariant(const char* condition, const char* file, int line) {
  if (++broken_invariants_ > kMaxBrokenInvariantLines) return;
  message("invariant broken: " + std::string(condition) + " at " + file + ':' + std::to_string(line) + ", " +
          std::to_string(broken_invariants_) + " so far");
}

std::uint64_t EventLog::dropped_line_count() const { return impl_->sink->dropped_lines(); }
void EventLog::flush() { impl_->logger.flush(); }

}  // namespace steprail
