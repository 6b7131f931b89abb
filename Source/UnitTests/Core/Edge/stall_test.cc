// Calls of an instance that does not run for a while, so that socket events and
// timers become due together.
#include <catch2/catch.hpp>

#include "UnitTests/Core/Edge/edge_fixture.h"
#include "UnitTests/Core/Edge/raw_server.h"

namespace basilvalve::edge {
namespace {

using Connection = RawServer::Connection;

// What becomes due while the instance does not run.
enum class Due {
  kConnectedAndTimeout,
  kAnswerAndDeadline,
  kAnswerAndSilenceLimit,
  kAnswerAndDisconnect,
  kDisconnectAndAnswer,
};

struct StallRow {
  const char* name;
  Due due;
  Millis timeout;
  Millis stall;
  /// The path of a row that takes long.
  const char* path;
  bool is_everywhere;
};

// The connect timeout is 1 s, the silence limit of these calls 600 ms or 650.
const std::vector<StallRow> kRows = {
    {"connected, connect timeout", Due::kConnectedAndTimeout, Millis(1500),
     Millis(1010), "/once/", false},
    {"connected, connect timeout", Due::kConnectedAndTimeout, Millis(1500),
     Millis(1010), "/again/", false},
    {"connected, connect timeout and deadline", Due::kConnectedAndTimeout,
     Millis(900), Millis(1010), "/once/", false},
    {"answer, silence limit", Due::kAnswerAndSilenceLimit, Millis(1500),
     Millis(660), "/again/", false},
    {"answer, silence limit", Due::kAnswerAndSilenceLimit, Millis(1500),
     Millis(660), "/stream/", false},
    {"answer, deadline", Due::kAnswerAndDeadline, Millis(300), Millis(310),
     nullptr, true},
    {"answer, disconnect", Due::kAnswerAndDisconnect, Millis(1500), Millis(0),
     nullptr, true},
    {"disconnect, answer", Due::kDisconnectAndAnswer, Millis(1500), Millis(0),
     nullptr, true}};

// An instance on real time with two servers that run whatever they get.
class Stalled {
 public:
  Stalled(const StallRow& row, const std::string& path, bool is_far)
      : row_(row),
        is_stream_(path == "/stream/" || path == "/single/"),
        fixture_(is_far ? "south" : "north") {
    fixture_.ApplyDesiredState(1, row.timeout);
    for (RawServer* it : {&first_, &other_}) {
      it->SetRequestHandler(
          [this](Connection* connection, const RawServer::Request& request) {
            ++runs_;
            held_ = connection;
            if (runs_ > 1) {
              Answer(request.call_id, request.resume_after);
            }
          });
    }
    if (is_far) {
      far_ = fixture_.AddPeerInstance("far", "north");
    }
    sender_ = is_far ? far_.get() : fixture_.node.get();
    sender_->registry().Upsert(first_.Record("u1"), fixture_.loop.Now());
    caller_ = fixture_.Call("");
    RunUntil([] { return false; }, Millis(10));
    caller_->Send(EdgeFixture::Request(path, "r1"));
  }

  void Play() {
    if (row_.due == Due::kConnectedAndTimeout) {
      // The loop stops right behind the attempt to connect.
      REQUIRE(fixture_.loop.RunUntil(
          [&] { return sender_->calls_in_flight() == 1; }, Millis(1000)));
      AddOther();
    } else {
      REQUIRE(RunUntil([&] { return held_ != nullptr; }, Millis(1000)));
      AddOther();
      if (row_.due == Due::kDisconnectAndAnswer) {
        caller_->Close();
      }
      Answer("r1", "");
      if (row_.due == Due::kAnswerAndDisconnect) {
        caller_->Close();
      }
    }
    Instant until = fixture_.loop.Now() + row_.stall;
    while (fixture_.loop.Now() < until) {
    }
    RunUntil([&] { return IsEnded(); }, Millis(2000));
    // What was held back runs now.
    RunUntil([] { return false; }, Millis(20));
  }

  int runs() const { return runs_; }
  const std::string& text() const { return caller_->text(); }
  // Calls that the instance of the caller has counted as ended.
  std::string CountedCalls() {
    std::string metrics = fixture_.node->metrics().Text();
    std::string counted;
    const std::string name = "basilvalve_edge_calls_total{";
    for (size_t at = metrics.find("\n" + name); at != std::string::npos;
         at = metrics.find("\n" + name, at + 1)) {
      counted += metrics.substr(at + 1, metrics.find('\n', at + 1) - at);
    }
    return counted;
  }

 private:
  bool IsEnded() const {
    return sender_->calls_in_flight() == 0 &&
           fixture_.node->calls_in_flight() == 0;
  }
  void AddOther() {
    sender_->registry().Upsert(other_.Record("u2"), fixture_.loop.Now());
  }
  void Answer(const std::string& id, const std::string& resume_after) {
    std::string head = "HTTP/1.1 200 OK\r\nCall-Id: " + id + "\r\nProof: p\r\n";
    if (!is_stream_) {
      RawServer::Send(held_, head + "Content-Length: 4\r\n\r\ndone");
      return;
    }
    head += "Transfer-Encoding: chunked\r\n\r\n";
    if (resume_after.empty()) {
      head += ScriptedUpstream::Chunk("id: 1\ndata: x\n\n");
    }
    RawServer::Send(
        held_,
        head + ScriptedUpstream::Chunk("id: 2\ndata: done\n\n") + "0\r\n\r\n");
  }
  bool RunUntil(const std::function<bool()>& done, Millis limit) {
    // Wakes the loop, so that the servers get what was sent to them.
    net::Timer timer(&fixture_.loop);
    std::function<void()> tick = [&] { timer.Set(Millis(1), tick); };
    tick();
    return fixture_.loop.RunUntil(
        [&] {
          first_.Poll();
          other_.Poll();
          return done();
        },
        limit);
  }

  StallRow row_;
  bool is_stream_;
  EdgeFixture fixture_;
  RawServer first_;
  RawServer other_;
  std::unique_ptr<EdgeNode> far_;
  EdgeNode* sender_ = nullptr;
  std::unique_ptr<RawCaller> caller_;
  Connection* held_ = nullptr;
  int runs_ = 0;
};

size_t Count(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

// Guards against TWICE and REFUSED: a call ends in two ways after a pause of
// the process.
TEST_CASE("events that become due together end a call once and truthfully") {
  for (const StallRow& row : kRows) {
    for (bool is_far : {false, true}) {
      for (const char* path : {"/once/", "/again/", "/stream/", "/single/"}) {
        if (!row.is_everywhere && (is_far || std::string(path) != row.path)) {
          continue;
        }
        INFO(row.name << " " << path << (is_far ? " far" : ""));
        Stalled stalled(row, path, is_far);
        stalled.Play();
        const std::string& text = stalled.text();
        INFO("runs " << stalled.runs() << "\n"
                     << text << "\n"
                     << stalled.CountedCalls());
        bool is_gone = row.due == Due::kAnswerAndDisconnect ||
                       row.due == Due::kDisconnectAndAnswer;
        CHECK(Count(text, "HTTP/1.1 ") == (is_gone ? 0 : 1));
        bool is_retryable =
            std::string(path) == "/again/" || std::string(path) == "/stream/";
        CHECK(stalled.runs() <= (is_retryable ? 2 : 1));
        bool is_promise =
            text.starts_with("HTTP/1.1 503") || text.starts_with("HTTP/1.1 4");
        CHECK_FALSE((is_promise && stalled.runs() > 0));
        if (text.starts_with("HTTP/1.1 200")) {
          CHECK(Count(text, "done") == 1);
          CHECK(stalled.runs() > 0);
        }
        CHECK(Count(stalled.CountedCalls(), "} 1\n") == 1);
        CHECK(Count(stalled.CountedCalls(), "\n") == 1);
      }
    }
  }
}

}  // namespace
}  // namespace basilvalve::edge
