// Decides whether a model call runs locally, is forwarded to another region or
// is refused.
#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/random.h"
#include "Core/Common/result.h"
#include "Core/Document/service_document.h"
#include "Core/Routing/chooser.h"
#include "Core/Routing/forwarding_controller.h"
#include "Core/Routing/link_budget.h"

namespace basilvalve::routing {

/// Routing parameters of a deployment.
struct RoutingSettings {
  ChooserKind chooser = ChooserKind::kPredicted;
  ForwardingSettings forwarding;
  LinkSettings link;
  /// A call is refused if its predicted time to first token exceeds this
  /// fraction of the remaining deadline.
  double max_deadline_fraction = 0.9;
  /// See PeerLoadModel::share.
  double peer_load_share = 0.25;
};

/// A region that the service document permits, with its last published state.
struct RemoteOption {
  RegionId region;
  /// Predicted time to first token within the region.
  Micros predicted_first_token{0};
  /// One-way delay of the link.
  Micros link_delay{0};
  /// When the last partition from the region healed; zero if there was none.
  Instant reconnected_at;
};

/// Everything a routing decision depends on.
struct RouteInput {
  Instant now;
  std::vector<Candidate> local;
  std::vector<RemoteOption> remote;
  PromptSize prompt;
  /// Hash of the prompt's prefix.
  uint64_t prefix_hash = 0;
  double body_bytes = 0;
  /// Target time to first token from the service document.
  Micros target{0};
  /// Time left until the call's deadline.
  Micros remaining{0};
  /// Live instances of this region.
  size_t instances = 1;
  /// False for a call forwarded from another region, which must not be
  /// forwarded again.
  bool may_forward = true;
};

enum class RouteKind { kLocal, kRemote, kRefuse };

/// A routing decision and the predictions behind it.
struct RouteDecision {
  RouteKind kind = RouteKind::kRefuse;
  /// Index into RouteInput's `local` or `remote`, depending on `kind`.
  size_t index = 0;
  ResultCode refusal = ResultCode::kNoUpstream;
  Micros predicted_local{0};
  Micros predicted_remote{0};
  double cached_tokens = 0;
  Millis retry_after{0};

  /// The predictions as one line, for logs and `explain`. Thread safe.
  std::string Reason() const;
};

/// Routes model calls. Keeps the strategy's state, the forwarding ramps and the
/// link budget under one lock. Thread safe.
class Router {
 public:
  /// Routers with the same settings and seed make the same decisions for the
  /// same sequence of inputs.
  Router(const RoutingSettings& settings, uint64_t seed);

  /// Decides where a call runs, and takes link budget if it is forwarded.
  /// Thread safe.
  RouteDecision Route(const RouteInput& input);

 private:
  Micros MaxPredictedTime(const RouteInput& input) const;
  std::optional<size_t> ChooseRemote(const RouteInput& input, Micros local,
                                     RouteDecision* decision);

  RoutingSettings settings_;
  std::mutex mutex_;
  // Guarded by mutex_.
  Random random_;
  std::unique_ptr<Chooser> chooser_;
  ForwardingController forwarding_;
  LinkBudget link_;
};

}  // namespace basilvalve::routing
