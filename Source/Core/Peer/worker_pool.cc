#include "Core/Peer/worker_pool.h"

namespace basilvalve::peer {

WorkerPool::WorkerPool(size_t threads, size_t max_queued)
    : max_queued_(max_queued) {
  for (size_t i = 0; i < threads; ++i) {
    threads_.emplace_back([this] { Run(); });
  }
}

WorkerPool::~WorkerPool() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    queue_.clear();
  }
  ready_.notify_all();
  for (std::thread& it : threads_) {
    it.join();
  }
}

bool WorkerPool::TrySubmit(std::function<void()> task) {
  {
    std::lock_guard lock(mutex_);
    if (stopping_ || queue_.size() >= idle_threads_ + max_queued_) {
      return false;
    }
    queue_.push_back(std::move(task));
  }
  ready_.notify_one();
  return true;
}

void WorkerPool::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_threads_;
    ready_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    --idle_threads_;
    if (stopping_) {
      return;
    }
    std::function<void()> task = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace basilvalve::peer
