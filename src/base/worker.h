// One thread for slow work (disks), behind a bounded queue. The thread begins with the first job, so that
// what is never used costs none.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace steprail {

class Worker {
 public:
  explicit Worker(std::size_t most) : most_(most) {}
  // Jobs that were taken are done before it ends.
  ~Worker() {
    {
      const std::lock_guard hold(mutex_);
      ending_ = true;
    }
    work_.notify_one();
    if (thread_.joinable()) thread_.join();
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Takes a job, to be run behind those before it; false where the queue is full.
  bool post(std::function<void()> job) {
    {
      const std::lock_guard hold(mutex_);
      if (jobs_.size() >= most_) return false;
      jobs_.push_back(std::move(job));
      if (!thread_.joinable()) thread_ = std::thread([this] { run(); });
    }
    work_.notify_one();
    return true;
  }

 private:
  void run() {
    std::unique_lock hold(mutex_);
    for (;;) {
      work_.wait(hold, [this] { return ending_ || !jobs_.empty(); });
      if (jobs_.empty()) return;
      const auto job = std::move(jobs_.front());
      jobs_.pop_front();
      hold.unlock();
      job();
      hold.lock();
    }
  }

  std::size_t most_;
  std::mutex mutex_;
  std::condition_variable work_;
  std::deque<std::function<void()>> jobs_;
  bool ending_{false};
  std::thread thread_;
};

}  // namespace steprail
