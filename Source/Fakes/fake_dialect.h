// HTTP dialect for tests that run without the platform adapter.
#pragma once

#include "Core/Edge/call_dialect.h"

namespace basilvalve::edge {

/// Uses header names of its own, so that tests of the request path and the soak
/// test are independent of the platform's headers. Thread safe.
class FakeDialect : public CallDialect {
 public:
  Result<CallParams> ParseCallHead(const net::MessageHead& head) const override;
  bool ForwardsHeader(const std::string& header) const override;
  bool IsIdentityHeader(const std::string& header) const override;
  bool ForwardsResponseHeader(const std::string& header) const override;
  void AppendHeaders(const SendParams& params,
                     std::string* head) const override;
  ResponseInfo ParseResponseHead(const net::MessageHead& head,
                                 const RequestId& id) const override;
};

}  // namespace basilvalve::edge
