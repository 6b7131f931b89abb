// Decides which calls are hedged: sent to a second upstream as well while the
// first has not responded.
#pragma once

#include <map>
#include <optional>

#include "Core/Edge/call_planner.h"
#include "Core/Flow/hedge_budget.h"
#include "Core/Flow/hedge_delay.h"

namespace basilvalve::edge {

/// Holds the region's budget of hedges and what decides on one. Not thread
/// safe.
class HedgePlanner {
 public:
  /// Pre: `share` is in [0, 1], 0 turns hedging off. `components` outlives the
  /// planner.
  HedgePlanner(EdgeComponents* components, double share)
      : components_(components), is_enabled_(share > 0), budget_(share) {}

  /// Whether the call may be hedged: an idempotent plain call of a caller.
  bool IsEligible(const CallContext& context, const CallParams& params) const;
  /// Counts an eligible call that is sent to its first upstream.
  void OnFirstSend(const ServiceName& service);
  /// How long it waits for its first byte before it is hedged.
  Micros DelayOf(const CallContext& context) const;
  /// Records that the first attempt of an eligible call got its first byte, or
  /// was given up for its hedge.
  void OnFirstByte(const ServiceName& service, Micros took);
  /// Records that an upstream or this instance refused a call of the service.
  void OnRefusal(const ServiceName& service);
  /// Chooses the second upstream of an eligible call and takes the hedge from
  /// both budgets; nullopt if there is none, or it would add to an overload.
  /// `is_permitted`: the route and the time left permit one more attempt. Pre:
  /// the times of `progress` are up to date.
  std::optional<flow::Placement> Choose(const CallContext& context,
                                        const CallParams& params,
                                        const CallProgress& progress,
                                        const UpstreamId& first,
                                        bool is_permitted);
  flow::HedgeBudget& budget() { return budget_; }

 private:
  bool IsLoaded(const ServiceName& service, Instant now) const;
  bool HasRefused(const ServiceName& service, Instant now) const;
  /// The best other upstream, if it can respond within the target.
  std::optional<flow::Placement> PlaceInTime(const CallContext& context,
                                             const CallParams& params,
                                             CallProgress progress,
                                             const UpstreamId& first) const;

  EdgeComponents* components_;
  bool is_enabled_;
  flow::HedgeBudget budget_;
  flow::HedgeDelay delay_;
  std::map<ServiceName, Instant> last_refusals_;
};

}  // namespace basilvalve::edge
