#include "route_watch.h"

#include <algorithm>
#include <cstdio>

#include "client.h"

namespace review {
namespace {

constexpr int kStreamClients = 30;
constexpr int kPlainClients = 6;
constexpr int64_t kStartMs = 1500;
// config_apply_ms and recover_s of the sheet.
constexpr int64_t kApplyMs = 3000;
constexpr int64_t kRecoverMs = 12'000;
constexpr int64_t kCalmMs = 6000;
constexpr int64_t kJudgedMs = 15'000;
constexpr int kLeastRequests = 20;
constexpr int64_t kPauseMs = 40;
// Clients that are refused come back after a while, as they are told.
constexpr int64_t kRefusedPauseMs = 500;

}  // namespace

RouteWatch::RouteWatch(const CaseSettings& settings,
                       const std::string& behaviour)
    : record_(settings.record_path),
      deployment_(settings.gateway, settings.folder, &record_),
      behaviour_(behaviour),
      gateway_{"edge-aug-a-1", settings.ip, "aug-a"} {}

RouteWatch::~RouteWatch() { EndClients(); }

bool RouteWatch::Start() {
  if (!deployment_.StartStore()) {
    return false;
  }
  nlohmann::json routes = nlohmann::json::array(
      {RouteRow("/balance/", "idempotent", "api", 3000, 300, 2, false)});
  nlohmann::json services =
      nlohmann::json::array({ModelService("serve"), PlainService("api")});
  deployment_.store().Put("op/config", DesiredState(1, routes, services));
  for (int i = 0; i < kWorkers; ++i) {
    workers_.push_back({"i-model-" + std::to_string(i), "serve", "aug-a",
                        "127.0.0.1", 0, 64, behaviour_});
    if (!deployment_.StartWorker(&workers_.back())) {
      return false;
    }
  }
  WorkerPlace api{"i-api-0", "api", "aug-a", "127.0.0.1", 0, 6, "work=15"};
  if (!deployment_.StartWorker(&api) ||
      !deployment_.StartGateway(&gateway_, {{"aug-a", "augsburg"}}, 260) ||
      !deployment_.AwaitReady(gateway_, 15'000)) {
    return false;
  }
  SleepMs(kStartMs);
  nlohmann::json added =
      RouteRow("/explain/", "streaming", "serve", 3000, 800, 1, false);
  added["priority"] = 0;
  routes.push_back(added);
  deployment_.store().Put("op/config", DesiredState(2, routes, services));
  record_.Line("version 2 adds /explain/");
  SleepMs(kApplyMs);
  for (int i = 0; i < kStreamClients + kPlainClients; ++i) {
    clients_.emplace_back([this, i] { RunClient(i); });
  }
  SleepMs(kCalmMs);
  return true;
}

void RouteWatch::RunClient(int number) {
  bool is_stream = number < kStreamClients;
  SleepMs(number * 13);
  for (int n = 0; !is_over_; ++n) {
    Request request{"c" + std::to_string(number) + "n" + std::to_string(n),
                    is_stream ? "/explain/" : "/balance/",
                    3000,
                    is_stream ? 2368 : 0,
                    is_stream ? 8 * kEvents : 0,
                    number};
    int phase = phase_;
    auto channel = Channel::Connect(gateway_.ip, gateway_.front, 1000);
    record_.Line("sent " + request.id);
    Message answer;
    bool has_head = channel && Ask(channel.get(), request, &answer);
    bool is_served =
        has_head && answer.Status() == 200 && answer.is_complete &&
        (!is_stream || EventsIn(answer.body) == static_cast<size_t>(kEvents));
    record_.Line(
        "answer " + request.id + " " +
        (has_head ? std::to_string(answer.Status()) : "none") +
        (answer.is_complete ? " complete" : " broken off") +
        (is_stream ? " events " + std::to_string(EventsIn(answer.body)) : ""));
    ++asked_[phase][is_stream ? 0 : 1];
    served_[phase][is_stream ? 0 : 1] += is_served ? 1 : 0;
    SleepMs(answer.Status() == 503 ? kRefusedPauseMs : kPauseMs);
  }
}

void RouteWatch::EndClients() {
  is_over_ = true;
  for (std::thread& it : clients_) {
    it.join();
  }
  clients_.clear();
}

int RouteWatch::Judge() {
  SleepMs(kRecoverMs);
  phase_ = 2;
  SleepMs(kJudgedMs);
  EndClients();
  char text[256];
  snprintf(text, sizeof(text),
           "before: added route %d of %d, first route %d of %d served; from "
           "%d s after the trouble: added route %d of %d, first route %d of %d",
           served_[0][0].load(), asked_[0][0].load(), served_[0][1].load(),
           asked_[0][1].load(), static_cast<int>(kRecoverMs / 1000),
           served_[2][0].load(), asked_[2][0].load(), served_[2][1].load(),
           asked_[2][1].load());
  record_.Line(text);
  printf("%s\n", text);
  if (served_[0][0] < asked_[0][0] / 2 || served_[2][1] == 0) {
    return kCannotRun;
  }
  double first = static_cast<double>(served_[2][1]) / asked_[2][1];
  double added =
      static_cast<double>(served_[2][0]) / std::max(1, asked_[2][0].load());
  return asked_[2][0] >= kLeastRequests && added < first / 4 ? kBroken : kHeld;
}

}  // namespace review
