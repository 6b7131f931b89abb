// A response sink that buffers the body.
#pragma once

#include <string>
#include <string_view>

#include "Core/Gateway/call.h"

namespace basilvalve::gateway {

/// Accepts the complete response and appends its body to `text`; never reports
/// the receiver as disconnected. Not thread safe.
class TextSink : public CallResponseSink {
 public:
  bool Begin(const peer::ResponseHead& /*head*/) override { return true; }
  bool WriteChunk(std::string_view chunk) override {
    text.append(chunk);
    return true;
  }
  bool ReceiverDisconnected() override { return false; }

  std::string text;
};

}  // namespace basilvalve::gateway
