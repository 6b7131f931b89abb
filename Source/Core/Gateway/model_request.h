// The fields of a model call's body that routing needs.
#pragma once

#include <string>
#include <string_view>

#include "Core/Common/result.h"
#include "Core/Common/strong_id.h"

namespace basilvalve::gateway {

/// Model, prompt and streaming flag of a model call.
struct ModelRequest {
  ModelName model;
  /// The text of all messages, each with a line end.
  std::string prompt;
  bool streaming = false;

  /// Reads them from a JSON body. All other values are skipped as they are
  /// parsed, so that no body takes more memory than its size. Fails with
  /// kMalformedRequest, naming the field. Thread safe.
  static Result<ModelRequest> Parse(std::string_view body);
};

}  // namespace basilvalve::gateway
