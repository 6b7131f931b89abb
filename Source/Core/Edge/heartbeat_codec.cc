#include "Core/Edge/heartbeat_codec.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace basilvalve::edge {
namespace {

using nlohmann::json;

// First element of each datagram; datagrams with another version are ignored.
constexpr int kFormatVersion = 5;
// Elements behind those that every instance sends; an instance that does not
// know them ignores them.
constexpr size_t kPoisonIndex = 17;
constexpr size_t kLeavingIndex = 18;
constexpr size_t kLimitIndex = 19;
constexpr size_t kEraIndex = 20;
constexpr size_t kUseIndex = 21;
constexpr size_t kHedgesIndex = 22;

// Begins reports of use that are not part of a heartbeat.
constexpr std::string_view kUseMagic = "BVU1";

// Bounds what a datagram can add to the state of its receiver.
constexpr size_t kMaxPoisonRows = 64;
constexpr size_t kMaxHedgeRows = 64;

json EncodePoison(const flow::PoisonReport& report) {
  json crashed_calls = json::array();
  for (const flow::CrashedCall& it : report.crashed_calls) {
    json row = {it.crash.value(), it.upstream.value(),
                std::chrono::floor<Millis>(it.age).count()};
    for (flow::PromptPartId part : it.parts) {
      row.push_back(part.value());
    }
    crashed_calls.push_back(std::move(row));
  }
  json survivals = json::array();
  for (const flow::PartSurvival& it : report.survivals) {
    survivals.push_back(
        {it.part.value(), std::chrono::floor<Millis>(it.age).count()});
  }
  json verdicts = json::array();
  for (const flow::PartVerdict& it : report.verdicts) {
    verdicts.push_back({it.part.value(), it.generation, it.is_blocked,
                        std::chrono::ceil<Millis>(it.time_left).count(),
                        it.probes,
                        std::chrono::floor<Millis>(it.idle).count()});
  }
  json poison = json::array();
  poison.push_back(std::move(crashed_calls));
  poison.push_back(std::move(survivals));
  poison.push_back(std::move(verdicts));
  return poison;
}

Millis ReadMillis(const json& value) {
  // A day: far more than any of the times, and safe to add to an instant.
  return Millis(std::clamp<int64_t>(value.get<int64_t>(), 0, 86'400'000));
}

flow::PoisonReport ReadPoison(const json& poison) {
  flow::PoisonReport report;
  for (const json& row : poison.at(0)) {
    if (report.crashed_calls.size() < kMaxPoisonRows) {
      flow::CrashedCall& it = report.crashed_calls.emplace_back();
      it.crash = flow::CrashId(row.at(0).get<uint64_t>());
      it.upstream = flow::UpstreamShortId(row.at(1).get<uint64_t>());
      it.age = ReadMillis(row.at(2));
      for (size_t i = 3; i < row.size(); ++i) {
        it.parts.emplace_back(row.at(i).get<uint64_t>());
      }
    }
  }
  for (const json& row : poison.at(1)) {
    if (report.survivals.size() < kMaxPoisonRows) {
      report.survivals.push_back({flow::PromptPartId(row.at(0).get<uint64_t>()),
                                  ReadMillis(row.at(1))});
    }
  }
  for (const json& row : poison.at(2)) {
    if (report.verdicts.size() < kMaxPoisonRows) {
      flow::PartVerdict& it = report.verdicts.emplace_back();
      it.part = flow::PromptPartId(row.at(0).get<uint64_t>());
      it.generation = row.at(1).get<uint32_t>();
      it.is_blocked = row.at(2).get<bool>();
      it.time_left = ReadMillis(row.at(3));
      it.probes = row.at(4).get<uint32_t>();
      it.idle = ReadMillis(row.at(5));
    }
  }
  return report;
}

flow::UpstreamReport ReadUpstreamReport(const json& row) {
  flow::UpstreamReport report;
  report.load.running = row.at(1).get<uint32_t>();
  report.load.prefill_tokens = row.at(2).get<uint64_t>();
  report.load.reserved_tokens = row.at(3).get<uint64_t>();
  report.time_per_token_us = row.at(4).get<double>();
  report.is_accepting = row.at(5).get<bool>();
  return report;
}

flow::ServiceCapacity ReadServiceCapacity(const json& row) {
  flow::ServiceCapacity capacity;
  capacity.upstreams = row.at(1).get<uint32_t>();
  capacity.wait = Micros(row.at(2).get<int64_t>());
  capacity.prefill_tokens_per_ms = row.at(3).get<double>();
  capacity.time_per_token_us = row.at(4).get<double>();
  capacity.failure_rate = row.at(5).get<double>();
  return capacity;
}

flow::PromptCacheUpdate ReadPromptCacheUpdate(const json& row) {
  flow::PromptCacheUpdate update;
  update.upstream = flow::UpstreamShortId(row.at(0).get<uint64_t>());
  for (size_t i = 1; i + 1 < row.size(); i += 2) {
    update.parts.push_back(
        {row.at(i).get<uint64_t>(), row.at(i + 1).get<uint32_t>()});
  }
  return update;
}

flow::LimitReport ReadLimitReport(const json& row) {
  flow::LimitReport report{flow::UpstreamShortId(row.at(0).get<uint64_t>()),
                           row.at(1).get<int64_t>(),
                           {},
                           ReadMillis(row.at(2))};
  if (row.size() > 3) {
    auto per_second = row.at(3).get<double>();
    report.limit = flow::CallsPerSecond(
        std::isfinite(per_second) ? std::max(0.0, per_second) : 0);
  }
  return report;
}

json EncodeHedges(const flow::HedgeReport& report) {
  json rows = json::array();
  for (const auto& [service, counters] : report) {
    if (rows.size() < kMaxHedgeRows) {
      rows.push_back({service.value(), counters.requests, counters.hedges});
    }
  }
  return rows;
}

flow::HedgeReport ReadHedges(const json& rows) {
  flow::HedgeReport report;
  for (const json& row : rows) {
    if (report.size() < kMaxHedgeRows) {
      report[flow::ServiceShortId(row.at(0).get<uint64_t>())] = {
          row.at(1).get<uint64_t>(), row.at(2).get<uint64_t>()};
    }
  }
  return report;
}

json EncodeUse(const std::vector<flow::UseRow>& rows) {
  json encoded = json::array();
  for (const flow::UseRow& it : rows) {
    encoded.push_back({it.key.value(), it.admitted, it.offered});
  }
  return encoded;
}

std::vector<flow::UseRow> ReadUse(const json& encoded) {
  std::vector<flow::UseRow> rows;
  for (const json& it : encoded) {
    if (rows.size() < flow::UseCounters::kMaxRows) {
      rows.push_back({flow::UseKey(it.at(0).get<uint64_t>()),
                      it.at(1).get<uint64_t>(), it.at(2).get<uint64_t>()});
    }
  }
  return rows;
}

}  // namespace

std::string EncodeHeartbeat(const flow::Heartbeat& heartbeat) {
  json upstreams = json::array();
  for (const auto& [id, report] : heartbeat.upstreams) {
    upstreams.push_back(
        {id.value(), report.load.running, report.load.prefill_tokens,
         report.load.reserved_tokens,
         static_cast<uint64_t>(report.time_per_token_us), report.is_accepting});
  }
  json service_capacities = json::array();
  for (const auto& [service, capacity] : heartbeat.service_capacities) {
    service_capacities.push_back(
        {service.value(), capacity.upstreams, capacity.wait.count(),
         static_cast<float>(capacity.prefill_tokens_per_ms),
         static_cast<float>(capacity.time_per_token_us),
         static_cast<float>(capacity.failure_rate)});
  }
  json cache_updates = json::array();
  for (const flow::PromptCacheUpdate& it : heartbeat.cache_updates) {
    json row = {it.upstream.value()};
    for (const flow::PromptPart& part : it.parts) {
      row.push_back(part.id);
      row.push_back(part.tokens);
    }
    cache_updates.push_back(std::move(row));
  }
  json relayed = json::array();
  for (const std::string& bytes : heartbeat.relayed) {
    relayed.push_back(
        json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end())));
  }
  json leaving = json::array();
  for (const flow::LeavingReport& it : heartbeat.leaving) {
    leaving.push_back({it.upstream.value(), it.started_at_ms, it.age.count()});
  }
  json limits = json::array();
  for (const flow::LimitReport& it : heartbeat.limits) {
    json row = {it.upstream.value(), it.started_at_ms, it.age.count()};
    if (it.limit) {
      row.push_back(it.limit->value());
    }
    limits.push_back(std::move(row));
  }
  const flow::InstanceRecord& from = heartbeat.from;
  json row = {kFormatVersion,
              from.id.value(),
              from.data_centre.value(),
              from.region.value(),
              from.public_address,
              from.peer_address,
              from.incarnation,
              from.is_draining,
              heartbeat.sequence,
              heartbeat.state_version,
              std::move(upstreams),
              std::move(service_capacities),
              std::move(cache_updates),
              std::move(relayed),
              heartbeat.is_for_relay,
              heartbeat.catalog_position.revision,
              heartbeat.catalog_age.count()};
  uint64_t era = heartbeat.catalog_position.era.value();
  bool has_hedges = !heartbeat.hedges.empty();
  bool has_use = !heartbeat.use.empty() || has_hedges;
  bool has_era = era > 0 || has_use;
  bool has_limits = !limits.empty() || has_era;
  bool has_leaving = !leaving.empty() || has_limits;
  if (!heartbeat.poison.empty() || has_leaving) {
    row.push_back(heartbeat.poison.empty() ? json::array()
                                           : EncodePoison(heartbeat.poison));
  }
  if (has_leaving) {
    row.push_back(std::move(leaving));
  }
  if (has_limits) {
    row.push_back(std::move(limits));
  }
  if (has_era) {
    row.push_back(era);
  }
  if (has_use) {
    row.push_back(EncodeUse(heartbeat.use));
  }
  if (has_hedges) {
    row.push_back(EncodeHedges(heartbeat.hedges));
  }
  std::string bytes;
  json::to_msgpack(row, bytes);
  return bytes;
}

std::optional<flow::Heartbeat> DecodeHeartbeat(std::string_view bytes) {
  try {
    json row = json::from_msgpack(bytes.begin(), bytes.end());
    if (row.at(0).get<int>() != kFormatVersion) {
      return std::nullopt;
    }
    flow::Heartbeat heartbeat;
    heartbeat.from.id = InstanceId(row.at(1).get<std::string>());
    heartbeat.from.data_centre =
        flow::DataCentreId(row.at(2).get<std::string>());
    heartbeat.from.region = RegionId(row.at(3).get<std::string>());
    heartbeat.from.public_address = row.at(4).get<std::string>();
    heartbeat.from.peer_address = row.at(5).get<std::string>();
    heartbeat.from.incarnation = row.at(6).get<uint64_t>();
    heartbeat.from.is_draining = row.at(7).get<bool>();
    heartbeat.sequence = row.at(8).get<uint64_t>();
    heartbeat.state_version = row.at(9).get<uint64_t>();
    for (const json& it : row.at(10)) {
      heartbeat.upstreams[flow::UpstreamShortId(it.at(0).get<uint64_t>())] =
          ReadUpstreamReport(it);
    }
    for (const json& it : row.at(11)) {
      heartbeat.service_capacities[ServiceName(it.at(0).get<std::string>())] =
          ReadServiceCapacity(it);
    }
    for (const json& it : row.at(12)) {
      heartbeat.cache_updates.push_back(ReadPromptCacheUpdate(it));
    }
    for (const json& it : row.at(13)) {
      const json::binary_t& inner = it.get_binary();
      heartbeat.relayed.emplace_back(inner.begin(), inner.end());
    }
    heartbeat.is_for_relay = row.at(14).get<bool>();
    heartbeat.catalog_position.revision = row.at(15).get<uint64_t>();
    heartbeat.catalog_age = Millis(row.at(16).get<int64_t>());
    // Instances of earlier builds do not send the following.
    if (row.size() > kPoisonIndex && !row.at(kPoisonIndex).empty()) {
      heartbeat.poison = ReadPoison(row.at(kPoisonIndex));
    }
    if (row.size() > kLeavingIndex) {
      for (const json& it : row.at(kLeavingIndex)) {
        heartbeat.leaving.push_back(
            {flow::UpstreamShortId(it.at(0).get<uint64_t>()),
             it.at(1).get<int64_t>(), Millis(it.at(2).get<int64_t>())});
      }
    }
    if (row.size() > kLimitIndex) {
      for (const json& it : row.at(kLimitIndex)) {
        heartbeat.limits.push_back(ReadLimitReport(it));
      }
    }
    if (row.size() > kEraIndex) {
      heartbeat.catalog_position.era =
          flow::CatalogEra(row.at(kEraIndex).get<uint64_t>());
    }
    if (row.size() > kUseIndex) {
      heartbeat.use = ReadUse(row.at(kUseIndex));
    }
    if (row.size() > kHedgesIndex) {
      heartbeat.hedges = ReadHedges(row.at(kHedgesIndex));
    }
    return heartbeat;
  } catch (const json::exception&) {
    // Not a valid heartbeat; the caller counts and logs it.
    return std::nullopt;
  }
}

bool IsUseDatagram(std::string_view bytes) {
  return bytes.starts_with(kUseMagic);
}

std::string EncodeUseReport(const flow::QuotaReport& report) {
  json row = {report.from.value(), report.region.value(), report.incarnation,
              report.sequence, EncodeUse(report.rows)};
  std::string bytes;
  json::to_msgpack(row, bytes);
  return std::string(kUseMagic) + bytes;
}

std::optional<flow::QuotaReport> DecodeUseReport(std::string_view bytes) {
  try {
    bytes.remove_prefix(kUseMagic.size());
    json row = json::from_msgpack(bytes.begin(), bytes.end());
    flow::QuotaReport report;
    report.from = InstanceId(row.at(0).get<std::string>());
    report.region = RegionId(row.at(1).get<std::string>());
    report.incarnation = row.at(2).get<uint64_t>();
    report.sequence = row.at(3).get<uint64_t>();
    report.rows = ReadUse(row.at(4));
    return report;
  } catch (const json::exception&) {
    // Not a valid report; the caller counts and logs it.
    return std::nullopt;
  }
}

}  // namespace basilvalve::edge
