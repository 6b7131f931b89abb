// Threads that run jobs which may wait.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace basilvalve::http {

/// Starts threads as jobs need them, up to a bound; further jobs wait in order.
/// Thread safe.
class WorkerPool {
 public:
  /// Pre: most > 0.
  explicit WorkerPool(size_t max_threads) : max_threads_(max_threads) {}
  ~WorkerPool() { Stop(); }
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// Runs the job on a thread of the pool. Thread safe. Pre: it throws nothing.
  void Run(std::function<void()> job);
  /// Waits for the jobs that run; those that wait are dropped, as are later
  /// ones. Not thread safe.
  void Stop();

 private:
  void RunJobs();

  const size_t max_threads_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> jobs_;
  std::vector<std::thread> threads_;
  size_t idle_ = 0;
  bool stopping_ = false;
};

}  // namespace basilvalve::http
