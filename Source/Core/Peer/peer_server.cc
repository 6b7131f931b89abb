#include "Core/Peer/peer_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace basilvalve::peer {
namespace {

constexpr int kListenBacklog = 512;
constexpr int kAcceptPollMs = 100;
constexpr Millis kRoomPollPeriod{5};

}  // namespace

ServerStream::ServerStream(ReactorShard* shard, StreamPtr stream,
                           StreamHeader header, const Keyring* keyring,
                           const Clock* clock, size_t send_buffer_bytes)
    : shard_(shard),
      stream_(std::move(stream)),
      header_(std::move(header)),
      keyring_(keyring),
      clock_(clock),
      send_buffer_bytes_(send_buffer_bytes) {}

ServerStream::~ServerStream() {
  std::lock_guard lock(shard_->mutex());
  if (!finished_ && stream_->connection != nullptr) {
    stream_->connection->Reset(stream_, NGHTTP2_INTERNAL_ERROR);
    shard_->Wake();
  }
}

EndRecord ServerStream::MakeEndRecord(Outcome outcome, ResultCode code,
                                      const std::string& message) const {
  return {header_.request, header_.attempt, hash_.Length(),
          hash_.Digest(),  outcome,         code,
          message};
}

void ServerStream::Refuse(const Error& error) { FinishWithError(error); }

void ServerStream::FinishWithError(const Error& error) {
  finished_ = true;
  SignedText end = EncodeEndRecord(
      MakeEndRecord(error.outcome, error.code, error.message), *keyring_);
  std::lock_guard lock(shard_->mutex());
  if (stream_->connection != nullptr) {
    stream_->connection->SendRefusal(stream_, end);
    shard_->Wake();
  }
}

Result<std::string> ServerStream::AcceptBody(Instant deadline) {
  std::unique_lock lock(shard_->mutex());
  if (stream_->connection == nullptr) {
    return FailAs(ResultCode::kPeerLost, Outcome::kNotRun,
                  "the stream was closed before its body was accepted");
  }
  stream_->connection->SendContinue(stream_);
  shard_->Wake();
  std::string body;
  while (true) {
    Micros left = std::max<Micros>(deadline - clock_->Now(), Micros(0));
    bool ready = stream_->changed.wait_for(lock, left, [this] {
      return !stream_->inbound.empty() || stream_->remote_closed ||
             stream_->closed;
    });
    if (!ready || (stream_->closed && stream_->inbound.empty() &&
                   !stream_->remote_closed)) {
      return FailAs(
          ResultCode::kPeerLost, Outcome::kNotRun,
          "timed out or lost the stream while receiving the request body");
    }
    if (stream_->inbound.empty()) {
      break;
    }
    std::string& chunk = stream_->inbound.front();
    if (stream_->connection != nullptr) {
      stream_->connection->MarkConsumed(stream_, chunk.size());
      shard_->Wake();
    }
    body += chunk;
    stream_->inbound.pop_front();
    if (body.size() > header_.body_bytes) {
      break;
    }
  }
  if (body.size() != header_.body_bytes || Hash64(body) != header_.body_hash) {
    return FailAs(
        ResultCode::kMalformedRequest, Outcome::kNotRun,
        "length or hash of the request body differs from the stream header");
  }
  return body;
}

void ServerStream::SendResponseHead(const ResponseHead& head) {
  std::lock_guard lock(shard_->mutex());
  if (stream_->connection != nullptr) {
    stream_->connection->SendResponseHead(stream_, EncodeResponseHead(head));
    shard_->Wake();
  }
}

bool ServerStream::Write(std::string_view chunk) {
  std::unique_lock lock(shard_->mutex());
  stream_->changed.wait(lock, [this] {
    return stream_->outbound.size() < send_buffer_bytes_ || stream_->closed;
  });
  if (stream_->connection == nullptr) {
    return false;
  }
  hash_.Add(chunk);
  stream_->outbound.append(chunk);
  stream_->connection->ResumeOutbound(stream_);
  shard_->Wake();
  return true;
}

void ServerStream::Finish(Outcome outcome, ResultCode code,
                          const std::string& message) {
  finished_ = true;
  SignedText end =
      EncodeEndRecord(MakeEndRecord(outcome, code, message), *keyring_);
  std::lock_guard lock(shard_->mutex());
  stream_->end = std::move(end);
  stream_->outbound_open = false;
  if (stream_->connection != nullptr) {
    stream_->connection->ResumeOutbound(stream_);
    shard_->Wake();
  }
}

bool ServerStream::Cancelled() {
  std::lock_guard lock(shard_->mutex());
  return stream_->closed;
}

PeerServer::PeerServer(const PeerServerSettings& settings, Reactor* reactor,
                       const Keyring* keyring, StreamHandler* handler)
    : endpoint_(settings.endpoint),
      reactor_(reactor),
      keyring_(keyring),
      handler_(handler),
      workers_(std::make_unique<WorkerPool>(settings.workers,
                                            settings.max_queued)) {}

Result<std::unique_ptr<PeerServer>> PeerServer::Start(
    const PeerServerSettings& settings, Reactor* reactor,
    const Keyring* keyring, StreamHandler* handler) {
  std::unique_ptr<PeerServer> server(
      new PeerServer(settings, reactor, keyring, handler));
  if (!server->Listen()) {
    return Fail(ResultCode::kSettingInvalid,
                "cannot listen on peer address " + settings.endpoint.Text());
  }
  server->thread_ = std::thread([raw = server.get()] { raw->Run(); });
  return server;
}

PeerServer::~PeerServer() {
  stopping_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
  workers_.reset();
  if (listen_fd_ >= 0) {
    ::close(listen_fd_);
  }
}

bool PeerServer::Listen() {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint_.port);
  if (inet_pton(AF_INET, endpoint_.host.c_str(), &address.sin_addr) != 1) {
    return false;
  }
  listen_fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(listen_fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  socklen_t n = sizeof(address);
  bool ok =
      ::bind(listen_fd_, reinterpret_cast<sockaddr*>(&address), n) == 0 &&
      ::listen(listen_fd_, kListenBacklog) == 0 &&
      ::getsockname(listen_fd_, reinterpret_cast<sockaddr*>(&address), &n) == 0;
  endpoint_.port = ntohs(address.sin_port);
  return ok;
}

void PeerServer::Run() {
  while (!stopping_) {
    pollfd poll_fd{listen_fd_, POLLIN, 0};
    if (::poll(&poll_fd, 1, kAcceptPollMs) <= 0) {
      continue;
    }
    ReactorShard* shard = &reactor_->NextShard();
    if (!shard->HasRoom()) {
      // The socket waits in the kernel until another one is closed.
      std::this_thread::sleep_for(kRoomPollPeriod);
      continue;
    }
    int fd =
        ::accept4(listen_fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    shard->AddAccepted(fd, [this, shard](const StreamPtr& stream) {
      OnRequest(shard, stream);
    });
  }
}

void PeerServer::RefuseLocked(const StreamPtr& stream, const RequestId& request,
                              uint32_t attempt, const Error& error) {
  EndRecord end{request,    attempt,      0, Hash64(""), error.outcome,
                error.code, error.message};
  stream->connection->SendRefusal(stream, EncodeEndRecord(end, *keyring_));
}

void PeerServer::OnRequest(ReactorShard* shard, const StreamPtr& stream) {
  SignedText text{stream->headers["bv-header"], stream->headers["bv-mac"]};
  Result<StreamHeader> header = DecodeHeader(text, *keyring_);
  if (!header) {
    // The request id of an unverified header is untrusted, so the response
    // carries an empty one.
    RefuseLocked(stream, RequestId(), 0, header.error());
    return;
  }
  RequestId request = header->request;
  uint32_t attempt = header->attempt;
  if (!replay_guard_.Accept(header->sender, header->incarnation,
                            header->sequence)) {
    RefuseLocked(
        stream, request, attempt,
        MakeError(ResultCode::kPeerRefused,
                  "replayed stream header or one of an earlier incarnation"));
    return;
  }
  auto task = [this, shard, stream, parsed = std::move(*header)] {
    ServerStream server_stream(shard, stream, parsed, keyring_,
                               reactor_->clock(),
                               reactor_->settings().send_buffer_bytes);
    handler_->HandleStream(&server_stream);
  };
  if (!workers_->TrySubmit(std::move(task))) {
    RefuseLocked(stream, request, attempt,
                 MakeError(ResultCode::kOverloaded,
                           "the worker queue for peer streams is full"));
  }
}

}  // namespace basilvalve::peer
