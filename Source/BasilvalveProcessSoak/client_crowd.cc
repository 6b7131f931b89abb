#include "BasilvalveProcessSoak/client_crowd.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>

namespace basilvalve::process_soak {
namespace {

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
constexpr size_t kHeadPiece = 200;
constexpr size_t kSlowRead = size_t{2} * 1024;
constexpr int kConnectTimeoutMs = 2000;
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

// Reads up to `n` bytes of what has arrived and drops them.
size_t TryRead(const Channel& channel, size_t n) {
  std::vector<char> buf(n);
  ssize_t got = recv(channel.fd(), buf.data(), buf.size(), MSG_DONTWAIT);
  return got > 0 ? static_cast<size_t>(got) : 0;
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

}  // namespace

bool WaitUntil(const std::function<bool()>& done) {
  int64_t until = NowMs() + kGiveUpMs;
  while (!done() && NowMs() < until) {
    SleepMs(kStepMs);
  }
  return done();
}

std::unique_ptr<Channel> ClientCrowd::Connect() const {
  int fd = Channel::Connect(target_.ip, target_.port, kConnectTimeoutMs);
  return fd < 0 ? nullptr : std::make_unique<Channel>(fd);
}

void ClientCrowd::ConnectMany() {
  for (size_t i = 0; i < kConnections; ++i) {
    if (auto channel = Connect()) {
      channels_.push_back(std::move(channel));
    }
  }
}

void ClientCrowd::ConnectBodyClients() {
  channels_.resize(kBodyClients);
  for (auto& it : channels_) {
    it = Connect();
  }
}

void ClientCrowd::SendUnfinishedBodies(const std::string& chunk,
                                       const std::string& part) {
  // Bytes of the body in one chunk's text.
  size_t carried = strtoul(chunk.c_str(), nullptr, 16);
  std::string text;
  size_t in_text = 0;
  while (text.size() < kLargeChunk) {
    text += chunk;
    in_text += carried;
  }
  channels_.resize(kBodyClients);
  OnThreads(kBodyClients, [&](size_t i) {
    for (int round = 0; round < kRounds; ++round) {
      channels_[i] = Connect();
      bool is_open = channels_[i] &&
                     channels_[i]->Write(target_.head("POST", part) +
                                         "Transfer-Encoding: chunked\r\n\r\n");
      for (size_t n = 0; is_open && n + in_text <= kUnfinishedBytes;
           n += in_text) {
        is_open = channels_[i]->Write(text);
      }
      if (is_open) {
        return;
      }
    }
  });
}

void ClientCrowd::SendLargeChunks(const std::string& part) {
  SendUnfinishedBodies(Chunk(kLargeChunk), part);
}

void ClientCrowd::SendSmallChunks(const std::string& part) {
  SendUnfinishedBodies(Chunk(1), part);
}

void ClientCrowd::SendAnnouncedBodies(const std::string& part) {
  ConnectMany();
  for (const auto& it : channels_) {
    TrySend(*it, target_.head("POST", part) + "Content-Length: " +
                     std::to_string(kFarOverLimit) + "\r\n\r\n");
  }
  std::string piece(kLargeChunk, 'b');
  for (size_t n = 0; n < kFarOverLimit / 16; n += piece.size()) {
    for (const auto& it : channels_) {
      TrySend(*it, piece);
    }
  }
}

void ClientCrowd::SendUnannouncedBodies(const std::string& part) {
  SendLargeChunks(part);
  std::string chunk = Chunk(kLargeChunk);
  OnThreads(kBodyClients, [&](size_t i) {
    bool is_open = channels_[i] != nullptr;
    for (size_t n = 0; is_open && n < kFarOverLimit; n += kLargeChunk) {
      is_open = channels_[i]->Write(chunk);
    }
  });
}

void ClientCrowd::SendWholeBodies(const std::string& part,
                                  const std::string& body) {
  ConnectBodyClients();
  OnThreads(kBodyClients, [&](size_t i) {
    if (channels_[i]) {
      channels_[i]->Write(target_.head("POST", part) + "Content-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body);
    }
  });
}

void ClientCrowd::SendSlowHeads(const std::string& part) {
  ConnectMany();
  for (const auto& it : channels_) {
    TrySend(*it, target_.head("POST", part) + "X-More: ");
  }
  for (size_t n = 0; n < kMaxHeadBytes; n += kHeadPiece) {
    for (const auto& it : channels_) {
      TrySend(*it, std::string(kHeadPiece, 'x'));
    }
    SleepMs(kStepMs);
  }
}

void ClientCrowd::ReturnWithSlowHeads(const std::string& part) {
  SendSlowHeads(part);
  background_ = std::thread([this, part] {
    while (!is_leaving_) {
      for (auto& it : channels_) {
        if (!it || it->HasInput() || it->IsClosed()) {
          it = Connect();
          if (it) {
            TrySend(*it, target_.head("POST", part) + "X-More: ");
          }
        } else {
          TrySend(*it, "x");
        }
      }
      SleepMs(kStepMs);
    }
  });
}

void ClientCrowd::LeaveUnread(const std::string& part, int n) {
  ConnectBodyClients();
  for (const auto& it : channels_) {
    for (int i = 0; it && i < n; ++i) {
      TrySend(*it, target_.head("GET", part) + "\r\n");
    }
  }
}

void ClientCrowd::ReadSlowly(const std::string& part, size_t eager_bytes) {
  ConnectBodyClients();
  OnThreads(channels_.size(), [&](size_t i) {
    if (!channels_[i]) {
      return;
    }
    TrySend(*channels_[i], target_.head("GET", part) + "\r\n");
    size_t n = 0;
    WaitUntil([&] {
      size_t got = 0;
      while (n < eager_bytes &&
             (got = TryRead(*channels_[i], kLargeChunk)) > 0) {
        n += got;
      }
      return n >= eager_bytes || channels_[i]->IsClosed();
    });
  });
  background_ = std::thread([this] {
    while (!is_leaving_) {
      for (const auto& it : channels_) {
        if (it) {
          TryRead(*it, kSlowRead);
        }
      }
      SleepMs(kStepMs);
    }
  });
}

bool ClientCrowd::HasResponses() const {
  return std::all_of(channels_.begin(), channels_.end(), [](const auto& it) {
    return !it || it->HasInput() || it->IsClosed();
  });
}

void ClientCrowd::Leave() {
  is_leaving_ = true;
  if (background_.joinable()) {
    background_.join();
  }
  channels_.clear();
}

}  // namespace basilvalve::process_soak
