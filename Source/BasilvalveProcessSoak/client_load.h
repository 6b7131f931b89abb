#pragma once

#include <sys/types.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "BasilvalveProcessSoak/client_crowd.h"
#include "BasilvalveProcessSoak/usage_report.h"
#include "Core/Common/result.h"

namespace basilvalve::process_soak {

/// One process with lowered limits and a crowd of clients that misbehaves in
/// one way. Not thread safe.
class ClientLoad {
 public:
  virtual ~ClientLoad() = default;
  ClientLoad(const ClientLoad&) = delete;
  ClientLoad& operator=(const ClientLoad&) = delete;

  /// Names of the cases, separated by commas.
  std::string CaseNames() const;
  /// Plays a case. Errors: kSettingInvalid for an unknown name or a process
  /// that does not start.
  Result<UsageReport> Run(const std::string& name);

 protected:
  struct Case {
    std::string name;
    std::function<void()> play;
    MachineLimits limits;
  };

  ClientLoad() = default;
  void AddCase(std::string name, const MachineLimits& limits,
               std::function<void()> play);
  /// Adds the cases at the callers' address that every process plays alike.
  void AddCommonCases(const MachineLimits& limits);

  /// Starts the process with the limits of the case and waits until it serves.
  virtual bool Start(const Case& row) = 0;
  virtual pid_t pid() const = 0;
  virtual void Stop() = 0;
  virtual CrowdTarget Callers() = 0;
  /// The other addresses that clients may reach; each answers its target's
  /// requests with status 200.
  virtual std::vector<CrowdTarget> OtherAddresses() = 0;

  ClientCrowd& crowd() { return *crowd_; }
  /// Replaces the crowd at the callers' address by one at another address.
  void MoveCrowd(CrowdTarget target) {
    crowd_ = std::make_unique<ClientCrowd>(std::move(target));
  }
  /// Sends one request whose body has the largest permitted size.
  void SendOneLargeRequest(const std::string& part);

 private:
  /// Whether one ordinary request is answered with status 200.
  static bool IsServed(const CrowdTarget& target);
  /// Asks until a request is answered so.
  static void AwaitServed(const CrowdTarget& target);

  std::vector<Case> cases_;
  std::unique_ptr<ClientCrowd> crowd_;
  std::vector<std::string> violations_;
};

/// Longest wait for one response.
inline constexpr int64_t kCallMs = 12'000;

}  // namespace basilvalve::process_soak
