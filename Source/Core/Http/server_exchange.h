// One request between the thread of its connection and that of its handler.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "Core/Http/http_server.h"
#include "Core/Http/response_channel.h"

namespace basilvalve::http {

/// A request as its handler sees it. Aborts the answer if the handler gave
/// none. Used only on the thread of the handler.
class ServerExchange : public Exchange {
 public:
  /// `write_timeout` bounds each wait for a caller that reads slowly.
  ServerExchange(std::shared_ptr<AnswerChannel> channel, Request request,
                 bool body_too_large, bool keep_alive,
                 std::chrono::milliseconds write_timeout);
  ~ServerExchange() override;
  ServerExchange(const ServerExchange&) = delete;
  ServerExchange& operator=(const ServerExchange&) = delete;

  const Request& request() const override { return request_; }
  bool body_too_large() const override { return body_too_large_; }
  void Reply(int status, const Headers& headers,
             std::string_view body) override;
  bool BeginStream(int status, const Headers& headers) override;
  bool WriteStream(std::string_view piece) override;
  bool EndStream() override;
  void Abort() override;
  bool CallerDisconnected() const override { return channel_->is_gone(); }

 private:
  std::string Head(int status, const Headers& headers) const;

  std::shared_ptr<AnswerChannel> channel_;
  Request request_;
  bool body_too_large_;
  bool keep_alive_;
  std::chrono::milliseconds write_timeout_;
  bool ended_ = false;
};

}  // namespace basilvalve::http
