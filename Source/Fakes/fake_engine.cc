#include "Fakes/fake_engine.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <thread>

#include "Core/Common/hash.h"

namespace basilvalve::fakes {
namespace {

using nlohmann::json;

// Limit on stored completions, which can be resumed; all are dropped when it is
// reached.
constexpr size_t kMaxCompletions = 10000;

std::string FormatEvent(const std::string& id, const std::string& model,
                        const std::string& text) {
  json delta = {
      {"id", id},
      {"object", "chat.completion.chunk"},
      {"model", model},
      {"choices",
       json::array({{{"index", 0}, {"delta", {{"content", text}}}}})}};
  return "data: " + delta.dump() + "\n\n";
}

}  // namespace

std::string FakeEngine::TokenText(uint64_t prompt_hash, int n) {
  uint64_t word = Hash64(std::to_string(n), prompt_hash) & 0xFFFF;
  return "t" + std::to_string(n) + "-" + std::to_string(word) + " ";
}

void FakeEngine::SetFaults(const EngineFaults& faults) {
  std::lock_guard lock(mutex_);
  faults_ = faults;
}

bool FakeEngine::ConsumeStreamCut(int* events_before_cut) {
  std::lock_guard lock(mutex_);
  if (faults_.cut_after_events < 0 || faults_.streams_to_cut == 0) {
    return false;
  }
  --faults_.streams_to_cut;
  *events_before_cut = faults_.cut_after_events;
  return true;
}

bool FakeEngine::IsCancelled(const std::string& id) {
  std::lock_guard lock(mutex_);
  return cancelled_ids_.contains(id);
}

void FakeEngine::StreamAnswer(http::Exchange* exchange, const std::string& id,
                              const Completion& completion, int from) {
  int cut_after_events = 0;
  bool cut = ConsumeStreamCut(&cut_after_events);
  http::Headers headers = {{"Content-Type", "text/event-stream"}};
  {
    std::lock_guard lock(mutex_);
    if (faults_.resumable) {
      headers.push_back({"X-Resumable", "1"});
    }
  }
  std::this_thread::sleep_for(settings_.time_to_first_token);
  if (!exchange->BeginStream(200, headers)) {
    return;
  }
  for (int i = from; i < completion.tokens; ++i) {
    if (cut && i - from >= cut_after_events) {
      exchange->WriteStream("data: {\"par");
      return;
    }
    if (i > from) {
      std::this_thread::sleep_for(settings_.time_between_tokens);
    }
    if (IsCancelled(id) ||
        !exchange->WriteStream(FormatEvent(
            id, completion.model, TokenText(completion.prompt_hash, i)))) {
      return;
    }
  }
  exchange->WriteStream("data: [DONE]\n\n");
  exchange->EndStream();
}

void FakeEngine::ReplyBuffered(http::Exchange* exchange,
                               const Completion& completion) {
  std::string text;
  for (int i = 0; i < completion.tokens; ++i) {
    text += TokenText(completion.prompt_hash, i);
  }
  std::this_thread::sleep_for(settings_.time_to_first_token +
                              settings_.time_between_tokens *
                                  std::max(0, completion.tokens - 1));
  json body = {
      {"object", "chat.completion"},
      {"model", completion.model},
      {"choices",
       json::array({{{"index", 0},
                     {"message", {{"role", "assistant"}, {"content", text}}},
                     {"finish_reason", "stop"}}})}};
  exchange->Reply(200, {{"Content-Type", "application/json"}}, body.dump());
}

void FakeEngine::HandleCompletion(http::Exchange* exchange) {
  const http::Request& request = exchange->request();
  EngineFaults faults;
  {
    std::lock_guard lock(mutex_);
    faults = faults_;
  }
  if (faults.draining) {
    exchange->Reply(503, {{"X-Draining", "1"}}, "draining");
    return;
  }
  calls_started_.fetch_add(1);
  if (faults.failing) {
    exchange->Reply(500, {}, "failing");
    return;
  }
  json body = json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  std::string id(http::FindHeader(request.headers, "X-Request-Id"));
  Completion completion;
  completion.prompt_hash = Hash64(body["messages"].dump());
  completion.tokens = body.value("max_tokens", settings_.tokens);
  completion.model = body.value("model", "");
  {
    std::lock_guard lock(mutex_);
    if (completions_.size() >= kMaxCompletions) {
      completions_.clear();
    }
    completions_[id] = completion;
  }
  running_.fetch_add(1);
  if (body.value("stream", false)) {
    StreamAnswer(exchange, id, completion, 0);
  } else {
    ReplyBuffered(exchange, completion);
  }
  running_.fetch_sub(1);
}

void FakeEngine::HandleResume(http::Exchange* exchange) {
  const http::Request& request = exchange->request();
  std::string id = http::QueryValue(request.query, "id");
  int from = std::atoi(http::QueryValue(request.query, "from").c_str());
  Completion completion;
  {
    std::lock_guard lock(mutex_);
    auto it = completions_.find(id);
    if (it == completions_.end()) {
      exchange->Reply(404, {}, "unknown stream");
      return;
    }
    completion = it->second;
  }
  running_.fetch_add(1);
  StreamAnswer(exchange, id, completion, from);
  running_.fetch_sub(1);
}

void FakeEngine::HandleLoad(http::Exchange* exchange) {
  bool draining = false;
  {
    std::lock_guard lock(mutex_);
    draining = faults_.draining;
  }
  json load = {{"running", running_.load()},
               {"queued", 0},
               {"backlog_tokens", 0},
               {"slots", settings_.slots},
               {"lag_ms", 0},
               {"prefill_tokens_per_s", settings_.prefill_tokens_per_s},
               {"draining", draining}};
  exchange->Reply(200, {{"Content-Type", "application/json"}}, load.dump());
}

void FakeEngine::HandleFaults(http::Exchange* exchange) {
  const std::string& query = exchange->request().query;
  EngineFaults faults;
  faults.draining = http::QueryValue(query, "draining") == "1";
  faults.failing = http::QueryValue(query, "failing") == "1";
  faults.resumable = http::QueryValue(query, "resumable") != "0";
  std::string cut = http::QueryValue(query, "cut_after");
  faults.cut_after_events = cut.empty() ? -1 : std::atoi(cut.c_str());
  faults.streams_to_cut =
      std::atoi(http::QueryValue(query, "cut_count").c_str());
  SetFaults(faults);
  exchange->Reply(200, {}, "ok");
}

void FakeEngine::Handle(http::Exchange* exchange) {
  const std::string& path = exchange->request().path;
  if (path == "/v1/chat/completions") {
    HandleCompletion(exchange);
  } else if (path == "/v1/resume") {
    HandleResume(exchange);
  } else if (path == "/v1/cancel") {
    cancelled_.fetch_add(1);
    std::lock_guard lock(mutex_);
    cancelled_ids_.insert(http::QueryValue(exchange->request().query, "id"));
    exchange->Reply(200, {}, "cancelled");
  } else if (path == "/v1/load") {
    HandleLoad(exchange);
  } else if (path == "/fake/faults") {
    HandleFaults(exchange);
  } else {
    exchange->Reply(404, {}, "no such path");
  }
}

}  // namespace basilvalve::fakes
