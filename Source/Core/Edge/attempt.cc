#include "Core/Edge/attempt.h"

namespace basilvalve::edge {

Attempt Attempt::ToUpstream(EdgeComponents* components,
                            const flow::Placement& placement,
                            const ServiceName& service,
                            const flow::CallSize& size,
                            const flow::ServiceTraits& traits) {
  Instant now = components->loop->Now();
  flow::Upstream& upstream = *placement.upstream;
  Attempt attempt;
  attempt.upstream = placement.upstream;
  attempt.forecast = placement.forecast;
  attempt.endpoint = {upstream.record.host, upstream.record.port};
  attempt.load_share.running = 1;
  if (size.IsModelCall()) {
    attempt.load_share.unread_tokens = placement.unread_tokens;
    attempt.load_share.held_tokens = size.tokens_in + size.tokens_out;
    components->registry->OnPromptSent(
        upstream, size.parts, placement.unread_tokens, traits.memory_tokens);
  }
  if (upstream.own.running == 0) {
    upstream.heard = now;
  }
  upstream.own.Add(attempt.load_share);
  upstream.last_given = now;
  upstream.breaker.OnStart(now);
  components->registry->OnSend(service, now);
  components->cold_gate->OnSent(upstream.record.id, now);
  return attempt;
}

Attempt Attempt::ToPeer(const flow::InstanceRecord& peer,
                        const net::Endpoint& endpoint) {
  Attempt attempt;
  attempt.peer = peer.id;
  attempt.region = peer.region;
  attempt.endpoint = endpoint;
  return attempt;
}

void Attempt::OnPrefillDone() {
  if (upstream) {
    upstream->own.unread_tokens -= load_share.unread_tokens;
    load_share.unread_tokens = 0;
  }
}

void Attempt::ReleaseLoad() {
  if (!upstream) {
    return;
  }
  flow::LoadShare& own = upstream->own;
  own.running -= load_share.running;
  own.unread_tokens -= load_share.unread_tokens;
  own.held_tokens -= load_share.held_tokens;
  load_share = flow::LoadShare();
}

void Attempt::RecordResult(bool has_failed, Instant now) {
  if (upstream) {
    upstream->failures.Note(has_failed, now);
  }
}

}  // namespace basilvalve::edge
