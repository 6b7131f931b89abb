#include "Core/Edge/notice_recorder.h"

#include <algorithm>

#include "Core/Common/log.h"
#include "Core/Edge/hop_header.h"

namespace basilvalve::edge {

using flow::NoticeSource;

namespace {

// The end of a limit is reported this long, so that lost heartbeats do not
// leave an instance with the limit.
constexpr Seconds kUnlimitedReportTime{30};

}  // namespace

NoticeRecorder::NoticeRecorder(flow::UpstreamRegistry* registry,
                               EdgeMetrics* metrics, UnwillingFn on_unwilling)
    : registry_(registry),
      metrics_(metrics),
      on_unwilling_(std::move(on_unwilling)) {
  registry_->SetLeavingHandler(
      [this](const flow::Upstream& upstream, Instant now) {
        OnRegistered(upstream, now);
      });
}

NoticeRecorder::~NoticeRecorder() { registry_->SetLeavingHandler({}); }

void NoticeRecorder::OnRegistered(const flow::Upstream& upstream, Instant now) {
  auto word = upstream.notice->Leaving();
  if (!word) {
    LogEvent(LogLevel::kInfo, "edge", "upstream_stays")
        .With("upstream", upstream.record.id.value())
        .With("source", SourceName(NoticeSource::kRegistration))
        .With("started_at_ms", upstream.notice->started_at_ms());
    return;
  }
  Announce(upstream.record.id, *upstream.notice, *word, now);
}

void NoticeRecorder::Announce(const UpstreamId& id,
                              const flow::UpstreamNotice& notice,
                              const flow::UpstreamNotice::Word& word,
                              Instant now) {
  metrics_->CountNotice("leaving", SourceName(word.source));
  LogEvent(LogLevel::kInfo, "edge", "upstream_leaving")
      .With("upstream", id.value())
      .With("source", SourceName(word.source))
      .With("age_ms", std::chrono::floor<Millis>(now - word.at).count())
      .With("started_at_ms", notice.started_at_ms());
  on_unwilling_(id);
}

void NoticeRecorder::OnLeaving(const UpstreamId& id,
                               flow::UpstreamNotice* notice,
                               NoticeSource source, Instant said_at,
                               Instant now) {
  bool was_leaving = notice->IsLeaving();
  if (notice->OnLeaving(source, said_at) && !was_leaving) {
    Announce(id, *notice, {source, said_at}, now);
  }
}

void NoticeRecorder::OnResponse(const UpstreamId& id,
                                flow::UpstreamNotice* notice,
                                const ResponseInfo& response, Instant sent_at,
                                Instant now) {
  // The upstream said it at some time between the two, so that a limit counts
  // as late as possible, its absence as early.
  if (response.named_call == NamedCall::kThis &&
      (response.limit || response.is_unlimited)) {
    OnLimit(id, notice,
            {response.limit, NoticeSource::kResponse,
             response.limit ? now : sent_at},
            now);
  }
  if (response.is_leaving) {
    OnLeaving(id, notice, NoticeSource::kResponse, now, now);
  }
  if (notice->OnPause(response.pause, now)) {
    metrics_->CountNotice("pause", SourceName(NoticeSource::kResponse));
    LogEvent(LogLevel::kInfo, "edge", "upstream_paused")
        .With("upstream", id.value())
        .With("source", SourceName(NoticeSource::kResponse))
        .With("age_ms", 0)
        .With("pause_ms", response.pause.count())
        .With("started_at_ms", notice->started_at_ms());
    on_unwilling_(id);
  }
}

void NoticeRecorder::OnLimit(const UpstreamId& id, flow::UpstreamNotice* notice,
                             const flow::UpstreamNotice::LimitWord& word,
                             Instant now) {
  if (!notice->OnLimit(word)) {
    return;
  }
  metrics_->CountNotice(word.limit ? "limited" : "unlimited",
                        SourceName(word.source));
  LogEvent(LogLevel::kInfo, "edge",
           word.limit ? "upstream_limited" : "upstream_unlimited")
      .With("upstream", id.value())
      .With("source", SourceName(word.source))
      .With("age_ms", std::chrono::floor<Millis>(now - word.at).count())
      .With("calls_per_s",
            word.limit ? std::to_string(word.limit->value()) : "any")
      .With("started_at_ms", notice->started_at_ms());
  if (word.limit) {
    on_unwilling_(id);
  }
}

void NoticeRecorder::OnHopLeaving(const std::string& text, Instant now) {
  auto leaving = ParseHopLeaving(text);
  auto upstream = leaving ? registry_->Find(leaving->upstream) : nullptr;
  if (upstream && upstream->notice->Matches(leaving->started_at_ms)) {
    OnLeaving(leaving->upstream, upstream->notice.get(),
              NoticeSource::kInstance, now, now);
  }
}

void NoticeRecorder::OnReports(const std::vector<flow::LeavingReport>& reports,
                               Instant now) {
  for (const flow::LeavingReport& report : reports) {
    auto upstream = registry_->Find(report.upstream);
    if (upstream && upstream->notice->Matches(report.started_at_ms)) {
      OnLeaving(upstream->record.id, upstream->notice.get(),
                NoticeSource::kInstance,
                now - std::max(report.age, Millis::zero()), now);
    }
  }
}

void NoticeRecorder::OnReports(const std::vector<flow::LimitReport>& reports,
                               Instant now) {
  for (const flow::LimitReport& report : reports) {
    auto upstream = registry_->Find(report.upstream);
    if (upstream && upstream->notice->Matches(report.started_at_ms)) {
      OnLimit(upstream->record.id, upstream->notice.get(),
              {report.limit, NoticeSource::kInstance, now - report.age}, now);
    }
  }
}

std::vector<flow::LeavingReport> NoticeRecorder::Reports(Instant now) const {
  std::vector<flow::LeavingReport> reports;
  for (const auto& [id, upstream] : registry_->all()) {
    if (upstream->notice->HasSaidLeaving()) {
      reports.push_back(
          {flow::ShortIdOf(id), upstream->notice->started_at_ms(),
           std::chrono::floor<Millis>(now - upstream->notice->Leaving()->at)});
    }
  }
  return reports;
}

std::vector<flow::LimitReport> NoticeRecorder::LimitReports(Instant now) const {
  std::vector<flow::LimitReport> reports;
  for (const auto& [id, upstream] : registry_->all()) {
    const auto& word = upstream->notice->limit_word();
    if (!word || word->source != NoticeSource::kResponse ||
        (!word->limit && now - word->at > kUnlimitedReportTime)) {
      continue;
    }
    reports.push_back({flow::ShortIdOf(id), upstream->notice->started_at_ms(),
                       word->limit,
                       std::chrono::floor<Millis>(now - word->at)});
  }
  return reports;
}

}  // namespace basilvalve::edge
