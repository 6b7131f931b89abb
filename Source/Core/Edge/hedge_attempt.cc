#include "Core/Edge/hedge_attempt.h"

#include <utility>

namespace basilvalve::edge {

void HedgeAttempt::Send(Attempt attempt, std::string bytes) {
  attempt_ = std::move(attempt);
  ++call_.progress->sends;
  attempt_.number = call_.runs->OnAttempt();
  net::RequestKey key = KeyOf(call_.params->id);
  auto connection = call_.components->upstream_pool->Take(
      attempt_.endpoint, /*is_non_retryable_call=*/false, key);
  SendAttempt(call_.components, &attempt_, std::move(connection),
              std::move(bytes), key, this);
}

bool HedgeAttempt::IsUnsentTo(const flow::Upstream& upstream) const {
  return attempt_.is_active && attempt_.upstream.get() == &upstream &&
         !attempt_.connection->has_sent();
}

void HedgeAttempt::Cancel() {
  if (!attempt_.is_active) {
    return;
  }
  if (auto unsent = CancelAttempt(call_.components, &attempt_)) {
    call_.runs->OnNotRun(attempt_.number, *unsent);
  }
}

Attempt HedgeAttempt::HandOver(net::ClientObserver* to) {
  attempt_.connection->SetObserver(to);
  return std::exchange(attempt_, Attempt());
}

bool HedgeAttempt::OnHead(const net::MessageHead& head) {
  if (!ReadHead(call_.components, *call_.params, &attempt_, head)) {
    return false;
  }
  if (IsWinningHead(attempt_)) {
    call_.on_won();
  } else {
    OnUnwantedHead();
  }
  return true;
}

void HedgeAttempt::OnUnwantedHead() {
  if (attempt_.not_run_proof) {
    call_.runs->OnNotRun(attempt_.number, *attempt_.not_run_proof);
  } else {
    bool has_failed = attempt_.is_unverified || IsUpstreamError(attempt_);
    attempt_.RecordResult(has_failed, call_.components->loop->Now());
    // As for each attempt, a response closes the breaker whatever its status.
    attempt_.has_first_byte = true;
    attempt_.upstream->breaker.OnSuccess();
  }
  ExcludeUpstream();
  CancelAttempt(call_.components, &attempt_);
}

void HedgeAttempt::OnError(net::ClientError) {
  ExcludeUpstream();
  auto failure = FailAttempt(call_.components, *call_.params, &attempt_);
  if (failure.unsent) {
    call_.runs->OnNotRun(attempt_.number, *failure.unsent);
  }
}

void HedgeAttempt::ExcludeUpstream() {
  call_.progress->tried_upstreams.insert(attempt_.upstream->record.id);
}

}  // namespace basilvalve::edge
