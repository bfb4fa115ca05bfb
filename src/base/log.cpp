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
constexpr std::uint64_t kBrokenLines = 50;
// A pipe that poll() calls writable takes a write of this size whole and at once.
constexpr std::size_t kLineMost = PIPE_BUF;
constexpr std::size_t kWaitingMost = 256 << 10;  // bytes of lines that could not leave yet

spdlog::level::level_enum to_spdlog(Level level) {
  switch (level) {
    case Level::kDebug:
      return spdlog::level::debug;
    case Level::kInfo:
      return spdlog::level::info;
    case Level::kWarn:
      return spdlog::level::warn;
    default:
      return spdlog::level::err;
  }
}

// Bare where that is unambiguous, else quoted, with line feeds and quotes escaped: one line stays one line.
void append_value(std::string& out, std::string_view text) {
  if (!text.empty() && text.find_first_of(" \t\n\r\"=") == std::string_view::npos) {
    out.append(text);
    return;
  }
  out += nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string number(double value) { return fmt::format("{:.6g}", value); }

}  // namespace

class EventLog::Sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit Sink(int descriptor) : descriptor_(descriptor) {}
  std::uint64_t dropped() const { return dropped_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t formatted;
    formatter_->format(message, formatted);
    std::string line(formatted.data(), formatted.size());
    if (line.size() > kLineMost) {
      line.resize(kLineMost - 1);
      line.push_back('\n');
    }
    drain();
    if (waiting_bytes_ + line.size() > kWaitingMost) {
      ++dropped_;
      ++untold_;
      return;
    }
    waiting_bytes_ += line.size();
    waiting_.push_back(std::move(line));
    drain();
  }
  void flush_() override { drain(); }

 private:
  void drain() {
    while (!waiting_.empty()) {
      pollfd look{descriptor_, POLLOUT, 0};
      if (::poll(&look, 1, 0) != 1 || (look.revents & POLLOUT) == 0) return;
      const std::string& line = waiting_.front();
      // One write a line, so that lines of several processes do not mix. A log that is full is no reason to
      // stop: what cannot be written for another reason than a full pipe is lost.
      const auto written = ::write(descriptor_, line.data(), line.size());
      if (written < 0 && (errno == EAGAIN || errno == EINTR)) return;
      waiting_bytes_ -= line.size();
      waiting_.pop_front();
      if (waiting_.empty() && untold_ > 0) {
        std::string told = "log lines dropped: " + std::to_string(untold_) + '\n';
        untold_ = 0;
        waiting_bytes_ += told.size();
        waiting_.push_back(std::move(told));
      }
    }
  }

  int descriptor_;
  std::deque<std::string> waiting_;
  std::size_t waiting_bytes_{0};
  std::uint64_t dropped_{0}, untold_{0};
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

void EventLog::set(const LogSettings& settings) {
  settings_ = settings;
  impl_->logger.set_level(to_spdlog(settings.least));
  impl_->logger.set_formatter(std::make_unique<spdlog::pattern_formatter>(
      settings.json ? R"({"at":%E.%e,"level":"%l",%v})" : "%E.%e %v"));
}

void EventLog::write(Level level, std::string_view text) {
  impl_->logger.log(to_spdlog(level), spdlog::string_view_t(text.data(), text.size()));
}

void EventLog::line(std::string_view text) {
  if (!settings_.json) return write(Level::kInfo, text);
  write(Level::kInfo,
        "\"text\":" + nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void EventLog::event(Level level, std::string_view name, std::initializer_list<LogField> fields) {
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
      out += number(*real);
    } else {
      out += std::to_string(std::get<std::int64_t>(field.value));
    }
  }
  write(level, out);
}

void EventLog::broken(const char* condition, const char* file, int at) {
  if (++broken_ > kBrokenLines) return;
  line("invariant broken: " + std::string(condition) + " at " + file + ':' + std::to_string(at) + ", " +
       std::to_string(broken_) + " so far");
}

std::uint64_t EventLog::dropped_count() const { return impl_->sink->dropped(); }
void EventLog::flush() { impl_->logger.flush(); }

}  // namespace steprail
