// A single worker thread with a bounded queue, for slow work such as disk access. The thread starts with the
// first job, so that an unused worker costs no thread.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace steprail {

class Worker {
 public:
  explicit Worker(std::size_t max_jobs) : max_jobs_(max_jobs) {}
  // Runs all queued jobs before the thread is joined.
  ~Worker() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wakeup_.notify_one();
    if (thread_.joinable()) thread_.join();
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Appends a job to the queue. Returns false if the queue is full.
  bool post(std::function<void()> job) {
    {
      const std::lock_guard lock(mutex_);
      if (jobs_.size() >= max_jobs_) return false;
      jobs_.push_back(std::move(job));
      if (!thread_.joinable()) thread_ = std::thread([this] { run(); });
    }
    wakeup_.notify_one();
    return true;
  }

 private:
  void run() {
    std::unique_lock lock(mutex_);
    for (;;) {
      wakeup_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
      if (jobs_.empty()) return;
      const auto job = std::move(jobs_.front());
      jobs_.pop_front();
      lock.unlock();
      job();
      lock.lock();
    }
  }

  std::size_t max_jobs_;
  std::mutex mutex_;
  std::condition_variable wakeup_;
  std::deque<std::function<void()>> jobs_;
  bool stopping_{false};
  std::thread thread_;
};

}  // namespace steprail
