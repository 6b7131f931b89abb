// Shows an operator what another operator changed.
#pragma once

#include <string>
#include <vector>

#include "Core/Document/service_document.h"

namespace basilvalve::document {

/// One line for each field that differs, "path: old -> new", in path order.
/// Hashes of keys are shown shortened. Thread safe.
std::vector<std::string> DiffDocuments(const ServiceDocument& from,
                                       const ServiceDocument& to);

}  // namespace basilvalve::document
