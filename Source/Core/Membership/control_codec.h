// Encodes control messages as datagrams: msgpack followed by a truncated MAC.
#pragma once

#include <string>
#include <string_view>

#include "Core/Common/keyring.h"
#include "Core/Common/result.h"
#include "Core/Membership/control_message.h"

namespace basilvalve::membership {

/// Largest datagram that is sent; it fits one packet, so that IP does not
/// fragment it.
inline constexpr size_t kMaxDatagramBytes = 1400;

/// Encodes and signs a message. Thread safe.
std::string EncodeControl(const ControlMessage& message,
                          const Keyring& keyring);
/// Verifies and decodes a datagram. Fails with kUnauthenticated if the MAC does
/// not match and with kMalformedRequest for any other error. Thread safe.
Result<ControlMessage> DecodeControl(std::string_view datagram,
                                     const Keyring& keyring);

}  // namespace basilvalve::membership
