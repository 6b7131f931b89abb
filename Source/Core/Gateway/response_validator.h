// Checks that an upstream's response is complete.
#pragma once

#include <string>
#include <string_view>

#include "Core/Http/http_message.h"

namespace basilvalve::gateway {

/// Checks the completeness of a response as it arrives. HTTP framing is not
/// sufficient because the client library does not distinguish a truncated
/// chunked body from a complete one. An event stream has to end with its [DONE]
/// event, a body with a Content-Length has to have that length, and any other
/// body has to be a complete JSON value. Not thread safe.
class ResponseValidator {
 public:
  explicit ResponseValidator(const http::ResponseHead& head);

  /// Adds received bytes and returns the bytes to forward: only complete events
  /// of an event stream, all bytes of any other body.
  std::string Add(std::string_view chunk);
  /// Whether the [DONE] event was received: the response is then complete,
  /// however the connection ends.
  bool SawEnd() const { return saw_done_; }
  /// Whether the response is complete, once the connection has ended.
  /// `length_verified` is whether the HTTP client checked the body's length.
  bool IsComplete(bool length_verified) const;
  bool is_event_stream() const { return is_event_stream_; }
  /// Number of complete events returned so far, excluding [DONE].
  size_t complete_events() const { return complete_events_; }
  /// Discards a partial event before the stream is resumed after the last
  /// complete one.
  void DiscardPartialEvent() { partial_event_.clear(); }

 private:
  bool is_event_stream_ = false;
  bool validate_json_ = false;
  bool saw_done_ = false;
  size_t complete_events_ = 0;
  std::string partial_event_;
  std::string json_body_;
};

}  // namespace basilvalve::gateway
