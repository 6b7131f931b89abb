// How a request of a walk ended, and how it may end.
#pragma once

#include <string>
#include <string_view>

#include "UnitTests/Core/Edge/loss_walk.h"

namespace basilvalve::edge {

/// What a caller has received for one request.
struct ReceivedAnswer {
  int status = 0;
  std::string body;
  bool is_complete = false;
  size_t bytes = 0;
};

/// Reads the first answer of `text`, without the parser of the product. Thread
/// safe.
ReceivedAnswer ParseAnswer(std::string_view text);

/// The ends that a walk permits besides a complete answer.
struct PermittedEnds {
  /// 503, and no upstream got the request.
  bool refused = false;
  /// 404, 413 or 431, and no upstream got the request.
  bool not_allowed = false;
  /// 502 or 504, and an upstream may have got it.
  bool unknown = false;
  /// A stream without its end.
  bool broken_off = false;
  /// The connection ends without a byte, and no upstream got the request.
  bool unread = false;

  void Add(const PermittedEnds& other) {
    refused |= other.refused;
    not_allowed |= other.not_allowed;
    unknown |= other.unknown;
    broken_off |= other.broken_off;
    unread |= other.unread;
  }
};

/// Thread safe.
PermittedEnds EndsPermittedTo(const WalkCase& walk);

}  // namespace basilvalve::edge
