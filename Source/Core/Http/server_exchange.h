// Exchange of a handler whose connection runs on another thread.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "Core/Http/http_server.h"
#include "Core/Http/response_channel.h"

namespace basilvalve::http {

/// One request and its response. The destructor aborts a response that was not
/// completed. Used only on the thread of its handler.
class ServerExchange : public Exchange {
 public:
  /// `write_timeout` bounds each write that blocks on a slow caller.
  ServerExchange(std::shared_ptr<ResponseChannel> channel, Request request,
                 bool body_too_large, bool keep_alive,
                 std::chrono::milliseconds write_timeout);
  ~ServerExchange() override;
  ServerExchange(const ServerExchange&) = delete;
  ServerExchange& operator=(const ServerExchange&) = delete;

  const Request& request() const override { return request_; }
  std::string TakeBody() override { return std::move(request_.body); }
  bool body_too_large() const override { return body_too_large_; }
  void Reply(int status, const Headers& headers,
             std::string_view body) override;
  bool BeginStream(int status, const Headers& headers) override;
  bool WriteStream(std::string_view chunk) override;
  bool EndStream() override;
  void Abort() override;
  bool CallerDisconnected() const override {
    return channel_->is_disconnected();
  }

 private:
  std::string Head(int status, const Headers& headers) const;

  std::shared_ptr<ResponseChannel> channel_;
  Request request_;
  bool body_too_large_;
  bool keep_alive_;
  std::chrono::milliseconds write_timeout_;
  bool ended_ = false;
};

}  // namespace basilvalve::http
