// The workers of a zone go down and come back together, cold and under their
// ids, do so once more while they begin their first answers, and are sound from
// then on.
#include <fstream>

#include "cases.h"
#include "route_watch.h"

namespace review {
namespace {

constexpr int64_t kDownMs = 4500;
// Streams end with their channel. A worker that has just started is cold, and
// slow.
constexpr const char* kBehaviour =
    "framing=unframed events=3 interval=80 cold=3000 first=2000 first_for=6000";
constexpr int64_t kAwaitRunsMs = 15'000;
constexpr int64_t kIntoAnswerMs = 100;

int RunsIn(const std::string& path) {
  std::ifstream in(path);
  int n = 0;
  for (std::string line; std::getline(in, line);) {
    ++n;
  }
  return n;
}

}  // namespace

int PlayCrashLoop(const CaseSettings& settings) {
  RouteWatch watch(settings, kBehaviour);
  if (!watch.Start()) {
    return kCannotRun;
  }
  watch.BeginTrouble();
  if (!settings.has_trouble) {
    return watch.Judge();
  }
  auto kill_worker = [&](const WorkerPlace& it) {
    watch.record().Line("kill worker " + it.id);
    watch.deployment().Kill(it.id);
  };
  auto runs_of = [&](const WorkerPlace& it) {
    return RunsIn(settings.folder + "/" + it.id + ".log");
  };
  std::vector<WorkerPlace>& workers = watch.workers();
  std::vector<int> before;
  for (WorkerPlace& it : workers) {
    kill_worker(it);
    before.push_back(runs_of(it));
  }
  SleepMs(kDownMs);
  for (WorkerPlace& it : workers) {
    watch.deployment().StartWorker(&it);
  }
  // They crash together while each begins its first two answers.
  auto have_begun = [&] {
    for (size_t i = 0; i < workers.size(); ++i) {
      if (runs_of(workers[i]) < before[i] + 2) {
        return false;
      }
    }
    return true;
  };
  int64_t until = NowMs() + kAwaitRunsMs;
  while (!have_begun()) {
    if (NowMs() > until) {
      return kCannotRun;
    }
    SleepMs(20);
  }
  SleepMs(kIntoAnswerMs);
  for (const WorkerPlace& it : workers) {
    kill_worker(it);
  }
  SleepMs(kDownMs);
  for (WorkerPlace& it : workers) {
    watch.deployment().StartWorker(&it);
  }
  return watch.Judge();
}

}  // namespace review
