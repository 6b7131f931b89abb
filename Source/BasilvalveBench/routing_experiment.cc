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

constexpr double kMicros = 1e6;
constexpr double kMeanPrompt = 1000;
constexpr double kMeanAnswer = 120;
// Sessions share a long beginning of their prompts; new ones start all the
// time.
constexpr size_t kSessions = 400;
constexpr double kSessionPrompt = 700;
constexpr Micros kDeadline{10000000};
constexpr Micros kReportPeriod{1000000};
constexpr double kAnswerBytesPerToken = 60;
constexpr int64_t kMaxTries = 3;

/// One region's engines and instances; each instance has its own table and
/// router.
struct Instance {
  std::unique_ptr<routing::UpstreamTable> table;
  std::unique_ptr<routing::Router> router;
  std::unique_ptr<routing::PrefixIndex> prefixes;
};

struct Region {
  std::vector<VirtualEngine> engines;
  std::vector<bool> live;
  std::vector<Instance> instances;
  Instant returned;
  bool cut = false;
};

/// What an instance has to be told later.
struct Feedback {
  Micros at;
  size_t region;
  size_t instance;
  uint32_t handle;
  Micros predicted;
  Micros observed;
  double uncached;
  bool first;
  bool operator<(const Feedback& other) const { return at > other.at; }
};

/// A report on its way.
struct LateReport {
  Micros at;
  Micros taken;
  size_t region;
  size_t engine;
  routing::LoadReport report;
};

double Percentile(std::vector<double>* values, double part) {
  if (values->empty()) {
    return 0;
  }
  auto at = static_cast<size_t>(part * static_cast<double>(values->size() - 1));
  std::nth_element(values->begin(),
                   values->begin() + static_cast<ptrdiff_t>(at), values->end());
  return (*values)[at];
}

class Experiment {
 public:
  Experiment(const Scenario& scenario, Decider decider,
             routing::ChooserKind chooser, uint64_t seed)
      : scenario_(scenario), decider_(decider), random_(seed) {
    routing::RoutingSettings policy;
    policy.chooser = chooser;
    policy.link.bytes_per_second = scenario.link_bytes_per_second;
    // Baselines stand for plain balancers: they neither refuse nor send away.
    baseline_ = chooser != routing::ChooserKind::kPredicted;
    for (size_t region = 0; region < scenario.regions; ++region) {
      AddRegion(region, policy, seed);
    }
    NewSessions();
  }

  ExperimentResult Run() {
    Schedule();
    Micros now{0};
    while (now < scenario_.length) {
      size_t region = NextArrival(&now);
      Advance(now);
      Arrive(region, now, /*tries=*/1);
    }
    return Summarise();
  }

 private:
  void AddRegion(size_t index, const routing::RoutingSettings& policy,
                 uint64_t seed) {
    Region region;
    region.engines.assign(scenario_.engines[index],
                          VirtualEngine(EngineSpeed{}));
    region.live.assign(scenario_.engines[index], true);
    for (size_t i = 0; i < scenario_.instances_each; ++i) {
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

  void NewSessions() {
    for (size_t i = 0; i < kSessions; ++i) {
      sessions_.push_back(random_.Next());
    }
  }

  double CapacityOf(size_t region) const {
    // Requests per second that the region's engines can carry: the lesser of
    // what prefill and slots allow.
    EngineSpeed speed;
    double token =
        static_cast<double>(
            (speed.token_time + speed.token_time_each * 15).count()) /
        kMicros;
    double by_slots = speed.slots / (kMeanAnswer * token);
    double by_prefill = speed.prefill_rate / (kMeanPrompt * 0.6);
    return std::min(by_slots, by_prefill) *
           static_cast<double>(scenario_.engines[region]);
  }

  double RateOf(size_t region, Micros now) const {
    double rate = scenario_.load[region] * CapacityOf(region);
    bool later = now > scenario_.length / 3;
    return rate * (1 + (later ? scenario_.storm : 0));
  }

  size_t NextArrival(Micros* now) {
    double total = 0;
    for (size_t i = 0; i < scenario_.regions; ++i) {
      total += RateOf(i, *now);
    }
    double wait = -std::log(1 - random_.UniformDouble()) / total;
    *now += Micros(static_cast<int64_t>(wait * kMicros));
    double pick = random_.UniformDouble() * total;
    for (size_t i = 0; i + 1 < scenario_.regions; ++i) {
      pick -= RateOf(i, *now);
      if (pick < 0) {
        return i;
      }
    }
    return scenario_.regions - 1;
  }

  void Schedule() {
    events_ = scenario_.events;
    std::sort(events_.begin(), events_.end(),
              [](const auto& a, const auto& b) { return a.at > b.at; });
  }

  static Instant At(Micros time) { return Instant(Seconds(1) + time); }

  void Advance(Micros now) {
    while (!events_.empty() && events_.back().at <= now) {
      Apply(events_.back());
      events_.pop_back();
    }
    while (next_report_ <= now) {
      TakeReports(next_report_);
      next_report_ += kReportPeriod;
    }
    while (!reports_.empty() && reports_.front().at <= now) {
      Deliver(reports_.front());
      reports_.pop_front();
    }
    while (!feedback_.empty() && feedback_.top().at <= now) {
      Tell(feedback_.top());
      feedback_.pop();
    }
  }

  void Apply(const ScenarioEvent& event) {
    Region& region = regions_[event.region];
    switch (event.kind) {
      case ScenarioEvent::Kind::kEnginesGone:
      case ScenarioEvent::Kind::kEnginesBack:
        for (size_t i = 0; i < event.engines; ++i) {
          region.live[i] = event.kind == ScenarioEvent::Kind::kEnginesBack;
          region.engines[i].DropCache();
        }
        RefreshTables(event.region);
        break;
      case ScenarioEvent::Kind::kSlowEngines:
        for (size_t i = 0; i < event.engines; ++i) {
          EngineSpeed slow;
          slow.prefill_rate /= 5;
          slow.token_time *= 3;
          region.engines[i].SetSpeed(slow);
        }
        break;
      case ScenarioEvent::Kind::kLinkCut:
        region.cut = true;
        break;
      case ScenarioEvent::Kind::kLinkBack:
        region.cut = false;
        region.returned = At(event.at);
        break;
    }
  }

  void TakeReports(Micros now) {
    for (size_t r = 0; r < regions_.size(); ++r) {
      for (size_t e = 0; e < regions_[r].engines.size(); ++e) {
        reports_.push_back(
            {now + scenario_.report_lag, now, r, e,
             regions_[r].engines[e].Report(now, EngineSpeed{}.prefill_rate)});
      }
    }
  }

  void Deliver(const LateReport& late) {
    routing::LoadReport report = late.report;
    report.lag = std::chrono::duration_cast<Millis>(late.at - late.taken);
    for (Instance& it : regions_[late.region].instances) {
      it.table->OnReport(UpstreamId(std::to_string(late.engine)), report,
                         At(late.at));
    }
  }

  void Tell(const Feedback& it) {
    routing::UpstreamTable& table =
        *regions_[it.region].instances[it.instance].table;
    if (it.first) {
      table.OnFirstToken(it.handle, it.uncached, it.predicted, it.observed,
                         it.observed <= scenario_.target, At(it.at));
    } else {
      table.End(it.handle, 0, routing::UpstreamCallResult::kSuccess,
                it.observed, At(it.at));
    }
  }

  EngineJob NewJob() {
    EngineJob job;
    job.id = random_.Next();
    double prompt =
        -std::log(1 - random_.UniformDouble()) * (kMeanPrompt - kSessionPrompt);
    job.prompt_tokens = kSessionPrompt + prompt;
    job.answer_tokens =
        20 - std::log(1 - random_.UniformDouble()) * (kMeanAnswer - 20);
    size_t session = random_.Below(kSessions);
    if (random_.Below(20) == 0) {
      sessions_[session] = random_.Next();
    }
    uint64_t chain = sessions_[session];
    double per_block = static_cast<double>(routing::kPrefixBlockBytes) /
                       routing::kBytesPerToken;
    for (double at = 0; at + per_block <= job.prompt_tokens; at += per_block) {
      bool shared = at + per_block <= kSessionPrompt;
      chain = Hash64(std::to_string(shared ? 1 : job.id), chain);
      job.blocks.push_back(chain);
    }
    return job;
  }

  std::vector<routing::RemoteOption> Remotes(size_t home, Micros now) {
    std::vector<routing::RemoteOption> options;
    if (baseline_ || regions_[home].cut) {
      return options;
    }
    for (size_t r = 0; r < regions_.size(); ++r) {
      if (r == home || regions_[r].cut) {
        continue;
      }
      // Summaries are computed as an instance does: the second best prediction.
      std::vector<Micros> predicted;
      for (const routing::Candidate& it :
           regions_[r].instances[0].table->ModelCandidates(ModelName("m"), {},
                                                           At(now))) {
        predicted.push_back(routing::PredictTimeToFirstToken(it, {256}, {}));
      }
      std::sort(predicted.begin(), predicted.end());
      if (!predicted.empty()) {
        options.push_back({RegionId(std::to_string(r)),
                           predicted[std::min<size_t>(1, predicted.size() - 1)],
                           scenario_.link_delay, regions_[r].returned});
      }
    }
    return options;
  }

  void Arrive(size_t home, Micros now, int64_t tries) {
    EngineJob job = NewJob();
    ++result_.requests;
    if (decider_ == Decider::kOracle) {
      RunOracle(home, job, now);
    } else {
      RunRouter(home, job, now);
    }
    bool again = now > scenario_.length / 3 && tries < kMaxTries &&
                 random_.UniformDouble() < scenario_.retry_storm;
    if (again) {
      Arrive(home, now, tries + 1);
    }
  }

  Micros BestTrue(size_t home, const EngineJob& job, Micros now, size_t* region,
                  size_t* engine) {
    Micros best = Micros::max();
    for (size_t r = 0; r < regions_.size(); ++r) {
      bool barred = r != home && (regions_[r].cut || regions_[home].cut);
      for (size_t e = 0; !barred && e < regions_[r].engines.size(); ++e) {
        if (!regions_[r].live[e]) {
          continue;
        }
        Micros cost = regions_[r].engines[e].TrueFirstToken(job, now) +
                      (r == home ? Micros(0) : 2 * scenario_.link_delay);
        if (cost < best) {
          best = cost;
          *region = r;
          *engine = e;
        }
      }
    }
    return best;
  }

  void RunOracle(size_t home, const EngineJob& job, Micros now) {
    size_t region = 0;
    size_t engine = 0;
    Micros best = BestTrue(home, job, now, &region, &engine);
    if (best > scenario_.target) {
      // It knows that the contract would be missed, so it keeps the place for
      // others.
      ++refused_;
      return;
    }
    Record(home, region, job, regions_[region].engines[engine].Add(job, now));
  }

  void RunRouter(size_t home, const EngineJob& job, Micros now) {
    size_t instance = random_.Below(regions_[home].instances.size());
    routing::RouteDecision decision;
    size_t region = home;
    routing::RouteInput input = InputFor(home, instance, job, now);
    input.remote = Remotes(home, now);
    decision = regions_[home].instances[instance].router->Route(input);
    if (decision.kind == routing::RouteKind::kRemote) {
      region = std::stoul(input.remote[decision.index].region.value());
      instance = random_.Below(regions_[region].instances.size());
      input = InputFor(region, instance, job, now + scenario_.link_delay);
      input.may_forward = false;
      decision = regions_[region].instances[instance].router->Route(input);
    }
    if (decision.kind != routing::RouteKind::kLocal) {
      ++refused_;
      size_t r = 0;
      size_t e = 0;
      refused_wrongly_ +=
          BestTrue(home, job, now, &r, &e) <= scenario_.target ? 1 : 0;
      return;
    }
    RunOn(home, region, instance, input.local[decision.index], decision, job,
          now);
  }

  routing::RouteInput InputFor(size_t region, size_t instance,
                               const EngineJob& job, Micros now) {
    Instance& it = regions_[region].instances[instance];
    routing::RouteInput input;
    input.now = At(now);
    input.local = it.table->ModelCandidates(ModelName("m"), {}, At(now));
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
    input.target = scenario_.target;
    input.remaining =
        baseline_ ? Micros(1LL << 50) : std::min(kDeadline, scenario_.target);
    input.instances = scenario_.instances_each;
    return input;
  }

  void RunOn(size_t home, size_t region, size_t instance,
             const routing::Candidate& chosen,
             const routing::RouteDecision& decision, const EngineJob& job,
             Micros now) {
    Instance& it = regions_[region].instances[instance];
    it.prefixes->Insert(job.blocks, chosen.handle);
    double uncached = std::max(0.0, job.prompt_tokens - chosen.cached_tokens);
    (void)it.table->Start(chosen.handle, uncached, At(now));
    // Handles are given in the order of the first listing, which is the
    // engines' own.
    size_t engine = chosen.handle;
    JobTimes times = regions_[region].engines[engine].Add(job, now);
    feedback_.push({now + times.first_token, region, instance, chosen.handle,
                    decision.predicted_local, times.first_token, uncached,
                    true});
    feedback_.push({times.finished, region, instance, chosen.handle, Micros(0),
                    times.finished - now, 0, false});
    Record(home, region, job, times);
  }

  void Record(size_t home, size_t region, const EngineJob& job,
              const JobTimes& times) {
    Micros first = times.first_token;
    if (region != home) {
      first += 2 * scenario_.link_delay;
      ++away_;
      result_.region_bytes += job.prompt_tokens * routing::kBytesPerToken +
                              job.answer_tokens * kAnswerBytesPerToken;
    }
    first_.push_back(static_cast<double>(first.count()) / 1000);
    between_.push_back(static_cast<double>(times.between_tokens.count()) /
                       1000);
    met_ += first <= scenario_.target ? 1 : 0;
    result_.recomputed += times.recomputed_tokens;
  }

  ExperimentResult Summarise() {
    auto requests = static_cast<double>(result_.requests);
    result_.first_token_p50 = Percentile(&first_, 0.5);
    result_.first_token_p95 = Percentile(&first_, 0.95);
    result_.first_token_p99 = Percentile(&first_, 0.99);
    result_.between_tokens_p95 = Percentile(&between_, 0.95);
    result_.contract_met = static_cast<double>(met_) / requests;
    result_.sent_away = static_cast<double>(away_) / requests;
    result_.refused = static_cast<double>(refused_) / requests;
    result_.refused_wrongly = static_cast<double>(refused_wrongly_) / requests;
    result_.goodput = static_cast<double>(met_) * kMicros /
                      static_cast<double>(scenario_.length.count());
    return result_;
  }

  const Scenario& scenario_;
  Decider decider_;
  Random random_;
  bool baseline_ = false;
  std::vector<Region> regions_;
  std::vector<uint64_t> sessions_;
  std::vector<ScenarioEvent> events_;
  std::deque<LateReport> reports_;
  std::priority_queue<Feedback> feedback_;
  Micros next_report_{0};
  std::vector<double> first_;
  std::vector<double> between_;
  size_t met_ = 0;
  size_t away_ = 0;
  size_t refused_ = 0;
  size_t refused_wrongly_ = 0;
  ExperimentResult result_;
};

}  // namespace

ExperimentResult RunExperiment(const Scenario& scenario, Decider decider,
                               routing::ChooserKind chooser, uint64_t seed) {
  return Experiment(scenario, decider, chooser, seed).Run();
}

}  // namespace basilvalve::bench
