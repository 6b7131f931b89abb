#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "BasilvalveProcessSoak/channel.h"

namespace basilvalve::process_soak {

/// What the last part of a request's path asks an upstream for.
inline constexpr const char* kOrdinaryPart = "ordinary";
inline constexpr const char* kLargePart = "large";
inline constexpr const char* kEndlessPart = "endless";
inline constexpr const char* kEndlessChunksPart = "chunks";
inline constexpr const char* kEndlessHeadPart = "head";

/// Address of a process and the requests that it serves there.
struct CrowdTarget {
  std::string ip;
  int port = 0;
  /// Request line and header lines of a new request for `part`, without the
  /// empty line that ends the head. Thread safe.
  std::function<std::string(const std::string& method, const std::string& part)>
      head;
};

/// Clients that misbehave at one address. Their connections stay open until
/// Leave or the destructor. Not thread safe.
class ClientCrowd {
 public:
  explicit ClientCrowd(CrowdTarget target) : target_(std::move(target)) {}
  ~ClientCrowd() { Leave(); }
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /// Chunked bodies that stop just short of the limit and stay open.
  void SendLargeChunks(const std::string& part);
  void SendSmallChunks(const std::string& part);
  /// Bodies far over the limit.
  void SendAnnouncedBodies(const std::string& part);
  void SendUnannouncedBodies(const std::string& part);
  /// Complete bodies.
  void SendWholeBodies(const std::string& part, const std::string& body);
  /// Opens more connections than the process has descriptors.
  void ConnectMany();
  /// ConnectMany, with a request head on each that arrives slowly.
  void SendSlowHeads(const std::string& part);
  /// Slow heads whose clients connect again whenever they are cut off, until
  /// Leave.
  void ReturnWithSlowHeads(const std::string& part);
  /// Sends `n` requests on each connection and reads no response.
  void LeaveUnread(const std::string& part, int n);
  /// Sends one request on each connection, reads `eager_bytes` of the response
  /// at once and the rest slowly, until Leave.
  void ReadSlowly(const std::string& part, size_t eager_bytes);

  /// Whether each connection has received bytes or was closed.
  bool HasResponses() const;
  /// Connects; returns null if that fails.
  std::unique_ptr<Channel> Connect() const;
  const CrowdTarget& target() const { return target_; }
  /// Keeps a connection open like the crowd's own.
  void Add(std::unique_ptr<Channel> channel) {
    channels_.push_back(std::move(channel));
  }
  /// Closes the connections.
  void Leave();

 private:
  void SendUnfinishedBodies(const std::string& chunk, const std::string& part);
  void ConnectBodyClients();

  CrowdTarget target_;
  std::vector<std::unique_ptr<Channel>> channels_;
  std::atomic<bool> is_leaving_{false};
  std::thread background_;
};

/// Waits until `done` returns true, for half a minute at most.
bool WaitUntil(const std::function<bool()>& done);

}  // namespace basilvalve::process_soak
