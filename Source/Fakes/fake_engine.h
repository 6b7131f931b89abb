// A model engine that makes up its answers.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "Core/Common/clock.h"
#include "Core/Http/http_server.h"

namespace basilvalve::fakes {

/// How the engine behaves.
struct EngineSettings {
  std::string name = "engine";
  Millis time_to_first_token{20};
  Millis time_between_tokens{10};
  /// Tokens of an answer, unless the request says `max_tokens`.
  int tokens = 8;
  double slots = 32;
  double prefill_rate = 4000;
};

/// Faults that can be switched while it runs.
struct EngineFaults {
  bool draining = false;
  /// Answers 500 to new calls.
  bool failing = false;
  /// Cuts the next streams after this many events; negative for never.
  int cut_after_events = -1;
  /// Number of streams that `cut_after_events` still applies to.
  int streams_to_cut = 0;
  bool resumable = true;
};

/// Serves the completions API. Its answer depends only on the prompt, so that a
/// resumed stream can be checked token by token. Thread safe.
class FakeEngine : public http::Handler {
 public:
  explicit FakeEngine(const EngineSettings& settings) : settings_(settings) {}
  void Handle(http::Exchange* exchange) override;

  /// Replaces the faults. Thread safe.
  void SetFaults(const EngineFaults& faults);
  /// Calls that were begun. Thread safe.
  int64_t calls_started() const { return started_.load(); }
  /// Cancel orders received. Thread safe.
  int64_t cancelled() const { return cancelled_.load(); }
  /// Text of the n-th token of the answer to a prompt.
  static std::string TokenText(uint64_t prompt_hash, int n);

 private:
  struct Job {
    uint64_t prompt_hash = 0;
    int tokens = 0;
    std::string model;
  };

  void HandleCompletion(http::Exchange* exchange);
  void HandleResume(http::Exchange* exchange);
  void HandleLoad(http::Exchange* exchange);
  void HandleFaults(http::Exchange* exchange);
  void Stream(http::Exchange* exchange, const std::string& id, const Job& job,
              int from);
  void Buffered(http::Exchange* exchange, const Job& job);
  bool TakeCut(int* after);
  bool IsCancelled(const std::string& id);

  EngineSettings settings_;
  std::atomic<int64_t> started_{0};
  std::atomic<int64_t> cancelled_{0};
  std::atomic<int64_t> running_{0};
  std::mutex mutex_;
  // Guarded by mutex_.
  EngineFaults faults_;
  std::map<std::string, Job> jobs_;
  std::set<std::string> cancelled_ids_;
};

}  // namespace basilvalve::fakes
