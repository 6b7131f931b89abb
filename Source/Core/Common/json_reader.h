// Strict JSON object reader: every error names the path of the invalid field.
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

/// Reads the fields of one object. An invalid field reads as its default and
/// the first error is stored in `error`, so that callers check it once after
/// reading all fields. Not thread safe.
class JsonReader {
 public:
  /// `path` prefixes fields in errors. Pre: `object`, `error` outlive this.
  JsonReader(const nlohmann::json& object, std::string path, ResultCode code,
             std::optional<Error>* error);

  /// Required non-empty string. Not thread safe.
  std::string Text(const char* name);
  /// Optional string. Not thread safe.
  std::string TextOr(const char* name, std::string fallback);
  /// Optional boolean. Not thread safe.
  bool FlagOr(const char* name, bool fallback);
  /// Optional integer within [low, high]. Not thread safe.
  int64_t NumberOr(const char* name, int64_t fallback, int64_t low,
                   int64_t high);
  /// Optional array of non-empty strings. Not thread safe.
  std::vector<std::string> Texts(const char* name);
  /// Optional array of objects, as one reader per element; empty if absent. Not
  /// thread safe.
  std::vector<JsonReader> Objects(const char* name);
  /// Optional object; nullopt if absent. Not thread safe.
  std::optional<JsonReader> Object(const char* name);
  /// Records an error for a field, or for the object itself if `name` is empty,
  /// unless an error is recorded already. Not thread safe.
  void Reject(std::string_view name, std::string_view reason);
  /// Rejects fields that were not read. Call after all reads. Not thread safe.
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
