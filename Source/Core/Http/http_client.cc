#include "Core/Http/http_client.h"

#include <algorithm>

#include "Core/Net/client_connection.h"

namespace basilvalve::http {
namespace {

// Bounds the delay until a cancellation is noticed while no byte arrives.
constexpr Millis kCancelPollInterval{50};

std::string Serialize(const Endpoint& endpoint, const Request& request) {
  std::string text = request.method + " " + request.path;
  if (!request.query.empty()) {
    text += "?" + request.query;
  }
  text += " HTTP/1.1\r\nHost: " + endpoint.Text() + "\r\n";
  for (const Header& it : request.headers) {
    text += it.name + ": " + it.value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(request.body.size()) +
          "\r\nConnection: close\r\n\r\n";
  text.reserve(text.size() + request.body.size());
  return text.append(request.body);
}

/// Passes one response to its sink and records how the call ended.
class ClientCall : public net::ClientObserver {
 public:
  ClientCall(const net::EventLoop* loop, ResponseSink* sink)
      : loop_(loop), sink_(sink), last_arrival_(loop->Now()) {}

  bool OnHead(const net::MessageHead& head) override {
    last_arrival_ = loop_->Now();
    report.head_received = true;
    report.length_verified = head.content_length.has_value() || head.chunked;
    if (!sink_->OnHead({head.status, head.fields})) {
      Finish(CallEnd::kCancelled);
    }
    return true;
  }

  void OnBody(std::string_view bytes) override {
    last_arrival_ = loop_->Now();
    if (!finished_ && !sink_->OnBody(bytes)) {
      Finish(CallEnd::kCancelled);
    }
  }

  void OnDone() override { Finish(CallEnd::kComplete); }

  void OnError(net::ClientError fault) override {
    switch (fault) {
      case net::ClientError::kConnectFailed:
        Finish(CallEnd::kNotSent, "the connection could not be established");
        return;
      case net::ClientError::kConnectionClosed:
        Finish(CallEnd::kIncomplete,
               "the connection closed before the response was complete");
        return;
      case net::ClientError::kMalformedResponse:
        Finish(CallEnd::kIncomplete, "the response is malformed");
        return;
    }
  }

  /// Records the end of the call; only the first call has an effect.
  void Finish(CallEnd end, const char* detail = "") {
    if (!finished_) {
      finished_ = true;
      report.end = end;
      report.detail = detail;
    }
  }

  bool finished() const { return finished_; }
  Instant last_arrival() const { return last_arrival_; }

  CallReport report;

 private:
  const net::EventLoop* loop_;
  ResponseSink* sink_;
  Instant last_arrival_;
  bool finished_ = false;
};

/// Runs the loop until the call has ended, timed out or been cancelled by its
/// sink.
void RunUntilFinished(net::EventLoop* loop, ClientCall* call,
                      const CallTimeouts& timeouts, ResponseSink* sink) {
  Instant deadline = loop->Now() + timeouts.total;
  while (!call->finished()) {
    Instant limit = std::min(deadline, call->last_arrival() + timeouts.idle);
    auto remaining = std::chrono::ceil<Millis>(limit - loop->Now());
    if (remaining <= Millis::zero()) {
      call->Finish(CallEnd::kTimedOut, "timed out");
    } else if (sink->Cancelled()) {
      call->Finish(CallEnd::kCancelled);
    } else {
      loop->RunUntil([call] { return call->finished(); },
                     std::min(remaining, kCancelPollInterval));
    }
  }
}

class BufferSink : public ResponseSink {
 public:
  BufferSink(BufferedResponse* response, size_t max_body)
      : response_(response), max_body_(max_body) {}

  bool OnHead(const ResponseHead& head) override {
    response_->status = head.status;
    response_->headers = head.headers;
    return true;
  }

  bool OnBody(std::string_view chunk) override {
    response_->body.append(chunk);
    return response_->body.size() <= max_body_;
  }

 private:
  BufferedResponse* response_;
  size_t max_body_;
};

}  // namespace

CallReport Execute(const Endpoint& endpoint, Request request,
                   const CallTimeouts& timeouts, ResponseSink* sink) {
  net::EventLoop loop;
  ClientCall call(&loop, sink);
  auto connection = net::ClientConnection::Open(
      &loop, endpoint, timeouts.connect, timeouts.idle);
  connection->Send(Serialize(endpoint, request), &call);
  // The call may last long.
  std::string().swap(request.body);
  RunUntilFinished(&loop, &call, timeouts, sink);
  connection->Close();
  return call.report;
}

BufferedResponse ExecuteBuffered(const Endpoint& endpoint,
                                 const Request& request,
                                 const CallTimeouts& timeouts,
                                 size_t max_body) {
  BufferedResponse response;
  BufferSink sink(&response, max_body);
  response.report = Execute(endpoint, request, timeouts, &sink);
  return response;
}

}  // namespace basilvalve::http
