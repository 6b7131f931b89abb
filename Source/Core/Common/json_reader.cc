#include "Core/Common/json_reader.h"

namespace basilvalve {
namespace {

using nlohmann::json;

/// Parser callback that detects duplicate keys, of which the parser silently
/// keeps the last.
class DuplicateKeyCheck {
 public:
  bool operator()(int /*depth*/, json::parse_event_t event, json& parsed) {
    if (event == json::parse_event_t::object_start) {
      keys_.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      keys_.pop_back();
    } else if (event == json::parse_event_t::key) {
      if (!keys_.back().insert(parsed.get<std::string>()).second) {
        duplicate_ = parsed.get<std::string>();
      }
    }
    return true;
  }

  const std::string& duplicate() const { return duplicate_; }

 private:
  std::vector<std::set<std::string>> keys_;
  std::string duplicate_;
};

}  // namespace

Result<json> ParseJson(std::string_view text, ResultCode code) {
  DuplicateKeyCheck check;
  json parsed = json::parse(text, std::ref(check), /*allow_exceptions=*/false);
  if (parsed.is_discarded()) {
    return Fail(code, "not valid JSON");
  }
  if (!check.duplicate().empty()) {
    return Fail(code, "duplicate key \"" + check.duplicate() + "\"");
  }
  return parsed;
}

JsonReader::JsonReader(const json& object, std::string path, ResultCode code,
                       std::optional<Error>* error)
    : object_(&object), path_(std::move(path)), code_(code), error_(error) {
  if (!object.is_object()) {
    Reject("", "must be an object");
  }
}

const json* JsonReader::Find(const char* name) {
  read_fields_.insert(name);
  if (!object_->is_object()) {
    return nullptr;
  }
  auto it = object_->find(name);
  return it == object_->end() ? nullptr : &*it;
}

void JsonReader::Reject(std::string_view name, std::string_view reason) {
  if (error_->has_value()) {
    return;
  }
  std::string field_path = path_;
  if (!name.empty()) {
    field_path += (field_path.empty() ? "" : ".") + std::string(name);
  }
  *error_ = MakeError(code_, (field_path.empty() ? "document" : field_path) +
                                 ": " + std::string(reason));
}

std::string JsonReader::Text(const char* name) {
  std::string text = TextOr(name, "");
  if (text.empty()) {
    Reject(name, "is required and must not be empty");
  }
  return text;
}

std::string JsonReader::TextOr(const char* name, std::string fallback) {
  const json* field = Find(name);
  if (field == nullptr) {
    return fallback;
  }
  if (!field->is_string()) {
    Reject(name, "must be a string");
    return fallback;
  }
  return field->get<std::string>();
}

bool JsonReader::FlagOr(const char* name, bool fallback) {
  const json* field = Find(name);
  if (field == nullptr) {
    return fallback;
  }
  if (!field->is_boolean()) {
    Reject(name, "must be true or false");
    return fallback;
  }
  return field->get<bool>();
}

int64_t JsonReader::NumberOr(const char* name, int64_t fallback, int64_t low,
                             int64_t high) {
  const json* field = Find(name);
  if (field == nullptr) {
    return fallback;
  }
  bool in_range = field->is_number_integer() &&
                  field->get<double>() >= static_cast<double>(low) &&
                  field->get<double>() <= static_cast<double>(high);
  if (!in_range) {
    Reject(name, "must be a whole number from " + std::to_string(low) + " to " +
                     std::to_string(high));
    return fallback;
  }
  return field->get<int64_t>();
}

std::vector<std::string> JsonReader::Texts(const char* name) {
  std::vector<std::string> texts;
  const json* field = Find(name);
  if (field == nullptr) {
    return texts;
  }
  if (!field->is_array()) {
    Reject(name, "must be a list of strings");
    return texts;
  }
  for (size_t i = 0; i < field->size(); ++i) {
    const json& item = (*field)[i];
    if (!item.is_string() || item.get<std::string>().empty()) {
      Reject(std::string(name) + "[" + std::to_string(i) + "]",
             "must be a non-empty string");
      return texts;
    }
    texts.push_back(item.get<std::string>());
  }
  return texts;
}

std::vector<JsonReader> JsonReader::Objects(const char* name) {
  std::vector<JsonReader> readers;
  const json* field = Find(name);
  if (field == nullptr) {
    return readers;
  }
  if (!field->is_array()) {
    Reject(name, "must be a list of objects");
    return readers;
  }
  for (size_t i = 0; i < field->size(); ++i) {
    std::string path = path_ + (path_.empty() ? "" : ".") + name + "[" +
                       std::to_string(i) + "]";
    readers.emplace_back((*field)[i], path, code_, error_);
  }
  return readers;
}

std::optional<JsonReader> JsonReader::Object(const char* name) {
  const json* field = Find(name);
  if (field == nullptr) {
    return std::nullopt;
  }
  return JsonReader(*field, path_ + (path_.empty() ? "" : ".") + name, code_,
                    error_);
}

void JsonReader::Finish() {
  if (!object_->is_object()) {
    return;
  }
  for (auto it = object_->begin(); it != object_->end(); ++it) {
    if (!read_fields_.contains(it.key())) {
      Reject(it.key(), "unknown field");
    }
  }
}

}  // namespace basilvalve
