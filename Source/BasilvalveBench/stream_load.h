// Streams completions and compares an instance with a direct call to the
// engine.
#pragma once

#include <cstdint>
#include <string>

#include "Core/Http/http_message.h"

namespace basilvalve::bench {

/// One load.
struct StreamLoad {
  http::Endpoint direct;
  http::Endpoint gateway;
  std::string service = "reports";
  std::string key = "till-key";
  std::string model = "report-1";
  int64_t concurrent = 50;
  int64_t rounds = 5;
  int64_t tokens = 50;
};

/// Runs the load against both in turn and prints CSV. Returns an exit code: 1
/// if a stream was cut.
int RunStreamLoad(const StreamLoad& load);
/// Measures buffered requests per second of an instance. Prints CSV.
int RunRequestLoad(const StreamLoad& load);

}  // namespace basilvalve::bench
