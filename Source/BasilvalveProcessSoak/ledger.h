#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace basilvalve::process_soak {

/// What callers and workers saw, and the rules that are judged from it. Keeps
/// the record of the run. Thread safe.
class Ledger {
 public:
  explicit Ledger(const std::string& record_path);

  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...);

  void OnSent(const std::string& id, const std::string& kind, bool may_repeat,
              bool is_stream, const std::string& entry);
  void OnEnded(const std::string& id, int status, const std::string& ending);
  /// Returns the number of this run. `sender`: the gateway that opened the
  /// connection, empty if it is not known.
  size_t OnRunBegan(const std::string& id, const std::string& worker,
                    const std::string& sender);
  void OnRunEnded(const std::string& id, size_t run);
  /// A gateway or a worker, or its links, were disturbed from now until
  /// `until_ms`.
  void OnDisturbed(const std::string& who, int64_t until_ms);
  /// This process itself did not run for a while: its workers may have noticed
  /// late that a caller was gone.
  void OnStalled();
  /// Whether it was not disturbed for the last seconds.
  bool IsCalmNow(const std::string& who);
  void Count(const std::string& what);
  void AddViolation(const std::string& line);

  /// Pre: all is over.
  std::vector<std::string> Judge();
  /// Counts of what was played, as one line.
  std::string Summary();

 private:
  struct Run {
    std::string worker;
    std::string sender;
    int64_t began_ms = 0;
    int64_t ended_ms = INT64_MAX;
  };
  struct Attempt {
    std::string kind;
    std::string entry;
    std::string ending = "open";
    int status = 0;
    bool may_repeat = false;
    bool is_stream = false;
    std::vector<Run> runs;
  };
  struct Disturbance {
    int64_t from_ms = 0;
    int64_t until_ms = 0;
  };

  bool IsCalm(const std::string& who, int64_t at_ms) const;
  void JudgeOverlap(const std::string& id, const Attempt& attempt);

  std::mutex mutex_;
  std::ofstream record_;
  int64_t start_ms_;
  std::map<std::string, Attempt> attempts_;
  std::map<std::string, std::vector<Disturbance>> disturbances_;
  std::map<std::string, int> counts_;
  std::vector<std::string> violations_;
};

}  // namespace basilvalve::process_soak
