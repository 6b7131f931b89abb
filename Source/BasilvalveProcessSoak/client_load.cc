#include "BasilvalveProcessSoak/client_load.h"

#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <thread>

namespace basilvalve::process_soak {
namespace {

constexpr MachineLimits kLimits{64, 400};
// The smallest machine of the platform.
constexpr MachineLimits kSmallestMachine{120, 3075};
// The bodies or responses of these are larger than the machine's memory.
constexpr size_t kBodyClients = 24;
// More connections than the machine has descriptors.
constexpr size_t kConnections = 450;
// Clients that were cut off come back this often.
constexpr int kRounds = 2;
constexpr size_t kMaxBodyBytes = size_t{4} * 1024 * 1024;
constexpr size_t kUnfinishedBytes = kMaxBodyBytes - size_t{16} * 1024;
constexpr size_t kFarOverLimit = 16 * kMaxBodyBytes;
constexpr size_t kLargeChunk = size_t{64} * 1024;
constexpr size_t kMaxHeadBytes = 16'000;
constexpr int kConnectTimeoutMs = 2000;
constexpr int kReadyTimeoutMs = 30'000;
constexpr int64_t kCallMs = 12'000;
// No check: ends the wait of clients whose responses do not come.
constexpr int64_t kGiveUpMs = 30'000;
constexpr int64_t kStepMs = 20;

std::string Chunk(size_t n) {
  char size[24];
  snprintf(size, sizeof(size), "%zx\r\n", n);
  return size + std::string(n, 'b') + "\r\n";
}

// Sends what the socket takes at once; false if the connection is broken.
bool TrySend(const Channel& channel, std::string_view bytes) {
  return !channel.IsClosed() && (send(channel.fd(), bytes.data(), bytes.size(),
                                      MSG_NOSIGNAL | MSG_DONTWAIT) >= 0 ||
                                 errno == EAGAIN);
}

// Runs `fn` for each index on a thread of its own.
void OnThreads(size_t n, const std::function<void(size_t)>& fn) {
  std::vector<std::thread> threads;
  for (size_t i = 0; i < n; ++i) {
    threads.emplace_back(fn, i);
  }
  for (std::thread& it : threads) {
    it.join();
  }
}

bool WaitUntil(const std::function<bool()>& done) {
  int64_t until = NowMs() + kGiveUpMs;
  while (!done() && NowMs() < until) {
    SleepMs(kStepMs);
  }
  return done();
}

}  // namespace

struct ClientLoad::Case {
  std::string name;
  Channels (ClientLoad::*play)();
  MachineLimits limits = kLimits;
};

const std::vector<ClientLoad::Case>& ClientLoad::Cases() {
  static const std::vector<Case> kCases = {
      {"large-chunks", &ClientLoad::SendLargeChunks},
      {"small-chunks", &ClientLoad::SendSmallChunks},
      {"announced-bodies", &ClientLoad::SendAnnouncedBodies},
      {"unannounced-bodies", &ClientLoad::SendUnannouncedBodies},
      {"slow-heads", &ClientLoad::SendSlowHeads},
      {"unread-responses", &ClientLoad::LeaveResponsesUnread},
      {"endless-responses", &ClientLoad::AskForEndlessResponses},
      {"one-large-request", &ClientLoad::SendOneLargeRequest, kSmallestMachine},
  };
  return kCases;
}

ClientLoad::ClientLoad(std::string gateway)
    : ledger_("/dev/null"),
      upstream_(&store_),
      fleet_(std::move(gateway), &store_, &ledger_) {}

std::string ClientLoad::CaseNames() {
  std::string names;
  for (const Case& it : Cases()) {
    names += (names.empty() ? "" : ", ") + it.name;
  }
  return names;
}

Result<std::vector<std::string>> ClientLoad::Run(const std::string& name) {
  auto it = std::find_if(Cases().begin(), Cases().end(),
                         [&](const Case& row) { return row.name == name; });
  if (it == Cases().end()) {
    return Fail(ResultCode::kSettingInvalid, "cases are " + CaseNames());
  }
  store_.Put(DesiredStateKey(), DesiredStateText(7, 2, kCallMs, false));
  if (!upstream_.Start() ||
      !fleet_.Create({{"east-a", "east"}}, {"east-a"}, 1, it->limits) ||
      !fleet_.StartAll(kReadyTimeoutMs)) {
    fleet_.Stop();
    return Fail(ResultCode::kSettingInvalid, "the gateway does not get ready");
  }
  const pid_t pid = fleet_.gateways()[0].pid;
  ProcessWatch watch(pid);
  ServeOrdinaryRequest();
  int64_t memory_before = watch.PeakMemory();
  Channels channels = (this->*it->play)();
  watch.WaitUntilSteady();
  ServeOrdinaryRequest();
  int64_t memory = watch.PeakMemory();
  channels.clear();
  constexpr int64_t kMegabyte = int64_t{1024} * 1024;
  figures_ =
      "memory=" + std::to_string(memory / kMegabyte) + "MB of " +
      std::to_string(it->limits.memory_mb) + ", " +
      std::to_string(memory_before / kMegabyte) +
      " before; descriptors=" + std::to_string(watch.peak_descriptors()) +
      " of " + std::to_string(it->limits.max_fds);
  std::vector<std::string> violations = std::move(violations_);
  if (memory < 0 || fleet_.gateways()[0].pid != pid) {
    violations.emplace_back("the process has ended");
  }
  if (memory >= it->limits.memory_mb * kMegabyte) {
    violations.emplace_back("the process takes too much memory");
  }
  if (watch.peak_descriptors() >= it->limits.max_fds) {
    violations.emplace_back("the process opens too many descriptors");
  }
  fleet_.Stop();
  fleet_.RemoveFiles();
  return violations;
}

std::unique_ptr<Channel> ClientLoad::Connect() {
  int fd = Channel::Connect(place().ip, place().front, kConnectTimeoutMs);
  return fd < 0 ? nullptr : std::make_unique<Channel>(fd);
}

ClientLoad::Channels ClientLoad::ConnectMany() {
  Channels channels;
  for (size_t i = 0; i < kConnections; ++i) {
    if (auto channel = Connect()) {
      channels.push_back(std::move(channel));
    }
  }
  return channels;
}

std::string ClientLoad::RequestHead(const std::string& method,
                                    const std::string& part) {
  return method + " " + RoutePrefix("look") + part + " HTTP/1.1\r\n" +
         RequestLines(
             {"load-" + std::to_string(++requests_), place().name, kCallMs});
}

void ClientLoad::ServeOrdinaryRequest() {
  for (;;) {
    HttpMessage answer;
    auto channel = Connect();
    if (channel && channel->Write(RequestHead("GET", kOrdinaryPart) + "\r\n") &&
        channel->Read(&answer, NowMs() + kCallMs, true) == ReadStatus::kDone &&
        answer.Status() == 200) {
      return;
    }
    SleepMs(kStepMs);
  }
}

ClientLoad::Channels ClientLoad::SendUnfinishedBodies(
    const std::string& chunk) {
  // Bytes of the body in one chunk's text.
  size_t carried = strtoul(chunk.c_str(), nullptr, 16);
  std::string text;
  size_t in_text = 0;
  while (text.size() < kLargeChunk) {
    text += chunk;
    in_text += carried;
  }
  std::vector<std::string> heads;
  for (size_t i = 0; i < kBodyClients * kRounds; ++i) {
    heads.push_back(RequestHead("POST", kOrdinaryPart) +
                    "Transfer-Encoding: chunked\r\n\r\n");
  }
  Channels channels(kBodyClients);
  OnThreads(kBodyClients, [&](size_t i) {
    for (int round = 0; round < kRounds; ++round) {
      channels[i] = Connect();
      bool is_open =
          channels[i] && channels[i]->Write(heads[i * kRounds + round]);
      for (size_t n = 0; is_open && n + in_text <= kUnfinishedBytes;
           n += in_text) {
        is_open = channels[i]->Write(text);
      }
      if (is_open) {
        return;
      }
    }
  });
  return channels;
}

ClientLoad::Channels ClientLoad::SendLargeChunks() {
  return SendUnfinishedBodies(Chunk(kLargeChunk));
}

ClientLoad::Channels ClientLoad::SendSmallChunks() {
  return SendUnfinishedBodies(Chunk(1));
}

ClientLoad::Channels ClientLoad::SendAnnouncedBodies() {
  Channels channels = ConnectMany();
  for (const auto& it : channels) {
    TrySend(*it, RequestHead("POST", kOrdinaryPart) + "Content-Length: " +
                     std::to_string(kFarOverLimit) + "\r\n\r\n");
  }
  std::string piece(kLargeChunk, 'b');
  for (size_t n = 0; n < kFarOverLimit / 16; n += piece.size()) {
    for (const auto& it : channels) {
      TrySend(*it, piece);
    }
  }
  return channels;
}

ClientLoad::Channels ClientLoad::SendUnannouncedBodies() {
  Channels channels = SendLargeChunks();
  std::string chunk = Chunk(kLargeChunk);
  OnThreads(kBodyClients, [&](size_t i) {
    bool is_open = channels[i] != nullptr;
    for (size_t n = 0; is_open && n < kFarOverLimit; n += kLargeChunk) {
      is_open = channels[i]->Write(chunk);
    }
  });
  return channels;
}

ClientLoad::Channels ClientLoad::SendSlowHeads() {
  Channels channels = ConnectMany();
  for (const auto& it : channels) {
    TrySend(*it, RequestHead("POST", kOrdinaryPart) + "X-More: ");
  }
  for (size_t n = 0; n < kMaxHeadBytes; n += 200) {
    for (const auto& it : channels) {
      TrySend(*it, std::string(200, 'x'));
    }
    SleepMs(kStepMs);
  }
  return channels;
}

ClientLoad::Channels ClientLoad::LeaveResponsesUnread() {
  Channels channels(kBodyClients);
  for (auto& it : channels) {
    it = Connect();
    if (it) {
      TrySend(*it, RequestHead("GET", kLargePart) + "\r\n");
    }
  }
  WaitUntil([&] {
    return upstream_.writing() == 0 &&
           std::all_of(channels.begin(), channels.end(), [](const auto& it) {
             return !it || it->HasInput() || it->IsClosed();
           });
  });
  return channels;
}

ClientLoad::Channels ClientLoad::AskForEndlessResponses() {
  const std::vector<const char*> parts = {kEndlessPart, kEndlessPart,
                                          kEndlessPart, kEndlessChunksPart,
                                          kEndlessPart, kEndlessHeadPart};
  Channels channels(kBodyClients);
  for (size_t i = 0; i < channels.size(); ++i) {
    channels[i] = Connect();
    if (channels[i]) {
      TrySend(*channels[i],
              RequestHead("GET", parts[i % parts.size()]) + "\r\n");
    }
  }
  WaitUntil([&] {
    return std::all_of(channels.begin(), channels.end(), [](const auto& it) {
      return !it || it->HasInput() || it->IsClosed();
    });
  });
  return channels;
}

ClientLoad::Channels ClientLoad::SendOneLargeRequest() {
  Channels channels;
  channels.push_back(Connect());
  HttpMessage answer;
  if (!channels[0] ||
      !channels[0]->Write(RequestHead("POST", kOrdinaryPart) +
                          "Content-Length: " + std::to_string(kMaxBodyBytes) +
                          "\r\n\r\n" + std::string(kMaxBodyBytes, 'b')) ||
      channels[0]->Read(&answer, NowMs() + kCallMs, true) !=
          ReadStatus::kDone ||
      answer.Status() != 200) {
    violations_.emplace_back("a request within the limits is not served");
  }
  return channels;
}

}  // namespace basilvalve::process_soak
