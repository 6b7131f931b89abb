#include "Core/Flow/upstream_notice.h"

namespace basilvalve::flow {

std::string_view SourceName(NoticeSource source) {
  switch (source) {
    case NoticeSource::kResponse:
      return "response";
    case NoticeSource::kInstance:
      return "instance";
    case NoticeSource::kRegistration:
      return "registration";
  }
  return "";
}

bool UpstreamNotice::Matches(int64_t started_at_ms) const {
  return started_at_ms_ == 0 || started_at_ms == 0 ||
         started_at_ms_ == started_at_ms;
}

void UpstreamNotice::SetStart(int64_t started_at_ms) {
  if (started_at_ms_ == 0) {
    started_at_ms_ = started_at_ms;
  }
}

bool UpstreamNotice::OnRegistered(bool is_draining, Instant at) {
  bool was_leaving = IsLeaving();
  if (!is_draining) {
    drain_.reset();
  } else if (!drain_) {
    drain_ = Word{NoticeSource::kRegistration, at};
  }
  return IsLeaving() != was_leaving;
}

bool UpstreamNotice::OnLeaving(NoticeSource source, Instant at) {
  if (leaving_) {
    return false;
  }
  leaving_ = Word{source, at};
  return true;
}

bool UpstreamNotice::OnPause(Millis duration, Instant now) {
  if (duration <= Millis::zero() || now + duration <= paused_until_) {
    return false;
  }
  paused_until_ = now + duration;
  return true;
}

bool UpstreamNotice::OnLimit(const LimitWord& word) {
  bool is_older = limit_word_ && word.at <= limit_word_->at;
  if (is_older || (!word.limit && !limit_word_)) {
    return false;
  }
  bool was_limited = Limit().has_value();
  limit_word_ = word;
  return Limit().has_value() != was_limited;
}

}  // namespace basilvalve::flow
