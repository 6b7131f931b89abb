#include "Core/Gateway/explainer.h"

#include <nlohmann/json.hpp>
#include <set>

#include "Core/Gateway/cluster_view.h"
#include "Core/Gateway/request_parser.h"

namespace basilvalve::gateway {
namespace {

using nlohmann::json;

constexpr Millis kAskLimit{2000};
constexpr std::string_view kForward = "forward ";

json StepJson(const observe::JournalStep& step) {
  return {{"at_us", step.elapsed.count()},
          {"filter", step.filter},
          {"decision", step.decision},
          {"reason", step.reason}};
}

/// Instances to which a journal says that the request went.
std::set<std::string> Destinations(const json& entry) {
  std::set<std::string> names;
  for (const json& step : entry.value("steps", json::array())) {
    std::string decision = step.value("decision", "");
    if (decision.starts_with(kForward)) {
      names.insert(decision.substr(kForward.size()));
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
  Result<std::string> answer = peer_caller_->Ask(
      *member, peer::Purpose::kQueryOutcome, request, "", kAskLimit);
  return answer ? *answer : "null";
}

std::string Explainer::Explain(const RequestId& request) {
  json parts = json::array();
  Result<RequestOrigin> origin = ParseRequestId(request);
  if (origin) {
    std::set<std::string> wanted = {origin->instance.value()};
    std::set<std::string> asked;
    while (!wanted.empty()) {
      std::string name = *wanted.begin();
      wanted.erase(wanted.begin());
      asked.insert(name);
      json entry =
          json::parse(FetchJson(InstanceId(name), request), nullptr, false);
      if (!entry.is_object()) {
        continue;
      }
      for (const std::string& it : Destinations(entry)) {
        if (!asked.contains(it)) {
          wanted.insert(it);
        }
      }
      parts.push_back(std::move(entry));
    }
  }
  json explained = {{"request", request.value()},
                    {"instances", std::move(parts)}};
  return explained.dump();
}

Outcome Explainer::OutcomeOf(const RequestId& request) {
  Result<RequestOrigin> origin = ParseRequestId(request);
  if (!origin) {
    return Outcome::kUnknown;
  }
  bool mine = origin->instance == parts_->self;
  if (mine && origin->incarnation != parts_->incarnation) {
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
