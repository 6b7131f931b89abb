#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>

#include "Core/Membership/control_codec.h"
#include "Core/Membership/member_table.h"
#include "Core/Membership/region_table.h"
#include "Core/Membership/replay_guard.h"
#include "Core/Membership/role_assignment.h"

namespace basilvalve::membership {
namespace {

MemberInfo MakeMember(int index, uint64_t incarnation) {
  MemberInfo info;
  info.id = InstanceId("n" + std::to_string(index));
  info.region = RegionId("munich");
  info.incarnation = Incarnation(incarnation);
  info.peer = {"10.0.0.1", static_cast<uint16_t>(index + 1)};
  info.caller = info.peer;
  return info;
}

/// Member tables connected by a simulated network on virtual time, with message
/// loss, one-way link cuts and paused members.
class SimulatedNetwork {
 public:
  SimulatedNetwork(int size, uint64_t seed) : random_(seed) {
    for (int i = 0; i < size; ++i) {
      Start(i, 1);
    }
  }

  void Start(int index, uint64_t incarnation) {
    MemberInfo self = MakeMember(index, incarnation);
    auto table = std::make_unique<MemberTable>(MembershipSettings{}, self,
                                               random_.Next());
    for (int i = 0; i < 64; ++i) {
      MemberInfo other = MakeMember(i, 0);
      if (i != index && (tables_.contains(i) || i < index)) {
        table->AddDiscovered(other, now_);
      }
    }
    tables_[index] = std::move(table);
  }

  void Run(Millis time) {
    for (Instant end = now_ + time; now_ < end; now_ += Millis(100)) {
      DeliverMessages();
      for (auto& [index, table] : tables_) {
        if (!paused.contains(index)) {
          EnqueueMessages(index, table->Tick(now_));
        }
      }
    }
  }

  /// Number of running members other than `index` that see it in the given
  /// state.
  int CountMembersSeeing(int index, MemberState state) {
    int n = 0;
    for (auto& [i, table] : tables_) {
      std::optional<MemberInfo> info =
          table->Find(InstanceId("n" + std::to_string(index)));
      n += i != index && !paused.contains(i) && info && info->state == state
               ? 1
               : 0;
    }
    return n;
  }

  std::map<int, std::unique_ptr<MemberTable>>& tables() { return tables_; }

  std::set<int> paused;
  std::set<std::pair<int, int>>
      cut_links;  // (from, to); a link may be cut one way
  uint64_t loss_percent = 0;

 private:
  struct InFlight {
    int from;
    int to;
    ControlMessage message;
  };

  void EnqueueMessages(int from, std::vector<OutgoingMessage> messages) {
    for (OutgoingMessage& it : messages) {
      int to = it.to.port - 1;
      bool lost =
          cut_links.contains({from, to}) || random_.Below(100) < loss_percent;
      if (!lost) {
        queue_.push_back({from, to, std::move(it.message)});
      }
    }
  }

  void DeliverMessages() {
    // A paused process reads its queued messages when it resumes.
    std::vector<InFlight> messages;
    messages.swap(queue_);
    for (InFlight& it : messages) {
      if (paused.contains(it.to)) {
        queue_.push_back(std::move(it));
      } else if (tables_.contains(it.to)) {
        EnqueueMessages(it.to, tables_[it.to]->OnMessage(it.message, now_));
      }
    }
  }

  Random random_;
  Instant now_{Seconds(1)};
  std::map<int, std::unique_ptr<MemberTable>> tables_;
  std::vector<InFlight> queue_;
};

constexpr int kMemberCount = 8;

TEST_CASE("all members see each other alive, even over a lossy network") {
  for (uint64_t loss : {0, 10, 30}) {
    SimulatedNetwork network(kMemberCount, 1 + loss);
    network.loss_percent = loss;
    network.Run(Millis(20000));
    network.loss_percent = 0;
    network.Run(Millis(10000));
    for (int i = 0; i < kMemberCount; ++i) {
      CHECK(network.CountMembersSeeing(i, MemberState::kAlive) ==
            kMemberCount - 1);
    }
  }
}

TEST_CASE("all members see a crashed member as dead within fifteen seconds") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedNetwork network(kMemberCount, seed);
    network.Run(Millis(5000));
    network.tables().erase(3);
    network.Run(Millis(15000));
    INFO("seed " << seed);
    CHECK(network.CountMembersSeeing(3, MemberState::kAlive) == 0);
    CHECK(network.CountMembersSeeing(3, MemberState::kDead) ==
          kMemberCount - 1);
  }
}

TEST_CASE("a resumed member refutes that it was declared dead") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedNetwork network(kMemberCount, seed);
    network.Run(Millis(5000));
    network.paused.insert(2);
    network.Run(Millis(15000));
    CHECK(network.CountMembersSeeing(2, MemberState::kDead) ==
          kMemberCount - 1);
    network.paused.clear();
    network.Run(Millis(20000));
    INFO("seed " << seed);
    CHECK(network.CountMembersSeeing(2, MemberState::kAlive) ==
          kMemberCount - 1);
  }
}

TEST_CASE("no member is declared dead because single links are cut") {
  struct Row {
    std::set<std::pair<int, int>> cut_links;
  };
  for (const Row& row :
       {Row{{{0, 1}}}, Row{{{0, 1}, {1, 0}}}, Row{{{2, 0}, {3, 0}}}}) {
    SimulatedNetwork network(kMemberCount, 7);
    network.Run(Millis(5000));
    network.cut_links = row.cut_links;
    network.Run(Millis(30000));
    for (int i = 0; i < kMemberCount; ++i) {
      CHECK(network.CountMembersSeeing(i, MemberState::kDead) == 0);
    }
  }
}

TEST_CASE("both halves of a healed partition rediscover each other") {
  SimulatedNetwork network(kMemberCount, 9);
  network.Run(Millis(5000));
  for (int a = 0; a < kMemberCount; ++a) {
    for (int b = 0; b < kMemberCount; ++b) {
      if ((a < 4) != (b < 4)) {
        network.cut_links.insert({a, b});
      }
    }
  }
  network.Run(Millis(20000));
  CHECK(network.CountMembersSeeing(0, MemberState::kDead) == 4);
  network.cut_links.clear();
  network.Run(Millis(30000));
  for (int i = 0; i < kMemberCount; ++i) {
    CHECK(network.CountMembersSeeing(i, MemberState::kAlive) ==
          kMemberCount - 1);
  }
}

TEST_CASE("a restarted member replaces its earlier incarnation") {
  SimulatedNetwork network(kMemberCount, 11);
  network.Run(Millis(5000));
  network.tables().erase(5);
  network.Run(Millis(2000));
  network.Start(5, 2);
  network.Run(Millis(15000));
  CHECK(network.CountMembersSeeing(5, MemberState::kAlive) == kMemberCount - 1);
  CHECK(network.tables()[0]->Find(InstanceId("n5"))->incarnation ==
        Incarnation(2));
}

TEST_CASE("a member that left is seen as left, without a suspicion") {
  SimulatedNetwork network(kMemberCount, 13);
  network.Run(Millis(5000));
  for (OutgoingMessage& it : network.tables()[6]->Leave()) {
    int to = it.to.port - 1;
    network.tables()[to]->OnMessage(it.message, Instant(Seconds(6)));
  }
  network.tables().erase(6);
  network.Run(Millis(3000));
  CHECK(network.CountMembersSeeing(6, MemberState::kLeft) == kMemberCount - 1);
}

TEST_CASE("order of two reports about the same member") {
  struct Row {
    uint64_t left_incarnation;
    uint32_t left_revision;
    MemberState left;
    uint64_t right_incarnation;
    uint32_t right_revision;
    MemberState right;
    bool replaces;
  };
  constexpr auto kAlive = MemberState::kAlive;
  constexpr auto kSuspect = MemberState::kSuspect;
  constexpr auto kDead = MemberState::kDead;
  constexpr auto kLeft = MemberState::kLeft;
  std::vector<Row> rows = {{2, 0, kAlive, 1, 9, kDead, true},
                           {1, 9, kDead, 2, 0, kAlive, false},
                           {1, 1, kAlive, 1, 0, kSuspect, true},
                           {1, 0, kAlive, 1, 0, kSuspect, false},
                           {1, 0, kSuspect, 1, 0, kAlive, true},
                           {1, 0, kAlive, 1, 0, kAlive, false},
                           {1, 5, kAlive, 1, 4, kLeft, false},
                           {1, 3, kAlive, 1, 2, kDead, true}};
  for (const Row& row : rows) {
    MemberInfo left = MakeMember(1, row.left_incarnation);
    left.revision = row.left_revision;
    left.state = row.left;
    MemberInfo right = MakeMember(1, row.right_incarnation);
    right.revision = row.right_revision;
    right.state = row.right;
    CHECK(Supersedes(left, right) == row.replaces);
  }
}

TEST_CASE("control messages round-trip, damaged datagrams are rejected") {
  Keyring keyring = *Keyring::FromSetting("membership-test-01");
  ControlMessage message;
  message.kind = ControlKind::kSummary;
  message.sender = InstanceId("n1");
  message.incarnation = Incarnation(4);
  message.sequence = Sequence(9);
  message.members = {MakeMember(1, 4), MakeMember(2, 5)};
  message.document_hash = 77;
  message.notices = {{UpstreamId("u"), 12}};
  RegionSummary summary;
  summary.region = RegionId("munich");
  summary.sequence = 3;
  summary.models = {{ModelName("m"), 120, 4}};
  summary.services = {ServiceName("payments")};
  summary.contacts = {MakeMember(1, 4)};
  message.summaries = {summary};
  std::string datagram = EncodeControl(message, keyring);
  Result<ControlMessage> decoded = DecodeControl(datagram, keyring);
  REQUIRE(decoded.has_value());
  CHECK(EncodeControl(*decoded, keyring) == datagram);
  for (size_t i = 0; i < datagram.size(); ++i) {
    std::string damaged = datagram;
    damaged[i] = static_cast<char>(damaged[i] ^ 1);
    CHECK_FALSE(DecodeControl(damaged, keyring).has_value());
    CHECK_FALSE(DecodeControl(datagram.substr(0, i), keyring).has_value());
  }
  CHECK_FALSE(
      DecodeControl(datagram, *Keyring::FromSetting("another-key-00001"))
          .has_value());
}

TEST_CASE(
    "replayed and outdated messages are rejected, reordered ones accepted") {
  ReplayGuard guard;
  struct Row {
    uint64_t incarnation;
    uint64_t sequence;
    bool accepted;
  };
  std::vector<Row> rows = {{1, 5, true},    {1, 5, false},   {1, 4, true},
                           {1, 4, false},   {1, 3000, true}, {1, 6, false},
                           {1, 2500, true}, {2, 1, true},    {1, 3001, false},
                           {2, 1, false},   {2, 2, true}};
  for (const Row& row : rows) {
    INFO(row.incarnation << "/" << row.sequence);
    CHECK(guard.Accept(InstanceId("n"), Incarnation(row.incarnation),
                       Sequence(row.sequence)) == row.accepted);
  }
}

TEST_CASE("the relay tree reaches every member with a document") {
  for (int size : {1, 2, 3, 10, 60}) {
    std::vector<MemberInfo> live;
    for (int i = 0; i < size; ++i) {
      live.push_back(MakeMember(i, 1));
    }
    std::set<std::string> receivers = {"n0"};
    std::vector<MemberInfo> next =
        RelayTargets(live, InstanceId("n0"), "doc", true);
    int sends = 0;
    while (!next.empty()) {
      std::vector<MemberInfo> later;
      for (const MemberInfo& it : next) {
        ++sends;
        if (receivers.insert(it.id.value()).second) {
          std::vector<MemberInfo> targets =
              RelayTargets(live, it.id, "doc", false);
          CHECK(targets.size() <= kRelayFanOut);
          later.insert(later.end(), targets.begin(), targets.end());
        }
      }
      next = later;
    }
    CHECK(static_cast<int>(receivers.size()) == size);
    CHECK(sends <= size + 2 * static_cast<int>(kRelayFanOut));
  }
}

TEST_CASE(
    "a region without summaries is unreachable, its reconnection is recorded") {
  RegionTable table(Millis(10000));
  RegionSummary summary;
  summary.region = RegionId("augsburg");
  summary.sequence = 1;
  table.UpdateSummary(summary, InstanceId("a1"), Instant(Seconds(1)));
  CHECK(table.Reachable(Instant(Seconds(5))).size() == 1);
  CHECK(table.Reachable(Instant(Seconds(20))).empty());
  table.UpdateSummary(summary, InstanceId("a1"),
                      Instant(Seconds(21)));  // the first summary again
  CHECK(table.Reachable(Instant(Seconds(21))).empty());
  summary.sequence = 2;
  table.UpdateSummary(summary, InstanceId("a1"), Instant(Seconds(22)));
  REQUIRE(table.Reachable(Instant(Seconds(22))).size() == 1);
  CHECK(table.Reachable(Instant(Seconds(22)))[0].reconnected_at ==
        Instant(Seconds(22)));
}

}  // namespace
}  // namespace basilvalve::membership
