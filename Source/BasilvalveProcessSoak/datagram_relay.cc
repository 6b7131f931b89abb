#include "BasilvalveProcessSoak/datagram_relay.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include <thread>

#include "BasilvalveProcessSoak/channel.h"

namespace basilvalve::process_soak {
namespace {

constexpr int64_t kLateMs = 1500;
constexpr int kTickMs = 20;

sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

}  // namespace

bool DatagramRelay::Add(const std::string& ip, int outer_port, int inner_port) {
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in at = Address(ip, outer_port);
  endpoints_.push_back({fd, ip});
  inner_port_ = inner_port;
  inner_text_ = ":" + std::to_string(inner_port);
  outer_text_ = ":" + std::to_string(outer_port);
  return bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
}

void DatagramRelay::Start(uint64_t seed) {
  random_.seed(seed);
  std::thread([this] { Loop(); }).detach();
}

void DatagramRelay::SetTrouble(double lost, double doubled, double late) {
  lost_share_ = lost;
  doubled_share_ = doubled;
  late_share_ = late;
}

void DatagramRelay::Send(size_t to, const std::string& bytes) {
  sockaddr_in at = Address(endpoints_[to].ip, inner_port_);
  sendto(endpoints_[to].fd, bytes.data(), bytes.size(), 0,
         reinterpret_cast<sockaddr*>(&at), sizeof(at));
}

void DatagramRelay::Pass(size_t to, std::string bytes) {
  for (size_t at = bytes.find(inner_text_); at != std::string::npos;
       at = bytes.find(inner_text_, at + 1)) {
    bytes.replace(at, inner_text_.size(), outer_text_);
  }
  std::uniform_real_distribution<double> share(0, 1);
  if (share(random_) < lost_share_) {
    return;
  }
  if (share(random_) < late_share_) {
    late_.push_back({NowMs() + kLateMs, to, bytes});
    return;
  }
  Send(to, bytes);
  if (share(random_) < doubled_share_) {
    Send(to, bytes);
  }
}

void DatagramRelay::Loop() {
  std::vector<pollfd> waits;
  waits.reserve(endpoints_.size());
  for (const Endpoint& endpoint : endpoints_) {
    waits.push_back({endpoint.fd, POLLIN, 0});
  }
  std::vector<char> buf(65536);
  for (;;) {
    poll(waits.data(), waits.size(), kTickMs);
    for (size_t i = 0; i < waits.size(); ++i) {
      ssize_t n = 0;
      while (waits[i].revents != 0 &&
             (n = recv(waits[i].fd, buf.data(), buf.size(), 0)) > 0) {
        Pass(i, std::string(buf.data(), static_cast<size_t>(n)));
      }
    }
    while (!late_.empty() && late_.front().due_ms <= NowMs()) {
      Send(late_.front().to, late_.front().bytes);
      late_.pop_front();
    }
  }
}

}  // namespace basilvalve::process_soak
