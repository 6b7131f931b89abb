#include "BasilvalveSoak/fleet.h"

namespace basilvalve::soak {
namespace {

const char* const kRegions[] = {"north", "south"};
const ServiceName kService("service");
// A process is back after this long.
constexpr Millis kRestartTime{700};
// A record of a crashed upstream stays this long.
constexpr Millis kRecordLag{900};
// An upstream that leaves serves on for this long.
constexpr Millis kLeaveTime{600};
constexpr Millis kRouteTimeout{2000};
constexpr Millis kStopGrace{5000};

flow::Route RouteOf(CallKind kind, Millis timeout) {
  flow::Route route;
  route.name = route.prefix = PathOf(kind);
  route.host = "host";
  route.timeout = timeout;
  route.target = Millis(800);
  route.event_interval_target = Millis(600);
  route.shares = {{kService, 1}};
  // Also for calls that run once: only their kind keeps them from a second run.
  route.max_attempts = 2;
  route.is_resumable = kind == CallKind::kStream;
  route.kind = kind == CallKind::kOnce    ? flow::CallKind::kNonIdempotent
               : kind == CallKind::kAgain ? flow::CallKind::kIdempotent
                                          : flow::CallKind::kStream;
  return route;
}

// Listeners that keep ports until their instances start: those know their own
// addresses before they listen.
using Reservations = std::vector<std::unique_ptr<net::Listener>>;

Result<net::Endpoint> Reserve(net::EventLoop* loop, Reservations* held) {
  auto listener = net::Listener::Create(loop, {LoopbackOfProcess(), 0},
                                        Millis(1000), [](auto) {});
  if (!listener) {
    return tl::make_unexpected(listener.error());
  }
  held->push_back(std::move(*listener));
  return held->back()->LocalEndpoint();
}

}  // namespace

Fleet::Fleet(net::EventLoop* loop, Ledger* ledger, Random* random,
             FleetSize size)
    : loop_(loop), ledger_(ledger), random_(random), size_(size) {}

Result<void> Fleet::Start() {
  Reservations held;
  for (const char* region : kRegions) {
    for (int i = 0; i < size_.instances; ++i) {
      auto public_address = Reserve(loop_, &held);
      auto peer_address = Reserve(loop_, &held);
      if (!public_address || !peer_address) {
        return tl::make_unexpected(
            (public_address ? peer_address : public_address).error());
      }
      Instance& instance = instances_.emplace_back();
      instance.settings = SettingsOf(region, i);
      instance.settings.public_address = *public_address;
      instance.settings.peer_address = *peer_address;
      instance.settings.self.public_address =
          instance.settings.public_address.Text();
      instance.settings.self.peer_address =
          instance.settings.peer_address.Text();
      instance.timer = std::make_unique<net::Timer>(loop_);
    }
    for (int i = 0; i < size_.upstreams; ++i) {
      Place& place = upstreams_.emplace_back();
      place.record.service = kService;
      place.record.host = LoopbackOfProcess();
      place.record.data_centre = flow::DataCentreId(region);
      place.record.region = RegionId(region);
      place.record.slots = 64;
      place.timer = std::make_unique<net::Timer>(loop_);
      place.mood_timer = std::make_unique<net::Timer>(loop_);
    }
  }
  for (Place& place : upstreams_) {
    StartUpstream(&place, 0);
  }
  held.clear();
  for (Instance& instance : instances_) {
    if (auto started = StartInstance(&instance); !started) {
      return started;
    }
  }
  return {};
}

edge::EdgeSettings Fleet::SettingsOf(const std::string& region, int number) {
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
  for (const Place& place : upstreams_) {
    instance->node->registry().Upsert(place.record, now);
  }
  for (Instance& other : instances_) {
    instance->node->fleet().Register(other.settings.self, now);
    if (other.node) {
      other.node->fleet().Register(instance->settings.self, now);
    }
  }
  instance->node->SetDesiredState(State());
  return {};
}

std::shared_ptr<const flow::DesiredState> Fleet::State() const {
  // Versions differ in their timeouts, within what callers bear.
  Millis timeout =
      kRouteTimeout + Millis(100) * static_cast<int64_t>(version_ % 3);
  return std::make_shared<const flow::DesiredState>(
      version_,
      std::vector<flow::Route>{RouteOf(CallKind::kOnce, timeout),
                               RouteOf(CallKind::kAgain, timeout),
                               RouteOf(CallKind::kStream, timeout)},
      std::map<ServiceName, flow::ServiceTraits>{{kService, {}}},
      flow::IngressLimits());
}

std::optional<net::Endpoint> Fleet::EntryOf(size_t instance) const {
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
  it->timer->Set(kRestartTime, [this, it] {
    if (auto started = StartInstance(it); !started) {
      std::fprintf(stderr, "soak: instance does not start: %s\n",
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
    // From the loop: the node is still on the stack.
    loop_->Post([this, it, instance] {
      it->is_stopping = false;
      KillInstance(instance);
    });
  });
}

void Fleet::StartUpstream(Place* place, uint16_t port) {
  std::string id = "u" + std::to_string(++upstreams_started_);
  place->upstream = SoakUpstream::Start(loop_, ledger_, random_, id, port);
  if (!place->upstream) {
    // The port was taken meanwhile: any other will do.
    place->upstream = SoakUpstream::Start(loop_, ledger_, random_, id, 0);
  }
  place->record.id = UpstreamId(id);
  place->record.port = place->upstream->port();
  place->record.is_draining = false;
  Tell(place->record);
}

void Fleet::Tell(const flow::UpstreamRecord& record) {
  for (Instance& instance : instances_) {
    if (instance.node) {
      instance.node->registry().Upsert(record, loop_->Now());
    }
  }
}

void Fleet::TellGone(const UpstreamId& id) {
  for (Instance& instance : instances_) {
    if (instance.node) {
      instance.node->registry().Remove(id);
    }
  }
}

void Fleet::Replace(Place* place) {
  uint16_t port = place->record.port;
  UpstreamId gone = place->record.id;
  place->upstream.reset();
  // The address is used again before all have heard that the first is gone.
  StartUpstream(place, port);
  place->timer->Set(kRecordLag, [this, gone] { TellGone(gone); });
}

void Fleet::CrashUpstream(size_t upstream) {
  Replace(&upstreams_.at(upstream));
}

void Fleet::RetireUpstream(size_t upstream) {
  Place* place = &upstreams_.at(upstream);
  place->record.is_draining = true;
  Tell(place->record);
  place->timer->Set(kLeaveTime, [this, place] { Replace(place); });
}

void Fleet::Upset(size_t upstream, Mood mood, Millis time) {
  Place* place = &upstreams_.at(upstream);
  place->upstream->SetMood(mood);
  place->mood_timer->Set(time,
                         [place] { place->upstream->SetMood(Mood::kWell); });
}

void Fleet::ChangeState() {
  ++version_;
  for (Instance& instance : instances_) {
    if (instance.node) {
      instance.node->SetDesiredState(State());
    }
  }
}

}  // namespace basilvalve::soak
