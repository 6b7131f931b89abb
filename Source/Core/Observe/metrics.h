// The instance's metrics, by prometheus-cpp. Label values come from bounded
// sets.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "Core/Common/clock.h"
#include "Core/Common/result_code.h"

namespace basilvalve::observe {

/// Counters and gauges of one instance. Thread safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Counts a finished request by result code. Thread safe.
  void CountRequest(ResultCode code, Outcome outcome);
  /// Records a time to first token. Thread safe.
  void ObserveTimeToFirstToken(Micros time);
  /// Records the gap between two tokens. Thread safe.
  void ObserveInterTokenLatency(Micros time);
  /// Counts bytes received from or sent to another region's instance. Thread
  /// safe.
  void CountCrossRegionBytes(uint64_t bytes);
  /// Counts a request served in another region. Thread safe.
  void CountForwarded();
  /// Counts a retry. Thread safe.
  void CountRetry();
  /// Counts prompt tokens and how many of them were expected in the prefix
  /// cache. Thread safe.
  void CountPromptTokens(uint64_t total, uint64_t cached);
  /// Counts a call to the key-value service. Thread safe.
  void CountStoreCall(std::string_view kind);
  /// Counts control bytes sent to other instances. Thread safe.
  void CountControlBytes(uint64_t bytes);
  /// Sets the number of requests in flight. Thread safe.
  void SetInFlight(int64_t count);
  /// Sets the number of documents in force. Thread safe.
  void SetDocuments(int64_t count);
  /// Sets the number of live instances seen in this region. Thread safe.
  void SetLiveInstances(int64_t count);
  /// Sets the number of document offers refused because of a version conflict.
  void SetDocumentConflicts(int64_t count);
  /// Prometheus text format of all of them. Thread safe.
  std::string Text() const;

 private:
  struct Series;
  std::unique_ptr<Series> series_;
};

}  // namespace basilvalve::observe
