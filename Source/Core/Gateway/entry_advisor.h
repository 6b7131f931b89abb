// Recommends the instances to which callers should send their calls (entries).
#pragma once

#include <string>
#include <vector>

#include "Core/Gateway/node_parts.h"
#include "Core/Membership/control_message.h"

namespace basilvalve::gateway {

/// One recommended entry instance.
struct EntryAdvice {
  InstanceId instance;
  http::Endpoint endpoint;
  /// Relative share of new calls that the entry should get, 1 to 100; falls
  /// with its load.
  int weight = 1;
};

/// Computes recommendations from membership state alone, so that any instance
/// can recommend entries for its region. Thread safe.
class EntryAdvisor {
 public:
  /// Pre: `parts` outlives the object.
  explicit EntryAdvisor(const NodeParts* parts) : parts_(parts) {}

  /// Entries for calls to the document's service: those of this region if the
  /// document permits it, otherwise the contacts of permitted regions. Highest
  /// weight first; empty if there is none. Thread safe.
  std::vector<EntryAdvice> Advise(
      const document::ServiceDocument& document) const;
  /// All entries of this region that accept new calls, highest weight first.
  /// Thread safe.
  std::vector<EntryAdvice> RegionEntries() const;

 private:
  const NodeParts* parts_;
};

}  // namespace basilvalve::gateway
