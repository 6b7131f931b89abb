#include "UnitTests/Core/Edge/loss_walk.h"

#include <algorithm>
#include <array>
#include <mutex>
#include <optional>

#include "UnitTests/Core/Edge/loss_walk_oracle.h"

namespace basilvalve::edge {
namespace {

constexpr std::array<const char*, kWalkRoutes> kPrefixes = {
    "/once/", "/again/", "/stream/", "/single/"};
constexpr std::array<const char*, kMoments> kMomentNames = {
    "unused",
    "head partly read",
    "head read",
    "body partly read",
    "in the socket",
    "placed",
    "passed on",
    "answer's head",
    "mid answer",
    "mid answer that ends by close",
    "answer partly written",
    "answered",
    "idle",
    "behind an unwritten answer"};
constexpr std::array<const char*, kEvents> kEventNames = {
    "none",
    "new version",
    "timeout lowered",
    "route removed",
    "service moved",
    "idle limit raised",
    "idle limit lowered",
    "sizes lowered",
    "upstream drains",
    "upstream removed",
    "other upstream removed",
    "peer's record gone",
    "peer drains",
    "ownership ends",
    "drain",
    "drain twice",
    "drain closes idle",
    "drain ends",
    "peer stops",
    "relay closed by peer",
    "relay closed by entry",
    "silence"};
constexpr std::array<const char*, 3> kTopologyNames = {"alone", "region",
                                                       "owner"};

constexpr int kStreamEvents = 4;
constexpr size_t kSmallPayload = 3;
// More than the buffers of a connection and the high watermark hold.
constexpr size_t kLargePayload = size_t{200} * 1024;
constexpr Millis kSilenceTime{1200};
// Just after an instance closes idle connections, and after it refuses calls.
constexpr Millis kCloseIdleTime{2560};
constexpr Millis kRejectTime{3200};
constexpr Millis kSettleTime{20};
constexpr Millis kLongestWait{9000};
const char* const kTestedId = "tested";
// Of the requests before and behind the tested one.
const char* const kLargeId = "large";
const char* const kNextId = "next";

bool IsStream(WalkRoute route) {
  return route == WalkRoute::kStream || route == WalkRoute::kSingle;
}

bool MayRunTwice(WalkRoute route) {
  return route == WalkRoute::kAgain || route == WalkRoute::kStream;
}

std::string StreamEvent(int id, size_t payload) {
  return "id: " + std::to_string(id) + "\ndata: " + std::string(payload, 'x') +
         "\n\n";
}

std::string WholeBody(WalkRoute route, size_t payload, int after) {
  std::string body;
  for (int id = after + 1; id <= kStreamEvents; ++id) {
    body += IsStream(route) ? StreamEvent(id, payload)
                            : std::string(payload, static_cast<char>('0' + id));
  }
  return body;
}

// An answer in three parts; the second one ends inside an event.
struct UpstreamAnswer {
  std::array<std::string, 3> parts;
  bool ends_by_close = false;

  void Write(const net::ServerConnection::Ptr& to, size_t first, size_t end) {
    for (size_t i = first; i < end; ++i) {
      to->Write(parts[i]);
    }
    if (end == parts.size()) {
      to->EndResponse(!ends_by_close);
    }
  }
};

UpstreamAnswer MakeAnswer(const net::ServerRequest& request, WalkRoute route,
                          size_t payload, bool ends_by_close) {
  int after = 0;
  if (const std::string* text = request.head.Find("Resume-After")) {
    after = std::stoi(*text);
  }
  std::string body = WholeBody(route, payload, after);
  size_t cut = body.size() * 3 / 8;
  UpstreamAnswer answer;
  answer.ends_by_close = ends_by_close;
  std::string& head = answer.parts[0];
  head = "HTTP/1.1 200 OK\r\nCall-Id: " + *request.head.Find("Call-Id") +
         "\r\nProof: p\r\n";
  answer.parts[1] = body.substr(0, cut);
  answer.parts[2] = body.substr(cut);
  if (!ends_by_close && IsStream(route)) {
    head += "Transfer-Encoding: chunked\r\n";
    answer.parts[1] = net::EncodeChunk(answer.parts[1]);
    answer.parts[2] =
        net::EncodeChunk(answer.parts[2]) + std::string(net::kLastChunk);
  } else if (!ends_by_close) {
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  head += "\r\n";
  return answer;
}

class WalkPlayer {
 public:
  explicit WalkPlayer(const WalkCase& walk)
      : walk_(walk),
        payload_(walk.moment == Moment::kPartlyWritten ||
                         walk.moment == Moment::kBehindUnwritten
                     ? kLargePayload
                     : kSmallPayload),
        fleet_(walk.topology,
               [this](const auto& upstream, const auto& connection,
                      const auto& request) {
                 OnRun(upstream, connection, request);
               }),
        caller_(fleet_.entry->public_endpoint()) {}

  std::string Play() {
    if (!fleet_.RunUntilPeerIsKnown()) {
      return "the peer is not known";
    }
    if (walk_.is_kept && !ServeOther("first")) {
      return "the connection's first request was not answered";
    }
    if (walk_.moment == Moment::kIdle) {
      fleet_.RunFor(state_.limits.idle_timeout * 4 / 5);
    }
    ReachMoment();
    if (!IsAtMoment()) {
      return "the moment was not reached";
    }
    for (Event event : walk_.events) {
      Apply(event);
    }
    GoOn();
    bool is_over = fleet_.RunUntil(
        [&] {
          caller_.Read();
          return caller_.closed() || Received().is_complete;
        },
        kLongestWait);
    std::string found = is_over ? Judge() : "no end";
    return found.empty() ? JudgeAfterwards() : found;
  }

 private:
  bool IsBehind() const { return walk_.moment == Moment::kBehindUnwritten; }

  void OnRun(const std::string& upstream,
             const net::ServerConnection::Ptr& connection,
             const net::ServerRequest& request) {
    const std::string& id = *request.head.Find("Call-Id");
    bool is_tested = id == kTestedId;
    was_next_run_ |= id == kNextId;
    UpstreamAnswer answer =
        MakeAnswer(request, walk_.route,
                   is_tested || id == kLargeId ? payload_ : kSmallPayload,
                   walk_.moment == Moment::kMidAnswerToClose);
    size_t written = answer.parts.size();
    if (is_tested) {
      runs_.push_back(upstream);
      if (runs_.size() == 1) {
        written = PartsBeforeEvent();
      }
    }
    answer.Write(connection, 0, written);
    if (written < answer.parts.size()) {
      held_ = [answer, connection, written]() mutable {
        answer.Write(connection, written, answer.parts.size());
      };
    }
  }

  size_t PartsBeforeEvent() const {
    switch (walk_.moment) {
      case Moment::kPlaced:
      case Moment::kPassedOn:
        return 0;
      case Moment::kAnswerHead:
        return 1;
      case Moment::kMidAnswer:
      case Moment::kMidAnswerToClose:
        return 2;
      default:
        return 3;
    }
  }

  std::string Request(const std::string& id) const {
    return EdgeFixture::Request(
        kPrefixes[static_cast<size_t>(walk_.route)], id, "0123456789abcdef",
        std::string("Patience: 9500\r\n") +
            (walk_.topology == Topology::kOwner ? "Tokens: 500\r\n" : ""));
  }

  // Has another request on the connection answered.
  bool ServeOther(const std::string& id) {
    caller_.Send(Request(id));
    bool is_served = fleet_.RunUntil(
        [&] {
          caller_.Read();
          return ParseAnswer(caller_.text()).is_complete;
        },
        kLongestWait);
    is_served = is_served && ParseAnswer(caller_.text()).status == 200;
    earlier_bytes_ = caller_.text().size();
    return is_served;
  }

  void Send(size_t until) {
    std::string request = Request(kTestedId);
    caller_.Send(request.substr(sent_, until - sent_));
    sent_ = until;
  }

  void ReachMoment() {
    std::string request = Request(kTestedId);
    size_t head = request.find("\r\n\r\n") + 4;
    switch (walk_.moment) {
      case Moment::kUnused:
        fleet_.RunFor(kSettleTime);
        return;
      case Moment::kAnswered:
      case Moment::kIdle:
        return;
      case Moment::kBehindUnwritten:
        caller_.Send(Request(kLargeId));
        fleet_.RunUntil([&] { return fleet_.entry->unwritten_bytes() > 0; },
                        kLongestWait);
        break;
      case Moment::kHeadPartlyRead:
        Send(head / 2);
        break;
      case Moment::kHeadRead:
        Send(head);
        break;
      case Moment::kBodyPartlyRead:
        Send(head + (request.size() - head) / 2);
        break;
      case Moment::kInSocket:
        fleet_.RunFor(kSettleTime);
        Send(request.size());
        return;
      case Moment::kPlaced:
        Send(request.size());
        fleet_.RunUntil([&] { return fleet_.entry->calls_in_flight() > 0; },
                        kLongestWait);
        return;
      case Moment::kPartlyWritten:
        Send(request.size());
        fleet_.RunUntil([&] { return fleet_.entry->unwritten_bytes() > 0; },
                        kLongestWait);
        break;
      default:
        Send(request.size());
        fleet_.RunUntil([&] { return !runs_.empty(); }, kLongestWait);
        break;
    }
    fleet_.RunFor(kSettleTime);
  }

  bool IsAtMoment() const {
    size_t calls = fleet_.entry->calls_in_flight();
    switch (walk_.moment) {
      case Moment::kPlaced:
        return calls == 1 && runs_.empty();
      case Moment::kPassedOn:
      case Moment::kAnswerHead:
      case Moment::kMidAnswer:
      case Moment::kMidAnswerToClose:
        return calls == 1 && runs_.size() == 1;
      case Moment::kPartlyWritten:
        return runs_.size() == 1 && fleet_.entry->unwritten_bytes() > 0;
      case Moment::kBehindUnwritten:
        return runs_.empty() && fleet_.entry->unwritten_bytes() > 0;
      default:
        return calls == 0 && runs_.empty() && !caller_.closed();
    }
  }

  void Apply(Event event) {
    const std::string upstream = runs_.empty() ? "u1" : runs_.front();
    switch (event) {
      case Event::kNone:
        break;
      case Event::kNewVersion:
        fleet_.Apply(state_);
        break;
      case Event::kTimeoutLowered:
        state_.timeout = Millis(500);
        fleet_.Apply(state_);
        break;
      case Event::kRouteRemoved:
        state_.removed_prefix = kPrefixes[static_cast<size_t>(walk_.route)];
        fleet_.Apply(state_);
        break;
      case Event::kServiceMoved:
        state_.service = ServiceName("other");
        fleet_.Apply(state_);
        break;
      case Event::kIdleLimitRaised:
        state_.limits.idle_timeout = Millis(8000);
        fleet_.Apply(state_);
        break;
      case Event::kIdleLimitLowered:
        state_.limits.idle_timeout = Millis(1000);
        fleet_.Apply(state_);
        break;
      case Event::kSizesLowered:
        state_.limits.header_bytes = 16;
        state_.limits.body_bytes = 4;
        fleet_.Apply(state_);
        break;
      case Event::kUpstreamDrains:
        fleet_.DrainUpstream(upstream);
        break;
      case Event::kUpstreamRemoved:
        fleet_.RemoveUpstream(upstream);
        break;
      case Event::kOtherUpstreamRemoved:
        fleet_.RemoveUpstream(upstream == "u1" ? "u2" : "u1");
        break;
      case Event::kPeerRecordGone:
        fleet_.RemovePeerRecord();
        break;
      case Event::kPeerDrains:
        fleet_.DrainPeer();
        break;
      case Event::kOwnershipEnds:
        fleet_.EndOwnership();
        break;
      case Event::kDrain:
        fleet_.DrainEntry();
        break;
      case Event::kDrainTwice:
        fleet_.DrainEntry();
        fleet_.DrainEntry();
        break;
      case Event::kDrainClosesIdle:
        fleet_.DrainEntry();
        RunUntilDrained(kCloseIdleTime);
        break;
      case Event::kDrainEnds:
        fleet_.DrainEntry();
        RunUntilDrained(kRejectTime);
        break;
      case Event::kPeerStops:
        fleet_.StopPeer();
        break;
      case Event::kRelayClosedByPeer:
        fleet_.relay.CloseAll(/*is_peer_side_first=*/false);
        break;
      case Event::kRelayClosedByEntry:
        fleet_.relay.CloseAll(/*is_peer_side_first=*/true);
        break;
      case Event::kSilence:
        fleet_.RunFor(kSilenceTime);
        break;
    }
  }

  void RunUntilDrained(Millis since_begin) {
    Micros left = fleet_.entry_drain_began + since_begin - fleet_.loop.Now();
    fleet_.RunFor(std::max(Millis(0), std::chrono::ceil<Millis>(left)));
  }

  void GoOn() {
    if (walk_.moment != Moment::kInSocket && walk_.moment != Moment::kPlaced) {
      fleet_.RunFor(kSettleTime);
    }
    if (IsBehind()) {
      sent_ = Request(kTestedId).size();
      caller_.Send(Request(kTestedId) + Request(kNextId));
      fleet_.RunFor(kSettleTime);
    } else if (walk_.moment != Moment::kPartlyWritten) {
      caller_.Read();
    }
    Send(Request(kTestedId).size());
    if (walk_.moment == Moment::kPlaced && !held_) {
      fleet_.RunFor(kSettleTime);
    }
    if (held_) {
      auto write_rest = std::exchange(held_, nullptr);
      write_rest();
    }
  }

  ReceivedAnswer Received() const {
    std::string_view text = caller_.text();
    text = text.substr(earlier_bytes_);
    if (IsBehind()) {
      text = text.substr(ParseAnswer(text).bytes);
    }
    return ParseAnswer(text);
  }

  std::string Judge() const {
    ReceivedAnswer answer = Received();
    if (answer.status == 200 && answer.is_complete) {
      if (answer.body != WholeBody(walk_.route, payload_, 0)) {
        return "another body than the upstream's";
      }
      return runs_.empty() ? "an answer without an upstream" : "";
    }
    PermittedEnds ends = EndsPermittedTo(walk_);
    if (answer.is_complete) {
      bool is_permitted = ends.not_allowed;
      if (answer.status == 503) {
        is_permitted = ends.refused;
      } else if (answer.status == 502 || answer.status == 504) {
        is_permitted = ends.unknown;
      }
      return is_permitted ? "" : "answered " + std::to_string(answer.status);
    }
    if (answer.status == 0) {
      return ends.unread && caller_.text().size() == earlier_bytes_
                 ? ""
                 : "closed without an answer";
    }
    if (!WholeBody(walk_.route, payload_, 0).starts_with(answer.body)) {
      return "events that the upstream did not send";
    }
    return ends.broken_off ? "" : "broken off";
  }

  // What holds however the request ended.
  std::string JudgeAfterwards() {
    ReceivedAnswer answer = Received();
    constexpr Millis kReportInterval{500};
    std::string left;
    fleet_.RunUntil(
        [&] {
          left = fleet_.Leftovers();
          return left.empty();
        },
        kReportInterval);
    fleet_.RunFor(kSettleTime);
    caller_.Read();
    if (IsBehind()) {
      return left.empty() ? JudgeNext() : left;
    }
    if (answer.is_complete &&
        caller_.text().size() != earlier_bytes_ + answer.bytes) {
      return "bytes behind the answer";
    }
    bool is_not_run = answer.is_complete && answer.status != 200 &&
                      answer.status != 502 && answer.status != 504;
    bool is_unread = answer.status == 0;
    if ((is_not_run || is_unread) && !runs_.empty()) {
      return "run, though status " + std::to_string(answer.status) +
             " says that it was not";
    }
    size_t most = MayRunTwice(walk_.route) ? 2 : 1;
    if (runs_.size() > most) {
      return "run " + std::to_string(runs_.size()) + " times";
    }
    return left;
  }

  // The request behind the tested one is answered, unless it was not taken.
  std::string JudgeNext() const {
    std::string_view text = caller_.text();
    text = text.substr(earlier_bytes_);
    ReceivedAnswer first = ParseAnswer(text);
    if (first.status != 200 || !first.is_complete) {
      return "the earlier answer was cut";
    }
    text = text.substr(first.bytes);
    ReceivedAnswer tested = ParseAnswer(text);
    bool ends =
        text.substr(0, text.find("\r\n\r\n")).find("Connection: close") !=
        std::string_view::npos;
    text = text.substr(tested.bytes);
    if (!tested.is_complete || ends) {
      return text.empty() && !was_next_run_ ? "" : "taken behind the last one";
    }
    ReceivedAnswer next = ParseAnswer(text);
    return next.is_complete && next.bytes == text.size()
               ? ""
               : "the next request was not answered";
  }

  const WalkCase& walk_;
  size_t payload_;
  WalkState state_;
  std::vector<std::string> runs_;
  std::function<void()> held_;
  bool was_next_run_ = false;
  size_t sent_ = 0;
  size_t earlier_bytes_ = 0;
  WalkFleet fleet_;
  WalkCaller caller_;
};

}  // namespace

bool IsPossible(const WalkCase& walk) {
  if ((walk.moment == Moment::kUnused && walk.is_kept) ||
      (walk.moment >= Moment::kAnswered && !walk.is_kept)) {
    return false;
  }
  if (walk.moment == Moment::kBehindUnwritten &&
      walk.topology != Topology::kAlone) {
    return false;
  }
  return std::all_of(walk.events.begin(), walk.events.end(), [&](Event event) {
    switch (event) {
      case Event::kOwnershipEnds:
        return walk.topology == Topology::kOwner;
      case Event::kPeerRecordGone:
      case Event::kPeerDrains:
      case Event::kPeerStops:
      case Event::kRelayClosedByPeer:
      case Event::kRelayClosedByEntry:
        return walk.topology != Topology::kAlone;
      default:
        return true;
    }
  });
}

std::string Describe(const WalkCase& walk) {
  std::string text = kTopologyNames[static_cast<size_t>(walk.topology)];
  text += std::string(" ") + kPrefixes[static_cast<size_t>(walk.route)];
  text += walk.is_kept ? " kept, " : " new, ";
  text += kMomentNames[static_cast<size_t>(walk.moment)];
  for (Event event : walk.events) {
    text += std::string(" + ") + kEventNames[static_cast<size_t>(event)];
  }
  return text;
}

std::string PlayWalk(const WalkCase& walk) {
  std::optional<WalkPlayer> player;
  {
    // The assertions of the fixtures may not run concurrently.
    static std::mutex mutex;
    std::lock_guard lock(mutex);
    player.emplace(walk);
  }
  return player->Play();
}

}  // namespace basilvalve::edge
