// The gateway stands still for some seconds and goes on.
#include <csignal>

#include "cases.h"
#include "route_watch.h"

namespace review {
namespace {

// node_freeze of the site file lasts 4 to 6.9 s.
constexpr int64_t kFreezeMs = 6500;

}  // namespace

int PlayFreeze(const CaseSettings& settings) {
  RouteWatch watch(settings, "events=3 interval=80");
  if (!watch.Start()) {
    return kCannotRun;
  }
  watch.BeginTrouble();
  if (settings.has_trouble) {
    watch.deployment().Signal(watch.gateway().name, SIGSTOP);
    SleepMs(kFreezeMs);
    watch.deployment().Signal(watch.gateway().name, SIGCONT);
  }
  return watch.Judge();
}

}  // namespace review
