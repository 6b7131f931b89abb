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
    attempt.share.unread_tokens = placement.unread_tokens;
    attempt.share.held_tokens = size.tokens_in + size.tokens_out;
    parts->registry->OnPromptSent(upstream, size.parts, placement.unread_tokens,
                                  traits.memory_tokens);
  }
  if (upstream.own.running == 0) {
    upstream.heard = now;
  }
  upstream.own.Add(attempt.share);
  upstream.last_given = now;
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
    upstream->own.unread_tokens -= share.unread_tokens;
    share.unread_tokens = 0;
  }
}

void Attempt::ReleaseShare() {
  if (!upstream) {
    return;
  }
  flow::LoadShare& own = upstream->own;
  own.running -= share.running;
  own.unread_tokens -= share.unread_tokens;
  own.held_tokens -= share.held_tokens;
  share = flow::LoadShare();
}

void Attempt::NoteEnd(bool has_failed, Instant now) {
  if (upstream) {
    upstream->failures.Note(has_failed, now);
  }
}

}  // namespace basilvalve::edge
