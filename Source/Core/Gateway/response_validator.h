// Checks that an upstream's answer is whole.
#pragma once

#include <string>
#include <string_view>

#include "Core/Http/http_message.h"

namespace basilvalve::gateway {

/// Follows an answer as it arrives. HTTP's own marks are not enough: the client
/// library does not tell a cut chunked body from a whole one. So an event
/// stream has to end with its [DONE] event, a body with a length has to have
/// that length, and any other body has to be a whole JSON value. Not thread
/// safe.
class ResponseValidator {
 public:
  explicit ResponseValidator(const http::ResponseHead& head);

  /// Adds bytes and returns those that may be handed on: of an event stream
  /// only whole events, of another body all.
  std::string Add(std::string_view piece);
  /// Whether the answer is known to be whole without regard to how the
  /// connection ends.
  bool SawEnd() const { return saw_done_; }
  /// Whether the answer is whole, given that the connection ended as
  /// `length_verified` tells.
  bool IsComplete(bool length_verified) const;
  /// Whether this is an event stream.
  bool is_events() const { return is_events_; }
  /// Whole events handed on so far, [DONE] not counted.
  size_t events() const { return events_; }
  /// Drops a partial event, before the stream is resumed after the last whole
  /// one.
  void DropPartial() { partial_.clear(); }

 private:
  bool is_events_ = false;
  bool is_json_ = false;
  bool saw_done_ = false;
  size_t events_ = 0;
  std::string partial_;
  std::string json_;
};

}  // namespace basilvalve::gateway
