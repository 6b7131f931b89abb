#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "BasilvalveProcessSoak/client_load.h"
#include "Core/Http/http_server.h"
#include "Fakes/fake_platform.h"
#include "Fakes/store_handler.h"

namespace basilvalve::process_soak {

/// A plain service whose responses are as its requests ask for. Thread safe.
class PlainService : public http::Handler {
 public:
  void Handle(http::Exchange* exchange) override;
  /// Ends the requests that wait without a response.
  void Stop() { is_stopping_ = true; }

 private:
  std::atomic<bool> is_stopping_{false};
};

/// Clients that misbehave in front of one `basilvalved` process. Not thread
/// safe.
class DaemonLoad : public ClientLoad {
 public:
  explicit DaemonLoad(std::string program);

 private:
  bool Start(const Case& row) override;
  pid_t pid() const override { return pid_; }
  void Stop() override;
  CrowdTarget Callers() override;
  std::vector<CrowdTarget> OtherAddresses() override;

  void AddCallerCases();
  /// Cases at the addresses for operators and other instances.
  void AddOtherCases();
  bool StartStandIns();
  void Launch(const Case& row);
  bool Apply(const std::string& name, const std::string& document) const;
  CrowdTarget ModelCallers() const;
  CrowdTarget Admin() const;
  http::Endpoint At(int offset) const { return {ip_, PortAt(offset)}; }
  uint16_t PortAt(int offset) const {
    return static_cast<uint16_t>(first_port_ + offset);
  }

  std::string program_;
  std::string ip_;
  int first_port_ = 0;
  pid_t pid_ = -1;
  fakes::MemoryStore store_;
  fakes::StoreHandler store_handler_{&store_};
  fakes::FakeInstanceList instances_;
  PlainService service_;
  std::vector<std::unique_ptr<http::Server>> servers_;
};

}  // namespace basilvalve::process_soak
