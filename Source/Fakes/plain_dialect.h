// How calls are put into HTTP where no platform is present.
#pragma once

#include "Core/Edge/call_dialect.h"

namespace basilvalve::edge {

/// A dialect with names of its own, so that tests and the soak of the path know
/// no platform. Thread safe.
class PlainDialect : public CallDialect {
 public:
  Result<CallTerms> ReadCall(const net::MessageHead& head) const override;
  bool PassesOn(const std::string& header) const override;
  void AppendSendLines(const SendTerms& terms,
                       std::string* head) const override;
  AnswerTerms ReadAnswer(const net::MessageHead& head,
                         const RequestId& id) const override;
};

}  // namespace basilvalve::edge
