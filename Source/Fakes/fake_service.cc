#include "Fakes/fake_service.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <numeric>
#include <thread>

namespace basilvalve::fakes {

using nlohmann::json;

void FakeService::SetFault(ServiceFault fault) {
  std::lock_guard lock(mutex_);
  fault_ = fault;
}

int FakeService::RunCount(const std::string& body) const {
  std::lock_guard lock(mutex_);
  auto it = runs_.find(body);
  return it == runs_.end() ? 0 : it->second;
}

int FakeService::MaxRunCount() const {
  std::lock_guard lock(mutex_);
  int max = 0;
  for (const auto& [body, runs] : runs_) {
    max = std::max(max, runs);
  }
  return max;
}

int FakeService::TotalRunCount() const {
  std::lock_guard lock(mutex_);
  return std::accumulate(
      runs_.begin(), runs_.end(), 0,
      [](int sum, const auto& it) { return sum + it.second; });
}

void FakeService::Settle(http::Exchange* exchange) {
  ServiceFault fault = ServiceFault::kNone;
  int runs = 0;
  {
    std::lock_guard lock(mutex_);
    std::swap(fault, fault_);
    bool runs_now =
        fault == ServiceFault::kNone || fault == ServiceFault::kRunThenDrop;
    runs = runs_now ? ++runs_[exchange->request().body] : 0;
  }
  if (fault == ServiceFault::kDraining) {
    exchange->Reply(503, {{"X-Draining", "1"}}, "draining");
    return;
  }
  std::this_thread::sleep_for(call_time_);
  if (fault != ServiceFault::kNone) {
    exchange->Abort();
    return;
  }
  json body = {{"settled", true}, {"runs", runs}};
  exchange->Reply(200, {{"Content-Type", "application/json"}}, body.dump());
}

void FakeService::Handle(http::Exchange* exchange) {
  const std::string& path = exchange->request().path;
  if (path == "/settle") {
    Settle(exchange);
  } else if (path == "/balance") {
    exchange->Reply(200, {{"Content-Type", "application/json"}},
                    R"({"balance":1250})");
  } else if (path == "/v1/load") {
    exchange->Reply(200, {{"Content-Type", "application/json"}},
                    R"({"running":0,"slots":64})");
  } else if (path == "/fake/runs") {
    json body = {{"total", TotalRunCount()}, {"max", MaxRunCount()}};
    exchange->Reply(200, {{"Content-Type", "application/json"}}, body.dump());
  } else if (path == "/fake/fault") {
    std::string code = http::QueryValue(exchange->request().query, "fault");
    SetFault(
        static_cast<ServiceFault>(std::clamp(std::atoi(code.c_str()), 0, 3)));
    exchange->Reply(200, {}, "ok");
  } else {
    exchange->Reply(404, {}, "no such path");
  }
}

}  // namespace basilvalve::fakes
