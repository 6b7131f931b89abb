#include "BasilvalveSoak/soak.h"

namespace basilvalve::soak {
namespace {

// Longer than any route's timeout, so that the route's timeout applies first.
constexpr Millis kCallTimeout{3000};
// One caller in this many disconnects early, within the delay below.
constexpr uint64_t kDisconnectOneIn = 12;
constexpr uint64_t kMaxDisconnectDelayMs = 400;
// Time after the last call in which all calls in flight have to end.
constexpr Millis kCompletionTimeout{9000};
constexpr uint64_t kFaultDurationSpreadMs = 2000;
// Of ten faults, one hits an instance, one changes the desired state and eight
// hit an upstream.
constexpr uint64_t kFaultWeightTotal = 10;

}  // namespace

Soak::Soak(const SoakSettings& settings)
    : settings_(settings),
      random_(settings.seed),
      fleet_(&loop_, &checker_, &random_, settings.size),
      call_timer_(&loop_),
      fault_timer_(&loop_) {}

Result<void> Soak::Run() {
  if (auto started = fleet_.Start(); !started) {
    return started;
  }
  SendNextCall();
  InjectNextFault();
  loop_.RunUntil([] { return false; }, settings_.duration);
  is_finished_ = true;
  loop_.RunUntil([this] { return callers_.empty(); }, kCompletionTimeout);
  checker_.CheckPendingCalls(loop_.Now());
  checker_.CheckAtEnd();
  return {};
}

void Soak::SendNextCall() {
  if (is_finished_) {
    return;
  }
  checker_.CheckPendingCalls(loop_.Now());
  size_t instance = random_.Below(fleet_.instance_count());
  if (auto entry = fleet_.EntryAddress(instance)) {
    SoakCall call;
    call.id = RequestId("c" + std::to_string(++calls_sent_));
    call.kind = static_cast<CallKind>(random_.Below(3));
    call.entry = *entry;
    call.timeout = kCallTimeout;
    if (random_.Below(kDisconnectOneIn) == 0) {
      call.disconnects_after = Millis(
          1 + static_cast<int64_t>(random_.Below(kMaxDisconnectDelayMs)));
    }
    auto caller = std::make_unique<SoakCaller>(
        &loop_, &checker_, std::move(call), [this](SoakCaller* ended) {
          // Deferred to the loop: the caller is still on the call stack.
          loop_.Post([this, ended] { callers_.erase(ended); });
        });
    callers_[caller.get()] = std::move(caller);
  }
  call_timer_.Set(Micros(1'000'000 / settings_.calls_per_second),
                  [this] { SendNextCall(); });
}

void Soak::InjectNextFault() {
  if (is_finished_) {
    return;
  }
  ++faults_;
  switch (random_.Below(kFaultWeightTotal)) {
    case 0:
      DisruptInstance();
      break;
    case 1:
      fleet_.PublishNewState();
      break;
    default:
      DisruptUpstream();
  }
  auto mean_interval_ms =
      static_cast<uint64_t>(settings_.mean_fault_interval.count());
  fault_timer_.Set(
      Millis(static_cast<int64_t>(random_.Below(2 * mean_interval_ms))),
      [this] { InjectNextFault(); });
}

void Soak::DisruptInstance() {
  size_t instance = random_.Below(fleet_.instance_count());
  if (random_.Below(2) == 0) {
    fleet_.StopInstance(instance);
  } else {
    KillInstance(instance);
  }
}

void Soak::KillInstance(size_t instance) {
  auto entry = fleet_.EntryAddress(instance);
  if (!entry) {
    return;
  }
  for (const auto& [raw, caller] : callers_) {
    if (caller->call().entry == *entry) {
      checker_.OnEntryInstanceKilled(caller->call().id);
    }
  }
  fleet_.KillInstance(instance);
}

void Soak::DisruptUpstream() {
  size_t upstream = random_.Below(fleet_.upstream_count());
  auto mode = static_cast<FaultMode>(
      random_.Below(static_cast<uint64_t>(FaultMode::kCount)));
  switch (random_.Below(6)) {
    case 0:
      fleet_.CrashUpstream(upstream);
      break;
    case 1:
      fleet_.DrainUpstream(upstream);
      break;
    default:
      fleet_.SetUpstreamFault(
          upstream, mode,
          Millis(static_cast<int64_t>(100 +
                                      random_.Below(kFaultDurationSpreadMs))));
  }
}

}  // namespace basilvalve::soak
