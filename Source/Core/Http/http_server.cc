#include "Core/Http/http_server.h"

#include <set>
#include <thread>
#include <utility>

#include "Core/Http/server_exchange.h"
#include "Core/Http/worker_pool.h"
#include "Core/Net/server_connection.h"
#include "Core/Net/tls_context.h"

namespace basilvalve::http {
namespace {

// The API uses few and short headers; a larger head is an error.
constexpr uint32_t kMaxHeaderBytes = 8 * 1024;

Request ToRequest(net::ServerRequest received) {
  Request request;
  request.method = std::move(received.head.method);
  const std::string& target = received.head.target;
  size_t question_mark = target.find('?');
  request.path = target.substr(0, question_mark);
  if (question_mark != std::string::npos) {
    request.query = target.substr(question_mark + 1);
  }
  request.headers = std::move(received.head.fields);
  request.body = std::move(received.body);
  return request;
}

/// Serves connections on one event loop thread and runs handlers on a pool.
class EventLoopServer : public Server {
 public:
  EventLoopServer(const ServerSettings& settings, Handler* handler)
      : settings_(settings), handler_(handler), pool_(settings.max_threads) {
    limits_.header_bytes = kMaxHeaderBytes;
    limits_.body_bytes = settings.max_body_bytes;
    limits_.deliver_oversized = true;
    limits_.header_timeout = settings.read_timeout;
    limits_.idle_timeout = settings.keep_alive;
  }

  ~EventLoopServer() override {
    if (!thread_.joinable()) {
      return;
    }
    loop_.Post([this] { CloseConnections(); });
    pool_.Stop();
    loop_.Post([this] { loop_.Stop(); });
    thread_.join();
  }

  Result<void> Listen() {
    if (!settings_.certificate_file.empty()) {
      auto tls = net::TlsContext::Create(settings_.certificate_file,
                                         settings_.key_file);
      if (!tls) {
        return tl::make_unexpected(tls.error());
      }
      tls_ = std::move(*tls);
    }
    auto listener = net::Listener::Create(
        &loop_, settings_.endpoint, settings_.write_timeout,
        [this](std::unique_ptr<net::Socket> socket) {
          Accept(std::move(socket));
        });
    if (!listener) {
      return tl::make_unexpected(listener.error());
    }
    listener_ = std::move(*listener);
    settings_.endpoint = listener_->LocalEndpoint();
    thread_ = std::thread([this] { loop_.Run(); });
    return {};
  }

  Endpoint endpoint() const override { return settings_.endpoint; }

 private:
  void Accept(std::unique_ptr<net::Socket> socket) {
    if (tls_ != nullptr) {
      socket->StartTls(*tls_);
    }
    auto connection = std::make_shared<net::ServerConnection>(
        &loop_, std::move(socket), limits_,
        [this](const net::ServerConnection::Ptr& from,
               net::ServerRequest request) {
          OnRequest(from, std::move(request));
        },
        [this](net::ServerConnection* closed) {
          connections_.erase(closed->shared_from_this());
        });
    connections_.insert(connection);
    connection->Start();
  }

  void OnRequest(const net::ServerConnection::Ptr& from,
                 net::ServerRequest received) {
    auto channel = std::make_shared<ResponseChannel>(&loop_, from);
    from->SetDisconnectHandler([channel] { channel->MarkDisconnected(); });
    bool oversized = received.body_too_large;
    bool keep_alive = received.head.keep_alive && !oversized;
    auto exchange = std::make_shared<ServerExchange>(
        std::move(channel), ToRequest(std::move(received)), oversized,
        keep_alive, settings_.write_timeout);
    pool_.Run([this, exchange] { handler_->Handle(exchange.get()); });
  }

  void CloseConnections() {
    listener_.reset();
    // Iterates over the moved-out set, as each connection removes itself from
    // `connections_` when it closes.
    for (const auto& it : std::exchange(connections_, {})) {
      it->Disconnect();
    }
  }

  ServerSettings settings_;
  Handler* handler_;
  net::ServerLimits limits_;
  std::shared_ptr<net::TlsContext> tls_;
  net::EventLoop loop_;
  std::unique_ptr<net::Listener> listener_;
  std::set<net::ServerConnection::Ptr> connections_;
  WorkerPool pool_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<Server> Server::Start(const ServerSettings& settings,
                                      Handler* handler,
                                      std::string* error_message) {
  auto server = std::make_unique<EventLoopServer>(settings, handler);
  Result<void> listening = server->Listen();
  if (!listening) {
    *error_message = listening.error().message;
    return nullptr;
  }
  return server;
}

}  // namespace basilvalve::http
