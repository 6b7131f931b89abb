#include "Core/Net/write_buffer.h"

namespace basilvalve::net {

IoStatus Outbox::WriteTo(Socket* socket) {
  std::string_view rest = bytes_;
  IoStatus status = IoStatus::kDone;
  while (!rest.empty() && status == IoStatus::kDone) {
    IoResult put = socket->Write(rest);
    status = put.status;
    rest.remove_prefix(put.bytes);
  }
  size_t taken = bytes_.size() - rest.size();
  written_ += taken;
  bytes_.erase(0, taken);
  if (bytes_.empty()) {
    bytes_.shrink_to_fit();
  }
  return status;
}

}  // namespace basilvalve::net
