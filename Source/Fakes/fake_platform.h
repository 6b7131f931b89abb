// Fakes of the platform's instance list and client directory.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "Core/Http/http_server.h"
#include "Core/Platform/client_directory.h"
#include "Core/Platform/instance_list.h"

namespace basilvalve::fakes {

/// In-memory instance list, also served over HTTP. Thread safe.
class FakeInstanceList : public platform::InstanceList, public http::Handler {
 public:
  Result<std::vector<platform::ListedInstance>> Read(
      const RegionId& region) override;
  void Handle(http::Exchange* exchange) override;
  /// Replaces the whole list. Thread safe.
  void Set(std::vector<platform::ListedInstance> instances);

 private:
  std::mutex mutex_;
  // Guarded by mutex_.
  std::vector<platform::ListedInstance> instances_;
};

/// In-memory client directory, also served over HTTP. Thread safe.
class FakeClientDirectory : public platform::ClientDirectory,
                            public http::Handler {
 public:
  Result<void> Publish(const RegionId& region, Sequence sequence,
                       const std::vector<http::Endpoint>& entries) override;
  void Handle(http::Exchange* exchange) override;
  /// Entry addresses last published for a region. Thread safe.
  std::vector<http::Endpoint> PublishedEntries(const RegionId& region);

 private:
  struct Listing {
    Sequence sequence;
    std::vector<http::Endpoint> entries;
  };

  std::mutex mutex_;
  // Guarded by mutex_.
  std::map<RegionId, Listing> listings_;
};

}  // namespace basilvalve::fakes
