// The platform's key-value service, seen through the few calls that are used of
// it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::platform {

/// One value with the index of its last change.
struct StoreEntry {
  std::string key;
  std::string value;
  StoreIndex index;
};

/// Answer to a compare-and-swap that the service carried out or refused.
struct SwapReply {
  bool swapped = false;
  /// Index after the call: of the new value, or of the one that was in the way.
  StoreIndex index;
};

/// Answer to a watch: what changed, and where to go on from.
struct WatchReply {
  StoreIndex next;
  std::vector<StoreEntry> changed;
};

/// The expected index that means "the key must not exist".
inline constexpr StoreIndex kAbsent{0};

/// Client of the service. Implementations are thread safe. Errors are
/// kStoreUnavailable; their outcome is kNotRun where the service surely did
/// nothing and kUnknown where a write may have taken effect.
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
  /// Waits until a key with the prefix changes after `since`, at most `wait`;
  /// then returns what changed, which may be nothing. Thread safe; blocks.
  virtual Result<WatchReply> Watch(std::string_view prefix, StoreIndex since,
                                   Millis wait) = 0;
};

}  // namespace basilvalve::platform
