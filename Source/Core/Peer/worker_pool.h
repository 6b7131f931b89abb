// A thread pool with a fixed number of threads and a bounded queue.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace basilvalve::peer {

/// Runs submitted tasks on a fixed number of threads. Destruction waits for
/// running tasks and discards queued ones. Thread safe.
class WorkerPool {
 public:
  /// `max_queued` bounds the tasks that wait while all threads are busy. Pre:
  /// threads > 0.
  WorkerPool(size_t threads, size_t max_queued);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// Queues a task. Returns false if no thread is idle and the queue is full,
  /// or if the pool is being destroyed. Thread safe.
  bool TrySubmit(std::function<void()> task);

 private:
  void Run();

  size_t max_queued_;
  std::mutex mutex_;
  std::condition_variable ready_;
  // Guarded by mutex_.
  std::deque<std::function<void()>> queue_;
  size_t idle_threads_ = 0;
  bool stopping_ = false;

  std::vector<std::thread> threads_;
};

}  // namespace basilvalve::peer
