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
  /// Adds bytes at the end, without a copy if the buffer is empty.
  void AppendOwned(std::string bytes);
  /// Replaces the buffered bytes.
  void Replace(std::string bytes);
  /// Drops the buffered bytes.
  void Clear() { Replace({}); }
  /// Writes as much as the socket accepts. Returns kDone if all bytes were
  /// written and kBlocked if the socket has to become writable first; any other
  /// status means that the connection is broken.
  IoStatus WriteTo(Socket* socket);
  /// Total number of bytes written by WriteTo.
  uint64_t total_written() const { return written_; }
  size_t size() const { return bytes_.size() - offset_; }
  bool empty() const { return size() == 0; }
  /// Bytes of memory that the buffer takes.
  size_t memory() const { return bytes_.size(); }

 private:
  std::string bytes_;
  // Bytes at the start of `bytes_` that were written.
  size_t offset_ = 0;
  uint64_t written_ = 0;
};

}  // namespace basilvalve::net
