#include "BasilvalveProcessSoak/client_load.h"

#include <algorithm>

namespace basilvalve::process_soak {
namespace {

constexpr size_t kMaxBodyBytes = size_t{4} * 1024 * 1024;
// A client that has read this much is offered a large window by the kernel.
constexpr size_t kEagerBytes = size_t{2} * 1024 * 1024;
constexpr int64_t kStepMs = 20;

}  // namespace

void ClientLoad::AddCase(std::string name, const MachineLimits& limits,
                         std::function<void()> play) {
  cases_.push_back({std::move(name), std::move(play), limits});
}

void ClientLoad::AddCommonCases(const MachineLimits& limits) {
  AddCase("large-chunks", limits,
          [this] { crowd_->SendLargeChunks(kOrdinaryPart); });
  AddCase("small-chunks", limits,
          [this] { crowd_->SendSmallChunks(kOrdinaryPart); });
  AddCase("announced-bodies", limits,
          [this] { crowd_->SendAnnouncedBodies(kOrdinaryPart); });
  AddCase("unannounced-bodies", limits,
          [this] { crowd_->SendUnannouncedBodies(kOrdinaryPart); });
  AddCase("slow-heads", limits,
          [this] { crowd_->SendSlowHeads(kOrdinaryPart); });
  AddCase("returning-heads", limits,
          [this] { crowd_->ReturnWithSlowHeads(kOrdinaryPart); });
  AddCase("slow-readers", limits,
          [this] { crowd_->ReadSlowly(kLargePart, kEagerBytes); });
}

std::string ClientLoad::CaseNames() const {
  std::string names;
  for (const Case& it : cases_) {
    names += (names.empty() ? "" : ", ") + it.name;
  }
  return names;
}

Result<UsageReport> ClientLoad::Run(const std::string& name) {
  auto row = std::find_if(cases_.begin(), cases_.end(),
                          [&](const Case& it) { return it.name == name; });
  if (row == cases_.end()) {
    return Fail(ResultCode::kSettingInvalid, "cases are " + CaseNames());
  }
  if (!Start(*row)) {
    Stop();
    return Fail(ResultCode::kSettingInvalid, "the process does not start");
  }
  const pid_t first_pid = pid();
  ProcessWatch watch(first_pid);
  AwaitServed(Callers());
  int64_t memory_before = watch.PeakMemory();
  MoveCrowd(Callers());
  row->play();
  watch.WaitUntilSteady();
  AwaitServed(Callers());
  for (const CrowdTarget& it : OtherAddresses()) {
    AwaitServed(it);
  }
  UsageReport report = ReportUsage(watch, row->limits, memory_before);
  crowd_->Leave();
  report.violations.insert(report.violations.end(), violations_.begin(),
                           violations_.end());
  if (pid() != first_pid) {
    report.violations.emplace_back("the process was started again");
  }
  Stop();
  return report;
}

bool ClientLoad::IsServed(const CrowdTarget& target) {
  ClientCrowd client(target);
  HttpMessage answer;
  auto channel = client.Connect();
  return channel &&
         channel->Write(target.head("GET", kOrdinaryPart) + "\r\n") &&
         channel->Read(&answer, NowMs() + kCallMs, true) == ReadStatus::kDone &&
         answer.Status() == 200;
}

void ClientLoad::AwaitServed(const CrowdTarget& target) {
  while (!IsServed(target)) {
    SleepMs(kStepMs);
  }
}

void ClientLoad::SendOneLargeRequest(const std::string& part) {
  auto channel = crowd_->Connect();
  HttpMessage answer;
  if (!channel ||
      !channel->Write(crowd_->target().head("POST", part) +
                      "Content-Length: " + std::to_string(kMaxBodyBytes) +
                      "\r\n\r\n" + std::string(kMaxBodyBytes, 'b')) ||
      channel->Read(&answer, NowMs() + kCallMs, true) != ReadStatus::kDone ||
      answer.Status() != 200) {
    violations_.emplace_back("a request within the limits is not served");
  }
  crowd_->Add(std::move(channel));
}

}  // namespace basilvalve::process_soak
