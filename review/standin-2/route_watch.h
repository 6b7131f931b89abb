// Two routes of a service each, one added by the second desired state, and what
// is served on them before, during and after a trouble.
#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "cases.h"
#include "deployment.h"

namespace review {

/// A gateway in the region `augsburg`, three model workers and a plain worker.
/// The first route is /balance/, of plain requests; /explain/, of short
/// streams, is added.
class RouteWatch {
 public:
  static constexpr int kWorkers = 3;
  static constexpr int kEvents = 3;

  /// `behaviour` of the model workers.
  RouteWatch(const CaseSettings& settings, const std::string& behaviour);
  ~RouteWatch();

  /// Starts everything; then both routes are served for some seconds.
  bool Start();
  /// From now on, nothing is counted.
  void BeginTrouble() { phase_ = 1; }
  /// The trouble is over: waits for recover_s, then counts. Returns the exit
  /// code: broken if machines serve the added route less than a quarter as
  /// often as the first one.
  int Judge();

  Deployment& deployment() { return deployment_; }
  Record& record() { return record_; }
  const GatewayPlace& gateway() const { return gateway_; }
  std::vector<WorkerPlace>& workers() { return workers_; }

 private:
  void RunClient(int number);
  void EndClients();

  Record record_;
  Deployment deployment_;
  std::string behaviour_;
  GatewayPlace gateway_;
  std::vector<WorkerPlace> workers_;
  std::vector<std::thread> clients_;
  std::atomic<bool> is_over_ = false;
  // 0 before the trouble, 1 during it, 2 once it is judged.
  std::atomic<int> phase_ = 0;
  // By phase, for the added and the first route.
  std::atomic<int> asked_[3][2] = {};
  std::atomic<int> served_[3][2] = {};
};

}  // namespace review
