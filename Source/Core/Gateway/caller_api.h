// HTTP API for callers.
#pragma once

#include "Core/Gateway/at_most_once_runner.h"
#include "Core/Gateway/entry_advisor.h"
#include "Core/Gateway/explainer.h"
#include "Core/Gateway/filters.h"
#include "Core/Http/http_server.h"

namespace basilvalve::gateway {

/// Handles the HTTP requests of callers: calls, entry advice with tickets, and
/// the outcomes of earlier requests. Thread safe.
class CallerApi : public http::Handler {
 public:
  CallerApi(const NodeParts* parts, CallExecutor* executor,
            AtMostOnceRunner* at_most_once_runner, const EntryAdvisor* advisor,
            Explainer* explainer)
      : parts_(parts),
        filters_(FilterChain::ForCallers(parts)),
        executor_(executor),
        at_most_once_runner_(at_most_once_runner),
        advisor_(advisor),
        explainer_(explainer) {}

  void Handle(http::Exchange* exchange) override;

 private:
  void HandleCall(http::Exchange* exchange);
  void HandleEntry(http::Exchange* exchange);
  void HandleOutcome(http::Exchange* exchange);
  CallResult RunCall(Call* call, CallResponseSink* sink);
  void ReplyError(http::Exchange* exchange, const RequestId& request,
                  const CallResult& result);
  http::Headers ResponseHeaders(const RequestId& request, Outcome outcome,
                                ResultCode code) const;

  const NodeParts* parts_;
  FilterChain filters_;
  CallExecutor* executor_;
  AtMostOnceRunner* at_most_once_runner_;
  const EntryAdvisor* advisor_;
  Explainer* explainer_;
};

}  // namespace basilvalve::gateway
