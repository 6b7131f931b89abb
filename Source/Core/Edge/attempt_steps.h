// What each attempt of a call does alike, whichever of them the call goes on
// with.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "Core/Edge/attempt.h"

namespace basilvalve::edge {

/// Tells a call from the others of a connection. Thread safe.
net::RequestKey KeyOf(const RequestId& id);

/// Sends the call on the connection. `observer` gets the response. Not thread
/// safe.
void SendAttempt(EdgeComponents* components, Attempt* attempt,
                 std::shared_ptr<net::ClientConnection> connection,
                 std::string bytes, net::RequestKey key,
                 net::ClientObserver* observer);

/// Records the head of a response in the attempt, and what it tells about its
/// sender. False if it is a response to another call, which ends nothing. Not
/// thread safe.
bool ReadHead(EdgeComponents* components, const CallParams& params,
              Attempt* attempt, const net::MessageHead& head);

/// Whether the head of the response ends a race between two attempts: a plain
/// response with it would be forwarded. Pre: ReadHead returned true. Not thread
/// safe.
bool IsWinningHead(const Attempt& attempt);
/// Whether the status of the response is an error of the upstream. Not thread
/// safe.
bool IsUpstreamError(const Attempt& attempt);

/// How the connection of an attempt failed.
struct ConnectionFailure {
  /// Set if nothing of the call was sent.
  std::optional<NotRunProof> unsent;
  /// An idle connection that the other side has closed, or on which it has sent
  /// bytes; this shows nothing about that side.
  bool is_stale = false;
};

/// Ends an attempt whose connection failed, and records the failure of its
/// upstream or peer. Not thread safe.
ConnectionFailure FailAttempt(EdgeComponents* components,
                              const CallParams& params, Attempt* attempt);

/// Ends an attempt that is still active: its load is given back and its
/// connection aborted. Returns a proof if nothing of the call was sent. Pre:
/// `attempt->is_active`. Not thread safe.
std::optional<NotRunProof> CancelAttempt(EdgeComponents* components,
                                         Attempt* attempt);

}  // namespace basilvalve::edge
