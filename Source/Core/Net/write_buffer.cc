#include "Core/Net/write_buffer.h"

namespace basilvalve::net {

IoStatus WriteBuffer::WriteTo(Socket* socket) {
  std::string_view rest = bytes_;
  IoStatus status = IoStatus::kDone;
  while (!rest.empty() && status == IoStatus::kDone) {
    IoResult result = socket->Write(rest);
    status = result.status;
    rest.remove_prefix(result.bytes);
  }
  size_t written = bytes_.size() - rest.size();
  written_ += written;
  bytes_.erase(0, written);
  if (bytes_.empty()) {
    bytes_.shrink_to_fit();
  }
  return status;
}

}  // namespace basilvalve::net
