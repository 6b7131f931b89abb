#include "Core/Platform/http_client_directory.h"

#include <nlohmann/json.hpp>

#include "Core/Http/http_client.h"

namespace basilvalve::platform {
namespace {

constexpr size_t kMaxResponseBytes = 64 << 10;
constexpr int kOk = 200;
constexpr int kConflict = 409;

}  // namespace

std::unique_ptr<HttpClientDirectory> HttpClientDirectory::Create(
    http::Endpoint endpoint, Millis timeout) {
  return std::unique_ptr<HttpClientDirectory>(
      new HttpClientDirectory(std::move(endpoint), timeout));
}

Result<void> HttpClientDirectory::Publish(
    const RegionId& region, Sequence sequence,
    const std::vector<http::Endpoint>& entries) {
  nlohmann::json body = {{"sequence", sequence.value()},
                         {"entries", nlohmann::json::array()}};
  for (const http::Endpoint& it : entries) {
    body["entries"].push_back(it.Text());
  }
  http::Request request{
      "PUT", "/clients/" + region.value(), "", {}, body.dump()};
  http::CallTimeouts timeouts{timeout_, timeout_, timeout_};
  http::BufferedResponse response =
      ExecuteBuffered(endpoint_, request, timeouts, kMaxResponseBytes);
  // A conflict means that another instance has already written a newer list.
  if (!response.Is(kOk) && !response.Is(kConflict)) {
    return Fail(ResultCode::kIo, "client directory: " + response.report.detail);
  }
  return {};
}

}  // namespace basilvalve::platform
