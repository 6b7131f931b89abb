#include "Core/Gateway/platform_poller.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "Core/Common/log.h"
#include "Core/Http/http_client.h"
#include "Core/Membership/role_assignment.h"

namespace basilvalve::gateway {
namespace {

using nlohmann::json;

constexpr std::string_view kDirectoryWriterRole = "client-directory";
constexpr size_t kDirectoryWritersPerRegion = 2;
constexpr Millis kUpstreamTimeout{500};
constexpr size_t kMaxUpstreamResponseBytes = 1 << 20;
// The list of all regions is read only once in this many rounds: gateways of
// other regions change slowly and are needed only as first contacts.
constexpr uint64_t kRoundsPerFullList = 10;

}  // namespace

PlatformPoller::PlatformPoller(const NodeParts* parts, Cluster* cluster,
                               platform::InstanceList* instance_list,
                               platform::ClientDirectory* directory,
                               const EntryAdvisor* advisor)
    : parts_(parts),
      cluster_(cluster),
      instance_list_(instance_list),
      directory_(directory),
      advisor_(advisor) {}

PlatformPoller::~PlatformPoller() { Stop(); }

void PlatformPoller::Start() {
  ReadLists();
  list_thread_ = std::thread([this] { RunLists(); });
  load_thread_ = std::thread([this] { RunLoads(); });
}

void PlatformPoller::Stop() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wakeup_.notify_all();
  if (list_thread_.joinable()) {
    list_thread_.join();
  }
  if (load_thread_.joinable()) {
    load_thread_.join();
  }
}

bool PlatformPoller::Wait(Millis time) {
  std::unique_lock lock(mutex_);
  wakeup_.wait_for(lock, time, [this] { return stopping_; });
  return !stopping_;
}

void PlatformPoller::ReadLists() {
  if (list_rounds_++ % kRoundsPerFullList == 0) {
    Result<std::vector<platform::ListedInstance>> all =
        instance_list_->Read(RegionId());
    if (all) {
      cluster_->AddDiscovered(*all);
    }
  }
  Result<std::vector<platform::ListedInstance>> listed =
      instance_list_->Read(parts_->region);
  if (!listed) {
    // Keeps the current upstreams: the list is only one of several sources of
    // upstream state, and calls continue without it.
    LogEvent(LogLevel::kWarn, "platform", "instance_list_read_failed")
        .With("error", listed.error().message);
    return;
  }
  std::erase_if(*listed, [](const platform::ListedInstance& it) {
    return it.kind == platform::ListedKind::kGateway;
  });
  std::vector<std::string> instances;
  for (const membership::MemberInfo& it : parts_->cluster->Live()) {
    instances.push_back(it.id.value());
  }
  std::vector<platform::ListedInstance> used = routing::UpstreamSubset(
      *listed, instances, parts_->self.value(), subset_settings_);
  parts_->upstreams->Refresh(used);
  std::lock_guard lock(mutex_);
  upstreams_ = std::move(used);
}

void PlatformPoller::PublishEntries() {
  if (directory_ == nullptr) {
    return;
  }
  std::vector<http::Endpoint> entries;
  for (const EntryAdvice& it : advisor_->RegionEntries()) {
    entries.push_back(it.endpoint);
  }
  (void)directory_->Publish(parts_->region, Sequence(WallMillis()), entries);
}

void PlatformPoller::PublishIfChanged() {
  bool is_writer =
      membership::HasRole(parts_->cluster->Live(), parts_->self,
                          kDirectoryWriterRole, kDirectoryWritersPerRegion);
  std::vector<std::string> texts;
  for (const EntryAdvice& it : advisor_->RegionEntries()) {
    texts.push_back(it.endpoint.Text());
  }
  std::sort(texts.begin(), texts.end());
  std::string entries;
  for (const std::string& it : texts) {
    entries += it + ",";
  }
  if (is_writer && entries != last_seen_entries_) {
    PublishEntries();
  }
  // Also remembered by instances that are not writers, so that a new writer
  // does not publish unchanged entries again.
  last_seen_entries_ = entries;
}

void PlatformPoller::RunLists() {
  while (Wait(Millis(parts_->settings->list_period_ms))) {
    ReadLists();
    PublishIfChanged();
    parts_->metrics->SetLiveInstances(
        static_cast<int64_t>(parts_->cluster->Live().size()));
    parts_->metrics->SetDocuments(
        static_cast<int64_t>(parts_->catalog->Digest().size()));
    parts_->metrics->SetDocumentConflicts(
        static_cast<int64_t>(parts_->catalog->conflicts()));
    parts_->metrics->SetInFlight(parts_->workspace_shares->InFlight());
    parts_->call_ledger->Expire(parts_->clock->Now());
  }
}

void PlatformPoller::ReadLoad(const platform::ListedInstance& upstream) {
  http::CallTimeouts timeouts{kUpstreamTimeout, kUpstreamTimeout,
                              kUpstreamTimeout};
  http::Request request{"GET", "/v1/load", "", {}, ""};
  http::BufferedResponse response = http::ExecuteBuffered(
      upstream.endpoint, request, timeouts, kMaxUpstreamResponseBytes);
  json load = json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  if (!response.Is(200) || !load.is_object()) {
    return;
  }
  routing::LoadReport report;
  report.running = load.value("running", 0.0);
  report.queued = load.value("queued", 0.0);
  report.backlog_tokens = load.value("backlog_tokens", 0.0);
  report.slots = load.value("slots", report.slots);
  report.prefill_rate = load.value("prefill_tokens_per_s", report.prefill_rate);
  report.lag = Millis(load.value("lag_ms", int64_t{0}));
  report.draining = load.value("draining", false);
  UpstreamId id(upstream.id);
  parts_->upstreams->OnReport(id, report, parts_->clock->Now());
  if (report.draining) {
    parts_->cluster->AnnounceUpstreamLeaving(id);
  }
}

void PlatformPoller::ReadCacheEvents(const platform::ListedInstance& upstream,
                                     uint32_t handle) {
  uint64_t& next = next_cache_event_[upstream.id];
  http::CallTimeouts timeouts{kUpstreamTimeout, kUpstreamTimeout,
                              kUpstreamTimeout};
  http::Request request{
      "GET", "/v1/cache_events", "since=" + std::to_string(next), {}, ""};
  http::BufferedResponse response = http::ExecuteBuffered(
      upstream.endpoint, request, timeouts, kMaxUpstreamResponseBytes);
  json events = json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  if (!response.Is(200) || !events.is_object()) {
    return;
  }
  uint64_t first = events.value("first", next);
  if (first > next) {
    parts_->prefix_index->OnEventGap(handle);
  }
  uint64_t end = events.value("next", next);
  if (end < next) {
    // The upstream has restarted with an empty cache.
    parts_->prefix_index->Forget(handle);
  }
  next = end;
  for (const json& it : events.value("events", json::array())) {
    uint64_t block = it.value("block", uint64_t{0});
    if (it.value("kind", "") == "stored") {
      parts_->prefix_index->Insert({block}, handle);
    } else {
      parts_->prefix_index->Remove(block, handle);
    }
  }
}

void PlatformPoller::RunLoads() {
  while (true) {
    std::vector<platform::ListedInstance> upstreams;
    {
      std::lock_guard lock(mutex_);
      upstreams = upstreams_;
    }
    for (const platform::ListedInstance& it : upstreams) {
      std::optional<uint32_t> handle =
          parts_->upstreams->HandleOf(UpstreamId(it.id));
      ReadLoad(it);
      if (it.kind == platform::ListedKind::kModel && handle) {
        ReadCacheEvents(it, *handle);
      }
    }
    if (!Wait(routing::ReportPeriod(upstreams.size(), subset_settings_))) {
      return;
    }
  }
}

}  // namespace basilvalve::gateway
