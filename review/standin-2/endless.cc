// Workers whose running streams go on with an event that does not end, until
// the caller closes. The platform ends a process that exceeds its memory.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <set>
#include <thread>

#include "cases.h"
#include "client.h"

namespace review {
namespace {

// A region of the small site: its model workers and their slots.
constexpr int kWorkers = 9;
constexpr int kSlots = 64;
constexpr int kStreams = kWorkers * kSlots - 16;
constexpr int kMemoryMb = 260;
constexpr int64_t kTroubleAfterMs = 9000;
constexpr int64_t kWatchMs = 8000;
constexpr int kSettling = 6;
constexpr int kMostLost = 3;

}  // namespace

int PlayEndless(const CaseSettings& settings) {
  Record record(settings.record_path);
  Deployment deployment(settings.gateway, settings.folder, &record);
  if (!deployment.StartStore()) {
    return kCannotRun;
  }
  deployment.store().Put(
      "op/config",
      DesiredState(
          1,
          nlohmann::json::array(
              {RouteRow("/report/", "streaming", "serve", 12000, 1200, 2, true),
               RouteRow("/settle/", "non_idempotent", "api", 3000, 300, 1,
                        false)}),
          nlohmann::json::array({ModelService("serve"), PlainService("api")})));
  int64_t trouble_at = UnixMs() + kTroubleAfterMs;
  std::string behaviour = "events=150 interval=80";
  if (settings.has_trouble) {
    behaviour +=
        " endless_rate=200000 endless_at=" + std::to_string(trouble_at);
  }
  for (int i = 0; i < kWorkers; ++i) {
    WorkerPlace worker{"i-model-" + std::to_string(i),
                       "serve",
                       "muc-a",
                       "127.0.0.1",
                       0,
                       kSlots,
                       behaviour};
    if (!deployment.StartWorker(&worker)) {
      return kCannotRun;
    }
  }
  WorkerPlace api{"i-api-0", "api", "muc-a", "127.0.0.1", 0, 6, "work=300"};
  GatewayPlace gateway{"edge-muc-a-1", settings.ip, "muc-a"};
  if (!deployment.StartWorker(&api) ||
      !deployment.StartGateway(&gateway, {{"muc-a", "muenchen"}}, kMemoryMb) ||
      !deployment.AwaitReady(gateway, 15'000)) {
    return kCannotRun;
  }
  SleepMs(1500);

  std::atomic<bool> is_over = false;
  std::atomic<int> begun = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> settled = 0;
  std::mutex lost_mutex;
  std::set<std::string> lost;
  std::vector<std::thread> clients;
  for (int i = 0; i < kStreams; ++i) {
    clients.emplace_back([&, i] {
      SleepMs(i * 6);
      for (int n = 0; !is_over && UnixMs() < trouble_at; ++n) {
        Request request{"c" + std::to_string(i) + "e" + std::to_string(n),
                        "/report/",
                        12000,
                        2400,
                        400,
                        i % 40};
        auto channel = Channel::Connect(gateway.ip, gateway.front, 1000);
        Message answer;
        record.Line("sent " + request.id);
        bool has_head = channel && channel->Write(TextOf(request)) &&
                        channel->Read(&answer, NowMs() + 12'500);
        record.Line("answer " + request.id + " " +
                    (has_head ? std::to_string(answer.Status()) : "none") +
                    (answer.is_complete ? " complete" : " broken off"));
        if (answer.Status() == 200) {
          ++begun;
        } else {
          ++refused;
          SleepMs(300);
        }
      }
    });
  }
  for (int i = 0; i < kSettling; ++i) {
    clients.emplace_back([&, i] {
      auto channel = Channel::Connect(gateway.ip, gateway.front, 1000);
      bool was_answered = false;
      for (int n = 0; !is_over; ++n) {
        Request request{"d" + std::to_string(i) + "e" + std::to_string(n),
                        "/settle/", 3000};
        Message answer;
        record.Line("sent " + request.id);
        bool has_answer = channel && Ask(channel.get(), request, &answer) &&
                          answer.is_complete;
        record.Line("answer " + request.id + " " +
                    (has_answer ? std::to_string(answer.Status())
                                : "none, the channel ended"));
        if (has_answer) {
          settled += answer.Status() == 200 ? 1 : 0;
          was_answered = true;
          continue;
        }
        if (was_answered) {
          std::lock_guard lock(lost_mutex);
          lost.insert(request.id);
        }
        was_answered = false;
        SleepMs(100);
        channel = Channel::Connect(gateway.ip, gateway.front, 1000);
      }
    });
  }

  double most = 0;
  int ended_for_memory = 0;
  int64_t until = trouble_at + kWatchMs;
  while (UnixMs() < until) {
    SleepMs(20);
    double mb = deployment.MemoryMb(gateway.name);
    most = std::max(most, mb);
    if (mb > kMemoryMb) {
      ++ended_for_memory;
      record.Line("the platform ends " + gateway.name + ": " +
                  std::to_string(mb) + " MB of " + std::to_string(kMemoryMb));
      deployment.Kill(gateway.name);
      SleepMs(1000);
      if (!deployment.StartGateway(&gateway, {{"muc-a", "muenchen"}},
                                   kMemoryMb)) {
        return kCannotRun;
      }
    }
  }
  is_over = true;
  for (std::thread& it : clients) {
    it.join();
  }
  // Requests that were passed on to the sound worker before the channel ended.
  int passed_on = 0;
  std::ifstream runs(settings.folder + "/i-api-0.log");
  std::string word;
  while (runs >> word) {
    passed_on += lost.count(word) > 0 ? 1 : 0;
  }
  char text[256];
  snprintf(text, sizeof(text),
           "most memory %.0f MB of %d, ended for it %d times; streams begun "
           "%d, refused %d; settled %d; passed on to a sound worker and not "
           "answered %d",
           most, kMemoryMb, ended_for_memory, begun.load(), refused.load(),
           settled.load(), passed_on);
  record.Line(text);
  printf("%s\n", text);
  if (settled == 0 || begun < kStreams / 2) {
    return kCannotRun;
  }
  return passed_on > kMostLost ? kBroken : kHeld;
}

}  // namespace review
