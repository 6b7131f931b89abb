// A small deployment on loopback addresses: the store, gateways and workers as
// processes of their own, and a record of what is sent, answered and run.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "http.h"
#include "store.h"

namespace review {

/// Lines with the time since the start; kept in a file. Thread safe.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);
  /// A line on what was at that time of the steady clock.
  void LineAt(int64_t at_ms, const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
  int64_t start_ms_;
};

/// What a worker process is told.
struct WorkerPlace {
  std::string id;
  std::string service;
  std::string zone;
  std::string ip;
  int port = 0;
  int slots = 0;
  /// What its answers do; each case knows its own words.
  std::string behaviour;
};

struct GatewayPlace {
  std::string name;
  std::string ip;
  std::string zone;
  int front = 0;
  int ready = 0;
  int directory = 0;
  int internal = 0;
};

/// Starts processes and ends all of them when it is destroyed. They end with
/// this process, too. Start them on one thread.
class Deployment {
 public:
  Deployment(std::string gateway_program, std::string folder, Record* record);
  ~Deployment();

  bool StartStore();
  Store& store() { return store_; }
  /// `zones`: the region of each zone.
  bool StartGateway(GatewayPlace* place,
                    const std::map<std::string, std::string>& zones,
                    int memory_mb);
  /// Starts this program again as a worker.
  bool StartWorker(WorkerPlace* place);
  void Signal(const std::string& name, int signal);
  /// Sends SIGKILL and waits for the end.
  void Kill(const std::string& name);
  bool IsRunning(const std::string& name);
  /// Resident memory now, in MB of 1,000,000 bytes; 0 if it has ended.
  double MemoryMb(const std::string& name);
  bool AwaitReady(const GatewayPlace& place, int64_t timeout_ms);

 private:
  /// Adds the runs that the workers printed to the record.
  void RecordRuns();
  /// Standard output goes to NAME.log in the folder.
  pid_t Spawn(const std::string& name, const std::vector<std::string>& words,
              const std::vector<std::string>& environment);

  std::string gateway_program_;
  std::string folder_;
  Record* record_;
  Store store_;
  std::mutex mutex_;
  std::map<std::string, pid_t> pids_;
  std::set<std::string> workers_;
};

/// Rows of a desired state.
nlohmann::json ModelService(const std::string& name);
nlohmann::json PlainService(const std::string& name);
nlohmann::json RouteRow(const std::string& prefix, const std::string& kind,
                        const std::string& service, int timeout_ms,
                        int target_ms, int max_attempts, bool is_resumable);
std::string DesiredState(int version, const nlohmann::json& routes,
                         const nlohmann::json& services);

/// The entry of a worker in the store, and how the worker writes it.
std::string EntryOf(const WorkerPlace& place, int64_t born_ms,
                    uint64_t sequence, int64_t cold_remaining_ms);
bool WriteEntry(const std::string& store_ip, int store_port,
                const std::string& key, const std::string& value);

int64_t UnixMs();

}  // namespace review
