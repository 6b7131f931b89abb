#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace basilvalve::process_soak {

/// Names of the platform's headers in lower case, as they are read.
inline constexpr const char* kRequestIdField = "x-request-id";
inline constexpr const char* kDeadlineField = "x-deadline-ms";
inline constexpr const char* kExpectField = "x-expect-instance";
inline constexpr const char* kTokensField = "x-token-usage";
inline constexpr const char* kLastEventField = "last-event-id";

/// What a gateway may use of its machine; zero: not in its settings.
struct MachineLimits {
  int memory_mb = 0;
  int max_fds = 0;
};

struct GatewayPlace {
  std::string name;
  std::string zone;
  std::string ip;
  int front = 0;
  int internal = 0;
  int store = 0;
  MachineLimits limits;
};

struct UpstreamEntry {
  std::string id;
  std::string service;
  std::string zone;
  int port = 0;
  int slots = 6;
  bool is_draining = false;
  int sequence = 0;
  int64_t born_ms = 0;
};

/// Request head of one client attempt.
struct RequestWords {
  std::string id;
  std::string entry;
  int64_t limit_ms = 0;
  int tokens_in = 0;
  int tokens_out = 0;
};

struct AnswerWords {
  int status = 200;
  std::string id;
  std::string worker;
  bool is_signed = false;
  bool is_not_executed = false;
  double retry_after_s = 0;
};

/// Text of the settings file of a gateway.
std::string SettingsText(const GatewayPlace& place,
                         const std::map<std::string, std::string>& regions);
std::string SettingsVariable(const std::string& path);
/// Service and path prefix of a kind of request.
const char* RoutePrefix(const std::string& kind);
/// Desired state with two services and the routes of the sheets.
std::string DesiredStateText(int version, int max_attempts, int timeout_ms,
                             bool has_extra_route);
std::string DesiredStateKey();
std::string UpstreamKey(const std::string& id);
std::string UpstreamText(const UpstreamEntry& entry);
std::string EvacuationKey(const std::string& zone);
std::string ReadyRequest();
std::string MetricsRequest();
/// Asks the directory of a gateway where to connect.
std::string DirectoryRequest(const GatewayPlace& place);
/// Version of the desired state that the text of a metrics response has; -1 if
/// it has none.
int64_t StateVersionOf(const std::string& metrics);
/// Header line of all answers of the store.
std::string EraLine(uint64_t era);
/// Header lines of a request, each with its line end.
std::string RequestLines(const RequestWords& words);
/// Head of an answer without its framing and its empty line.
std::string AnswerHead(const AnswerWords& words);

}  // namespace basilvalve::process_soak
