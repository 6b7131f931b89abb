// Prometheus metrics of one instance. Label values come from bounded sets,
// which limits the number of time series.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "Core/Common/clock.h"
#include "Core/Common/result_code.h"

namespace basilvalve::observe {

/// Counters, gauges and histograms of one instance. Thread safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Counts a finished request by result code and outcome. Thread safe.
  void CountRequest(ResultCode code, Outcome outcome);
  /// Records the time from the arrival of a request to the first token sent.
  /// Thread safe.
  void ObserveTimeToFirstToken(Micros time);
  /// Records the time between two consecutive tokens of a response. Thread
  /// safe.
  void ObserveInterTokenLatency(Micros time);
  /// Counts bytes sent to or received from an instance of another region.
  /// Thread safe.
  void CountCrossRegionBytes(uint64_t bytes);
  /// Counts a request forwarded to another region. Thread safe.
  void CountForwarded();
  /// Counts a second or later attempt of a request. Thread safe.
  void CountRetry();
  /// Counts the prompt tokens of a routed request and how many of them are
  /// expected to be in the upstream's prefix cache. Thread safe.
  void CountPromptTokens(uint64_t total, uint64_t cached);
  /// Counts a call to the key-value service; `kind` is its label value. Thread
  /// safe.
  void CountStoreCall(std::string_view kind);
  /// Counts what was refused or ended at an address for want of room. Thread
  /// safe.
  void CountShed(std::string_view address, std::string_view reason);
  /// Counts bytes of control messages sent to other instances. Thread safe.
  void CountControlBytes(uint64_t bytes);
  /// Sets the number of in-flight requests. Thread safe.
  void SetInFlight(int64_t count);
  /// Sets the number of documents in force. Thread safe.
  void SetDocuments(int64_t count);
  /// Sets the number of live instances seen in this region. Thread safe.
  void SetLiveInstances(int64_t count);
  /// Sets the number of document offers refused because another change has the
  /// same version. Thread safe.
  void SetDocumentConflicts(int64_t count);
  /// All metrics in the Prometheus text format. Thread safe.
  std::string Text() const;

 private:
  struct Series;
  std::unique_ptr<Series> series_;
};

}  // namespace basilvalve::observe
