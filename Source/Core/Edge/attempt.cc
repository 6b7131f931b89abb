#include "Core/Edge/attempt.h"

namespace basilvalve::edge {

Attempt Attempt::Here(EdgeParts* parts, const flow::Placement& placement,
                      const ServiceName& service, const flow::CallSize& size,
                      const flow::ServiceTraits& traits) {
  Instant now = parts->loop->Now();
  flow::Upstream& upstream = *placement.upstream;
  Attempt attempt;
  attempt.upstream = placement.upstream;
  attempt.forecast = placement.forecast;
  attempt.endpoint = {upstream.record.host, upstream.record.port};
  attempt.share.running = 1;
  if (size.IsModelCall()) {
    attempt.share.prefill_tokens = placement.prefill_tokens;
    attempt.share.reserved_tokens = size.tokens_in + size.tokens_out;
    parts->registry->OnPromptSent(
        upstream, size.parts, placement.prefill_tokens, traits.memory_tokens);
  }
  if (upstream.own_load.running == 0) {
    upstream.last_received_at = now;
  }
  upstream.own_load.Add(attempt.share);
  upstream.last_assigned_at = now;
  upstream.breaker.OnStart(now);
  parts->registry->OnSend(service, now);
  parts->cold_gate->OnSent(upstream.record.id, now);
  return attempt;
}

Attempt Attempt::Away(const flow::InstanceRecord& peer,
                      const net::Endpoint& endpoint) {
  Attempt attempt;
  attempt.peer = peer.id;
  attempt.region = peer.region;
  attempt.endpoint = endpoint;
  return attempt;
}

void Attempt::OnPromptRead() {
  if (upstream) {
    upstream->own_load.prefill_tokens -= share.prefill_tokens;
    share.prefill_tokens = 0;
  }
}

void Attempt::ReleaseShare() {
  if (!upstream) {
    return;
  }
  flow::LoadShare& own_load = upstream->own_load;
  own_load.running -= share.running;
  own_load.prefill_tokens -= share.prefill_tokens;
  own_load.reserved_tokens -= share.reserved_tokens;
  share = flow::LoadShare();
}

void Attempt::NoteEnd(bool has_failed, Instant now) {
  if (upstream) {
    upstream->failures.Record(has_failed, now);
  }
}

}  // namespace basilvalve::edge
