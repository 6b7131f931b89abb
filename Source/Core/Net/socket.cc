#include "Core/Net/socket.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <charconv>

#include "Core/Net/event_loop_impl.h"
#include "Core/Net/tls_session.h"

namespace basilvalve::net {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

namespace {

// Connections that can wait to be accepted when a burst of callers connects
// while the loop is busy.
constexpr int kListenBacklog = 1024;
// An accept that fails, as without a free descriptor, would fail again at once.
constexpr Millis kAcceptRetryTime{50};

Result<asio::ip::address> ParseAddress(const std::string& host) {
  error_code ec;
  auto address = asio::ip::make_address(host, ec);
  if (ec) {
    return Fail(ResultCode::kSettingInvalid, "not an IP address: " + host);
  }
  return address;
}

void ConfigureStream(tcp::socket* socket, Millis unacked_timeout) {
  error_code ec;
  socket->non_blocking(true, ec);
  socket->set_option(tcp::no_delay(true), ec);
  // A network partition sends no reset, so unacknowledged data has to time the
  // connection out.
  int ms = static_cast<int>(unacked_timeout.count());
  setsockopt(socket->native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms,
             sizeof(ms));
}

IoStatus ToIoStatus(const error_code& ec) {
  if (ec == asio::error::would_block || ec == asio::error::try_again) {
    return IoStatus::kBlocked;
  }
  return ec == asio::error::eof ? IoStatus::kEof : IoStatus::kReset;
}

}  // namespace

std::string Endpoint::Text() const { return host + ":" + std::to_string(port); }

Result<Endpoint> Endpoint::Parse(std::string_view text) {
  size_t colon = text.rfind(':');
  Endpoint endpoint;
  if (colon == std::string_view::npos || colon == 0) {
    return Fail(ResultCode::kSettingInvalid,
                "not HOST:PORT: " + std::string(text));
  }
  endpoint.host = std::string(text.substr(0, colon));
  std::string_view port = text.substr(colon + 1);
  auto [end, ec] =
      std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  if (ec != std::errc() || end != port.data() + port.size() ||
      !ParseAddress(endpoint.host)) {
    return Fail(ResultCode::kSettingInvalid,
                "not HOST:PORT: " + std::string(text));
  }
  return endpoint;
}

struct Socket::Impl {
  explicit Impl(tcp::socket socket) : stream(std::move(socket)) {}
  tcp::socket stream;
  std::unique_ptr<TlsSession> tls;
  std::function<void(bool)> on_connect;
  std::function<void()> on_readable;
  std::function<void()> on_writable;
  bool is_refused = false;
};

namespace {

// Clears and calls the callback; does nothing if Close has cleared it.
void InvokeOnce(std::function<void()>* callback) {
  if (!*callback) {
    return;
  }
  auto fn = std::move(*callback);
  *callback = nullptr;
  fn();
}

}  // namespace

Socket::Socket(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}
Socket::~Socket() { Close(); }

std::unique_ptr<Socket> Socket::Connect(EventLoop* loop, const Endpoint& to,
                                        Millis unacked_timeout,
                                        std::function<void(bool)> done) {
  auto impl = std::make_shared<Impl>(tcp::socket(loop->impl().context));
  impl->on_connect = std::move(done);
  auto finish = [impl](bool connected) {
    if (!impl->on_connect) {
      return;
    }
    auto fn = std::move(impl->on_connect);
    impl->on_connect = nullptr;
    fn(connected);
  };
  error_code ec;
  auto address = ParseAddress(to.host);
  impl->stream.open(tcp::v4(), ec);
  if (ec || !address) {
    loop->Post([finish] { finish(false); });
    return std::make_unique<Socket>(impl);
  }
  ConfigureStream(&impl->stream, unacked_timeout);
  impl->stream.async_connect(tcp::endpoint(*address, to.port),
                             [finish, impl](const error_code& failed) {
                               impl->is_refused =
                                   failed == asio::error::connection_refused;
                               finish(!failed);
                             });
  return std::make_unique<Socket>(impl);
}

bool Socket::is_refused() const { return impl_->is_refused; }

void Socket::StartTls(const TlsContext& context) {
  impl_->tls =
      std::make_unique<TlsSession>(context, impl_->stream.native_handle());
}

IoResult Socket::Read(std::span<char> into) {
  if (impl_->tls != nullptr) {
    return impl_->tls->Read(into);
  }
  error_code ec;
  size_t n =
      impl_->stream.read_some(asio::buffer(into.data(), into.size()), ec);
  if (ec) {
    return {ToIoStatus(ec), 0};
  }
  return {IoStatus::kDone, n};
}

IoResult Socket::Write(std::string_view bytes) {
  if (impl_->tls != nullptr) {
    return impl_->tls->Write(bytes);
  }
  error_code ec;
  size_t n =
      impl_->stream.write_some(asio::buffer(bytes.data(), bytes.size()), ec);
  if (ec) {
    return {ToIoStatus(ec), 0};
  }
  return {IoStatus::kDone, n};
}

void Socket::WaitReadable(std::function<void()> fn) {
  bool waiting = static_cast<bool>(impl_->on_readable);
  impl_->on_readable = std::move(fn);
  if (waiting) {
    return;
  }
  if (impl_->tls != nullptr && impl_->tls->has_pending()) {
    asio::post(impl_->stream.get_executor(),
               [impl = impl_] { InvokeOnce(&impl->on_readable); });
    return;
  }
  bool wants_write = impl_->tls != nullptr && impl_->tls->read_wants_write();
  impl_->stream.async_wait(
      wants_write ? tcp::socket::wait_write : tcp::socket::wait_read,
      [impl = impl_](const error_code&) { InvokeOnce(&impl->on_readable); });
}

void Socket::WaitWritable(std::function<void()> fn) {
  bool waiting = static_cast<bool>(impl_->on_writable);
  impl_->on_writable = std::move(fn);
  if (waiting) {
    return;
  }
  impl_->stream.async_wait(
      tcp::socket::wait_write,
      [impl = impl_](const error_code&) { InvokeOnce(&impl->on_writable); });
}

void Socket::ShutdownWrite() {
  if (impl_->tls != nullptr) {
    impl_->tls->ShutdownWrite();
  }
  error_code ec;
  impl_->stream.shutdown(tcp::socket::shutdown_send, ec);
}

void Socket::DropUnacknowledged() {
  int unacknowledged = 0;
  if (!impl_->stream.is_open() ||
      ioctl(impl_->stream.native_handle(), SIOCOUTQ, &unacknowledged) != 0 ||
      unacknowledged == 0) {
    // A reset is sent once; an end is sent again if it is lost.
    return;
  }
  error_code ec;
  impl_->stream.set_option(asio::socket_base::linger(true, 0), ec);
}

void Socket::Close() {
  impl_->on_connect = nullptr;
  impl_->on_readable = nullptr;
  impl_->on_writable = nullptr;
  error_code ec;
  impl_->stream.close(ec);
}

std::string Socket::PeerHost() const {
  error_code ec;
  auto endpoint = impl_->stream.remote_endpoint(ec);
  return ec ? std::string() : endpoint.address().to_string();
}

struct Listener::Impl : std::enable_shared_from_this<Listener::Impl> {
  Impl(EventLoop* event_loop, Millis timeout)
      : loop(event_loop),
        acceptor(event_loop->impl().context),
        retry_timer(event_loop),
        unacked_timeout(timeout) {}

  void Accept() {
    acceptor.async_accept(
        [self = shared_from_this()](const error_code& ec, tcp::socket socket) {
          if (!self->on_accept) {
            return;
          }
          if (ec) {
            self->retry_timer.Set(kAcceptRetryTime,
                                  [weak = self->weak_from_this()] {
                                    if (auto it = weak.lock()) {
                                      it->Accept();
                                    }
                                  });
            return;
          }
          ConfigureStream(&socket, self->unacked_timeout);
          self->on_accept(std::make_unique<Socket>(
              std::make_shared<Socket::Impl>(std::move(socket))));
          self->Accept();
        });
  }

  EventLoop* loop;
  tcp::acceptor acceptor;
  Timer retry_timer;
  Millis unacked_timeout;
  std::function<void(std::unique_ptr<Socket>)> on_accept;
};

Listener::Listener(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

Listener::~Listener() {
  impl_->on_accept = nullptr;
  error_code ec;
  impl_->acceptor.close(ec);
}

Result<std::unique_ptr<Listener>> Listener::Create(
    EventLoop* loop, const Endpoint& at, Millis unacked_timeout,
    std::function<void(std::unique_ptr<Socket>)> on_accept,
    const StreamBuffers& buffers) {
  auto address = ParseAddress(at.host);
  if (!address) {
    return tl::make_unexpected(address.error());
  }
  auto impl = std::make_shared<Impl>(loop, unacked_timeout);
  impl->on_accept = std::move(on_accept);
  error_code ec;
  impl->acceptor.open(tcp::v4(), ec);
  impl->acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (buffers.receive_bytes > 0) {
    // Accepted streams inherit it. A receive buffer of a fixed size would also
    // count the kernel's overhead and drop packets on links with a large MTU.
    setsockopt(impl->acceptor.native_handle(), IPPROTO_TCP, TCP_WINDOW_CLAMP,
               &buffers.receive_bytes, sizeof(buffers.receive_bytes));
  }
  if (buffers.unsent_bytes > 0) {
    setsockopt(impl->acceptor.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
               &buffers.unsent_bytes, sizeof(buffers.unsent_bytes));
  }
  impl->acceptor.bind(tcp::endpoint(*address, at.port), ec);
  if (!ec) {
    impl->acceptor.listen(kListenBacklog, ec);
  }
  if (ec) {
    return Fail(ResultCode::kIo,
                "cannot listen on " + at.Text() + ": " + ec.message());
  }
  impl->Accept();
  return std::unique_ptr<Listener>(new Listener(std::move(impl)));
}

Endpoint Listener::LocalEndpoint() const {
  error_code ec;
  auto endpoint = impl_->acceptor.local_endpoint(ec);
  return ec ? Endpoint{}
            : Endpoint{endpoint.address().to_string(), endpoint.port()};
}

struct DatagramSocket::Impl
    : std::enable_shared_from_this<DatagramSocket::Impl> {
  explicit Impl(EventLoop* event_loop)
      : loop(event_loop), socket(event_loop->impl().context) {}

  void Wait() {
    socket.async_wait(udp::socket::wait_read,
                      [self = shared_from_this()](const error_code& ec) {
                        if (!self->on_receive || ec) {
                          return;
                        }
                        self->ReadAll();
                        if (self->on_receive) {
                          self->Wait();
                        }
                      });
  }

  void ReadAll() {
    udp::endpoint from;
    error_code ec;
    while (on_receive) {
      auto buf = loop->scratch();
      size_t n = socket.receive_from(asio::buffer(buf.data(), buf.size()), from,
                                     0, ec);
      if (ec) {
        return;
      }
      on_receive(std::string_view(buf.data(), n));
    }
  }

  EventLoop* loop;
  udp::socket socket;
  ReceiveHandler on_receive;
};

DatagramSocket::DatagramSocket(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

DatagramSocket::~DatagramSocket() {
  impl_->on_receive = nullptr;
  error_code ec;
  impl_->socket.close(ec);
}

Result<std::unique_ptr<DatagramSocket>> DatagramSocket::Create(
    EventLoop* loop, const Endpoint& at, ReceiveHandler on_receive) {
  auto address = ParseAddress(at.host);
  if (!address) {
    return tl::make_unexpected(address.error());
  }
  auto impl = std::make_shared<Impl>(loop);
  impl->on_receive = std::move(on_receive);
  error_code ec;
  impl->socket.open(udp::v4(), ec);
  impl->socket.non_blocking(true, ec);
  impl->socket.bind(udp::endpoint(*address, at.port), ec);
  if (ec) {
    return Fail(ResultCode::kIo,
                "cannot bind " + at.Text() + ": " + ec.message());
  }
  impl->Wait();
  return std::unique_ptr<DatagramSocket>(new DatagramSocket(std::move(impl)));
}

bool DatagramSocket::Send(const Endpoint& to, std::string_view bytes) {
  error_code ec;
  auto address = asio::ip::make_address(to.host, ec);
  if (ec) {
    return false;
  }
  impl_->socket.send_to(asio::buffer(bytes.data(), bytes.size()),
                        udp::endpoint(address, to.port), 0, ec);
  return !ec;
}

}  // namespace basilvalve::net
