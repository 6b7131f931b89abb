#include "Core/Http/worker_pool.h"

#include <utility>

namespace basilvalve::http {

void WorkerPool::Stop() {
  std::deque<std::function<void()>> dropped;
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    dropped.swap(jobs_);
  }
  changed_.notify_all();
  for (std::thread& it : threads_) {
    it.join();
  }
  threads_.clear();
}

void WorkerPool::Run(std::function<void()> job) {
  std::lock_guard lock(mutex_);
  if (stopping_) {
    return;
  }
  jobs_.push_back(std::move(job));
  if (jobs_.size() > idle_ && threads_.size() < max_threads_) {
    threads_.emplace_back([this] { RunJobs(); });
  }
  changed_.notify_one();
}

void WorkerPool::RunJobs() {
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_;
    changed_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
    --idle_;
    if (stopping_) {
      return;
    }
    std::function<void()> job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    job();
    job = nullptr;
    lock.lock();
  }
}

}  // namespace basilvalve::http
