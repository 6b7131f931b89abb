// UDP socket for signed membership control messages.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

#include "Core/Common/clock.h"
#include "Core/Common/keyring.h"
#include "Core/Membership/control_codec.h"
#include "Core/Membership/replay_guard.h"

namespace basilvalve::peer {

/// Sends and receives control messages over UDP. Received datagrams are dropped
/// if their MAC does not verify or they are replayed. Thread safe.
class ControlSocket {
 public:
  using OnMessage = std::function<void(const membership::ControlMessage&)>;
  using OnTick = std::function<void()>;

  /// Binds the endpoint and calls `on_message` for each accepted message and
  /// `on_tick` every `tick_period`, both on the socket's own thread. Fails with
  /// kSettingInvalid if the endpoint cannot be bound. Pre: the keyring outlives
  /// the socket.
  static Result<std::unique_ptr<ControlSocket>> Start(
      const http::Endpoint& endpoint, const Keyring* keyring,
      Millis tick_period, OnMessage on_message, OnTick on_tick);
  ~ControlSocket();
  ControlSocket(const ControlSocket&) = delete;
  ControlSocket& operator=(const ControlSocket&) = delete;

  /// Signs and sends one message. Returns the number of bytes passed to the
  /// network, 0 on failure; delivery is not acknowledged. Thread safe.
  size_t Send(const membership::OutgoingMessage& outgoing);
  /// Number of datagrams dropped because they were malformed, had an invalid
  /// MAC or were replayed. Thread safe.
  uint64_t rejected() const { return rejected_.load(); }

 private:
  ControlSocket(const Keyring* keyring, Millis tick_period,
                OnMessage on_message, OnTick on_tick);

  bool Bind(const http::Endpoint& endpoint);
  void Run();
  void Receive();

  const Keyring* keyring_;
  Millis tick_period_;
  OnMessage on_message_;
  OnTick on_tick_;
  membership::ReplayGuard replay_guard_;
  int fd_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<uint64_t> rejected_{0};
  std::thread thread_;
};

}  // namespace basilvalve::peer
