// Tells callers which entry instances to use.
#pragma once

#include <string>
#include <vector>

#include "Core/Gateway/node_parts.h"
#include "Core/Membership/control_message.h"

namespace basilvalve::gateway {

/// One recommended entry.
struct EntryAdvice {
  InstanceId instance;
  http::Endpoint endpoint;
  /// Share of new calls that the entry should get, 1 to 100.
  int weight = 1;
};

/// Computes advice from membership alone, so that any instance can answer for
/// its region. Thread safe.
class EntryAdvisor {
 public:
  explicit EntryAdvisor(const NodeParts* parts) : parts_(parts) {}

  /// Entries in this region if the document permits it, else in permitted
  /// regions; best first. Empty if there is none. Thread safe.
  std::vector<EntryAdvice> Advise(
      const document::ServiceDocument& document) const;
  /// All entries of this region that take new work, best first. Thread safe.
  std::vector<EntryAdvice> RegionEntries() const;

 private:
  const NodeParts* parts_;
};

}  // namespace basilvalve::gateway
