#include "BasilvalveSoak/soak.h"

namespace basilvalve::soak {
namespace {

// Callers wait longer than any route's timeout.
constexpr Millis kPatience{3000};
// One caller in this many leaves early, within this time.
constexpr uint64_t kLeavesOneIn = 12;
constexpr uint64_t kLeavesWithinMs = 400;
// After the last call, until nothing may be in hand any more.
constexpr Millis kAftermath{9000};
constexpr uint64_t kLongestUpsetMs = 2000;
// Of ten faults, one strikes an instance and one the desired state.
constexpr uint64_t kFaultKinds = 10;

}  // namespace

Soak::Soak(const SoakSettings& settings)
    : settings_(settings),
      random_(settings.seed),
      fleet_(&loop_, &ledger_, &random_, settings.size),
      call_timer_(&loop_),
      fault_timer_(&loop_) {}

Result<void> Soak::Run() {
  if (auto started = fleet_.Start(); !started) {
    return started;
  }
  CallOn();
  FaultOn();
  loop_.RunUntil([] { return false; }, settings_.length);
  is_over_ = true;
  loop_.RunUntil([this] { return callers_.empty(); }, kAftermath);
  ledger_.Check(loop_.Now());
  ledger_.CheckEnd();
  return {};
}

void Soak::CallOn() {
  if (is_over_) {
    return;
  }
  ledger_.Check(loop_.Now());
  size_t instance = random_.Below(fleet_.instance_count());
  if (auto entry = fleet_.EntryOf(instance)) {
    SoakCall call;
    call.id = RequestId("c" + std::to_string(++calls_));
    call.kind = static_cast<CallKind>(random_.Below(3));
    call.entry = *entry;
    call.patience = kPatience;
    if (random_.Below(kLeavesOneIn) == 0) {
      call.leaves_after =
          Millis(1 + static_cast<int64_t>(random_.Below(kLeavesWithinMs)));
    }
    auto caller = std::make_unique<SoakCaller>(
        &loop_, &ledger_, std::move(call), [this](SoakCaller* ended) {
          // From the loop: the caller is still on the stack.
          loop_.Post([this, ended] { callers_.erase(ended); });
        });
    callers_[caller.get()] = std::move(caller);
  }
  call_timer_.Set(Micros(1'000'000 / settings_.calls_per_second),
                  [this] { CallOn(); });
}

void Soak::FaultOn() {
  if (is_over_) {
    return;
  }
  ++faults_;
  switch (random_.Below(kFaultKinds)) {
    case 0:
      StrikeInstance();
      break;
    case 1:
      fleet_.ChangeState();
      break;
    default:
      StrikeUpstream();
  }
  auto pause = static_cast<uint64_t>(settings_.fault_pause.count());
  fault_timer_.Set(Millis(static_cast<int64_t>(random_.Below(2 * pause))),
                   [this] { FaultOn(); });
}

void Soak::StrikeInstance() {
  size_t instance = random_.Below(fleet_.instance_count());
  if (random_.Below(2) == 0) {
    fleet_.StopInstance(instance);
  } else {
    KillInstance(instance);
  }
}

void Soak::KillInstance(size_t instance) {
  auto entry = fleet_.EntryOf(instance);
  if (!entry) {
    return;
  }
  for (const auto& [raw, caller] : callers_) {
    if (caller->call().entry == *entry) {
      ledger_.OnEntryKilled(caller->call().id);
    }
  }
  fleet_.KillInstance(instance);
}

void Soak::StrikeUpstream() {
  size_t upstream = random_.Below(fleet_.upstream_count());
  auto mood =
      static_cast<Mood>(random_.Below(static_cast<uint64_t>(Mood::kCount)));
  switch (random_.Below(6)) {
    case 0:
      fleet_.CrashUpstream(upstream);
      break;
    case 1:
      fleet_.RetireUpstream(upstream);
      break;
    default:
      fleet_.Upset(
          upstream, mood,
          Millis(static_cast<int64_t>(100 + random_.Below(kLongestUpsetMs))));
  }
}

}  // namespace basilvalve::soak
