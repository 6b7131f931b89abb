// One call on its way through the filters of this instance.
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

/// Where a call came from.
enum class CallOrigin {
  kCaller,
  /// An instance of this region.
  kSameRegion,
  /// An instance of another region.
  kOtherRegion,
};

/// A call with all that filters found out about it. Used by one thread.
struct Call {
  RequestId id;
  observe::TraceContext trace;
  CallOrigin origin = CallOrigin::kCaller;
  ServiceName service;
  std::string method;
  /// Path as the upstream sees it.
  std::string path;
  std::string query;
  std::string content_type;
  std::string body;
  bool streaming = false;
  std::string bearer;
  std::string ticket;
  std::string idempotency_key;
  Instant arrived;
  /// From the caller's header, or zero for the document's.
  Micros requested_timeout{0};
  Instant deadline;
  std::vector<InstanceId> hops;
  std::vector<RegionId> regions;
  /// Version of the document by which a forwarding instance decided.
  DocumentVersion sender_document_version;

  // Set by filters.
  document::RecordPtr record;
  std::string caller_label;
  bool is_model = false;
  bool idempotent = false;
  ModelName model;
  std::string prompt;

  /// Time left at `now`. Thread safe for concurrent readers.
  Micros Remaining(Instant now) const { return deadline - now; }
};

/// How a call ended.
struct CallEnd {
  Outcome outcome = Outcome::kUnknown;
  ResultCode code = ResultCode::kInternal;
  std::string message;
  /// Whether a part of an answer was handed on already.
  bool response_started = false;
  Millis retry_after{0};
};

/// An end made from an error. Thread safe.
inline CallEnd EndFromError(const Error& error) {
  return {error.outcome, error.code, error.message, false, Millis(0)};
}

/// Receives the answer of a call as it comes. Used by one thread.
class CallResponseSink {
 public:
  virtual ~CallResponseSink() = default;
  /// Called once, before any piece. False if the receiver has gone.
  virtual bool Begin(const peer::AnswerHead& head) = 0;
  /// Called for each piece. False if the receiver has gone.
  virtual bool WriteChunk(std::string_view piece) = 0;
  /// Whether the receiver has gone; polled while waiting.
  virtual bool ReceiverGone() = 0;
};

}  // namespace basilvalve::gateway
