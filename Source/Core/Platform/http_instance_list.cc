#include "Core/Platform/http_instance_list.h"

#include "Core/Http/http_client.h"

namespace basilvalve::platform {
namespace {

constexpr size_t kMaxResponseBytes = 16 << 20;
constexpr int kOk = 200;

}  // namespace

std::unique_ptr<HttpInstanceList> HttpInstanceList::Create(
    http::Endpoint endpoint, Millis timeout) {
  return std::unique_ptr<HttpInstanceList>(
      new HttpInstanceList(std::move(endpoint), timeout));
}

Result<std::vector<ListedInstance>> HttpInstanceList::Read(
    const RegionId& region) {
  std::string query = region.empty() ? "" : "region=" + region.value();
  http::Request request{"GET", "/instances", query, {}, ""};
  http::CallTimeouts timeouts{timeout_, timeout_, timeout_};
  http::BufferedResponse response =
      ExecuteBuffered(endpoint_, request, timeouts, kMaxResponseBytes);
  if (!response.Is(kOk)) {
    return Fail(ResultCode::kIo, "instance list: " + response.report.detail);
  }
  return ParseInstanceList(response.body);
}

}  // namespace basilvalve::platform
