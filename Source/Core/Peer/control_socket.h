// Datagram socket for control messages.
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

/// Receives, verifies and sends control messages. Thread safe.
class ControlSocket {
 public:
  using OnMessage = std::function<void(const membership::ControlMessage&)>;
  using OnTick = std::function<void()>;

  /// Binds the endpoint and calls `on_message` for each verified message and
  /// `on_tick` every `period`, both on the socket's thread. Fails with
  /// kSettingInvalid. Pre: the keyring outlives the socket.
  static Result<std::unique_ptr<ControlSocket>> Start(
      const http::Endpoint& endpoint, const Keyring* keyring,
      Millis tick_period, OnMessage on_message, OnTick on_tick);
  ~ControlSocket();
  ControlSocket(const ControlSocket&) = delete;
  ControlSocket& operator=(const ControlSocket&) = delete;

  /// Sends one message; returns the bytes sent. Losses are not reported. Thread
  /// safe.
  size_t Send(const membership::OutgoingMessage& outgoing);
  /// Messages dropped because of a wrong MAC or a repeated number. Thread safe.
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
