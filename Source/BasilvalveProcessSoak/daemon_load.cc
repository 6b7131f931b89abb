#include "BasilvalveProcessSoak/daemon_load.h"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "Core/Common/hash.h"
#include "Core/Http/http_client.h"

namespace basilvalve::process_soak {
namespace {

using nlohmann::json;

constexpr MachineLimits kLimits{96, 400};
constexpr size_t kKilobyte = 1024;
constexpr size_t kMegabyte = 1024 * kKilobyte;
constexpr size_t kMaxBodyBytes = 4 * kMegabyte;
constexpr size_t kLargeBytes = 4 * kMegabyte - 64 * kKilobyte;
constexpr size_t kMaxAnswerBytes = 6 * kMegabyte;
constexpr size_t kStalledBytes = kMaxAnswerBytes - 64 * kKilobyte;
constexpr size_t kOrdinaryBytes = 800;
// Their responses are larger than the machine's memory.
constexpr int kPipelinedRequests = 16;
constexpr int64_t kReadyMs = 30'000;
constexpr int64_t kStepMs = 20;
constexpr int kFirstPort = 24'000;
constexpr unsigned kStandInThreads = 200;
constexpr const char* kKey = "load-key";
// A large response that goes on one byte at a time.
constexpr const char* kStalledPart = "stalled";

// Offsets of the process's ports.
constexpr int kCallerPort = 0;
constexpr int kPeerPort = 1;
constexpr int kAdminPort = 2;
constexpr int kPorts = 3;

json CommonDocument(const char* name) {
  return {{"name", name},
          {"customer", "load"},
          {"keys", {{{"label", "load"}, {"sha256", Sha256Hex(kKey)}}}},
          {"regions", {{"permitted", {"east"}}, {"home", "east"}}},
          {"targets", {{"deadline_ms", kCallMs}}},
          {"limits", {{"body_bytes", kMaxBodyBytes}}}};
}

json ModelDocument() {
  json document = CommonDocument("chat");
  document["upstream"] = "model";
  document["models"] = json::array({"m"});
  return document;
}

json ServiceDocument() {
  auto call = [](const char* method, const char* part) {
    return json{{"method", method},
                {"path", std::string("/") + part},
                {"idempotent", true}};
  };
  json document = CommonDocument("load");
  document["upstream"] = "service";
  document["calls"] =
      json::array({call("GET", kOrdinaryPart), call("POST", kOrdinaryPart),
                   call("GET", kLargePart), call("GET", kStalledPart),
                   call("POST", kEndlessPart)});
  return document;
}

// A body just below the limit.
std::string LargeBody() {
  return std::string(kMaxBodyBytes - 16 * kKilobyte, 'b');
}

// The same as JSON, whose values take many times as much as their text.
std::string NestedJson() {
  std::string body = R"({"model":"m","messages":[],"x":[[])";
  while (body.size() < kMaxBodyBytes - 16 * kKilobyte) {
    body += ",[]";
  }
  return body + "]}";
}

}  // namespace

void PlainService::Handle(http::Exchange* exchange) {
  const std::string& path = exchange->request().path;
  if (path == "/v1/load") {
    exchange->Reply(200, {}, R"({"running":0,"slots":512})");
  } else if (path.ends_with(kEndlessPart) || path.ends_with(kStalledPart)) {
    exchange->BeginStream(200, {});
    if (path.ends_with(kStalledPart)) {
      exchange->WriteStream(std::string(kStalledBytes, 'x'));
    }
    while (!is_stopping_ && exchange->WriteStream("x")) {
      SleepMs(kStepMs);
    }
  } else {
    exchange->Reply(
        200, {},
        std::string(path.ends_with(kLargePart) ? kLargeBytes : kOrdinaryBytes,
                    'x'));
  }
}

DaemonLoad::DaemonLoad(std::string program) : program_(std::move(program)) {
  // A network of its own for each process of the tests.
  ip_ = "127." + std::to_string(20 + getpid() % 200) + "." +
        std::to_string(1 + getpid() / 200 % 250) + ".1";
  AddCallerCases();
  AddOtherCases();
}

void DaemonLoad::AddCallerCases() {
  AddCommonCases(kLimits);
  AddCase("whole-bodies", kLimits,
          [this] { crowd().SendWholeBodies(kEndlessPart, LargeBody()); });
  AddCase("nested-json", kLimits, [this] {
    MoveCrowd(ModelCallers());
    crowd().SendWholeBodies("", NestedJson());
    WaitUntil([this] { return crowd().HasResponses(); });
  });
  AddCase("unread-responses", kLimits, [this] {
    crowd().LeaveUnread(kLargePart, 1);
    WaitUntil([this] { return crowd().HasResponses(); });
  });
  AddCase("pipelined-responses", kLimits, [this] {
    crowd().LeaveUnread(kLargePart, kPipelinedRequests);
    WaitUntil([this] { return crowd().HasResponses(); });
  });
  AddCase("stalled-responses", kLimits, [this] {
    crowd().LeaveUnread(kStalledPart, 1);
    WaitUntil([this] { return crowd().HasResponses(); });
  });
  AddCase("one-large-request", kLimits,
          [this] { SendOneLargeRequest(kOrdinaryPart); });
}

void DaemonLoad::AddOtherCases() {
  AddCase("admin-crowd", kLimits, [this] {
    MoveCrowd(Admin());
    crowd().ReturnWithSlowHeads("");
  });
  AddCase("peer-crowd", kLimits, [this] {
    MoveCrowd({ip_, PortAt(kPeerPort), {}});
    crowd().ConnectMany();
  });
  AddCase("admin-bodies", kLimits, [this] {
    MoveCrowd(Admin());
    crowd().SendLargeChunks("");
  });
}

bool DaemonLoad::StartStandIns() {
  for (http::Handler* it : {static_cast<http::Handler*>(&store_handler_),
                            static_cast<http::Handler*>(&instances_),
                            static_cast<http::Handler*>(&service_)}) {
    http::ServerSettings settings;
    settings.endpoint = {"127.0.0.1", 0};
    settings.max_threads = kStandInThreads;
    settings.max_body_bytes = 2 * kMaxBodyBytes;
    std::string reason;
    auto server = http::Server::Start(settings, it, &reason);
    if (server == nullptr) {
      return false;
    }
    servers_.push_back(std::move(server));
  }
  platform::ListedInstance upstream;
  upstream.id = "service-1";
  upstream.kind = platform::ListedKind::kService;
  upstream.region = RegionId("east");
  upstream.endpoint = servers_.back()->endpoint();
  upstream.service = ServiceName("load");
  instances_.Set({upstream});
  return true;
}

void DaemonLoad::Launch(const Case& row) {
  std::vector<std::string> words = {program_,
                                    "--instance=load-1",
                                    "--region=east",
                                    "--log-level=error",
                                    "--max-in-flight=20",
                                    "--caller-threads=24",
                                    "--peer-workers=4"};
  auto add = [&words](const std::string& flag, const std::string& value) {
    words.push_back("--" + flag + "=" + value);
  };
  add("caller-address", At(kCallerPort).Text());
  add("peer-address", At(kPeerPort).Text());
  add("admin-address", At(kAdminPort).Text());
  add("store-address", servers_[0]->endpoint().Text());
  add("instance-list-address", servers_[1]->endpoint().Text());
  add("max-body-bytes", std::to_string(kMaxBodyBytes));
  add("max-answer-bytes", std::to_string(kMaxAnswerBytes));
  // As environment, so that a program without these settings starts, too.
  std::vector<std::string> environment = {
      "BASILVALVE_PEER_KEYS=client-load-peer-key",
      "BASILVALVE_MEMORY_MB=" + std::to_string(row.limits.memory_mb),
      "BASILVALVE_MAX_DESCRIPTORS=" + std::to_string(row.limits.max_fds)};
  auto pointers = [](std::vector<std::string>& texts) {
    std::vector<char*> out;
    for (std::string& it : texts) {
      out.push_back(it.data());
    }
    out.push_back(nullptr);
    return out;
  };
  std::vector<char*> argv = pointers(words);
  std::vector<char*> env = pointers(environment);
  pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(1);
    }
    execve(program_.c_str(), argv.data(), env.data());
    _exit(127);
  }
}

bool DaemonLoad::Apply(const std::string& name,
                       const std::string& document) const {
  http::Request request{"PUT",
                        "/v1/documents/" + name,
                        "base=0&change=" + name + "-1",
                        {},
                        document};
  return http::ExecuteBuffered(At(kAdminPort), request, {}, kMaxBodyBytes)
      .Is(200);
}

bool DaemonLoad::Start(const Case& row) {
  first_port_ = FreePorts(ip_, kFirstPort, kPorts);
  if (!StartStandIns()) {
    return false;
  }
  Launch(row);
  int64_t until = NowMs() + kReadyMs;
  while (!Apply("load", ServiceDocument().dump()) ||
         !Apply("chat", ModelDocument().dump())) {
    if (NowMs() > until) {
      return false;
    }
    SleepMs(kStepMs);
  }
  return true;
}

void DaemonLoad::Stop() {
  service_.Stop();
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

CrowdTarget DaemonLoad::Callers() {
  return {ip_, PortAt(kCallerPort),
          [](const std::string& method, const std::string& part) {
            return method + " /v1/services/load/" + part +
                   " HTTP/1.1\r\nHost: load\r\nAuthorization: Bearer " + kKey +
                   "\r\n";
          }};
}

CrowdTarget DaemonLoad::ModelCallers() const {
  return {ip_, PortAt(kCallerPort),
          [](const std::string& method, const std::string&) {
            return method +
                   " /v1/chat/completions HTTP/1.1\r\nHost: load\r\n"
                   "Basilvalve-Service: chat\r\nAuthorization: Bearer " +
                   kKey + "\r\n";
          }};
}

CrowdTarget DaemonLoad::Admin() const {
  return {ip_, PortAt(kAdminPort),
          [](const std::string& method, const std::string&) {
            std::string path =
                method == "GET" ? "/healthz" : "/v1/documents/load";
            return method + " " + path + " HTTP/1.1\r\nHost: load\r\n";
          }};
}

std::vector<CrowdTarget> DaemonLoad::OtherAddresses() { return {Admin()}; }

}  // namespace basilvalve::process_soak
