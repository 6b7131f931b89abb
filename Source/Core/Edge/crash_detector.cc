#include "Core/Edge/crash_detector.h"

#include <utility>

namespace basilvalve::edge {
namespace {

// A process that ends may close its listening socket after the connections, so
// that one more is accepted and closed at once.
constexpr Millis kAcceptedFor{30};
constexpr int kMaxConnects = 3;

}  // namespace

struct CrashDetector::Verification {
  explicit Verification(net::EventLoop* loop) : timer(loop) {}
  Upstream upstream;
  net::Endpoint endpoint;
  Instant broken_at;
  std::vector<LostCall> calls;
  std::vector<DoneFn> waiting;
  ConnectionPool::Ptr connection;
  int connects = 0;
  net::Timer timer;
};

CrashDetector::CrashDetector(net::EventLoop* loop, ConnectionPool* pool,
                             const flow::UpstreamRegistry* registry,
                             CrashFn on_crash)
    : loop_(loop),
      pool_(pool),
      registry_(registry),
      on_crash_(std::move(on_crash)) {}

CrashDetector::~CrashDetector() {
  for (const auto& [id, verification] : verifications_) {
    verification->connection->Close();
  }
}

void CrashDetector::OnConnectionLost(const Upstream& upstream, LostCall call,
                                     DoneFn done) {
  auto& verification = verifications_[upstream->record.id];
  bool is_new = verification == nullptr;
  if (is_new) {
    verification = std::make_unique<Verification>(loop_);
    verification->upstream = upstream;
    verification->endpoint = {upstream->record.host, upstream->record.port};
    verification->broken_at = loop_->Now();
  }
  verification->calls.push_back(std::move(call));
  if (done) {
    verification->waiting.push_back(std::move(done));
  }
  if (is_new) {
    Connect(verification.get());
  }
}

void CrashDetector::Connect(Verification* verification) {
  ++verification->connects;
  verification->connection = pool_->Open(verification->endpoint);
  verification->connection->SetConnectHandler(
      [this, verification](net::ConnectResult result) {
        OnConnected(verification, result);
      });
}

void CrashDetector::OnConnected(Verification* verification,
                                net::ConnectResult result) {
  if (result != net::ConnectResult::kConnected) {
    const flow::Upstream& upstream = *verification->upstream;
    bool is_leaving = upstream.is_removed || upstream.record.is_draining ||
                      registry_->IsEvacuated(upstream);
    Finish(verification, result == net::ConnectResult::kRefused && !is_leaving);
    return;
  }
  verification->timer.Set(kAcceptedFor, [this, verification] {
    bool is_open = verification->connection->is_reusable();
    if (!is_open && verification->connects < kMaxConnects) {
      Connect(verification);
      return;
    }
    pool_->Put(verification->endpoint, verification->connection);
    Finish(verification, /*has_crashed=*/false);
  });
}

void CrashDetector::Finish(Verification* verification, bool has_crashed) {
  auto node = verifications_.extract(verification->upstream->record.id);
  std::unique_ptr<Verification> ended = std::move(node.mapped());
  if (has_crashed) {
    on_crash_(*ended->upstream, ended->calls, ended->broken_at);
  }
  for (const DoneFn& done : ended->waiting) {
    done(has_crashed);
  }
}

}  // namespace basilvalve::edge
