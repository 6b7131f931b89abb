#include "Fakes/plain_dialect.h"

namespace basilvalve::edge {

Result<CallTerms> PlainDialect::ReadCall(const net::MessageHead& head) const {
  if (head.Count("Call-Id") != 1 || head.Count("Host") != 1) {
    return Fail(ResultCode::kMalformedRequest, "Call-Id and Host occur once");
  }
  CallTerms terms;
  terms.id = RequestId(*head.Find("Call-Id"));
  terms.host = *head.Find("Host");
  if (const std::string* text = head.Find("Patience")) {
    terms.patience = Millis(std::stoll(*text));
  }
  if (const std::string* text = head.Find("Resume-After")) {
    terms.resume_after = std::stoll(*text);
  }
  return terms;
}

bool PlainDialect::PassesOn(const std::string& header) const {
  return header != "Resume-After" && header != "Patience" &&
         header != "Expected";
}

void PlainDialect::AppendSendLines(const SendTerms& terms,
                                   std::string* head) const {
  head->append("Patience: " + std::to_string(terms.time_left.count()) + "\r\n");
  if (!terms.expected.empty()) {
    head->append("Expected: " + terms.expected.value() + "\r\n");
  }
  if (terms.resume_after) {
    head->append("Resume-After: " + std::to_string(*terms.resume_after) +
                 "\r\n");
  }
}

AnswerTerms PlainDialect::ReadAnswer(const net::MessageHead& head,
                                     const RequestId& id) const {
  AnswerTerms terms;
  const std::string* echoed = head.Find("Call-Id");
  terms.belongs = echoed != nullptr && *echoed == id.value();
  terms.is_misdirected = head.status == 421;
  terms.not_executed = terms.is_misdirected || head.Find("Not-Run") != nullptr;
  terms.is_proven = head.Find("Proof") != nullptr;
  return terms;
}

}  // namespace basilvalve::edge
