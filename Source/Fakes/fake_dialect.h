// How calls are put into HTTP where no platform is present.
#pragma once

#include "Core/Edge/call_dialect.h"

namespace basilvalve::edge {

/// A dialect with names of its own, so that tests and the soak of the path know
/// no platform. Thread safe.
class FakeDialect : public CallDialect {
 public:
  Result<CallParams> ParseCallHead(const net::MessageHead& head) const override;
  bool ForwardsHeader(const std::string& header) const override;
  void AppendHeaders(const SendParams& terms, std::string* head) const override;
  ResponseInfo ParseResponseHead(const net::MessageHead& head,
                                 const RequestId& id) const override;
};

}  // namespace basilvalve::edge
