// Decides where a model call runs: here, in another region, or nowhere.
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

/// Weights that differ between deployments.
struct RoutingSettings {
  ChooserKind chooser = ChooserKind::kPredicted;
  ForwardingSettings away;
  LinkSettings link;
  /// Part of the remaining deadline that the prediction may use up.
  double deadline_part = 0.9;
  /// Assumed share of other instances' traffic, see CrowdModel.
  double crowd_share = 0.25;
};

/// Another region that the document permits, as last heard of.
struct RemoteOption {
  RegionId region;
  Micros first_token{0};
  /// One-way delay of the link.
  Micros delay{0};
  Instant returned;
};

/// All that a decision is made from.
struct RouteInput {
  Instant now;
  std::vector<Candidate> local;
  std::vector<RemoteOption> remote;
  PromptShape prompt;
  uint64_t prefix_hash = 0;
  double body_bytes = 0;
  Micros target{0};
  Micros remaining{0};
  size_t instances = 1;
  /// False for a call that came from another region, which must not leave
  /// again.
  bool may_forward = true;
};

enum class RouteKind { kLocal, kRemote, kRefuse };

/// A decision with its reasons.
struct RouteDecision {
  RouteKind kind = RouteKind::kRefuse;
  /// Index into `local` or `remote`.
  size_t index = 0;
  ResultCode refusal = ResultCode::kNoUpstream;
  Micros predicted_local{0};
  Micros predicted_remote{0};
  double cached_tokens = 0;
  Millis retry_after{0};

  /// One line for logs and `explain`. Thread safe.
  std::string Reason() const;
};

/// Holds the state that decisions share; the state is small and under one lock,
/// and each instance of the class serves one shard of threads. Thread safe.
class Router {
 public:
  /// Two routers with the same settings and seed make the same decisions.
  Router(const RoutingSettings& settings, uint64_t seed);

  /// Decides. Thread safe.
  RouteDecision Route(const RouteInput& input);

 private:
  Micros AllowedTime(const RouteInput& input) const;
  std::optional<size_t> ChooseRemote(const RouteInput& input, Micros local,
                                     RouteDecision* decision);

  RoutingSettings settings_;
  std::mutex mutex_;
  // Guarded by mutex_.
  Random random_;
  std::unique_ptr<Chooser> chooser_;
  ForwardingController away_;
  LinkBudget link_;
};

}  // namespace basilvalve::routing
