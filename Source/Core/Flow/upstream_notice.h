// What is known of an upstream's willingness to take calls.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "Core/Common/clock.h"
#include "Core/Flow/calls_per_second.h"

namespace basilvalve::flow {

/// Who said something about an upstream.
enum class NoticeSource {
  /// The upstream itself, in a response to this instance.
  kResponse,
  /// Another instance, in a heartbeat or with a forwarded call's response.
  kInstance,
  /// The upstream's registration.
  kRegistration,
};

/// For log and metrics. Thread safe.
std::string_view SourceName(NoticeSource source);

/// The latest word on one process of an upstream. A process that leaves never
/// comes back, so only the registration takes back what itself said; a pause
/// lasts to the latest end that was stated, since responses on different
/// connections may overtake each other. For the same reason a limit ends only
/// by a response to a call that was sent after the limit was last stated. A
/// restarted upstream gets a new object.
/// Not thread safe.
class UpstreamNotice {
 public:
  using Ptr = std::shared_ptr<UpstreamNotice>;

  struct Word {
    NoticeSource source = NoticeSource::kResponse;
    /// When it was said.
    Instant at;
  };

  /// A statement on the calls that it takes from all instances together.
  struct LimitWord {
    /// nullopt: it has no limit.
    std::optional<CallsPerSecond> limit;
    NoticeSource source = NoticeSource::kResponse;
    /// When a limit was stated; for none, the time from which it has none.
    Instant at;
  };

  /// `started_at_ms`: start of the process, Unix milliseconds; 0 if unknown.
  explicit UpstreamNotice(int64_t started_at_ms)
      : started_at_ms_(started_at_ms) {}

  /// Whether this may be the process that started then. An unknown start
  /// matches any other.
  bool Matches(int64_t started_at_ms) const;
  /// Completes an unknown start. Pre: Matches(started_at_ms).
  void SetStart(int64_t started_at_ms);
  int64_t started_at_ms() const { return started_at_ms_; }

  /// Applies the upstream's registration. Returns whether the upstream counts
  /// as leaving, or not leaving, only since then.
  bool OnRegistered(bool is_draining, Instant at);
  /// Records that the upstream said it is leaving, to this instance or another
  /// one. Returns whether this is new.
  bool OnLeaving(NoticeSource source, Instant at);
  /// Records that the upstream wants no calls from this instance for a time
  /// from now on. Returns whether the pause begins or ends later by that.
  bool OnPause(Millis duration, Instant now);

  /// Records a statement on the limit, unless a later one is known. Returns
  /// whether a limit begins or ends by that.
  bool OnLimit(const LimitWord& word);

  bool IsLeaving() const { return leaving_ || drain_; }
  /// The first word that it is leaving; nullopt if it is not. The upstream's
  /// own is preferred to its registration.
  std::optional<Word> Leaving() const { return leaving_ ? leaving_ : drain_; }
  /// Whether it or another instance said so, rather than its registration.
  bool HasSaidLeaving() const { return leaving_.has_value(); }
  bool IsPaused(Instant now) const { return now < paused_until_; }
  /// End of the pause; in the past if there is none.
  Instant paused_until() const { return paused_until_; }
  /// The latest statement on the limit; nullopt if it never stated one.
  const std::optional<LimitWord>& limit_word() const { return limit_word_; }
  /// The stated limit; nullopt if there is none.
  std::optional<CallsPerSecond> Limit() const {
    return limit_word_ ? limit_word_->limit : std::nullopt;
  }
  /// Whether this instance may send it a new call, within its limit.
  bool Allows(Instant now) const { return !IsLeaving() && !IsPaused(now); }

 private:
  int64_t started_at_ms_;
  std::optional<Word> leaving_;
  // From the registration.
  std::optional<Word> drain_;
  Instant paused_until_;
  std::optional<LimitWord> limit_word_;
};

}  // namespace basilvalve::flow
