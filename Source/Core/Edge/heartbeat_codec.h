// Beats as datagrams (MessagePack).
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Core/Flow/fleet_view.h"

namespace basilvalve::edge {

/// Thread safe.
std::string EncodeHeartbeat(const flow::Heartbeat& beat);
/// nullopt for bytes that are no beat. Thread safe.
std::optional<flow::Heartbeat> DecodeHeartbeat(std::string_view bytes);

}  // namespace basilvalve::edge
