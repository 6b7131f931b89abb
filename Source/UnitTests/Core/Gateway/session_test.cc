#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>
#include <sstream>

#include "UnitTests/Core/Gateway/test_fleet.h"

namespace basilvalve::gateway {
namespace {

/// Records requests and responses as text. Request ids, addresses and tickets
/// are replaced by placeholders because they differ between runs.
class Transcript {
 public:
  explicit Transcript(TestFleet* fleet) : fleet_(fleet) {}

  void RecordCaller(const std::string& title, const std::string& node,
                    const http::Request& request) {
    http::BufferedResponse response =
        fleet_->Send(node, request.method, request.path, request.query,
                     request.headers, request.body);
    AppendEntry(title, node, request, response);
  }

  void RecordOperator(const std::string& title, const std::string& node,
                      const http::Request& request) {
    AppendEntry(title, node, request,
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
  void AppendEntry(const std::string& title, const std::string& node,
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

/// Compares `text` with a golden file. BASILVALVE_UPDATE_GOLDEN=1 writes the
/// file first.
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

const http::Headers kReportsHeaders = {{"Basilvalve-Service", "reports"}};
constexpr const char* kCompletionsPath = "/v1/chat/completions";
constexpr const char* kSettlePath = "/v1/services/payments/settle";
constexpr const char* kBalancePath = "/v1/services/payments/balance";

TEST_CASE("responses of the caller API match the golden file") {
  TestFleet fleet;
  Transcript session(&fleet);
  std::string body = TestFleet::ModelBody(false, 3);
  session.RecordCaller("which entry to use", "n1",
                       {"GET", "/v1/entry", "service=payments", {}, ""});
  session.RecordCaller("a buffered completion", "m1",
                       {"POST", kCompletionsPath, "", kReportsHeaders, body});
  session.RecordCaller("a balance from the other region", "n1",
                       {"GET", kBalancePath, "", {}, ""});
  http::Headers ticket = {{"Basilvalve-Ticket", fleet.Ticket("m1")}};
  session.RecordCaller("a settlement", "m1",
                       {"POST", kSettlePath, "", ticket, "tab 17"});
  session.RecordCaller("repeated elsewhere", "m2",
                       {"POST", kSettlePath, "", ticket, "tab 17"});
  session.RecordCaller("repeated with another body", "m2",
                       {"POST", kSettlePath, "", ticket, "tab 18"});
  session.RecordCaller("a settlement without a claim", "m1",
                       {"POST", kSettlePath, "", {}, "tab 19"});
  session.RecordCaller("a forged ticket", "m1",
                       {"POST",
                        kSettlePath,
                        "",
                        {{"Basilvalve-Ticket", "bv1/a/b/1/1/payments/00"}},
                        "x"});
  session.RecordCaller(
      "a wrong key", "m1",
      {"GET", kBalancePath, "", {{"Authorization", "Bearer guess"}}, ""});
  session.RecordCaller("an unknown service", "m1",
                       {"GET", "/v1/services/none/x", "", {}, ""});
  session.RecordCaller("an unknown path", "m1", {"GET", "/v2", "", {}, ""});
  session.RecordCaller("no service named", "m1",
                       {"POST", kCompletionsPath, "", {}, body});
  session.RecordCaller(
      "malformed JSON", "m1",
      {"POST", kCompletionsPath, "", kReportsHeaders, "{\"model\":"});
  session.RecordCaller("a model that is not permitted", "m1",
                       {"POST", kCompletionsPath, "", kReportsHeaders,
                        R"({"model":"x","messages":[]})"});
  session.RecordCaller("messages of a wrong shape", "m1",
                       {"POST", kCompletionsPath, "", kReportsHeaders,
                        R"({"model":"report-1","messages":[{}]})"});
  session.RecordCaller(
      "a header given twice", "m1",
      {"POST",
       kCompletionsPath,
       "",
       {{"Basilvalve-Service", "reports"}, {"Basilvalve-Service", "payments"}},
       body});
  session.RecordCaller(
      "a wrong deadline", "m1",
      {"GET", kBalancePath, "", {{"Basilvalve-Deadline-Ms", "soon"}}, ""});
  session.RecordCaller("a body above the limit", "m1",
                       {"POST", kCompletionsPath, "", kReportsHeaders,
                        std::string(1100000, 'x')});
  session.RecordCaller("forged forwarding headers change nothing", "m1",
                       {"GET",
                        kBalancePath,
                        "",
                        {{"bv-header", "x"}, {"X-Forwarded-For", "y"}},
                        ""});
  session.RecordCaller("an outcome nobody knows", "m1",
                       {"GET", "/v1/outcomes/nonsense", "", {}, ""});
  CheckGolden("caller_session.txt", session.text());
}

TEST_CASE("responses of the admin API match the golden file") {
  TestFleet fleet;
  Transcript session(&fleet);
  std::string changed_document = ReportsDocument(R"(["munich"])");
  session.RecordOperator("the document in force", "n1",
                         {"GET", "/v1/documents/reports", "", {}, ""});
  session.RecordOperator("a change", "m1",
                         {"PUT",
                          "/v1/documents/reports",
                          "base=1&change=c2",
                          {},
                          changed_document});
  session.RecordOperator("the same change again", "n1",
                         {"PUT",
                          "/v1/documents/reports",
                          "base=1&change=c2",
                          {},
                          changed_document});
  session.RecordOperator("another operator's change from the old version", "n1",
                         {"PUT",
                          "/v1/documents/reports",
                          "base=1&change=c3",
                          {},
                          ReportsDocument(R"(["nuremberg"])")});
  session.RecordOperator(
      "a bad document", "m1",
      {"PUT", "/v1/documents/reports", "base=2&change=c4", {}, "{\"name\":7}"});
  session.RecordOperator("a name that differs from the path", "m1",
                         {"PUT",
                          "/v1/documents/payments",
                          "base=1&change=c5",
                          {},
                          changed_document});
  session.RecordOperator("the history", "m1",
                         {"GET", "/v1/history/reports", "", {}, ""});
  session.RecordOperator("a service without a document", "m1",
                         {"GET", "/v1/documents/none", "", {}, ""});
  session.RecordOperator("validation", "m1",
                         {"POST", "/v1/validate", "", {}, changed_document});
  session.RecordOperator("health", "m1", {"GET", "/healthz", "", {}, ""});
  session.RecordOperator("readiness", "m1", {"GET", "/readyz", "", {}, ""});
  session.RecordOperator("an unknown path", "m1",
                         {"GET", "/v1/secrets", "", {}, ""});
  CheckGolden("operator_session.txt", session.text());
}

TEST_CASE("explain reports the decisions of every instance on a request") {
  TestFleet fleet;
  http::BufferedResponse response =
      fleet.Send("n1", "GET", kBalancePath, "", {}, "");
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
