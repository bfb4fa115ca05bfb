#include "core/log.h"

#include <unistd.h>

#include <ctime>
#include <string>

namespace steprail {
namespace {
constexpr std::uint64_t kBrokenLines = 50;
}

void EventLog::line(std::string_view text) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  std::string out =
      std::to_string(now.tv_sec) + '.' + std::to_string(1000 + now.tv_nsec / 1000000).substr(1) + ' ';
  out.append(text).push_back('\n');
  // One write a line, so that lines of several processes do not mix. A log that is full is no reason to stop.
  [[maybe_unused]] const auto written = ::write(STDERR_FILENO, out.data(), out.size());
}

void EventLog::broken(const char* condition, const char* file, int at) {
  if (++broken_ > kBrokenLines) return;
  line("invariant broken: " + std::string(condition) + " at " + file + ':' + std::to_string(at) + ", " +
       std::to_string(broken_) + " so far");
}

}  // namespace steprail
