#include "Core/Edge/accepted_connections.h"

#include <algorithm>
#include <vector>

#include "Core/Common/log.h"

namespace basilvalve::edge {
namespace {

net::ServerLimits PeerLimits() {
  net::ServerLimits limits;
  // The forwarding instance has already enforced the limits for callers.
  limits.header_bytes = 64 * 1024;
  limits.body_bytes = 64ULL * 1024 * 1024;
  limits.idle_timeout = Seconds(60);
  return limits;
}

std::string_view SideName(ConnectionSide side) {
  return side == ConnectionSide::kPeer ? "peer" : "caller";
}

}  // namespace

void ReportShed(EdgeMetrics* metrics, std::string_view side,
                const net::ShedEvent& event) {
  metrics->CountShed(net::ShedReasonName(event.reason));
  LogEvent(LogLevel::kInfo, "edge", net::ShedReasonName(event.reason))
      .With("side", side)
      .With("bytes", static_cast<int64_t>(event.bytes))
      .With("status", event.status)
      .With("age_ms", event.age.count());
}

net::ServerConnections AcceptedConnections::MakeSet(ConnectionSide side) {
  net::ServerConnectionsSettings settings;
  if (side == ConnectionSide::kPeer) {
    settings.limits = PeerLimits();
    settings.request_use = net::MemoryUse::kOther;
    settings.is_evictable = false;
  } else {
    // A call of a caller takes a second connection, to an upstream or instance.
    settings.max_connections = budgets_.connections->limit() / 2;
  }
  return net::ServerConnections(
      loop_, budgets_, settings,
      [this, side](const net::ServerConnection::Ptr& caller,
                   net::ServerRequest request) {
        on_request_(side, caller, std::move(request));
      },
      [this, side](net::ServerConnection* ended) {
        LogLostBytes(side, *ended);
      },
      [this, side](const net::ShedEvent& event) {
        ReportShed(metrics_, SideName(side), event);
      });
}

AcceptedConnections::AcceptedConnections(net::EventLoop* loop,
                                         EdgeMetrics* metrics,
                                         net::ConnectionBudgets budgets,
                                         RequestHandler on_request)
    : loop_(loop),
      metrics_(metrics),
      budgets_(std::move(budgets)),
      on_request_(std::move(on_request)),
      callers_(MakeSet(ConnectionSide::kCaller)),
      peers_(MakeSet(ConnectionSide::kPeer)) {
  budgets_.memory->SetShortageHandler(
      [this](net::MemoryUse use, size_t missing) {
        callers_.OnMemoryShortage(use, missing);
      });
}

AcceptedConnections::~AcceptedConnections() {
  budgets_.memory->SetShortageHandler(nullptr);
}

void AcceptedConnections::Accept(ConnectionSide side,
                                 std::unique_ptr<net::Socket> socket) {
  if (side == ConnectionSide::kPeer && !peers_.HasRoom()) {
    callers_.MakeRoom();
  }
  net::ServerConnection::Ptr accepted = SetOf(side).Accept(std::move(socket));
  if (accepted && is_closing_ && side == ConnectionSide::kCaller) {
    accepted->CloseAfterNextResponse();
  }
}

std::vector<net::ServerConnection::Ptr> AcceptedConnections::All() const {
  std::vector<net::ServerConnection::Ptr> open = callers_.All();
  for (auto& it : peers_.All()) {
    open.push_back(std::move(it));
  }
  return open;
}

void AcceptedConnections::LogLostBytes(ConnectionSide side,
                                       const net::ServerConnection& ended) {
  net::LostBytes lost = ended.lost_bytes();
  if (!lost.any()) {
    return;
  }
  metrics_->CountBytesLost(lost.unwritten, lost.discarded);
  LogEvent(LogLevel::kInfo, "edge", "connection_bytes_lost")
      .With("side", SideName(side))
      .With("unwritten", static_cast<int64_t>(lost.unwritten))
      .With("discarded", static_cast<int64_t>(lost.discarded))
      .With("closed_by", ended.is_closed_by_peer() ? "peer" : "us")
      .With("draining", is_closing_ ? "yes" : "no");
}

void AcceptedConnections::SetCallerLimits(const net::ServerLimits& limits) {
  callers_.SetLimits(limits);
}

void AcceptedConnections::AnnounceClose() {
  is_closing_ = true;
  for (const auto& it : All()) {
    it->CloseAfterNextResponse();
  }
}

void AcceptedConnections::CloseIdle() {
  for (const auto& it : All()) {
    it->CloseWhenIdle();
  }
}

bool AcceptedConnections::HasUnfinishedWork() const {
  std::vector<net::ServerConnection::Ptr> open = All();
  return std::any_of(open.begin(), open.end(), [](const auto& it) {
    return it->busy() || it->lost_bytes().unwritten > 0;
  });
}

size_t AcceptedConnections::UnwrittenBytes() const {
  size_t n = 0;
  for (const auto& it : All()) {
    n += it->lost_bytes().unwritten;
  }
  return n;
}

}  // namespace basilvalve::edge
