#include "Core/Http/http_server.h"

#include <arpa/inet.h>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <istream>
#include <ostream>
#include <thread>

namespace basilvalve::http {
namespace {

constexpr size_t kReadBytes = 16384;
constexpr int kPortAttempts = 20;
constexpr int kBadRequest = 400;

cxxtools::Milliseconds ToLibrary(std::chrono::milliseconds time) {
  return cxxtools::Milliseconds(static_cast<double>(time.count()));
}

/// Whether the length of the body is stated once and in digits.
bool HasSoundFraming(const Headers& headers) {
  std::string_view length = FindHeader(headers, "Content-Length");
  bool chunked = CountHeader(headers, "Transfer-Encoding") > 0;
  bool digits =
      length.find_first_not_of("0123456789") == std::string_view::npos;
  size_t lengths = CountHeader(headers, "Content-Length");
  return digits && lengths <= 1 && (lengths == 0 || !chunked);
}

class HandlerResponder;

/// Creates a responder for each request and carries what they share.
class HandlerService : public cxxtools::http::Service {
 public:
  HandlerService(Handler* handler, size_t max_body)
      : handler_(handler), max_body_(max_body) {}

  Handler* handler() const { return handler_; }
  size_t max_body() const { return max_body_; }

 protected:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request& request) override;
  void releaseResponder(cxxtools::http::Responder* responder) override;

 private:
  Handler* handler_;
  size_t max_body_;
};

/// Adapts one request of the library to Exchange.
class HandlerResponder : public cxxtools::http::Responder, public Exchange {
 public:
  explicit HandlerResponder(HandlerService* service)
      : Responder(*service), service_(service) {}

  void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& /*in*/,
                    cxxtools::http::Request& request) override {
    socket_ = &socket;
    int on = 1;
    setsockopt(socket.getFd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    request_.method = request.method();
    request_.path = request.url();
    request_.query = request.qparams();
    for (auto it = request.header().begin(); it != request.header().end();
         ++it) {
      request_.headers.push_back({it->first, it->second});
    }
  }

  std::size_t readBody(std::istream& in) override {
    std::array<char, kReadBytes> buf;
    size_t taken = 0;
    std::streamsize ready = in.rdbuf()->in_avail();
    while (ready > 0) {
      std::streamsize n =
          in.readsome(buf.data(), std::min<std::streamsize>(ready, kReadBytes));
      if (n <= 0) {
        break;
      }
      taken += static_cast<size_t>(n);
      Keep({buf.data(), static_cast<size_t>(n)});
      ready = in.rdbuf()->in_avail();
    }
    return taken;
  }

  void reply(std::ostream& out, cxxtools::http::Request& /*request*/,
             cxxtools::http::Reply& reply) override {
    out_ = &out;
    reply_ = &reply;
    if (!HasSoundFraming(request_.headers)) {
      // The library takes such a length as none; a reader behind a proxy might
      // not.
      Reply(kBadRequest, {}, "the body's length is not clear");
      return;
    }
    service_->handler()->Handle(this);
    if (streaming_) {
      // The library appends a reply of its own to the connection; shutting the
      // socket down first keeps those bytes from the caller.
      ::shutdown(socket_->getFd(), SHUT_RDWR);
    }
  }

  const Request& request() const override { return request_; }
  bool body_too_large() const override { return body_too_large_; }

  void Reply(int status, const Headers& headers,
             std::string_view body) override {
    reply_->httpReturn(static_cast<unsigned>(status), ReasonPhrase(status));
    for (const Header& it : headers) {
      reply_->setHeader(it.name.c_str(), it.value.c_str());
    }
    out_->write(body.data(), static_cast<std::streamsize>(body.size()));
  }

  bool BeginStream(int status, const Headers& headers) override {
    streaming_ = true;
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " +
                       ReasonPhrase(status) + "\r\n";
    for (const Header& it : headers) {
      head += it.name + ": " + it.value + "\r\n";
    }
    head += "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
    return WriteAll(head);
  }

  bool WriteStream(std::string_view piece) override {
    if (piece.empty()) {
      return !broken_;
    }
    constexpr size_t kChunkHeadBytes = 24;
    std::array<char, kChunkHeadBytes> head;
    int n = std::snprintf(head.data(), head.size(), "%zx\r\n", piece.size());
    std::string chunk(head.data(), static_cast<size_t>(n));
    chunk.append(piece).append("\r\n");
    return WriteAll(chunk);
  }

  bool EndStream() override { return WriteAll("0\r\n\r\n"); }

  void Abort() override {
    streaming_ = true;
    broken_ = true;
  }

  bool PeerGone() const override {
    if (broken_) {
      return true;
    }
    pollfd poll_fd{socket_->getFd(), POLLRDHUP, 0};
    return ::poll(&poll_fd, 1, 0) > 0 &&
           (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

 private:
  void Keep(std::string_view piece) {
    if (request_.body.size() + piece.size() > service_->max_body()) {
      body_too_large_ = true;
      request_.body.clear();
    }
    if (!body_too_large_) {
      request_.body.append(piece);
    }
  }

  bool WriteAll(std::string_view bytes) {
    try {
      while (!bytes.empty() && !broken_) {
        size_t n = socket_->write(bytes.data(), bytes.size());
        bytes.remove_prefix(n);
      }
    } catch (const std::exception&) {
      broken_ = true;
    }
    return !broken_;
  }

  HandlerService* service_;
  cxxtools::net::TcpSocket* socket_ = nullptr;
  std::ostream* out_ = nullptr;
  cxxtools::http::Reply* reply_ = nullptr;
  Request request_;
  bool body_too_large_ = false;
  bool streaming_ = false;
  bool broken_ = false;
};

cxxtools::http::Responder* HandlerService::createResponder(
    const cxxtools::http::Request& /*request*/) {
  return new HandlerResponder(this);
}

void HandlerService::releaseResponder(cxxtools::http::Responder* responder) {
  delete responder;
}

/// A port that was free a moment ago; 0 if none could be had.
uint16_t FreePort(const std::string& ip) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  socklen_t n = sizeof(address);
  bool ok =
      ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n) == 0;
  ::close(fd);
  return ok ? ntohs(address.sin_port) : 0;
}

class LibraryServer : public Server {
 public:
  LibraryServer(const ServerSettings& settings, Handler* handler)
      : endpoint_(settings.endpoint),
        server_(loop_),
        service_(handler, settings.max_body_bytes) {
    server_.minThreads(settings.min_threads);
    server_.maxThreads(settings.max_threads);
    server_.readTimeout(ToLibrary(settings.read_timeout));
    server_.writeTimeout(ToLibrary(settings.write_timeout));
    server_.keepAliveTimeout(ToLibrary(settings.keep_alive));
    server_.addService(cxxtools::Regex(".*"), service_);
  }

  ~LibraryServer() override {
    if (thread_.joinable()) {
      loop_.exit();
      thread_.join();
    }
  }

  /// Binds, trying several ports where any will do. Throws on failure.
  void Listen(const ServerSettings& settings) {
    int attempts = endpoint_.port == 0 ? kPortAttempts : 1;
    for (int i = 0; i < attempts; ++i) {
      uint16_t port =
          settings.endpoint.port == 0 ? FreePort(endpoint_.ip) : endpoint_.port;
      try {
        server_.listen(endpoint_.ip, port, settings.certificate_file,
                       settings.key_file);
        endpoint_.port = port;
        break;
      } catch (const cxxtools::net::AddressInUse&) {
        // Another process took the port between the look and the bind.
        if (i + 1 == attempts) {
          throw;
        }
      }
    }
    thread_ = std::thread([this] { loop_.run(); });
  }

  Endpoint endpoint() const override { return endpoint_; }

 private:
  Endpoint endpoint_;
  cxxtools::EventLoop loop_;
  cxxtools::http::Server server_;
  HandlerService service_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<Server> Server::Start(const ServerSettings& settings,
                                      Handler* handler, std::string* why) {
  try {
    auto server = std::make_unique<LibraryServer>(settings, handler);
    server->Listen(settings);
    return server;
  } catch (const std::exception& ex) {
    *why = settings.endpoint.Text() + ": " + ex.what();
    return nullptr;
  }
}

}  // namespace basilvalve::http
