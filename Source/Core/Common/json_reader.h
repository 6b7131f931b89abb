// Strict reading of JSON objects: every error names the path of the field.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/result.h"

namespace basilvalve {

/// Parses JSON text; duplicate keys and trailing bytes are errors with `code`.
/// Thread safe.
Result<nlohmann::json> ParseJson(std::string_view text, ResultCode code);

/// Reads the fields of one object. The first error is kept and later reads
/// return defaults, so that a reader is written without a check after each
/// field. Not thread safe.
class JsonReader {
 public:
  /// Pre: `object` and `error` outlive the reader.
  JsonReader(const nlohmann::json& object, std::string path, ResultCode code,
             std::optional<Error>* error);

  /// Required text. Not thread safe.
  std::string Text(const char* name);
  /// Optional text. Not thread safe.
  std::string TextOr(const char* name, std::string fallback);
  /// Optional boolean. Not thread safe.
  bool FlagOr(const char* name, bool fallback);
  /// Optional whole number within [low, high]. Not thread safe.
  int64_t NumberOr(const char* name, int64_t fallback, int64_t low,
                   int64_t high);
  /// Optional list of non-empty texts. Not thread safe.
  std::vector<std::string> Texts(const char* name);
  /// Optional list of objects, each to be read by a reader of its own. Not
  /// thread safe.
  std::vector<JsonReader> Objects(const char* name);
  /// Optional object. Not thread safe.
  std::optional<JsonReader> Object(const char* name);
  /// Records an error at a field unless one is recorded already. Not thread
  /// safe.
  void Reject(std::string_view name, std::string_view reason);
  /// Rejects every field that was not read. Call last. Not thread safe.
  void Finish();

 private:
  const nlohmann::json* Find(const char* name);

  const nlohmann::json* object_;
  std::string path_;
  ResultCode code_;
  std::optional<Error>* error_;
  std::set<std::string> read_fields_;
};

}  // namespace basilvalve
