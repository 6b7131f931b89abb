// Test fixture: two regions of real instances in one process, with fake
// upstreams and a fake platform.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Core/Gateway/node.h"
#include "Core/Http/http_client.h"
#include "Fakes/fake_engine.h"
#include "Fakes/fake_platform.h"
#include "Fakes/fake_service.h"
#include "Fakes/memory_store.h"

namespace basilvalve::gateway {

/// API key that the test documents accept.
inline constexpr const char* kTestKey = "till-key";

/// Regions "munich" (instances m1, m2; model upstreams, called engines, em1 and
/// em2; the payment service) and "nuremberg" (n1; engine en1). Waits poll for a
/// condition instead of sleeping for a fixed time.
class TestFleet {
 public:
  TestFleet();
  ~TestFleet();

  /// Starts an instance and adds it to the instance list.
  void StartNode(const std::string& name, const std::string& region);
  /// Stops an instance without draining.
  void StopNode(const std::string& name) { nodes.erase(name); }
  /// Closes an upstream's server without draining, like a killed process.
  void StopUpstream(const std::string& name) { servers_.erase(name); }
  /// Waits until every instance has `version` or a later one of the document of
  /// `service`.
  void AwaitDocument(const std::string& service, uint64_t version);
  /// Polls `condition` until it holds, without a timeout.
  static void Await(const std::function<bool()>& condition);
  /// Applies a document through an instance's admin API; `base` is the version
  /// that it replaces, `change` the change id.
  http::BufferedResponse Apply(const std::string& node,
                               const std::string& document, uint64_t base,
                               const std::string& change);
  /// Sends a caller's request, with the test key unless `headers` has an
  /// Authorization header.
  http::BufferedResponse Send(const std::string& node,
                              const std::string& method,
                              const std::string& path, const std::string& query,
                              http::Headers headers, const std::string& body);
  /// Sends a request to an instance's admin API, without an admin key.
  http::BufferedResponse Admin(const std::string& node,
                               const std::string& method,
                               const std::string& path,
                               const std::string& query,
                               const std::string& body);
  /// Requests a ticket for the payment service from an instance.
  std::string Ticket(const std::string& node);
  /// Returns the body of a chat completion request for `tokens` tokens.
  static std::string ModelBody(bool stream, int tokens);

  fakes::MemoryStore store;
  fakes::FakeInstanceList list;
  fakes::FakeClientDirectory directory;
  std::map<std::string, std::unique_ptr<fakes::FakeEngine>> engines;
  fakes::FakeService service{Millis(1)};
  std::map<std::string, std::unique_ptr<Node>> nodes;

 private:
  void StartUpstream(const std::string& name, const std::string& region,
                     http::Handler* handler, bool is_model);
  void Publish();

  std::vector<platform::ListedInstance> listed_;
  std::map<std::string, std::unique_ptr<http::Server>> servers_;
};

/// Documents of the two test services; `permitted` is the JSON array of
/// permitted regions.
std::string ReportsDocument(const std::string& permitted);
std::string PaymentsDocument(const std::string& permitted);

}  // namespace basilvalve::gateway
