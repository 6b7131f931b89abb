// Lists the differences between two service documents for an operator.
#pragma once

#include <string>
#include <vector>

#include "Core/Document/service_document.h"

namespace basilvalve::document {

/// Returns one line per field that differs, "path: old -> new", sorted by path.
/// Key hashes are abbreviated. Thread safe.
std::vector<std::string> DiffDocuments(const ServiceDocument& from,
                                       const ServiceDocument& to);

}  // namespace basilvalve::document
