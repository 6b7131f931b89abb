// Datagram form of control messages: msgpack, followed by a truncated MAC.
#pragma once

#include <string>
#include <string_view>

#include "Core/Common/keyring.h"
#include "Core/Common/result.h"
#include "Core/Membership/control_message.h"

namespace basilvalve::membership {

/// Largest datagram that is sent, so that none is fragmented.
inline constexpr size_t kMaxDatagramBytes = 1400;

/// Encodes and signs. Thread safe.
std::string EncodeControl(const ControlMessage& message,
                          const Keyring& keyring);
/// Verifies and decodes. Fails with kUnauthenticated for a wrong MAC and with
/// kMalformedRequest for other faults. Thread safe.
Result<ControlMessage> DecodeControl(std::string_view datagram,
                                     const Keyring& keyring);

}  // namespace basilvalve::membership
