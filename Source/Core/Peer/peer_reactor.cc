#include "Core/Peer/peer_reactor.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "Core/Common/hash.h"

namespace basilvalve::peer {
namespace {

constexpr int kTickMs = 100;

int OpenSocket(const http::Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  if (inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr) != 1) {
    return -1;
  }
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return -1;
  }
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  int rc =
      ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (rc != 0 && errno != EINPROGRESS) {
    ::close(fd);
    return -1;
  }
  return fd;
}

}  // namespace

ReactorShard::ReactorShard(const PeerSettings& settings, const Clock* clock)
    : settings_(settings),
      clock_(clock),
      wake_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  thread_ = std::thread([this] { Run(); });
}

ReactorShard::~ReactorShard() {
  Stop();
  ::close(wake_fd_);
}

void ReactorShard::Stop() {
  stopping_ = true;
  Wake();
  if (thread_.joinable()) {
    thread_.join();
  }
  std::lock_guard lock(mutex_);
  outgoing_.clear();
  accepted_.clear();
}

void ReactorShard::Wake() {
  // One wake-up covers everything queued before the thread clears the flag.
  if (wake_pending_.exchange(true)) {
    return;
  }
  uint64_t one = 1;
  ssize_t n = ::write(wake_fd_, &one, sizeof(one));
  // The write fails only if the counter is full, and then a wake-up is already
  // pending.
  (void)n;
}

bool ReactorShard::HasRoom() {
  {
    std::lock_guard lock(mutex_);
    if (accepted_.size() < settings_.max_accepted) {
      return true;
    }
    Connection* longest = nullptr;
    for (const auto& it : accepted_) {
      if (!it->dead() && !it->HasStreams() &&
          (longest == nullptr || it->last_active() < longest->last_active())) {
        longest = it.get();
      }
    }
    if (longest != nullptr) {
      longest->Close();
    }
  }
  // The shard's thread closes the socket.
  Wake();
  return false;
}

void ReactorShard::AddAccepted(int fd, Connection::OnRequest on_request) {
  {
    std::lock_guard lock(mutex_);
    if (stopping_) {
      ::close(fd);
      return;
    }
    auto connection =
        Connection::Create(fd, /*is_server=*/true, /*connected=*/true,
                           settings_, clock_->Now(), std::move(on_request));
    if (connection != nullptr) {
      accepted_.push_back(std::move(connection));
    }
  }
  Wake();
}

Connection* ReactorShard::ConnectLocked(const http::Endpoint& endpoint) {
  std::unique_ptr<Connection>& slot = outgoing_[endpoint.Text()];
  if (slot != nullptr && !slot->dead()) {
    return slot.get();
  }
  int fd = stopping_ ? -1 : OpenSocket(endpoint);
  if (fd < 0) {
    if (slot == nullptr) {
      outgoing_.erase(endpoint.Text());
    }
    return nullptr;
  }
  if (slot != nullptr) {
    // The polling thread may still hold a pointer to the dead connection.
    retired_.push_back(std::move(slot));
  }
  slot = Connection::Create(fd, /*is_server=*/false, /*connected=*/false,
                            settings_, clock_->Now(), nullptr);
  return slot.get();
}

void ReactorShard::Disconnect(const http::Endpoint& endpoint) {
  std::lock_guard lock(mutex_);
  auto it = outgoing_.find(endpoint.Text());
  if (it != outgoing_.end()) {
    it->second->Close();
  }
}

void ReactorShard::RemoveDeadConnectionsLocked() {
  retired_.clear();
  std::erase_if(outgoing_, [](const auto& it) { return it.second->dead(); });
  accepted_.remove_if([](const auto& it) { return it->dead(); });
}

void ReactorShard::Run() {
  std::vector<pollfd> poll_fds;
  std::vector<Connection*> connections;
  Instant last_tick = clock_->Now();
  while (!stopping_) {
    poll_fds.assign(1, {wake_fd_, POLLIN, 0});
    connections.assign(1, nullptr);
    auto add = [&](Connection* connection) {
      auto events = static_cast<int16_t>(
          POLLIN | (connection->WantsWrite() ? POLLOUT : 0));
      poll_fds.push_back({connection->fd(), events, 0});
      connections.push_back(connection);
    };
    {
      std::lock_guard lock(mutex_);
      RemoveDeadConnectionsLocked();
      for (auto& [name, connection] : outgoing_) {
        add(connection.get());
      }
      for (auto& connection : accepted_) {
        add(connection.get());
      }
    }
    // Only this thread destroys connections, so the pointers stay valid during
    // poll().
    ::poll(poll_fds.data(), poll_fds.size(), kTickMs);
    if ((poll_fds[0].revents & POLLIN) != 0) {
      uint64_t count = 0;
      ssize_t n = ::read(wake_fd_, &count, sizeof(count));
      (void)n;
      // Cleared before the mutex is taken, so that anything queued from here on
      // triggers another wake-up.
      wake_pending_ = false;
    }
    std::lock_guard lock(mutex_);
    Instant now = clock_->Now();
    bool tick = now - last_tick >= Millis(kTickMs);
    last_tick = tick ? now : last_tick;
    for (size_t i = 1; i < poll_fds.size(); ++i) {
      if ((poll_fds[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
        connections[i]->OnReadable(now);
      }
      if ((poll_fds[i].revents & POLLOUT) != 0 && !connections[i]->dead()) {
        connections[i]->OnWritable();
      }
      if (tick) {
        connections[i]->OnTick(now);
      }
    }
  }
}

Reactor::Reactor(const PeerSettings& settings, size_t shards,
                 const Clock* clock)
    : settings_(settings), clock_(clock) {
  for (size_t i = 0; i < shards; ++i) {
    shards_.push_back(std::make_unique<ReactorShard>(settings, clock));
  }
}

void Reactor::Stop() {
  for (auto& it : shards_) {
    it->Stop();
  }
}

ReactorShard& Reactor::ShardFor(const http::Endpoint& endpoint) {
  return *shards_[Hash64(endpoint.Text()) % shards_.size()];
}

ReactorShard& Reactor::NextShard() {
  return *shards_[next_.fetch_add(1) % shards_.size()];
}

}  // namespace basilvalve::peer
