// Plays one event at one moment of a request and judges how the request ends.
#pragma once

#include <string>
#include <vector>

#include "UnitTests/Core/Edge/loss_walk_fleet.h"

namespace basilvalve::edge {

enum class WalkRoute { kOnce, kAgain, kStream, kSingle };
constexpr int kWalkRoutes = 4;

/// Where the request is when the event happens, in order.
enum class Moment {
  kUnused,
  kHeadPartlyRead,
  kHeadRead,
  kBodyPartlyRead,
  kInSocket,
  kPlaced,
  kPassedOn,
  kAnswerHead,
  kMidAnswer,
  kMidAnswerToClose,
  kPartlyWritten,
  kAnswered,
  kIdle,
  /// It and another one are sent while an earlier answer is unwritten.
  kBehindUnwritten,
};
constexpr int kMoments = 14;

enum class Event {
  kNone,
  kNewVersion,
  kTimeoutLowered,
  kRouteRemoved,
  kServiceMoved,
  kIdleLimitRaised,
  kIdleLimitLowered,
  kSizesLowered,
  kUpstreamDrains,
  kUpstreamRemoved,
  kOtherUpstreamRemoved,
  kPeerRecordGone,
  kPeerDrains,
  kOwnershipEnds,
  kDrain,
  kDrainTwice,
  kDrainClosesIdle,
  kDrainEnds,
  kPeerStops,
  kRelayClosedByPeer,
  kRelayClosedByEntry,
  kSilence,
};
constexpr int kEvents = 22;

struct WalkCase {
  Topology topology = Topology::kAlone;
  WalkRoute route = WalkRoute::kOnce;
  /// The request is the second of its connection.
  bool is_kept = false;
  Moment moment = Moment::kUnused;
  std::vector<Event> events;
};

/// Whether the case can be set up: the moment fits the connection, the events
/// the topology.
bool IsPossible(const WalkCase& walk);
std::string Describe(const WalkCase& walk);
/// Plays a case. Returns what broke a promise; empty if nothing did. Pre:
/// IsPossible. Thread safe.
std::string PlayWalk(const WalkCase& walk);

}  // namespace basilvalve::edge
