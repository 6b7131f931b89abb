#include "UnitTests/Core/Edge/not_run_play.h"

#include <array>
#include <catch2/catch.hpp>
#include <map>

#include "Core/Edge/hop_header.h"

namespace basilvalve::edge {
namespace {

using Connection = RawServer::Connection;
using Request = RawServer::Request;

constexpr Millis kTimeout{2000};
// Longer than everything a play does but silence.
constexpr Millis kSettleTime{20};
constexpr Millis kAnswerDelay{5};
// More than the sockets of the loopback interface hold.
constexpr size_t kLargeBody = size_t{3} * 1024 * 1024;
// More instances than send to upstreams directly.
constexpr int kLargeRegion = 40;

constexpr std::array kSaidNames = {
    "refusal",    "misdirected", "bare 503",        "bare 429",
    "bare 408",   "answer",      "unsigned answer", "cut answer",
    "garbage",    "end",         "reset",           "hop not-run",
    "hop unsent", "hop unknown", "leaving answer",  "pausing refusal"};
constexpr std::array kWhenNames = {
    "idle",     "taken",  "unwritten",    "accepted", "body",
    "awaiting", "middle", "same segment", "late",     "with reset"};
constexpr std::array kNamesNames = {"this", "other", "none"};
constexpr std::array kPaths = {"/once/", "/again/", "/stream/", "/single/"};
constexpr std::array kHopsNames = {"upstream", "region>upstream",
                                   "owner>upstream", "region>owner>upstream",
                                   "peer"};

template <typename Table, typename Value>
const char* NameOf(const Table& table, Value value) {
  return table.at(static_cast<size_t>(value));
}

std::string Event(int id, const std::string& call_id) {
  return "id: " + std::to_string(id) + "\ndata: " + call_id + "\n\n";
}

std::string Head(int status, const std::string& named, bool is_signed) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  if (!named.empty()) {
    head += "Call-Id: " + named + "\r\n";
  }
  return is_signed ? head + "Proof: p\r\n" : head;
}

std::string Sized(const std::string& head, const std::string& body) {
  return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// The start and the rest of an answer to the call.
std::pair<std::string, std::string> AnswerParts(
    bool is_stream, const std::string& head, const std::string& call_id,
    const std::string& resume_after) {
  std::string start = head + "Transfer-Encoding: chunked\r\n\r\n";
  std::string rest;
  if (!is_stream) {
    start += ScriptedUpstream::Chunk("done-");
    rest = ScriptedUpstream::Chunk(call_id);
  } else {
    if (resume_after.empty()) {
      start += ScriptedUpstream::Chunk(Event(1, call_id));
    }
    rest = ScriptedUpstream::Chunk(Event(2, call_id));
  }
  return {start, rest + "0\r\n\r\n"};
}

std::string Answer(bool is_stream, const std::string& head,
                   const std::string& call_id,
                   const std::string& resume_after) {
  if (!is_stream) {
    return Sized(head, "done-" + call_id);
  }
  auto [start, rest] = AnswerParts(is_stream, head, call_id, resume_after);
  return start + rest;
}

bool IsRefusal(Said said) {
  return said == Said::kRefusal || said == Said::kMisdirected ||
         said == Said::kPausingRefusal || said == Said::kHopNotRun ||
         said == Said::kHopUnsent;
}

// Whether nothing of the connection is left after it.
bool EndsConnection(Said said) {
  return said == Said::kCutAnswer || said == Said::kEnd ||
         said == Said::kReset || said == Said::kGarbage;
}

CallerView View(const std::string& text) {
  CallerView view;
  view.text = text;
  size_t end = view.text.find("\r\n\r\n");
  if (end == std::string::npos) {
    return view;
  }
  view.status = std::stoi(view.text.substr(view.text.find(' ') + 1));
  std::string head = view.text.substr(0, end + 2);
  size_t at = head.find("Content-Length: ");
  view.is_complete =
      at == std::string::npos
          ? view.text.ends_with("\r\n0\r\n\r\n")
          : view.text.size() >= end + 4 + std::stoul(head.substr(at + 16));
  return view;
}

class Play {
 public:
  explicit Play(const NotRunRow& row)
      : row_(row),
        fixture_(StartsAway() ? "south" : "north", net::TimeSource::kVirtual) {
    fixture_.ApplyDesiredState(1, kTimeout);
    Connect();
    first_.SetRequestHandler(
        [this](Connection* c, const Request& r) { OnFirst(c, r); });
    other_.SetRequestHandler(
        [this](Connection* c, const Request& r) { Serve(c, r); });
  }

  NotRunResult Run();

 private:
  bool StartsAway() const {
    return row_.hops == Hops::kRegionUpstream ||
           row_.hops == Hops::kRegionOwnerUpstream || row_.hops == Hops::kPeer;
  }
  // Only model calls are sent to owners.
  bool IsOwned() const {
    return row_.hops == Hops::kOwnerUpstream ||
           row_.hops == Hops::kRegionOwnerUpstream;
  }
  void Connect();
  bool HasTakenHops() const;
  void AddPeer(const RawServer& server, const std::string& region);
  // Makes the node one of a large region in which the owner owns everything.
  void MakeOwned(EdgeNode* node, const EdgeNode& owner);
  void AddOther();
  void Prepare();
  void OnFirstHead(Connection* connection);
  void OnFirst(Connection* connection, const Request& request);
  void Serve(Connection* connection, const Request& request);
  void Say(Connection* connection);
  std::string Words() const;
  // The head of a failure between instances, up to its outcome.
  std::string HopHead(int status) const;
  std::string NamedId() const;
  // Lets the server answer what it has got.
  void AnswerLater(Connection* connection, const std::string& bytes);
  void Send(const std::string& id, size_t body_size = 0);
  CallerView Await();
  void RunUntil(const std::function<bool()>& done, Millis limit);
  void Settle() {
    RunUntil([] { return false; }, kSettleTime);
  }
  Connection* IdleConnection();

  NotRunRow row_;
  EdgeFixture fixture_;
  RawServer first_;
  RawServer other_;
  std::vector<std::unique_ptr<EdgeNode>> nodes_;
  // The instance next to the scripted servers, and those that know them.
  EdgeNode* last_ = nullptr;
  std::vector<EdgeNode*> knowing_;
  // One connection as long as it stays open.
  std::unique_ptr<RawCaller> caller_;
  size_t response_at_ = 0;
  std::vector<std::unique_ptr<net::Timer>> timers_;
  std::function<void()> hook_;
  std::map<std::string, int> runs_;
  bool was_said_ = false;
  bool has_added_other_ = false;
};

void Play::Connect() {
  last_ = fixture_.node.get();
  if (row_.hops == Hops::kPeer) {
    AddPeer(first_, "north");
    return;
  }
  if (StartsAway()) {
    nodes_.push_back(fixture_.AddPeerInstance("far", "north"));
    last_ = nodes_.back().get();
  }
  knowing_.push_back(last_);
  if (IsOwned()) {
    EdgeSettings settings;
    settings.self.id = InstanceId("owner");
    settings.self.data_centre = flow::DataCentreId("zone");
    settings.self.region = RegionId("north");
    settings.public_address = settings.peer_address = {"127.0.0.1", 0};
    settings.retries = {0.2, 50, Seconds(10)};
    auto owner = EdgeNode::Create(&fixture_.loop, settings, &fixture_.dialect);
    REQUIRE(owner);
    MakeOwned(last_, **owner);
    nodes_.push_back(std::move(*owner));
    last_ = nodes_.back().get();
    knowing_.push_back(last_);
  }
  for (EdgeNode* it : knowing_) {
    it->registry().Upsert(first_.Record("u1"), fixture_.loop.Now());
  }
}

void Play::AddPeer(const RawServer& server, const std::string& region) {
  flow::Heartbeat heartbeat;
  heartbeat.from.id = InstanceId("peer-" + region);
  heartbeat.from.data_centre = flow::DataCentreId("zone");
  heartbeat.from.region = RegionId(region);
  heartbeat.from.peer_address = "127.0.0.1:" + std::to_string(server.port());
  heartbeat.from.incarnation = heartbeat.sequence = 1;
  heartbeat.service_capacities[ServiceName("service")] = {1, Micros(0), 50, 0,
                                                          0};
  fixture_.node->fleet().OnHeartbeat(heartbeat, fixture_.loop.Now());
}

void Play::MakeOwned(EdgeNode* node, const EdgeNode& owner) {
  std::vector<flow::InstanceRecord> members;
  for (int i = 0; i < kLargeRegion; ++i) {
    flow::InstanceRecord record;
    record.id = InstanceId("other-" + std::to_string(i));
    record.data_centre = flow::DataCentreId("zone");
    record.region = RegionId("north");
    record.peer_address = owner.peer_endpoint().Text();
    record.incarnation = 1;
    members.push_back(record);
  }
  node->fleet().ReplaceAll(members, fixture_.loop.Now());
  node->UpdateDispatchers();
}

bool Play::HasTakenHops() const {
  auto has_sent = [](EdgeNode* node, const char* where) {
    return node->metrics().Text().find("sends_total{where=\"" +
                                       std::string(where) + "\"}") !=
           std::string::npos;
  };
  EdgeNode* forwarder = StartsAway() && row_.hops != Hops::kPeer
                            ? nodes_.front().get()
                            : fixture_.node.get();
  return (!StartsAway() || has_sent(fixture_.node.get(), "away")) &&
         (!IsOwned() || has_sent(forwarder, "owner")) &&
         (row_.hops == Hops::kPeer || has_sent(last_, "here"));
}

void Play::AddOther() {
  if (!row_.has_other || std::exchange(has_added_other_, true)) {
    return;
  }
  if (row_.hops == Hops::kPeer) {
    AddPeer(other_, "east");
  }
  for (EdgeNode* it : knowing_) {
    it->registry().Upsert(other_.Record("u2"), fixture_.loop.Now());
  }
}

std::string Play::NamedId() const {
  switch (row_.names) {
    case Names::kThis:
      return "r1";
    case Names::kOther:
      return "stranger";
    case Names::kNone:
      break;
  }
  return "";
}

std::string Play::HopHead(int status) const {
  const std::string id = NamedId();
  // An upstream that forges the failure of an instance echoes the id as usual.
  std::string head = Head(status, row_.hops == Hops::kPeer ? "" : id, false);
  if (!id.empty()) {
    head += std::string(kHopCallHeader) + ": " + id + "\r\n";
  }
  return head + std::string(kHopOutcomeHeader) + ": ";
}

std::string Play::Words() const {
  const std::string id = NamedId();
  const std::string text = row_.names == Names::kThis ? "r1" : "stranger";
  switch (row_.said) {
    case Said::kRefusal:
      return Sized(Head(503, id, false) + "Not-Run: 1\r\n", "");
    case Said::kPausingRefusal:
      return Sized(Head(503, id, false) + "Not-Run: 1\r\nPause-Ms: 3000\r\n",
                   "");
    case Said::kMisdirected:
      return Sized(Head(421, id, false), "");
    case Said::kBare503:
      return Sized(Head(503, id, true), "");
    case Said::kBare429:
      return Sized(Head(429, id, true), "");
    case Said::kBare408:
      return Sized(Head(408, id, true), "");
    case Said::kAnswer:
      return Answer(row_.IsStream(), Head(200, id, true), text, "");
    case Said::kLeavingAnswer:
      return Answer(row_.IsStream(), Head(200, id, true) + "Leaving: 1\r\n",
                    text, "");
    case Said::kUnsignedAnswer:
      return Answer(row_.IsStream(), Head(200, id, false), text, "");
    case Said::kCutAnswer:
      return AnswerParts(row_.IsStream(), Head(200, id, true), text, "").first;
    case Said::kGarbage:
      return "no protocol at all\r\n\r\n";
    case Said::kHopNotRun:
      return Sized(HopHead(503) + "not-run\r\n", "");
    case Said::kHopUnsent:
      return Sized(HopHead(503) + "not-run\r\n" +
                       std::string(kHopUnsentHeader) + ": 1\r\n",
                   "");
    case Said::kHopUnknown:
      return Sized(HopHead(502) + "unknown\r\n", "");
    case Said::kEnd:
    case Said::kReset:
      break;
  }
  return "";
}

void Play::Say(Connection* connection) {
  was_said_ = true;
  AddOther();
  RawServer::Send(connection, Words());
  bool is_in_order = row_.when == When::kBody || row_.when == When::kAwaiting ||
                     row_.when == When::kWithReset;
  if (!Words().empty() && !(is_in_order && row_.names == Names::kThis)) {
    connection->has_stray_bytes = true;
  }
  if (row_.said == Said::kEnd || row_.said == Said::kCutAnswer) {
    RawServer::End(connection);
  }
  if (row_.said == Said::kReset || row_.when == When::kWithReset) {
    RawServer::Reset(connection);
  }
}

void Play::AnswerLater(Connection* connection, const std::string& bytes) {
  timers_.push_back(std::make_unique<net::Timer>(&fixture_.loop));
  timers_.back()->Set(kAnswerDelay, [connection, bytes] {
    connection->is_reading = true;
    RawServer::Send(connection, bytes);
  });
}

void Play::Serve(Connection* connection, const Request& request) {
  ++runs_[request.call_id];
  RawServer::Send(connection,
                  Answer(row_.IsStream(), Head(200, request.call_id, true),
                         request.call_id, request.resume_after));
}

void Play::OnFirstHead(Connection* connection) {
  connection->is_reading = false;
  if (row_.names == Names::kThis && !IsRefusal(row_.said) &&
      !EndsConnection(row_.said)) {
    ++runs_["r1"];
  }
  Say(connection);
  AnswerLater(connection, "");
}

void Play::OnFirst(Connection* connection, const Request& request) {
  bool is_this = row_.names == Names::kThis;
  if (request.call_id != "r1") {
    Serve(connection, request);
    return;
  }
  if (was_said_ && row_.when == When::kBody) {
    // The rest of a body that it has answered already.
    bool is_answered = is_this && !EndsConnection(row_.said);
    if (!is_answered) {
      Serve(connection, request);
    }
    return;
  }
  if (was_said_) {
    Serve(connection, request);
    return;
  }
  auto [start, rest] =
      AnswerParts(row_.IsStream(), Head(200, "r1", true), "r1", "");
  switch (row_.when) {
    case When::kAwaiting:
    case When::kWithReset:
      if (!(is_this && IsRefusal(row_.said))) {
        ++runs_["r1"];
      }
      Say(connection);
      if (!is_this) {
        AnswerLater(connection, start + rest);
      }
      return;
    case When::kMiddle:
      ++runs_["r1"];
      RawServer::Send(connection, start);
      timers_.push_back(std::make_unique<net::Timer>(&fixture_.loop));
      timers_.back()->Set(kAnswerDelay, [this, connection, rest = rest] {
        Say(connection);
        if (!EndsConnection(row_.said)) {
          AnswerLater(connection, rest);
        }
      });
      return;
    case When::kSameSegment: {
      ++runs_["r1"];
      was_said_ = true;
      std::string words = Words();
      connection->has_stray_bytes = !words.empty();
      RawServer::Send(connection, start + rest + words);
      if (row_.said == Said::kEnd) {
        RawServer::End(connection);
      } else if (row_.said == Said::kReset) {
        RawServer::Reset(connection);
      }
      return;
    }
    default:
      Serve(connection, request);
      return;
  }
}

void Play::RunUntil(const std::function<bool()>& done, Millis limit) {
  fixture_.loop.RunUntil(
      [&] {
        first_.Poll();
        other_.Poll();
        if (hook_) {
          hook_();
        }
        return done();
      },
      limit);
}

void Play::Send(const std::string& id, size_t body_size) {
  if (caller_ == nullptr || caller_->closed()) {
    caller_ = std::make_unique<RawCaller>(&fixture_.loop,
                                          fixture_.node->public_endpoint());
  }
  response_at_ = caller_->text().size();
  caller_->Send(EdgeFixture::Request(NameOf(kPaths, row_.route), id,
                                     std::string(body_size, 'x'),
                                     IsOwned() ? "Tokens: 500\r\n" : ""));
}

CallerView Play::Await() {
  auto view = [this] { return View(caller_->text().substr(response_at_)); };
  RunUntil([&] { return caller_->closed() || view().is_complete; },
           2 * kTimeout);
  return view();
}

Connection* Play::IdleConnection() {
  for (const auto& it : first_.connections()) {
    if (it->fd >= 0 && !it->is_ended) {
      return it.get();
    }
  }
  return nullptr;
}

void Play::Prepare() {
  switch (row_.when) {
    case When::kIdle:
    case When::kTaken:
    case When::kUnwritten: {
      Send("w0");
      REQUIRE(Await().status == 200);
      Settle();
      REQUIRE(IdleConnection() != nullptr);
      break;
    }
    case When::kAccepted:
      first_.SetAcceptHandler([this](Connection* it) {
        if (!was_said_) {
          Say(it);
        }
      });
      break;
    case When::kBody:
      first_.SetHeadHandler([this](Connection* it, const Request& request) {
        if (!was_said_ && request.call_id == "r1") {
          OnFirstHead(it);
        }
      });
      break;
    default:
      break;
  }
  if (row_.when == When::kUnwritten) {
    hook_ = [this] {
      if (!was_said_ && last_->calls_in_flight() > 0) {
        Say(IdleConnection());
      }
    };
  }
}

NotRunResult Play::Run() {
  Prepare();
  if (row_.when == When::kIdle) {
    Say(IdleConnection());
  }
  Send("r1", row_.when == When::kBody ? kLargeBody : 0);
  if (row_.when == When::kTaken) {
    Say(IdleConnection());
  }
  NotRunResult result;
  result.first = Await();
  Settle();
  if (row_.when == When::kLate && IdleConnection() != nullptr) {
    Say(IdleConnection());
    Settle();
  }
  if (row_.hops != Hops::kPeer) {
    const auto& notice = *last_->registry().Find(UpstreamId("u1"))->notice;
    result.is_leaving = notice.IsLeaving();
    result.is_paused = notice.IsPaused(fixture_.loop.Now());
  }
  AddOther();
  Send("r2");
  result.second = Await();
  // What was held back until now runs.
  first_.Poll();
  other_.Poll();
  result.was_said = was_said_;
  result.has_taken_hops = HasTakenHops();
  result.runs = runs_["r1"];
  result.second_runs = runs_["r2"];
  for (const auto& it : first_.connections()) {
    result.is_connection_misused |= it->is_used_after_stray;
  }
  return result;
}

}  // namespace

std::string NotRunRow::Text() const {
  return std::string(NameOf(kSaidNames, said)) + ", " +
         NameOf(kWhenNames, when) + ", names " + NameOf(kNamesNames, names) +
         ", " + NameOf(kPaths, route) + ", " + NameOf(kHopsNames, hops) +
         (has_other ? ", another upstream" : ", no other");
}

NotRunResult PlayNotRun(const NotRunRow& row) { return Play(row).Run(); }

}  // namespace basilvalve::edge
