#include "Core/Net/eviction_policy.h"

namespace basilvalve::net {
namespace {

// Two retransmissions of a lost packet take less.
constexpr Millis kStallTime{1000};
// Evicting less than this frees hardly anything.
constexpr size_t kLargeBytes = size_t{64} * 1024;

}  // namespace

bool IsStalled(const UnfinishedRequest& request, Instant now) {
  return now - request.last_read >= kStallTime;
}

bool IsSlow(const UnfinishedRequest& request, Instant now) {
  return request.bytes > 0 && now - request.began >= kStallTime;
}

bool IsEvictedBefore(const UnfinishedRequest& left,
                     const UnfinishedRequest& right, Instant now) {
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

bool IsStuck(const UnwrittenResponse& response, Instant now) {
  return response.bytes > 0 && now - response.last_written >= kStallTime;
}

bool IsUnread(const UnwrittenResponse& response, Instant now) {
  return response.bytes >= kLargeBytes && IsStuck(response, now);
}

}  // namespace basilvalve::net
