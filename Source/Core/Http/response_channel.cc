#include "Core/Http/response_channel.h"

#include <utility>

#include "Core/Common/log.h"

namespace basilvalve::http {
namespace {

// How many bytes a handler may send before its caller has accepted them; enough
// for several parts of a stream.
constexpr size_t kMaxUnacceptedBytes = size_t{128} * 1024;

}  // namespace

ResponseChannel::ResponseChannel(net::EventLoop* loop,
                                 net::ServerConnection::Ptr connection,
                                 net::MemoryReservation request_memory)
    : loop_(loop),
      connection_(std::move(connection)),
      request_memory_(std::move(request_memory)) {}

void ResponseChannel::MarkDisconnected() {
  {
    std::lock_guard lock(mutex_);
    disconnected_ = true;
  }
  changed_.notify_all();
}

bool ResponseChannel::is_disconnected() const {
  std::lock_guard lock(mutex_);
  return disconnected_;
}

bool ResponseChannel::Send(std::string bytes,
                           std::chrono::milliseconds timeout) {
  {
    std::unique_lock lock(mutex_);
    bool has_capacity = changed_.wait_for(lock, timeout, [this] {
      return disconnected_ || unaccepted_bytes_ <= kMaxUnacceptedBytes;
    });
    if (!has_capacity) {
      disconnected_ = true;
      LogEvent(LogLevel::kWarn, "http", "response_write_timed_out")
          .With("waited_ms", timeout.count())
          .With("unaccepted_bytes", static_cast<int64_t>(unaccepted_bytes_));
    }
    if (disconnected_) {
      return false;
    }
    unaccepted_bytes_ += bytes.size();
  }
  loop_->Post([self = shared_from_this(), bytes = std::move(bytes)]() mutable {
    self->WriteToConnection(std::move(bytes));
  });
  return true;
}

void ResponseChannel::WriteToConnection(std::string bytes) {
  if (connection_ == nullptr) {
    return;
  }
  size_t n = bytes.size();
  connection_->WriteOwned(std::move(bytes));
  if (!connection_->is_write_buffer_full()) {
    OnAccepted(n);
    return;
  }
  backpressured_bytes_ += n;
  connection_->SetWritableHandler([weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnAccepted(std::exchange(self->backpressured_bytes_, 0));
    }
  });
}

void ResponseChannel::OnAccepted(size_t bytes) {
  {
    std::lock_guard lock(mutex_);
    unaccepted_bytes_ -= bytes;
  }
  changed_.notify_all();
}

void ResponseChannel::End(bool keep_alive) {
  loop_->Post([self = shared_from_this(), keep_alive] {
    self->request_memory_.Release();
    if (auto connection = std::exchange(self->connection_, nullptr)) {
      connection->EndResponse(keep_alive);
    }
  });
}

void ResponseChannel::Abort() {
  MarkDisconnected();
  loop_->Post([self = shared_from_this()] {
    self->request_memory_.Release();
    if (auto connection = std::exchange(self->connection_, nullptr)) {
      connection->Abort();
    }
  });
}

}  // namespace basilvalve::http
