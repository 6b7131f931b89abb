// One part of a prompt, the first of five shared ones, crashes each worker that
// begins to write an answer on it.
#include <atomic>
#include <cstdio>
#include <fstream>
#include <thread>

#include "cases.h"
#include "client.h"

namespace review {
namespace {

constexpr int kWorkers = 4;
constexpr int kSoundClients = 8;
constexpr const char* kDeadlyPart = "dead";
constexpr const char* kSoundPart = "b0";
constexpr int64_t kBetweenMs = 4000;
constexpr int kDeadlyRequests = 16;
// The worker is back after some seconds.
constexpr int64_t kDownMs = 3000;
// stable_window_ms of the sheet.
constexpr int64_t kStableMs = 5000;
constexpr size_t kCrashes = 5;
constexpr int kMostArrivals = 3;

// Ids are hexadecimal.
std::string PromptOf(const std::string& first, int number) {
  return first + ":500,b1:100,b2:100,b3:100,b4:100,c" +
         std::to_string(1000 + number) + ":1500";
}

}  // namespace

int PlayDeadly(const CaseSettings& settings) {
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
  std::vector<WorkerPlace> workers;
  int starts = 0;
  auto start = [&](WorkerPlace* place) {
    place->id = "i-model-" + std::to_string(++starts);
    return deployment.StartWorker(place);
  };
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(
        {"", "serve", "perez-a", "127.0.0.1", 0, 64,
         std::string("events=12 interval=80 deadly=") + kDeadlyPart});
    if (!start(&workers.back())) {
      return kCannotRun;
    }
  }
  GatewayPlace gateway{"edge-perez-a-1", settings.ip, "perez-a"};
  if (!deployment.StartGateway(&gateway, {{"perez-a", "perez"}}, 260) ||
      !deployment.AwaitReady(gateway, 15'000)) {
    return kCannotRun;
  }
  SleepMs(1500);

  std::atomic<bool> is_over = false;
  std::atomic<int> sound = 0;
  std::atomic<int> broken_off = 0;
  std::atomic<int> number = 0;
  std::vector<std::thread> clients;
  auto ask = [&](const std::string& id, const std::string& first) {
    Request request{
        id, "/report/", 12000, 2400, 96, 0, PromptOf(first, ++number)};
    auto channel = Channel::Connect(gateway.ip, gateway.front, 1000);
    record.Line("sent " + id);
    Message answer;
    bool has_head = channel && Ask(channel.get(), request, &answer);
    record.Line("answer " + id + " " +
                (has_head ? std::to_string(answer.Status()) : "none") +
                (answer.is_complete ? " complete" : " broken off"));
    return answer;
  };
  for (int i = 0; i < kSoundClients; ++i) {
    clients.emplace_back([&, i] {
      for (int n = 0; !is_over; ++n) {
        Message answer =
            ask("s" + std::to_string(i) + "n" + std::to_string(n), kSoundPart);
        if (answer.Status() == 200) {
          (answer.is_complete ? sound : broken_off) += 1;
        } else {
          SleepMs(300);
        }
        SleepMs(100);
      }
    });
  }
  clients.emplace_back([&] {
    SleepMs(kBetweenMs);
    for (int n = 0; settings.has_trouble && n < kDeadlyRequests; ++n) {
      int64_t next = NowMs() + kBetweenMs;
      ask("x" + std::to_string(n), kDeadlyPart);
      SleepMs(next - NowMs());
    }
  });

  std::vector<int64_t> crashes;
  std::vector<int64_t> back_at(workers.size(), 0);
  int64_t until = NowMs() + kBetweenMs * (kDeadlyRequests + 2);
  while (NowMs() < until) {
    SleepMs(10);
    for (size_t i = 0; i < workers.size(); ++i) {
      if (back_at[i] == 0 && !deployment.IsRunning(workers[i].id)) {
        crashes.push_back(NowMs());
        back_at[i] = NowMs() + kDownMs;
      } else if (back_at[i] != 0 && NowMs() >= back_at[i]) {
        // It comes back at its address under a new id.
        deployment.store().Remove("servers/" + workers[i].id);
        start(&workers[i]);
        back_at[i] = 0;
      }
    }
  }
  is_over = true;
  for (std::thread& it : clients) {
    it.join();
  }
  // Arrivals of requests with the part, and those too late after the fifth
  // crash.
  int arrivals = 0;
  int late = 0;
  for (int i = 1; i <= starts; ++i) {
    std::ifstream in(settings.folder + "/i-model-" + std::to_string(i) +
                     ".log");
    std::string word;
    std::string id;
    int64_t at_ms = 0;
    while (in >> word >> id >> at_ms) {
      if (word == "run" && id[0] == 'x') {
        ++arrivals;
        late += crashes.size() >= kCrashes &&
                        at_ms > crashes[kCrashes - 1] + kStableMs
                    ? 1
                    : 0;
      }
    }
  }
  char text[256];
  snprintf(text, sizeof(text),
           "crashes %zu; arrivals of requests with the part %d, of these "
           "later than %d ms after the fifth crash %d (%d allowed); sound "
           "streams whole %d, broken off %d",
           crashes.size(), arrivals, static_cast<int>(kStableMs), late,
           kMostArrivals, sound.load(), broken_off.load());
  record.Line(text);
  printf("%s\n", text);
  if (sound == 0) {
    return kCannotRun;
  }
  return late > kMostArrivals ? kBroken : kHeld;
}

}  // namespace review
