#include "Core/Common/bounded_log_sink.h"

#include <fcntl.h>
#include <spdlog/logger.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

namespace basilvalve {
namespace {

struct Pipe {
  int fds[2] = {-1, -1};
  Pipe() { REQUIRE(pipe(fds) == 0); }
  ~Pipe() {
    close(fds[0]);
    close(fds[1]);
  }
  std::string ReadAll() {
    fcntl(fds[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> buf;
    ssize_t n = 0;
    while ((n = read(fds[0], buf.data(), buf.size())) > 0) {
      text.append(buf.data(), static_cast<size_t>(n));
    }
    return text;
  }
};

// Logs a line with an explicit timestamp, so that the rate limit does not
// depend on the system clock.
void LogAt(BoundedLogSink* sink, spdlog::level::level_enum level, int second,
           const std::string& text) {
  spdlog::details::log_msg msg(
      spdlog::log_clock::time_point(std::chrono::seconds(second)),
      spdlog::source_loc(), "test", level, text);
  sink->log(msg);
}

TEST_CASE("the rate limit drops and counts info lines but not warnings") {
  Pipe pipe;
  BoundedLogSink sink(pipe.fds[1], 10);
  sink.set_pattern("%v");
  for (int i = 0; i < 25; ++i) {
    LogAt(&sink, spdlog::level::info, 1, "line");
  }
  LogAt(&sink, spdlog::level::warn, 1, "warning");
  LogAt(&sink, spdlog::level::info, 2, "next");
  sink.flush();
  std::string text = pipe.ReadAll();
  CHECK(std::count(text.begin(), text.end(), '\n') == 13);
  CHECK(text.find("event=suppressed lines=15") != std::string::npos);
  CHECK(text.find("warning") != std::string::npos);
  CHECK(text.find("next") != std::string::npos);
  CHECK(sink.suppressed() == 15);
}

TEST_CASE("a full pipe drops lines instead of blocking the writer") {
  Pipe pipe;
  BoundedLogSink sink(pipe.fds[1], 1'000'000);
  const std::string line(1000, 'x');
  for (int i = 0; i < 2000; ++i) {
    LogAt(&sink, spdlog::level::info, 1, line);
  }
  CHECK(sink.suppressed() > 1000);
}

}  // namespace
}  // namespace basilvalve
