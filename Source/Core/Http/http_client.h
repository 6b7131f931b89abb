// One HTTP call whose answer is handed on as it arrives.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "Core/Http/http_message.h"

namespace basilvalve::http {

/// Receives an answer while it arrives.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  /// Called once, before any body. False cancels the call. Called on the
  /// calling thread.
  virtual bool OnHead(const ResponseHead& head) = 0;
  /// Called for each piece of the body. False cancels the call. Called on the
  /// calling thread.
  virtual bool OnBody(std::string_view piece) = 0;
  /// Polled while waiting; true cancels the call. Called on the calling thread.
  virtual bool Cancelled() { return false; }
};

/// Bounds of one call.
struct CallTimeouts {
  std::chrono::milliseconds connect{1000};
  /// Longest wait between two arrivals.
  std::chrono::milliseconds idle{30000};
  std::chrono::milliseconds total{60000};
};

/// How a call ended, from the point of view of what may have happened at the
/// server.
enum class CallEnd {
  /// The answer arrived and, where its length was announced, all of it.
  kComplete,
  /// No connection was made: no byte of the request left.
  kNotSent,
  /// The request may have left; no whole answer arrived.
  kIncomplete,
  kTimedOut,
  kCancelled,
};

/// What is known after a call.
struct CallReport {
  CallEnd end = CallEnd::kNotSent;
  /// Whether an answer's status line arrived.
  bool head_received = false;
  /// False where the answer had neither a length nor any other mark of its end.
  bool length_verified = false;
  std::string detail;
};

/// Runs one call on a connection of its own and returns when it has ended; the
/// request is sent at most once. Thread safe. Pre: the endpoint's address is
/// numeric. Throws nothing.
CallReport Execute(const Endpoint& endpoint, const Request& request,
                   const CallTimeouts& timeouts, ResponseSink* sink);

/// An answer held whole.
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

/// Runs one call and buffers its answer up to `max_body` bytes; a longer answer
/// is reported as kCancelled. Thread safe. Pre: as for Execute.
BufferedResponse ExecuteBuffered(const Endpoint& endpoint,
                                 const Request& request,
                                 const CallTimeouts& timeouts, size_t max_body);

}  // namespace basilvalve::http
