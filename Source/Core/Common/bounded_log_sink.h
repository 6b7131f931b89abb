// A log sink that never blocks its writer and is bounded under load.
#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <string>

namespace basilvalve {

/// Collects lines and writes them to a file descriptor in pieces. Above the
/// rate, or when the reader does not keep up, lines below a warning are
/// counted instead and the count is told later. Used on one thread; not thread
/// safe.
class BoundedLogSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  /// `lines_per_second` bounds lines below a warning.
  BoundedLogSink(int fd, uint32_t lines_per_second);

  /// Lines that were counted instead of written, so far.
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
