// The setting that limits hedged requests.
#include "platform/hedge_setting.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>
#include <vector>

namespace basilvalve::platform_adapter {
namespace {

// Guards against a wrong setting that is taken as another value.
TEST_CASE("the hedge share is a number from 0 to 0.2") {
  struct Row {
    const char* variable;
    std::vector<std::string> flags;
    double share;
    /// What the error names; empty if there is none.
    std::string setting;
  };
  const std::string flag = "--hedge-share";
  const std::string variable = "BASILVALVE_HEDGE_SHARE";
  for (const Row& row : {
           Row{nullptr, {}, 0, ""},
           Row{"0.05", {}, 0.05, ""},
           Row{"0.05", {flag, "0.1"}, 0.1, ""},
           Row{nullptr, {flag + "=0.2"}, 0.2, ""},
           Row{"0.21", {}, 0, variable},
           Row{"", {}, 0, variable},
           Row{"nan", {}, 0, variable},
           Row{nullptr, {flag, "-0.1"}, 0, flag},
           Row{nullptr, {flag, "0.1x"}, 0, flag},
           Row{nullptr, {flag}, 0, flag},
       }) {
    row.variable == nullptr ? unsetenv(variable.c_str())
                            : setenv(variable.c_str(), row.variable, 1);
    std::vector<std::string> words = {"gateway"};
    words.insert(words.end(), row.flags.begin(), row.flags.end());
    std::vector<char*> argv;
    for (std::string& it : words) {
      argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    auto share = ReadHedgeShare(static_cast<int>(words.size()), argv.data());
    unsetenv(variable.c_str());
    CAPTURE(words.back(), row.variable == nullptr ? "unset" : row.variable);
    CHECK(share.has_value() == row.setting.empty());
    if (share) {
      CHECK(*share == row.share);
    } else {
      CHECK(share.error().message.starts_with(row.setting + ": "));
      CHECK(share.error().message.find('\n') == std::string::npos);
    }
  }
}

}  // namespace
}  // namespace basilvalve::platform_adapter
