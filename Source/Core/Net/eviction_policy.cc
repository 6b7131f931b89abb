#include "Core/Edge/eviction_policy.h"

namespace basilvalve::edge {
namespace {

// Two retransmissions of a lost packet take less.
constexpr Millis kStallTime{1000};
// Evicting less than this frees hardly anything.
constexpr size_t kLargeBytes = size_t{64} * 1024;

}  // namespace

bool IsStalled(const net::UnfinishedRequest& request, Instant now) {
  return now - request.last_read >= kStallTime;
}

bool IsEvictedBefore(const net::UnfinishedRequest& left,
                     const net::UnfinishedRequest& right, Instant now) {
  bool is_left_large = left.bytes >= kLargeBytes;
  bool is_right_large = right.bytes >= kLargeBytes;
  if (is_left_large != is_right_large) {
    return is_left_large;
  }
  bool is_left_stalled = IsStalled(left, now);
  bool is_right_stalled = IsStalled(right, now);
  if (is_left_stalled != is_right_stalled) {
    return is_left_stalled;
  }
  return is_left_stalled ? left.last_read < right.last_read
                         : left.began > right.began;
}

bool IsUnread(const net::UnwrittenResponse& response, Instant now) {
  return response.bytes >= kLargeBytes &&
         now - response.last_written >= kStallTime;
}

}  // namespace basilvalve::edge
