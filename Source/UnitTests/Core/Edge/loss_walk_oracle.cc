#include "UnitTests/Core/Edge/loss_walk_oracle.h"

#include <charconv>

namespace basilvalve::edge {
namespace {

// No byte of the tested request has been sent.
bool IsUnsent(Moment moment) {
  return moment == Moment::kUnused || moment >= Moment::kAnswered;
}

bool IsPartlySent(Moment moment) {
  return moment >= Moment::kHeadPartlyRead && moment <= Moment::kBodyPartlyRead;
}

bool IsPlaced(Moment moment) {
  return moment >= Moment::kPlaced && moment <= Moment::kPartlyWritten;
}

PermittedEnds PermittedBy(Event event, Moment moment) {
  PermittedEnds ends;
  switch (event) {
    case Event::kRouteRemoved:
      // A request is matched once it is complete.
      ends.not_allowed = !IsPlaced(moment);
      break;
    case Event::kSizesLowered:
      // Only a request of which nothing was read gets the new limits.
      ends.not_allowed = IsUnsent(moment) || moment == Moment::kInSocket;
      break;
    case Event::kDrainClosesIdle:
      // A request that crosses the close is not read.
    case Event::kDrainEnds:
      // One that is completed late in a drain and may outlast it is refused.
      ends.unread = IsUnsent(moment);
      ends.refused = IsUnsent(moment) || IsPartlySent(moment);
      break;
    case Event::kPeerRecordGone:
    case Event::kPeerDrains:
      // No other instance can send to the upstreams.
      ends.refused = !IsPlaced(moment) || moment == Moment::kPlaced;
      break;
    case Event::kPeerStops:
    case Event::kRelayClosedByPeer:
    case Event::kRelayClosedByEntry:
      // The connection over which the answer would come is gone.
      ends.refused = !IsPlaced(moment) || moment == Moment::kPlaced;
      ends.unknown = IsPlaced(moment) || moment == Moment::kInSocket;
      ends.broken_off = IsPlaced(moment);
      break;
    case Event::kSilence:
      // The idle limit passes meanwhile.
      ends.unread = moment == Moment::kIdle;
      break;
    default:
      // Nothing else concerns a request that has been sent.
      break;
  }
  return ends;
}

}  // namespace

ReceivedAnswer ParseAnswer(std::string_view text) {
  ReceivedAnswer answer;
  size_t at = text.find("\r\n\r\n");
  if (at == std::string_view::npos || !text.starts_with("HTTP/1.1 ")) {
    return answer;
  }
  answer.status = std::stoi(std::string(text.substr(9, 3)));
  std::string_view head = text.substr(0, at);
  at += 4;
  constexpr std::string_view kLength = "Content-Length: ";
  if (size_t found = head.find(kLength); found != std::string_view::npos) {
    size_t length =
        std::stoul(std::string(head.substr(found + kLength.size())));
    answer.body = std::string(text.substr(at, length));
    answer.is_complete = answer.body.size() == length;
    answer.bytes = at + answer.body.size();
    return answer;
  }
  while (true) {
    size_t line_end = text.find("\r\n", at);
    size_t size = 0;
    if (line_end == std::string_view::npos ||
        std::from_chars(text.data() + at, text.data() + line_end, size, 16)
                .ec != std::errc()) {
      return answer;
    }
    at = line_end + 2;
    answer.body += text.substr(at, size);
    if (at + size + 2 > text.size()) {
      return answer;
    }
    at += size + 2;
    answer.bytes = at;
    if (size == 0) {
      answer.is_complete = true;
      return answer;
    }
  }
}

PermittedEnds EndsPermittedTo(const WalkCase& walk) {
  PermittedEnds ends;
  bool is_idle_limit_lower = false;
  for (Event event : walk.events) {
    ends.Add(PermittedBy(event, walk.moment));
    is_idle_limit_lower =
        is_idle_limit_lower || event == Event::kIdleLimitLowered;
    // The lower limit passes on a connection that nothing was sent on.
    ends.unread = ends.unread || (event == Event::kSilence &&
                                  is_idle_limit_lower && IsUnsent(walk.moment));
  }
  return ends;
}

}  // namespace basilvalve::edge
