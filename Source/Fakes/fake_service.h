// A plain service with calls that must not be repeated.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "Core/Common/clock.h"
#include "Core/Http/http_server.h"

namespace basilvalve::fakes {

/// What the service does with its next non-idempotent call.
enum class ServiceFault {
  kNone,
  /// Runs the call and closes the connection without an answer.
  kRunThenDrop,
  /// Closes the connection without running the call.
  kDrop,
  /// Says that it takes no new work.
  kDraining,
};

/// Settles tabs and tells balances; counts how often each body was settled.
/// Thread safe.
class FakeService : public http::Handler {
 public:
  explicit FakeService(Millis time) : time_(time) {}
  void Handle(http::Exchange* exchange) override;

  /// Sets what happens to the next settlement. Thread safe.
  void SetFault(ServiceFault fault);
  /// How often a settlement with this body was run. Thread safe.
  int RunCount(const std::string& body) const;
  /// The largest number of runs of one body. Thread safe.
  int MaxRunCount() const;
  /// Settlements that were run. Thread safe.
  int TotalRunCount() const;

 private:
  void Settle(http::Exchange* exchange);

  Millis time_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::map<std::string, int> runs_;
  ServiceFault fault_ = ServiceFault::kNone;
};

}  // namespace basilvalve::fakes
