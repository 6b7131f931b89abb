// Workers whose streams have neither a length nor chunks; one of them is
// killed in the middle of its streams.
#include <atomic>
#include <cstdio>
#include <thread>

#include "cases.h"
#include "client.h"

namespace review {
namespace {

constexpr int kWorkers = 4;
constexpr int kStreams = 60;
constexpr int64_t kEvents = 48;
constexpr int64_t kKillAfterMs = 2500;

}  // namespace

int PlayUnframed(const CaseSettings& settings) {
  Record record(settings.record_path);
  Deployment deployment(settings.gateway, settings.folder, &record);
  if (!deployment.StartStore()) {
    return kCannotRun;
  }
  deployment.store().Put(
      "op/config",
      DesiredState(
          1,
          nlohmann::json::array({RouteRow("/report/", "streaming", "serve",
                                          12000, 1200, 2, true)}),
          nlohmann::json::array({ModelService("serve")})));
  for (int i = 0; i < kWorkers; ++i) {
    WorkerPlace worker{"i-model-" + std::to_string(i),
                       "serve",
                       "perez-a",
                       "127.0.0.1",
                       0,
                       64,
                       "framing=unframed events=" + std::to_string(kEvents)};
    if (!deployment.StartWorker(&worker)) {
      return kCannotRun;
    }
  }
  GatewayPlace gateway{"edge-perez-a-1", settings.ip, "perez-a"};
  if (!deployment.StartGateway(&gateway, {{"perez-a", "perez"}}, 260) ||
      !deployment.AwaitReady(gateway, 15'000)) {
    return kCannotRun;
  }
  SleepMs(1500);

  std::atomic<int> whole = 0;
  std::atomic<int> broken_off = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> short_but_complete = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kStreams; ++i) {
    clients.emplace_back([&, i] {
      SleepMs(i * 10);
      Request request{
          "report" + std::to_string(i), "/report/", 12000, 2400, 400, i % 40};
      auto channel = Channel::Connect(gateway.ip, gateway.front, 1000);
      record.Line("sent " + request.id);
      Message answer;
      bool has_head = channel && Ask(channel.get(), request, &answer);
      size_t events = EventsIn(answer.body);
      record.Line("answer " + request.id + " " +
                  std::to_string(answer.Status()) + " events " +
                  std::to_string(events) + " of " + std::to_string(kEvents) +
                  (answer.is_complete ? " complete" : " broken off") + " by " +
                  answer.Field("x-instance-id"));
      if (!has_head || (answer.Status() == 200 && !answer.is_complete)) {
        ++broken_off;
      } else if (answer.Status() != 200) {
        ++refused;
      } else if (EventIdsIn(answer.body).size() <
                     static_cast<size_t>(kEvents) ||
                 EventIdsIn(answer.body).back() != kEvents) {
        ++short_but_complete;
      } else {
        ++whole;
      }
    });
  }
  SleepMs(kKillAfterMs);
  if (settings.has_trouble) {
    record.Line("kill worker i-model-0");
    deployment.Kill("i-model-0");
  }
  for (std::thread& it : clients) {
    it.join();
  }
  std::string result =
      "streams " + std::to_string(kStreams) + ": whole " +
      std::to_string(whole) + ", complete before their last piece " +
      std::to_string(short_but_complete) + ", broken off " +
      std::to_string(broken_off) + ", refused " + std::to_string(refused);
  record.Line(result);
  printf("%s\n", result.c_str());
  if (whole == 0) {
    return kCannotRun;
  }
  return short_but_complete > 0 ? kBroken : kHeld;
}

}  // namespace review
