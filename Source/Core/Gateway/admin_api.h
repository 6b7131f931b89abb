// HTTP API for operators and monitoring.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "Core/Gateway/document_sync.h"
#include "Core/Gateway/entry_advisor.h"
#include "Core/Gateway/explainer.h"
#include "Core/Http/http_server.h"

namespace basilvalve::gateway {

/// Handles requests on the admin address. Thread safe.
class AdminApi : public http::Handler {
 public:
  /// `begin_drain` starts a graceful stop. Pre: the pointers outlive the
  /// object.
  AdminApi(const NodeParts* parts, DocumentSync* document_sync,
           const EntryAdvisor* advisor, Explainer* explainer,
           std::function<void()> begin_drain);

  void Handle(http::Exchange* exchange) override;

 private:
  using Method = void (AdminApi::*)(http::Exchange*,
                                    const std::string& path_suffix);

  /// One row of the routing table. A path ending in '/' matches all longer
  /// paths with that prefix; the handler gets the remainder as `path_suffix`.
  struct Route {
    const char* method;
    const char* path;
    Method handle;
    /// Set for methods that change state.
    bool requires_admin_key;
  };

  static const std::vector<Route>& Routes();

  void GetHealth(http::Exchange* exchange, const std::string& path_suffix);
  void GetReady(http::Exchange* exchange, const std::string& path_suffix);
  void GetMetrics(http::Exchange* exchange, const std::string& path_suffix);
  void GetStatus(http::Exchange* exchange, const std::string& path_suffix);
  void GetDocuments(http::Exchange* exchange, const std::string& path_suffix);
  void GetDocument(http::Exchange* exchange, const std::string& path_suffix);
  void PutDocument(http::Exchange* exchange, const std::string& path_suffix);
  void GetHistory(http::Exchange* exchange, const std::string& path_suffix);
  void PostValidate(http::Exchange* exchange, const std::string& path_suffix);
  void GetExplain(http::Exchange* exchange, const std::string& path_suffix);
  void GetEntries(http::Exchange* exchange, const std::string& path_suffix);
  void PostDrain(http::Exchange* exchange, const std::string& path_suffix);
  bool IsAuthorised(const http::Request& request) const;

  const NodeParts* parts_;
  DocumentSync* document_sync_;
  const EntryAdvisor* advisor_;
  Explainer* explainer_;
  std::function<void()> begin_drain_;
};

}  // namespace basilvalve::gateway
