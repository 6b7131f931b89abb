#include "Core/Net/client_connection.h"

#include <charconv>

namespace basilvalve::net {
namespace {

// Servers are trusted with more than callers: heads and bodies are bounded by
// what one machine can hold for some hundred requests at once.
constexpr uint32_t kHeaderLimit = 32 * 1024;
constexpr uint64_t kBodyLimit = 64ULL * 1024 * 1024;

}  // namespace

ClientConnection::ClientConnection(EventLoop* loop)
    : loop_(loop),
      connect_timer_(loop),
      parser_(MessageParser::Kind::kResponse, kHeaderLimit, kBodyLimit) {}

ClientConnection::~ClientConnection() = default;

std::shared_ptr<ClientConnection> ClientConnection::Open(EventLoop* loop,
                                                         const Endpoint& to,
                                                         Millis connect_time,
                                                         Millis dead_after) {
  auto self = std::shared_ptr<ClientConnection>(new ClientConnection(loop));
  std::weak_ptr<ClientConnection> weak = self;
  self->socket_ = Socket::Connect(loop, to, dead_after, [weak](bool connected) {
    if (auto it = weak.lock()) {
      it->OnConnected(connected);
    }
  });
  self->connect_timer_.Set(connect_time, [weak] {
    if (auto it = weak.lock()) {
      it->OnConnected(false);
    }
  });
  return self;
}

void ClientConnection::OnConnected(bool connected) {
  if (closed_ || connected_) {
    return;
  }
  connect_timer_.Cancel();
  if (!connected) {
    FailWith(ClientError::kConnectFailed);
    return;
  }
  connected_ = true;
  idle_since_ = loop_->Now();
  Flush();
  if (!closed_) {
    WaitForBytes();
  }
}

void ClientConnection::Send(std::string bytes, ClientObserver* observer) {
  observer_ = observer;
  head_told_ = false;
  dropping_ = false;
  written_before_ = outbox_.written();
  paused_ = false;
  outbox_.Assign(std::move(bytes));
  if (connected_) {
    // From the loop, so that a failure is not told before Send returns.
    loop_->Post([weak = weak_from_this()] {
      if (auto self = weak.lock()) {
        self->Flush();
      }
    });
  }
}

void ClientConnection::Flush() {
  auto self = shared_from_this();
  if (closed_ || waiting_write_) {
    return;
  }
  IoStatus status = outbox_.WriteTo(socket_.get());
  if (status == IoStatus::kBlocked) {
    waiting_write_ = true;
    socket_->WaitWritable([weak = weak_from_this()] {
      if (auto it = weak.lock()) {
        it->waiting_write_ = false;
        it->Flush();
      }
    });
  } else if (status != IoStatus::kDone) {
    FailWith(ClientError::kConnectionClosed);
  }
}

void ClientConnection::WaitForBytes() {
  socket_->WaitReadable([weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnReadable();
    }
  });
}

void ClientConnection::Resume() {
  if (!paused_) {
    return;
  }
  paused_ = false;
  if (!closed_ && connected_) {
    WaitForBytes();
  }
}

void ClientConnection::OnReadable() {
  auto self = shared_from_this();
  if (closed_ || paused_) {
    return;
  }
  auto buf = loop_->scratch();
  IoResult got = socket_->Read(buf);
  if (got.status == IoStatus::kBlocked) {
    WaitForBytes();
    return;
  }
  if (observer_ == nullptr) {
    // Nothing was asked: the end of an idle connection, or bytes that belong
    // to no request. Either way it is not used again.
    Close();
    return;
  }
  if (got.status == IoStatus::kReset) {
    FailWith(ClientError::kConnectionClosed);
    return;
  }
  if (got.status == IoStatus::kEof) {
    parser_.ParseEof();
    reusable_ = false;
    if (head_told_ && !dropping_ && parser_.is_done() &&
        parser_.parse_error() == ParseError::kNone) {
      FinishAnswer();
    } else {
      FailWith(ClientError::kConnectionClosed);
    }
    return;
  }
  unparsed_.append(buf.data(), got.bytes);
  ParseAnswer();
  if (!closed_ && !paused_) {
    WaitForBytes();
  }
}

void ClientConnection::ParseAnswer() {
  while (!unparsed_.empty() && observer_ != nullptr && !closed_) {
    size_t used = parser_.Feed(unparsed_);
    unparsed_.erase(0, used);
    if (parser_.parse_error() != ParseError::kNone) {
      FailWith(ClientError::kMalformedResponse);
      return;
    }
    if (!parser_.has_head()) {
      return;
    }
    if (!head_told_ && !dropping_) {
      if (parser_.head().status / 100 == 1) {
        // An interim answer says nothing about the request.
        parser_.Reset();
        continue;
      }
      ReadKeepAlive();
      head_told_ = true;
      dropping_ = !observer_->OnHead(parser_.head());
      if (closed_ || observer_ == nullptr) {
        return;
      }
    }
    std::string body = parser_.TakeBody();
    if (!dropping_ && !body.empty()) {
      observer_->OnBody(body);
      if (closed_ || observer_ == nullptr) {
        return;
      }
    }
    if (!parser_.is_done()) {
      if (used == 0) {
        return;
      }
      continue;
    }
    if (!dropping_) {
      FinishAnswer();
      return;
    }
    reusable_ = false;
    dropping_ = false;
    head_told_ = false;
    parser_.Reset();
  }
}

void ClientConnection::ReadKeepAlive() {
  const MessageHead& head = parser_.head();
  if (!head.keep_alive || parser_.ends_with_connection()) {
    reusable_ = false;
  }
  const std::string* value = head.Find("Keep-Alive");
  if (value == nullptr) {
    return;
  }
  size_t at = value->find("timeout=");
  if (at == std::string::npos) {
    return;
  }
  const char* first = value->data() + at + sizeof("timeout=") - 1;
  int seconds = 0;
  auto [end, ec] =
      std::from_chars(first, value->data() + value->size(), seconds);
  // A value that is no number says nothing: the default bound holds.
  if (ec == std::errc() && seconds >= 0) {
    server_keep_alive_ = Seconds(seconds);
  }
}

void ClientConnection::FinishAnswer() {
  auto self = shared_from_this();
  // Bytes past a whole answer, or a request that is not out yet, leave the
  // connection in a state that the next request cannot rely on.
  if (!unparsed_.empty() || !outbox_.empty()) {
    reusable_ = false;
  }
  parser_.Reset();
  unparsed_.clear();
  unparsed_.shrink_to_fit();
  idle_since_ = loop_->Now();
  ClientObserver* observer = observer_;
  observer_ = nullptr;
  if (!reusable_) {
    Close();
  }
  observer->OnDone();
}

void ClientConnection::FailWith(ClientError parse_error) {
  auto self = shared_from_this();
  ClientObserver* observer = observer_;
  Close();
  if (observer != nullptr) {
    observer->OnError(parse_error);
  }
}

void ClientConnection::Close() {
  observer_ = nullptr;
  closed_ = true;
  reusable_ = false;
  connect_timer_.Cancel();
  if (socket_) {
    socket_->Close();
  }
}

}  // namespace basilvalve::net
