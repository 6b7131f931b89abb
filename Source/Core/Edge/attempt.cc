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
  attempt.notice = upstream.notice;
  attempt.forecast = placement.forecast;
  attempt.endpoint = {upstream.record.host, upstream.record.port};
  attempt.load_share.running = 1;
  if (size.IsModelCall()) {
    attempt.load_share.prefill_tokens = placement.prefill_tokens;
    attempt.load_share.reserved_tokens = size.tokens_in + size.tokens_out;
    components->registry->OnPromptSent(
        upstream, size.parts, placement.prefill_tokens, traits.memory_tokens);
  }
  if (upstream.own_load.running == 0) {
    upstream.last_received_at = now;
  }
  upstream.own_load.Add(attempt.load_share);
  upstream.last_assigned_at = now;
  upstream.breaker.OnStart(now);
  components->registry->OnSend(service, now);
  components->send_limiter->OnSent(upstream.record.id, now);
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
    upstream->own_load.prefill_tokens -= load_share.prefill_tokens;
    load_share.prefill_tokens = 0;
  }
}

void Attempt::OnRefused(EdgeComponents* components,
                        const ResponseInfo& response,
                        const flow::CallSize& size) {
  bool is_full = upstream && head.status == 503 && !size.IsModelCall() &&
                 !response.is_leaving;
  if (!is_full) {
    return;
  }
  components->registry->OnFull(
      *upstream,
      response.load ? std::optional(response.load->waiting) : std::nullopt,
      components->loop->Now());
  components->metrics->CountFullRefusal();
}

void Attempt::LearnServiceTime(flow::UpstreamRegistry* registry,
                               const flow::CallSize& size, Instant now) {
  if (upstream && !size.IsModelCall() && head.status / 100 == 2) {
    registry->LearnServiceTime(*upstream, now - sent_at, forecast.queue_factor,
                               now);
  }
}

void Attempt::ReleaseLoad() {
  if (!upstream) {
    return;
  }
  flow::LoadShare& own_load = upstream->own_load;
  own_load.running -= load_share.running;
  own_load.prefill_tokens -= load_share.prefill_tokens;
  own_load.reserved_tokens -= load_share.reserved_tokens;
  load_share = flow::LoadShare();
}

void Attempt::RecordResult(bool has_failed, Instant now) {
  if (upstream) {
    upstream->failures.Record(has_failed, now);
  }
}

}  // namespace basilvalve::edge
