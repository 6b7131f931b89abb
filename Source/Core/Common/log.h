// Structured logs: one line of key=value pairs for each event.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace basilvalve {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Builds one log line and writes it when destroyed. Values with spaces or
/// quotes are quoted. Not thread safe itself; lines of several threads do not
/// mix.
class LogEvent {
 public:
  LogEvent(LogLevel level, std::string_view subsystem, std::string_view event);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  /// Adds a pair. Pre: key has no spaces. Not thread safe.
  LogEvent& With(std::string_view key, std::string_view value);
  /// Adds a numeric pair. Pre: key has no spaces. Not thread safe.
  LogEvent& With(std::string_view key, int64_t value);

 private:
  LogLevel level_;
  std::string line_;
};

/// Sends log lines of at least this level to standard output, in pieces,
/// bounded and without ever blocking; FlushLog writes what has come together.
/// For a process with one thread. Call once, at start.
void InitBoundedLogging(LogLevel level);

/// Writes out what a bounded log holds. Not thread safe.
void FlushLog();

/// Sends log lines of at least this level to standard error. Call once, at
/// start.
void InitLogging(LogLevel level);

}  // namespace basilvalve
