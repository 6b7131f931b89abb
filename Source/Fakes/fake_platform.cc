#include "Fakes/fake_platform.h"

#include <nlohmann/json.hpp>

namespace basilvalve::fakes {

using nlohmann::json;

Result<std::vector<platform::ListedInstance>> FakeInstanceList::Read(
    const RegionId& region) {
  std::lock_guard lock(mutex_);
  std::vector<platform::ListedInstance> found;
  for (const platform::ListedInstance& it : instances_) {
    if (region.empty() || it.region == region) {
      found.push_back(it);
    }
  }
  return found;
}

void FakeInstanceList::Set(std::vector<platform::ListedInstance> instances) {
  std::lock_guard lock(mutex_);
  instances_ = std::move(instances);
}

void FakeInstanceList::Handle(http::Exchange* exchange) {
  const http::Request& request = exchange->request();
  if (request.method == "PUT") {
    auto parsed = platform::ParseInstanceList(request.body);
    if (!parsed) {
      exchange->Reply(400, {}, parsed.error().message);
      return;
    }
    Set(std::move(*parsed));
    exchange->Reply(200, {}, "ok");
    return;
  }
  auto found = Read(RegionId(http::QueryValue(request.query, "region")));
  exchange->Reply(200, {{"Content-Type", "application/json"}},
                  platform::FormatInstanceList(*found));
}

Result<void> FakeClientDirectory::Publish(
    const RegionId& region, Sequence sequence,
    const std::vector<http::Endpoint>& entries) {
  std::lock_guard lock(mutex_);
  Listing& listing = listings_[region];
  if (listing.sequence > sequence) {
    return Fail(ResultCode::kVersionConflict,
                "a list with a newer sequence number is already published");
  }
  listing = {sequence, entries};
  return {};
}

std::vector<http::Endpoint> FakeClientDirectory::PublishedEntries(
    const RegionId& region) {
  std::lock_guard lock(mutex_);
  return listings_[region].entries;
}

void FakeClientDirectory::Handle(http::Exchange* exchange) {
  const http::Request& request = exchange->request();
  constexpr std::string_view kPrefix = "/clients/";
  if (!request.path.starts_with(kPrefix)) {
    exchange->Reply(404, {}, "no such path");
    return;
  }
  RegionId region(request.path.substr(kPrefix.size()));
  if (request.method == "PUT") {
    json body = json::parse(request.body, nullptr, /*allow_exceptions=*/false);
    std::vector<http::Endpoint> entries;
    for (const json& it : body.value("entries", json::array())) {
      http::Endpoint endpoint;
      if (http::ParseEndpoint(it.get<std::string>(), &endpoint)) {
        entries.push_back(endpoint);
      }
    }
    auto done =
        Publish(region, Sequence(body.value("sequence", uint64_t{0})), entries);
    exchange->Reply(done ? 200 : 409, {}, done ? "ok" : "older");
    return;
  }
  json list = json::array();
  for (const http::Endpoint& it : PublishedEntries(region)) {
    list.push_back(it.Text());
  }
  exchange->Reply(200, {{"Content-Type", "application/json"}},
                  json{{"entries", list}}.dump());
}

}  // namespace basilvalve::fakes
