// The lines that lead from a request id to what became of it.
#pragma once

#include <string_view>

#include "Core/Edge/call_planner.h"

namespace basilvalve::edge {

/// How a call ended.
struct CallSummary {
  std::string_view outcome;
  int status = 0;
  std::string_view reason;
  net::Endpoint last_endpoint;
  Micros duration{0};
};

/// A call found no room; with the forecast that it was refused by. Thread safe.
void LogCallRejected(const CallParams& params, const CallContext& context,
                     const CallProgress& progress,
                     const flow::DispatchVerdict& verdict);
/// A call is sent once more. Thread safe.
void LogRetry(const CallParams& params, std::string_view reason,
              const net::Endpoint& failed_endpoint, Millis time_left);
/// Thread safe.
void LogCallEnd(const CallParams& params, const CallContext& context,
                const CallProgress& progress, const CallSummary& summary);

}  // namespace basilvalve::edge
