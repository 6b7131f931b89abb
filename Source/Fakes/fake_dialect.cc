#include "Fakes/fake_dialect.h"

#include <sstream>

namespace basilvalve::edge {

Result<CallParams> FakeDialect::ParseCallHead(
    const net::MessageHead& head) const {
  if (head.Count("Call-Id") != 1 || head.Count("Host") != 1) {
    return Fail(ResultCode::kMalformedRequest,
                "Call-Id and Host must occur exactly once");
  }
  CallParams params;
  params.id = RequestId(*head.Find("Call-Id"));
  params.host = *head.Find("Host");
  if (const std::string* text = head.Find("Key")) {
    params.key = *text;
  }
  if (const std::string* text = head.Find("Patience")) {
    params.caller_timeout = Millis(std::stoll(*text));
  }
  if (const std::string* text = head.Find("Tokens")) {
    params.size.tokens_in = static_cast<uint32_t>(std::stoul(*text));
    params.size.tokens_out = 10;
    params.size.parts = {{1, params.size.tokens_in}};
  }
  if (const std::string* text = head.Find("Parts")) {
    // Ids of prompt parts, separated by spaces.
    std::istringstream ids(*text);
    params.size.parts.clear();
    for (uint64_t id = 0; ids >> id;) {
      params.size.parts.push_back({id, 100});
    }
    params.size.tokens_in =
        static_cast<uint32_t>(100 * params.size.parts.size());
    params.size.tokens_out = 10;
  }
  if (const std::string* text = head.Find("Resume-After")) {
    params.resume_after = std::stoll(*text);
  }
  return params;
}

bool FakeDialect::ForwardsHeader(const std::string& header) const {
  return header != "Resume-After" && header != "Patience" &&
         header != "Expected";
}

bool FakeDialect::IsIdentityHeader(const std::string& header) const {
  return header == "Key" || header == "Workspace";
}

bool FakeDialect::ForwardsResponseHeader(const std::string& header) const {
  return header != "Leaving" && header != "Pause-Ms" && header != "Limit";
}

void FakeDialect::AppendHeaders(const SendParams& params,
                                std::string* head) const {
  head->append("Patience: " + std::to_string(params.time_left.count()) +
               "\r\n");
  if (!params.expected_upstream.empty()) {
    head->append("Expected: " + params.expected_upstream.value() + "\r\n");
    head->append("Urgency: " + std::to_string(params.urgency) + "\r\n");
  }
  if (!params.workspace.empty()) {
    head->append("Workspace: " + params.workspace.value() + "\r\n");
  }
  if (params.resume_after) {
    head->append("Resume-After: " + std::to_string(*params.resume_after) +
                 "\r\n");
  }
}

ResponseInfo FakeDialect::ParseResponseHead(const net::MessageHead& head,
                                            const RequestId& id) const {
  ResponseInfo info;
  const std::string* echoed = head.Find("Call-Id");
  if (echoed != nullptr) {
    info.named_call =
        *echoed == id.value() ? NamedCall::kThis : NamedCall::kOther;
  }
  info.is_misdirected = head.status == 421;
  info.not_executed = info.is_misdirected || head.Find("Not-Run") != nullptr;
  info.is_verified = head.Find("Proof") != nullptr;
  info.is_leaving = !info.is_misdirected && head.Find("Leaving") != nullptr;
  const std::string* text = head.Find("Pause-Ms");
  if (text != nullptr && head.status == 503) {
    info.pause = Millis(std::stoll(*text));
  }
  if (const std::string* limit = head.Find("Limit")) {
    info.limit = flow::CallsPerSecond(std::stod(*limit));
  }
  info.is_unlimited = !info.is_misdirected && !info.limit;
  return info;
}

}  // namespace basilvalve::edge
