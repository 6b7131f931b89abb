// How callers and upstreams of one platform put a call into HTTP.
#pragma once

#include <optional>
#include <string>

#include "Core/Common/result.h"
#include "Core/Flow/upstream.h"
#include "Core/Net/message.h"
#include "Core/Net/socket.h"

namespace basilvalve::edge {

/// What a caller asks for, beyond method, path and body.
struct CallParams {
  RequestId id;
  std::string host;
  /// How long the caller will wait; nullopt if it did not say.
  std::optional<Millis> caller_timeout;
  flow::CallSize size;
  /// The stream goes on after this event.
  std::optional<int64_t> resume_after;
};

/// What is added to a call on its way to an upstream.
struct SendParams {
  UpstreamId expected_upstream;
  Millis time_left{0};
  /// 0 is first, 9 last.
  int urgency = 5;
  std::optional<int64_t> resume_after;
  /// An upstream that keeps pieces of the prompt, to be copied from there.
  std::optional<net::Endpoint> prompt_source;
};

/// What an upstream's answer says about the call.
struct ResponseInfo {
  /// Whether the answer is to this call and not to another one.
  bool matches_request = false;
  /// Whether the upstream states that it did not run the call.
  bool not_executed = false;
  /// Whether another upstream has the address.
  bool is_misdirected = false;
  /// Whether the answer carries the upstream's proof and its own body.
  bool is_verified = false;
  /// Calls that the upstream runs and keeps waiting, if it said.
  std::optional<flow::ReportedLoad> load;
};

/// Translates heads; implemented by the platform's adapter. Thread safe.
class CallDialect {
 public:
  virtual ~CallDialect() = default;
  /// Errors: kMalformedRequest for a head that no upstream could serve.
  virtual Result<CallParams> ParseCallHead(
      const net::MessageHead& head) const = 0;
  /// Whether a caller's header is passed on to upstreams.
  virtual bool ForwardsHeader(const std::string& header) const = 0;
  /// Adds the lines that are this system's to set.
  virtual void AppendHeaders(const SendParams& terms,
                             std::string* head) const = 0;
  virtual ResponseInfo ParseResponseHead(const net::MessageHead& head,
                                         const RequestId& id) const = 0;
};

}  // namespace basilvalve::edge
