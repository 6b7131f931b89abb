#include "Core/Http/http_client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/net/addrinfo.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/selector.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <istream>

namespace basilvalve::http {
namespace {

using SteadyTime = std::chrono::steady_clock;

constexpr size_t kReadBytes = 16384;
// Bound on how late a cancellation is noticed while no byte arrives.
constexpr std::chrono::milliseconds kPollSlice{50};

/// Bridges cxxtools' signals to a ResponseSink.
class ClientCall : public cxxtools::Connectable {
 public:
  ClientCall(ResponseSink* sink, cxxtools::http::Client* client) : sink_(sink) {
    cxxtools::connect(client->headerReceived, *this, &ClientCall::OnHeader);
    cxxtools::connect(client->bodyAvailable, *this,
                      &ClientCall::OnBodyAvailable);
    cxxtools::connect(client->replyFinished, *this, &ClientCall::OnFinished);
  }

  bool finished() const { return finished_; }
  bool refused() const { return refused_; }
  bool head_received() const { return head_received_; }
  SteadyTime::time_point last_arrival() const { return last_arrival_; }

  /// Whether as many bytes arrived as were announced, and whether any were.
  bool LengthMatches() const {
    return !announced_ || body_bytes_ == content_length_;
  }
  bool announced() const { return announced_; }

  void TakeHead(cxxtools::http::Client& client) {
    if (head_received_) {
      return;
    }
    head_received_ = true;
    last_arrival_ = SteadyTime::now();
    ResponseHead head;
    head.status = static_cast<int>(client.header().httpReturnCode());
    for (auto it = client.header().begin(); it != client.header().end(); ++it) {
      head.headers.push_back({it->first, it->second});
    }
    std::string_view length = FindHeader(head.headers, "Content-Length");
    bool chunked = !FindHeader(head.headers, "Transfer-Encoding").empty();
    announced_ = !length.empty() && !chunked;
    content_length_ =
        announced_ ? std::strtoull(std::string(length).c_str(), nullptr, 10)
                   : 0;
    refused_ = !sink_->OnHead(head);
  }

 private:
  void OnHeader(cxxtools::http::Client& client) { TakeHead(client); }

  size_t OnBodyAvailable(cxxtools::http::Client& client) {
    TakeHead(client);
    last_arrival_ = SteadyTime::now();
    std::array<char, kReadBytes> buf;
    size_t taken = 0;
    std::streamsize ready = client.in().rdbuf()->in_avail();
    while (ready > 0) {
      std::streamsize want = std::min<std::streamsize>(ready, kReadBytes);
      std::streamsize n = client.in().readsome(buf.data(), want);
      if (n <= 0) {
        break;
      }
      taken += static_cast<size_t>(n);
      Deliver({buf.data(), static_cast<size_t>(n)});
      ready = client.in().rdbuf()->in_avail();
    }
    return taken;
  }

  void Deliver(std::string_view piece) {
    body_bytes_ += piece.size();
    if (!refused_) {
      refused_ = !sink_->OnBody(piece);
    }
  }

  // Also signalled on failure, when the header still holds its defaults: the
  // head must not be read from it before endExecute has shown that all went
  // well.
  void OnFinished(cxxtools::http::Client& /*client*/) { finished_ = true; }

  ResponseSink* sink_;
  bool finished_ = false;
  bool refused_ = false;
  bool head_received_ = false;
  bool announced_ = false;
  uint64_t content_length_ = 0;
  uint64_t body_bytes_ = 0;
  SteadyTime::time_point last_arrival_ = SteadyTime::now();
};

/// Whether a connection can be made; the connection is closed again.
bool CanConnect(const Endpoint& endpoint, std::chrono::milliseconds timeout,
                std::string* why) {
  try {
    cxxtools::net::TcpSocket socket;
    socket.setTimeout(
        cxxtools::Milliseconds(static_cast<double>(timeout.count())));
    socket.connect(cxxtools::net::AddrInfo(endpoint.ip, endpoint.port));
    return true;
  } catch (const std::exception& ex) {
    *why = ex.what();
    return false;
  }
}

void FillRequest(const Request& from, cxxtools::http::Request* to) {
  to->method(from.method);
  // The library sends its own query parameters with some methods only; as a
  // part of the URL they are always sent.
  to->url(from.query.empty() ? from.path : from.path + "?" + from.query);
  for (const Header& it : from.headers) {
    to->addHeader(it.name.c_str(), it.value.c_str());
  }
  to->body() << from.body;
}

CallEnd EndOfFinished(const ClientCall& call, CallReport* report) {
  if (call.refused()) {
    return CallEnd::kCancelled;
  }
  report->length_verified = call.announced();
  if (!call.head_received() || !call.LengthMatches()) {
    report->detail = "answer shorter than announced";
    return CallEnd::kBroken;
  }
  return CallEnd::kComplete;
}

/// Waits for events until the call ends; returns how it ended.
CallEnd Pump(cxxtools::http::Client* client, ClientCall* waiting,
             const CallTimeouts& timeouts, ResponseSink* sink,
             CallReport* report) {
  ClientCall& call = *waiting;
  SteadyTime::time_point deadline = SteadyTime::now() + timeouts.total;
  while (!call.finished()) {
    SteadyTime::time_point limit =
        std::min(deadline, call.last_arrival() + timeouts.idle);
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        limit - SteadyTime::now());
    if (left.count() <= 0) {
      report->detail = "timed out";
      return CallEnd::kTimedOut;
    }
    if (call.refused() || sink->Cancelled()) {
      return CallEnd::kCancelled;
    }
    client->wait(cxxtools::Milliseconds(
        static_cast<double>(std::min(left, kPollSlice).count())));
  }
  client->endExecute();
  // An answer without a body skips the earlier signals.
  call.TakeHead(*client);
  return EndOfFinished(call, report);
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

  bool OnBody(std::string_view piece) override {
    response_->body.append(piece);
    return response_->body.size() <= max_body_;
  }

 private:
  BufferedResponse* response_;
  size_t max_body_;
};

}  // namespace

CallReport Execute(const Endpoint& endpoint, const Request& request,
                   const CallTimeouts& timeouts, bool prove_unsent,
                   ResponseSink* sink) {
  CallReport report;
  if (prove_unsent && !CanConnect(endpoint, timeouts.connect, &report.detail)) {
    return report;
  }
  // The library's client sends a request a second time, on a new connection,
  // when a connection that was open before the request closes without an
  // answer. Only a client that was never connected sends it once, so each call
  // makes a new one and connections are neither opened ahead nor kept.
  cxxtools::Selector selector;
  cxxtools::http::Client client(selector, endpoint.ip, endpoint.port);
  ClientCall call(sink, &client);
  try {
    cxxtools::http::Request out;
    FillRequest(request, &out);
    client.beginExecute(out);
    report.end = Pump(&client, &call, timeouts, sink, &report);
  } catch (const std::exception& ex) {
    report.detail = ex.what();
    report.end = call.refused() ? CallEnd::kCancelled : CallEnd::kBroken;
  }
  report.head_received = call.head_received();
  return report;
}

BufferedResponse ExecuteBuffered(const Endpoint& endpoint,
                                 const Request& request,
                                 const CallTimeouts& timeouts,
                                 size_t max_body) {
  BufferedResponse response;
  BufferSink sink(&response, max_body);
  response.report =
      Execute(endpoint, request, timeouts, /*prove_unsent=*/false, &sink);
  return response;
}

}  // namespace basilvalve::http
