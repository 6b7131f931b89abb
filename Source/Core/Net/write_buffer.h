// Buffer of bytes to be written to a socket.
#pragma once

#include <string>
#include <string_view>

#include "Core/Net/socket.h"

namespace basilvalve::net {

/// Buffers bytes until a socket accepts them. Allocates nothing while empty.
/// Not thread safe.
class WriteBuffer {
 public:
  /// Adds bytes at the end.
  void Append(std::string_view bytes) { bytes_.append(bytes); }
  /// Replaces the buffered bytes.
  void Replace(std::string bytes) { bytes_ = std::move(bytes); }
  /// Writes as much as the socket accepts. Returns kDone if all bytes were
  /// written and kBlocked if the socket has to become writable first; any other
  /// status means that the connection is broken.
  IoStatus WriteTo(Socket* socket);
  /// Total number of bytes written by WriteTo.
  uint64_t total_written() const { return written_; }
  size_t size() const { return bytes_.size(); }
  bool empty() const { return bytes_.empty(); }

 private:
  std::string bytes_;
  uint64_t written_ = 0;
};

}  // namespace basilvalve::net
