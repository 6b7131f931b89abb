// Interface to the HTTP headers that one platform uses for calls and responses.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Core/Common/result.h"
#include "Core/Flow/upstream.h"
#include "Core/Net/message.h"
#include "Core/Net/socket.h"

namespace basilvalve::edge {

/// What the headers of a caller's request specify, beyond method, path and
/// body.
struct CallParams {
  RequestId id;
  std::string host;
  /// Key of the caller's workspace; empty if the request has none. Never
  /// logged.
  std::string key;
  /// How long the caller waits; nullopt if the request does not say.
  std::optional<Millis> caller_timeout;
  flow::CallSize size;
  /// Id of the last event the caller has received; the stream resumes after it.
  std::optional<int64_t> resume_after;
};

/// Values for the headers added to a call that is sent to an upstream.
struct SendParams {
  UpstreamId expected_upstream;
  Millis time_left{0};
  /// 0 is the most urgent, 9 the least.
  int urgency = 5;
  std::optional<int64_t> resume_after;
  /// An upstream from which the receiver can copy cached parts of the prompt.
  std::optional<net::Endpoint> prompt_source;
  /// Whether the caller's own headers for key and workspace are removed.
  bool hides_identity = false;
  /// Workspace that the receiver is told; empty if none.
  WorkspaceId workspace;
};

/// Which call a response names as the one that it answers. A connection may
/// deliver a response to another call, or bytes that answer none.
enum class NamedCall {
  kThis,
  /// This call, which the connection had carried before: the response may be a
  /// copy of the one to the earlier attempt.
  kRepeated,
  kOther,
  kNone,
};

/// For log and metrics. Thread safe.
constexpr std::string_view NamedCallName(NamedCall named_call) {
  switch (named_call) {
    case NamedCall::kThis:
      return "this";
    case NamedCall::kRepeated:
      return "repeated";
    case NamedCall::kOther:
      return "other";
    case NamedCall::kNone:
      return "none";
  }
  return "";
}

/// What the head of a response says about the call.
struct ResponseInfo {
  NamedCall named_call = NamedCall::kNone;
  /// Whether the upstream states that it did not execute the call.
  bool not_executed = false;
  /// Whether the address now belongs to a different upstream, which did not
  /// execute the call.
  bool is_misdirected = false;
  /// Whether the response carries the upstream's signature and its unmodified
  /// body.
  bool is_verified = false;
  /// Calls running and queued at the upstream, if it reported them.
  std::optional<flow::ReportedLoad> load;
  /// Whether the sender of the response says that it is shutting down.
  bool is_leaving = false;
  /// How long the sender wants no calls from this instance; zero if it does not
  /// say.
  Millis pause{0};
  /// Calls a second that the sender takes from all instances together. nullopt
  /// if it states no rate that can be read.
  std::optional<flow::CallsPerSecond> limit;
  /// Whether the response shows that the sender has no limit: a limit that
  /// cannot be read shows neither.
  bool is_unlimited = false;
};

/// Converts between this system's parameters and the platform's headers.
/// Implemented by the platform adapter. Thread safe.
class CallDialect {
 public:
  virtual ~CallDialect() = default;
  /// Parses a caller's request. Errors: kMalformedRequest if no upstream could
  /// serve it.
  virtual Result<CallParams> ParseCallHead(
      const net::MessageHead& head) const = 0;
  /// Whether a header of the caller's request is forwarded to upstreams.
  virtual bool ForwardsHeader(const std::string& header) const = 0;
  /// Whether a header of the caller's request carries its key or names its
  /// workspace.
  virtual bool IsIdentityHeader(const std::string& header) const = 0;
  /// Whether a header of an upstream's response is forwarded to callers and to
  /// other instances. False for what the upstream tells this instance alone.
  virtual bool ForwardsResponseHeader(const std::string& header) const = 0;
  /// Appends the header lines that this system sets itself.
  virtual void AppendHeaders(const SendParams& params,
                             std::string* head) const = 0;
  /// Parses the head of a final response to the call with the id.
  virtual ResponseInfo ParseResponseHead(const net::MessageHead& head,
                                         const RequestId& id) const = 0;
};

}  // namespace basilvalve::edge
