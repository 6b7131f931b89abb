#include "UnitTests/Core/Gateway/test_fleet.h"

#include <nlohmann/json.hpp>
#include <thread>

#include "Core/Common/hash.h"

namespace basilvalve::gateway {
namespace {

constexpr const char* kAnyPort = "127.0.0.1:0";
constexpr size_t kMaxAnswer = 8 << 20;

/// Forwards to a store that it does not own, because a node owns its platform
/// clients. The two classes below do the same for the other clients.
class BorrowedStore : public platform::KeyValueStore {
 public:
  explicit BorrowedStore(fakes::MemoryStore* store) : store_(store) {}
  Result<std::optional<platform::StoreEntry>> Get(
      std::string_view key) override {
    return store_->Get(key);
  }
  Result<std::vector<platform::StoreEntry>> List(
      std::string_view prefix) override {
    return store_->List(prefix);
  }
  Result<platform::SwapReply> CompareAndSwap(std::string_view key,
                                             std::string_view value,
                                             StoreIndex expected,
                                             Seconds ttl) override {
    return store_->CompareAndSwap(key, value, expected, ttl);
  }
  Result<void> Remove(std::string_view key) override {
    return store_->Remove(key);
  }
  Result<platform::WatchReply> Watch(std::string_view prefix, StoreIndex since,
                                     Millis wait) override {
    // Bounded, because stopping an instance waits for its running watch.
    return store_->Watch(prefix, since, std::min(wait, Millis(100)));
  }

 private:
  fakes::MemoryStore* store_;
};

class BorrowedList : public platform::InstanceList {
 public:
  explicit BorrowedList(fakes::FakeInstanceList* list) : list_(list) {}
  Result<std::vector<platform::ListedInstance>> Read(
      const RegionId& region) override {
    return list_->Read(region);
  }

 private:
  fakes::FakeInstanceList* list_;
};

class BorrowedDirectory : public platform::ClientDirectory {
 public:
  explicit BorrowedDirectory(fakes::FakeClientDirectory* directory)
      : directory_(directory) {}
  Result<void> Publish(const RegionId& region, Sequence sequence,
                       const std::vector<http::Endpoint>& entries) override {
    return directory_->Publish(region, sequence, entries);
  }

 private:
  fakes::FakeClientDirectory* directory_;
};

NodeSettings TestSettings(const std::string& name, const std::string& region) {
  NodeSettings settings;
  std::string program = "test";
  char* argv[] = {program.data(), nullptr};
  (void)OptionParser("test", "", NodeOptions(&settings)).Parse(1, argv);
  settings.instance = name;
  settings.region = region;
  settings.caller_address = kAnyPort;
  settings.peer_address = kAnyPort;
  settings.admin_address = kAnyPort;
  settings.peer_keys = "node-test-key-00001";
  settings.caller_threads = 48;
  settings.max_in_flight = 40;
  settings.peer_workers = 16;
  settings.probe_period_ms = 200;
  settings.summary_period_ms = 200;
  settings.list_period_ms = 100;
  return settings;
}

}  // namespace

TestFleet::TestFleet() {
  for (const char* it : {"em1", "em2", "en1"}) {
    fakes::EngineSettings settings;
    settings.name = it;
    settings.time_to_first_token = Millis(2);
    settings.time_between_tokens = Millis(1);
    engines[it] = std::make_unique<fakes::FakeEngine>(settings);
  }
  StartUpstream("em1", "munich", engines["em1"].get(), true);
  StartUpstream("em2", "munich", engines["em2"].get(), true);
  StartUpstream("en1", "nuremberg", engines["en1"].get(), true);
  StartUpstream("payments1", "munich", &service, false);
  StartNode("m1", "munich");
  StartNode("m2", "munich");
  StartNode("n1", "nuremberg");
  Apply("m1", ReportsDocument(R"(["munich","nuremberg"])"), 0, "reports-1");
  Apply("m1", PaymentsDocument(R"(["munich","nuremberg"])"), 0, "payments-1");
  AwaitDocument("reports", 1);
  AwaitDocument("payments", 1);
  // Calls are forwarded between regions only after a summary has arrived.
  Await([this] {
    return Admin("n1", "GET", "/v1/status", "", "")
               .body.find("\"region\":\"munich\"") != std::string::npos;
  });
  Await([this] {
    return Admin("m1", "GET", "/v1/entries", "", "").body.find("m2") !=
               std::string::npos &&
           Admin("m2", "GET", "/v1/entries", "", "").body.find("m1") !=
               std::string::npos;
  });
}

TestFleet::~TestFleet() {
  nodes.clear();
  servers_.clear();
}

void TestFleet::Publish() { list.Set(listed_); }

void TestFleet::StartUpstream(const std::string& name,
                              const std::string& region, http::Handler* handler,
                              bool is_model) {
  http::ServerSettings settings;
  settings.endpoint = {"127.0.0.1", 0};
  std::string reason;
  servers_[name] = http::Server::Start(settings, handler, &reason);
  platform::ListedInstance listed;
  listed.id = name;
  listed.region = RegionId(region);
  listed.kind =
      is_model ? platform::ListedKind::kModel : platform::ListedKind::kService;
  listed.endpoint = servers_[name]->endpoint();
  if (is_model) {
    listed.models = {ModelName("report-1")};
  } else {
    listed.service = ServiceName("payments");
  }
  listed_.push_back(std::move(listed));
  Publish();
}

void TestFleet::StartNode(const std::string& name, const std::string& region) {
  NodePlatform platform;
  platform.store = std::make_unique<BorrowedStore>(&store);
  platform.instance_list = std::make_unique<BorrowedList>(&list);
  platform.client_directory = std::make_unique<BorrowedDirectory>(&directory);
  nodes[name] =
      std::move(*Node::Start(TestSettings(name, region), std::move(platform)));
  platform::ListedInstance listed;
  listed.id = name;
  listed.region = RegionId(region);
  listed.kind = platform::ListedKind::kGateway;
  listed.endpoint = nodes[name]->peer_endpoint();
  std::erase_if(listed_, [&name](const auto& it) { return it.id == name; });
  listed_.push_back(std::move(listed));
  Publish();
}

void TestFleet::Await(const std::function<bool()>& condition) {
  while (!condition()) {
    std::this_thread::yield();
  }
}

void TestFleet::AwaitDocument(const std::string& service_name,
                              uint64_t version) {
  for (auto& [name, node] : nodes) {
    Await([&, node_name = name] {
      http::BufferedResponse response =
          Admin(node_name, "GET", "/v1/documents/" + service_name, "", "");
      return response.Is(200) &&
             nlohmann::json::parse(response.body)
                     .value("version", uint64_t{0}) >= version;
    });
  }
}

http::BufferedResponse TestFleet::Admin(const std::string& node,
                                        const std::string& method,
                                        const std::string& path,
                                        const std::string& query,
                                        const std::string& body) {
  return http::ExecuteBuffered(nodes.at(node)->admin_endpoint(),
                               {method, path, query, {}, body}, {}, kMaxAnswer);
}

http::BufferedResponse TestFleet::Apply(const std::string& node,
                                        const std::string& document,
                                        uint64_t base,
                                        const std::string& change) {
  std::string name = nlohmann::json::parse(document).value("name", "");
  return Admin(node, "PUT", "/v1/documents/" + name,
               "base=" + std::to_string(base) + "&change=" + change, document);
}

http::BufferedResponse TestFleet::Send(
    const std::string& node, const std::string& method, const std::string& path,
    const std::string& query, http::Headers headers, const std::string& body) {
  bool has_key = http::CountHeader(headers, "Authorization") > 0;
  if (!has_key) {
    headers.push_back({"Authorization", std::string("Bearer ") + kTestKey});
  }
  return http::ExecuteBuffered(nodes.at(node)->caller_endpoint(),
                               {method, path, query, std::move(headers), body},
                               {}, kMaxAnswer);
}

std::string TestFleet::Ticket(const std::string& node) {
  http::BufferedResponse response =
      Send(node, "GET", "/v1/entry", "service=payments", {}, "");
  return nlohmann::json::parse(response.body).value("ticket", "");
}

std::string TestFleet::ModelBody(bool stream, int tokens) {
  nlohmann::json body = {
      {"model", "report-1"},
      {"stream", stream},
      {"max_tokens", tokens},
      {"messages", nlohmann::json::array(
                       {{{"role", "user"}, {"content", "Shift report"}}})}};
  return body.dump();
}

std::string ReportsDocument(const std::string& permitted) {
  return R"({"name":"reports","customer":"tabkasse","keys":[{"label":"till","sha256":")" +
         Sha256Hex(kTestKey) +
         R"("}],"upstream":"model","models":["report-1"],"regions":{"permitted":)" +
         permitted + "}}";
}

std::string PaymentsDocument(const std::string& permitted) {
  return R"({"name":"payments","customer":"tabkasse","keys":[{"label":"till","sha256":")" +
         Sha256Hex(kTestKey) +
         R"("}],"upstream":"service","calls":[{"method":"GET","path":"/balance","idempotent":true}],"regions":{"permitted":)" +
         permitted + "}}";
}

}  // namespace basilvalve::gateway
