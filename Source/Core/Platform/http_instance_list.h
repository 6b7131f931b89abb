// HTTP client of the platform's instance list.
#pragma once

#include <memory>

#include "Core/Common/clock.h"
#include "Core/Platform/instance_list.h"

namespace basilvalve::platform {

/// InstanceList over HTTP. Thread safe.
class HttpInstanceList : public InstanceList {
 public:
  /// Pre: the endpoint's address is numeric. Thread safe.
  static std::unique_ptr<HttpInstanceList> Create(http::Endpoint endpoint,
                                                  Millis timeout);

  Result<std::vector<ListedInstance>> Read(const RegionId& region) override;

 private:
  HttpInstanceList(http::Endpoint endpoint, Millis timeout)
      : endpoint_(std::move(endpoint)), timeout_(timeout) {}

  http::Endpoint endpoint_;
  Millis timeout_;
};

}  // namespace basilvalve::platform
