// Log events of a call, linked by its request id.
#pragma once

#include <string_view>

#include "Core/Edge/call_planner.h"
#include "Core/Edge/response_origin.h"
#include "Core/Flow/poison_tracker.h"

namespace basilvalve::edge {

/// The result of a finished call.
struct CallSummary {
  std::string_view outcome;
  int status = 0;
  std::string_view reason;
  net::Endpoint last_endpoint;
  Micros duration{0};
};

/// Logs that no upstream can take the call, with the forecast behind the
/// decision. Thread safe.
void LogCallRejected(const CallParams& params, const CallContext& context,
                     const CallProgress& progress,
                     const flow::DispatchDecision& decision);
/// Logs a call that is sent although its forecast says that it will be late,
/// since no call has confirmed the learned speeds for a while. Thread safe.
void LogTrial(const CallParams& params, const CallContext& context,
              const flow::Forecast& forecast);
/// Logs a proof that an attempt did not execute the call, and how long after
/// the send it came. Thread safe.
void LogRefusal(const CallParams& params, const net::Endpoint& from, int status,
                Micros age);
/// Logs a response that belongs to another call or to none. Thread safe.
void LogForeignResponse(const CallParams& params, const net::Endpoint& from,
                        int status, const ResponseClaim& claim);
/// Logs that an idle connection ended, or had bytes to read, before the call
/// was written to it. Thread safe.
void LogStaleConnection(const CallParams& params, const net::Endpoint& to);
/// Logs that a call is retried. Thread safe.
void LogRetry(const CallParams& params, std::string_view reason,
              const net::Endpoint& failed_endpoint, Millis time_left);
/// Logs that a call is hedged `after` it was sent to its first upstream. Thread
/// safe.
void LogHedge(const CallParams& params, const ServiceName& service,
              const net::Endpoint& first, const net::Endpoint& second,
              Micros after);
/// Logs that an upstream crashed under a call, with the call's shared prompt
/// parts. Thread safe.
void LogLostCall(const RequestId& request, const UpstreamId& upstream,
                 const std::vector<flow::PromptPartId>& parts);
/// Logs that a call is refused because of a blocked prompt part. Thread safe.
void LogCallBlocked(const CallParams& params, const CallProgress& progress,
                    const flow::BlockedPart& blocked);
/// Logs that a call is sent as the probe of a blocked prompt part. Thread safe.
void LogProbe(const RequestId& request, flow::PromptPartId part);
/// Logs that a prompt part was blocked or cleared. Thread safe.
void LogPartVerdict(const flow::PartVerdict& verdict);
/// Logs the end of a call. Thread safe.
void LogCallEnd(const CallParams& params, const CallContext& context,
                const CallProgress& progress, const CallSummary& summary);

}  // namespace basilvalve::edge
