#include "Core/Document/document_diff.h"

#include <nlohmann/json.hpp>

namespace basilvalve::document {
namespace {

constexpr size_t kShownHashDigits = 8;

std::string FormatField(const std::string& path, const nlohmann::json& fields) {
  auto it = fields.find(path);
  if (it == fields.end()) {
    return "(absent)";
  }
  if (path.ends_with("/sha256")) {
    return it->get<std::string>().substr(0, kShownHashDigits) + "...";
  }
  return it->dump();
}

}  // namespace

std::vector<std::string> DiffDocuments(const ServiceDocument& from,
                                       const ServiceDocument& to) {
  nlohmann::json old_fields =
      nlohmann::json::parse(FormatServiceDocument(from)).flatten();
  nlohmann::json new_fields =
      nlohmann::json::parse(FormatServiceDocument(to)).flatten();
  nlohmann::json merged = old_fields;
  merged.update(new_fields);
  std::vector<std::string> lines;
  for (auto it = merged.begin(); it != merged.end(); ++it) {
    auto old_it = old_fields.find(it.key());
    auto new_it = new_fields.find(it.key());
    bool same = old_it != old_fields.end() && new_it != new_fields.end() &&
                *old_it == *new_it;
    if (!same) {
      lines.push_back(it.key() + ": " + FormatField(it.key(), old_fields) +
                      " -> " + FormatField(it.key(), new_fields));
    }
  }
  return lines;
}

}  // namespace basilvalve::document
