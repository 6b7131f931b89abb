// Thread pool for jobs that may block.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace basilvalve::http {

/// Starts threads on demand, up to a limit; further jobs are queued in order.
/// Thread safe.
class WorkerPool {
 public:
  /// Pre: max_threads > 0.
  explicit WorkerPool(size_t max_threads) : max_threads_(max_threads) {}
  ~WorkerPool() { Stop(); }
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// Runs the job on a thread of the pool. Pre: the job throws nothing. Thread
  /// safe.
  void Run(std::function<void()> job);
  /// Waits for running jobs; discards queued and later ones. Not thread safe.
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
