// Structured logging: one line of key=value pairs per event.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace basilvalve {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Builds one log line and writes it on destruction. Values with spaces or
/// quotes are quoted. One object belongs to one thread; lines written by
/// different threads do not interleave.
class LogEvent {
 public:
  LogEvent(LogLevel level, std::string_view subsystem, std::string_view event);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  /// Appends `key=value`. Pre: key has no spaces. Not thread safe.
  LogEvent& With(std::string_view key, std::string_view value);
  /// Appends a numeric value. Pre: key has no spaces. Not thread safe.
  LogEvent& With(std::string_view key, int64_t value);

 private:
  LogLevel level_;
  std::string line_;
};

/// Sends log lines of at least this level to standard output: buffered, rate
/// limited and without blocking. FlushLog writes the buffered lines. For
/// single-threaded processes. Call once, at startup.
void InitBoundedLogging(LogLevel level);

/// Writes the lines buffered by InitBoundedLogging. Not thread safe.
void FlushLog();

/// Sends log lines of at least this level to standard error. Call once, at
/// startup. Logging is thread safe afterwards.
void InitLogging(LogLevel level);

}  // namespace basilvalve
