// Calls of callers that identify a workspace by its key.
#include <catch2/catch.hpp>

#include "Core/Edge/call_planner.h"
#include "Core/Edge/hop_header.h"
#include "UnitTests/Core/Edge/edge_fixture.h"

namespace basilvalve::edge {
namespace {

const ServiceName kService("service");

flow::Route MakeRoute(const std::string& prefix, bool is_anonymous) {
  flow::Route route;
  route.host = "host";
  route.prefix = prefix;
  route.kind = flow::CallKind::kIdempotent;
  route.timeout = Millis(2000);
  route.target = Millis(1000);
  route.shares = {{kService, 1}};
  route.is_anonymous = is_anonymous;
  return route;
}

flow::Workspace MakeWorkspace(const std::string& name, int priority,
                              std::vector<RegionId> regions = {}) {
  flow::Workspace workspace;
  workspace.name = WorkspaceId(name);
  workspace.keys = {"key-of-" + name};
  workspace.priority = priority;
  workspace.allowed_regions = std::move(regions);
  return workspace;
}

// Routes: /keyed/ needs a key, /open/ does not.
void Apply(EdgeFixture* fixture, std::vector<flow::Workspace> workspaces) {
  fixture->node->SetDesiredState(std::make_shared<const flow::DesiredState>(
      1, std::vector{MakeRoute("/keyed/", false), MakeRoute("/open/", true)},
      std::map<ServiceName, flow::ServiceTraits>{{kService, {}}},
      flow::IngressLimits(), std::move(workspaces)));
}

void RespondOk(const net::ServerConnection::Ptr& caller,
               const net::ServerRequest& request) {
  caller->Write(ScriptedUpstream::Response(request, 200, "done"));
  caller->EndResponse(true);
}

std::string HeaderOf(const net::ServerRequest& request, const char* name) {
  const std::string* text = request.head.Find(name);
  return text == nullptr ? "" : *text;
}

// Guards against a caller that names its workspace itself, and against a key
// that reaches an upstream.
TEST_CASE("the key decides whether a call is served and for which workspace") {
  struct Row {
    const char* path;
    const char* headers;
    int status;
    const char* workspace;
  };
  const std::vector<Row> rows = {
      {"/keyed/", "", 401, ""},
      {"/keyed/", "Workspace: acme\r\n", 401, ""},
      {"/keyed/", "Key: other\r\n", 401, ""},
      {"/keyed/", "Key: key-of-acme\r\n", 200, "acme"},
      {"/keyed/", "Workspace: x\r\nKey: key-of-acme\r\n", 200, "acme"},
      {"/open/", "", 200, ""},
      {"/open/", "Workspace: x\r\nKey: other\r\n", 200, ""},
      {"/open/", "Workspace: x\r\nKey: key-of-acme\r\n", 200, "acme"},
  };
  for (const Row& row : rows) {
    INFO(row.path << " " << row.headers);
    EdgeFixture fixture;
    auto& upstream = fixture.AddUpstream("u1", RespondOk);
    Apply(&fixture, {MakeWorkspace("acme", 1)});
    auto caller =
        fixture.Call(EdgeFixture::Request(row.path, "r1", "", row.headers));
    REQUIRE(fixture.RunUntil([&] { return !caller->text().empty(); }));
    CHECK(caller->text().starts_with(
        row.status == 200 ? "HTTP/1.1 200 OK" : "HTTP/1.1 401 Unauthorized"));
    REQUIRE(upstream.requests().size() == (row.status == 200 ? 1 : 0));
    if (row.status == 200) {
      const net::ServerRequest& request = upstream.requests()[0];
      CHECK(HeaderOf(request, "Workspace") == row.workspace);
      CHECK(request.head.Count("Workspace") <= 1);
      CHECK(request.head.Find("Key") == nullptr);
    }
  }
}

TEST_CASE("without workspaces, the headers for them pass through") {
  EdgeFixture fixture;
  auto& upstream = fixture.AddUpstream("u1", RespondOk);
  Apply(&fixture, {});
  auto caller = fixture.Call(
      EdgeFixture::Request("/keyed/", "r1", "", "Workspace: x\r\nKey: k\r\n"));
  REQUIRE(fixture.RunUntil([&] { return !caller->text().empty(); }));
  REQUIRE(upstream.requests().size() == 1);
  CHECK(HeaderOf(upstream.requests()[0], "Workspace") == "x");
  CHECK(HeaderOf(upstream.requests()[0], "Key") == "k");
}

// Guards against data of a workspace that is processed outside its regions.
TEST_CASE("a call runs only in regions that route and workspace permit") {
  struct Row {
    std::vector<RegionId> regions;
    bool is_local, is_remote;
  };
  const std::vector<Row> rows = {
      {{}, true, false},
      {{RegionId("north"), RegionId("west")}, true, false},
      {{RegionId("south")}, false, true},
      {{RegionId("west")}, false, false},
  };
  for (const Row& row : rows) {
    EdgeFixture fixture("north");
    auto& local = fixture.AddUpstream("u1", RespondOk);
    // Priorities count relative to the most urgent workspace.
    Apply(&fixture,
          {MakeWorkspace("acme", 1, row.regions), MakeWorkspace("urgent", 0)});
    auto peer = fixture.AddPeerInstance("peer", "south");
    ScriptedUpstream remote(&fixture.loop, "u2", RespondOk);
    auto record = remote.Record(kService);
    record.region = RegionId("south");
    peer->registry().Upsert(record, fixture.loop.Now());
    auto caller = fixture.Call(EdgeFixture::Request(
        "/keyed/", "r1", "", "Workspace: x\r\nKey: key-of-acme\r\n"));
    REQUIRE(fixture.RunUntil([&] { return !caller->text().empty(); }));
    bool is_served = row.is_local || row.is_remote;
    CHECK(caller->text().starts_with(is_served ? "HTTP/1.1 200"
                                               : "HTTP/1.1 503"));
    CHECK(local.requests().size() == (row.is_local ? 1 : 0));
    REQUIRE(remote.requests().size() == (row.is_remote ? 1 : 0));
    if (row.is_remote) {
      // The other instance has no desired state: the hop names the workspace.
      const net::ServerRequest& request = remote.requests()[0];
      CHECK(HeaderOf(request, "Workspace") == "acme");
      CHECK(HeaderOf(request, "Urgency") == "3");
      CHECK(request.head.Find("Key") == nullptr);
    }
  }
}

// Guards against a key that reaches another instance.
TEST_CASE("another instance gets the name of the workspace, not the key") {
  EdgeFixture fixture;
  Apply(&fixture, {MakeWorkspace("acme", 1), MakeWorkspace("urgent", 0)});
  std::vector<net::ServerRequest> forwarded;
  net::TestServer peer(&fixture.loop,
                       [&](const net::ServerConnection::Ptr& caller,
                           const net::ServerRequest& request) {
                         forwarded.push_back(request);
                         RespondOk(caller, request);
                       });
  flow::Heartbeat heartbeat;
  heartbeat.from.id = InstanceId("peer");
  heartbeat.from.region = RegionId("south");
  heartbeat.from.peer_address = peer.endpoint().Text();
  heartbeat.from.incarnation = heartbeat.sequence = 1;
  heartbeat.service_capacities[kService] = {1, Micros(0), 50, 0, 0};
  fixture.node->fleet().OnHeartbeat(heartbeat, fixture.loop.Now());
  auto caller = fixture.Call(EdgeFixture::Request(
      "/keyed/", "r1", "", "Workspace: x\r\nKey: key-of-acme\r\n"));
  REQUIRE(fixture.RunUntil([&] { return !forwarded.empty(); }));
  const net::MessageHead& head = forwarded[0].head;
  CHECK(head.Find("Key") == nullptr);
  CHECK(head.Find("Workspace") == nullptr);
  auto hop = ParseHopHeader(HeaderOf(forwarded[0], kHopHeader.data()));
  REQUIRE(hop);
  CHECK(hop->workspace == WorkspaceId("acme"));
  CHECK(hop->workspace_priority == 1);
}

// Guards against a key sent by an instance whose desired state is older and
// without workspaces.
TEST_CASE("an instance with workspaces drops a key that a peer passes on") {
  EdgeFixture fixture;
  auto& upstream = fixture.AddUpstream("u1", RespondOk);
  Apply(&fixture, {MakeWorkspace("acme", 1)});
  HopParams hop;
  hop.service = kService;
  hop.kind = flow::CallKind::kIdempotent;
  hop.time_left = hop.response_time_left = hop.target_left = Millis(1000);
  RawCaller caller(&fixture.loop, fixture.node->peer_endpoint());
  caller.Send(EdgeFixture::Request(
      "/keyed/", "r1", "",
      std::string(kHopHeader) + ": " + FormatHopHeader(hop) +
          "\r\nWorkspace: x\r\nKey: key-of-acme\r\n"));
  REQUIRE(fixture.RunUntil([&] { return !caller.text().empty(); }));
  REQUIRE(upstream.requests().size() == 1);
  CHECK(upstream.requests()[0].head.Find("Key") == nullptr);
  CHECK(upstream.requests()[0].head.Find("Workspace") == nullptr);
}

TEST_CASE("the hop header names the workspace; text without one is read") {
  HopParams hop;
  hop.service = ServiceName("s");
  hop.workspace = WorkspaceId("-");
  hop.workspace_priority = 2;
  std::string text = FormatHopHeader(hop);
  auto read = ParseHopHeader(text);
  REQUIRE(read);
  CHECK(read->workspace == WorkspaceId("-"));
  CHECK(read->workspace_priority == 2);
  std::string without_priority = text.substr(0, text.rfind(' '));
  CHECK_FALSE(ParseHopHeader(without_priority));
  auto earlier =
      ParseHopHeader(without_priority.substr(0, without_priority.rfind(' ')));
  REQUIRE(earlier);
  CHECK(earlier->workspace.empty());
}

TEST_CASE("a priority that all workspaces share does not make calls late") {
  flow::DesiredState state(1, {}, {}, {},
                           {MakeWorkspace("a", 4), MakeWorkspace("b", 6)});
  CHECK(state.Authenticate("key-of-a")->priority == 0);
  CHECK(state.Authenticate("key-of-b")->priority == 2);
}

TEST_CASE("engines order calls by the priority of workspace, then of route") {
  auto make = [](int workspace, int route) {
    CallContext context;
    auto made = std::make_shared<flow::Route>();
    made->priority = route;
    context.route = std::move(made);
    if (workspace >= 0) {
      context.workspace = std::make_shared<const flow::Workspace>(
          MakeWorkspace("w", workspace));
    }
    return context;
  };
  // As without workspaces.
  const std::vector<int> urgencies = {3, 5, 7, 9, 9};
  for (int route = 0; route < 5; ++route) {
    CHECK(UrgencyOf(make(-1, route)) == urgencies[static_cast<size_t>(route)]);
    CHECK(RankOf(make(-1, route)) == route);
  }
  int urgency = -1;
  for (int workspace = 0; workspace < 3; ++workspace) {
    for (int route = 0; route < 3; ++route) {
      CHECK(UrgencyOf(make(workspace, route)) == ++urgency);
      // Admission withholds no capacity from the less urgent workspaces.
      CHECK(RankOf(make(workspace, route)) == route);
    }
  }
  CHECK(UrgencyOf(make(flow::kMaxWorkspacePriority, 0)) == 9);
}

}  // namespace
}  // namespace basilvalve::edge
