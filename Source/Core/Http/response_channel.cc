#include "Core/Http/response_channel.h"

#include <utility>

#include "Core/Common/log.h"

namespace basilvalve::http {
namespace {

// A handler runs ahead of its caller by this much: some pieces of a stream.
constexpr size_t kMaxUnaccepted = size_t{128} * 1024;

}  // namespace

AnswerChannel::AnswerChannel(net::EventLoop* loop,
                             net::ServerConnection::Ptr connection)
    : loop_(loop), connection_(std::move(connection)) {}

void AnswerChannel::SetDisconnectHandler() {
  {
    std::lock_guard lock(mutex_);
    gone_ = true;
  }
  changed_.notify_all();
}

bool AnswerChannel::is_gone() const {
  std::lock_guard lock(mutex_);
  return gone_;
}

bool AnswerChannel::Send(std::string bytes, std::chrono::milliseconds most) {
  {
    std::unique_lock lock(mutex_);
    bool room = changed_.wait_for(
        lock, most, [this] { return gone_ || unaccepted_ <= kMaxUnaccepted; });
    if (!room) {
      gone_ = true;
      LogEvent(LogLevel::kWarn, "http", "caller_not_reading")
          .With("waited_ms", most.count())
          .With("unread_bytes", static_cast<int64_t>(unaccepted_));
    }
    if (gone_) {
      return false;
    }
    unaccepted_ += bytes.size();
  }
  loop_->Post([self = shared_from_this(), bytes = std::move(bytes)] {
    self->Deliver(bytes);
  });
  return true;
}

void AnswerChannel::Deliver(const std::string& bytes) {
  if (connection_ == nullptr) {
    return;
  }
  connection_->Write(bytes);
  if (!connection_->is_write_buffer_full()) {
    Accepted(bytes.size());
    return;
  }
  held_ += bytes.size();
  connection_->SetWritableHandler([weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->Accepted(std::exchange(self->held_, 0));
    }
  });
}

void AnswerChannel::Accepted(size_t bytes) {
  {
    std::lock_guard lock(mutex_);
    unaccepted_ -= bytes;
  }
  changed_.notify_all();
}

void AnswerChannel::End(bool keep_alive) {
  loop_->Post([self = shared_from_this(), keep_alive] {
    if (auto connection = std::exchange(self->connection_, nullptr)) {
      connection->EndResponse(keep_alive);
    }
  });
}

void AnswerChannel::Abort() {
  SetDisconnectHandler();
  loop_->Post([self = shared_from_this()] {
    if (auto connection = std::exchange(self->connection_, nullptr)) {
      connection->Abort();
    }
  });
}

}  // namespace basilvalve::http
