// Which requests and responses give way when memory or connections run short.
#pragma once

#include "Core/Net/server_connection.h"

namespace basilvalve::net {

/// Whether the caller has sent nothing for a while. Thread safe.
bool IsStalled(const UnfinishedRequest& request, Instant now);
/// Whether the request has been incomplete for a while. Thread safe.
bool IsSlow(const UnfinishedRequest& request, Instant now);
/// Whether `left` is evicted before `right`: large ones before small ones,
/// stalled ones before others, the longest stalled first, then the newest.
/// Pre: both hold bytes. Thread safe.
bool IsEvictedBefore(const UnfinishedRequest& left,
                     const UnfinishedRequest& right, Instant now);
/// Whether the caller has read nothing of a large response for a while. Thread
/// safe.
bool IsUnread(const UnwrittenResponse& response, Instant now);
/// The same for a response of any size. Thread safe.
bool IsStuck(const UnwrittenResponse& response, Instant now);

}  // namespace basilvalve::net
