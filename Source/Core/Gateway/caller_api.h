// The HTTP interface for callers.
#pragma once

#include "Core/Gateway/claim_gate.h"
#include "Core/Gateway/entry_advisor.h"
#include "Core/Gateway/explainer.h"
#include "Core/Gateway/filters.h"
#include "Core/Http/http_server.h"

namespace basilvalve::gateway {

/// Handles callers' requests. Thread safe.
class CallerApi : public http::Handler {
 public:
  CallerApi(const NodeParts* parts, CallExecutor* executor, ClaimGate* gate,
            const EntryAdvisor* advisor, Explainer* explainer)
      : parts_(parts),
        filters_(FilterChain::ForCallers(parts)),
        executor_(executor),
        gate_(gate),
        advisor_(advisor),
        explainer_(explainer) {}

  void Handle(http::Exchange* exchange) override;

 private:
  void HandleCall(http::Exchange* exchange);
  void HandleEntry(http::Exchange* exchange);
  void HandleOutcome(http::Exchange* exchange);
  CallEnd RunCall(Call* call, AnswerSink* sink);
  void ReplyError(http::Exchange* exchange, const RequestId& request,
                  const CallEnd& end);
  http::Headers ResponseHeaders(const RequestId& request, Outcome outcome,
                                ResultCode code) const;

  const NodeParts* parts_;
  FilterChain filters_;
  CallExecutor* executor_;
  ClaimGate* gate_;
  const EntryAdvisor* advisor_;
  Explainer* explainer_;
};

}  // namespace basilvalve::gateway
