#include "Fakes/fake_dialect.h"

namespace basilvalve::edge {

Result<CallParams> FakeDialect::ParseCallHead(
    const net::MessageHead& head) const {
  if (head.Count("Call-Id") != 1 || head.Count("Host") != 1) {
    return Fail(ResultCode::kMalformedRequest, "Call-Id and Host occur once");
  }
  CallParams terms;
  terms.id = RequestId(*head.Find("Call-Id"));
  terms.host = *head.Find("Host");
  if (const std::string* text = head.Find("Patience")) {
    terms.caller_timeout = Millis(std::stoll(*text));
  }
  if (const std::string* text = head.Find("Resume-After")) {
    terms.resume_after = std::stoll(*text);
  }
  return terms;
}

bool FakeDialect::ForwardsHeader(const std::string& header) const {
  return header != "Resume-After" && header != "Patience" &&
         header != "Expected";
}

void FakeDialect::AppendHeaders(const SendParams& terms,
                                std::string* head) const {
  head->append("Patience: " + std::to_string(terms.time_left.count()) + "\r\n");
  if (!terms.expected_upstream.empty()) {
    head->append("Expected: " + terms.expected_upstream.value() + "\r\n");
  }
  if (terms.resume_after) {
    head->append("Resume-After: " + std::to_string(*terms.resume_after) +
                 "\r\n");
  }
}

ResponseInfo FakeDialect::ParseResponseHead(const net::MessageHead& head,
                                            const RequestId& id) const {
  ResponseInfo terms;
  const std::string* echoed = head.Find("Call-Id");
  terms.matches_request = echoed != nullptr && *echoed == id.value();
  terms.is_misdirected = head.status == 421;
  terms.not_executed = terms.is_misdirected || head.Find("Not-Run") != nullptr;
  terms.is_verified = head.Find("Proof") != nullptr;
  return terms;
}

}  // namespace basilvalve::edge
