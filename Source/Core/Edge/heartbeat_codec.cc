#include "Core/Edge/heartbeat_codec.h"

#include <nlohmann/json.hpp>

namespace basilvalve::edge {
namespace {

using nlohmann::json;

// First element of each datagram; another one is another format.
constexpr int kFormat = 4;

flow::LoadShare ReadLoad(const json& row) {
  flow::LoadShare load;
  load.running = row.at(1).get<uint32_t>();
  load.unread_tokens = row.at(2).get<uint64_t>();
  load.held_tokens = row.at(3).get<uint64_t>();
  return load;
}

flow::ServiceRoom ReadRoom(const json& row) {
  flow::ServiceRoom room;
  room.upstreams = row.at(1).get<uint32_t>();
  room.wait = Micros(row.at(2).get<int64_t>());
  room.read_tokens_per_ms = row.at(3).get<double>();
  room.token_pace_us = row.at(4).get<double>();
  room.failing = row.at(5).get<double>();
  return room;
}

flow::PromptNews ReadNews(const json& row) {
  flow::PromptNews news;
  news.upstream = flow::UpstreamTag32(row.at(0).get<uint64_t>());
  for (size_t i = 1; i + 1 < row.size(); i += 2) {
    news.parts.push_back(
        {row.at(i).get<uint64_t>(), row.at(i + 1).get<uint32_t>()});
  }
  return news;
}

}  // namespace

std::string EncodeHeartbeat(const flow::Beat& beat) {
  json loads = json::array();
  for (const auto& [id, load] : beat.loads) {
    loads.push_back(
        {id.value(), load.running, load.unread_tokens, load.held_tokens});
  }
  json rooms = json::array();
  for (const auto& [service, room] : beat.rooms) {
    rooms.push_back({service.value(), room.upstreams, room.wait.count(),
                     static_cast<float>(room.read_tokens_per_ms),
                     static_cast<float>(room.token_pace_us),
                     static_cast<float>(room.failing)});
  }
  json news = json::array();
  for (const flow::PromptNews& it : beat.news) {
    json row = {it.upstream.value()};
    for (const flow::PromptPart& part : it.parts) {
      row.push_back(part.id);
      row.push_back(part.tokens);
    }
    news.push_back(std::move(row));
  }
  const flow::InstanceRecord& from = beat.from;
  json row = {kFormat,
              from.id.value(),
              from.data_centre.value(),
              from.region.value(),
              from.front,
              from.peer,
              from.incarnation,
              from.is_draining,
              beat.sequence,
              beat.state_version,
              std::move(loads),
              std::move(rooms),
              std::move(news)};
  std::string bytes;
  json::to_msgpack(row, bytes);
  return bytes;
}

std::optional<flow::Beat> DecodeHeartbeat(std::string_view bytes) {
  try {
    json row = json::from_msgpack(bytes.begin(), bytes.end());
    if (row.at(0).get<int>() != kFormat) {
      return std::nullopt;
    }
    flow::Beat beat;
    beat.from.id = InstanceId(row.at(1).get<std::string>());
    beat.from.data_centre = flow::DataCentreId(row.at(2).get<std::string>());
    beat.from.region = RegionId(row.at(3).get<std::string>());
    beat.from.front = row.at(4).get<std::string>();
    beat.from.peer = row.at(5).get<std::string>();
    beat.from.incarnation = row.at(6).get<uint64_t>();
    beat.from.is_draining = row.at(7).get<bool>();
    beat.sequence = row.at(8).get<uint64_t>();
    beat.state_version = row.at(9).get<uint64_t>();
    for (const json& it : row.at(10)) {
      beat.loads[flow::UpstreamTag32(it.at(0).get<uint64_t>())] = ReadLoad(it);
    }
    for (const json& it : row.at(11)) {
      beat.rooms[ServiceName(it.at(0).get<std::string>())] = ReadRoom(it);
    }
    for (const json& it : row.at(12)) {
      beat.news.push_back(ReadNews(it));
    }
    return beat;
  } catch (const json::exception&) {
    // Bytes from elsewhere: the caller counts and logs them.
    return std::nullopt;
  }
}

}  // namespace basilvalve::edge
