#include "Core/Http/server_exchange.h"

#include <utility>

namespace basilvalve::http {

ServerExchange::ServerExchange(std::shared_ptr<ResponseChannel> channel,
                               Request request, bool body_too_large,
                               bool keep_alive,
                               std::chrono::milliseconds write_timeout)
    : channel_(std::move(channel)),
      request_(std::move(request)),
      body_too_large_(body_too_large),
      keep_alive_(keep_alive),
      write_timeout_(write_timeout) {}

ServerExchange::~ServerExchange() { Abort(); }

std::string ServerExchange::Head(int status, const Headers& headers) const {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " " +
                     ReasonPhrase(status) + "\r\n";
  for (const Header& it : headers) {
    head += it.name + ": " + it.value + "\r\n";
  }
  if (!keep_alive_) {
    head += "Connection: close\r\n";
  }
  return head;
}

void ServerExchange::Reply(int status, const Headers& headers,
                           std::string_view body) {
  std::string response = Head(status, headers) +
                         "Content-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n";
  response.append(body);
  channel_->Send(std::move(response), write_timeout_);
  channel_->End(keep_alive_);
  ended_ = true;
}

bool ServerExchange::BeginStream(int status, const Headers& headers) {
  return channel_->Send(
      Head(status, headers) + "Transfer-Encoding: chunked\r\n\r\n",
      write_timeout_);
}

bool ServerExchange::WriteStream(std::string_view chunk) {
  if (chunk.empty()) {
    return !channel_->is_disconnected();
  }
  return channel_->Send(net::EncodeChunk(chunk), write_timeout_);
}

bool ServerExchange::EndStream() {
  bool sent = channel_->Send(std::string(net::kLastChunk), write_timeout_);
  channel_->End(keep_alive_);
  ended_ = true;
  return sent;
}

void ServerExchange::Abort() {
  if (!std::exchange(ended_, true)) {
    channel_->Abort();
  }
}

}  // namespace basilvalve::http
