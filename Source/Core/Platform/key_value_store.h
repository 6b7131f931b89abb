// Interface of the platform's key-value service, limited to the operations that
// the gateway uses.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::platform {

/// A key and its value with the index of the last modification.
struct StoreEntry {
  std::string key;
  std::string value;
  StoreIndex index;
};

/// Result of a compare-and-swap that the service executed or rejected.
struct SwapReply {
  bool swapped = false;
  /// Modification index after the call: of the new value, or of the existing
  /// value that caused the rejection.
  StoreIndex index;
};

/// Result of a watch: the changed entries, and the `since` of the next watch.
struct WatchReply {
  StoreIndex next;
  std::vector<StoreEntry> changed;
};

/// Expected index for creating a key: the swap fails if the key exists.
inline constexpr StoreIndex kAbsent{0};

/// Client of the service. Implementations are thread safe. Errors are
/// kStoreUnavailable with outcome kNotRun if the service cannot have executed
/// the request, and kUnknown if a write may have taken effect.
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;
  /// Reads one key; nullopt if it is absent. Thread safe.
  virtual Result<std::optional<StoreEntry>> Get(std::string_view key) = 0;
  /// Reads all keys with a prefix, sorted by key. Thread safe.
  virtual Result<std::vector<StoreEntry>> List(std::string_view prefix) = 0;
  /// Writes if the key's index is `expected`. A `time_to_live` above zero binds
  /// the key to a lease of that length. Thread safe.
  virtual Result<SwapReply> CompareAndSwap(std::string_view key,
                                           std::string_view value,
                                           StoreIndex expected,
                                           Seconds time_to_live) = 0;
  /// Removes a key; no error if it is absent. Thread safe.
  virtual Result<void> Remove(std::string_view key) = 0;
  /// Long poll: blocks until a key with the prefix changes after index `since`,
  /// or for `wait`. Returns the changed entries, none on timeout. Thread safe.
  virtual Result<WatchReply> Watch(std::string_view prefix, StoreIndex since,
                                   Millis wait) = 0;
};

}  // namespace basilvalve::platform
