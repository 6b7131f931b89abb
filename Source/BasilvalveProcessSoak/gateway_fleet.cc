#include "BasilvalveProcessSoak/gateway_fleet.h"

#include <fcntl.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

namespace basilvalve::process_soak {
namespace {

constexpr int kInternalPort = 23'000;
constexpr int kPeerOffset = 8;
constexpr int kFrontPort = 24'000;
constexpr int64_t kRestartMs = 500;
constexpr int64_t kGraceMs = 8000;
constexpr int64_t kStartMs = 2000;
constexpr int64_t kStoreMs = 4;
constexpr int64_t kTickMs = 10;

// Inode of the loopback socket with these ports; 0 if there is none. Asks for
// the one socket, as the list of all may be long.
uint32_t InodeOf(int local_port, int remote_port) {
  struct {
    nlmsghdr header{};
    inet_diag_req_v2 request{};
  } query;
  query.header.nlmsg_len = sizeof(query);
  query.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  query.header.nlmsg_flags = NLM_F_REQUEST;
  query.request.sdiag_family = AF_INET;
  query.request.sdiag_protocol = IPPROTO_TCP;
  query.request.idiag_states = UINT32_MAX;
  inet_diag_sockid& id = query.request.id;
  id.idiag_sport = htons(static_cast<uint16_t>(local_port));
  id.idiag_dport = htons(static_cast<uint16_t>(remote_port));
  id.idiag_src[0] = htonl(INADDR_LOOPBACK);
  id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
  id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  int fd = socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  alignas(nlmsghdr) char buf[1024];
  ssize_t n = send(fd, &query, sizeof(query), 0) > 0
                  ? recv(fd, buf, sizeof(buf), 0)
                  : -1;
  close(fd);
  const auto* header = reinterpret_cast<const nlmsghdr*>(buf);
  if (n < static_cast<ssize_t>(NLMSG_LENGTH(sizeof(inet_diag_msg))) ||
      header->nlmsg_type != SOCK_DIAG_BY_FAMILY) {
    return 0;
  }
  return static_cast<const inet_diag_msg*>(NLMSG_DATA(header))->idiag_inode;
}

bool HoldsSocket(pid_t pid, uint32_t inode) {
  std::error_code ec;
  std::string wanted = "socket:[" + std::to_string(inode) + "]";
  for (const auto& it : std::filesystem::directory_iterator(
           "/proc/" + std::to_string(pid) + "/fd", ec)) {
    if (std::filesystem::read_symlink(it.path(), ec).string() == wanted) {
      return true;
    }
  }
  return false;
}

}  // namespace

bool GatewayFleet::Create(const std::map<std::string, std::string>& regions,
                          const std::vector<std::string>& zones, uint64_t seed,
                          const MachineLimits& limits) {
  char name[] = "/tmp/basilvalve-process-soak-XXXXXX";
  folder_ = mkdtemp(name);
  bool is_served =
      store_listener_.Start("127.0.0.1", 0, [this](Channel& channel) {
        HttpMessage request;
        while (channel.Read(&request, NowMs() + 60'000, false) ==
               ReadStatus::kDone) {
          StoreStandIn::Reply reply =
              store_->Answer(request.Target(), request.body);
          SleepMs(kStoreMs);
          if (reply.status == 0) {
            return;
          }
          std::string text = reply.body.dump();
          if (!channel.Write("HTTP/1.1 " + std::to_string(reply.status) +
                             " X\r\n" + EraLine(store_->era()) +
                             "Content-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(text.size()) + "\r\n\r\n" + text)) {
            return;
          }
        }
      });
  // A network of its own for each process of the soak.
  std::string net = "127." + std::to_string(20 + getpid() % 200) + "." +
                    std::to_string(1 + getpid() / 200 % 250) + ".";
  std::map<std::string, int> numbers;
  gateways_.resize(zones.size());
  for (size_t i = 0; i < zones.size(); ++i) {
    Gateway& gateway = gateways_[i];
    GatewayPlace& place = gateway.place;
    place.zone = zones[i];
    place.limits = limits;
    place.name = "edge-" + zones[i] + "-" + std::to_string(++numbers[zones[i]]);
    place.ip = net + std::to_string(101 + i);
    place.front = kFrontPort;
    place.internal = kInternalPort;
    gateway.front =
        std::make_unique<Proxy>(place.ip, place.front, seed + 3 * i);
    gateway.peer =
        std::make_unique<Proxy>(place.ip, place.internal, seed + 3 * i + 1);
    gateway.store = std::make_unique<Proxy>("127.0.0.1", store_listener_.port(),
                                            seed + 3 * i + 2);
    int outer = place.internal + kPeerOffset;
    is_served = is_served && gateway.front->Start(place.ip, kFrontPort + 10) &&
                gateway.peer->Start(place.ip, outer) &&
                gateway.store->Start("127.0.0.1", 0) &&
                datagrams_.Add(place.ip, outer, place.internal);
    place.store = gateway.store->port();
    auto at = [&](int port) { return place.ip + ":" + std::to_string(port); };
    store_->ReplacePeerAddress(at(place.internal), at(outer));
    std::ofstream(Path(gateway, ".json")) << SettingsText(place, regions);
  }
  datagrams_.Start(seed);
  return is_served;
}

bool GatewayFleet::StartAll(int ready_timeout_ms) {
  for (Gateway& gateway : gateways_) {
    if (!Launch(&gateway)) {
      return false;
    }
  }
  std::thread([this] { Watch(); }).detach();
  int64_t until = NowMs() + ready_timeout_ms;
  for (const Gateway& gateway : gateways_) {
    while (!IsReady(gateway.place)) {
      if (NowMs() > until) {
        return false;
      }
      SleepMs(50);
    }
  }
  return true;
}

bool GatewayFleet::IsReady(const GatewayPlace& place) const {
  int fd = Channel::Connect(place.ip, place.front + 1, 500);
  if (fd < 0) {
    return false;
  }
  Channel channel(fd);
  HttpMessage answer;
  return channel.Write(ReadyRequest()) &&
         channel.Read(&answer, NowMs() + 1000, true) == ReadStatus::kDone &&
         answer.Status() == 200;
}

bool GatewayFleet::Launch(Gateway* gateway) {
  std::string variable = SettingsVariable(Path(*gateway, ".json"));
  std::string log = Path(*gateway, ".log");
  char* argv[] = {program_.data(), nullptr};
  char* env[] = {variable.data(), nullptr};
  pid_t parent = getpid();
  pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(1);
    }
    int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, 1);
    dup2(fd, 2);
    execve(program_.c_str(), argv, env);
    _exit(127);
  }
  gateway->pid = pid;
  ledger_->OnDisturbed(gateway->place.name, NowMs() + kStartMs);
  ledger_->Line("start %s pid %d", gateway->place.name.c_str(),
                static_cast<int>(pid));
  return pid > 0;
}

void GatewayFleet::Signal(size_t i, int number) {
  std::lock_guard lock(mutex_);
  Gateway& gateway = gateways_[i];
  if (gateway.pid <= 0) {
    return;
  }
  ledger_->Line("signal %d to %s", number, gateway.place.name.c_str());
  kill(gateway.pid, number);
  if (number == SIGTERM && gateway.kill_at_ms == 0) {
    gateway.kill_at_ms = NowMs() + kGraceMs;
  }
}

void GatewayFleet::Watch() {
  for (;;) {
    SleepMs(kTickMs);
    std::lock_guard lock(mutex_);
    if (is_stopping_) {
      return;
    }
    for (Gateway& gateway : gateways_) {
      if (gateway.pid <= 0) {
        if (NowMs() >= gateway.start_at_ms) {
          Launch(&gateway);
        }
        continue;
      }
      if (gateway.kill_at_ms != 0 && NowMs() >= gateway.kill_at_ms) {
        gateway.kill_at_ms = 0;
        kill(gateway.pid, SIGKILL);
      }
      int status = 0;
      if (waitpid(gateway.pid, &status, WNOHANG) == gateway.pid) {
        ledger_->Line("%s ended, status %x", gateway.place.name.c_str(),
                      static_cast<unsigned>(status));
        ledger_->Count("gateway_ends");
        ledger_->OnDisturbed(gateway.place.name, NowMs() + kRestartMs);
        gateway.pid = -1;
        gateway.kill_at_ms = 0;
        gateway.start_at_ms = NowMs() + kRestartMs;
      }
    }
  }
}

int64_t GatewayFleet::StateVersion(const GatewayPlace& place) {
  int fd = Channel::Connect(place.ip, kMetricsPort, 500);
  if (fd < 0) {
    return -1;
  }
  Channel channel(fd);
  HttpMessage answer;
  bool is_answered =
      channel.Write(MetricsRequest()) &&
      channel.Read(&answer, NowMs() + 1000, true) == ReadStatus::kDone;
  return is_answered ? StateVersionOf(answer.body) : -1;
}

void GatewayFleet::JudgeStates(int64_t version) {
  for (const Gateway& gateway : gateways_) {
    const std::string& name = gateway.place.name;
    int64_t applied = StateVersion(gateway.place);
    if (applied != version && ledger_->IsCalmNow(name)) {
      ledger_->AddViolation("CONFIG: " + name + " has version " +
                            std::to_string(applied) + ", not " +
                            std::to_string(version));
    }
  }
}

void GatewayFleet::Stop() {
  std::lock_guard lock(mutex_);
  is_stopping_ = true;
  for (Gateway& gateway : gateways_) {
    if (gateway.pid > 0) {
      kill(gateway.pid, SIGKILL);
      waitpid(gateway.pid, nullptr, 0);
      gateway.pid = -1;
    }
  }
}

void GatewayFleet::RemoveFiles() const {
  std::error_code ec;
  std::filesystem::remove_all(folder_, ec);
}

void GatewayFleet::KeepLogs(const std::string& folder) const {
  for (const Gateway& gateway : gateways_) {
    std::ifstream in(Path(gateway, ".log"));
    std::ofstream(folder + "/" + gateway.place.name + ".log") << in.rdbuf();
  }
}

std::string GatewayFleet::OwnerOf(int local_port, int remote_port) {
  uint32_t inode = InodeOf(local_port, remote_port);
  std::vector<std::pair<pid_t, std::string>> processes;
  {
    std::lock_guard lock(mutex_);
    for (const Gateway& gateway : gateways_) {
      processes.emplace_back(gateway.pid, gateway.place.name);
    }
  }
  for (const auto& [pid, name] : processes) {
    if (inode != 0 && pid > 0 && HoldsSocket(pid, inode)) {
      return name;
    }
  }
  return "";
}

std::string GatewayFleet::Path(const Gateway& gateway,
                               const char* ending) const {
  return folder_ + "/" + gateway.place.name + ending;
}

}  // namespace basilvalve::process_soak
