// What the benchmarks share: times, medians, a process under measurement, and the JSON line at the end.
#pragma once

#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

namespace steprail::bench {

using Time = std::chrono::steady_clock;

inline double seconds_since(Time::time_point from) {
  return std::chrono::duration<double>(Time::now() - from).count();
}

inline double median(std::vector<double> of) {
  std::sort(of.begin(), of.end());
  return of.empty() ? 0 : of[of.size() / 2];
}

// Nanoseconds an operation: the best of some rounds, which the machine's other work disturbs least.
inline double ns_each(std::size_t operations, int rounds, const std::function<void()>& run) {
  double best = 1e300;
  for (int i = 0; i < rounds; ++i) {
    const auto start = Time::now();
    run();
    best = std::min(best, seconds_since(start));
  }
  return best / static_cast<double>(operations) * 1e9;
}

inline void most_descriptors() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

// The program in a process of its own, from the moment on at which it serves.
class Process {
 public:
  Process(const std::vector<std::string>& words, const std::string& until) {
    int ends[2];
    if (::pipe(ends) != 0) return;
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(ends[1], 2);
      ::close(ends[0]);
      std::vector<char*> args;
      for (const std::string& word : words) args.push_back(const_cast<char*>(word.c_str()));
      args.push_back(nullptr);
      ::execv(args[0], args.data());
      ::_exit(127);
    }
    ::close(ends[1]);
    log_ = ends[0];
    std::string line;
    for (char c = 0; ::read(log_, &c, 1) == 1;) {
      if (c != '\n') {
        line.push_back(c);
        continue;
      }
      const std::size_t at = line.find("spool-listening address=");
      if (at != std::string::npos) reader_port = std::stoi(line.substr(line.rfind(':') + 1));
      if (line.find(until) != std::string::npos) return;
      line.clear();
    }
    std::fprintf(stderr, "%s did not start\n", words[0].c_str());
  }
  ~Process() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    ::close(log_);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // On a processor so far, all threads together; to the nanosecond, where ticks would hide what is compared.
  double cpu_seconds() const {
    timespec time{};
    clockid_t clock{};
    if (::clock_getcpuclockid(pid_, &clock) != 0 || ::clock_gettime(clock, &time) != 0) return 0;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
  }
  // Of /proc/PID/status, in bytes: VmRSS, VmHWM.
  double memory(const std::string& what) const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.rfind(what + ':', 0) == 0) return std::stod(line.substr(what.size() + 1)) * 1024;
    }
    return 0;
  }
  int reader_port{0};

 private:
  pid_t pid_{};
  int log_{-1};
};

}  // namespace steprail::bench
