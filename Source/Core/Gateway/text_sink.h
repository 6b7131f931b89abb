// An answer sink that buffers the body.
#pragma once

#include <string>
#include <string_view>

#include "Core/Gateway/call.h"

namespace basilvalve::gateway {

/// Accepts the whole answer and appends its body to `text`; never reports the
/// receiver as disconnected. Not thread safe.
class TextSink : public CallResponseSink {
 public:
  bool Begin(const peer::ResponseHead& /*head*/) override { return true; }
  bool WriteChunk(std::string_view piece) override {
    text.append(piece);
    return true;
  }
  bool ReceiverGone() override { return false; }

  std::string text;
};

}  // namespace basilvalve::gateway
