#include "Core/Gateway/filters.h"

#include <algorithm>

#include "Core/Gateway/model_request.h"

namespace basilvalve::gateway {
namespace {

constexpr size_t kMaxHops = 3;

/// Rejects new calls while this instance drains.
class DrainFilter : public Filter {
 public:
  explicit DrainFilter(const NodeParts* parts) : parts_(parts) {}
  std::string_view name() const override { return "drain"; }

  Result<void> Apply(Call* /*call*/) override {
    if (parts_->draining->load()) {
      return Fail(ResultCode::kDraining, "this instance is draining");
    }
    return {};
  }

 private:
  const NodeParts* parts_;
};

/// Finds the active document of the service.
class LookupFilter : public Filter {
 public:
  explicit LookupFilter(const NodeParts* parts) : parts_(parts) {}
  std::string_view name() const override { return "lookup"; }

  Result<void> Apply(Call* call) override {
    call->record = parts_->catalog->Find(call->service);
    if (call->record != nullptr) {
      const document::ServiceDocument& document = call->record->document;
      call->is_model = document.upstream == document::UpstreamKind::kModel;
      return {};
    }
    // An empty catalog means that this instance has just started, and a
    // forwarded call means that the sender has a document. In both cases the
    // service may exist, so the result is kNoDocument, not kUnknownService.
    if (parts_->catalog->Digest().empty() ||
        call->origin != CallOrigin::kCaller) {
      return Fail(ResultCode::kNoDocument,
                  "this instance has no active document of the service");
    }
    return Fail(ResultCode::kUnknownService, "no document names the service");
  }

 private:
  const NodeParts* parts_;
};

/// Authenticates the caller by its bearer key.
class IdentityFilter : public Filter {
 public:
  std::string_view name() const override { return "identity"; }

  Result<void> Apply(Call* call) override {
    std::optional<std::string> label =
        call->record->document.MatchKey(call->bearer);
    // Cleared so that the key cannot reach a log or another instance.
    call->bearer.clear();
    if (!label) {
      return Fail(ResultCode::kUnauthenticated,
                  "the bearer key matches no key of the service");
    }
    call->caller_label = *label;
    return {};
  }
};

/// Enforces data residency and prevents forwarding loops. Runs on the instance
/// that receives the request and again on each instance it is forwarded to.
class PlacementFilter : public Filter {
 public:
  explicit PlacementFilter(const NodeParts* parts) : parts_(parts) {}
  std::string_view name() const override { return "placement"; }

  Result<void> Apply(Call* call) override {
    bool already_visited = std::find(call->hops.begin(), call->hops.end(),
                                     parts_->self) != call->hops.end();
    if (already_visited || call->hops.size() >= kMaxHops) {
      return Fail(ResultCode::kLoopRefused,
                  "forwarding loop or hop limit reached");
    }
    bool revisits_region = call->origin == CallOrigin::kOtherRegion &&
                           std::find(call->regions.begin(), call->regions.end(),
                                     parts_->region) != call->regions.end();
    if (revisits_region) {
      return Fail(
          ResultCode::kLoopRefused,
          "forwarding loop: the request has visited this region before");
    }
    if (!call->record->document.Permits(parts_->region)) {
      return Fail(
          ResultCode::kResidencyForbidden,
          "the document does not permit region " + parts_->region.value());
    }
    if (call->record->version < call->sender_document_version) {
      // The sender's newer document may have stricter residency rules.
      return Fail(ResultCode::kNoDocument,
                  "the active document is older than the sender's");
    }
    return {};
  }

 private:
  const NodeParts* parts_;
};

/// Enforces the body limit, determines whether the call is idempotent, and
/// parses the model, prompt and streaming flag of a model call.
class PromptFilter : public Filter {
 public:
  std::string_view name() const override { return "prompt"; }

  Result<void> Apply(Call* call) override {
    const document::ServiceDocument& document = call->record->document;
    if (static_cast<int64_t>(call->body.size()) >
        document.limits.max_body_bytes) {
      return Fail(ResultCode::kBodyTooLarge,
                  "the body exceeds the document's limit");
    }
    call->idempotent = document.IsIdempotent(call->method, call->path);
    if (!call->is_model) {
      return {};
    }
    Result<ModelRequest> request = ModelRequest::Parse(call->body);
    if (!request) {
      return tl::make_unexpected(request.error());
    }
    call->model = std::move(request->model);
    call->prompt = std::move(request->prompt);
    call->streaming = request->streaming;
    if (!document.AllowsModel(call->model)) {
      return Fail(ResultCode::kModelNotAllowed,
                  "the document does not permit the model");
    }
    return {};
  }
};

/// Sets the deadline by which the response must be complete: the document's, or
/// the requested one if it is shorter.
class DeadlineFilter : public Filter {
 public:
  explicit DeadlineFilter(const NodeParts* parts) : parts_(parts) {}
  std::string_view name() const override { return "deadline"; }

  Result<void> Apply(Call* call) override {
    Micros timeout = call->record->document.targets.deadline;
    if (call->requested_timeout.count() > 0) {
      timeout = std::min(timeout, call->requested_timeout);
    }
    call->deadline = call->arrived + timeout;
    if (call->Remaining(parts_->clock->Now()).count() <= 0) {
      return Fail(ResultCode::kDeadlineTooShort,
                  "the deadline has already passed");
    }
    return {};
  }

 private:
  const NodeParts* parts_;
};

}  // namespace

FilterChain FilterChain::ForCallers(const NodeParts* parts) {
  FilterChain chain(parts);
  chain.filters_.push_back(std::make_unique<DrainFilter>(parts));
  chain.filters_.push_back(std::make_unique<LookupFilter>(parts));
  chain.filters_.push_back(std::make_unique<IdentityFilter>());
  chain.filters_.push_back(std::make_unique<PlacementFilter>(parts));
  chain.filters_.push_back(std::make_unique<PromptFilter>());
  chain.filters_.push_back(std::make_unique<DeadlineFilter>(parts));
  return chain;
}

FilterChain FilterChain::ForPeers(const NodeParts* parts) {
  FilterChain chain(parts);
  chain.filters_.push_back(std::make_unique<LookupFilter>(parts));
  chain.filters_.push_back(std::make_unique<PlacementFilter>(parts));
  chain.filters_.push_back(std::make_unique<DeadlineFilter>(parts));
  chain.body_filters_.push_back(std::make_unique<PromptFilter>());
  return chain;
}

Result<void> FilterChain::Apply(Call* call) { return ApplyAll(filters_, call); }

Result<void> FilterChain::ApplyBody(Call* call) {
  return ApplyAll(body_filters_, call);
}

Result<void> FilterChain::ApplyAll(const Filters& filters, Call* call) {
  for (const std::unique_ptr<Filter>& it : filters) {
    Result<void> passed = it->Apply(call);
    parts_->journal->AddStep(call->id, it->name(), passed ? "pass" : "refuse",
                             passed ? "" : passed.error().message);
    if (!passed) {
      return passed;
    }
  }
  return {};
}

}  // namespace basilvalve::gateway
