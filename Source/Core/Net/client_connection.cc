#include "Core/Net/client_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace basilvalve::net {
namespace {

// Servers are trusted more than callers. The limits bound the memory that
// several hundred concurrent responses can take on one machine.
constexpr uint32_t kMaxHeaderBytes = 32 * 1024;
constexpr uint64_t kMaxBodyBytes = 64ULL * 1024 * 1024;
// Responses to other requests and interim responses that precede the expected
// one; more of them are no protocol of a server.
constexpr uint64_t kMaxDiscardedBytes = 256ULL * 1024;
constexpr int kMaxInterimResponses = 16;
// A connection is used for no more requests than it remembers the keys of.
constexpr size_t kMaxCarriedKeys = 256;

}  // namespace

ClientConnection::ClientConnection(EventLoop* loop, MemoryBudget::Ptr memory)
    : loop_(loop),
      connect_timer_(loop),
      parser_(MessageParser::Kind::kResponse, kMaxHeaderBytes, kMaxBodyBytes),
      unparsed_memory_(std::move(memory)) {}

ClientConnection::~ClientConnection() = default;

std::shared_ptr<ClientConnection> ClientConnection::Open(
    EventLoop* loop, const Endpoint& to, Millis connect_timeout,
    Millis unacked_timeout, ConnectionBudgets budgets) {
  auto self = std::shared_ptr<ClientConnection>(
      new ClientConnection(loop, std::move(budgets.memory)));
  std::weak_ptr<ClientConnection> weak = self;
  if (budgets.connections != nullptr && !budgets.connections->has_room()) {
    loop->Post([weak] {
      if (auto it = weak.lock()) {
        it->OnConnected(false);
      }
    });
    return self;
  }
  self->slot_ = ConnectionSlot(std::move(budgets.connections));
  self->socket_ =
      Socket::Connect(loop, to, unacked_timeout, [weak](bool connected) {
        if (auto it = weak.lock()) {
          it->OnConnected(connected);
        }
      });
  self->connect_timer_.Set(connect_timeout, [weak] {
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
  auto self = shared_from_this();
  connect_timer_.Cancel();
  auto on_connect = std::exchange(on_connect_, nullptr);
  if (!connected) {
    bool is_refused = socket_ != nullptr && socket_->is_refused();
    FailRequest(ClientError::kConnectFailed);
    if (on_connect) {
      on_connect(is_refused ? ConnectResult::kRefused : ConnectResult::kFailed);
    }
    return;
  }
  connected_ = true;
  idle_since_ = loop_->Now();
  if (observer_ != nullptr) {
    FlushRequest();
  }
  if (!closed_) {
    WaitForBytes();
  }
  if (on_connect) {
    on_connect(ConnectResult::kConnected);
  }
}

bool ClientConnection::HasCarried(RequestKey key) const {
  return std::find(carried_keys_.begin(), carried_keys_.end(), key) !=
         carried_keys_.end();
}

bool ClientConnection::is_reusable() const {
  return reusable_ && !closed_ && carried_keys_.size() < kMaxCarriedKeys;
}

void ClientConnection::Send(std::string bytes, ClientObserver* observer,
                            std::optional<RequestKey> key) {
  is_repeat_ = key && HasCarried(*key);
  if (key && !is_repeat_) {
    carried_keys_.push_back(*key);
  }
  observer_ = observer;
  head_delivered_ = false;
  discarding_ = false;
  discarded_bytes_ = 0;
  interim_responses_ = 0;
  written_at_send_ = write_buffer_.total_written();
  paused_ = false;
  write_buffer_.Replace(std::move(bytes));
  if (connected_) {
    // Posted, so that the observer is never called before Send returns.
    loop_->Post([weak = weak_from_this()] {
      if (auto self = weak.lock()) {
        self->FlushRequest();
      }
    });
  }
}

void ClientConnection::FlushRequest() {
  if (closed_) {
    return;
  }
  IoResult got = socket_->Read(loop_->scratch());
  if (got.status != IoStatus::kBlocked) {
    // What came before the request does not answer it.
    FailRequest(ClientError::kConnectionClosed);
    return;
  }
  Flush();
}

void ClientConnection::Flush() {
  auto self = shared_from_this();
  if (closed_ || waiting_writable_) {
    return;
  }
  IoStatus status = write_buffer_.WriteTo(socket_.get());
  if (status == IoStatus::kBlocked) {
    waiting_writable_ = true;
    socket_->WaitWritable([weak = weak_from_this()] {
      if (auto it = weak.lock()) {
        it->waiting_writable_ = false;
        it->Flush();
      }
    });
  } else if (status != IoStatus::kDone) {
    FailRequest(ClientError::kConnectionClosed);
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
    // No request is in flight: the server closed the idle connection or sent
    // unsolicited bytes. Neither connection can be reused.
    Close();
    return;
  }
  if (got.status == IoStatus::kReset) {
    FailRequest(ClientError::kConnectionClosed);
    return;
  }
  if (got.status == IoStatus::kEof) {
    parser_.ParseEof();
    reusable_ = false;
    // A server that ends the connection before it has read the request may have
    // been stopped in the middle of its response, and nothing else tells the
    // end of this response from a part of it.
    if (has_written_all() && head_delivered_ && !discarding_ &&
        parser_.is_done() && parser_.parse_error() == ParseError::kNone) {
      FinishResponse();
    } else {
      FailRequest(ClientError::kConnectionClosed);
    }
    return;
  }
  if (!has_sent()) {
    FailRequest(ClientError::kConnectionClosed);
    return;
  }
  unparsed_.append(buf.data(), got.bytes);
  ParseResponse();
  if (!unparsed_memory_.TryResize(unparsed_.size()) && !closed_) {
    FailRequest(ClientError::kMalformedResponse);
  }
  if (!closed_ && !paused_) {
    WaitForBytes();
  }
}

void ClientConnection::ParseResponse() {
  while (!unparsed_.empty() && observer_ != nullptr && !closed_) {
    size_t used = parser_.Feed(unparsed_);
    unparsed_.erase(0, used);
    if (parser_.parse_error() != ParseError::kNone) {
      FailRequest(ClientError::kMalformedResponse);
      return;
    }
    if (!parser_.has_head()) {
      return;
    }
    if (!head_delivered_ && !discarding_) {
      if (parser_.head().status / 100 == 1) {
        // Skips interim responses such as 100 Continue.
        if (++interim_responses_ > kMaxInterimResponses) {
          FailRequest(ClientError::kMalformedResponse);
          return;
        }
        parser_.Reset();
        continue;
      }
      ParseKeepAlive();
      head_delivered_ = true;
      discarding_ = !observer_->OnHead(parser_.head());
      if (closed_ || observer_ == nullptr) {
        return;
      }
      if (discarding_ && parser_.ends_with_connection()) {
        // The expected response cannot follow.
        FailRequest(ClientError::kMalformedResponse);
        return;
      }
    }
    std::string body = parser_.TakeBody();
    discarded_bytes_ += discarding_ ? used : 0;
    if (discarded_bytes_ > kMaxDiscardedBytes) {
      FailRequest(ClientError::kMalformedResponse);
      return;
    }
    if (!discarding_ && !body.empty()) {
      observer_->OnBody(body);
      if (closed_ || observer_ == nullptr) {
        return;
      }
    }
    if (!parser_.is_done()) {
      // A chunk's size line is parsed once it is complete.
      if (used == 0 && unparsed_.size() > kMaxHeaderBytes) {
        FailRequest(ClientError::kMalformedResponse);
        return;
      }
      if (used == 0) {
        return;
      }
      continue;
    }
    if (!discarding_) {
      FinishResponse();
      return;
    }
    reusable_ = false;
    discarding_ = false;
    head_delivered_ = false;
    parser_.Reset();
  }
}

void ClientConnection::ParseKeepAlive() {
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
  // A timeout that is not a number is ignored; the default applies.
  if (ec == std::errc() && seconds >= 0) {
    server_keep_alive_ = Seconds(seconds);
  }
}

void ClientConnection::FinishResponse() {
  auto self = shared_from_this();
  // The connection cannot be reused if bytes follow the complete response or if
  // part of the request is still unsent.
  if (!unparsed_.empty() || !write_buffer_.empty()) {
    reusable_ = false;
  }
  parser_.Reset();
  unparsed_.clear();
  unparsed_.shrink_to_fit();
  idle_since_ = loop_->Now();
  // An idle connection is read, whatever its last response was waiting for.
  paused_ = false;
  ClientObserver* observer = observer_;
  observer_ = nullptr;
  if (!is_reusable()) {
    Close();
  }
  observer->OnDone();
}

void ClientConnection::FailRequest(ClientError error) {
  auto self = shared_from_this();
  ClientObserver* observer = observer_;
  Close();
  if (observer != nullptr) {
    observer->OnError(error);
  }
}

void ClientConnection::Abort() {
  if (socket_ && !closed_) {
    socket_->DropUnacknowledged();
  }
  Close();
}

void ClientConnection::Close() {
  observer_ = nullptr;
  closed_ = true;
  reusable_ = false;
  on_connect_ = nullptr;
  connect_timer_.Cancel();
  if (socket_) {
    socket_->Close();
  }
  slot_.Release();
  std::string().swap(unparsed_);
  unparsed_memory_.Release();
}

}  // namespace basilvalve::net
