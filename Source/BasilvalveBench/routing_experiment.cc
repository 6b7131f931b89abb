#include "BasilvalveBench/routing_experiment.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>

#include "Core/Common/hash.h"
#include "Core/Routing/prefix_index.h"
#include "Core/Routing/upstream_table.h"

namespace basilvalve::bench {
namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kMeanPromptTokens = 1000;
constexpr double kMeanAnswerTokens = 120;
// Requests of a session share a prompt prefix. New sessions replace old ones
// continuously.
constexpr size_t kSessions = 400;
constexpr double kSharedPromptTokens = 700;
constexpr Micros kDeadline{10000000};
constexpr Micros kReportPeriod{1000000};
constexpr double kAnswerBytesPerToken = 60;
constexpr int64_t kMaxAttempts = 3;

/// A gateway instance with its own upstream table, router and prefix index.
struct Instance {
  std::unique_ptr<routing::UpstreamTable> table;
  std::unique_ptr<routing::Router> router;
  std::unique_ptr<routing::PrefixIndex> prefixes;
};

/// The engines and gateway instances of a region.
struct Region {
  std::vector<VirtualEngine> engines;
  std::vector<bool> live;
  std::vector<Instance> instances;
  Instant link_restored;
  bool link_down = false;
};

/// A call result that an instance learns at a later time.
struct Feedback {
  Micros at;
  size_t region;
  size_t instance;
  uint32_t handle;
  Micros predicted;
  Micros observed;
  double uncached;
  bool is_first_token;
  bool operator<(const Feedback& other) const { return at > other.at; }
};

/// A load report that has not been delivered yet.
struct DelayedReport {
  Micros at;
  Micros measured_at;
  size_t region;
  size_t engine;
  routing::LoadReport report;
};

double Percentile(std::vector<double>* values, double fraction) {
  if (values->empty()) {
    return 0;
  }
  auto at =
      static_cast<size_t>(fraction * static_cast<double>(values->size() - 1));
  std::nth_element(values->begin(),
                   values->begin() + static_cast<ptrdiff_t>(at), values->end());
  return (*values)[at];
}

class Experiment {
 public:
  Experiment(const Scenario& scenario, DecisionSource decision_source,
             routing::ChooserKind chooser, uint64_t seed)
      : scenario_(scenario), decision_source_(decision_source), random_(seed) {
    routing::RoutingSettings policy;
    policy.chooser = chooser;
    policy.link.bytes_per_second = scenario.link_bytes_per_second;
    // Baselines represent plain load balancers: they neither reject nor forward
    // requests to other regions.
    baseline_ = chooser != routing::ChooserKind::kPredicted;
    for (size_t region = 0; region < scenario.regions; ++region) {
      AddRegion(region, policy, seed);
    }
    CreateSessions();
  }

  ExperimentResult Run() {
    SortEvents();
    Micros now{0};
    while (now < scenario_.duration) {
      size_t region = NextArrival(&now);
      AdvanceTo(now);
      HandleArrival(region, now, /*attempt=*/1);
    }
    return Summarize();
  }

 private:
  void AddRegion(size_t index, const routing::RoutingSettings& policy,
                 uint64_t seed) {
    Region region;
    region.engines.assign(scenario_.engines[index],
                          VirtualEngine(EngineSpeed{}));
    region.live.assign(scenario_.engines[index], true);
    for (size_t i = 0; i < scenario_.instances_per_region; ++i) {
      Instance instance;
      admission::ConcurrencySettings concurrency;
      concurrency.initial = baseline_ ? 1e9 : concurrency.initial;
      concurrency.max = baseline_ ? 1e9 : concurrency.max;
      concurrency.min = baseline_ ? 1e9 : concurrency.min;
      instance.table = std::make_unique<routing::UpstreamTable>(
          admission::BreakerSettings{}, concurrency);
      instance.router =
          std::make_unique<routing::Router>(policy, seed * 97 + index * 7 + i);
      instance.prefixes = std::make_unique<routing::PrefixIndex>(100000);
      region.instances.push_back(std::move(instance));
    }
    regions_.push_back(std::move(region));
    RefreshTables(index);
  }

  void RefreshTables(size_t index) {
    std::vector<platform::ListedInstance> listed;
    for (size_t i = 0; i < regions_[index].engines.size(); ++i) {
      if (regions_[index].live[i]) {
        platform::ListedInstance it;
        it.id = std::to_string(i);
        it.models = {ModelName("m")};
        listed.push_back(it);
      }
    }
    for (Instance& it : regions_[index].instances) {
      it.table->Refresh(listed);
    }
  }

  void CreateSessions() {
    for (size_t i = 0; i < kSessions; ++i) {
      sessions_.push_back(random_.Next());
    }
  }

  double CapacityOf(size_t region) const {
    // Requests per second that the region's engines sustain: the smaller of the
    // limits by prefill rate and by decoding slots.
    EngineSpeed speed;
    double token_seconds =
        static_cast<double>(
            (speed.token_time + speed.token_time_per_sequence * 15).count()) /
        kMicrosPerSecond;
    double slot_limit = speed.slots / (kMeanAnswerTokens * token_seconds);
    double prefill_limit = speed.prefill_rate / (kMeanPromptTokens * 0.6);
    return std::min(slot_limit, prefill_limit) *
           static_cast<double>(scenario_.engines[region]);
  }

  double ArrivalRate(size_t region, Micros now) const {
    double rate = scenario_.offered_load[region] * CapacityOf(region);
    bool after_onset = now > scenario_.duration / 3;
    return rate * (1 + (after_onset ? scenario_.surge_factor : 0));
  }

  size_t NextArrival(Micros* now) {
    double total = 0;
    for (size_t i = 0; i < scenario_.regions; ++i) {
      total += ArrivalRate(i, *now);
    }
    double wait_seconds = -std::log(1 - random_.UniformDouble()) / total;
    *now += Micros(static_cast<int64_t>(wait_seconds * kMicrosPerSecond));
    double pick = random_.UniformDouble() * total;
    for (size_t i = 0; i + 1 < scenario_.regions; ++i) {
      pick -= ArrivalRate(i, *now);
      if (pick < 0) {
        return i;
      }
    }
    return scenario_.regions - 1;
  }

  void SortEvents() {
    events_ = scenario_.events;
    std::sort(events_.begin(), events_.end(),
              [](const auto& a, const auto& b) { return a.at > b.at; });
  }

  static Instant ToInstant(Micros time) { return Instant(Seconds(1) + time); }

  void AdvanceTo(Micros now) {
    while (!events_.empty() && events_.back().at <= now) {
      ApplyEvent(events_.back());
      events_.pop_back();
    }
    while (next_report_ <= now) {
      CollectReports(next_report_);
      next_report_ += kReportPeriod;
    }
    while (!reports_.empty() && reports_.front().at <= now) {
      DeliverReport(reports_.front());
      reports_.pop_front();
    }
    while (!feedback_.empty() && feedback_.top().at <= now) {
      DeliverFeedback(feedback_.top());
      feedback_.pop();
    }
  }

  void ApplyEvent(const ScenarioEvent& event) {
    Region& region = regions_[event.region];
    switch (event.kind) {
      case ScenarioEvent::Kind::kEnginesDown:
      case ScenarioEvent::Kind::kEnginesUp:
        for (size_t i = 0; i < event.engine_count; ++i) {
          region.live[i] = event.kind == ScenarioEvent::Kind::kEnginesUp;
          region.engines[i].ClearCache();
        }
        RefreshTables(event.region);
        break;
      case ScenarioEvent::Kind::kEnginesSlowed:
        for (size_t i = 0; i < event.engine_count; ++i) {
          EngineSpeed slow;
          slow.prefill_rate /= 5;
          slow.token_time *= 3;
          region.engines[i].SetSpeed(slow);
        }
        break;
      case ScenarioEvent::Kind::kLinkDown:
        region.link_down = true;
        break;
      case ScenarioEvent::Kind::kLinkUp:
        region.link_down = false;
        region.link_restored = ToInstant(event.at);
        break;
    }
  }

  void CollectReports(Micros now) {
    for (size_t r = 0; r < regions_.size(); ++r) {
      for (size_t e = 0; e < regions_[r].engines.size(); ++e) {
        reports_.push_back({now + scenario_.report_lag, now, r, e,
                            regions_[r].engines[e].MakeReport(
                                now, EngineSpeed{}.prefill_rate)});
      }
    }
  }

  void DeliverReport(const DelayedReport& delayed) {
    routing::LoadReport report = delayed.report;
    report.lag =
        std::chrono::duration_cast<Millis>(delayed.at - delayed.measured_at);
    for (Instance& it : regions_[delayed.region].instances) {
      it.table->OnReport(UpstreamId(std::to_string(delayed.engine)), report,
                         ToInstant(delayed.at));
    }
  }

  void DeliverFeedback(const Feedback& it) {
    routing::UpstreamTable& table =
        *regions_[it.region].instances[it.instance].table;
    if (it.is_first_token) {
      table.OnFirstToken(it.handle, it.uncached, it.predicted, it.observed,
                         it.observed <= scenario_.target_latency,
                         ToInstant(it.at));
    } else {
      table.End(it.handle, 0, routing::UpstreamCallResult::kSuccess,
                it.observed, ToInstant(it.at));
    }
  }

  EngineJob CreateJob() {
    EngineJob job;
    job.id = random_.Next();
    double prompt = -std::log(1 - random_.UniformDouble()) *
                    (kMeanPromptTokens - kSharedPromptTokens);
    job.prompt_tokens = kSharedPromptTokens + prompt;
    job.answer_tokens =
        20 - std::log(1 - random_.UniformDouble()) * (kMeanAnswerTokens - 20);
    size_t session = random_.Below(kSessions);
    if (random_.Below(20) == 0) {
      sessions_[session] = random_.Next();
    }
    uint64_t block_hash = sessions_[session];
    double tokens_per_block = static_cast<double>(routing::kPrefixBlockBytes) /
                              routing::kBytesPerToken;
    for (double at = 0; at + tokens_per_block <= job.prompt_tokens;
         at += tokens_per_block) {
      bool shared = at + tokens_per_block <= kSharedPromptTokens;
      block_hash = Hash64(std::to_string(shared ? 1 : job.id), block_hash);
      job.blocks.push_back(block_hash);
    }
    return job;
  }

  std::vector<routing::RemoteOption> RemoteOptions(size_t origin, Micros now) {
    std::vector<routing::RemoteOption> options;
    if (baseline_ || regions_[origin].link_down) {
      return options;
    }
    for (size_t r = 0; r < regions_.size(); ++r) {
      if (r == origin || regions_[r].link_down) {
        continue;
      }
      // A region advertises its second best predicted latency, as instances do
      // in their summaries.
      std::vector<Micros> predicted;
      for (const routing::Candidate& it :
           regions_[r].instances[0].table->ModelCandidates(ModelName("m"), {},
                                                           ToInstant(now))) {
        predicted.push_back(routing::PredictTimeToFirstToken(it, {256}, {}));
      }
      std::sort(predicted.begin(), predicted.end());
      if (!predicted.empty()) {
        options.push_back({RegionId(std::to_string(r)),
                           predicted[std::min<size_t>(1, predicted.size() - 1)],
                           scenario_.link_delay, regions_[r].link_restored});
      }
    }
    return options;
  }

  void HandleArrival(size_t origin, Micros now, int64_t attempt) {
    EngineJob job = CreateJob();
    ++result_.requests;
    if (decision_source_ == DecisionSource::kOracle) {
      RouteWithOracle(origin, job, now);
    } else {
      RouteWithRouter(origin, job, now);
    }
    bool retry = now > scenario_.duration / 3 && attempt < kMaxAttempts &&
                 random_.UniformDouble() < scenario_.retry_probability;
    if (retry) {
      HandleArrival(origin, now, attempt + 1);
    }
  }

  /// Finds the live, reachable engine with the lowest true time to first token,
  /// link delay included. Returns that time, or Micros::max() if there is none.
  Micros FindBestEngine(size_t origin, const EngineJob& job, Micros now,
                        size_t* region, size_t* engine) {
    Micros best = Micros::max();
    for (size_t r = 0; r < regions_.size(); ++r) {
      bool unreachable =
          r != origin && (regions_[r].link_down || regions_[origin].link_down);
      for (size_t e = 0; !unreachable && e < regions_[r].engines.size(); ++e) {
        if (!regions_[r].live[e]) {
          continue;
        }
        Micros cost = regions_[r].engines[e].TrueTimeToFirstToken(job, now) +
                      (r == origin ? Micros(0) : 2 * scenario_.link_delay);
        if (cost < best) {
          best = cost;
          *region = r;
          *engine = e;
        }
      }
    }
    return best;
  }

  void RouteWithOracle(size_t origin, const EngineJob& job, Micros now) {
    size_t region = 0;
    size_t engine = 0;
    Micros best = FindBestEngine(origin, job, now, &region, &engine);
    if (best > scenario_.target_latency) {
      // No engine can meet the target, so the capacity is left to requests that
      // can meet theirs.
      ++rejected_;
      return;
    }
    RecordTimes(origin, region, job,
                regions_[region].engines[engine].Add(job, now));
  }

  void RouteWithRouter(size_t origin, const EngineJob& job, Micros now) {
    size_t instance = random_.Below(regions_[origin].instances.size());
    routing::RouteDecision decision;
    size_t region = origin;
    routing::RouteInput input = MakeRouteInput(origin, instance, job, now);
    input.remote = RemoteOptions(origin, now);
    decision = regions_[origin].instances[instance].router->Route(input);
    if (decision.kind == routing::RouteKind::kRemote) {
      region = std::stoul(input.remote[decision.index].region.value());
      instance = random_.Below(regions_[region].instances.size());
      input = MakeRouteInput(region, instance, job, now + scenario_.link_delay);
      input.may_forward = false;
      decision = regions_[region].instances[instance].router->Route(input);
    }
    if (decision.kind != routing::RouteKind::kLocal) {
      ++rejected_;
      size_t r = 0;
      size_t e = 0;
      wrongly_rejected_ +=
          FindBestEngine(origin, job, now, &r, &e) <= scenario_.target_latency
              ? 1
              : 0;
      return;
    }
    ExecuteOn(origin, region, instance, input.local[decision.index], decision,
              job, now);
  }

  routing::RouteInput MakeRouteInput(size_t region, size_t instance,
                                     const EngineJob& job, Micros now) {
    Instance& it = regions_[region].instances[instance];
    routing::RouteInput input;
    input.now = ToInstant(now);
    input.local = it.table->ModelCandidates(ModelName("m"), {}, ToInstant(now));
    std::vector<uint32_t> handles;
    for (const routing::Candidate& c : input.local) {
      handles.push_back(c.handle);
    }
    std::vector<double> cached;
    it.prefixes->Match(job.blocks, handles, &cached);
    for (size_t i = 0; i < cached.size(); ++i) {
      input.local[i].cached_tokens = cached[i];
    }
    input.prompt.tokens = job.prompt_tokens;
    input.prefix_hash = job.blocks.empty() ? job.id : job.blocks.front();
    input.body_bytes = job.prompt_tokens * routing::kBytesPerToken;
    input.target = scenario_.target_latency;
    input.remaining = baseline_ ? Micros(1LL << 50)
                                : std::min(kDeadline, scenario_.target_latency);
    input.instances = scenario_.instances_per_region;
    return input;
  }

  void ExecuteOn(size_t origin, size_t region, size_t instance,
                 const routing::Candidate& chosen,
                 const routing::RouteDecision& decision, const EngineJob& job,
                 Micros now) {
    Instance& it = regions_[region].instances[instance];
    it.prefixes->Insert(job.blocks, chosen.handle);
    double uncached = std::max(0.0, job.prompt_tokens - chosen.cached_tokens);
    (void)it.table->Start(chosen.handle, uncached, ToInstant(now));
    // The table assigns handles in the order of its first refresh, which lists
    // the engines by index.
    size_t engine = chosen.handle;
    JobTimes times = regions_[region].engines[engine].Add(job, now);
    feedback_.push({now + times.first_token, region, instance, chosen.handle,
                    decision.predicted_local, times.first_token, uncached,
                    true});
    feedback_.push({times.finished, region, instance, chosen.handle, Micros(0),
                    times.finished - now, 0, false});
    RecordTimes(origin, region, job, times);
  }

  void RecordTimes(size_t origin, size_t region, const EngineJob& job,
                   const JobTimes& times) {
    Micros first = times.first_token;
    if (region != origin) {
      first += 2 * scenario_.link_delay;
      ++forwarded_;
      result_.cross_region_bytes +=
          job.prompt_tokens * routing::kBytesPerToken +
          job.answer_tokens * kAnswerBytesPerToken;
    }
    first_token_ms_.push_back(static_cast<double>(first.count()) / 1000);
    between_tokens_ms_.push_back(
        static_cast<double>(times.between_tokens.count()) / 1000);
    target_met_ += first <= scenario_.target_latency ? 1 : 0;
    result_.total_recomputed_tokens += times.recomputed_tokens;
  }

  ExperimentResult Summarize() {
    auto requests = static_cast<double>(result_.requests);
    result_.first_token_p50_ms = Percentile(&first_token_ms_, 0.5);
    result_.first_token_p95_ms = Percentile(&first_token_ms_, 0.95);
    result_.first_token_p99_ms = Percentile(&first_token_ms_, 0.99);
    result_.between_tokens_p95_ms = Percentile(&between_tokens_ms_, 0.95);
    result_.target_met_ratio = static_cast<double>(target_met_) / requests;
    result_.forwarded_ratio = static_cast<double>(forwarded_) / requests;
    result_.rejected_ratio = static_cast<double>(rejected_) / requests;
    result_.wrongly_rejected_ratio =
        static_cast<double>(wrongly_rejected_) / requests;
    result_.goodput_per_second =
        static_cast<double>(target_met_) * kMicrosPerSecond /
        static_cast<double>(scenario_.duration.count());
    return result_;
  }

  const Scenario& scenario_;
  DecisionSource decision_source_;
  Random random_;
  bool baseline_ = false;
  std::vector<Region> regions_;
  std::vector<uint64_t> sessions_;
  std::vector<ScenarioEvent> events_;
  std::deque<DelayedReport> reports_;
  std::priority_queue<Feedback> feedback_;
  Micros next_report_{0};
  std::vector<double> first_token_ms_;
  std::vector<double> between_tokens_ms_;
  size_t target_met_ = 0;
  size_t forwarded_ = 0;
  size_t rejected_ = 0;
  size_t wrongly_rejected_ = 0;
  ExperimentResult result_;
};

}  // namespace

ExperimentResult RunExperiment(const Scenario& scenario,
                               DecisionSource decision_source,
                               routing::ChooserKind chooser, uint64_t seed) {
  return Experiment(scenario, decision_source, chooser, seed).Run();
}

}  // namespace basilvalve::bench
