// Test fixture: one instance with scripted upstreams and callers on loopback.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "Core/Edge/edge_node.h"
#include "Fakes/fake_dialect.h"
#include "UnitTests/Core/Net/test_server.h"

namespace basilvalve::edge {

/// An upstream whose responses are scripted by the test.
class ScriptedUpstream {
 public:
  using Script = std::function<void(const net::ServerConnection::Ptr&,
                                    const net::ServerRequest&)>;
  ScriptedUpstream(net::EventLoop* loop, std::string id, Script script,
                   const std::string& host = "127.0.0.1");

  flow::UpstreamRecord Record(const ServiceName& service) const;
  const std::vector<net::ServerRequest>& requests() const { return requests_; }
  /// Ends the upstream like a crash of its process, once the current callback
  /// has returned.
  void Crash();
  bool has_crashed() const { return has_crashed_; }
  /// Number of connections closed by the client during a request.
  int disconnects() const { return disconnects_; }
  /// A complete response to a request.
  static std::string Response(const net::ServerRequest& request, int status,
                              const std::string& body,
                              const std::string& extra = "");
  /// Head of an event stream response.
  static std::string StreamHead(const net::ServerRequest& request);
  static std::string Chunk(const std::string& data);

 private:
  net::EventLoop* loop_;
  std::string id_;
  Script script_;
  bool has_crashed_ = false;
  std::vector<net::ServerRequest> requests_;
  int disconnects_ = 0;
  net::TestServer server_;
};

/// A caller that sends and receives raw bytes.
class RawCaller {
 public:
  RawCaller(net::EventLoop* loop, const net::Endpoint& to);
  void Send(const std::string& bytes);
  void Close();
  const std::string& text() const { return text_; }
  bool closed() const { return closed_; }

 private:
  void Wait();

  net::EventLoop* loop_;
  std::unique_ptr<net::Socket> socket_;
  std::string unsent_;
  std::string text_;
  bool connected_ = false;
  bool closed_ = false;
};

/// An instance with scripted upstreams. Routes: /once/ is non-idempotent,
/// /again/ idempotent, /stream/ a resumable stream, /single/ a stream that is
/// not resumable.
class EdgeFixture {
 public:
  explicit EdgeFixture(
      const std::string& region = "north",
      net::TimeSource time = net::TimeSource::kSystem,
      const flow::FleetRetryBudgetSettings& retries = {0.2, 50, Seconds(10)},
      double hedge_share = 0);

  ScriptedUpstream& AddUpstream(const std::string& id,
                                ScriptedUpstream::Script script);
  void ApplyDesiredState(uint64_t version = 1, Millis timeout = Millis(2000));
  std::unique_ptr<RawCaller> Call(const std::string& text);
  static std::string Request(const std::string& path, const std::string& id,
                             const std::string& body = "",
                             const std::string& extra = "");
  bool RunUntil(const std::function<bool()>& done);
  /// Adds an instance of another region on the same loop, to which this one
  /// forwards calls.
  std::unique_ptr<EdgeNode> AddPeerInstance(const std::string& id,
                                            const std::string& region);
  /// Runs the loop for a time.
  void RunFor(Millis time);

  net::EventLoop loop;
  FakeDialect dialect;
  std::unique_ptr<EdgeNode> node;
  std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
};

}  // namespace basilvalve::edge
