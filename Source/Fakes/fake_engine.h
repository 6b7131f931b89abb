// Fake model engine with generated answers, served over HTTP.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "Core/Common/clock.h"
#include "Core/Http/http_server.h"

namespace basilvalve::fakes {

/// Speed and capacity of the engine.
struct EngineSettings {
  std::string name = "engine";
  Millis time_to_first_token{20};
  Millis time_between_tokens{10};
  /// Number of tokens in an answer, unless the request sets `max_tokens`.
  int tokens = 8;
  /// Number of sequences that the engine reports it decodes at once.
  double slots = 32;
  double prefill_tokens_per_s = 4000;
};

/// Faults that can be switched while the engine runs.
struct EngineFaults {
  bool draining = false;
  /// Answers new calls with status 500.
  bool failing = false;
  /// Cuts a stream off after this many events; negative for never.
  int cut_after_events = -1;
  /// Number of further streams that `cut_after_events` applies to.
  int streams_to_cut = 0;
  bool resumable = true;
};

/// Serves the chat completions API. The answer depends only on the prompt, so
/// that a resumed stream can be checked token by token. Thread safe.
class FakeEngine : public http::Handler {
 public:
  explicit FakeEngine(const EngineSettings& settings) : settings_(settings) {}
  void Handle(http::Exchange* exchange) override;

  /// Replaces the faults. Thread safe.
  void SetFaults(const EngineFaults& faults);
  /// Number of completion calls started, including failed ones. Thread safe.
  int64_t calls_started() const { return calls_started_.load(); }
  /// Number of cancel requests received. Thread safe.
  int64_t cancelled() const { return cancelled_.load(); }
  /// Text of token `n`, counted from 0, of the answer to a prompt. Thread safe.
  static std::string TokenText(uint64_t prompt_hash, int n);

 private:
  struct Completion {
    uint64_t prompt_hash = 0;
    int tokens = 0;
    std::string model;
  };

  void HandleCompletion(http::Exchange* exchange);
  void HandleResume(http::Exchange* exchange);
  void HandleLoad(http::Exchange* exchange);
  void HandleFaults(http::Exchange* exchange);
  void StreamAnswer(http::Exchange* exchange, const std::string& id,
                    const Completion& completion, int from);
  void ReplyBuffered(http::Exchange* exchange, const Completion& completion);
  bool ConsumeStreamCut(int* events_before_cut);
  bool IsCancelled(const std::string& id);

  EngineSettings settings_;
  std::atomic<int64_t> calls_started_{0};
  std::atomic<int64_t> cancelled_{0};
  std::atomic<int64_t> running_{0};
  std::mutex mutex_;
  // Guarded by mutex_.
  EngineFaults faults_;
  std::map<std::string, Completion> completions_;
  std::set<std::string> cancelled_ids_;
};

}  // namespace basilvalve::fakes
