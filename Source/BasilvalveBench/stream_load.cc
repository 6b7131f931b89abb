#include "BasilvalveBench/stream_load.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "Core/Common/clock.h"
#include "Core/Http/http_client.h"

namespace basilvalve::bench {
namespace {

/// Latencies of all streams of one target. The mutex guards all members while
/// the load runs.
struct LatencySamples {
  std::mutex mutex;
  std::vector<double> first_token_ms;
  std::vector<double> gap_ms;
  int64_t truncated = 0;
};

double Percentile(std::vector<double>* values, double fraction) {
  if (values->empty()) {
    return 0;
  }
  std::sort(values->begin(), values->end());
  return (*values)[static_cast<size_t>(
      fraction * static_cast<double>(values->size() - 1))];
}

double ToMs(Micros time) { return static_cast<double>(time.count()) / 1000; }

/// Records the arrival times of the chunks of one stream.
class TimingSink : public http::ResponseSink {
 public:
  explicit TimingSink(Instant begin) : start_time_(begin) {}

  bool OnHead(const http::ResponseHead& head) override {
    return head.status == 200;
  }

  bool OnBody(std::string_view chunk) override {
    Instant now = clock_.Now();
    if (last_chunk_time_ == Instant()) {
      first_token_ms = ToMs(now - start_time_);
    } else {
      gaps_ms.push_back(ToMs(now - last_chunk_time_));
    }
    last_chunk_time_ = now;
    tail_.append(chunk);
    done = tail_.find("data: [DONE]") != std::string::npos;
    constexpr size_t kTailBytes = 32;
    if (tail_.size() > kTailBytes) {
      tail_.erase(0, tail_.size() - kTailBytes);
    }
    return !done;
  }

  bool done = false;
  double first_token_ms = 0;
  std::vector<double> gaps_ms;

 private:
  SteadyClock clock_;
  Instant start_time_;
  Instant last_chunk_time_;
  std::string tail_;
};

http::Request BuildRequest(const StreamLoad& load, bool stream,
                           int64_t request_number) {
  nlohmann::json body = {
      {"model", load.model},
      {"stream", stream},
      {"max_tokens", load.tokens},
      {"messages",
       nlohmann::json::array(
           {{{"role", "user"},
             {"content", "Report " + std::to_string(request_number)}}})}};
  http::Request request{"POST", "/v1/chat/completions", "", {}, body.dump()};
  request.headers = {{"Authorization", "Bearer " + load.key},
                     {"Basilvalve-Service", load.service}};
  return request;
}

void RunStream(const StreamLoad& load, const http::Endpoint& endpoint,
               int64_t request_number, LatencySamples* samples) {
  SteadyClock clock;
  TimingSink sink(clock.Now());
  http::Execute(endpoint, BuildRequest(load, true, request_number), {}, &sink);
  std::lock_guard lock(samples->mutex);
  samples->truncated += sink.done ? 0 : 1;
  samples->first_token_ms.push_back(sink.first_token_ms);
  samples->gap_ms.insert(samples->gap_ms.end(), sink.gaps_ms.begin(),
                         sink.gaps_ms.end());
}

void RunAgainst(const StreamLoad& load, const http::Endpoint& endpoint,
                LatencySamples* samples) {
  std::vector<std::thread> threads;
  for (int64_t i = 0; i < load.concurrent; ++i) {
    threads.emplace_back([&, i] {
      for (int64_t round = 0; round < load.rounds; ++round) {
        RunStream(load, endpoint, i * load.rounds + round, samples);
      }
    });
    // Staggers the streams within a token interval, so that their tokens do not
    // arrive in bursts.
    std::this_thread::sleep_for(std::chrono::microseconds(500));
  }
  for (std::thread& it : threads) {
    it.join();
  }
}

void PrintSamples(const char* target, const StreamLoad& load,
                  LatencySamples* samples) {
  std::printf(
      "%s,%lld,%zu,%.2f,%.2f,%.2f,%.2f,%lld\n", target,
      static_cast<long long>(load.concurrent),  // NOLINT(google-runtime-int)
      samples->first_token_ms.size(), Percentile(&samples->first_token_ms, 0.5),
      Percentile(&samples->first_token_ms, 0.99),
      Percentile(&samples->gap_ms, 0.5), Percentile(&samples->gap_ms, 0.99),
      static_cast<long long>(
          samples->truncated));  // NOLINT(google-runtime-int)
}

}  // namespace

int RunStreamLoad(const StreamLoad& load) {
  LatencySamples direct;
  LatencySamples gateway;
  RunAgainst(load, load.direct, &direct);
  RunAgainst(load, load.gateway, &gateway);
  std::printf(
      "side,concurrent,streams,first_p50_ms,first_p99_ms,gap_p50_ms,gap_p99_ms,"
      "cut\n");
  PrintSamples("direct", load, &direct);
  PrintSamples("gateway", load, &gateway);
  return gateway.truncated == 0 ? 0 : 1;
}

int RunRequestLoad(const StreamLoad& load) {
  SteadyClock clock;
  std::atomic<int64_t> failed{0};
  Instant begin = clock.Now();
  std::vector<std::thread> threads;
  for (int64_t i = 0; i < load.concurrent; ++i) {
    threads.emplace_back([&, i] {
      for (int64_t round = 0; round < load.rounds; ++round) {
        http::Request request =
            BuildRequest(load, false, i * load.rounds + round);
        bool ok =
            http::ExecuteBuffered(load.gateway, request, {}, 1 << 20).Is(200);
        failed += ok ? 0 : 1;
      }
    });
  }
  for (std::thread& it : threads) {
    it.join();
  }
  double seconds = ToMs(clock.Now() - begin) / 1000;
  std::printf(
      "requests,seconds,per_second,failed\n%lld,%.2f,%.0f,%lld\n",
      static_cast<long long>(load.concurrent * load.rounds),  // NOLINT
      seconds, static_cast<double>(load.concurrent * load.rounds) / seconds,
      static_cast<long long>(failed.load()));  // NOLINT(google-runtime-int)
  return failed == 0 ? 0 : 1;
}

}  // namespace basilvalve::bench
