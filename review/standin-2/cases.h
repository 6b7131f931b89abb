// The cases that are played by scripts.
#pragma once

#include <string>

namespace review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

struct CaseSettings {
  /// The command of the deploy file.
  std::string gateway;
  /// For settings and logs.
  std::string folder;
  std::string record_path;
  /// A loopback address whose metrics port is free.
  std::string ip;
  bool has_trouble = true;
};

int PlayUnframed(const CaseSettings& settings);
int PlayEndless(const CaseSettings& settings);
int PlayCrashLoop(const CaseSettings& settings);
int PlayDeadly(const CaseSettings& settings);
int PlayFreeze(const CaseSettings& settings);

}  // namespace review
