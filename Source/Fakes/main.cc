// Serves one fake as a process: engine, service, store, instance list or client
// directory.
#include <csignal>
#include <cstdio>
#include <memory>
#include <string>

#include "Core/Common/log.h"
#include "Core/Common/option_parser.h"
#include "Fakes/fake_engine.h"
#include "Fakes/fake_platform.h"
#include "Fakes/fake_service.h"
#include "Fakes/store_handler.h"

namespace basilvalve::fakes {
namespace {

constexpr int kUsageExit = 2;
constexpr unsigned kMaxServerThreads = 600;

struct Settings {
  std::string address = "127.0.0.1:0";
  int64_t first_token_ms = 20;
  int64_t between_tokens_ms = 10;
  int64_t tokens = 8;
  int64_t call_time_ms = 5;
  int64_t slots = 32;
  bool help = false;
};

/// All fakes; only the selected one is served.
struct FakeHandlers {
  explicit FakeHandlers(const Settings& settings)
      : store_handler(&store),
        engine(EngineSettings{"engine", Millis(settings.first_token_ms),
                              Millis(settings.between_tokens_ms),
                              static_cast<int>(settings.tokens),
                              static_cast<double>(settings.slots)}),
        service(Millis(settings.call_time_ms)) {}

  http::Handler* Find(const std::string& kind) {
    if (kind == "store") {
      return &store_handler;
    }
    if (kind == "engine") {
      return &engine;
    }
    if (kind == "service") {
      return &service;
    }
    if (kind == "instances") {
      return &instances;
    }
    return kind == "clients" ? &clients : nullptr;
  }

  MemoryStore store;
  StoreHandler store_handler;
  FakeEngine engine;
  FakeService service;
  FakeInstanceList instances;
  FakeClientDirectory clients;
};

int Serve(const Settings& settings, const std::string& kind) {
  FakeHandlers handlers(settings);
  http::Handler* handler = handlers.Find(kind);
  http::ServerSettings server;
  if (handler == nullptr ||
      !http::ParseEndpoint(settings.address, &server.endpoint)) {
    std::fprintf(stderr,
                 "basilvalve-fake: unknown kind of fake or invalid address\n");
    return kUsageExit;
  }
  server.max_threads = kMaxServerThreads;
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::string failure;
  std::unique_ptr<http::Server> running =
      http::Server::Start(server, handler, &failure);
  if (running == nullptr) {
    std::fprintf(stderr, "basilvalve-fake: %s\n", failure.c_str());
    return 1;
  }
  std::printf("%s %s\n", kind.c_str(), running->endpoint().Text().c_str());
  std::fflush(stdout);
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

int Main(int argc, char** argv) {
  Settings settings;
  OptionParser parser("basilvalve-fake",
                      "engine|service|store|instances|clients [flags]",
                      {{"address", "ip:port", "", "Address to serve on.",
                        SetText(&settings.address)},
                       {"first-token-ms", "ms", "20", "Time to first token.",
                        SetNumber(&settings.first_token_ms, 0, 60000)},
                       {"between-tokens-ms", "ms", "10", "Time between tokens.",
                        SetNumber(&settings.between_tokens_ms, 0, 60000)},
                       {"tokens", "tokens", "8", "Length of an answer.",
                        SetNumber(&settings.tokens, 1, 100000)},
                       {"slots", "sequences", "32",
                        "Sequences that the engine says it decodes at once.",
                        SetNumber(&settings.slots, 1, 100000)},
                       {"time-ms", "ms", "5", "Time of a plain call.",
                        SetNumber(&settings.call_time_ms, 0, 60000)},
                       {"help", "", "false", "Print this text.",
                        SetFlag(&settings.help), true}});
  Result<std::vector<std::string>> arguments = parser.Parse(argc, argv);
  if (!arguments || settings.help || arguments->size() != 1) {
    std::fprintf(stderr, "%s\n%s",
                 arguments ? "" : arguments.error().message.c_str(),
                 parser.Help().c_str());
    return kUsageExit;
  }
  return Serve(settings, arguments->front());
}

}  // namespace
}  // namespace basilvalve::fakes

int main(int argc, char** argv) { return basilvalve::fakes::Main(argc, argv); }
