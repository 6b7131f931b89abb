// Encodes heartbeats between instances as MessagePack datagrams.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Core/Flow/fleet_view.h"

namespace basilvalve::edge {

/// Thread safe.
std::string EncodeHeartbeat(const flow::Heartbeat& heartbeat);
/// nullopt if the bytes are not a valid heartbeat. Thread safe.
std::optional<flow::Heartbeat> DecodeHeartbeat(std::string_view bytes);

}  // namespace basilvalve::edge
