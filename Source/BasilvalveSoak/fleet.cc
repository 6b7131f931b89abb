#include "BasilvalveSoak/fleet.h"

namespace basilvalve::soak {
namespace {

const char* const kRegions[] = {"north", "south"};
const ServiceName kService("service");
// Time from the end of an instance to its restart.
constexpr Millis kRestartDelay{700};
// Time that the record of a stopped upstream stays in the registries.
constexpr Millis kRecordRemovalDelay{900};
// Time that a draining upstream keeps serving calls.
constexpr Millis kDrainTime{600};
constexpr Millis kRouteTimeout{2000};
constexpr Millis kStopGrace{5000};

flow::Route MakeRoute(CallKind kind, Millis timeout) {
  flow::Route route;
  route.name = route.prefix = RoutePath(kind);
  route.host = "host";
  route.timeout = timeout;
  route.target = Millis(800);
  route.event_interval_target = Millis(600);
  route.shares = {{kService, 1}};
  // Also set for non-idempotent calls: only the route's kind prevents a retry.
  route.max_attempts = 2;
  route.is_resumable = kind == CallKind::kStream;
  route.kind = kind == CallKind::kRunOnce     ? flow::CallKind::kNonIdempotent
               : kind == CallKind::kRetryable ? flow::CallKind::kIdempotent
                                              : flow::CallKind::kStream;
  return route;
}

// Listeners that reserve ports until the instances start, since the settings of
// an instance contain its own addresses before it listens.
using Reservations = std::vector<std::unique_ptr<net::Listener>>;

Result<net::Endpoint> ReservePort(net::EventLoop* loop,
                                  Reservations* reserved) {
  auto listener = net::Listener::Create(loop, {ProcessLoopbackAddress(), 0},
                                        Millis(1000), [](auto) {});
  if (!listener) {
    return tl::make_unexpected(listener.error());
  }
  reserved->push_back(std::move(*listener));
  return reserved->back()->LocalEndpoint();
}

}  // namespace

Fleet::Fleet(net::EventLoop* loop, InvariantChecker* checker, Random* random,
             FleetSize size)
    : loop_(loop), checker_(checker), random_(random), size_(size) {}

Result<void> Fleet::Start() {
  Reservations reserved;
  for (const char* region : kRegions) {
    for (int i = 0; i < size_.instances; ++i) {
      auto public_address = ReservePort(loop_, &reserved);
      auto peer_address = ReservePort(loop_, &reserved);
      if (!public_address || !peer_address) {
        return tl::make_unexpected(
            (public_address ? peer_address : public_address).error());
      }
      Instance& instance = instances_.emplace_back();
      instance.settings = MakeEdgeSettings(region, i);
      instance.settings.public_address = *public_address;
      instance.settings.peer_address = *peer_address;
      instance.settings.self.public_address =
          instance.settings.public_address.Text();
      instance.settings.self.peer_address =
          instance.settings.peer_address.Text();
      instance.timer = std::make_unique<net::Timer>(loop_);
    }
    for (int i = 0; i < size_.upstreams; ++i) {
      ManagedUpstream& managed = upstreams_.emplace_back();
      managed.record.service = kService;
      managed.record.host = ProcessLoopbackAddress();
      managed.record.data_centre = flow::DataCentreId(region);
      managed.record.region = RegionId(region);
      managed.record.slots = 64;
      managed.timer = std::make_unique<net::Timer>(loop_);
      managed.fault_mode_timer = std::make_unique<net::Timer>(loop_);
    }
  }
  for (ManagedUpstream& managed : upstreams_) {
    StartUpstream(&managed, 0);
  }
  reserved.clear();
  for (Instance& instance : instances_) {
    if (auto started = StartInstance(&instance); !started) {
      return started;
    }
  }
  return {};
}

edge::EdgeSettings Fleet::MakeEdgeSettings(const std::string& region,
                                           int number) {
  edge::EdgeSettings settings;
  settings.self.id = InstanceId(region + "-" + std::to_string(number));
  settings.self.data_centre = flow::DataCentreId(region);
  settings.self.region = RegionId(region);
  settings.retries = {0.2, 50, Seconds(10)};
  settings.region_round_trip = Millis(5);
  settings.stop_grace = kStopGrace;
  settings.seed = random_->Next();
  return settings;
}

Result<void> Fleet::StartInstance(Instance* instance) {
  instance->settings.self.incarnation = ++incarnation_;
  auto node = edge::EdgeNode::Create(loop_, instance->settings, &dialect_);
  if (!node) {
    return tl::make_unexpected(node.error());
  }
  instance->node = std::move(*node);
  instance->is_stopping = false;
  Instant now = loop_->Now();
  for (const ManagedUpstream& managed : upstreams_) {
    instance->node->registry().Upsert(managed.record, now);
  }
  for (Instance& other : instances_) {
    instance->node->fleet().Register(other.settings.self, now);
    if (other.node) {
      other.node->fleet().Register(instance->settings.self, now);
    }
  }
  instance->node->SetDesiredState(MakeDesiredState());
  return {};
}

std::shared_ptr<const flow::DesiredState> Fleet::MakeDesiredState() const {
  // Versions differ in the route timeout, which stays below the callers'
  // timeout.
  Millis timeout =
      kRouteTimeout + Millis(100) * static_cast<int64_t>(version_ % 3);
  return std::make_shared<const flow::DesiredState>(
      version_,
      std::vector<flow::Route>{MakeRoute(CallKind::kRunOnce, timeout),
                               MakeRoute(CallKind::kRetryable, timeout),
                               MakeRoute(CallKind::kStream, timeout)},
      std::map<ServiceName, flow::ServiceTraits>{{kService, {}}},
      flow::IngressLimits());
}

std::optional<net::Endpoint> Fleet::EntryAddress(size_t instance) const {
  const Instance& it = instances_.at(instance);
  if (!it.node || it.is_stopping) {
    return std::nullopt;
  }
  return it.settings.public_address;
}

void Fleet::KillInstance(size_t instance) {
  Instance* it = &instances_.at(instance);
  if (!it->node || it->is_stopping) {
    return;
  }
  it->node.reset();
  it->timer->Set(kRestartDelay, [this, it] {
    if (auto started = StartInstance(it); !started) {
      std::fprintf(stderr, "soak: instance failed to start: %s\n",
                   started.error().message.c_str());
      loop_->Stop();
    }
  });
}

void Fleet::StopInstance(size_t instance) {
  Instance* it = &instances_.at(instance);
  if (!it->node || it->is_stopping) {
    return;
  }
  it->is_stopping = true;
  it->node->BeginDrain([this, it, instance] {
    // Deferred to the loop: the node is still on the call stack.
    loop_->Post([this, it, instance] {
      it->is_stopping = false;
      KillInstance(instance);
    });
  });
}

void Fleet::StartUpstream(ManagedUpstream* managed, uint16_t port) {
  std::string id = "u" + std::to_string(++upstreams_started_);
  managed->upstream = SoakUpstream::Start(loop_, checker_, random_, id, port);
  if (!managed->upstream) {
    // The port is in use by now: take any free one.
    managed->upstream = SoakUpstream::Start(loop_, checker_, random_, id, 0);
  }
  managed->record.id = UpstreamId(id);
  managed->record.port = managed->upstream->port();
  managed->record.is_draining = false;
  UpdateRegistries(managed->record);
}

void Fleet::UpdateRegistries(const flow::UpstreamRecord& record) {
  for (Instance& instance : instances_) {
    if (instance.node) {
      instance.node->registry().Upsert(record, loop_->Now());
    }
  }
}

void Fleet::RemoveFromRegistries(const UpstreamId& id) {
  for (Instance& instance : instances_) {
    if (instance.node) {
      instance.node->registry().Remove(id);
    }
  }
}

void Fleet::ReplaceUpstream(ManagedUpstream* managed) {
  uint16_t port = managed->record.port;
  UpstreamId old_id = managed->record.id;
  managed->upstream.reset();
  // Reuses the address while the registries still hold the old record, so that
  // calls meant for the old upstream reach the new one.
  StartUpstream(managed, port);
  managed->timer->Set(kRecordRemovalDelay,
                      [this, old_id] { RemoveFromRegistries(old_id); });
}

void Fleet::CrashUpstream(size_t upstream) {
  ReplaceUpstream(&upstreams_.at(upstream));
}

void Fleet::DrainUpstream(size_t upstream) {
  ManagedUpstream* managed = &upstreams_.at(upstream);
  managed->record.is_draining = true;
  UpdateRegistries(managed->record);
  managed->timer->Set(kDrainTime,
                      [this, managed] { ReplaceUpstream(managed); });
}

void Fleet::SetUpstreamFault(size_t upstream, FaultMode mode, Millis duration) {
  ManagedUpstream* managed = &upstreams_.at(upstream);
  managed->upstream->SetFaultMode(mode);
  managed->fault_mode_timer->Set(duration, [managed] {
    managed->upstream->SetFaultMode(FaultMode::kHealthy);
  });
}

void Fleet::PublishNewState() {
  ++version_;
  for (Instance& instance : instances_) {
    if (instance.node) {
      instance.node->SetDesiredState(MakeDesiredState());
    }
  }
}

}  // namespace basilvalve::soak
