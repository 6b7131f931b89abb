#include "Core/Net/server_connection.h"

namespace basilvalve::net {
namespace {

// Bytes of later requests kept while one is handled; more wait in the kernel.
constexpr size_t kPipelineBytes = size_t{32} * 1024;
// An answer's source pauses above this much unwritten data.
constexpr size_t kClogBytes = size_t{128} * 1024;
// How long the other side may take to close after we have: a round trip
// between regions with one loss.
constexpr Millis kLingerTime{1000};

}  // namespace

ServerConnection::ServerConnection(EventLoop* loop,
                                   std::unique_ptr<Socket> socket,
                                   ServerLimits limits, RequestFn on_request,
                                   EndedFn on_ended)
    : loop_(loop),
      socket_(std::move(socket)),
      limits_(limits),
      on_request_(std::move(on_request)),
      on_ended_(std::move(on_ended)),
      parser_(MessageParser::Kind::kRequest, limits.header_bytes,
              limits.body_bytes),
      timer_(loop) {}

ServerConnection::~ServerConnection() = default;

void ServerConnection::Start() {
  ArmIdleTimer();
  WaitForBytes();
}

void ServerConnection::ArmIdleTimer() {
  timer_.Set(limits_.idle_timeout, [this] {
    if (!busy() && !ended_) {
      CloseGently();
    }
  });
}

void ServerConnection::WaitForBytes() {
  socket_->WaitReadable([weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnReadable();
    }
  });
}

void ServerConnection::OnReadable() {
  if (ended_) {
    return;
  }
  auto buf = loop_->scratch();
  IoResult got = socket_->Read(buf);
  if (got.status == IoStatus::kBlocked) {
    WaitForBytes();
    return;
  }
  if (got.status != IoStatus::kDone) {
    Drop(/*gone=*/true);
    return;
  }
  if (half_closed_) {
    // We have closed: what still comes is read so that it causes no reset.
    WaitForBytes();
    return;
  }
  if (handling_) {
    unparsed_.append(buf.data(), got.bytes);
  } else {
    Consume(std::string_view(buf.data(), got.bytes));
  }
  if (!ended_ && (!handling_ || unparsed_.size() < kPipelineBytes)) {
    WaitForBytes();
  }
}

void ServerConnection::Consume(std::string_view bytes) {
  unparsed_.append(bytes);
  ParsePending();
}

void ServerConnection::ParsePending() {
  auto self = shared_from_this();
  while (!handling_ && !ended_ && !half_closed_ && !unparsed_.empty()) {
    if (!parser_used_) {
      parser_used_ = true;
      timer_.Set(limits_.header_timeout,
                 [this] { Refuse(408, "Request Timeout"); });
    }
    size_t used = parser_.Feed(unparsed_);
    unparsed_.erase(0, used);
    switch (parser_.parse_error()) {
      case ParseError::kNone:
        break;
      case ParseError::kMalformed:
        Refuse(400, "Bad Request");
        return;
      case ParseError::kHeaderTooLarge:
        Refuse(431, "Request Header Fields Too Large");
        return;
      case ParseError::kBodyTooLarge:
        if (limits_.hands_on_oversized) {
          HandOn(/*body_too_large=*/true);
        } else {
          Refuse(413, "Content Too Large");
        }
        return;
    }
    if (!parser_.has_head()) {
      if (unparsed_.size() > limits_.header_bytes) {
        Refuse(431, "Request Header Fields Too Large");
      }
      return;
    }
    if (!head_seen_) {
      OnHead();
    }
    body_ += parser_.TakeBody();
    if (!parser_.is_done()) {
      return;
    }
    HandOn(/*body_too_large=*/false);
  }
  if (unparsed_.empty()) {
    unparsed_.shrink_to_fit();
  }
}

void ServerConnection::HandOn(bool body_too_large) {
  handling_ = true;
  timer_.Cancel();
  ServerRequest request{std::move(parser_.head()), std::move(body_),
                        loop_->Now(), body_too_large};
  body_.clear();
  parser_.Reset();
  parser_used_ = false;
  head_seen_ = false;
  if (body_too_large) {
    // What follows belongs to the body: no later request can be told from it.
    request.body.clear();
    close_when_idle_ = true;
  }
  on_request_(shared_from_this(), std::move(request));
}

void ServerConnection::OnHead() {
  head_seen_ = true;
  // The body may take as long as a silent connection may last.
  timer_.Set(limits_.idle_timeout, [this] { Refuse(408, "Request Timeout"); });
  const std::string* expect = parser_.head().Find("Expect");
  if (expect != nullptr && EqualsIgnoringCase(*expect, "100-continue")) {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void ServerConnection::Refuse(int status, std::string_view reason) {
  if (ended_ || half_closed_) {
    return;
  }
  std::string answer = "HTTP/1.1 " + std::to_string(status) + " ";
  answer.append(reason).append(
      "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  parser_used_ = false;
  unparsed_.clear();
  Write(answer);
  EndResponse(/*keep_alive=*/false);
}

void ServerConnection::Write(std::string_view bytes) {
  if (ended_ || bytes.empty()) {
    return;
  }
  outbox_.Add(bytes);
  if (!waiting_write_) {
    Flush();
  }
}

void ServerConnection::Flush() {
  IoStatus status = outbox_.WriteTo(socket_.get());
  if (status == IoStatus::kBlocked) {
    waiting_write_ = true;
    socket_->WaitWritable([weak = weak_from_this()] {
      if (auto self = weak.lock()) {
        self->waiting_write_ = false;
        self->Flush();
      }
    });
  } else if (status != IoStatus::kDone) {
    // Told from the loop: the writer is in the middle of its own work.
    loop_->Post([weak = weak_from_this()] {
      if (auto self = weak.lock()) {
        self->Drop(/*gone=*/true);
      }
    });
    return;
  }
  OnWritten();
}

void ServerConnection::OnWritten() {
  if (on_drained_ && outbox_.size() < kClogBytes / 2) {
    auto fn = std::move(on_drained_);
    on_drained_ = nullptr;
    fn();
  }
  if (outbox_.empty() && close_after_write_ && !half_closed_) {
    CloseGently();
  }
}

bool ServerConnection::is_write_buffer_full() const {
  return outbox_.size() > kClogBytes;
}

void ServerConnection::EndResponse(bool keep_alive) {
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  handling_ = false;
  if (ended_) {
    return;
  }
  if (!keep_alive || close_when_idle_) {
    close_after_write_ = true;
    if (outbox_.empty()) {
      CloseGently();
    }
    return;
  }
  ArmIdleTimer();
  if (unparsed_.empty()) {
    return;
  }
  // From the loop, so that a row of pipelined requests does not nest.
  loop_->Post([weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->ParsePending();
      if (!self->ended_) {
        self->WaitForBytes();
      }
    }
  });
}

void ServerConnection::Abort() {
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  close_after_write_ = true;
  if (!ended_ && !half_closed_ && outbox_.empty()) {
    CloseGently();
  }
}

void ServerConnection::CloseWhenIdle() {
  close_when_idle_ = true;
  if (!busy() && !ended_ && !half_closed_ && outbox_.empty()) {
    CloseGently();
  }
}

void ServerConnection::CloseGently() {
  if (half_closed_) {
    return;
  }
  half_closed_ = true;
  handling_ = false;
  unparsed_.clear();
  socket_->ShutdownWrite();
  timer_.Set(kLingerTime, [this] { Drop(/*gone=*/false); });
  WaitForBytes();
}

void ServerConnection::Drop(bool gone) {
  if (ended_) {
    return;
  }
  ended_ = true;
  auto self = shared_from_this();
  timer_.Cancel();
  socket_->Close();
  auto fn = std::move(on_gone_);
  on_gone_ = nullptr;
  if (gone && fn) {
    fn();
  }
  on_ended_(this);
}

}  // namespace basilvalve::net
