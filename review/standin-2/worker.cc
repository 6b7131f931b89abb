#include "worker.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <thread>

#include "deployment.h"
#include "http.h"

namespace review {
namespace {

constexpr int64_t kHeartbeatMs = 1200;
constexpr int64_t kIdleMs = 30'000;
constexpr int64_t kStepMs = 10;

struct Behaviour {
  std::map<std::string, std::string> words;

  explicit Behaviour(const std::string& text) {
    std::istringstream in(text);
    for (std::string word; in >> word;) {
      size_t at = word.find('=');
      words[word.substr(0, at)] = word.substr(at + 1);
    }
  }
  std::string Text(const std::string& name, const std::string& usual) const {
    auto it = words.find(name);
    return it == words.end() ? usual : it->second;
  }
  int64_t Number(const std::string& name, int64_t usual) const {
    return strtoll(Text(name, std::to_string(usual)).c_str(), nullptr, 10);
  }
};

class Worker {
 public:
  Worker(WorkerPlace place, int store_port)
      : place_(std::move(place)),
        behaviour_(place_.behaviour),
        store_port_(store_port),
        born_ms_(UnixMs()) {}

  int Run() {
    if (!server_.Start(place_.ip, place_.port,
                       [this](Channel& channel) { Serve(channel); })) {
      return 1;
    }
    for (uint64_t n = 1;; ++n) {
      WriteEntry("127.0.0.1", store_port_, "servers/" + place_.id,
                 EntryOf(place_, born_ms_, n, ColdLeft()));
      SleepMs(kHeartbeatMs);
    }
  }

 private:
  int64_t ColdLeft() const {
    return std::max<int64_t>(
        0, born_ms_ + behaviour_.Number("cold", 0) - UnixMs());
  }

  std::string Head(int status, const std::string& id) const {
    std::string head = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    head += "X-Instance-Id: " + place_.id + "\r\n";
    if (!id.empty()) {
      head += "X-Request-Id: " + id + "\r\n";
    }
    return head;
  }
  std::string Signed(int status, const std::string& id) const {
    return Head(status, id) + "X-Response-Signature: " + place_.id + "." + id +
           "\r\n";
  }

  void Serve(Channel& channel) {
    Message request;
    while (channel.Read(&request, NowMs() + kIdleMs) && request.is_complete) {
      std::string id = request.Field("x-request-id");
      std::string expected = request.Field("x-expect-instance");
      if (id.empty() || (!expected.empty() && expected != place_.id)) {
        int status = id.empty() ? 200 : 421;
        if (!channel.Write(Head(status, id) + "Content-Length: 0\r\n\r\n")) {
          return;
        }
        continue;
      }
      printf("run %s %lld\n", id.c_str(), static_cast<long long>(NowMs()));
      fflush(stdout);
      bool goes_on = request.Field("x-token-usage").empty()
                         ? Answer(channel, id)
                         : Stream(channel, request, id);
      if (!goes_on) {
        return;
      }
    }
  }

  bool Work(const Channel& channel, int64_t ms) const {
    int64_t until = NowMs() + ms;
    while (NowMs() < until) {
      if (channel.IsClosedByPeer()) {
        return false;
      }
      SleepMs(std::min(kStepMs, until - NowMs()));
    }
    return true;
  }

  bool Answer(Channel& channel, const std::string& id) const {
    if (!Work(channel, behaviour_.Number("work", 15))) {
      return false;
    }
    std::string body(800, 'x');
    return channel.Write(Signed(200, id) + "Content-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  bool Stream(Channel& channel, const Message& request, const std::string& id) {
    std::string framing = behaviour_.Text("framing", "chunked");
    int64_t share = 100;
    if (size_t colon = framing.find(':'); colon != std::string::npos) {
      share = strtoll(framing.c_str() + colon + 1, nullptr, 10);
      framing = framing.substr(0, colon);
    }
    bool is_chunked =
        framing == "chunked" ||
        static_cast<int64_t>(std::hash<std::string>()(id) % 100) >= share;
    auto write = [&](const std::string& bytes) {
      char size[24];
      snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
      return channel.Write(is_chunked ? size + bytes + "\r\n" : bytes);
    };
    int64_t after =
        strtoll(request.Field("last-event-id").c_str(), nullptr, 10);
    int64_t events = behaviour_.Number("events", 48);
    int64_t interval = behaviour_.Number("interval", 80);
    int64_t endless_at = behaviour_.Number("endless_at", 0);
    bool is_slow = UnixMs() - born_ms_ < behaviour_.Number("first_for", 0);
    if (!channel.Write(
            Signed(200, id) + "Content-Type: text/event-stream\r\n" +
            (is_chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n")) ||
        !Work(channel,
              is_slow ? behaviour_.Number("first", interval) : interval)) {
      return false;
    }
    std::string deadly = behaviour_.Text("deadly", "");
    if (!deadly.empty() &&
        request.Field("x-prompt-prefix").find(deadly + ":") !=
            std::string::npos) {
      printf("crash %s %lld\n", id.c_str(), static_cast<long long>(NowMs()));
      fflush(stdout);
      _exit(1);
    }
    for (int64_t i = after + 1; i <= events; ++i) {
      if (endless_at > 0 && UnixMs() >= endless_at) {
        return GoOnWithoutEnd(channel, write, i);
      }
      if (!write("id: " + std::to_string(i) +
                 "\ndata: " + std::string(50, 'x') + "\n\n") ||
          !Work(channel, interval)) {
        return false;
      }
    }
    return is_chunked && channel.Write("0\r\n\r\n");
  }

  bool GoOnWithoutEnd(Channel& channel,
                      const std::function<bool(const std::string&)>& write,
                      int64_t event) {
    constexpr int64_t kPieceMs = 50;
    auto piece = static_cast<size_t>(
        behaviour_.Number("endless_rate", 200'000) * kPieceMs / 1000);
    write("id: " + std::to_string(event) + "\ndata: ");
    while (write(std::string(piece, 'z'))) {
      if (!Work(channel, kPieceMs)) {
        return false;
      }
    }
    return false;
  }

  WorkerPlace place_;
  Behaviour behaviour_;
  int store_port_;
  int64_t born_ms_;
  Server server_;
};

}  // namespace

int RunWorker(int argc, char** argv) {
  if (argc != 10) {
    return 2;
  }
  WorkerPlace place{argv[2],       argv[3],       argv[4], argv[5],
                    atoi(argv[6]), atoi(argv[7]), argv[8]};
  return Worker(place, atoi(argv[9])).Run();
}

}  // namespace review
