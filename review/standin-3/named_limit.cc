// Workers in need name their Server-Limit while clients list long prompts. Arguments: FOLDER RECORD TROUBLE
#include "platform.h"

using namespace review;

namespace {

constexpr int kMemoryMb = 260;
constexpr int kMachines = 2;
constexpr int kWorkers = 9;
constexpr int kInNeed = 4;
constexpr double kLimit = 4;
// RULES of the news page: one and a half times what the limit allows in 4 s, and 5 requests.
constexpr double kWindowSeconds = 4;
constexpr size_t kAllowed = static_cast<size_t>(1.5 * kLimit * kWindowSeconds + 5);
constexpr double kStableWindowSeconds = 5;
constexpr double kPassedOnSeconds = 0.5;
constexpr double kRequestsPerSecond = 160;
constexpr int kShortParts = 2;
constexpr int kLongParts = 1280;
constexpr int kEvents = 10;
constexpr double kEventSeconds = 0.1;
constexpr double kPhaseSeconds = 25;
const char* kSignature = "3e1b.07.5a2.600.0.c9f2a4d1";

struct Request {
  size_t machine = 0;
  size_t worker = 0;
};

// What clients and workers saw of the requests.
struct Sheet {
  std::map<std::string, Request> requests;
  // When a client first got an answer of the worker through the machine.
  std::map<std::pair<size_t, size_t>, double> passed_on;
};

class Worker {
 public:
  Worker(Loop* loop, const std::string& host, size_t number, Sheet* sheet)
      : id_("i-" + std::to_string(number)),
        number_(number),
        host_(host),
        loop_(loop),
        sheet_(sheet),
        listener_(loop, host, 0, [this](Connection::Ptr c) { Serve(std::move(c)); }) {}
  std::string address() const { return host_ + ":" + std::to_string(listener_.port()); }
  const std::string& id() const { return id_; }
  bool has_named_limit() const { return named_at_ >= 0; }
  void NameLimit() {
    is_in_need_ = true;
    named_at_ = -1;
  }
  // The most arrivals in a window between the times that count for the rule.
  size_t Most(double from, double to) const {
    size_t most = 0;
    for (size_t i = 0; i < counted_.size(); ++i) {
      if (counted_[i] < from || named_at_ < 0 || counted_[i] < named_at_ + kStableWindowSeconds) continue;
      size_t n = 0;
      while (i + n < counted_.size() && counted_[i + n] < to && counted_[i + n] - counted_[i] < kWindowSeconds) ++n;
      most = std::max(most, n);
    }
    return most;
  }
  uint64_t runs = 0;

 private:
  struct Channel {
    Connection::Ptr connection;
    RequestReader reader;
    int event = kEvents;
  };
  void Serve(Connection::Ptr connection) {
    auto channel = std::make_shared<Channel>();
    channel->connection = connection;
    channels_.insert(channel);
    std::weak_ptr<Channel> weak = channel;
    connection->on_read = [this, weak] {
      auto self = weak.lock();
      Message request;
      if (self && self->reader.Next(&self->connection->in, &request)) Answer(self, request);
    };
    connection->on_end = [this, weak] {
      auto self = weak.lock();
      if (!self) return;
      if (self->event < kEvents) --running_;
      self->event = kEvents;
      loop_->After(0, [this, self] { channels_.erase(self); });
    };
  }
  void Answer(const std::shared_ptr<Channel>& channel, const Message& request) {
    std::string request_id = request.Field("X-Request-Id");
    std::string head = "X-Request-Id: " + request_id + "\r\n";
    if (request.Field("X-Expect-Instance") != id_) {
      channel->connection->Write("HTTP/1.1 421 Misdirected Request\r\n" + head + "X-Instance-Id: " + id_ +
                                 "\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    ++runs;
    ++running_;
    Request& known = sheet_->requests[request_id];
    known.worker = number_;
    auto passed_on = sheet_->passed_on.find({known.machine, number_});
    if (passed_on != sheet_->passed_on.end() && passed_on->second + kPassedOnSeconds <= Now()) counted_.push_back(Now());
    head += std::string("X-Response-Signature: ") + kSignature + "\r\nX-Server-Load: " + std::to_string(running_) + ",0,64\r\n";
    if (is_in_need_) {
      if (named_at_ < 0) named_at_ = Now();
      head += "Server-Limit: " + std::to_string(static_cast<int>(kLimit)) + ".0\r\n";
    }
    channel->connection->Write("HTTP/1.1 200 OK\r\n" + head +
                               "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    channel->event = 0;
    WriteEvent(channel);
  }
  void WriteEvent(const std::shared_ptr<Channel>& channel) {
    if (!channel->connection->is_open() || channel->event == kEvents) return;
    std::string event = "id: " + std::to_string(++channel->event) + "\ndata: " + std::string(70, 'x') + "\n\n";
    char size[16];
    snprintf(size, sizeof(size), "%zx\r\n", event.size());
    bool is_last = channel->event == kEvents;
    if (is_last) --running_;
    channel->connection->Write(size + event + "\r\n" + (is_last ? "0\r\n\r\n" : ""));
    std::weak_ptr<Channel> weak = channel;
    if (!is_last) {
      loop_->After(kEventSeconds, [this, weak] {
        if (auto self = weak.lock()) WriteEvent(self);
      });
    }
  }

  std::string id_;
  size_t number_;
  std::string host_;
  Loop* loop_;
  Sheet* sheet_;
  Listener listener_;
  std::set<std::shared_ptr<Channel>> channels_;
  std::vector<double> counted_;
  bool is_in_need_ = false;
  double named_at_ = -1;
  int running_ = 0;
};

std::string RequestId() {
  static uint64_t n = static_cast<uint64_t>(UnixMs()) << 20;
  char text[20];
  snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(++n));
  return text;
}

class Play {
 public:
  Play(const std::string& folder, const std::string& record, bool is_trouble) : record_(record), is_trouble_(is_trouble) {
    net_ = "127." + std::to_string(64 + getpid() % 128) + "." + std::to_string(getpid() / 128 % 250) + ".";
    store_ = std::make_unique<Store>(&loop_, net_ + "1");
    json zones = {{"muc-a", "muenchen"}};
    for (size_t i = 0; i < kWorkers; ++i) {
      workers_.push_back(std::make_unique<Worker>(&loop_, net_ + std::to_string(100 + i), i, &sheet_));
      store_->Put("servers/" + workers_[i]->id(),
                  WorkerEntry("basil-serve", workers_[i]->address(), "muc-a", 64, UnixMs()));
    }
    for (int i = 0; i < kMachines; ++i) {
      gateways_.push_back(std::make_unique<Gateway>("edge-muc-a-" + std::to_string(i + 1), net_ + std::to_string(10 + i),
                                                    "muc-a", "muenchen", zones, store_->address(), folder, kMemoryMb));
    }
    store_->Put("op/config",
                DesiredState(7, json::array({RouteRow("/report/", "streaming", "basil-serve", 12000, 1200, 2, true)})).dump());
  }

  int Run() {
    for (auto& it : gateways_) it->Start();
    loop_.RunFor(4);
    SendNext();
    loop_.RunFor(2);
    if (is_trouble_) {
      for (size_t i = 0; i < kInNeed; ++i) workers_[i]->NameLimit();
    }
    size_t with_short = PlayPhase("short prompts", kShortParts);
    size_t with_long = PlayPhase("long prompts", kLongParts);
    int status = 0;
    for (auto& it : gateways_) {
      if (it->HasEnded(&status)) {
        record_ << "a gateway ended by itself\n";
        return 2;
      }
    }
    if (answers_["200, whole"] < kRequestsPerSecond * kPhaseSeconds) {
      record_ << "too few requests were served: the case could not run\n";
      return 2;
    }
    if (with_short > kAllowed) {
      record_ << "the limit was passed with short prompts too: the case could not run\n";
      return 2;
    }
    bool is_broken = with_long > kAllowed;
    record_ << (is_broken ? "BROKEN: a worker got more than its limit allows\n" : "held\n");
    return is_broken ? 1 : 0;
  }

 private:
  // Returns the most requests that a worker in need got in a window.
  size_t PlayPhase(const char* what, int parts) {
    parts_ = parts;
    double began = Now();
    loop_.RunFor(kPhaseSeconds);
    size_t most = 0;
    record_ << what << " of " << parts << " parts and one more: most arrivals in 4 s at the workers in need:";
    for (size_t i = 0; i < kInNeed; ++i) {
      size_t n = workers_[i]->Most(began, Now());
      record_ << " " << n;
      most = std::max(most, n);
    }
    record_ << (is_trouble_ ? "; allowed: " + std::to_string(kAllowed) : "; no worker names a limit") << "\n  answers so far:";
    for (const auto& [answer, n] : answers_) record_ << " " << answer << ": " << n << ";";
    record_ << " runs at the workers:";
    for (const auto& it : workers_) record_ << " " << it->runs;
    record_ << "\n";
    return most;
  }
  void SendNext() {
    loop_.After(1 / kRequestsPerSecond, [this] { SendNext(); });
    size_t machine = turn_++ % kMachines;
    auto connection = Connection::Connect(&loop_, gateways_[machine]->ip(), gateways_[machine]->front());
    clients_.insert(connection);
    std::string id = RequestId();
    sheet_.requests[id] = {machine, 0};
    std::weak_ptr<Connection> weak = connection;
    auto end = [this, weak, id](const std::string& how) {
      auto self = weak.lock();
      if (!self || clients_.erase(self) == 0) return;
      ++answers_[how];
      self->Close();
      sheet_.requests.erase(id);
    };
    connection->on_read = [this, weak, end, id] {
      auto self = weak.lock();
      if (!self || self->in.size() < 12) return;
      std::string status = self->in.substr(9, 3);
      if (status != "200") return end(status);
      const Request& request = sheet_.requests[id];
      if (workers_[request.worker]->has_named_limit()) {
        sheet_.passed_on.try_emplace({request.machine, request.worker}, Now());
      }
      if (self->in.compare(self->in.size() - 5, 5, "0\r\n\r\n") == 0) end("200, whole");
    };
    connection->on_end = [end] { end("cut"); };
    std::string parts;
    for (int i = 0; i < parts_; ++i) {
      char text[24];
      snprintf(text, sizeof(text), "%llx:1,", static_cast<unsigned long long>(++part_));
      parts += text;
    }
    connection->Write("POST /report/1 HTTP/1.1\r\nHost: bars.example\r\nX-Request-Id: " + id +
                      "\r\nX-Deadline-Ms: 12000\r\nX-Model: m\r\nX-Token-Usage: " + std::to_string(100 + parts_) +
                      ",80\r\nX-Prompt-Prefix: " + parts + RequestId() + ":100\r\nContent-Length: 5\r\n\r\nhello");
    loop_.After(12.0, [end] { end("time limit"); });
  }

  std::ofstream record_;
  bool is_trouble_;
  int parts_ = kShortParts;
  size_t turn_ = 0;
  uint64_t part_ = 0x500000000;
  std::string net_;
  Loop loop_;
  Sheet sheet_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::set<Connection::Ptr> clients_;
  std::map<std::string, int> answers_;
};

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 4) return 2;
  Play play(argv[1], argv[2], std::string(argv[3]) != "0");
  return play.Run();
}
