// Encodes heartbeats between instances as MessagePack datagrams.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Core/Flow/fleet_view.h"
#include "Core/Flow/quota_limiter.h"

namespace basilvalve::edge {

/// Thread safe.
std::string EncodeHeartbeat(const flow::Heartbeat& heartbeat);
/// nullopt if the bytes are not a valid heartbeat. Thread safe.
std::optional<flow::Heartbeat> DecodeHeartbeat(std::string_view bytes);

/// Whether the bytes are a report of use. Thread safe.
bool IsUseDatagram(std::string_view bytes);
/// The use of an instance that sends no heartbeats. Thread safe.
std::string EncodeUseReport(const flow::QuotaReport& report);
/// nullopt if the bytes are not a valid report. Pre: IsUseDatagram. Thread
/// safe.
std::optional<flow::QuotaReport> DecodeUseReport(std::string_view bytes);

}  // namespace basilvalve::edge
