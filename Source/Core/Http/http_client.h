// Blocking HTTP client that streams a response to a sink as it arrives.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "Core/Http/http_message.h"

namespace basilvalve::http {

/// Receives a response while it arrives.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  /// Called once, before any part of the body. Returning false cancels the
  /// call. Runs on the thread that called Execute.
  virtual bool OnHead(const ResponseHead& head) = 0;
  /// Called for each part of the body. Returning false cancels the call. Runs
  /// on the thread that called Execute.
  virtual bool OnBody(std::string_view chunk) = 0;
  /// Polled while waiting; returning true cancels the call. Runs on the thread
  /// that called Execute.
  virtual bool Cancelled() { return false; }
};

/// Timeouts of one call.
struct CallTimeouts {
  std::chrono::milliseconds connect{1000};
  /// Longest time without received bytes.
  std::chrono::milliseconds idle{30000};
  std::chrono::milliseconds total{60000};
};

/// How a call ended, and whether the server may have processed the request.
enum class CallEnd {
  /// The response arrived, in full length if it declared one.
  kComplete,
  /// No connection was established; no byte of the request was sent.
  kNotSent,
  /// The request may have been sent; no complete response arrived.
  kIncomplete,
  kTimedOut,
  kCancelled,
};

/// Result of a call.
struct CallReport {
  CallEnd end = CallEnd::kNotSent;
  /// Whether the head of a response arrived.
  bool head_received = false;
  /// Whether the response declared its length or was chunked, so that
  /// truncation is detected.
  bool length_verified = false;
  std::string detail;
};

/// Runs one call on a new connection and blocks until it has ended. The request
/// is sent at most once. Thread safe. Pre: the endpoint's host is an IP
/// address. Throws nothing.
CallReport Execute(const Endpoint& endpoint, Request request,
                   const CallTimeouts& timeouts, ResponseSink* sink);

/// A response with its complete body.
struct BufferedResponse {
  CallReport report;
  int status = 0;
  Headers headers;
  std::string body;

  /// Whether the call completed with this status.
  bool Is(int wanted) const {
    return report.end == CallEnd::kComplete && status == wanted;
  }
};

/// Runs one call and buffers the response. A body of more than `max_body` bytes
/// is reported as kCancelled. Thread safe. Pre: as for Execute.
BufferedResponse ExecuteBuffered(const Endpoint& endpoint,
                                 const Request& request,
                                 const CallTimeouts& timeouts, size_t max_body);

}  // namespace basilvalve::http
