// Records what responses and other instances say about upstreams' willingness.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "Core/Edge/call_dialect.h"
#include "Core/Edge/edge_metrics.h"
#include "Core/Flow/fleet_view.h"

namespace basilvalve::edge {

/// Passes what is said on to the upstreams' notices; logs and counts each
/// change. Not thread safe.
class NoticeRecorder {
 public:
  /// Called after the upstream began to leave or to pause, or stated a limit.
  using UnwillingFn = std::function<void(const UpstreamId&)>;

  /// `registry` and `metrics` outlive the recorder, which handles the changes
  /// of registrations from now on. Not movable.
  NoticeRecorder(flow::UpstreamRegistry* registry, EdgeMetrics* metrics,
                 UnwillingFn on_unwilling);
  ~NoticeRecorder();
  NoticeRecorder(const NoticeRecorder&) = delete;
  NoticeRecorder& operator=(const NoticeRecorder&) = delete;

  /// Records a response of the upstream's process that the notice is about, to
  /// a call sent at `sent_at`.
  void OnResponse(const UpstreamId& id, flow::UpstreamNotice* notice,
                  const ResponseInfo& response, Instant sent_at, Instant now);
  /// Records the value of kHopLeavingHeader in a response of an instance.
  /// Malformed text and upstreams of other regions are ignored.
  void OnHopLeaving(const std::string& text, Instant now);
  /// Records what an instance of this region reported.
  void OnReports(const std::vector<flow::LeavingReport>& reports, Instant now);
  void OnReports(const std::vector<flow::LimitReport>& reports, Instant now);
  /// What this instance reports to the others of its region.
  std::vector<flow::LeavingReport> Reports(Instant now) const;
  /// The same of limits, only as upstreams stated them to this instance: a
  /// report that is passed on again would seem younger each time.
  std::vector<flow::LimitReport> LimitReports(Instant now) const;

 private:
  void OnRegistered(const flow::Upstream& upstream, Instant now);
  void OnLeaving(const UpstreamId& id, flow::UpstreamNotice* notice,
                 flow::NoticeSource source, Instant said_at, Instant now);
  void OnLimit(const UpstreamId& id, flow::UpstreamNotice* notice,
               const flow::UpstreamNotice::LimitWord& word, Instant now);
  void Announce(const UpstreamId& id, const flow::UpstreamNotice& notice,
                const flow::UpstreamNotice::Word& word, Instant now);

  flow::UpstreamRegistry* registry_;
  EdgeMetrics* metrics_;
  UnwillingFn on_unwilling_;
};

}  // namespace basilvalve::edge
