// Non-blocking, rate-limited log sink with a bounded buffer.
#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <string>

namespace basilvalve {

/// Buffers lines and writes them to a file descriptor in batches. Drops lines
/// below warning level above the rate limit, and lines of any level while the
/// buffer is full because the reader is too slow. The number of dropped lines
/// is logged once lines are accepted again. Not thread safe.
class BoundedLogSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  /// `lines_per_second` limits lines below warning level.
  BoundedLogSink(int fd, uint32_t lines_per_second);

  /// Number of lines dropped so far.
  uint64_t suppressed() const { return suppressed_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& msg) override;
  void flush_() override;

 private:
  bool AdmitLine(const spdlog::details::log_msg& msg);
  void AppendSuppressedCount();

  int fd_;
  uint32_t lines_per_second_;
  std::string buffer_;
  int64_t current_second_ = 0;
  uint32_t lines_in_second_ = 0;
  uint64_t suppressed_ = 0;
  uint64_t reported_suppressed_ = 0;
};

}  // namespace basilvalve
