// A listener to which connections stay pending.
#pragma once

#include <cstdint>

namespace basilvalve::net {

/// Listens on loopback with a full queue. Not thread safe.
class BusyListener {
 public:
  BusyListener();
  ~BusyListener();
  BusyListener(const BusyListener&) = delete;
  BusyListener& operator=(const BusyListener&) = delete;
  uint16_t port() const { return port_; }

 private:
  int fd_ = -1;
  int filler_ = -1;
  uint16_t port_ = 0;
};

}  // namespace basilvalve::net
