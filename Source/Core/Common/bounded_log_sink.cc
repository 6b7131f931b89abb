#include "Core/Common/bounded_log_sink.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

namespace basilvalve {
namespace {

// Buffered lines are written at this size; a pipe holds 64 KB.
constexpr size_t kFlushThresholdBytes = size_t{8} * 1024;
// Limits the memory held for a reader that is too slow.
constexpr size_t kMaxBufferedBytes = size_t{256} * 1024;

}  // namespace

BoundedLogSink::BoundedLogSink(int fd, uint32_t lines_per_second)
    : fd_(fd), lines_per_second_(lines_per_second) {
  struct stat file_status {};
  // Writes to a pipe or socket may block. A terminal stays blocking, because
  // its file status flags are shared with other processes.
  if (fstat(fd, &file_status) == 0 &&
      (S_ISFIFO(file_status.st_mode) || S_ISSOCK(file_status.st_mode))) {
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  }
}

bool BoundedLogSink::AdmitLine(const spdlog::details::log_msg& msg) {
  if (buffer_.size() > kMaxBufferedBytes) {
    return false;
  }
  if (msg.level >= spdlog::level::warn) {
    return true;
  }
  int64_t second = std::chrono::duration_cast<std::chrono::seconds>(
                       msg.time.time_since_epoch())
                       .count();
  if (second != current_second_) {
    current_second_ = second;
    lines_in_second_ = 0;
  }
  return ++lines_in_second_ <= lines_per_second_;
}

void BoundedLogSink::AppendSuppressedCount() {
  if (suppressed_ == reported_suppressed_) {
    return;
  }
  buffer_ += "level=warning subsystem=log event=suppressed lines=" +
             std::to_string(suppressed_ - reported_suppressed_) + "\n";
  reported_suppressed_ = suppressed_;
}

void BoundedLogSink::sink_it_(const spdlog::details::log_msg& msg) {
  if (!AdmitLine(msg)) {
    ++suppressed_;
    return;
  }
  AppendSuppressedCount();
  spdlog::memory_buf_t line;
  formatter_->format(msg, line);
  buffer_.append(line.data(), line.size());
  if (buffer_.size() >= kFlushThresholdBytes ||
      msg.level >= spdlog::level::err) {
    flush_();
  }
}

void BoundedLogSink::flush_() {
  while (!buffer_.empty()) {
    ssize_t n = write(fd_, buffer_.data(), buffer_.size());
    if (n > 0) {
      buffer_.erase(0, static_cast<size_t>(n));
      continue;
    }
    if (n < 0 && errno == EINTR) {
      continue;
    }
    // Keeps the buffer while the pipe is full; after other errors, such as a
    // closed pipe, the lines cannot be delivered and are dropped.
    if (errno != EAGAIN) {
      buffer_.clear();
    }
    return;
  }
}

}  // namespace basilvalve
