#include "Core/Net/write_buffer.h"

#include <utility>

namespace basilvalve::net {

void WriteBuffer::AppendOwned(std::string bytes) {
  if (empty()) {
    Replace(std::move(bytes));
  } else {
    bytes_.append(bytes);
  }
}

void WriteBuffer::Replace(std::string bytes) {
  // A move from a short string would keep the memory of the long one.
  bytes_.swap(bytes);
  offset_ = 0;
}

IoStatus WriteBuffer::WriteTo(Socket* socket) {
  std::string_view rest = bytes_;
  rest.remove_prefix(offset_);
  IoStatus status = IoStatus::kDone;
  while (!rest.empty() && status == IoStatus::kDone) {
    IoResult result = socket->Write(rest);
    status = result.status;
    rest.remove_prefix(result.bytes);
  }
  size_t left = rest.size();
  written_ += size() - left;
  offset_ = bytes_.size() - left;
  if (left == 0) {
    Clear();
  } else if (offset_ > left) {
    // Moving the rest to the front each time would take time quadratic in the
    // size of a large response.
    Replace(std::string(rest));
  }
  return status;
}

}  // namespace basilvalve::net
