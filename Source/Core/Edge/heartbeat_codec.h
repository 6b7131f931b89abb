// Beats as datagrams (MessagePack).
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Core/Flow/fleet_view.h"

namespace basilvalve::edge {

/// Thread safe.
std::string EncodeHeartbeat(const flow::Beat& beat);
/// nullopt for bytes that are no beat. Thread safe.
std::optional<flow::Beat> DecodeHeartbeat(std::string_view bytes);

}  // namespace basilvalve::edge
