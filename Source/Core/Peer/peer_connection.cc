#include "Core/Peer/peer_connection.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <vector>

namespace basilvalve::peer {
namespace {

constexpr size_t kReadBufferBytes = 65536;
// The connection's flow-control window exceeds the sum of its streams' windows,
// so that a slow reader of one stream cannot block the others.
constexpr int32_t kConnectionWindowBytes = 1 << 30;
constexpr std::string_view kStatusHeader = ":status";
constexpr std::string_view kContinueStatus = "100";
constexpr std::string_view kOkStatus = "200";
constexpr std::string_view kRefusedStatus = "503";

nghttp2_nv MakeHeaderField(std::string_view name, std::string_view value) {
  return {const_cast<uint8_t*>(reinterpret_cast<const uint8_t*>(name.data())),
          const_cast<uint8_t*>(reinterpret_cast<const uint8_t*>(value.data())),
          name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

std::unique_ptr<Connection> Connection::Create(int fd, bool is_server,
                                               bool connected,
                                               const PeerSettings& settings,
                                               Instant now,
                                               OnRequest on_request) {
  std::unique_ptr<Connection> connection(new Connection(
      fd, is_server, connected, settings, now, std::move(on_request)));
  if (!connection->Init()) {
    return nullptr;
  }
  return connection;
}

Connection::Connection(int fd, bool is_server, bool connected,
                       const PeerSettings& settings, Instant now,
                       OnRequest on_request)
    : fd_(fd),
      is_server_(is_server),
      connected_(connected),
      settings_(settings),
      on_request_(std::move(on_request)),
      last_received_(now),
      last_active_(now),
      last_ping_(now) {}

Connection::~Connection() {
  Close();
  nghttp2_session_del(session_);
  ::close(fd_);
}

bool Connection::Init() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_option* option = nullptr;
  if (nghttp2_session_callbacks_new(&callbacks) != 0) {
    return false;
  }
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                          &OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, &OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &OnFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         &OnStreamClose);
  nghttp2_option_new(&option);
  // MarkConsumed reopens the window of a stream once the reader has taken the
  // bytes.
  nghttp2_option_set_no_auto_window_update(option, 1);
  int rc =
      is_server_
          ? nghttp2_session_server_new2(&session_, callbacks, this, option)
          : nghttp2_session_client_new2(&session_, callbacks, this, option);
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  if (rc != 0) {
    return false;
  }
  std::array<nghttp2_settings_entry, 2> entries = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, settings_.max_streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
       static_cast<uint32_t>(settings_.stream_window_bytes)},
  }};
  rc = nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, entries.data(),
                               entries.size());
  rc |= nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                              kConnectionWindowBytes);
  return rc == 0;
}

StreamPtr Connection::FindStream(int32_t id) {
  auto it = streams_.find(id);
  return it == streams_.end() ? nullptr : it->second;
}

bool Connection::WantsWrite() const {
  return !connected_ || !unsent_.empty() ||
         nghttp2_session_want_write(session_) != 0;
}

StreamPtr Connection::StartRequest(const SignedText& header, Instant now) {
  if (dead_) {
    return nullptr;
  }
  if (streams_.empty()) {
    // No heartbeats are sent without streams, so earlier silence is no sign of
    // a lost connection.
    last_received_ = now;
  }
  last_active_ = now;
  auto stream = std::make_shared<StreamState>();
  std::array<nghttp2_nv, 6> fields = {MakeHeaderField(":method", "POST"),
                                      MakeHeaderField(":scheme", "http"),
                                      MakeHeaderField(":path", "/peer"),
                                      MakeHeaderField(":authority", "p"),
                                      MakeHeaderField("bv-header", header.text),
                                      MakeHeaderField("bv-mac", header.mac)};
  nghttp2_data_provider provider{{.ptr = stream.get()}, &ReadOutbound};
  int32_t id = nghttp2_submit_request(session_, nullptr, fields.data(),
                                      fields.size(), &provider, nullptr);
  if (id < 0) {
    return nullptr;
  }
  stream->id = id;
  stream->connection = this;
  streams_[id] = stream;
  return stream;
}

void Connection::SendContinue(const StreamPtr& stream) {
  nghttp2_nv status = MakeHeaderField(kStatusHeader, kContinueStatus);
  nghttp2_submit_headers(session_, NGHTTP2_FLAG_NONE, stream->id, nullptr,
                         &status, 1, nullptr);
}

void Connection::SendResponseHead(const StreamPtr& stream,
                                  const std::string& head) {
  std::array<nghttp2_nv, 2> fields = {MakeHeaderField(kStatusHeader, kOkStatus),
                                      MakeHeaderField("bv-head", head)};
  nghttp2_data_provider provider{{.ptr = stream.get()}, &ReadOutbound};
  nghttp2_submit_response(session_, stream->id, fields.data(), fields.size(),
                          &provider);
}

void Connection::SendRefusal(const StreamPtr& stream, const SignedText& end) {
  std::array<nghttp2_nv, 3> fields = {
      MakeHeaderField(kStatusHeader, kRefusedStatus),
      MakeHeaderField("bv-end", end.text),
      MakeHeaderField("bv-end-mac", end.mac)};
  nghttp2_submit_response(session_, stream->id, fields.data(), fields.size(),
                          nullptr);
}

void Connection::ResumeOutbound(const StreamPtr& stream) {
  if (stream->deferred) {
    stream->deferred = false;
    nghttp2_session_resume_data(session_, stream->id);
  }
}

void Connection::MarkConsumed(const StreamPtr& stream, size_t bytes) {
  nghttp2_session_consume_stream(session_, stream->id, bytes);
}

void Connection::Reset(const StreamPtr& stream, uint32_t error) {
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream->id, error);
}

void Connection::OnReadable(Instant now) {
  std::vector<uint8_t> buf(kReadBufferBytes);
  while (!dead_) {
    ssize_t n = ::recv(fd_, buf.data(), buf.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      return;
    }
    if (n <= 0) {
      Close();
      return;
    }
    last_received_ = now;
    if (nghttp2_session_mem_recv(session_, buf.data(), static_cast<size_t>(n)) <
        0) {
      Close();
      return;
    }
    if (static_cast<size_t>(n) < buf.size()) {
      return;
    }
  }
}

void Connection::OnWritable() {
  connected_ = true;
  while (!dead_) {
    if (unsent_.empty()) {
      const uint8_t* data = nullptr;
      ssize_t n = nghttp2_session_mem_send(session_, &data);
      if (n < 0) {
        Close();
        return;
      }
      if (n == 0) {
        break;
      }
      unsent_.assign(reinterpret_cast<const char*>(data),
                     static_cast<size_t>(n));
    }
    ssize_t n = ::send(fd_, unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
    if (n < 0) {
      if (errno != EAGAIN && errno != EINTR) {
        Close();
      }
      return;
    }
    unsent_.erase(0, static_cast<size_t>(n));
  }
  bool finished = nghttp2_session_want_read(session_) == 0 &&
                  nghttp2_session_want_write(session_) == 0;
  if (finished) {
    Close();
  }
}

void Connection::OnTick(Instant now) {
  if (dead_) {
    return;
  }
  if (streams_.empty()) {
    if (now - last_active_ > settings_.idle_timeout &&
        now - last_received_ > settings_.idle_timeout) {
      Close();
    }
    return;
  }
  last_active_ = now;
  if (now - last_received_ > settings_.silence_timeout) {
    Close();
    return;
  }
  bool silent = now - last_received_ > settings_.heartbeat_interval;
  if (silent && now - last_ping_ > settings_.heartbeat_interval) {
    last_ping_ = now;
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
  }
}

void Connection::Close() {
  dead_ = true;
  for (auto& [id, stream] : streams_) {
    stream->connection = nullptr;
    stream->closed = true;
    stream->reset = true;
    stream->changed.notify_all();
  }
  streams_.clear();
}

int Connection::OnBeginHeaders(nghttp2_session* /*session*/,
                               const nghttp2_frame* frame, void* self) {
  auto* connection = static_cast<Connection*>(self);
  bool is_request = frame->hd.type == NGHTTP2_HEADERS &&
                    frame->headers.cat == NGHTTP2_HCAT_REQUEST;
  if (is_request) {
    auto stream = std::make_shared<StreamState>();
    stream->id = frame->hd.stream_id;
    stream->connection = connection;
    connection->streams_[stream->id] = stream;
  }
  return 0;
}

int Connection::OnHeader(nghttp2_session* /*session*/,
                         const nghttp2_frame* frame, const uint8_t* name,
                         size_t name_bytes, const uint8_t* value,
                         size_t value_bytes, uint8_t /*flags*/, void* self) {
  StreamPtr stream =
      static_cast<Connection*>(self)->FindStream(frame->hd.stream_id);
  if (stream == nullptr) {
    return 0;
  }
  std::string key(reinterpret_cast<const char*>(name), name_bytes);
  std::string text(reinterpret_cast<const char*>(value), value_bytes);
  if (key == kStatusHeader) {
    stream->status = std::move(text);
  } else {
    stream->headers[key] = std::move(text);
  }
  return 0;
}

void Connection::OnHeadersComplete(const StreamPtr& stream, bool end_stream) {
  if (is_server_) {
    on_request_(stream);
  } else if (stream->status == kContinueStatus && !stream->head_received) {
    stream->continue_received = true;
  } else if (!stream->head_received) {
    stream->head_received = true;
  }
  if (end_stream) {
    stream->trailers_received = stream->headers.contains("bv-end");
  }
}

int Connection::OnFrame(nghttp2_session* session, const nghttp2_frame* frame,
                        void* self) {
  auto* connection = static_cast<Connection*>(self);
  StreamPtr stream = connection->FindStream(frame->hd.stream_id);
  if (stream == nullptr) {
    return 0;
  }
  bool end_stream = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  if (frame->hd.type == NGHTTP2_HEADERS) {
    connection->OnHeadersComplete(stream, end_stream);
  }
  if (end_stream &&
      (frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA)) {
    stream->remote_closed = true;
    bool body_unsent = !connection->is_server_ && stream->outbound_open;
    if (body_unsent) {
      // The server ended the response before the client queued its body. The
      // body is not needed, so the request side is closed too.
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream->id,
                                NGHTTP2_NO_ERROR);
    }
  }
  stream->changed.notify_all();
  return 0;
}

int Connection::OnData(nghttp2_session* session, uint8_t /*flags*/, int32_t id,
                       const uint8_t* data, size_t bytes, void* self) {
  nghttp2_session_consume_connection(session, bytes);
  StreamPtr stream = static_cast<Connection*>(self)->FindStream(id);
  if (stream == nullptr) {
    nghttp2_session_consume_stream(session, id, bytes);
    return 0;
  }
  stream->inbound.emplace_back(reinterpret_cast<const char*>(data), bytes);
  stream->changed.notify_all();
  return 0;
}

int Connection::OnStreamClose(nghttp2_session* /*session*/, int32_t id,
                              uint32_t error, void* self) {
  auto* connection = static_cast<Connection*>(self);
  StreamPtr stream = connection->FindStream(id);
  if (stream == nullptr) {
    return 0;
  }
  stream->connection = nullptr;
  stream->closed = true;
  stream->reset = error != NGHTTP2_NO_ERROR;
  stream->changed.notify_all();
  connection->streams_.erase(id);
  return 0;
}

ssize_t Connection::ReadOutbound(nghttp2_session* session, int32_t id,
                                 uint8_t* buf, size_t bytes, uint32_t* flags,
                                 nghttp2_data_source* source, void* /*self*/) {
  auto* stream = static_cast<StreamState*>(source->ptr);
  if (stream->outbound.empty() && stream->outbound_open) {
    stream->deferred = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  size_t n = std::min(bytes, stream->outbound.size());
  std::copy_n(stream->outbound.data(), n, reinterpret_cast<char*>(buf));
  stream->outbound.erase(0, n);
  if (stream->outbound.empty() && !stream->outbound_open) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
    if (!stream->end.text.empty()) {
      *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
      std::array<nghttp2_nv, 2> fields = {
          MakeHeaderField("bv-end", stream->end.text),
          MakeHeaderField("bv-end-mac", stream->end.mac)};
      nghttp2_submit_trailer(session, id, fields.data(), fields.size());
    }
  }
  stream->changed.notify_all();
  return static_cast<ssize_t>(n);
}

}  // namespace basilvalve::peer
