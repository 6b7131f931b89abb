#include "Core/Gateway/explainer.h"

#include <nlohmann/json.hpp>
#include <set>

#include "Core/Gateway/cluster_view.h"
#include "Core/Gateway/request_parser.h"

namespace basilvalve::gateway {
namespace {

using nlohmann::json;

constexpr Millis kRequestTimeout{2000};
constexpr std::string_view kForwardPrefix = "forward ";

json StepJson(const observe::JournalStep& step) {
  return {{"at_us", step.elapsed.count()},
          {"filter", step.filter},
          {"decision", step.decision},
          {"reason", step.reason}};
}

/// Names of the instances to which the request was forwarded according to a
/// journal entry.
std::set<std::string> ForwardTargets(const json& entry) {
  std::set<std::string> names;
  for (const json& step : entry.value("steps", json::array())) {
    std::string decision = step.value("decision", "");
    if (decision.starts_with(kForwardPrefix)) {
      names.insert(decision.substr(kForwardPrefix.size()));
    }
    if (decision == "ticket of another instance") {
      names.insert(step.value("reason", ""));
    }
  }
  return names;
}

}  // namespace

std::string Explainer::LocalJson(const RequestId& request) const {
  std::optional<observe::JournalEntry> entry = parts_->journal->Find(request);
  if (!entry) {
    return "null";
  }
  json steps = json::array();
  for (const observe::JournalStep& it : entry->steps) {
    steps.push_back(StepJson(it));
  }
  Outcome outcome = entry->outcome.value_or(Outcome::kRunning);
  json local = {{"instance", parts_->self.value()},
                {"region", parts_->region.value()},
                {"service", entry->service},
                {"outcome", OutcomeName(outcome)},
                {"code", static_cast<int>(entry->code)},
                {"steps", std::move(steps)}};
  return local.dump();
}

std::string Explainer::FetchJson(const InstanceId& instance,
                                 const RequestId& request) {
  if (instance == parts_->self) {
    return LocalJson(request);
  }
  std::optional<membership::MemberInfo> member =
      parts_->cluster->Find(instance);
  if (!member) {
    return "null";
  }
  Result<std::string> response = peer_caller_->SendRequest(
      *member, peer::Purpose::kQueryOutcome, request, "", kRequestTimeout);
  return response ? *response : "null";
}

std::string Explainer::Explain(const RequestId& request) {
  json records = json::array();
  Result<RequestOrigin> origin = ParseRequestId(request);
  if (origin) {
    std::set<std::string> pending = {origin->instance.value()};
    std::set<std::string> visited;
    while (!pending.empty()) {
      std::string name = *pending.begin();
      pending.erase(pending.begin());
      visited.insert(name);
      json entry =
          json::parse(FetchJson(InstanceId(name), request), nullptr, false);
      if (!entry.is_object()) {
        continue;
      }
      for (const std::string& it : ForwardTargets(entry)) {
        if (!visited.contains(it)) {
          pending.insert(it);
        }
      }
      records.push_back(std::move(entry));
    }
  }
  json explained = {{"request", request.value()},
                    {"instances", std::move(records)}};
  return explained.dump();
}

Outcome Explainer::OutcomeOf(const RequestId& request) {
  Result<RequestOrigin> origin = ParseRequestId(request);
  if (!origin) {
    return Outcome::kUnknown;
  }
  bool is_origin = origin->instance == parts_->self;
  if (is_origin && origin->incarnation != parts_->incarnation) {
    return Outcome::kUnknown;
  }
  json entry =
      json::parse(FetchJson(origin->instance, request), nullptr, false);
  if (!entry.is_object()) {
    return Outcome::kUnknown;
  }
  return ParseOutcome(entry.value("outcome", "")).value_or(Outcome::kUnknown);
}

}  // namespace basilvalve::gateway
