// Collects an answer as text.
#pragma once

#include <string>
#include <string_view>

#include "Core/Gateway/call.h"

namespace basilvalve::gateway {

/// A receiver that takes everything and never goes away. Not thread safe.
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
