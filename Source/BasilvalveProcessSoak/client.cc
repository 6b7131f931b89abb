#include "BasilvalveProcessSoak/client.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <thread>

#include "UnitTests/Platform/Soak/platform_words.h"

namespace basilvalve::process_soak {
namespace {

constexpr int kConnectTimeoutMs = 1000;
constexpr int kMaxAttempts = 3;
constexpr size_t kLongBody = 200'000;
constexpr size_t kPiece = 40;

const char* EndingName(ReadStatus status) {
  switch (status) {
    case ReadStatus::kDone:
      return "whole";
    case ReadStatus::kTimeout:
      return "time-limit";
    case ReadStatus::kMalformed:
      return "malformed";
    default:
      return "connection-ended";
  }
}

}  // namespace

Client::Client(std::string gateway, std::string ip, int port, RequestKind kind,
               double per_s, const ClientTrouble* trouble, Ledger* ledger,
               uint64_t seed)
    : gateway_(std::move(gateway)),
      ip_(std::move(ip)),
      port_(port),
      kind_(std::move(kind)),
      per_s_(per_s),
      trouble_(trouble),
      ledger_(ledger),
      random_(seed) {}

double Client::Share() {
  std::lock_guard lock(mutex_);
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

std::string Client::NewId() {
  std::lock_guard lock(mutex_);
  char text[24];
  snprintf(text, sizeof(text), "%016llx",
           static_cast<unsigned long long>(random_()));
  return text;
}

void Client::Run(const std::atomic<bool>& is_over) {
  auto next = static_cast<double>(NowMs());
  while (!is_over) {
    next += -std::log(1 - Share()) * 1000 / per_s_;
    SleepMs(static_cast<int64_t>(next) - NowMs());
    ++open_;
    std::thread([this] {
      Request();
      --open_;
    }).detach();
  }
}

std::unique_ptr<Channel> Client::TakeChannel(bool is_fresh) {
  {
    std::lock_guard lock(mutex_);
    while (!is_fresh && !idle_.empty()) {
      std::unique_ptr<Channel> channel = std::move(idle_.back());
      idle_.pop_back();
      if (channel->HasInput()) {
        ledger_->AddViolation("MIXED: bytes from " + gateway_ +
                              " with no request waiting");
        continue;
      }
      if (!channel->IsClosed()) {
        return channel;
      }
    }
  }
  int fd = Channel::Connect(ip_, port_, kConnectTimeoutMs);
  return fd < 0 ? nullptr : std::make_unique<Channel>(fd);
}

void Client::Request() {
  int64_t until = NowMs() + kind_.limit_ms;
  std::string id = NewId();
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    double retry_after_s = 0;
    int status = Attempt(id, until, attempt > 0, &retry_after_s);
    bool is_promise = status == 429 || status == 503 || status == 408;
    int64_t left = until - NowMs();
    bool is_final = status / 100 == 2 || status == 404 || left <= 0;
    if (is_final || (!is_promise && !kind_.may_repeat)) {
      return;
    }
    if (!is_promise || Share() >= trouble_->keeps_ids) {
      id = NewId();
    }
    SleepMs(std::min(static_cast<int64_t>(retry_after_s * 1000), left / 3));
  }
}

bool Client::WriteRequest(Channel* channel, const std::string& text) {
  if (Share() >= trouble_->writes_pieces) {
    return channel->Write(text);
  }
  for (size_t at = 0; at < text.size() && at < 50 * kPiece; at += kPiece) {
    bool is_last = at + kPiece >= 50 * kPiece;
    if (!channel->Write(
            text.substr(at, is_last ? std::string::npos : kPiece))) {
      return false;
    }
    SleepMs(1);
  }
  return true;
}

int Client::Attempt(const std::string& id, int64_t until_ms, bool is_fresh,
                    double* retry_after_s) {
  std::unique_ptr<Channel> channel = TakeChannel(is_fresh);
  ledger_->OnSent(id, kind_.name, kind_.may_repeat, kind_.tokens_out > 0,
                  gateway_);
  if (!channel) {
    ledger_->OnEnded(id, 0, "no-connection");
    return 0;
  }
  size_t body_bytes = kind_.body_bytes;
  if (body_bytes > 0 && Share() < trouble_->sends_long_bodies) {
    body_bytes = kLongBody;
  }
  std::string text =
      std::string(body_bytes > 0 ? "POST " : "GET ") + RoutePrefix(kind_.name) +
      "2f HTTP/1.1\r\n" +
      RequestLines({id, gateway_, until_ms - NowMs(), kind_.tokens_in,
                    kind_.tokens_out}) +
      (body_bytes > 0 ? "Content-Length: " + std::to_string(body_bytes) + "\r\n"
                      : "") +
      "\r\n" + std::string(body_bytes, 'b');
  int64_t read_until = until_ms;
  bool resets = Share() < trouble_->resets;
  if (resets || Share() < trouble_->gives_up) {
    read_until =
        std::min(until_ms, NowMs() + static_cast<int64_t>(Share() * 300));
  }
  HttpMessage answer;
  ReadStatus got = ReadStatus::kBroken;
  if (WriteRequest(channel.get(), text)) {
    got = channel->Read(&answer, read_until, true);
  }
  int status = got == ReadStatus::kDone ? answer.Status() : 0;
  std::string answered = answer.Field(kRequestIdField);
  if (!answered.empty() && answered != id) {
    ledger_->AddViolation("MIXED: " + id + " got the answer to " + answered);
  }
  ledger_->OnEnded(id, status, EndingName(got));
  if (got == ReadStatus::kTimeout && resets) {
    channel->Reset();
  }
  *retry_after_s = strtod(answer.Field("retry-after").c_str(), nullptr);
  if (got == ReadStatus::kDone && answer.Field("connection") != "close") {
    std::lock_guard lock(mutex_);
    idle_.push_back(std::move(channel));
  }
  return status;
}

}  // namespace basilvalve::process_soak
