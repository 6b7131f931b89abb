#include "BasilvalveProcessSoak/worker.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <thread>

namespace basilvalve::process_soak {
namespace {

constexpr int64_t kIdleTimeoutMs = 20'000;
constexpr int64_t kStepMs = 10;
constexpr int64_t kEventIntervalMs = 25;
constexpr int kQueue = 24;
constexpr int kCounterSlots = 6;
constexpr int kModelSlots = 64;
constexpr int64_t kCounterWorkMs = 60;
constexpr int64_t kModelWorkMs = 20;
constexpr int kTokensPerEvent = 8;
constexpr int64_t kSilenceMs = 3000;
constexpr int64_t kLateMs = 30;
constexpr int kExpiryMs = 3600;

constexpr std::array<const char*, static_cast<size_t>(Fault::kCount)>
    kFaultNames = {"shed",
                   "shed-pause",
                   "shed-early",
                   "refusal-copy",
                   "answer-copy",
                   "foreign-refusal",
                   "garble",
                   "lose-answer",
                   "silence",
                   "failure",
                   "bare-refusal",
                   "shed-without-id",
                   "stray-without-id"};

std::string Sized(const std::string& head, const std::string& body) {
  return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

const char* FaultName(Fault fault) {
  return kFaultNames[static_cast<size_t>(fault)];
}

Worker::Worker(std::string name, std::string zone, std::string service,
               StoreStandIn* store, Ledger* ledger, GatewayFleet* fleet,
               uint64_t seed)
    : name_(std::move(name)),
      zone_(std::move(zone)),
      store_(store),
      ledger_(ledger),
      fleet_(fleet),
      random_(seed) {
  entry_.service = std::move(service);
  entry_.zone = zone_;
  entry_.born_ms = UnixMs();
  entry_.id = NewId();
}

bool Worker::Start() {
  if (!Listen()) {
    return false;
  }
  proxy_ = std::make_unique<Proxy>("127.0.0.1", port_, Random());
  if (!proxy_->Start("127.0.0.1", 0)) {
    return false;
  }
  entry_.port = proxy_->port();
  Register();
  return true;
}

bool Worker::Listen() {
  bool is_listening = listener_.Start("127.0.0.1", port_, [this](Channel& c) {
    {
      std::lock_guard lock(mutex_);
      channels_.insert(&c);
    }
    Serve(c);
    std::lock_guard lock(mutex_);
    channels_.erase(&c);
  });
  port_ = listener_.port();
  return is_listening;
}

void Worker::Register() {
  if (!is_up_ || NowMs() < paused_until_ms_) {
    return;
  }
  std::string key;
  std::string text;
  {
    std::lock_guard lock(mutex_);
    ++entry_.sequence;
    entry_.slots = entry_.service == "model" ? kModelSlots : kCounterSlots;
    key = UpstreamKey(entry_.id);
    text = UpstreamText(entry_);
  }
  store_->Put(key, text);
}

void Worker::SetFault(Fault fault, double share) {
  shares_[static_cast<size_t>(fault)] = share;
}

void Worker::Pause(int64_t ms) {
  paused_until_ms_ = NowMs() + ms;
  ledger_->OnDisturbed(name_, NowMs() + ms);
}

void Worker::Crash(int64_t down_ms, bool changes_service) {
  if (!is_up_.exchange(false)) {
    return;
  }
  ledger_->OnDisturbed(name_, NowMs() + down_ms);
  listener_.Stop();
  std::string old_key;
  {
    std::lock_guard lock(mutex_);
    for (Channel* channel : channels_) {
      channel->Reset();
    }
    old_key = UpstreamKey(entry_.id);
  }
  std::thread([this, down_ms, changes_service, old_key] {
    std::thread([this, old_key] {
      SleepMs(kExpiryMs);
      store_->Remove(old_key);
    }).detach();
    SleepMs(down_ms);
    ComeBack(changes_service);
  }).detach();
}

void Worker::ComeBack(bool changes_service) {
  {
    std::lock_guard lock(mutex_);
    entry_.sequence = 0;
    entry_.is_draining = false;
    entry_.born_ms = UnixMs();
    if (changes_service) {
      entry_.service = entry_.service == "model" ? "counter" : "model";
    }
  }
  std::string fresh = NewId();
  {
    std::lock_guard lock(mutex_);
    entry_.id = fresh;
  }
  if (!Listen()) {
    ledger_->Line("%s cannot listen again", name_.c_str());
    return;
  }
  ledger_->Line("%s is back as %s for %s", name_.c_str(), fresh.c_str(),
                service().c_str());
  is_up_ = true;
  Register();
}

void Worker::Drain(int64_t drain_ms, int64_t down_ms) {
  {
    std::lock_guard lock(mutex_);
    entry_.is_draining = true;
  }
  Register();
  std::thread([this, drain_ms, down_ms] {
    SleepMs(drain_ms);
    Crash(down_ms, false);
  }).detach();
}

std::string Worker::Sender(const Channel& channel) {
  sockaddr_in at{};
  socklen_t size = sizeof(at);
  getpeername(channel.fd(), reinterpret_cast<sockaddr*>(&at), &size);
  return fleet_->OwnerOf(proxy_->CallerPort(ntohs(at.sin_port)),
                         proxy_->port());
}

uint64_t Worker::Random() {
  std::lock_guard lock(mutex_);
  return random_();
}

bool Worker::Draws(Fault fault) {
  double share = shares_[static_cast<size_t>(fault)];
  return share > 0 && static_cast<double>(Random() % 10'000) < share * 10'000;
}

std::string Worker::NewId() {
  char text[24];
  snprintf(text, sizeof(text), "i-%016llx",
           static_cast<unsigned long long>(Random()));
  return text;
}

std::string Worker::id() {
  std::lock_guard lock(mutex_);
  return entry_.id;
}

std::string Worker::service() {
  std::lock_guard lock(mutex_);
  return entry_.service;
}

void Worker::WaitWhilePaused() {
  while (NowMs() < paused_until_ms_) {
    SleepMs(kStepMs);
  }
}

bool Worker::Work(Channel& channel, int64_t ms) {
  int64_t until = NowMs() + ms;
  do {
    WaitWhilePaused();
    if (channel.IsClosed()) {
      return false;
    }
    SleepMs(std::min(kStepMs, until - NowMs()));
  } while (NowMs() < until);
  return !channel.IsClosed();
}

bool Worker::Enter(Channel& channel, int64_t until_ms) {
  std::unique_lock lock(mutex_);
  int slots = entry_.slots;
  if (running_ >= slots && waiting_ >= kQueue) {
    return false;
  }
  ++waiting_;
  while (running_ >= slots && NowMs() < until_ms && !channel.IsClosed()) {
    free_.wait_for(lock, std::chrono::milliseconds(kStepMs));
  }
  --waiting_;
  bool is_free = running_ < slots && NowMs() < until_ms;
  running_ += is_free ? 1 : 0;
  return is_free;
}

void Worker::Leave() {
  std::lock_guard lock(mutex_);
  --running_;
  free_.notify_one();
}

std::string Worker::Refusal(const std::string& request_id, int status,
                            bool says_not_run, double retry_after_s) {
  AnswerWords words{status, request_id, "", false, says_not_run, retry_after_s};
  return Sized(AnswerHead(words), "");
}

void Worker::Serve(Channel& channel) {
  std::string sender = "?";
  std::string last_id;
  std::string late;
  std::set<std::string> carried;
  // The call whose refusal is in `late`.
  std::string last_refused;
  for (;;) {
    HttpMessage request;
    bool is_early = false;
    auto on_head = [&](const HttpMessage& head) {
      WaitWhilePaused();
      is_early =
          !head.Field(kRequestIdField).empty() && Draws(Fault::kShedEarly) &&
          channel.Write(Refusal(head.Field(kRequestIdField), 503, true, 0));
    };
    if (channel.Read(&request, NowMs() + kIdleTimeoutMs, false, on_head) !=
        ReadStatus::kDone) {
      return;
    }
    WaitWhilePaused();
    std::string request_id = request.Field(kRequestIdField);
    if (!request_id.empty() && !carried.insert(request_id).second) {
      ledger_->Count("calls_again_on_connection");
      ledger_->Line("%s gets %s again on one connection", name_.c_str(),
                    request_id.c_str());
    }
    if (!late.empty()) {
      if (last_refused == request_id) {
        ledger_->Count("copies_before_call_again");
      }
      if (!channel.Write(late)) {
        return;
      }
    }
    late.clear();
    last_refused.clear();
    if (is_early) {
      ledger_->Line("%s sheds %s early", name_.c_str(), request_id.c_str());
      continue;
    }
    std::string expected = request.Field(kExpectField);
    if (request_id.empty()) {
      AnswerWords words{200, "", id()};
      if (!channel.Write(Sized(AnswerHead(words), ""))) {
        return;
      }
      continue;
    }
    if (!expected.empty() && expected != id()) {
      ledger_->Line("%s is not %s: %s", name_.c_str(), expected.c_str(),
                    request_id.c_str());
      ledger_->Count("answers_421");
      std::string refusal = Refusal(request_id, 421, false, 0);
      if (Draws(Fault::kRefusalCopy)) {
        ledger_->Count("refusal_copies");
        late += refusal;
        last_refused = request_id;
      }
      if (!channel.Write(refusal)) {
        return;
      }
      continue;
    }
    if (sender == "?") {
      sender = Sender(channel);
      ledger_->Count(sender.empty() ? "senders_unknown" : "senders_known");
    }
    int64_t until =
        NowMs() + strtoll(request.Field(kDeadlineField).c_str(), nullptr, 10);
    const bool is_plain_shed = Draws(Fault::kShed);
    const bool is_pause = Draws(Fault::kShedWithPause);
    const bool is_anonymous = Draws(Fault::kShedWithoutId);
    if (is_plain_shed || is_pause || is_anonymous || !Enter(channel, until)) {
      ledger_->Line("%s sheds %s", name_.c_str(), request_id.c_str());
      ledger_->Count("sheds");
      std::string refusal = Refusal(is_anonymous ? "" : request_id, 503, true,
                                    is_pause ? 0.5 : 0);
      if (Draws(Fault::kRefusalCopy)) {
        ledger_->Count("refusal_copies");
        bool is_late = Random() % 2 == 0;
        (is_late ? late : refusal) += refusal;
        last_refused = is_late ? request_id : "";
      }
      last_id = request_id;
      if (!channel.Write(refusal)) {
        return;
      }
      continue;
    }
    if (channel.IsClosed()) {
      Leave();
      ledger_->Line("%s drops %s", name_.c_str(), request_id.c_str());
      return;
    }
    size_t run = ledger_->OnRunBegan(request_id, name_, sender);
    bool goes_on = Run(channel, request, &late);
    ledger_->OnRunEnded(request_id, run);
    Leave();
    if (!goes_on) {
      return;
    }
    std::string stray;
    if (Draws(Fault::kForeignRefusal)) {
      stray = Refusal(last_id.empty() ? request_id : last_id, 503, true, 0);
    } else if (Draws(Fault::kStrayWithoutId)) {
      stray = Refusal("", 503, true, 0);
    }
    last_id = request_id;
    if (!stray.empty()) {
      ledger_->Count("strays");
      ledger_->Line("%s sends more after %s", name_.c_str(),
                    request_id.c_str());
      if (Random() % 2 == 0) {
        late += stray;
      } else {
        SleepMs(static_cast<int64_t>(Random() % kLateMs));
        if (!channel.Write(stray)) {
          return;
        }
      }
    }
  }
}

bool Worker::Run(Channel& channel, const HttpMessage& request,
                 std::string* late) {
  std::string request_id = request.Field(kRequestIdField);
  if (!Work(channel, service() == "model" ? kModelWorkMs : kCounterWorkMs)) {
    return false;
  }
  if (Draws(Fault::kSilence)) {
    ledger_->Line("%s is silent on %s", name_.c_str(), request_id.c_str());
    ledger_->Count("silences");
    if (!Work(channel, static_cast<int64_t>(Random() % kSilenceMs))) {
      return false;
    }
  }
  if (Draws(Fault::kLoseAnswer)) {
    ledger_->Line("%s loses the answer of %s", name_.c_str(),
                  request_id.c_str());
    ledger_->Count("answers_lost");
    if (Random() % 2 == 0) {
      channel.Reset();
    }
    return false;
  }
  if (Draws(Fault::kGarble)) {
    return Garble(channel, request_id);
  }
  if (Draws(Fault::kFailure)) {
    AnswerWords words{Random() % 2 == 0 ? 500 : 504, request_id, id(), true};
    return channel.Write(Sized(AnswerHead(words), "failed"));
  }
  if (Draws(Fault::kBareRefusal)) {
    constexpr int kStatuses[] = {503, 429, 408};
    ledger_->Line("%s refuses %s after its run", name_.c_str(),
                  request_id.c_str());
    ledger_->Count("bare_refusals");
    AnswerWords words{kStatuses[Random() % 3], request_id, id(),
                      Random() % 2 == 0};
    return channel.Write(Sized(AnswerHead(words), "refused"));
  }
  return request.fields.contains(kTokensField) ? Stream(channel, request)
                                               : Answer(channel, request, late);
}

bool Worker::Answer(Channel& channel, const HttpMessage& request,
                    std::string* late) {
  AnswerWords words{200, request.Field(kRequestIdField), id(), true};
  std::string answer = Sized(AnswerHead(words), std::string(800, 'x'));
  if (Draws(Fault::kAnswerCopy)) {
    ledger_->Count("answer_copies");
    (Random() % 2 == 0 ? *late : answer) += answer;
  }
  return channel.Write(answer);
}

bool Worker::Garble(Channel& channel, const std::string& request_id) {
  uint64_t variant = Random() % 6;
  ledger_->Line("%s garbles %s, variant %d", name_.c_str(), request_id.c_str(),
                static_cast<int>(variant));
  ledger_->Count("garbled");
  AnswerWords words{200, request_id, id(), true};
  std::string answer = Sized(AnswerHead(words), std::string(800, 'x'));
  switch (variant) {
    case 0:
      channel.Write(answer.substr(0, Random() % 60));
      return false;
    case 1:
      channel.Write(answer.substr(0, answer.size() - 100));
      return false;
    case 2:
      channel.Write(answer.substr(0, answer.size() - 100));
      channel.Reset();
      return false;
    case 3:
      channel.Write(AnswerHead(words) + "\r\n" + std::string(300, 'x'));
      return false;
    case 4:
      channel.Write(std::string(200, '#'));
      return Random() % 2 == 0;
    default:
      channel.Write(Refusal("i" + request_id, 503, true, 0) + answer);
      return true;
  }
}

bool Worker::Stream(Channel& channel, const HttpMessage& request) {
  std::string tokens = request.Field(kTokensField);
  int64_t events =
      strtoll(tokens.substr(tokens.find(',') + 1).c_str(), nullptr, 10) /
      kTokensPerEvent;
  int64_t first =
      strtoll(request.Field(kLastEventField).c_str(), nullptr, 10) + 1;
  AnswerWords words{200, request.Field(kRequestIdField), id(), true};
  if (!channel.Write(AnswerHead(words) +
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  for (int64_t i = first; i <= events; ++i) {
    std::string event =
        "id: " + std::to_string(i) + "\ndata: " + std::string(50, 'x') + "\n\n";
    char size[16];
    snprintf(size, sizeof(size), "%zx\r\n", event.size());
    if (!channel.Write(size + event + "\r\n") ||
        !Work(channel, kEventIntervalMs)) {
      return false;
    }
    if (Draws(Fault::kSilence) && Random() % 8 == 0) {
      ledger_->Count("silences");
      if (!Work(channel, static_cast<int64_t>(Random() % kSilenceMs))) {
        return false;
      }
    }
  }
  return channel.Write("0\r\n\r\n");
}

}  // namespace basilvalve::process_soak
