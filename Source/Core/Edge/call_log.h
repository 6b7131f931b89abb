// The lines that lead from a request id to what became of it.
#pragma once

#include <string_view>

#include "Core/Edge/call_planner.h"

namespace basilvalve::edge {

/// How a call ended.
struct CallEnd {
  std::string_view outcome;
  int status = 0;
  std::string_view why;
  net::Endpoint last;
  Micros took{0};
};

/// A call found no room; with the forecast that it was refused by. Thread safe.
void LogNoRoom(const CallParams& terms, const CallContract& contract,
               const CallProgress& progress,
               const flow::DispatchDecision& verdict);
/// A call is sent once more. Thread safe.
void LogRepeat(const CallParams& terms, std::string_view why,
               const net::Endpoint& after, Millis left);
/// Thread safe.
void LogCallEnd(const CallParams& terms, const CallContract& contract,
                const CallProgress& progress, const CallEnd& end);

}  // namespace basilvalve::edge
