#include "BasilvalveProcessSoak/ledger.h"

#include <algorithm>
#include <cstdarg>
#include <cstdio>

#include "BasilvalveProcessSoak/channel.h"

namespace basilvalve::process_soak {
namespace {

constexpr int64_t kStableWindowMs = 5000;
constexpr int64_t kMaxOverlapMs = 400;
const std::string kThisProcess = "this process";

bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

Ledger::Ledger(const std::string& record_path)
    : record_(record_path), start_ms_(NowMs()) {}

void Ledger::Line(const char* format, ...) {
  char text[1024];
  va_list args;
  va_start(args, format);
  vsnprintf(text, sizeof(text), format, args);
  va_end(args);
  char at[32];
  snprintf(at, sizeof(at), "%8.3f ",
           static_cast<double>(NowMs() - start_ms_) / 1000);
  std::lock_guard lock(mutex_);
  record_ << at << text << "\n" << std::flush;
}

void Ledger::OnSent(const std::string& id, const std::string& kind,
                    bool may_repeat, bool is_stream, const std::string& entry) {
  Line("sent %s %s to %s", kind.c_str(), id.c_str(), entry.c_str());
  std::lock_guard lock(mutex_);
  Attempt& attempt = attempts_[id];
  attempt.kind = kind;
  attempt.entry = entry;
  attempt.may_repeat = may_repeat;
  attempt.is_stream = is_stream;
}

void Ledger::OnEnded(const std::string& id, int status,
                     const std::string& ending) {
  Line("answer %s %d %s", id.c_str(), status, ending.c_str());
  std::lock_guard lock(mutex_);
  attempts_[id].status = status;
  attempts_[id].ending = ending;
}

size_t Ledger::OnRunBegan(const std::string& id, const std::string& worker,
                          const std::string& sender) {
  Line("run %s at %s from %s", id.c_str(), worker.c_str(), sender.c_str());
  std::lock_guard lock(mutex_);
  std::vector<Run>& runs = attempts_[id].runs;
  runs.push_back({worker, sender, NowMs()});
  return runs.size() - 1;
}

void Ledger::OnRunEnded(const std::string& id, size_t run) {
  Line("run_ended %s", id.c_str());
  std::lock_guard lock(mutex_);
  attempts_[id].runs[run].ended_ms = NowMs();
}

void Ledger::OnDisturbed(const std::string& who, int64_t until_ms) {
  std::lock_guard lock(mutex_);
  disturbances_[who].push_back({NowMs(), until_ms});
}

void Ledger::OnStalled() {
  OnDisturbed(kThisProcess, NowMs());
  Count("stalls");
}

void Ledger::Count(const std::string& what) {
  std::lock_guard lock(mutex_);
  ++counts_[what];
}

void Ledger::AddViolation(const std::string& line) {
  Line("%s", line.c_str());
  std::lock_guard lock(mutex_);
  violations_.push_back(line);
}

bool Ledger::IsCalm(const std::string& who, int64_t at_ms) const {
  auto it = disturbances_.find(who);
  return it == disturbances_.end() ||
         std::none_of(it->second.begin(), it->second.end(),
                      [&](const Disturbance& d) {
                        return d.from_ms <= at_ms + kMaxOverlapMs &&
                               d.until_ms >= at_ms - kStableWindowMs;
                      });
}

bool Ledger::IsCalmNow(const std::string& who) {
  std::lock_guard lock(mutex_);
  return IsCalm(who, NowMs());
}

void Ledger::JudgeOverlap(const std::string& id, const Attempt& attempt) {
  for (const Run& before : attempt.runs) {
    for (const Run& after : attempt.runs) {
      if (before.worker == after.worker || before.began_ms > after.began_ms ||
          &before == &after ||
          before.ended_ms <= after.began_ms + kMaxOverlapMs) {
        continue;
      }
      ++counts_["overlaps"];
      const std::string* involved[] = {&before.worker, &after.worker,
                                       &before.sender, &after.sender,
                                       &attempt.entry, &kThisProcess};
      if (before.sender.empty() || after.sender.empty() ||
          !std::all_of(std::begin(involved), std::end(involved),
                       [&](const std::string* who) {
                         return IsCalm(*who, after.began_ms);
                       })) {
        ++counts_["overlaps_excused"];
        continue;
      }
      violations_.push_back("TWICE (still works): " + attempt.kind + " " + id +
                            " at " + before.worker + " and " + after.worker);
    }
  }
}

std::vector<std::string> Ledger::Judge() {
  std::lock_guard lock(mutex_);
  for (const auto& [id, attempt] : attempts_) {
    ++counts_["requests"];
    counts_["runs"] += static_cast<int>(attempt.runs.size());
    counts_["refused"] += IsPromise(attempt.status) ? 1 : 0;
    counts_["served"] += attempt.status == 200 ? 1 : 0;
    if (attempt.kind.empty()) {
      violations_.push_back("UNASKED: " + id + " was not sent");
      continue;
    }
    if (attempt.is_stream) {
      JudgeOverlap(id, attempt);
    }
    if (attempt.may_repeat) {
      counts_["repeated"] += attempt.runs.size() > 1 ? 1 : 0;
      continue;
    }
    if (attempt.runs.size() > 1) {
      violations_.push_back("TWICE: " + attempt.kind + " " + id + " ran at " +
                            attempt.runs[0].worker + " and " +
                            attempt.runs[1].worker + ", answer " +
                            std::to_string(attempt.status));
    }
    if (!attempt.runs.empty() && IsPromise(attempt.status)) {
      violations_.push_back("REFUSED: " + attempt.kind + " " + id + " ran at " +
                            attempt.runs[0].worker + ", answer " +
                            std::to_string(attempt.status));
    }
  }
  return violations_;
}

std::string Ledger::Summary() {
  std::lock_guard lock(mutex_);
  std::string text;
  for (const auto& [what, n] : counts_) {
    text += (text.empty() ? "" : " ") + what + "=" + std::to_string(n);
  }
  return text;
}

}  // namespace basilvalve::process_soak
