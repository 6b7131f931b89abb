// The platform's directory in which callers look up the system's addresses.
#pragma once

#include <vector>

#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"
#include "Core/Http/http_message.h"

namespace basilvalve::platform {

/// Writes the entry addresses of a region. Implementations are thread safe.
class ClientDirectory {
 public:
  virtual ~ClientDirectory() = default;
  /// Replaces the region's entries unless a higher `sequence` was written
  /// before, so that several writers cannot undo each other. Fails with kIo.
  /// Thread safe; blocks.
  virtual Result<void> Publish(const RegionId& region, Sequence sequence,
                               const std::vector<http::Endpoint>& entries) = 0;
};

}  // namespace basilvalve::platform
