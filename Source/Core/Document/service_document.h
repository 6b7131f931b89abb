// The document by which a service team states its contract.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::document {

/// What kind of upstream serves the service's calls.
enum class UpstreamKind { kModel, kService };

/// A caller's key, kept only as a hash.
struct CallerKey {
  std::string label;
  /// Lower-case hexadecimal SHA-256 of the bearer key.
  std::string sha256;
};

/// Declares whether a call is idempotent. A path ending in '*' matches its
/// prefix.
struct CallRule {
  std::string method;
  std::string path;
  bool idempotent = false;
};

/// How fast answers must come.
struct Targets {
  Millis first_token{1800};
  Millis between_tokens{31};
  Millis deadline{30000};
};

/// Bounds on what the service's callers may use.
struct Limits {
  /// Calls in flight on one instance; 0 means only the fair share applies.
  int64_t max_concurrent_calls = 0;
  int64_t max_body_bytes = 1 << 20;
};

/// A parsed and checked document. Immutable once shared, hence thread safe.
struct ServiceDocument {
  ServiceName name;
  WorkspaceId workspace;
  std::vector<CallerKey> keys;
  UpstreamKind upstream = UpstreamKind::kModel;
  std::vector<RegionId> permitted_regions;
  RegionId home_region;
  std::vector<ModelName> models;
  std::vector<CallRule> call_rules;
  Targets targets;
  Limits limits;
  /// 0 is served last, 9 first.
  int64_t priority = 5;

  /// Whether the service's data may go to the region. Thread safe.
  bool Permits(const RegionId& region) const;
  /// Whether the document permits the model. Thread safe.
  bool AllowsModel(const ModelName& model) const;
  /// Whether a call may be repeated. A plain call that no rule names is not
  /// idempotent; a model call is, unless a rule says otherwise. Thread safe.
  bool IsIdempotent(std::string_view method, std::string_view path) const;
  /// Label of the key that matches, compared in constant time. Thread safe.
  std::optional<std::string> MatchKey(std::string_view bearer) const;
};

/// Parses and checks a document. Fails with kDocumentInvalid; the message names
/// the path of the wrong field. Thread safe.
Result<ServiceDocument> ParseServiceDocument(std::string_view text);

/// Text of a document in a canonical form that parses back to the same. Thread
/// safe.
std::string FormatServiceDocument(const ServiceDocument& document);

}  // namespace basilvalve::document
