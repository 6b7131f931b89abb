#include "Core/Common/bounded_log_sink.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

namespace basilvalve {
namespace {

// Written at once when this much has come together; a pipe takes 64 KB.
constexpr size_t kPieceBytes = size_t{8} * 1024;
// Held for a reader that does not keep up.
constexpr size_t kMostBytes = size_t{256} * 1024;

}  // namespace

BoundedLogSink::BoundedLogSink(int fd, uint32_t lines_per_second)
    : fd_(fd), lines_per_second_(lines_per_second) {
  struct stat kind {};
  // Only a pipe or socket can block; a terminal is shared with others.
  if (fstat(fd, &kind) == 0 &&
      (S_ISFIFO(kind.st_mode) || S_ISSOCK(kind.st_mode))) {
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  }
}

bool BoundedLogSink::HasRoom(const spdlog::details::log_msg& msg) {
  if (unwritten_.size() > kMostBytes) {
    return false;
  }
  if (msg.level >= spdlog::level::warn) {
    return true;
  }
  int64_t second = std::chrono::duration_cast<std::chrono::seconds>(
                       msg.time.time_since_epoch())
                       .count();
  if (second != second_) {
    second_ = second;
    lines_in_second_ = 0;
  }
  return ++lines_in_second_ <= lines_per_second_;
}

void BoundedLogSink::TellSuppressed() {
  if (suppressed_ == told_) {
    return;
  }
  unwritten_ += "level=warning subsystem=log event=suppressed lines=" +
                std::to_string(suppressed_ - told_) + "\n";
  told_ = suppressed_;
}

void BoundedLogSink::sink_it_(const spdlog::details::log_msg& msg) {
  if (!HasRoom(msg)) {
    ++suppressed_;
    return;
  }
  TellSuppressed();
  spdlog::memory_buf_t line;
  formatter_->format(msg, line);
  unwritten_.append(line.data(), line.size());
  if (unwritten_.size() >= kPieceBytes || msg.level >= spdlog::level::err) {
    flush_();
  }
}

void BoundedLogSink::flush_() {
  while (!unwritten_.empty()) {
    ssize_t n = write(fd_, unwritten_.data(), unwritten_.size());
    if (n > 0) {
      unwritten_.erase(0, static_cast<size_t>(n));
      continue;
    }
    if (n < 0 && errno == EINTR) {
      continue;
    }
    // A full pipe keeps what is held; a closed one can only drop it.
    if (errno != EAGAIN) {
      unwritten_.clear();
    }
    return;
  }
}

}  // namespace basilvalve
