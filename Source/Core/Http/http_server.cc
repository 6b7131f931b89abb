#include "Core/Http/http_server.h"

#include <thread>
#include <utility>

#include "Core/Common/log.h"
#include "Core/Http/server_exchange.h"
#include "Core/Http/worker_pool.h"
#include "Core/Net/server_connections.h"
#include "Core/Net/tls_context.h"

namespace basilvalve::http {
namespace {

// The API uses few and short headers; a larger head is an error.
constexpr uint32_t kMaxHeaderBytes = 8 * 1024;
// The kernel's buffers are memory of the machine, too.
constexpr net::StreamBuffers kStreamBuffers{128 * 1024, 128 * 1024};

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
      : settings_(settings),
        handler_(handler),
        budgets_(settings.share
                     ? net::ConnectionBudgets::Create(*settings.share)
                     : net::ConnectionBudgets()),
        connections_(
            &loop_, budgets_, ConnectionSettings(settings),
            [this](const net::ServerConnection::Ptr& from,
                   net::ServerRequest request) {
              OnRequest(from, std::move(request));
            },
            [](net::ServerConnection*) {},
            [this](const net::ShedEvent& event) { OnShed(event); }),
        pool_(settings.max_threads) {
    if (budgets_.memory != nullptr) {
      budgets_.memory->SetShortageHandler(
          [this](net::MemoryUse use, size_t missing) {
            connections_.OnMemoryShortage(use, missing);
          });
    }
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
          if (tls_ != nullptr) {
            socket->StartTls(*tls_);
          }
          connections_.Accept(std::move(socket));
        },
        settings_.share ? kStreamBuffers : net::StreamBuffers());
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
  static net::ServerConnectionsSettings ConnectionSettings(
      const ServerSettings& settings) {
    net::ServerConnectionsSettings connections;
    net::ServerLimits& limits = connections.limits;
    limits.header_bytes = kMaxHeaderBytes;
    limits.body_bytes = settings.max_body_bytes;
    limits.deliver_oversized = true;
    limits.body_copies = settings.body_copies;
    limits.header_timeout = settings.read_timeout;
    limits.idle_timeout = settings.keep_alive;
    return connections;
  }

  void OnShed(const net::ShedEvent& event) {
    std::string_view reason = net::ShedReasonName(event.reason);
    LogEvent(LogLevel::kInfo, "http", reason)
        .With("address", settings_.endpoint.Text())
        .With("bytes", static_cast<int64_t>(event.bytes))
        .With("status", event.status)
        .With("age_ms", event.age.count());
    if (settings_.on_shed) {
      settings_.on_shed(reason);
    }
  }

  void OnRequest(const net::ServerConnection::Ptr& from,
                 net::ServerRequest received) {
    auto channel = std::make_shared<ResponseChannel>(&loop_, from,
                                                     from->TakeRequestMemory());
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
    for (const auto& it : connections_.All()) {
      it->Disconnect();
    }
  }

  ServerSettings settings_;
  Handler* handler_;
  std::shared_ptr<net::TlsContext> tls_;
  net::EventLoop loop_;
  std::unique_ptr<net::Listener> listener_;
  net::ConnectionBudgets budgets_;
  net::ServerConnections connections_;
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
