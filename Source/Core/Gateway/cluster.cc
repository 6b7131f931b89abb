#include "Core/Gateway/cluster.h"

#include <algorithm>

#include "Core/Membership/role_assignment.h"

namespace basilvalve::gateway {
namespace {

using membership::ControlKind;
using membership::ControlMessage;
using membership::MemberInfo;
using membership::MemberState;
using membership::OutgoingMessage;

constexpr Millis kTickPeriod{100};
// Notices are attached to outgoing messages for this long, several probe
// periods, because each probe reaches only one member.
constexpr Millis kNoticeRetention{5000};
constexpr size_t kMaxNoticesPerMessage = 8;
constexpr Millis kSummaryPeriodPerRegion{300};
constexpr int64_t kStaleAfterPeriods = 3;
constexpr size_t kMaxContactsPerSummary = 3;

}  // namespace

Cluster::Cluster(const ClusterSettings& settings, MemberInfo self,
                 uint64_t seed, const Clock* clock, const Keyring* keyring,
                 observe::Metrics* metrics)
    : settings_(settings),
      clock_(clock),
      keyring_(keyring),
      metrics_(metrics),
      members_(settings.membership, std::move(self), seed),
      regions_(settings.region_stale) {}

Cluster::~Cluster() { Stop(); }

Result<void> Cluster::Start(ClusterHooks hooks) {
  hooks_ = std::move(hooks);
  Result<std::unique_ptr<peer::ControlSocket>> socket =
      peer::ControlSocket::Start(
          self().peer, keyring_, kTickPeriod,
          [this](const ControlMessage& message) { OnMessage(message); },
          [this] { OnTick(); });
  if (!socket) {
    return tl::make_unexpected(socket.error());
  }
  std::lock_guard lock(mutex_);
  socket_ = std::move(*socket);
  return {};
}

void Cluster::Stop() {
  std::unique_ptr<peer::ControlSocket> socket;
  {
    std::lock_guard lock(mutex_);
    socket = std::move(socket_);
  }
  // Joins the socket's thread, which may be waiting for mutex_.
  socket.reset();
}

void Cluster::AddDiscovered(
    const std::vector<platform::ListedInstance>& listed) {
  std::lock_guard lock(mutex_);
  Instant now = clock_->Now();
  listed_contacts_.clear();
  for (const platform::ListedInstance& it : listed) {
    if (it.kind != platform::ListedKind::kGateway ||
        it.state != platform::ListedState::kLive) {
      continue;
    }
    MemberInfo info;
    info.id = InstanceId(it.id);
    info.region = it.region;
    info.peer = it.endpoint;
    info.caller = it.endpoint;
    members_.AddDiscovered(info, now);
    if (it.region != members_.self().region) {
      listed_contacts_[it.region].push_back(info);
    }
  }
}

void Cluster::SetDraining() {
  std::lock_guard lock(mutex_);
  members_.UpdateSelf(members_.self().load_percent, /*draining=*/true);
}

void Cluster::Leave() {
  std::vector<OutgoingMessage> messages;
  {
    std::lock_guard lock(mutex_);
    messages = members_.Leave();
  }
  Send(std::move(messages));
}

void Cluster::AnnounceUpstreamLeaving(const UpstreamId& upstream) {
  std::lock_guard lock(mutex_);
  leaving_notices_.push_back({upstream, clock_->Now()});
}

std::vector<MemberInfo> Cluster::Live() const {
  std::lock_guard lock(mutex_);
  return members_.Live();
}

std::vector<membership::MemberView> Cluster::Members() const {
  std::lock_guard lock(mutex_);
  return members_.Members();
}

MemberInfo Cluster::self() const {
  std::lock_guard lock(mutex_);
  return members_.self();
}

std::optional<MemberInfo> Cluster::Find(const InstanceId& id) const {
  std::lock_guard lock(mutex_);
  std::optional<MemberInfo> member = members_.Find(id);
  if (member) {
    return member;
  }
  for (const membership::RegionView& region : regions_.All()) {
    for (const MemberInfo& it : region.summary.contacts) {
      if (it.id == id) {
        return it;
      }
    }
  }
  return std::nullopt;
}

std::vector<membership::RegionView> Cluster::ReachableRegions() const {
  std::lock_guard lock(mutex_);
  return regions_.Reachable(clock_->Now());
}

std::vector<membership::RegionView> Cluster::AllRegions() const {
  std::lock_guard lock(mutex_);
  return regions_.All();
}

std::optional<MemberInfo> Cluster::PickContact(const RegionId& region,
                                               uint64_t rotation) const {
  for (const membership::RegionView& it : ReachableRegions()) {
    if (it.summary.region == region && !it.summary.contacts.empty()) {
      return it.summary.contacts[rotation % it.summary.contacts.size()];
    }
  }
  return std::nullopt;
}

ControlMessage Cluster::NewMessageLocked() {
  ControlMessage message;
  message.kind = ControlKind::kSummary;
  message.sender = members_.self().id;
  message.incarnation = members_.self().incarnation;
  return message;
}

void Cluster::AddPiggybackData(ControlMessage* message) {
  if (message->kind == ControlKind::kSummary) {
    return;
  }
  message->document_hash = hooks_.document_hash();
  std::lock_guard lock(mutex_);
  Instant now = clock_->Now();
  std::erase_if(leaving_notices_, [now](const LeavingNotice& it) {
    return now - it.seen_at > kNoticeRetention;
  });
  size_t first = leaving_notices_.size() > kMaxNoticesPerMessage
                     ? leaving_notices_.size() - kMaxNoticesPerMessage
                     : 0;
  for (size_t i = first; i < leaving_notices_.size(); ++i) {
    auto age =
        std::chrono::duration_cast<Millis>(now - leaving_notices_[i].seen_at);
    message->notices.push_back(
        {leaving_notices_[i].upstream, static_cast<uint32_t>(age.count())});
  }
}

void Cluster::Send(std::vector<OutgoingMessage> messages) {
  for (OutgoingMessage& it : messages) {
    AddPiggybackData(&it.message);
    // All messages share one sequence: receivers' replay protection rejects
    // numbers far below the highest one seen from this sender.
    it.message.sequence = Sequence(next_sequence_.fetch_add(1));
    size_t bytes = socket_ == nullptr ? 0 : socket_->Send(it);
    metrics_->CountControlBytes(bytes);
  }
}

std::vector<OutgoingMessage> Cluster::RelaySummaryLocked(
    const ControlMessage& message) {
  // The sending region addresses one instance of this region, which relays the
  // summary to the other members. A relayed message carries the original sender
  // as its target and is not relayed again.
  std::vector<OutgoingMessage> out;
  const MemberInfo& self = members_.self();
  for (const MemberInfo& it : members_.Live()) {
    if (it.id != self.id) {
      ControlMessage relayed = NewMessageLocked();
      relayed.summaries = message.summaries;
      relayed.target = message.sender;
      out.push_back({it.peer, std::move(relayed)});
    }
  }
  return out;
}

void Cluster::OnMessage(const ControlMessage& message) {
  std::vector<OutgoingMessage> out;
  bool known_member = false;
  {
    std::lock_guard lock(mutex_);
    Instant now = clock_->Now();
    known_member = members_.Find(message.sender).has_value();
    if (message.kind == ControlKind::kSummary) {
      bool relayed = !message.target.empty();
      for (const membership::RegionSummary& it : message.summaries) {
        if (it.region != members_.self().region) {
          regions_.UpdateSummary(it, relayed ? message.target : message.sender,
                                 now);
        }
      }
      if (!relayed) {
        out = RelaySummaryLocked(message);
      }
    } else {
      out = members_.OnMessage(message, now);
    }
  }
  for (const membership::UpstreamNotice& it : message.notices) {
    hooks_.on_upstream_leaving(it.upstream, Millis(it.age_ms));
  }
  bool differs = message.document_hash != 0 && known_member &&
                 message.document_hash != hooks_.document_hash();
  if (differs) {
    hooks_.on_documents_differ(message.sender);
  }
  Send(std::move(out));
}

std::vector<OutgoingMessage> Cluster::SummariesDue(Instant now) {
  if (now < next_summary_) {
    return {};
  }
  membership::RegionSummary summary = hooks_.region_summary();
  std::lock_guard lock(mutex_);
  // Every region sends to every other one, so the period grows with the number
  // of regions: the cost of summaries per instance stays constant.
  auto regions = static_cast<int64_t>(listed_contacts_.size() + 1);
  Millis period =
      std::max(settings_.summary_period, kSummaryPeriodPerRegion * regions);
  next_summary_ = now + period;
  regions_.SetStaleAfter(
      std::max(settings_.region_stale, kStaleAfterPeriods * period));
  // Rounds are numbered by wall-clock time, on which the members' clocks agree
  // closely enough. The sender role moves to another member each round, so a
  // failed sender costs one round.
  summary_round_ = WallMillis() / static_cast<uint64_t>(period.count());
  const MemberInfo& self = members_.self();
  std::vector<MemberInfo> live = members_.Live();
  summary.region = self.region;
  for (size_t i = 0;
       i < live.size() && summary.contacts.size() < kMaxContactsPerSummary;
       ++i) {
    const MemberInfo& it = live[(summary_round_ + i) % live.size()];
    if (it.state == MemberState::kAlive && !it.draining) {
      summary.contacts.push_back(it);
    }
  }
  std::vector<OutgoingMessage> out;
  for (const auto& [region, listed] : listed_contacts_) {
    std::string role =
        "speak/" + region.value() + "/" + std::to_string(summary_round_);
    if (!membership::HasRole(live, self.id, role,
                             membership::kSummarySendersPerRegion)) {
      continue;
    }
    ControlMessage message = NewMessageLocked();
    summary.sequence = ++summary_sequence_;
    message.summaries = {summary};
    out.push_back(
        {listed[summary_round_ % listed.size()].peer, std::move(message)});
  }
  return out;
}

void Cluster::OnTick() {
  Instant now = clock_->Now();
  uint8_t load = hooks_.load_percent();
  std::vector<OutgoingMessage> out;
  {
    std::lock_guard lock(mutex_);
    members_.UpdateSelf(load, members_.self().draining);
    out = members_.Tick(now);
  }
  std::vector<OutgoingMessage> summaries = SummariesDue(now);
  out.insert(out.end(), std::make_move_iterator(summaries.begin()),
             std::make_move_iterator(summaries.end()));
  Send(std::move(out));
}

}  // namespace basilvalve::gateway
