#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>
#include <sstream>

#include "UnitTests/Core/Gateway/test_fleet.h"

namespace basilvalve::gateway {
namespace {

/// Writes a session as text, with what differs between runs replaced.
class Transcript {
 public:
  explicit Transcript(TestFleet* fleet) : fleet_(fleet) {}

  void Caller(const std::string& title, const std::string& node,
              const http::Request& request) {
    http::BufferedResponse response =
        fleet_->Send(node, request.method, request.path, request.query,
                     request.headers, request.body);
    Write(title, node, request, response);
  }

  void Operator(const std::string& title, const std::string& node,
                const http::Request& request) {
    Write(title, node, request,
          fleet_->Admin(node, request.method, request.path, request.query,
                        request.body));
  }

  std::string text() const {
    std::string text = text_.str();
    text = std::regex_replace(
        text, std::regex("[mn][0-9]\\.[0-9]{10,}\\.[0-9a-f]{32}"), "<id>");
    text = std::regex_replace(text, std::regex("127\\.0\\.0\\.1:[0-9]+"),
                              "<address>");
    text = std::regex_replace(text, std::regex("bv1/[^\"]*"), "<ticket>");
    return text;
  }

 private:
  void Write(const std::string& title, const std::string& node,
             const http::Request& request,
             const http::BufferedResponse& response) {
    text_ << "## " << title << "\n> " << node << " " << request.method << " "
          << request.path << (request.query.empty() ? "" : "?" + request.query)
          << "\n< " << response.status;
    for (const char* it :
         {"Basilvalve-Outcome", "Basilvalve-Code", "Basilvalve-Region"}) {
      std::string_view value = http::FindHeader(response.headers, it);
      text_ << (value.empty()
                    ? ""
                    : std::string(" ") + it + "=" + std::string(value));
    }
    text_ << "\n" << response.body << "\n\n";
  }

  TestFleet* fleet_;
  std::ostringstream text_;
};

/// Compares with a file; BASILVALVE_UPDATE_GOLDEN=1 writes it instead.
void CheckGolden(const std::string& name, const std::string& text) {
  std::string path =
      std::string(BASILVALVE_SOURCE_DIR "/Source/UnitTests/Golden/") + name;
  if (std::getenv("BASILVALVE_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << text;
  }
  std::ifstream file(path);
  std::stringstream expected;
  expected << file.rdbuf();
  CHECK(text == expected.str());
}

const http::Headers kReports = {{"Basilvalve-Service", "reports"}};
constexpr const char* kModel = "/v1/chat/completions";
constexpr const char* kSettle = "/v1/services/payments/settle";
constexpr const char* kBalance = "/v1/services/payments/balance";

TEST_CASE("a caller's session") {
  TestFleet fleet;
  Transcript session(&fleet);
  std::string body = TestFleet::ModelBody(false, 3);
  session.Caller("which entry to use", "n1",
                 {"GET", "/v1/entry", "service=payments", {}, ""});
  session.Caller("a buffered completion", "m1",
                 {"POST", kModel, "", kReports, body});
  session.Caller("a balance from the other region", "n1",
                 {"GET", kBalance, "", {}, ""});
  http::Headers ticket = {{"Basilvalve-Ticket", fleet.Ticket("m1")}};
  session.Caller("a settlement", "m1", {"POST", kSettle, "", ticket, "tab 17"});
  session.Caller("repeated elsewhere", "m2",
                 {"POST", kSettle, "", ticket, "tab 17"});
  session.Caller("repeated with another body", "m2",
                 {"POST", kSettle, "", ticket, "tab 18"});
  session.Caller("a settlement without a claim", "m1",
                 {"POST", kSettle, "", {}, "tab 19"});
  session.Caller("a forged ticket", "m1",
                 {"POST",
                  kSettle,
                  "",
                  {{"Basilvalve-Ticket", "bv1/a/b/1/1/payments/00"}},
                  "x"});
  session.Caller(
      "a wrong key", "m1",
      {"GET", kBalance, "", {{"Authorization", "Bearer guess"}}, ""});
  session.Caller("an unknown service", "m1",
                 {"GET", "/v1/services/none/x", "", {}, ""});
  session.Caller("an unknown path", "m1", {"GET", "/v2", "", {}, ""});
  session.Caller("no service named", "m1", {"POST", kModel, "", {}, body});
  session.Caller("malformed JSON", "m1",
                 {"POST", kModel, "", kReports, "{\"model\":"});
  session.Caller(
      "a model that is not permitted", "m1",
      {"POST", kModel, "", kReports, R"({"model":"x","messages":[]})"});
  session.Caller("messages of a wrong shape", "m1",
                 {"POST", kModel, "", kReports,
                  R"({"model":"report-1","messages":[{}]})"});
  session.Caller(
      "a header given twice", "m1",
      {"POST",
       kModel,
       "",
       {{"Basilvalve-Service", "reports"}, {"Basilvalve-Service", "payments"}},
       body});
  session.Caller(
      "a wrong deadline", "m1",
      {"GET", kBalance, "", {{"Basilvalve-Deadline-Ms", "soon"}}, ""});
  session.Caller("a body above the limit", "m1",
                 {"POST", kModel, "", kReports, std::string(1100000, 'x')});
  session.Caller("forged forwarding headers change nothing", "m1",
                 {"GET",
                  kBalance,
                  "",
                  {{"bv-header", "x"}, {"X-Forwarded-For", "y"}},
                  ""});
  session.Caller("an outcome nobody knows", "m1",
                 {"GET", "/v1/outcomes/nonsense", "", {}, ""});
  CheckGolden("caller_session.txt", session.text());
}

TEST_CASE("an operator's session") {
  TestFleet fleet;
  Transcript session(&fleet);
  std::string changed = ReportsDocument(R"(["munich"])");
  session.Operator("the document in force", "n1",
                   {"GET", "/v1/documents/reports", "", {}, ""});
  session.Operator(
      "a change", "m1",
      {"PUT", "/v1/documents/reports", "base=1&change=c2", {}, changed});
  session.Operator(
      "the same change again", "n1",
      {"PUT", "/v1/documents/reports", "base=1&change=c2", {}, changed});
  session.Operator("another operator's change from the old version", "n1",
                   {"PUT",
                    "/v1/documents/reports",
                    "base=1&change=c3",
                    {},
                    ReportsDocument(R"(["nuremberg"])")});
  session.Operator(
      "a bad document", "m1",
      {"PUT", "/v1/documents/reports", "base=2&change=c4", {}, "{\"name\":7}"});
  session.Operator(
      "a name that differs from the path", "m1",
      {"PUT", "/v1/documents/payments", "base=1&change=c5", {}, changed});
  session.Operator("the history", "m1",
                   {"GET", "/v1/history/reports", "", {}, ""});
  session.Operator("a service without a document", "m1",
                   {"GET", "/v1/documents/none", "", {}, ""});
  session.Operator("validation", "m1",
                   {"POST", "/v1/validate", "", {}, changed});
  session.Operator("health", "m1", {"GET", "/healthz", "", {}, ""});
  session.Operator("readiness", "m1", {"GET", "/readyz", "", {}, ""});
  session.Operator("an unknown path", "m1", {"GET", "/v1/secrets", "", {}, ""});
  CheckGolden("operator_session.txt", session.text());
}

TEST_CASE("explain tells what every instance decided about a request") {
  TestFleet fleet;
  http::BufferedResponse response =
      fleet.Send("n1", "GET", kBalance, "", {}, "");
  std::string id(http::FindHeader(response.headers, "Basilvalve-Request-Id"));
  http::BufferedResponse explained =
      fleet.Admin("m1", "GET", "/v1/explain/" + id, "", "");
  nlohmann::json json = nlohmann::json::parse(explained.body);
  REQUIRE(json["instances"].size() == 2);
  std::string steps;
  for (const auto& instance : json["instances"]) {
    steps += instance.value("region", "") + ":";
    for (const auto& step : instance["steps"]) {
      std::string decision = step.value("decision", "");
      steps += " " + step.value("filter", "") + "=" +
               decision.substr(0, decision.find(' '));
    }
    steps += "\n";
  }
  CHECK(steps ==
        "nuremberg: drain=pass lookup=pass identity=pass placement=pass "
        "prompt=pass "
        "deadline=pass admit=pass route=forward\n"
        "munich: lookup=pass placement=pass deadline=pass prompt=pass "
        "admit=pass route=local\n");
  response = fleet.Send("m2", "GET", "/v1/outcomes/" + id, "", {}, "");
  CHECK(nlohmann::json::parse(response.body)["outcome"] == "done");
}

}  // namespace
}  // namespace basilvalve::gateway
