// Which requests and responses of callers give way when memory is low.
#pragma once

#include "Core/Net/server_connection.h"

namespace basilvalve::edge {

/// Whether the caller has sent nothing for a while. Thread safe.
bool IsStalled(const net::UnfinishedRequest& request, Instant now);
/// Whether `left` is evicted before `right`: large ones before small ones,
/// stalled ones before others, the longest stalled first, then the newest.
/// Pre: both hold bytes. Thread safe.
bool IsEvictedBefore(const net::UnfinishedRequest& left,
                     const net::UnfinishedRequest& right, Instant now);
/// Whether the caller has read nothing of a large response for a while. Thread
/// safe.
bool IsUnread(const net::UnwrittenResponse& response, Instant now);

}  // namespace basilvalve::edge
