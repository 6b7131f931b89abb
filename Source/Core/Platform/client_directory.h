// Interface of the platform's client directory, where callers look up the
// addresses of gateway instances.
#pragma once

#include <vector>

#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"
#include "Core/Http/http_message.h"

namespace basilvalve::platform {

/// Publishes the entry addresses of a region. Implementations are thread safe.
class ClientDirectory {
 public:
  virtual ~ClientDirectory() = default;
  /// Replaces the region's entries unless a higher `sequence` was written
  /// before, so that a delayed write cannot overwrite a newer one; a write
  /// rejected for that reason is a success. Fails with kIo.
  /// Thread safe; blocks.
  virtual Result<void> Publish(const RegionId& region, Sequence sequence,
                               const std::vector<http::Endpoint>& entries) = 0;
};

}  // namespace basilvalve::platform
