// Result of one non-blocking read or write.
#pragma once

#include <cstddef>

namespace basilvalve::net {

enum class IoStatus { kDone, kBlocked, kEof, kReset };

struct IoResult {
  IoStatus status = IoStatus::kDone;
  size_t bytes = 0;
};

}  // namespace basilvalve::net
