// Fake service with non-idempotent calls, served over HTTP.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "Core/Common/clock.h"
#include "Core/Http/http_server.h"

namespace basilvalve::fakes {

/// What the service does with the next non-idempotent call.
enum class ServiceFault {
  kNone,
  /// Runs the call and closes the connection without an answer.
  kRunThenDrop,
  /// Closes the connection without running the call.
  kDrop,
  /// Answers 503 and declares that it is draining.
  kDraining,
};

/// Serves the non-idempotent /settle and the idempotent /balance, and counts
/// how often a settlement with each body was run. Thread safe.
class FakeService : public http::Handler {
 public:
  explicit FakeService(Millis call_time) : call_time_(call_time) {}
  void Handle(http::Exchange* exchange) override;

  /// Sets the fault of the next settlement only. Thread safe.
  void SetFault(ServiceFault fault);
  /// Number of times that a settlement with this body was run. Thread safe.
  int RunCount(const std::string& body) const;
  /// The largest number of runs of one body. Thread safe.
  int MaxRunCount() const;
  /// Number of settlements that were run. Thread safe.
  int TotalRunCount() const;

 private:
  void Settle(http::Exchange* exchange);

  Millis call_time_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::map<std::string, int> runs_;
  ServiceFault fault_ = ServiceFault::kNone;
};

}  // namespace basilvalve::fakes
