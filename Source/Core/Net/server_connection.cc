#include "Core/Net/server_connection.h"

#include <algorithm>

namespace basilvalve::net {
namespace {

// Stops reading at this many buffered bytes of pipelined requests; the rest
// waits in the kernel's receive buffer.
constexpr size_t kMaxPipelinedBytes = size_t{32} * 1024;
// The producer of a response pauses above this much unwritten data.
constexpr size_t kWriteBufferHighWatermark = size_t{128} * 1024;
// How long the peer may take to close after us: a round trip between regions
// with one lost packet.
constexpr Millis kLingerTimeout{1000};
// A peer that sends more than this after the last response is cut off.
constexpr size_t kMaxLingerBytes = size_t{256} * 1024;
// Larger bodies of a stated length get their memory at once, as a string that
// grows is copied into one of twice the size.
constexpr size_t kMinReservedBody = size_t{128} * 1024;
// How long a connection that closes waits for a request behind its response.
constexpr Millis kClosingIdleTime{100};

}  // namespace

ServerConnection::ServerConnection(EventLoop* loop,
                                   std::unique_ptr<Socket> socket,
                                   ServerLimits limits,
                                   RequestHandler on_request,
                                   ClosedFn on_closed, MemoryBudget::Ptr memory,
                                   MemoryUse request_use)
    : loop_(loop),
      socket_(std::move(socket)),
      limits_(limits),
      on_request_(std::move(on_request)),
      on_closed_(std::move(on_closed)),
      parser_(MessageParser::Kind::kRequest, limits.header_bytes,
              limits.body_bytes),
      timer_(loop),
      memory_(std::move(memory)),
      request_use_(request_use),
      request_memory_(memory_, request_use),
      response_memory_(memory_),
      idle_since_(loop->Now()) {}

ServerConnection::~ServerConnection() = default;

void ServerConnection::Start() {
  StartIdleTimer();
  WaitForBytes();
}

void ServerConnection::StartIdleTimer() {
  idle_since_ = loop_->Now();
  // A caller that was promised the connection may send its next request while
  // it learns of the close.
  Millis time = close_when_idle_
                    ? std::min(kClosingIdleTime, limits_.idle_timeout)
                    : limits_.idle_timeout;
  timer_.Set(time, [this] {
    if (IsIdle()) {
      CloseIdle();
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
  if (terminated_) {
    return;
  }
  auto buf = loop_->scratch();
  IoResult got = socket_->Read(buf);
  if (got.status == IoStatus::kBlocked) {
    WaitForBytes();
    return;
  }
  if (got.status != IoStatus::kDone) {
    Terminate(/*peer_disconnected=*/true);
    return;
  }
  if (half_closed_ || close_after_write_) {
    // Discards input after our last response: closing the socket with unread
    // data would reset the connection.
    discarded_bytes_ += got.bytes;
    lingered_bytes_ += got.bytes;
    if (lingered_bytes_ <= kMaxLingerBytes) {
      WaitForBytes();
    } else if (half_closed_) {
      Terminate(/*peer_disconnected=*/false);
    }
    return;
  }
  if (!AcceptsRequest()) {
    // Bounded by kMaxPipelinedBytes and one read.
    unparsed_.append(buf.data(), got.bytes);
    if (!request_memory_.TryResize(request_memory_.bytes() + got.bytes)) {
      Disconnect();
      return;
    }
  } else {
    Consume(std::string_view(buf.data(), got.bytes));
  }
  if (!terminated_ &&
      (AcceptsRequest() || unparsed_.size() < kMaxPipelinedBytes)) {
    WaitForBytes();
  }
}

void ServerConnection::Consume(std::string_view bytes) {
  unparsed_.append(bytes);
  ParsePending();
}

void ServerConnection::ParsePending() {
  auto self = shared_from_this();
  while (AcceptsRequest() && !terminated_ && !half_closed_ &&
         !close_after_write_ && !unparsed_.empty()) {
    if (!parsing_) {
      parsing_ = true;
      request_began_ = loop_->Now();
      timer_.Set(limits_.header_timeout,
                 [this] { SendErrorResponse(408, "Request Timeout"); });
    }
    size_t used = parser_.Feed(unparsed_);
    unparsed_.erase(0, used);
    switch (parser_.parse_error()) {
      case ParseError::kNone:
        break;
      case ParseError::kMalformed:
        SendErrorResponse(400, "Bad Request");
        return;
      case ParseError::kHeaderTooLarge:
        SendErrorResponse(431, "Request Header Fields Too Large");
        return;
      case ParseError::kBodyTooLarge:
        if (limits_.deliver_oversized) {
          DeliverRequest(/*body_too_large=*/true);
        } else {
          SendErrorResponse(413, "Content Too Large");
        }
        return;
    }
    if (!parser_.has_head()) {
      if (unparsed_.size() > limits_.header_bytes) {
        SendErrorResponse(431, "Request Header Fields Too Large");
        return;
      }
      last_read_ = loop_->Now();
      ReserveRequest(1);
      return;
    }
    if (!head_parsed_) {
      OnHead();
    }
    body_ += parser_.TakeBody();
    if (!parser_.is_done()) {
      // A chunk's size line is parsed once it is complete.
      if (used == 0 && unparsed_.size() > limits_.header_bytes) {
        SendErrorResponse(400, "Bad Request");
        return;
      }
      last_read_ = loop_->Now();
      ReserveRequest(1);
      return;
    }
    if (!ReserveRequest(limits_.body_copies)) {
      return;
    }
    DeliverRequest(/*body_too_large=*/false);
  }
  if (unparsed_.empty()) {
    unparsed_.shrink_to_fit();
  }
}

bool ServerConnection::ReserveRequest(size_t body_copies) {
  bool fits = request_memory_.TryResize(unparsed_.size() + head_bytes_ +
                                        body_copies * body_.size());
  if (close_after_write_ || terminated_) {
    // To make room, the owner has evicted this request.
    request_memory_.Release();
    return false;
  }
  if (!fits) {
    EvictRequest(503);
  }
  return fits;
}

void ServerConnection::DropRequest() {
  parsing_ = false;
  head_parsed_ = false;
  std::string().swap(unparsed_);
  std::string().swap(body_);
  head_bytes_ = 0;
  parser_.Reset();
  request_memory_.Release();
}

MemoryReservation ServerConnection::TakeRequestMemory() {
  return std::exchange(request_memory_,
                       MemoryReservation(memory_, request_use_));
}

UnfinishedRequest ServerConnection::unfinished_request() const {
  if (!parsing_ || terminated_ || half_closed_ || close_after_write_) {
    return {};
  }
  return {request_memory_.bytes(), request_began_, last_read_};
}

UnwrittenResponse ServerConnection::unwritten_response() const {
  if (terminated_) {
    return {};
  }
  return {response_memory_.bytes(), last_written_};
}

void ServerConnection::EvictRequest(int status) {
  if (parsing_) {
    SendErrorResponse(
        status, status == 408 ? "Request Timeout" : "Service Unavailable");
  }
}

void ServerConnection::DeliverRequest(bool body_too_large) {
  handling_ = true;
  timer_.Cancel();
  ServerRequest request{std::move(parser_.head()), std::move(body_),
                        loop_->Now(), body_too_large};
  body_.clear();
  head_bytes_ = 0;
  parser_.Reset();
  parsing_ = false;
  head_parsed_ = false;
  if (body_too_large) {
    // The rest of the body follows and cannot be distinguished from a later
    // request.
    std::string().swap(request.body);
    close_when_idle_ = true;
  }
  on_request_(shared_from_this(), std::move(request));
}

void ServerConnection::OnHead() {
  head_parsed_ = true;
  // The body may take as long as an idle connection may stay open.
  timer_.Set(limits_.idle_timeout,
             [this] { SendErrorResponse(408, "Request Timeout"); });
  const MessageHead& head = parser_.head();
  head_bytes_ = head.target.size();
  for (const HeaderField& field : head.fields) {
    head_bytes_ += sizeof(HeaderField) + field.name.size() + field.value.size();
  }
  if (head.content_length && *head.content_length > kMinReservedBody) {
    body_.reserve(*head.content_length);
  }
  const std::string* expect = parser_.head().Find("Expect");
  if (expect != nullptr && EqualsIgnoringCase(*expect, "100-continue")) {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void ServerConnection::SendErrorResponse(int status, std::string_view reason) {
  if (terminated_ || half_closed_) {
    return;
  }
  std::string response = "HTTP/1.1 " + std::to_string(status) + " ";
  response.append(reason).append("\r\nContent-Length: 0\r\n");
  if (status == 503) {
    response.append("Retry-After: 1\r\n");
  }
  response.append("Connection: close\r\n\r\n");
  DropRequest();
  Write(response);
  EndResponse(/*keep_alive=*/false);
}

void ServerConnection::Write(std::string_view bytes) {
  if (terminated_ || is_broken_ || bytes.empty()) {
    return;
  }
  write_buffer_.Append(bytes);
  FlushAppended();
}

void ServerConnection::WriteOwned(std::string bytes) {
  if (terminated_ || is_broken_ || bytes.empty()) {
    return;
  }
  write_buffer_.AppendOwned(std::move(bytes));
  FlushAppended();
}

void ServerConnection::FlushAppended() {
  if (!waiting_writable_) {
    Flush();
  }
  if (!response_memory_.TryResize(write_buffer_.memory())) {
    // The response can no longer be completed.
    is_broken_ = true;
    dropped_bytes_ = write_buffer_.size();
    write_buffer_.Clear();
    response_memory_.Release();
    PostTerminate();
  }
}

void ServerConnection::Flush() {
  uint64_t written = write_buffer_.total_written();
  IoStatus status = write_buffer_.WriteTo(socket_.get());
  if (status == IoStatus::kBlocked) {
    if (written != write_buffer_.total_written() ||
        response_memory_.bytes() == 0) {
      last_written_ = loop_->Now();
    }
    waiting_writable_ = true;
    socket_->WaitWritable([weak = weak_from_this()] {
      if (auto self = weak.lock()) {
        self->waiting_writable_ = false;
        self->Flush();
        self->ShrinkResponseMemory();
      }
    });
  } else if (status != IoStatus::kDone) {
    // Posted, because the code that called Write is still running.
    PostTerminate();
    return;
  }
  OnWritten();
}

void ServerConnection::ShrinkResponseMemory() {
  if (write_buffer_.memory() < response_memory_.bytes()) {
    // A smaller size always fits.
    [[maybe_unused]] bool fits =
        response_memory_.TryResize(write_buffer_.memory());
  }
}

void ServerConnection::PostTerminate() {
  loop_->Post([weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->Terminate(/*peer_disconnected=*/true);
    }
  });
}

void ServerConnection::OnWritten() {
  if (on_writable_ && write_buffer_.size() < kWriteBufferHighWatermark / 2) {
    auto fn = std::move(on_writable_);
    on_writable_ = nullptr;
    fn();
  }
  if (!busy() && !close_after_write_ && !unparsed_.empty() &&
      write_buffer_.size() < kWriteBufferHighWatermark / 2) {
    PostParsePending();
  }
  if (!write_buffer_.empty() || half_closed_) {
    return;
  }
  if (close_after_write_) {
    CloseGracefully();
  } else if (IsIdle()) {
    StartIdleTimer();
  }
}

LostBytes ServerConnection::lost_bytes() const {
  return {write_buffer_.size() + dropped_bytes_, discarded_bytes_};
}

bool ServerConnection::HasPeerClosed() {
  while (!terminated_ && unparsed_.size() < kMaxPipelinedBytes) {
    auto buf = loop_->scratch();
    IoResult got = socket_->Read(buf);
    if (got.status != IoStatus::kDone) {
      return got.status != IoStatus::kBlocked;
    }
    unparsed_.append(buf.data(), got.bytes);
  }
  return terminated_;
}

bool ServerConnection::is_write_buffer_full() const {
  return write_buffer_.size() > kWriteBufferHighWatermark;
}

void ServerConnection::EndResponse(bool keep_alive) {
  on_disconnect_ = nullptr;
  on_writable_ = nullptr;
  if (std::exchange(handling_, false)) {
    // What is left is pipelined input.
    [[maybe_unused]] bool fits = request_memory_.TryResize(
        std::min(request_memory_.bytes(), unparsed_.size()));
  }
  if (terminated_ || is_broken_) {
    return;
  }
  if (!keep_alive) {
    close_after_write_ = true;
    if (write_buffer_.empty()) {
      CloseGracefully();
    }
    return;
  }
  StartIdleTimer();
  if (!unparsed_.empty()) {
    PostParsePending();
  }
}

void ServerConnection::PostParsePending() {
  loop_->Post([weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->ParsePending();
      if (!self->terminated_) {
        self->WaitForBytes();
      }
    }
  });
}

void ServerConnection::Abort() {
  on_disconnect_ = nullptr;
  on_writable_ = nullptr;
  close_after_write_ = true;
  if (!terminated_ && !is_broken_ && !half_closed_ && write_buffer_.empty()) {
    CloseGracefully();
  }
}

void ServerConnection::CloseWhenIdle() {
  close_when_idle_ = true;
  if (IsIdle()) {
    CloseIdle();
  }
}

void ServerConnection::SetLimits(const ServerLimits& limits) {
  limits_ = limits;
  parser_.SetLimits(limits.header_bytes, limits.body_bytes);
  if (IsIdle()) {
    StartIdleTimer();
  }
}

void ServerConnection::CloseIdle() {
  auto self = shared_from_this();
  close_when_idle_ = true;
  auto buf = loop_->scratch();
  IoResult got = socket_->Read(buf);
  if (got.status == IoStatus::kDone) {
    Consume(std::string_view(buf.data(), got.bytes));
    return;
  }
  // A request that crosses the close stays unread, so that its caller sees a
  // reset and may send it elsewhere.
  socket_->ShutdownWrite();
  Terminate(/*peer_disconnected=*/false);
}

void ServerConnection::CloseGracefully() {
  if (half_closed_) {
    return;
  }
  half_closed_ = true;
  handling_ = false;
  discarded_bytes_ += unparsed_.size();
  DropRequest();
  socket_->ShutdownWrite();
  timer_.Set(kLingerTimeout,
             [this] { Terminate(/*peer_disconnected=*/false); });
  WaitForBytes();
}

void ServerConnection::Terminate(bool peer_disconnected) {
  if (terminated_) {
    return;
  }
  terminated_ = true;
  closed_by_peer_ = peer_disconnected && !half_closed_;
  auto self = shared_from_this();
  timer_.Cancel();
  socket_->Close();
  auto fn = std::move(on_disconnect_);
  on_disconnect_ = nullptr;
  if (peer_disconnected && fn) {
    fn();
  }
  on_closed_(this);
  // Calls in flight may keep the connection for some time.
  DropRequest();
  write_buffer_.Clear();
  response_memory_.Release();
}

}  // namespace basilvalve::net
