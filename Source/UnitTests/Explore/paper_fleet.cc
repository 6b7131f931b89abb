#include "UnitTests/Explore/paper_fleet.h"

#include <algorithm>

#include "Core/Claims/ticket.h"
#include "Core/Common/hash.h"
#include "Core/Gateway/text_sink.h"

namespace basilvalve::explore {
namespace {

using gateway::CallEnd;
using gateway::TextSink;
using platform::StoreEntry;

constexpr std::string_view kSettleService = "payments";
constexpr std::string_view kCallerKey = "caller-key";
constexpr int kMaxDepth = 3;

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

CallEnd PeerLost(Outcome outcome) {
  return {outcome, ResultCode::kPeerLost, "paper link", false, Millis(0)};
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

Result<std::optional<StoreEntry>> PaperStore::Get(std::string_view key) {
  Result<void> access = fleet_->StoreAccess(node_);
  if (!access) {
    return tl::make_unexpected(access.error());
  }
  return fleet_->store_.Get(key);
}

Result<std::vector<StoreEntry>> PaperStore::List(std::string_view prefix) {
  Result<void> access = fleet_->StoreAccess(node_);
  if (!access) {
    return tl::make_unexpected(access.error());
  }
  return fleet_->store_.List(prefix);
}

Result<platform::SwapReply> PaperStore::CompareAndSwap(std::string_view key,
                                                       std::string_view value,
                                                       StoreIndex expected,
                                                       Seconds time_to_live) {
  Result<void> access = fleet_->StoreAccess(node_);
  if (!access) {
    return tl::make_unexpected(access.error());
  }
  Result<platform::SwapReply> reply =
      fleet_->store_.CompareAndSwap(key, value, expected, time_to_live);
  fleet_->Interleave();
  if (fleet_->LoseReply()) {
    return FailAs(ResultCode::kStoreUnavailable, Outcome::kUnknown, "lost");
  }
  return reply;
}

Result<void> PaperStore::Remove(std::string_view key) {
  Result<void> access = fleet_->StoreAccess(node_);
  return access ? fleet_->store_.Remove(key) : access;
}

Result<platform::WatchReply> PaperStore::Watch(std::string_view prefix,
                                               StoreIndex since,
                                               Millis /*wait*/) {
  Result<void> access = fleet_->StoreAccess(node_);
  if (!access) {
    return tl::make_unexpected(access.error());
  }
  return fleet_->store_.Watch(prefix, since, Millis(0));
}

PaperNode::PaperNode(PaperFleet* fleet, size_t node_index,
                     const gateway::NodeSettings& settings, const Clock* clock,
                     const Keyring* keyring, Incarnation incarnation,
                     uint64_t seed)
    : index(node_index),
      store(fleet, node_index),
      state(settings, clock, keyring, &store, incarnation, seed),
      runner(&state.parts(), this, this),
      gate(&state.parts(), &runner, this),
      filters(gateway::FilterChain::ForCallers(&state.parts())),
      forwarded(&state.parts(), &runner, &gate),
      fleet_(fleet) {
  state.parts().cluster = this;
  info.id = InstanceId(settings.instance);
  info.region = RegionId(settings.region);
  info.incarnation = incarnation;
}

CallEnd PaperNode::Call(gateway::Call* call, gateway::AnswerSink* sink) {
  Result<void> passed = filters.Apply(call);
  if (!passed) {
    return gateway::EndOf(passed.error());
  }
  return call->idempotent ? runner.Run(*call, sink) : gate.Run(*call, sink);
}

CallEnd PaperNode::Run(const gateway::Call& call,
                       const gateway::LocalPlan& /*plan*/, uint32_t /*attempt*/,
                       gateway::AnswerSink* sink) {
  return fleet_->OnUpstream(this, call, sink);
}

CallEnd PaperNode::Run(const gateway::Call& call,
                       const membership::MemberInfo& to, peer::Purpose purpose,
                       uint32_t attempt, gateway::AnswerSink* sink) {
  return fleet_->OnForward(this, call, to, purpose, attempt, sink);
}

std::vector<membership::MemberInfo> PaperNode::Live() const {
  std::vector<membership::MemberInfo> live;
  for (const auto& it : fleet_->nodes_) {
    if (it->info.region == info.region) {
      live.push_back(it->info);
    }
  }
  return live;
}

std::optional<membership::MemberInfo> PaperNode::Find(
    const InstanceId& id) const {
  for (const auto& it : fleet_->nodes_) {
    if (it->info.id == id) {
      return it->info;
    }
  }
  return std::nullopt;
}

std::vector<membership::RegionView> PaperNode::ReachableRegions() const {
  std::vector<membership::RegionView> views;
  for (size_t region = 0; region < fleet_->regions_; ++region) {
    membership::RegionView view;
    view.summary.region = RegionId(RegionName(region));
    // Summaries lag, so a region without the service may be named as well.
    view.summary.services = {ServiceName(std::string(kSettleService))};
    for (const auto& it : fleet_->nodes_) {
      if (it->info.region == view.summary.region) {
        view.summary.contacts.push_back(it->info);
      }
    }
    // A confused view names the own region too; the filters have to cope.
    if (view.summary.region != info.region || fleet_->Chance(20)) {
      views.push_back(view);
    }
  }
  return views;
}

std::optional<membership::MemberInfo> PaperNode::PickContact(
    const RegionId& region, uint64_t turn) const {
  for (const membership::RegionView& it : ReachableRegions()) {
    if (it.summary.region == region) {
      return it.summary.contacts[turn % it.summary.contacts.size()];
    }
  }
  return std::nullopt;
}

PaperFleet::PaperFleet(uint64_t seed, size_t regions, size_t nodes_each)
    : seed_(seed),
      regions_(regions),
      nodes_each_(nodes_each),
      random_(seed),
      keyring_(*Keyring::FromSetting("paper-fleet-key-0001")) {
  clock_.Advance(Seconds(1));
  for (size_t i = 0; i < regions * nodes_each; ++i) {
    nodes_.push_back(nullptr);
    StartNode(i);
  }
  ApplyDocument();
  for (size_t i = 0; i < nodes_.size(); ++i) {
    SpreadDocument();
  }
}

void PaperFleet::StartNode(size_t index) {
  gateway::NodeSettings settings = SettingsOf(index, RegionOf(index));
  nodes_[index] = std::make_unique<PaperNode>(
      this, index, settings, &clock_, &keyring_,
      Incarnation(next_incarnation_++), random_.Next());
  // One region in two has an upstream of the service.
  if (RegionOf(index) % 2 == 0) {
    platform::ListedInstance upstream;
    upstream.id = "u" + std::to_string(RegionOf(index));
    upstream.kind = platform::ListedKind::kService;
    upstream.region = nodes_[index]->info.region;
    upstream.service = ServiceName(std::string(kSettleService));
    nodes_[index]->state.parts().upstreams->Refresh({upstream});
  }
}

void PaperFleet::Violate(const std::string& what) {
  if (violation_.empty()) {
    violation_ = "seed " + std::to_string(seed_) + " step " +
                 std::to_string(step_) + ": " + what;
  }
}

bool PaperFleet::LinkUp(size_t a, size_t b) const {
  size_t from = std::min(RegionOf(a), RegionOf(b));
  size_t to = std::max(RegionOf(a), RegionOf(b));
  return from == to || !cut_.contains({from, to});
}

Result<void> PaperFleet::StoreAccess(size_t node) {
  Interleave();
  // The service is in the first region.
  if (store_down_ || !LinkUp(node, 0)) {
    return FailAs(ResultCode::kStoreUnavailable, Outcome::kNotRun, "cut off");
  }
  return {};
}

bool PaperFleet::LoseReply() { return Chance(8); }

void PaperFleet::Interleave() {
  if (depth_ >= kMaxDepth || !Chance(25)) {
    return;
  }
  ++depth_;
  RandomStep();
  --depth_;
}

CallEnd PaperFleet::OnUpstream(PaperNode* node, const gateway::Call& call,
                               gateway::AnswerSink* sink) {
  bool known_permitted = node->state.parts()
                             .catalog->Find(call.service)
                             ->document.Permits(node->info.region);
  if (!call.record->document.Permits(node->info.region) || !known_permitted) {
    Violate("a request ran in a forbidden region");
  }
  // Only the instances on the path count: one that was tried before and refused
  // may know a newer document than all that took part in the run (seen with
  // seeds 399 and 1498).
  document::RecordPtr newest = call.record;
  for (const InstanceId& it : call.hops) {
    const document::RecordPtr& record = senders_[{call.id.value(), it}];
    newest = newest->version < record->version ? record : newest;
  }
  if (!newest->document.Permits(node->info.region)) {
    Violate("request " + call.id.value() + " ran in " +
            node->info.region.value() +
            ", which the newest document on its path forbids");
  }
  if (std::find(call.hops.begin(), call.hops.end(), node->info.id) !=
      call.hops.end()) {
    Violate("a request met its own instance");
  }
  Interleave();
  if (node->dead) {
    // The process is gone; what its code would do next does not happen.
    return PeerLost(Outcome::kUnknown);
  }
  if (Chance(15)) {
    return {Outcome::kNotRun, ResultCode::kUpstreamFailed, "refused", false,
            Millis(0)};
  }
  if (Chance(10)) {
    // The request is lost on its way: it did not run, but nobody can tell.
    return {Outcome::kUnknown, ResultCode::kUpstreamFailed, "lost", false,
            Millis(0)};
  }
  reached_.insert(call.id.value());
  if (!call.idempotent) {
    ++total_runs_;
    for (const auto& it : settlements_) {
      if (it->body == call.body && ++it->runs > 1) {
        Violate("settlement " + call.body + " ran twice");
      }
    }
  }
  Interleave();
  if (node->dead || Chance(10)) {
    return {Outcome::kUnknown, ResultCode::kUpstreamFailed, "answer lost",
            false, Millis(0)};
  }
  sink->Begin({200, "text/plain", node->info.region, UpstreamId("u")});
  sink->Piece("answer to " + call.body);
  return {Outcome::kDone, ResultCode::kOk, "", true, Millis(0)};
}

CallEnd PaperFleet::OnForward(PaperNode* from, const gateway::Call& call,
                              const membership::MemberInfo& to,
                              peer::Purpose purpose, uint32_t attempt,
                              gateway::AnswerSink* sink) {
  ++forwards_;
  senders_[{call.id.value(), from->info.id}] = call.record;
  peer::StreamHeader header =
      gateway::BuildStreamHeader(from->state.parts(), call, purpose, attempt,
                                 Sequence(from->next_sequence_++));
  Interleave();
  size_t index = std::strtoul(to.id.value().c_str() + 1, nullptr, 10);
  PaperNode* target = nodes_[index].get();
  if (from->dead || !LinkUp(from->index, index) || Chance(5)) {
    return PeerLost(Outcome::kNotRun);
  }
  Result<gateway::Call> accepted = target->forwarded.Accept(header);
  if (!accepted) {
    return gateway::EndOf(accepted.error());
  }
  Interleave();
  if (from->dead || target->dead || Chance(5)) {
    return PeerLost(Outcome::kUnknown);
  }
  accepted->body = call.body;
  TextSink answer;
  CallEnd end = target->forwarded.Run(&*accepted, header.purpose, &answer);
  if (target->dead || !LinkUp(from->index, index) || Chance(8)) {
    return PeerLost(Outcome::kUnknown);
  }
  if (end.outcome == Outcome::kDone && end.begun) {
    sink->Begin({200, "text/plain", to.region, UpstreamId("u")});
    sink->Piece(answer.text);
  }
  return end;
}

void PaperFleet::RandomStep() {
  static const std::vector<Weighted> kSteps = {
      {&PaperFleet::NewSettlement, 20},  {&PaperFleet::RetrySettlement, 30},
      {&PaperFleet::IdempotentCall, 10}, {&PaperFleet::ReuseWithOtherBody, 3},
      {&PaperFleet::CrashNode, 3},       {&PaperFleet::ToggleLink, 6},
      {&PaperFleet::ToggleStore, 3},     {&PaperFleet::ApplyDocument, 5},
      {&PaperFleet::SpreadDocument, 40}, {&PaperFleet::AdvanceTime, 6}};
  uint64_t total = 0;
  for (const Weighted& it : kSteps) {
    total += it.weight;
  }
  uint64_t pick = random_.Below(total);
  for (const Weighted& it : kSteps) {
    if (pick < it.weight) {
      (this->*it.step)();
      return;
    }
    pick -= it.weight;
  }
}

void PaperFleet::NewSettlement() {
  auto settlement = std::make_unique<Settlement>();
  settlement->body = "s" + std::to_string(next_name_++);
  PaperNode& issuer = AnyNode();
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
  Try(settlements_.back().get(), settlements_.back()->body);
}

void PaperFleet::RetrySettlement() {
  if (settlements_.empty()) {
    return;
  }
  // Recent ones are retried more, as callers do.
  size_t back = std::min<size_t>(random_.Below(12), settlements_.size() - 1);
  Settlement* settlement = settlements_[settlements_.size() - 1 - back].get();
  Try(settlement, settlement->body);
}

void PaperFleet::ReuseWithOtherBody() {
  if (settlements_.empty()) {
    return;
  }
  Settlement* settlement =
      settlements_[random_.Below(settlements_.size())].get();
  Try(settlement, "other-" + settlement->body);
}

void PaperFleet::Try(Settlement* settlement, const std::string& body) {
  PaperNode& entry = AnyNode();
  gateway::Call call;
  call.id = RequestId("q" + std::to_string(next_name_++));
  call.service = ServiceName(std::string(kSettleService));
  call.method = "POST";
  call.path = "/settle";
  call.body = body;
  call.bearer = std::string(kCallerKey);
  call.ticket = settlement->ticket;
  call.idempotency_key = settlement->key;
  call.arrived = clock_.Now();
  TextSink sink;
  CallEnd end = entry.Call(&call, &sink);
  if (entry.dead) {
    // The caller sees a closed connection and is told nothing.
    return;
  }
  Check(call, end, sink.text, body);
}

void PaperFleet::IdempotentCall() {
  PaperNode& entry = AnyNode();
  gateway::Call call;
  call.id = RequestId("q" + std::to_string(next_name_++));
  call.service = ServiceName(std::string(kSettleService));
  call.method = "GET";
  call.path = "/balance";
  call.body = "b" + std::to_string(next_name_++);
  call.bearer = std::string(kCallerKey);
  call.arrived = clock_.Now();
  TextSink sink;
  CallEnd end = entry.Call(&call, &sink);
  if (!entry.dead) {
    Check(call, end, sink.text, call.body);
  }
}

void PaperFleet::Check(const gateway::Call& call, const CallEnd& end,
                       const std::string& answer, const std::string& body) {
  ++told_[end.outcome];
  if (end.outcome == Outcome::kNotRun && reached_.contains(call.id.value())) {
    Violate("request " + call.id.value() + " was told not-run but ran");
  }
  bool whole = end.outcome == Outcome::kDone && end.code == ResultCode::kOk;
  if (whole && answer != "answer to " + body) {
    Violate("request " + call.id.value() + " got \"" + answer + "\" for " +
            body);
  }
}

void PaperFleet::CrashNode() {
  size_t index = random_.Below(nodes_.size());
  nodes_[index]->dead = true;
  // Kept, since a call further up the stack may still be inside it.
  graveyard_.push_back(std::move(nodes_[index]));
  StartNode(index);
  for (size_t i = 0; i < nodes_.size(); ++i) {
    SpreadDocument();
  }
}

void PaperFleet::ToggleLink() {
  size_t a = random_.Below(regions_);
  size_t b = random_.Below(regions_);
  std::pair<size_t, size_t> link(std::min(a, b), std::max(a, b));
  // Links heal more often than they are cut, so that most calls find a way.
  if (cut_.erase(link) == 0 && a != b && Chance(40)) {
    cut_.insert(link);
  }
}

void PaperFleet::ToggleStore() { store_down_ = !store_down_ && Chance(40); }

void PaperFleet::ApplyDocument() {
  std::vector<RegionId> permitted_regions;
  for (size_t region = 0; region < regions_; ++region) {
    if (Chance(85)) {
      permitted_regions.emplace_back(RegionName(region));
    }
  }
  if (permitted_regions.empty()) {
    permitted_regions.emplace_back(RegionName(0));
  }
  PaperNode& node = AnyNode();
  document::RecordPtr current = node.state.parts().catalog->Find(
      ServiceName(std::string(kSettleService)));
  platform::DocumentChange change{
      DocumentFor(permitted_regions),
      current == nullptr ? DocumentVersion(0) : current->version,
      ChangeId("c" + std::to_string(next_name_++))};
  Result<document::DocumentRecord> record =
      node.state.parts().documents->Apply(change);
  if (record) {
    node.state.parts().catalog->Offer(
        std::make_shared<document::DocumentRecord>(*record));
  }
}

void PaperFleet::SpreadDocument() {
  PaperNode& from = AnyNode();
  PaperNode& to = AnyNode();
  document::RecordPtr record = from.state.parts().catalog->Find(
      ServiceName(std::string(kSettleService)));
  if (record == nullptr || !LinkUp(from.index, to.index)) {
    return;
  }
  document::RecordPtr before =
      to.state.parts().catalog->Find(ServiceName(std::string(kSettleService)));
  to.state.parts().catalog->Offer(record);
  document::RecordPtr after =
      to.state.parts().catalog->Find(ServiceName(std::string(kSettleService)));
  if (before != nullptr && after->version < before->version) {
    Violate("a document's version went down");
  }
}

void PaperFleet::AdvanceTime() {
  clock_.Advance(Millis(random_.Below(20000)));
  if (Chance(5)) {
    clock_.Advance(Seconds(700));
  }
  for (auto& it : nodes_) {
    it->state.parts().call_ledger->Expire(clock_.Now());
  }
}

void PaperFleet::Explore(int steps) {
  for (step_ = 0; step_ < steps && violation_.empty(); ++step_) {
    RandomStep();
  }
}

}  // namespace basilvalve::explore
