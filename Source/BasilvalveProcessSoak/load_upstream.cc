#include "BasilvalveProcessSoak/load_upstream.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace basilvalve::process_soak {
namespace {

constexpr int64_t kRegisterMs = 1200;
constexpr int64_t kIdleTimeoutMs = 60'000;
// More than the cases have clients, so that every call is let through.
constexpr int kSlots = 512;
constexpr size_t kOrdinaryBytes = 800;
constexpr size_t kLargeBytes = size_t{8} * 1024 * 1024;
// The endless response of the platform's faulty upstreams: its stated length
// and its rate, 2.5 MB/s.
constexpr size_t kEndlessBytes = 60'000'000;
constexpr size_t kPieceBytes = 50'000;
constexpr int64_t kPieceMs = 20;

bool WritePieces(Channel& channel, const std::string& piece, size_t total) {
  for (size_t n = 0; n < total; n += piece.size()) {
    if (!channel.Write(piece)) {
      return false;
    }
    SleepMs(kPieceMs);
  }
  return true;
}

}  // namespace

bool LoadUpstream::Start() {
  if (!listener_.Start("127.0.0.1", 0, [this](Channel& c) { Serve(c); })) {
    return false;
  }
  entry_.id = "i-load";
  entry_.service = "counter";
  entry_.zone = "east-a";
  entry_.port = listener_.port();
  entry_.slots = kSlots;
  entry_.born_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  Register();
  std::thread([this] {
    for (;;) {
      SleepMs(kRegisterMs);
      Register();
    }
  }).detach();
  return true;
}

void LoadUpstream::Register() {
  ++entry_.sequence;
  store_->Put(UpstreamKey(entry_.id), UpstreamText(entry_));
}

void LoadUpstream::Serve(Channel& channel) {
  HttpMessage request;
  while (channel.Read(&request, NowMs() + kIdleTimeoutMs, false) ==
         ReadStatus::kDone) {
    ++writing_;
    bool is_written = Answer(channel, request);
    --writing_;
    if (!is_written) {
      return;
    }
  }
}

bool LoadUpstream::Answer(Channel& channel, const HttpMessage& request) {
  std::string target = request.Target();
  std::string part = target.substr(target.rfind('/') + 1);
  std::string head = AnswerHead(
      {200, request.Field(kRequestIdField), entry_.id, /*is_signed=*/true});
  auto sized = [&](size_t n) {
    return head + "Content-Length: " + std::to_string(n) + "\r\n\r\n";
  };
  if (part == kLargePart) {
    return channel.Write(sized(kLargeBytes)) &&
           channel.Write(std::string(kLargeBytes, 'x'));
  }
  std::string piece(kPieceBytes, 'x');
  if (part == kEndlessPart) {
    return channel.Write(sized(kEndlessBytes)) &&
           WritePieces(channel, piece, kEndlessBytes);
  }
  if (part == kEndlessChunksPart) {
    return channel.Write(head +
                         "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n") &&
           WritePieces(channel, piece, kEndlessBytes);
  }
  if (part == kEndlessHeadPart) {
    return channel.Write(head) &&
           WritePieces(channel, "X-More: " + piece + "\r\n", kEndlessBytes);
  }
  return channel.Write(sized(kOrdinaryBytes) +
                       std::string(kOrdinaryBytes, 'x'));
}

}  // namespace basilvalve::process_soak
