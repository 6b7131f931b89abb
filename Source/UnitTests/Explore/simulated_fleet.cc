#include "UnitTests/Explore/simulated_fleet.h"

#include <algorithm>

#include "Core/Claims/ticket.h"
#include "Core/Common/hash.h"
#include "Core/Gateway/text_sink.h"

namespace basilvalve::explore {
namespace {

using gateway::CallResult;
using gateway::TextSink;
using platform::StoreEntry;

constexpr std::string_view kSettleService = "payments";
constexpr std::string_view kCallerKey = "caller-key";
constexpr int kMaxNestingDepth = 3;

std::string RegionName(size_t region) { return "r" + std::to_string(region); }

gateway::NodeSettings SettingsOf(size_t index, size_t region) {
  gateway::NodeSettings settings;
  std::string name = "paper";
  char* argv[] = {name.data(), nullptr};
  OptionParser parser("paper", "", gateway::NodeOptions(&settings));
  (void)parser.Parse(1, argv);
  settings.instance = "n" + std::to_string(index);
  settings.region = RegionName(region);
  return settings;
}

CallResult PeerLostResult(Outcome outcome) {
  return {outcome, ResultCode::kPeerLost, "the simulated link failed", false,
          Millis(0)};
}

document::ServiceDocument DocumentFor(std::vector<RegionId> permitted_regions) {
  document::ServiceDocument document;
  document.name = ServiceName(std::string(kSettleService));
  document.workspace = WorkspaceId("tabkasse");
  document.keys = {{"till", Sha256Hex(kCallerKey)}};
  document.upstream = document::UpstreamKind::kService;
  document.permitted_regions = std::move(permitted_regions);
  document.call_rules = {{"GET", "/balance", true}};
  return document;
}

}  // namespace

Result<std::optional<StoreEntry>> SimulatedStoreClient::Get(
    std::string_view key) {
  Result<void> access = fleet_->CheckStoreAccess(instance_index_);
  if (!access) {
    return tl::make_unexpected(access.error());
  }
  return fleet_->store_.Get(key);
}

Result<std::vector<StoreEntry>> SimulatedStoreClient::List(
    std::string_view prefix) {
  Result<void> access = fleet_->CheckStoreAccess(instance_index_);
  if (!access) {
    return tl::make_unexpected(access.error());
  }
  return fleet_->store_.List(prefix);
}

Result<platform::SwapReply> SimulatedStoreClient::CompareAndSwap(
    std::string_view key, std::string_view value, StoreIndex expected,
    Seconds time_to_live) {
  Result<void> access = fleet_->CheckStoreAccess(instance_index_);
  if (!access) {
    return tl::make_unexpected(access.error());
  }
  Result<platform::SwapReply> reply =
      fleet_->store_.CompareAndSwap(key, value, expected, time_to_live);
  fleet_->Interleave();
  if (fleet_->ShouldLoseReply()) {
    return FailAs(ResultCode::kStoreUnavailable, Outcome::kUnknown,
                  "the store reply was lost");
  }
  return reply;
}

Result<void> SimulatedStoreClient::Remove(std::string_view key) {
  Result<void> access = fleet_->CheckStoreAccess(instance_index_);
  return access ? fleet_->store_.Remove(key) : access;
}

Result<platform::WatchReply> SimulatedStoreClient::Watch(
    std::string_view prefix, StoreIndex since, Millis /*wait*/) {
  Result<void> access = fleet_->CheckStoreAccess(instance_index_);
  if (!access) {
    return tl::make_unexpected(access.error());
  }
  return fleet_->store_.Watch(prefix, since, Millis(0));
}

SimulatedInstance::SimulatedInstance(SimulatedFleet* fleet,
                                     size_t instance_index,
                                     const gateway::NodeSettings& settings,
                                     const Clock* clock, const Keyring* keyring,
                                     Incarnation incarnation, uint64_t seed)
    : index(instance_index),
      store(fleet, instance_index),
      state(settings, clock, keyring, &store, incarnation, seed),
      runner(&state.parts(), this, this),
      at_most_once_runner(&state.parts(), &runner, this),
      filters(gateway::FilterChain::ForCallers(&state.parts())),
      forwarded(&state.parts(), &runner, &at_most_once_runner),
      fleet_(fleet) {
  state.parts().cluster = this;
  info.id = InstanceId(settings.instance);
  info.region = RegionId(settings.region);
  info.incarnation = incarnation;
}

CallResult SimulatedInstance::Call(gateway::Call* call,
                                   gateway::CallResponseSink* sink) {
  Result<void> passed = filters.Apply(call);
  if (!passed) {
    return gateway::ResultFromError(passed.error());
  }
  return call->idempotent ? runner.Run(*call, sink)
                          : at_most_once_runner.Run(*call, sink);
}

CallResult SimulatedInstance::Run(const gateway::Call& call,
                                  const gateway::LocalRoute& /*route*/,
                                  uint32_t /*attempt*/,
                                  gateway::CallResponseSink* sink) {
  return fleet_->HandleUpstreamCall(this, call, sink);
}

CallResult SimulatedInstance::Run(const gateway::Call& call,
                                  const membership::MemberInfo& to,
                                  peer::Purpose purpose, uint32_t attempt,
                                  gateway::CallResponseSink* sink) {
  return fleet_->HandleForwardedCall(this, call, to, purpose, attempt, sink);
}

std::vector<membership::MemberInfo> SimulatedInstance::Live() const {
  std::vector<membership::MemberInfo> live;
  for (const auto& it : fleet_->instances_) {
    if (it->info.region == info.region) {
      live.push_back(it->info);
    }
  }
  return live;
}

std::optional<membership::MemberInfo> SimulatedInstance::Find(
    const InstanceId& id) const {
  for (const auto& it : fleet_->instances_) {
    if (it->info.id == id) {
      return it->info;
    }
  }
  return std::nullopt;
}

std::vector<membership::RegionView> SimulatedInstance::ReachableRegions()
    const {
  std::vector<membership::RegionView> views;
  for (size_t region = 0; region < fleet_->regions_; ++region) {
    membership::RegionView view;
    view.summary.region = RegionId(RegionName(region));
    // Real summaries are delayed, so they may list the service in a region that
    // has no upstream for it.
    view.summary.services = {ServiceName(std::string(kSettleService))};
    for (const auto& it : fleet_->instances_) {
      if (it->info.region == view.summary.region) {
        view.summary.contacts.push_back(it->info);
      }
    }
    // An inconsistent view may also contain the instance's own region; the
    // filters must handle that.
    if (view.summary.region != info.region || fleet_->Chance(20)) {
      views.push_back(view);
    }
  }
  return views;
}

std::optional<membership::MemberInfo> SimulatedInstance::PickContact(
    const RegionId& region, uint64_t rotation) const {
  for (const membership::RegionView& it : ReachableRegions()) {
    if (it.summary.region == region) {
      return it.summary.contacts[rotation % it.summary.contacts.size()];
    }
  }
  return std::nullopt;
}

SimulatedFleet::SimulatedFleet(uint64_t seed, size_t regions,
                               size_t instances_per_region)
    : seed_(seed),
      regions_(regions),
      instances_per_region_(instances_per_region),
      random_(seed),
      keyring_(*Keyring::FromSetting("paper-fleet-key-0001")) {
  clock_.Advance(Seconds(1));
  for (size_t i = 0; i < regions * instances_per_region; ++i) {
    instances_.push_back(nullptr);
    StartInstance(i);
  }
  ApplyDocument();
  for (size_t i = 0; i < instances_.size(); ++i) {
    PropagateDocument();
  }
}

void SimulatedFleet::StartInstance(size_t index) {
  gateway::NodeSettings settings = SettingsOf(index, RegionOf(index));
  instances_[index] = std::make_unique<SimulatedInstance>(
      this, index, settings, &clock_, &keyring_,
      Incarnation(next_incarnation_++), random_.Next());
  // Every second region has an upstream of the service.
  if (RegionOf(index) % 2 == 0) {
    platform::ListedInstance upstream;
    upstream.id = "u" + std::to_string(RegionOf(index));
    upstream.kind = platform::ListedKind::kService;
    upstream.region = instances_[index]->info.region;
    upstream.service = ServiceName(std::string(kSettleService));
    instances_[index]->state.parts().upstreams->Refresh({upstream});
  }
}

void SimulatedFleet::RecordViolation(const std::string& what) {
  if (violation_.empty()) {
    violation_ = "seed " + std::to_string(seed_) + " step " +
                 std::to_string(step_) + ": " + what;
  }
}

bool SimulatedFleet::LinkUp(size_t a, size_t b) const {
  size_t from = std::min(RegionOf(a), RegionOf(b));
  size_t to = std::max(RegionOf(a), RegionOf(b));
  return from == to || !cut_links_.contains({from, to});
}

Result<void> SimulatedFleet::CheckStoreAccess(size_t node) {
  Interleave();
  // The key-value store is in the first region.
  if (store_down_ || !LinkUp(node, 0)) {
    return FailAs(ResultCode::kStoreUnavailable, Outcome::kNotRun,
                  "the store is unreachable");
  }
  return {};
}

bool SimulatedFleet::ShouldLoseReply() { return Chance(8); }

void SimulatedFleet::Interleave() {
  if (nesting_depth_ >= kMaxNestingDepth || !Chance(25)) {
    return;
  }
  ++nesting_depth_;
  RandomStep();
  --nesting_depth_;
}

CallResult SimulatedFleet::HandleUpstreamCall(SimulatedInstance* node,
                                              const gateway::Call& call,
                                              gateway::CallResponseSink* sink) {
  bool known_permitted = node->state.parts()
                             .catalog->Find(call.service)
                             ->document.Permits(node->info.region);
  if (!call.record->document.Permits(node->info.region) || !known_permitted) {
    RecordViolation("a request ran in a forbidden region");
  }
  // Only instances on the path of the request count: an instance that was tried
  // earlier and rejected it may know a newer document than all that took part
  // in the run (seeds 399 and 1498).
  document::RecordPtr newest = call.record;
  for (const InstanceId& it : call.hops) {
    const document::RecordPtr& record =
        forwarded_records_[{call.id.value(), it}];
    newest = newest->version < record->version ? record : newest;
  }
  if (!newest->document.Permits(node->info.region)) {
    RecordViolation("request " + call.id.value() + " ran in " +
                    node->info.region.value() +
                    ", which the newest document on its path forbids");
  }
  if (std::find(call.hops.begin(), call.hops.end(), node->info.id) !=
      call.hops.end()) {
    RecordViolation("a request returned to an instance it had already passed");
  }
  Interleave();
  if (node->crashed) {
    // A crashed process does not execute the rest of its code.
    return PeerLostResult(Outcome::kUnknown);
  }
  if (Chance(15)) {
    return {Outcome::kNotRun, ResultCode::kUpstreamFailed,
            "the upstream rejected the request", false, Millis(0)};
  }
  if (Chance(10)) {
    // The request is lost before it reaches the upstream: it did not run, but
    // the sender cannot know that.
    return {Outcome::kUnknown, ResultCode::kUpstreamFailed,
            "the request was lost", false, Millis(0)};
  }
  executed_requests_.insert(call.id.value());
  if (!call.idempotent) {
    ++total_runs_;
    for (const auto& it : settlements_) {
      if (it->body == call.body && ++it->runs > 1) {
        RecordViolation("settlement " + call.body + " ran twice");
      }
    }
  }
  Interleave();
  if (node->crashed || Chance(10)) {
    return {Outcome::kUnknown, ResultCode::kUpstreamFailed,
            "the response was lost", false, Millis(0)};
  }
  sink->Begin({200, "text/plain", node->info.region, UpstreamId("u")});
  sink->WriteChunk("answer to " + call.body);
  return {Outcome::kDone, ResultCode::kOk, "", true, Millis(0)};
}

CallResult SimulatedFleet::HandleForwardedCall(
    SimulatedInstance* from, const gateway::Call& call,
    const membership::MemberInfo& to, peer::Purpose purpose, uint32_t attempt,
    gateway::CallResponseSink* sink) {
  ++forwards_;
  forwarded_records_[{call.id.value(), from->info.id}] = call.record;
  peer::StreamHeader header =
      gateway::BuildStreamHeader(from->state.parts(), call, purpose, attempt,
                                 Sequence(from->next_sequence_++));
  Interleave();
  size_t index = std::strtoul(to.id.value().c_str() + 1, nullptr, 10);
  SimulatedInstance* target = instances_[index].get();
  if (from->crashed || !LinkUp(from->index, index) || Chance(5)) {
    return PeerLostResult(Outcome::kNotRun);
  }
  Result<gateway::Call> accepted = target->forwarded.Accept(header);
  if (!accepted) {
    return gateway::ResultFromError(accepted.error());
  }
  Interleave();
  if (from->crashed || target->crashed || Chance(5)) {
    return PeerLostResult(Outcome::kUnknown);
  }
  accepted->body = call.body;
  TextSink response;
  CallResult result =
      target->forwarded.Run(&*accepted, header.purpose, &response);
  if (target->crashed || !LinkUp(from->index, index) || Chance(8)) {
    return PeerLostResult(Outcome::kUnknown);
  }
  if (result.outcome == Outcome::kDone && result.response_started) {
    sink->Begin({200, "text/plain", to.region, UpstreamId("u")});
    sink->WriteChunk(response.text);
  }
  return result;
}

void SimulatedFleet::RandomStep() {
  static const std::vector<WeightedStep> kSteps = {
      {&SimulatedFleet::NewSettlement, 20},
      {&SimulatedFleet::RetrySettlement, 30},
      {&SimulatedFleet::IdempotentCall, 10},
      {&SimulatedFleet::ReuseWithOtherBody, 3},
      {&SimulatedFleet::CrashInstance, 3},
      {&SimulatedFleet::ToggleLink, 6},
      {&SimulatedFleet::ToggleStore, 3},
      {&SimulatedFleet::ApplyDocument, 5},
      {&SimulatedFleet::PropagateDocument, 40},
      {&SimulatedFleet::AdvanceTime, 6}};
  uint64_t total = 0;
  for (const WeightedStep& it : kSteps) {
    total += it.weight;
  }
  uint64_t pick = random_.Below(total);
  for (const WeightedStep& it : kSteps) {
    if (pick < it.weight) {
      (this->*it.step)();
      return;
    }
    pick -= it.weight;
  }
}

void SimulatedFleet::NewSettlement() {
  auto settlement = std::make_unique<Settlement>();
  settlement->body = "s" + std::to_string(next_id_++);
  SimulatedInstance& issuer = RandomInstance();
  if (Chance(60)) {
    Result<Sequence> sequence =
        issuer.state.parts().tickets->Issue(clock_.Now());
    if (sequence) {
      settlement->ticket = claims::FormatTicket(
          {issuer.info.region, issuer.info.id, issuer.info.incarnation,
           *sequence, ServiceName(std::string(kSettleService))},
          keyring_);
    }
  } else {
    settlement->key = "key-" + settlement->body;
  }
  settlements_.push_back(std::move(settlement));
  SendSettlement(settlements_.back().get(), settlements_.back()->body);
}

void SimulatedFleet::RetrySettlement() {
  if (settlements_.empty()) {
    return;
  }
  // Retries recent settlements more often, as callers do.
  size_t back = std::min<size_t>(random_.Below(12), settlements_.size() - 1);
  Settlement* settlement = settlements_[settlements_.size() - 1 - back].get();
  SendSettlement(settlement, settlement->body);
}

void SimulatedFleet::ReuseWithOtherBody() {
  if (settlements_.empty()) {
    return;
  }
  Settlement* settlement =
      settlements_[random_.Below(settlements_.size())].get();
  SendSettlement(settlement, "other-" + settlement->body);
}

void SimulatedFleet::SendSettlement(Settlement* settlement,
                                    const std::string& body) {
  SimulatedInstance& entry = RandomInstance();
  gateway::Call call;
  call.id = RequestId("q" + std::to_string(next_id_++));
  call.service = ServiceName(std::string(kSettleService));
  call.method = "POST";
  call.path = "/settle";
  call.body = body;
  call.bearer = std::string(kCallerKey);
  call.ticket = settlement->ticket;
  call.idempotency_key = settlement->key;
  call.arrived = clock_.Now();
  TextSink sink;
  CallResult result = entry.Call(&call, &sink);
  if (entry.crashed) {
    // The caller sees a closed connection and receives no outcome.
    return;
  }
  CheckResult(call, result, sink.text, body);
}

void SimulatedFleet::IdempotentCall() {
  SimulatedInstance& entry = RandomInstance();
  gateway::Call call;
  call.id = RequestId("q" + std::to_string(next_id_++));
  call.service = ServiceName(std::string(kSettleService));
  call.method = "GET";
  call.path = "/balance";
  call.body = "b" + std::to_string(next_id_++);
  call.bearer = std::string(kCallerKey);
  call.arrived = clock_.Now();
  TextSink sink;
  CallResult result = entry.Call(&call, &sink);
  if (!entry.crashed) {
    CheckResult(call, result, sink.text, call.body);
  }
}

void SimulatedFleet::CheckResult(const gateway::Call& call,
                                 const CallResult& result,
                                 const std::string& response,
                                 const std::string& body) {
  ++outcome_counts_[result.outcome];
  if (result.outcome == Outcome::kNotRun &&
      executed_requests_.contains(call.id.value())) {
    RecordViolation("request " + call.id.value() +
                    " was reported as not-run but ran");
  }
  bool succeeded =
      result.outcome == Outcome::kDone && result.code == ResultCode::kOk;
  if (succeeded && response != "answer to " + body) {
    RecordViolation("request " + call.id.value() + " got \"" + response +
                    "\" for " + body);
  }
}

void SimulatedFleet::CrashInstance() {
  size_t index = random_.Below(instances_.size());
  instances_[index]->crashed = true;
  // Kept alive, because a call further up the stack may still be running in it.
  crashed_instances_.push_back(std::move(instances_[index]));
  StartInstance(index);
  for (size_t i = 0; i < instances_.size(); ++i) {
    PropagateDocument();
  }
}

void SimulatedFleet::ToggleLink() {
  size_t a = random_.Below(regions_);
  size_t b = random_.Below(regions_);
  std::pair<size_t, size_t> link(std::min(a, b), std::max(a, b));
  // Links are restored more often than they are cut, so that most calls find a
  // route.
  if (cut_links_.erase(link) == 0 && a != b && Chance(40)) {
    cut_links_.insert(link);
  }
}

void SimulatedFleet::ToggleStore() { store_down_ = !store_down_ && Chance(40); }

void SimulatedFleet::ApplyDocument() {
  std::vector<RegionId> permitted_regions;
  for (size_t region = 0; region < regions_; ++region) {
    if (Chance(85)) {
      permitted_regions.emplace_back(RegionName(region));
    }
  }
  if (permitted_regions.empty()) {
    permitted_regions.emplace_back(RegionName(0));
  }
  SimulatedInstance& node = RandomInstance();
  document::RecordPtr current = node.state.parts().catalog->Find(
      ServiceName(std::string(kSettleService)));
  platform::DocumentChange change{
      DocumentFor(permitted_regions),
      current == nullptr ? DocumentVersion(0) : current->version,
      ChangeId("c" + std::to_string(next_id_++))};
  Result<document::DocumentRecord> record =
      node.state.parts().documents->Apply(change);
  if (record) {
    node.state.parts().catalog->ApplyIfNewer(
        std::make_shared<document::DocumentRecord>(*record));
  }
}

void SimulatedFleet::PropagateDocument() {
  SimulatedInstance& from = RandomInstance();
  SimulatedInstance& to = RandomInstance();
  document::RecordPtr record = from.state.parts().catalog->Find(
      ServiceName(std::string(kSettleService)));
  if (record == nullptr || !LinkUp(from.index, to.index)) {
    return;
  }
  document::RecordPtr before =
      to.state.parts().catalog->Find(ServiceName(std::string(kSettleService)));
  to.state.parts().catalog->ApplyIfNewer(record);
  document::RecordPtr after =
      to.state.parts().catalog->Find(ServiceName(std::string(kSettleService)));
  if (before != nullptr && after->version < before->version) {
    RecordViolation("the version of a document decreased");
  }
}

void SimulatedFleet::AdvanceTime() {
  clock_.Advance(Millis(random_.Below(20000)));
  if (Chance(5)) {
    clock_.Advance(Seconds(700));
  }
  for (auto& it : instances_) {
    it->state.parts().call_ledger->Expire(clock_.Now());
  }
}

void SimulatedFleet::Explore(int steps) {
  for (step_ = 0; step_ < steps && violation_.empty(); ++step_) {
    RandomStep();
  }
}

}  // namespace basilvalve::explore
