// Interface of the platform's list of gateway instances and upstreams. The list
// is eventually consistent.
#pragma once

#include <string>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"
#include "Core/Http/http_message.h"

namespace basilvalve::platform {

enum class ListedKind { kGateway, kModel, kService };
enum class ListedState { kLive, kLeaving };

/// One entry of the list. `endpoint` is the peer address of a gateway, or the
/// service address of an upstream.
struct ListedInstance {
  std::string id;
  ListedKind kind = ListedKind::kModel;
  ListedState state = ListedState::kLive;
  RegionId region;
  std::string data_centre;
  http::Endpoint endpoint;
  /// Models that an upstream of kind kModel has loaded.
  std::vector<ModelName> models;
  /// Service that an upstream of kind kService serves.
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
