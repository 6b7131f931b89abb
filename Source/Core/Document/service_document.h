// Service document: the configuration that a service team writes for its
// service.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::document {

/// Kind of upstream that serves the calls.
enum class UpstreamKind { kModel, kService };

/// A caller's bearer key. Only its hash is stored.
struct CallerKey {
  std::string label;
  /// Lower-case hexadecimal SHA-256 of the bearer key.
  std::string sha256;
};

/// Declares whether calls with this method and path are idempotent. A path that
/// ends in '*' matches every path with that prefix.
struct CallRule {
  std::string method;
  std::string path;
  bool idempotent = false;
};

/// Latency targets of the service.
struct LatencyTargets {
  Millis first_token{1800};
  Millis between_tokens{31};
  Millis deadline{30000};
};

/// Limits on the calls of the service.
struct ServiceLimits {
  /// In-flight calls per instance; with 0 only the fair share of the workspace
  /// limits them.
  int64_t max_concurrent_calls = 0;
  int64_t max_body_bytes = 1 << 20;
};

/// A parsed and validated service document. Immutable once shared, hence thread
/// safe.
struct ServiceDocument {
  ServiceName name;
  WorkspaceId workspace;
  std::vector<CallerKey> keys;
  UpstreamKind upstream = UpstreamKind::kModel;
  std::vector<RegionId> permitted_regions;
  RegionId home_region;
  std::vector<ModelName> models;
  std::vector<CallRule> call_rules;
  LatencyTargets targets;
  ServiceLimits limits;
  /// Scheduling priority from 0 (lowest) to 9 (highest).
  int64_t priority = 5;

  /// Whether the service's data may be sent to the region. Thread safe.
  bool Permits(const RegionId& region) const;
  /// Whether the document lists the model. Thread safe.
  bool AllowsModel(const ModelName& model) const;
  /// Whether a call is safe to retry; decided by the first rule that matches.
  /// Without one, model calls count as idempotent and other calls do not.
  /// Thread safe.
  bool IsIdempotent(std::string_view method, std::string_view path) const;
  /// Label of the caller key that matches the bearer key, nullopt if none does;
  /// compared in constant time. Thread safe.
  std::optional<std::string> MatchKey(std::string_view bearer) const;
};

/// Parses and validates a document. Fails with kDocumentInvalid; the error
/// message starts with the path of the invalid field. Thread safe.
Result<ServiceDocument> ParseServiceDocument(std::string_view text);

/// Serializes a document in a canonical form that parses back to an equal
/// document. Thread safe.
std::string FormatServiceDocument(const ServiceDocument& document);

}  // namespace basilvalve::document
