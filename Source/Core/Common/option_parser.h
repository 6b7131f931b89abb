// Settings from command-line flags and environment variables, parsed with
// getopt_long.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Common/result.h"

namespace basilvalve {

/// One setting: `--name` on the command line, `BASILVALVE_NAME` in the
/// environment.
struct Option {
  std::string name;
  std::string unit;
  std::string fallback;
  std::string help;
  /// Parses and stores the value; returns an error text, empty on success.
  std::function<std::string(const std::string&)> set;
  /// A flag without a value; its presence calls `set` with "true".
  bool is_switch = false;
};

/// Parses settings; flags override environment variables, which override
/// defaults. Not thread safe: getopt_long keeps global state.
class OptionParser {
 public:
  OptionParser(std::string program, std::string summary,
               std::vector<Option> options);

  /// Applies every setting and returns the positional arguments. Fails with
  /// kSettingInvalid and a one-line message that names the setting.
  Result<std::vector<std::string>> Parse(int argc, char* const* argv) const;
  /// Text of --help: every flag with its variable, unit and default. Thread
  /// safe.
  std::string Help() const;
  /// Markdown table of the settings, as in docs/SETTINGS.md. Thread safe.
  std::string Markdown() const;

 private:
  Result<void> Apply(const Option& option, const std::string& value,
                     std::string_view source) const;
  Result<void> ApplyDefaultsAndEnvironment() const;

  std::string program_;
  std::string summary_;
  std::vector<Option> options_;
};

/// Name of the environment variable of a flag. Thread safe.
std::string EnvironmentName(std::string_view flag);

/// Returns a setter that stores the text. Pre: `target` outlives the parser.
std::function<std::string(const std::string&)> SetText(std::string* target);
/// Returns a setter that stores an integer within [low, high]. Pre: `target`
/// outlives the parser.
std::function<std::string(const std::string&)> SetNumber(int64_t* target,
                                                         int64_t low,
                                                         int64_t high);
/// Returns a setter that accepts "true" and "false". Pre: `target` outlives the
/// parser.
std::function<std::string(const std::string&)> SetFlag(bool* target);

}  // namespace basilvalve
