#include "BasilvalveProcessSoak/gateway_load.h"

namespace basilvalve::process_soak {
namespace {

constexpr MachineLimits kLimits{64, 400};
// The smallest machine of the platform.
constexpr MachineLimits kSmallestMachine{120, 3075};
// Their responses are larger than the machine's memory.
constexpr int kPipelinedRequests = 5000;
constexpr int kReadyTimeoutMs = 30'000;

}  // namespace

GatewayLoad::GatewayLoad(std::string program)
    : ledger_("/dev/null"),
      upstream_(&store_),
      fleet_(std::move(program), &store_, &ledger_) {
  AddCallerCases();
  AddStatusCases();
}

void GatewayLoad::AddCallerCases() {
  AddCommonCases(kLimits);
  AddCase("unread-responses", kLimits, [this] { LeaveResponsesUnread(); });
  AddCase("endless-responses", kLimits, [this] { AskForEndlessResponses(); });
  AddCase("one-large-request", kSmallestMachine,
          [this] { SendOneLargeRequest(kOrdinaryPart); });
}

void GatewayLoad::AddStatusCases() {
  AddCase("directory-crowd", kLimits, [this] {
    MoveCrowd(Directory());
    crowd().ReturnWithSlowHeads("");
  });
  AddCase("readiness-crowd", kLimits, [this] {
    MoveCrowd(Readiness());
    crowd().ReturnWithSlowHeads("");
  });
  AddCase("metrics-crowd", kLimits, [this] {
    MoveCrowd(Metrics());
    crowd().ConnectMany();
  });
  AddCase("unread-metrics", kLimits, [this] {
    MoveCrowd(Metrics());
    crowd().LeaveUnread("", kPipelinedRequests);
    WaitUntil([this] { return crowd().HasResponses(); });
  });
}

bool GatewayLoad::Start(const Case& row) {
  store_.Put(DesiredStateKey(), DesiredStateText(7, 2, kCallMs, false));
  return upstream_.Start() &&
         fleet_.Create({{"east-a", "east"}}, {"east-a"}, 1, row.limits) &&
         fleet_.StartAll(kReadyTimeoutMs);
}

void GatewayLoad::Stop() {
  fleet_.Stop();
  fleet_.RemoveFiles();
}

std::string GatewayLoad::RequestHead(const std::string& method,
                                     const std::string& part) {
  return method + " " + RoutePrefix("look") + part + " HTTP/1.1\r\n" +
         RequestLines(
             {"load-" + std::to_string(++requests_), place().name, kCallMs});
}

CrowdTarget GatewayLoad::Callers() {
  return {place().ip, place().front,
          [this](const std::string& method, const std::string& part) {
            return RequestHead(method, part);
          }};
}

CrowdTarget GatewayLoad::StatusAddress(int port,
                                       const std::string& request) const {
  // The head without the empty line that ends it.
  std::string head = request.substr(0, request.size() - 2);
  return {place().ip, port,
          [head](const std::string&, const std::string&) { return head; }};
}

CrowdTarget GatewayLoad::Directory() const {
  return StatusAddress(place().front + 2, DirectoryRequest(place()));
}

CrowdTarget GatewayLoad::Readiness() const {
  return StatusAddress(place().front + 1, ReadyRequest());
}

CrowdTarget GatewayLoad::Metrics() const {
  return StatusAddress(kMetricsPort, MetricsRequest());
}

std::vector<CrowdTarget> GatewayLoad::OtherAddresses() {
  return {Directory(), Readiness(), Metrics()};
}

void GatewayLoad::LeaveResponsesUnread() {
  crowd().LeaveUnread(kLargePart, 1);
  WaitUntil(
      [this] { return upstream_.writing() == 0 && crowd().HasResponses(); });
}

void GatewayLoad::AskForEndlessResponses() {
  const std::vector<std::string> parts = {kEndlessPart, kEndlessPart,
                                          kEndlessPart, kEndlessChunksPart,
                                          kEndlessPart, kEndlessHeadPart};
  CrowdTarget target = Callers();
  target.head = [this, parts, i = size_t{0}](const std::string& method,
                                             const std::string&) mutable {
    return RequestHead(method, parts[i++ % parts.size()]);
  };
  MoveCrowd(target);
  crowd().LeaveUnread("", 1);
  WaitUntil([this] { return crowd().HasResponses(); });
}

}  // namespace basilvalve::process_soak
