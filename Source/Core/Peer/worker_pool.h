// A fixed number of threads with a bounded queue.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace basilvalve::peer {

/// Runs tasks. Thread safe. Destruction waits for running tasks and drops
/// queued ones.
class WorkerPool {
 public:
  /// Pre: threads > 0.
  WorkerPool(size_t threads, size_t max_queued);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// Queues a task; false if no thread is free and the queue is full. Thread
  /// safe.
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
