#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "Core/Peer/peer_client.h"
#include "Core/Peer/peer_server.h"
#include "Fakes/relay.h"

namespace basilvalve::peer {
namespace {

constexpr size_t kLargeResponseBytes = 8 << 20;
constexpr size_t kChunkBytes = 16384;

/// Responds according to the path in the stream header.
class TestHandler : public StreamHandler {
 public:
  void HandleStream(ServerStream* stream) override {
    const std::string& path = stream->header().path;
    if (path == "/refuse") {
      stream->Refuse(MakeError(ResultCode::kResidencyForbidden, "no"));
      return;
    }
    if (path == "/hang-before") {
      ++entered;
      while (!stream->Cancelled()) {
        std::this_thread::yield();
      }
      ++cancelled;
      return;
    }
    Result<std::string> body =
        stream->AcceptBody(SteadyClock().Now() + Seconds(5));
    if (!body) {
      ++rejected_bodies;
      stream->FinishWithError(body.error());
      return;
    }
    ++runs;
    if (path == "/vanish") {
      return;
    }
    if (path == "/error") {
      stream->FinishWithError(
          {ResultCode::kUpstreamFailed, Outcome::kUnknown, "broke"});
      return;
    }
    stream->SendResponseHead(
        {200, "text/plain", RegionId("munich"), UpstreamId("u1")});
    if (path == "/cut") {
      stream->Write("half");
      return;
    }
    if (path == "/big") {
      std::string chunk(kChunkBytes, 'x');
      for (size_t sent = 0; sent < kLargeResponseBytes; sent += chunk.size()) {
        if (!stream->Write(chunk)) {
          ++cancelled;
          return;
        }
      }
    }
    if (path == "/late-error") {
      stream->Write("half");
      stream->Finish(Outcome::kUnknown, ResultCode::kResponseTruncated,
                     "broke later");
      return;
    }
    stream->Write("echo " + *body);
    stream->Finish(Outcome::kDone, ResultCode::kOk, "");
  }

  std::atomic<int> runs{0};
  std::atomic<int> entered{0};
  std::atomic<int> cancelled{0};
  std::atomic<int> rejected_bodies{0};
};

struct PeerFixture {
  explicit PeerFixture(const std::string& client_key = "peer-test-key-0001") {
    client_keys = *Keyring::FromSetting(client_key);
    PeerServerSettings server_settings;
    server_settings.endpoint = {"127.0.0.1", 0};
    server_settings.workers = 8;
    server = std::move(
        *PeerServer::Start(server_settings, &reactor, &server_keys, &handler));
  }
  ~PeerFixture() {
    client_reactor.Stop();
    reactor.Stop();
    server.reset();
  }

  StreamHeader Header(const std::string& path, const std::string& body) {
    StreamHeader header;
    header.sender = InstanceId("n1");
    header.incarnation = Incarnation(1);
    header.sequence = Sequence(++sequence);
    header.request = RequestId("q" + std::to_string(sequence));
    header.attempt = 1;
    header.path = path;
    header.body_bytes = body.size();
    header.body_hash = Hash64(body);
    return header;
  }

  static Instant TestDeadline() { return SteadyClock().Now() + Seconds(10); }

  SteadyClock clock;
  Keyring server_keys = *Keyring::FromSetting("peer-test-key-0001");
  Keyring client_keys = server_keys;
  TestHandler handler;
  Reactor reactor{{}, 2, &clock};
  Reactor client_reactor{{}, 2, &clock};
  PeerClient client{&client_reactor, &client_keys};
  std::unique_ptr<PeerServer> server;
  uint64_t sequence = 0;
};

/// Sends a request body and reads the whole response.
Result<std::string> Exchange(PeerFixture* fixture,
                             const http::Endpoint& endpoint,
                             const StreamHeader& header,
                             const std::string& body) {
  auto stream = fixture->client.Open(endpoint, header);
  if (!stream) {
    return tl::make_unexpected(stream.error());
  }
  Result<void> accepted = (*stream)->AwaitContinue(PeerFixture::TestDeadline());
  if (!accepted) {
    return tl::make_unexpected(accepted.error());
  }
  (*stream)->SendBody(body);
  Result<ResponseHead> head =
      (*stream)->AwaitResponseHead(PeerFixture::TestDeadline());
  if (!head) {
    return tl::make_unexpected(head.error());
  }
  std::string response;
  while (true) {
    Result<std::optional<std::string>> chunk = (*stream)->Read(Millis(10000));
    if (!chunk) {
      return tl::make_unexpected(chunk.error());
    }
    if (!chunk->has_value()) {
      return response;
    }
    response += **chunk;
  }
}

TEST_CASE("a stream's outcome tells whether the server may have run the call") {
  struct Row {
    const char* path;
    ResultCode code;
    Outcome outcome;
    int runs;
  };
  std::vector<Row> rows = {
      {"/echo", ResultCode::kOk, Outcome::kDone, 1},
      {"/refuse", ResultCode::kResidencyForbidden, Outcome::kNotRun, 0},
      {"/vanish", ResultCode::kPeerLost, Outcome::kUnknown, 1},
      {"/error", ResultCode::kUpstreamFailed, Outcome::kUnknown, 1},
      {"/cut", ResultCode::kPeerLost, Outcome::kUnknown, 1},
      {"/late-error", ResultCode::kResponseTruncated, Outcome::kUnknown, 1},
  };
  for (const Row& row : rows) {
    PeerFixture fixture;
    Result<std::string> response =
        Exchange(&fixture, fixture.server->endpoint(),
                 fixture.Header(row.path, "body"), "body");
    INFO(row.path);
    if (row.code == ResultCode::kOk) {
      REQUIRE(response.has_value());
      CHECK(*response == "echo body");
    } else {
      REQUIRE_FALSE(response.has_value());
      CHECK(response.error().code == row.code);
      CHECK(response.error().outcome == row.outcome);
    }
    CHECK(fixture.handler.runs == row.runs);
  }
}

TEST_CASE("a header with a wrong key or a replayed header is refused") {
  PeerFixture wrong_key("peer-test-key-0002");
  Result<std::string> response =
      Exchange(&wrong_key, wrong_key.server->endpoint(),
               wrong_key.Header("/echo", "b"), "b");
  REQUIRE_FALSE(response.has_value());
  CHECK(response.error().outcome == Outcome::kNotRun);
  CHECK(wrong_key.handler.runs == 0);

  PeerFixture fixture;
  StreamHeader header = fixture.Header("/echo", "b");
  CHECK(
      Exchange(&fixture, fixture.server->endpoint(), header, "b").has_value());
  Result<std::string> repeated =
      Exchange(&fixture, fixture.server->endpoint(), header, "b");
  REQUIRE_FALSE(repeated.has_value());
  CHECK(repeated.error().code == ResultCode::kPeerRefused);
  CHECK(fixture.handler.runs == 1);
}

TEST_CASE("a call whose body does not match its header is not run") {
  PeerFixture fixture;
  Result<std::string> response =
      Exchange(&fixture, fixture.server->endpoint(),
               fixture.Header("/echo", "body"), "bodx");
  REQUIRE_FALSE(response.has_value());
  CHECK(response.error().outcome == Outcome::kNotRun);
  CHECK(fixture.handler.runs == 0);
  CHECK(fixture.handler.rejected_bodies == 1);
}

TEST_CASE("a refused connection reports the call as not run") {
  PeerFixture fixture;
  Result<std::string> response =
      Exchange(&fixture, {"127.0.0.1", 1}, fixture.Header("/echo", "b"), "b");
  REQUIRE_FALSE(response.has_value());
  CHECK(response.error().outcome == Outcome::kNotRun);
}

TEST_CASE("a stream given up by the client is cancelled on the server") {
  PeerFixture fixture;
  auto stream = fixture.client.Open(fixture.server->endpoint(),
                                    fixture.Header("/hang-before", "b"));
  while (fixture.handler.entered == 0) {
    std::this_thread::yield();
  }
  stream->reset();
  while (fixture.handler.cancelled == 0) {
    std::this_thread::yield();
  }
  CHECK(fixture.handler.runs == 0);
}

TEST_CASE("a stalled reader holds up only its own stream") {
  PeerFixture fixture;
  auto slow = fixture.client.Open(fixture.server->endpoint(),
                                  fixture.Header("/big", "b"));
  REQUIRE((*slow)->AwaitContinue(PeerFixture::TestDeadline()).has_value());
  (*slow)->SendBody("b");
  REQUIRE((*slow)->AwaitResponseHead(PeerFixture::TestDeadline()).has_value());
  // The large response fills its flow-control window and stalls; other streams
  // of the same connection must still progress.
  for (int i = 0; i < 20; ++i) {
    CHECK(Exchange(&fixture, fixture.server->endpoint(),
                   fixture.Header("/echo", "b"), "b")
              .has_value());
  }
  size_t received_bytes = 0;
  while (true) {
    Result<std::optional<std::string>> chunk = (*slow)->Read(Millis(10000));
    REQUIRE(chunk.has_value());
    if (!chunk->has_value()) {
      break;
    }
    received_bytes += (*chunk)->size();
  }
  CHECK(received_bytes == kLargeResponseBytes + std::string("echo b").size());
}

TEST_CASE(
    "a connection cut after any number of bytes never yields a whole "
    "response") {
  for (int64_t cut : {1, 9, 40, 90, 150, 200}) {
    PeerFixture fixture;
    auto relay = fakes::Relay::Start("127.0.0.1", fixture.server->endpoint());
    relay->CutAfter(cut);
    Result<std::string> response = Exchange(
        &fixture, relay->endpoint(), fixture.Header("/echo", "body"), "body");
    INFO("cut after " << cut);
    REQUIRE_FALSE(response.has_value());
    bool ran = fixture.handler.runs > 0;
    // kNotRun must not be reported for a call that was run.
    CHECK((response.error().outcome == Outcome::kUnknown || !ran));
  }
}

TEST_CASE("heartbeats detect a frozen connection") {
  PeerFixture fixture;
  auto relay = fakes::Relay::Start("127.0.0.1", fixture.server->endpoint());
  auto stream = fixture.client.Open(relay->endpoint(),
                                    fixture.Header("/hang-before", "b"));
  relay->SetFrozen(true);
  Result<void> accepted =
      (*stream)->AwaitContinue(SteadyClock().Now() + Seconds(60));
  REQUIRE_FALSE(accepted.has_value());
  CHECK(accepted.error().code == ResultCode::kPeerLost);
}

TEST_CASE("messages round-trip through their text form") {
  Keyring keyring = *Keyring::FromSetting("peer-test-key-0001");
  StreamHeader header;
  header.sender = InstanceId("n1");
  header.hops = {InstanceId("a"), InstanceId("b")};
  header.regions = {RegionId("r")};
  header.ticket = "t";
  header.remaining = Millis(5);
  header.streaming = true;
  SignedText text = EncodeHeader(header, keyring);
  Result<StreamHeader> decoded = DecodeHeader(text, keyring);
  REQUIRE(decoded.has_value());
  CHECK(EncodeHeader(*decoded, keyring).text == text.text);
  CHECK_FALSE(DecodeHeader({text.text + "A", text.mac}, keyring).has_value());
  EndRecord end{RequestId("q"),  2,  10, 99, Outcome::kDone,
                ResultCode::kOk, "m"};
  SignedText end_text = EncodeEndRecord(end, keyring);
  CHECK(DecodeEndRecord(end_text, keyring)->hash == 99);
  // MACs are bound to the message type: a signed header must not verify as an
  // end record.
  CHECK_FALSE(DecodeEndRecord(text, keyring).has_value());
  CHECK_FALSE(DecodeResponseHead("%%%").has_value());
  CHECK(DecodeResponseHead(
            EncodeResponseHead({201, "t", RegionId("r"), UpstreamId("u")}))
            ->status == 201);
}

}  // namespace
}  // namespace basilvalve::peer
