// Load generator for completions. Compares the latency through an instance
// with that of direct calls to the engine.
#pragma once

#include <cstdint>
#include <string>

#include "Core/Http/http_message.h"

namespace basilvalve::bench {

/// Parameters of one load run.
struct StreamLoad {
  http::Endpoint direct;
  http::Endpoint gateway;
  std::string service = "reports";
  std::string key = "till-key";
  std::string model = "report-1";
  /// Number of client threads, each with one request at a time.
  int64_t concurrent = 50;
  /// Requests of each thread, one after another.
  int64_t rounds = 5;
  /// Tokens of each response.
  int64_t tokens = 50;
};

/// Streams completions first from the engine, then through the gateway, and
/// prints CSV. Returns an exit code: 1 if a gateway stream was truncated.
int RunStreamLoad(const StreamLoad& load);
/// Sends buffered requests to the gateway, measures the throughput and prints
/// CSV. Returns an exit code: 1 if a request failed.
int RunRequestLoad(const StreamLoad& load);

}  // namespace basilvalve::bench
