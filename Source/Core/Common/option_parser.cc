#include "Core/Common/option_parser.h"

#include <getopt.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>

namespace basilvalve {

std::string EnvironmentName(std::string_view flag) {
  std::string name = "BASILVALVE_";
  for (char c : flag) {
    name.push_back(
        c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<int>(c))));
  }
  return name;
}

OptionParser::OptionParser(std::string program, std::string summary,
                           std::vector<Option> options)
    : program_(std::move(program)),
      summary_(std::move(summary)),
      options_(std::move(options)) {}

Result<void> OptionParser::Apply(const Option& option, const std::string& value,
                                 std::string_view source) const {
  std::string reason = option.set(value);
  if (reason.empty()) {
    return {};
  }
  return Fail(ResultCode::kSettingInvalid, std::string(source) + ": " + reason);
}

Result<void> OptionParser::ApplyDefaultsAndEnvironment() const {
  for (const Option& option : options_) {
    std::string variable = EnvironmentName(option.name);
    const char* text = std::getenv(variable.c_str());
    if (text == nullptr && option.fallback.empty()) {
      continue;
    }
    Result<void> applied =
        text == nullptr ? Apply(option, option.fallback, "--" + option.name)
                        : Apply(option, text, variable);
    if (!applied) {
      return applied;
    }
  }
  return {};
}

Result<std::vector<std::string>> OptionParser::Parse(int argc,
                                                     char* const* argv) const {
  Result<void> applied = ApplyDefaultsAndEnvironment();
  if (!applied) {
    return tl::make_unexpected(applied.error());
  }
  std::vector<option> long_options;
  for (const Option& it : options_) {
    long_options.push_back({it.name.c_str(),
                            it.is_switch ? no_argument : required_argument,
                            nullptr, 0});
  }
  long_options.push_back({nullptr, 0, nullptr, 0});
  optind = 0;
  opterr = 0;
  int index = 0;
  int parsed_option = 0;
  while ((parsed_option = getopt_long(argc, argv, ":", long_options.data(),
                                      &index)) != -1) {
    if (parsed_option != 0) {
      return Fail(
          ResultCode::kSettingInvalid,
          std::string(argv[optind - 1]) +
              (parsed_option == ':' ? ": needs a value" : ": unknown setting"));
    }
    const Option& it = options_[static_cast<size_t>(index)];
    applied = Apply(it, it.is_switch ? "true" : optarg, "--" + it.name);
    if (!applied) {
      return tl::make_unexpected(applied.error());
    }
  }
  return std::vector<std::string>(argv + optind, argv + argc);
}

std::string OptionParser::Help() const {
  std::string text = "usage: " + program_ + " " + summary_ + "\n\n";
  for (const Option& it : options_) {
    text += "  --" + it.name + (it.is_switch ? "" : " <" + it.unit + ">") +
            "\n      " + it.help;
    text += " [" + EnvironmentName(it.name) + "; default: ";
    text += (it.fallback.empty() ? "none" : it.fallback) + "]\n";
  }
  return text;
}

std::string OptionParser::Markdown() const {
  std::string text =
      "| flag | environment variable | unit | default | meaning "
      "|\n|---|---|---|---|---|\n";
  for (const Option& it : options_) {
    text += "| `--" + it.name + "` | `" + EnvironmentName(it.name) + "` | " +
            it.unit + " | ";
    text +=
        (it.fallback.empty() ? "none" : it.fallback) + " | " + it.help + " |\n";
  }
  return text;
}

std::function<std::string(const std::string&)> SetText(std::string* target) {
  return [target](const std::string& text) {
    *target = text;
    return std::string();
  };
}

std::function<std::string(const std::string&)> SetNumber(int64_t* target,
                                                         int64_t low,
                                                         int64_t high) {
  return [target, low, high](const std::string& text) {
    int64_t n = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || end != text.data() + text.size() || n < low ||
        n > high) {
      return "must be a whole number from " + std::to_string(low) + " to " +
             std::to_string(high);
    }
    *target = n;
    return std::string();
  };
}

std::function<std::string(const std::string&)> SetFlag(bool* target) {
  return [target](const std::string& text) {
    if (text != "true" && text != "false") {
      return std::string("must be true or false");
    }
    *target = text == "true";
    return std::string();
  };
}

}  // namespace basilvalve
