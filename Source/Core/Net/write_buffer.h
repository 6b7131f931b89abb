// Bytes on their way to a socket.
#pragma once

#include <string>
#include <string_view>

#include "Core/Net/socket.h"

namespace basilvalve::net {

/// Holds what a socket has not taken yet. Holds no memory while empty. Not
/// thread safe.
class Outbox {
 public:
  /// Adds bytes behind the others.
  void Add(std::string_view bytes) { bytes_.append(bytes); }
  /// Takes the place of what was held.
  void Assign(std::string bytes) { bytes_ = std::move(bytes); }
  /// Writes what the socket takes. kDone: all is written; kBlocked: call again
  /// when it is writable; else the connection is broken.
  IoStatus WriteTo(Socket* socket);
  /// Bytes taken by sockets so far.
  uint64_t written() const { return written_; }
  size_t size() const { return bytes_.size(); }
  bool empty() const { return bytes_.empty(); }

 private:
  std::string bytes_;
  uint64_t written_ = 0;
};

}  // namespace basilvalve::net
