// Command line client for operators. Sends requests to the admin address of an
// instance.
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Core/Common/option_parser.h"
#include "Core/Common/random.h"
#include "Core/Document/service_document.h"
#include "Core/Http/http_client.h"

namespace basilvalve::ctl {
namespace {

using nlohmann::json;

constexpr int kOkExit = 0;
constexpr int kFailedExit = 1;
constexpr int kUsageExit = 2;
constexpr int kConflictExit = 3;
constexpr int kUnknownOutcomeExit = 4;
constexpr int kUnreachableExit = 5;
constexpr int kHttpOk = 200;
constexpr size_t kMaxResponseBytes = 64 << 20;
constexpr size_t kChangeIdLength = 16;

struct Settings {
  std::string admin_address = "127.0.0.1:9903";
  std::string key;
  std::string change_id;
  int64_t base_version = -1;
  int64_t timeout_ms = 5000;
  bool json = false;
  bool help = false;
};

/// Input of a verb: the flags and its positional arguments.
struct Command {
  Settings settings;
  std::vector<std::string> arguments;
};

using VerbHandler = int (*)(const Command&);

/// A verb of the command line with its number of positional arguments.
struct VerbRow {
  const char* name;
  size_t arguments;
  VerbHandler run;
  const char* help;
};

http::BufferedResponse Send(const Settings& settings, const std::string& method,
                            const std::string& path, const std::string& query,
                            const std::string& body) {
  http::Endpoint endpoint;
  http::ParseEndpoint(settings.admin_address, &endpoint);
  http::Request request{method, path, query, {}, body};
  if (!settings.key.empty()) {
    request.headers.push_back({"Authorization", "Bearer " + settings.key});
  }
  std::chrono::milliseconds timeout(settings.timeout_ms);
  return http::ExecuteBuffered(endpoint, request, {timeout, timeout, timeout},
                               kMaxResponseBytes);
}

/// Prints the error of a failed request to stderr. Returns the exit code.
int ReportFailure(const Settings& settings,
                  const http::BufferedResponse& response) {
  if (response.report.end != http::CallEnd::kComplete) {
    std::fprintf(stderr, "basilvalvectl: %s: no response: %s\n",
                 settings.admin_address.c_str(),
                 response.report.detail.c_str());
    return kUnreachableExit;
  }
  json body = json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  json error =
      body.is_object() ? body.value("error", json::object()) : json::object();
  if (settings.json) {
    std::printf("%s\n", response.body.c_str());
  }
  std::fprintf(stderr, "basilvalvectl: %s (%d, %s): %s\n",
               error.value("name", "error").c_str(),
               error.value("code", response.status),
               error.value("outcome", "unknown").c_str(),
               error.value("message", response.body).c_str());
  if (error.value("name", "") == "version_conflict") {
    return kConflictExit;
  }
  return error.value("outcome", "") == "unknown" ? kUnknownOutcomeExit
                                                 : kFailedExit;
}

/// Sends a GET request and prints the response: unchanged with --json,
/// otherwise formatted by `print`. Returns an exit code.
int GetAndPrint(const Command& command, const std::string& path,
                void (*print)(const json&)) {
  http::BufferedResponse response = Send(command.settings, "GET", path, "", "");
  if (!response.Is(kHttpOk)) {
    return ReportFailure(command.settings, response);
  }
  if (command.settings.json) {
    std::printf("%s\n", response.body.c_str());
    return kOkExit;
  }
  print(json::parse(response.body, nullptr, /*allow_exceptions=*/false));
  return kOkExit;
}

std::string ReadFile(const std::string& path, bool* ok) {
  std::ifstream file(path);
  *ok = file.good();
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

/// The value of a field as text; "-" if it is absent.
std::string FieldText(const json& object, const char* field) {
  auto it = object.find(field);
  if (it == object.end()) {
    return "-";
  }
  return it->is_string() ? it->get<std::string>() : it->dump();
}

void PrintDocument(const json& reply) {
  std::printf(
      "# version %s, change %s\n%s\n", FieldText(reply, "version").c_str(),
      FieldText(reply, "change").c_str(), reply["document"].dump(2).c_str());
}

void PrintHistory(const json& reply) {
  for (const json& it : reply["versions"]) {
    std::printf(
        "version=%s change=%s parent=%s\n", FieldText(it, "version").c_str(),
        FieldText(it, "change").c_str(), FieldText(it, "parent").c_str());
  }
}

void PrintRows(const char* kind, const json& rows) {
  for (const json& row : rows) {
    std::printf("%s", kind);
    for (auto it = row.begin(); it != row.end(); ++it) {
      std::printf(" %s=%s", it.key().c_str(),
                  FieldText(row, it.key().c_str()).c_str());
    }
    std::printf("\n");
  }
}

void PrintStatus(const json& reply) {
  std::printf(
      "instance=%s region=%s draining=%s in_flight=%s store_reachable=%s\n",
      FieldText(reply, "instance").c_str(), FieldText(reply, "region").c_str(),
      FieldText(reply, "draining").c_str(),
      FieldText(reply, "in_flight").c_str(),
      FieldText(reply, "store_reachable").c_str());
  PrintRows("member", reply["members"]);
  PrintRows("region", reply["regions"]);
  PrintRows("upstream", reply["upstreams"]);
  PrintRows("document", reply["documents"]);
}

void PrintEntries(const json& reply) { PrintRows("entry", reply["entries"]); }

void PrintExplanation(const json& reply) {
  std::printf("request=%s\n", FieldText(reply, "request").c_str());
  for (const json& instance : reply["instances"]) {
    std::printf("instance=%s region=%s outcome=%s code=%s\n",
                FieldText(instance, "instance").c_str(),
                FieldText(instance, "region").c_str(),
                FieldText(instance, "outcome").c_str(),
                FieldText(instance, "code").c_str());
    for (const json& it : instance["steps"]) {
      std::printf("  +%sus %s: %s %s\n", FieldText(it, "at_us").c_str(),
                  FieldText(it, "filter").c_str(),
                  FieldText(it, "decision").c_str(),
                  FieldText(it, "reason").c_str());
    }
  }
}

int Validate(const Command& command) {
  bool ok = false;
  std::string text = ReadFile(command.arguments[0], &ok);
  if (!ok) {
    std::fprintf(stderr, "basilvalvectl: cannot read %s\n",
                 command.arguments[0].c_str());
    return kUsageExit;
  }
  Result<document::ServiceDocument> document =
      document::ParseServiceDocument(text);
  if (!document) {
    std::fprintf(stderr, "basilvalvectl: %s\n",
                 document.error().message.c_str());
    return kFailedExit;
  }
  if (command.settings.json) {
    std::printf("%s\n",
                json{{"valid", true}, {"service", document->name.value()}}
                    .dump()
                    .c_str());
  } else {
    std::printf("valid service=%s\n", document->name.value().c_str());
  }
  return kOkExit;
}

int Apply(const Command& command) {
  int valid = Validate({{}, command.arguments});
  if (valid != kOkExit) {
    return valid;
  }
  if (command.settings.base_version < 0) {
    std::fprintf(stderr,
                 "basilvalvectl: --base is required: the version the document "
                 "was edited from\n");
    return kUsageExit;
  }
  bool ok = false;
  std::string text = ReadFile(command.arguments[0], &ok);
  std::string name = document::ParseServiceDocument(text)->name.value();
  std::string change_id = command.settings.change_id;
  if (change_id.empty()) {
    change_id = Random(ProcessSeed()).HexId().substr(0, kChangeIdLength);
  }
  std::string query = "base=" + std::to_string(command.settings.base_version) +
                      "&change=" + change_id;
  http::BufferedResponse response =
      Send(command.settings, "PUT", "/v1/documents/" + name, query, text);
  if (!response.Is(kHttpOk)) {
    int exit_code = ReportFailure(command.settings, response);
    if (exit_code == kUnknownOutcomeExit || exit_code == kUnreachableExit) {
      std::fprintf(stderr,
                   "basilvalvectl: outcome unknown; to resolve it, apply again "
                   "with --change %s\n",
                   change_id.c_str());
      return kUnknownOutcomeExit;
    }
    return exit_code;
  }
  json record = json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  if (command.settings.json) {
    std::printf("%s\n", response.body.c_str());
  } else {
    std::printf("accepted service=%s version=%s change=%s\n", name.c_str(),
                FieldText(record, "version").c_str(),
                FieldText(record, "change").c_str());
  }
  return kOkExit;
}

int Get(const Command& command) {
  return GetAndPrint(command, "/v1/documents/" + command.arguments[0],
                     &PrintDocument);
}

int History(const Command& command) {
  return GetAndPrint(command, "/v1/history/" + command.arguments[0],
                     &PrintHistory);
}

int Status(const Command& command) {
  return GetAndPrint(command, "/v1/status", &PrintStatus);
}

int Entries(const Command& command) {
  return GetAndPrint(command, "/v1/entries", &PrintEntries);
}

int Explain(const Command& command) {
  return GetAndPrint(command, "/v1/explain/" + command.arguments[0],
                     &PrintExplanation);
}

int Drain(const Command& command) {
  http::BufferedResponse response =
      Send(command.settings, "POST", "/v1/drain", "", "");
  if (!response.Is(kHttpOk)) {
    return ReportFailure(command.settings, response);
  }
  std::printf("%s\n",
              command.settings.json ? response.body.c_str() : "draining");
  return kOkExit;
}

constexpr VerbRow kVerbs[] = {
    {"validate", 1, &Validate,
     "FILE      check a document, without any instance"},
    {"apply", 1, &Apply, "FILE      make a document current; needs --base"},
    {"get", 1, &Get, "SERVICE   show the document in force"},
    {"history", 1, &History, "SERVICE   list the versions that led to it"},
    {"status", 0, &Status,
     "          show members, regions, upstreams and documents"},
    {"entries", 0, &Entries,
     "          show the entries that callers are told"},
    {"explain", 1, &Explain, "REQUEST   show what was decided about a request"},
    {"drain", 0, &Drain, "          stop the instance gracefully"},
};

std::string HelpText(const OptionParser& parser) {
  std::string text = parser.Help() + "\nverbs:\n";
  for (const VerbRow& it : kVerbs) {
    text += "  " + std::string(it.name) + " " + it.help + "\n";
  }
  text +=
      "\nexit codes: 0 done, 1 refused, 2 usage, 3 version conflict, 4 outcome "
      "unknown, "
      "5 no answer\n";
  return text;
}

int Main(int argc, char** argv) {
  Settings settings;
  OptionParser parser(
      "basilvalvectl", "VERB [ARGUMENT] [flags]",
      {{"admin", "ip:port", "127.0.0.1:9903", "Admin address of an instance.",
        SetText(&settings.admin_address)},
       {"admin-key", "text", "", "Bearer key for changing verbs.",
        SetText(&settings.key)},
       {"base", "version", "",
        "Version the document was edited from; 0 for a new one.",
        SetNumber(&settings.base_version, 0, INT64_MAX)},
       {"change", "id", "",
        "Change id; give the same one again to settle a lost reply.",
        SetText(&settings.change_id)},
       {"timeout-ms", "ms", "5000", "Longest wait for an answer.",
        SetNumber(&settings.timeout_ms, 1, 600000)},
       {"json", "", "false", "Print JSON.", SetFlag(&settings.json), true},
       {"help", "", "false", "Print this text.", SetFlag(&settings.help),
        true}});
  Result<std::vector<std::string>> arguments = parser.Parse(argc, argv);
  if (!arguments) {
    std::fprintf(stderr, "basilvalvectl: %s\n",
                 arguments.error().message.c_str());
    return kUsageExit;
  }
  if (settings.help) {
    std::fputs(HelpText(parser).c_str(), stdout);
    return kOkExit;
  }
  std::string verb = arguments->empty() ? "" : arguments->front();
  auto row =
      std::find_if(std::begin(kVerbs), std::end(kVerbs),
                   [&verb](const VerbRow& it) { return verb == it.name; });
  if (row == std::end(kVerbs) || arguments->size() != row->arguments + 1) {
    std::fprintf(stderr,
                 "basilvalvectl: unknown verb or wrong number of arguments\n%s",
                 HelpText(parser).c_str());
    return kUsageExit;
  }
  arguments->erase(arguments->begin());
  return row->run({settings, *arguments});
}

}  // namespace
}  // namespace basilvalve::ctl

int main(int argc, char** argv) { return basilvalve::ctl::Main(argc, argv); }
