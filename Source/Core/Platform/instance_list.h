// The platform's lagging list of instances and upstreams.
#pragma once

#include <string>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"
#include "Core/Http/http_message.h"

namespace basilvalve::platform {

enum class ListedKind { kGateway, kModel, kService };
enum class ListedState { kLive, kLeaving };

/// One line of the list. A gateway has a peer address, an upstream a service
/// address.
struct ListedInstance {
  std::string id;
  ListedKind kind = ListedKind::kModel;
  ListedState state = ListedState::kLive;
  RegionId region;
  std::string data_centre;
  http::Endpoint endpoint;
  /// Models that a model upstream has loaded.
  std::vector<ModelName> models;
  /// Service that a plain upstream serves.
  ServiceName service;

  bool operator==(const ListedInstance&) const = default;
};

/// Reads the list. Implementations are thread safe.
class InstanceList {
 public:
  virtual ~InstanceList() = default;
  /// All listed instances of a region, or of all regions if `region` is empty.
  /// Fails with kIo. Thread safe; blocks.
  virtual Result<std::vector<ListedInstance>> Read(const RegionId& region) = 0;
};

/// Parses the list's JSON. Fails with kIo. Thread safe.
Result<std::vector<ListedInstance>> ParseInstanceList(std::string_view text);
/// JSON of a list. Thread safe.
std::string FormatInstanceList(const std::vector<ListedInstance>& instances);

}  // namespace basilvalve::platform
