// A call, its result and the receiver of its response.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"
#include "Core/Document/document_record.h"
#include "Core/Observe/trace_context.h"
#include "Core/Peer/peer_message.h"

namespace basilvalve::gateway {

/// The sender from which this instance received a call.
enum class CallOrigin {
  kCaller,
  /// An instance of this region.
  kSameRegion,
  /// An instance of another region.
  kOtherRegion,
};

/// A call and the data that filters add to it. Not thread safe.
struct Call {
  RequestId id;
  observe::TraceContext trace;
  CallOrigin origin = CallOrigin::kCaller;
  ServiceName service;
  std::string method;
  /// Path of the request to the upstream.
  std::string path;
  std::string query;
  std::string content_type;
  std::string body;
  bool streaming = false;
  /// Bearer key; cleared once the caller is authenticated.
  std::string bearer;
  std::string ticket;
  std::string idempotency_key;
  /// When this instance received the call.
  Instant arrived;
  /// Time allowed from `arrived`, as requested by the caller or the forwarding
  /// instance; zero if only the document's limit applies.
  Micros requested_timeout{0};
  Instant deadline;
  /// Instances that forwarded the call, used to detect forwarding loops.
  std::vector<InstanceId> hops;
  /// Regions that forwarded the call, used to detect forwarding loops.
  std::vector<RegionId> regions;
  /// Document version used by the forwarding instance.
  DocumentVersion sender_document_version;

  // Set by filters.
  document::RecordPtr record;
  /// Label of the matched bearer key.
  std::string caller_label;
  bool is_model = false;
  bool idempotent = false;
  ModelName model;
  std::string prompt;

  /// Time from `now` to the deadline; negative once it has passed. Safe for
  /// concurrent readers.
  Micros Remaining(Instant now) const { return deadline - now; }
};

/// Result of a call or of one attempt.
struct CallResult {
  Outcome outcome = Outcome::kUnknown;
  ResultCode code = ResultCode::kInternal;
  std::string message;
  /// Whether the response has been started at the sink; such a call cannot be
  /// retried.
  bool response_started = false;
  Millis retry_after{0};
};

/// Converts an error to a result without a response. Thread safe.
inline CallResult ResultFromError(const Error& error) {
  return {error.outcome, error.code, error.message, false, Millis(0)};
}

/// Receives the response of a call as it arrives. Not thread safe.
class CallResponseSink {
 public:
  virtual ~CallResponseSink() = default;
  /// Called once, before any chunk. Returns false if the receiver has
  /// disconnected.
  virtual bool Begin(const peer::ResponseHead& head) = 0;
  /// Called for each chunk of the body. Returns false if the receiver has
  /// disconnected.
  virtual bool WriteChunk(std::string_view chunk) = 0;
  /// Whether the receiver has disconnected. Polled while waiting.
  virtual bool ReceiverDisconnected() = 0;
};

}  // namespace basilvalve::gateway
