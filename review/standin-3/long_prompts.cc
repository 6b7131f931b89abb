// Clients list prompts of many parts without tokens. The platform kills a process that exceeds its
// memory, as DEPLOY.md says, and starts it again. Arguments: FOLDER RECORD TROUBLE
#include "platform.h"

using namespace review;

namespace {

constexpr int kMemoryMb = 260;
// The larger of both meanings of a megabyte.
constexpr double kLimitBytes = kMemoryMb * 1048576.0;
constexpr int kWorkers = 9;
constexpr double kRequestsPerSecond = 150;
constexpr int kParts = 1350;
constexpr int kEvents = 3;
constexpr double kPlaySeconds = 90;
constexpr int kEndsToBreak = 3;
const char* kSignature = "3e1b.07.5a2.600.0.c9f2a4d1";

struct Machine {
  std::unique_ptr<Gateway> gateway;
  double peak = 0;
  int ends = 0;
  uint64_t sent = 0;
  std::map<std::string, int> answers;
};

class Worker {
 public:
  Worker(Loop* loop, const std::string& host, std::string id)
      : id_(std::move(id)),
        host_(host),
        listener_(loop, host, 0, [this](Connection::Ptr c) { Serve(std::move(c)); }) {}
  std::string address() const { return host_ + ":" + std::to_string(listener_.port()); }
  const std::string& id() const { return id_; }
  uint64_t runs = 0;

 private:
  struct Channel {
    Connection::Ptr connection;
    RequestReader reader;
  };
  void Serve(Connection::Ptr connection) {
    auto channel = std::make_shared<Channel>();
    channel->connection = connection;
    channels_.insert(channel);
    Channel* raw = channel.get();
    connection->on_read = [this, raw] {
      Message request;
      if (raw->reader.Next(&raw->connection->in, &request)) Answer(raw->connection.get(), request);
    };
    connection->on_end = [this, channel] { channels_.erase(channel); };
  }
  void Answer(Connection* connection, const Message& request) {
    std::string head = "X-Request-Id: " + request.Field("X-Request-Id") + "\r\n";
    if (request.Field("X-Expect-Instance") != id_) {
      connection->Write("HTTP/1.1 421 Misdirected Request\r\n" + head + "X-Instance-Id: " + id_ +
                        "\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    ++runs;
    std::string out = "HTTP/1.1 200 OK\r\n" + head + "X-Response-Signature: " + kSignature +
                      "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 1; i <= kEvents; ++i) {
      std::string event = "id: " + std::to_string(i) + "\ndata: " + std::string(70, 'x') + "\n\n";
      char size[16];
      snprintf(size, sizeof(size), "%zx\r\n", event.size());
      out += size + event + "\r\n";
    }
    connection->Write(out + "0\r\n\r\n");
  }

  std::string id_;
  std::string host_;
  Listener listener_;
  std::set<std::shared_ptr<Channel>> channels_;
};

std::string RequestId() {
  static uint64_t n = static_cast<uint64_t>(UnixMs()) << 20;
  char text[20];
  snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(++n));
  return text;
}

class Play {
 public:
  Play(const std::string& folder, const std::string& record, bool is_trouble)
      : record_(record), tokens_(is_trouble ? 0 : 1) {
    net_ = "127." + std::to_string(64 + getpid() % 128) + "." + std::to_string(getpid() / 128 % 250) + ".";
    store_ = std::make_unique<Store>(&loop_, net_ + "1");
    json zones = {{"muc-a", "muenchen"}, {"nue-a", "nuernberg"}};
    int n = 0;
    for (const char* zone : {"muc-a", "nue-a"}) {
      for (int i = 0; i < kWorkers; ++i) {
        ++n;
        auto worker = std::make_unique<Worker>(&loop_, net_ + std::to_string(100 + n), "i-" + std::to_string(n));
        store_->Put("servers/" + worker->id(), WorkerEntry("basil-serve", worker->address(), zone, 64, UnixMs()));
        workers_.push_back(std::move(worker));
      }
      Machine machine;
      machine.gateway = std::make_unique<Gateway>(std::string("edge-") + zone + "-1", net_ + std::to_string(10 + n), zone,
                                                  zones[zone], zones, store_->address(), folder, kMemoryMb);
      machines_.push_back(std::move(machine));
    }
    store_->Put("op/config",
                DesiredState(7, json::array({RouteRow("/report/", "streaming", "basil-serve", 12000, 1200, 2, true)})).dump());
  }

  int Run() {
    for (Machine& it : machines_) it.gateway->Start();
    loop_.RunFor(3);
    for (Machine& it : machines_) {
      int status = 0;
      if (it.gateway->HasEnded(&status)) {
        record_ << "a gateway did not start\n";
        return 2;
      }
      Sample(&it);
      SendNext(&it);
    }
    loop_.RunFor(kPlaySeconds);
    int broken = 0;
    bool is_served = true;
    for (Machine& it : machines_) {
      record_ << it.gateway->name() << ": " << it.sent << " requests of " << kParts << " parts with " << tokens_
              << " tokens each; most memory held " << it.peak / 1e6 << " MB of " << kMemoryMb << ", ended for it " << it.ends
              << " times; answers:";
      for (const auto& [what, n] : it.answers) record_ << " " << what << ": " << n << ";";
      record_ << "\n";
      broken += it.ends >= kEndsToBreak ? 1 : 0;
      is_served &= it.answers["200, whole"] > 0;
    }
    uint64_t runs = 0;
    for (const auto& it : workers_) runs += it->runs;
    record_ << "runs at the workers: " << runs << "\n";
    if (!is_served) {
      record_ << "no request was served: the case could not run\n";
      return 2;
    }
    bool is_broken = broken >= 2;
    record_ << (is_broken ? "BROKEN: two machines' processes ended three times or more, their memory over the limit\n"
                          : "held\n");
    return is_broken ? 1 : 0;
  }

 private:
  void SendNext(Machine* machine) {
    loop_.After(1 / kRequestsPerSecond, [this, machine] { SendNext(machine); });
    if (!machine->gateway->is_running()) return;
    auto connection = Connection::Connect(&loop_, machine->gateway->ip(), machine->gateway->front());
    clients_.insert(connection);
    ++machine->sent;
    std::weak_ptr<Connection> weak = connection;
    auto end = [this, machine, weak](const std::string& how) {
      auto self = weak.lock();
      if (!self || clients_.erase(self) == 0) return;
      ++machine->answers[how];
      self->Close();
    };
    connection->on_read = [weak, end] {
      auto self = weak.lock();
      if (!self || self->in.size() < 12) return;
      std::string status = self->in.substr(9, 3);
      bool is_whole = self->in.compare(self->in.size() - 5, 5, "0\r\n\r\n") == 0;
      if (status != "200") {
        end(status);
      } else if (is_whole) {
        end("200, whole");
      }
    };
    connection->on_end = [end] { end("cut"); };
    std::string parts;
    for (int i = 0; i < kParts; ++i) {
      char text[24];
      snprintf(text, sizeof(text), "%x:%d,", ++part_, tokens_);
      parts += text;
    }
    connection->Write("POST /report/1 HTTP/1.1\r\nHost: bars.example\r\nX-Request-Id: " + RequestId() +
                      "\r\nX-Deadline-Ms: 12000\r\nX-Model: m\r\nX-Token-Usage: " + std::to_string(100 + kParts * tokens_) +
                      ",24\r\nX-Prompt-Prefix: " + parts + RequestId() + ":100\r\nContent-Length: 5\r\n\r\nhello");
    loop_.After(12.0, [end] { end("time limit"); });
  }
  void Sample(Machine* machine) {
    loop_.After(0.25, [this, machine] { Sample(machine); });
    if (!machine->gateway->is_running()) return;
    MemoryUse use = machine->gateway->Memory();
    machine->peak = std::max(machine->peak, use.sum());
    if (use.sum() <= kLimitBytes) return;
    record_ << Now() - began_ << " s: " << machine->gateway->name() << " holds " << use.sum() / 1e6
            << " MB: " << use.resident / 1e6 << " MB resident and " << use.unread / 1e6
            << " MB received and not read. The platform kills it.\n";
    ++machine->ends;
    machine->gateway->Kill();
    loop_.After(1, [machine] { machine->gateway->Start(); });
  }

  std::ofstream record_;
  double began_ = Now();
  int tokens_;
  uint32_t part_ = 0x10000000;
  std::string net_;
  Loop loop_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<Machine> machines_;
  std::set<Connection::Ptr> clients_;
};

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 4) return 2;
  Play play(argv[1], argv[2], std::string(argv[3]) != "0");
  return play.Run();
}
