// HTTP client of the platform's client directory.
#pragma once

#include <memory>

#include "Core/Common/clock.h"
#include "Core/Platform/client_directory.h"

namespace basilvalve::platform {

/// ClientDirectory over HTTP. Thread safe.
class HttpClientDirectory : public ClientDirectory {
 public:
  /// Pre: the endpoint's address is numeric. Thread safe.
  static std::unique_ptr<HttpClientDirectory> Create(http::Endpoint endpoint,
                                                     Millis timeout);

  Result<void> Publish(const RegionId& region, Sequence sequence,
                       const std::vector<http::Endpoint>& entries) override;

 private:
  HttpClientDirectory(http::Endpoint endpoint, Millis timeout)
      : endpoint_(std::move(endpoint)), timeout_(timeout) {}

  http::Endpoint endpoint_;
  Millis timeout_;
};

}  // namespace basilvalve::platform
