#include "BasilvalveBench/control_plane_costs.h"

#include <malloc.h>

#include <cstdio>
#include <ctime>
#include <map>
#include <memory>
#include <vector>

#include "Core/Common/hash.h"
#include "Core/Document/document_catalog.h"
#include "Core/Membership/control_codec.h"
#include "Core/Membership/member_table.h"
#include "Core/Routing/chooser.h"

namespace basilvalve::bench {
namespace {

using membership::ControlMessage;
using membership::MemberInfo;
using membership::MemberTable;
using membership::OutgoingMessage;

constexpr Millis kTick{100};
constexpr Millis kWarmUp{10000};
constexpr Millis kMeasuredTime{60000};
constexpr double kMicrosPerSecond = 1e6;

double CpuMicros() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC * kMicrosPerSecond;
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

void PrintRow(const char* quantity, double size, double value) {
  std::printf("%s,%.0f,%.3f\n", quantity, size, value);
}

MemberInfo MakeMemberInfo(size_t index) {
  MemberInfo info;
  info.id = InstanceId("entry-munich-" + std::to_string(index));
  info.region = RegionId("munich");
  info.incarnation = Incarnation(1796363212515);
  info.peer = {"10.100.100." + std::to_string(index % 250),
               static_cast<uint16_t>(index + 1)};
  info.caller = info.peer;
  return info;
}

/// Member tables of all instances of a region on virtual time. Messages pass
/// through the codec that the sockets use and arrive one tick later.
class SimulatedRegion {
 public:
  explicit SimulatedRegion(size_t size)
      : keyring_(*Keyring::FromSetting("bench-key-00000001")) {
    for (size_t i = 0; i < size; ++i) {
      tables_.push_back(std::make_unique<MemberTable>(
          membership::MembershipSettings{}, MakeMemberInfo(i), i + 1));
      for (size_t j = 0; j < size; ++j) {
        tables_[i]->AddDiscovered(MakeMemberInfo(j), now_);
      }
    }
  }

  void RunFor(Millis time) {
    for (Instant end = now_ + time; now_ < end; now_ += kTick) {
      std::vector<std::string> datagrams;
      std::vector<size_t> targets;
      datagrams.swap(datagrams_);
      targets.swap(targets_);
      for (size_t i = 0; i < datagrams.size(); ++i) {
        Result<ControlMessage> message =
            membership::DecodeControl(datagrams[i], keyring_);
        Enqueue(tables_[targets[i]]->OnMessage(*message, now_));
      }
      for (auto& it : tables_) {
        Enqueue(it->Tick(now_));
      }
    }
  }

  double sent_bytes = 0;
  double sent_messages = 0;

 private:
  void Enqueue(const std::vector<OutgoingMessage>& outgoing) {
    for (const OutgoingMessage& it : outgoing) {
      datagrams_.push_back(membership::EncodeControl(it.message, keyring_));
      targets_.push_back(it.to.port - 1U);
      sent_bytes += static_cast<double>(datagrams_.back().size());
      sent_messages += 1;
    }
  }

  Keyring keyring_;
  Instant now_{Seconds(1)};
  std::vector<std::unique_ptr<MemberTable>> tables_;
  std::vector<std::string> datagrams_;
  std::vector<size_t> targets_;
};

void MeasureMembership(size_t size) {
  double heap_bytes = HeapBytes();
  SimulatedRegion region(size);
  region.RunFor(kWarmUp);
  heap_bytes = HeapBytes() - heap_bytes;
  region.sent_bytes = 0;
  region.sent_messages = 0;
  double cpu_us = CpuMicros();
  region.RunFor(kMeasuredTime);
  cpu_us = CpuMicros() - cpu_us;
  double instance_seconds = static_cast<double>(size) *
                            static_cast<double>(kMeasuredTime.count()) / 1000;
  auto n = static_cast<double>(size);
  PrintRow("membership_bytes_per_s", n, region.sent_bytes / instance_seconds);
  PrintRow("membership_messages_per_s", n,
           region.sent_messages / instance_seconds);
  PrintRow("membership_cpu_us_per_s", n, cpu_us / instance_seconds);
  PrintRow("membership_heap_bytes", n, heap_bytes / n);
}

document::RecordPtr MakeRecord(size_t index, uint64_t version) {
  document::ServiceDocument document;
  document.name = ServiceName("service-" + std::to_string(index));
  document.workspace = WorkspaceId("workspace-" + std::to_string(index));
  for (int i = 0; i < 4; ++i) {
    document.keys.push_back(
        {"key-" + std::to_string(i), Sha256Hex(std::to_string(i))});
  }
  document.models = {ModelName("model-a"), ModelName("model-b")};
  for (int i = 0; i < 6; ++i) {
    document.permitted_regions.emplace_back("region-" + std::to_string(i));
    document.call_rules.push_back(
        {"POST", "/call/" + std::to_string(i), i % 2 == 0});
  }
  return std::make_shared<document::DocumentRecord>(document::DocumentRecord{
      DocumentVersion(version), ChangeId("0123456789abcdef"),
      ChangeId("fedcba9876543210"), std::move(document)});
}

void MeasureDocuments(size_t size) {
  constexpr int kRounds = 200;
  VirtualClock clock;
  double heap_bytes = HeapBytes();
  document::DocumentCatalog catalog(&clock);
  for (size_t i = 0; i < size; ++i) {
    catalog.ApplyIfNewer(MakeRecord(i, 1));
  }
  auto n = static_cast<double>(size);
  PrintRow("document_heap_bytes", n, (HeapBytes() - heap_bytes) / n);
  double cpu_us = CpuMicros();
  uint64_t sum = 0;
  for (int i = 0; i < kRounds; ++i) {
    sum += catalog.DigestHash();
  }
  PrintRow("document_digest_cpu_us", n,
           (CpuMicros() - cpu_us) / kRounds + (sum == 1 ? 1 : 0));
  std::string text = document::FormatRecord(*MakeRecord(0, 2));
  PrintRow("document_record_bytes", n, static_cast<double>(text.size()));
  cpu_us = CpuMicros();
  for (int i = 0; i < kRounds; ++i) {
    Result<document::DocumentRecord> record = document::ParseRecord(text);
    record->version = DocumentVersion(static_cast<uint64_t>(i) + 3);
    catalog.ApplyIfNewer(
        std::make_shared<document::DocumentRecord>(std::move(*record)));
  }
  PrintRow("document_apply_cpu_us", n, (CpuMicros() - cpu_us) / kRounds);
}

void MeasureSummary(size_t models) {
  constexpr int kRounds = 2000;
  Keyring keyring = *Keyring::FromSetting("bench-key-00000001");
  ControlMessage message;
  message.kind = membership::ControlKind::kSummary;
  message.sender = MakeMemberInfo(0).id;
  membership::RegionSummary summary;
  summary.region = RegionId("munich");
  for (size_t i = 0; i < models; ++i) {
    summary.models.push_back(
        {ModelName("model-" + std::to_string(i)), 250, 80});
  }
  summary.services = {ServiceName("payments"), ServiceName("bookings")};
  summary.contacts = {MakeMemberInfo(0), MakeMemberInfo(1), MakeMemberInfo(2)};
  message.summaries = {summary};
  std::string datagram = membership::EncodeControl(message, keyring);
  PrintRow("summary_bytes", static_cast<double>(models),
           static_cast<double>(datagram.size()));
  double cpu_us = CpuMicros();
  for (int i = 0; i < kRounds; ++i) {
    datagram = membership::EncodeControl(
        *membership::DecodeControl(datagram, keyring), keyring);
  }
  PrintRow("summary_cpu_us", static_cast<double>(models),
           (CpuMicros() - cpu_us) / kRounds);
}

void MeasureChoice(size_t size) {
  constexpr int kRounds = 20000;
  std::vector<routing::Candidate> candidates(size);
  for (size_t i = 0; i < size; ++i) {
    candidates[i].slots = 16;
    candidates[i].prefill_rate = 4000;
    candidates[i].running = static_cast<double>(i % 20);
  }
  auto chooser = routing::CreateChooser(routing::ChooserKind::kPredicted);
  Random random(1);
  double cpu_us = CpuMicros();
  size_t sum = 0;
  for (int i = 0; i < kRounds; ++i) {
    sum += chooser->Choose({candidates, {1000}, {8, 0.25}, 1}, &random)->index;
  }
  PrintRow("choice_cpu_us", static_cast<double>(size),
           (CpuMicros() - cpu_us) / kRounds + (sum == 1 ? 1e-9 : 0));
}

}  // namespace

int PrintControlPlaneCosts() {
  std::printf("quantity,size,value\n");
  for (size_t size : {3, 8, 32, 128}) {
    MeasureMembership(size);
  }
  for (size_t size : {37, 120, 370}) {
    MeasureDocuments(size);
  }
  for (size_t size : {1, 4, 16}) {
    MeasureSummary(size);
  }
  for (size_t size : {20, 100, 400}) {
    MeasureChoice(size);
  }
  return 0;
}

}  // namespace basilvalve::bench
