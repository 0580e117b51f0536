#include "ctl/check_config.h"

#include <string>

#include "ctl/exit_code.h"
#include "gtest/gtest.h"
#include "nlohmann/json.hpp"

// Tests of the check of a routing document before it is sent.
namespace camphorsail::ctl {
namespace {

using nlohmann::json;

json Document() {
  return json::parse(R"({
    "version": 3,
    "routes": [
      {"name": "chat", "host": "chat.example", "pathPrefix": "/", "kind": "safe",
       "service": "m", "timeoutMs": 30000, "targetLatencyMs": 800,
       "maxAttempts": 2}],
    "services": [{"name": "m", "engine": {"slots": 8}}],
    "tenants": [{"name": "acme", "apiKeys": ["secret-one"]}]})");
}

CommandResult Check(const json& document,
                    const std::string& admin_url = "",
                    const AdminResponse& answer = {}) {
  Command command;
  command.kind = CommandKind::kConfigCheck;
  command.file_text = document.dump();
  command.admin_url = admin_url;
  return CheckConfig(command, [&](const AdminRequest&) { return answer; });
}

CommandResult Compare(const json& before, const json& after) {
  Command command;
  command.file_text = after.dump();
  command.against_text = before.dump();
  return CheckConfig(command, AdminCall());
}

TEST(CheckConfigTest, CleanDocument) {
  const CommandResult result = Check(Document());
  EXPECT_EQ(result.exit_code, kExitSuccess);
  EXPECT_EQ(result.output, "no errors or warnings\n");
}

TEST(CheckConfigTest, ErrorsAreThoseOfTheValidatorWithTheirPlace) {
  json document = Document();
  document["routes"][0]["timeoutMs"] = "soon";
  CommandResult result = Check(document);
  EXPECT_EQ(result.exit_code, kExitFailure);
  EXPECT_NE(result.output.find("error: routes[0].timeoutMs"), std::string::npos)
      << result.output;
  document = Document();
  document["tenants"].push_back({{"name", "b"}, {"apiKeys", {"secret-one"}}});
  result = Check(document);
  EXPECT_EQ(result.exit_code, kExitFailure);
  EXPECT_NE(result.output.find("share an API key"), std::string::npos);
  EXPECT_EQ(result.output.find("secret-one"), std::string::npos);
}

// Each entry is accepted by the validator, but has no effect or another one
// than its author expects.
TEST(CheckConfigTest, EntriesWithoutEffectAreWarnings) {
  json document = Document();
  json& routes = document["routes"];
  json other = routes[0];
  other["name"] = "upper";
  other["host"] = "CHAT.example";
  routes.push_back(other);
  other["name"] = "port";
  other["host"] = "chat.example:8080";
  routes.push_back(other);
  other["name"] = "limits";
  other["host"] = "limits.example";
  other["kind"] = "unsafe";
  other["maxAttempts"] = 9;
  other["targetLatencyMs"] = 60000;
  other["gapAimMs"] = 60000;
  other.erase("service");
  other["trafficSplit"] = {{{"service", "m"}, {"weight", 1}},
                           {{"service", "spare"}, {"weight", 0}}};
  routes.push_back(other);
  document["services"].push_back(
      {{"name", "spare"}, {"scaling", {{"min", 3}, {"max", 2}}}});
  document["tenants"].push_back({{"name", "idle"}, {"apiKeys", json::array()}});
  const CommandResult result = Check(document);
  EXPECT_EQ(result.exit_code, kExitWarnings);
  EXPECT_EQ(
      result.output,
      "warning: route 'upper': never matches: an earlier route has the same "
      "prefix and a host that differs in case only\n"
      "warning: route 'port': never matches: the port in host "
      "'chat.example:8080' is not compared\n"
      "warning: route 'limits': service 'spare' gets no requests: its weight "
      "is 0\n"
      "warning: route 'limits': 9 attempts are never made: a gateway starts at "
      "most 4\n"
      "warning: route 'limits': 9 attempts are never made: requests of this "
      "kind do not run again\n"
      "warning: route 'limits': the latency objective of 60000 ms is above the "
      "time limit of 30000 ms\n"
      "warning: route 'limits': the longest pause of 60000 ms is above the "
      "time limit of 30000 ms\n"
      "warning: service 'spare': is not reachable: no route sends requests to "
      "it\n"
      "warning: service 'spare': the minimum of 3 servers is above the maximum "
      "of 2\n"
      "warning: account 'idle': cannot send requests: it has no API key\n");
}

TEST(CheckConfigTest, DifferencesAreLinesWithoutApiKeys) {
  json after = Document();
  after["version"] = 4;
  after["routes"][0]["timeoutMs"] = 20000;
  after["services"][0]["engine"]["slots"] = 16;
  after["tenants"][0]["apiKeys"] = {"secret-two", "secret-three"};
  after["tenants"].push_back({{"name", "b"}, {"apiKeys", {"secret-four"}}});
  const CommandResult result = Compare(Document(), after);
  EXPECT_EQ(result.exit_code, kExitSuccess);
  EXPECT_EQ(result.output,
            "no errors or warnings\n"
            "changes:\n"
            "  document: version: 3 -> 4\n"
            "  route chat.example/: time limit: 30000 ms -> 20000 ms\n"
            "  service m: slots: 8 -> 16\n"
            "  account b: added\n"
            "  account acme: API keys: 2 added, 1 removed\n");
  EXPECT_EQ(Compare(after, after).output,
            "no errors or warnings\nno changes\n");
}

TEST(CheckConfigTest, ComparesWithTheDocumentInForce) {
  json before = Document();
  before["version"] = 2;
  const CommandResult result =
      Check(Document(), "http://vm",
            {AdminOutcome::kAnswered, 200, before.dump(), ""});
  EXPECT_EQ(result.exit_code, kExitSuccess);
  EXPECT_NE(result.output.find("version: 2 -> 3"), std::string::npos);
  const CommandResult failed =
      Check(Document(), "http://vm", {AdminOutcome::kAnswered, 503, "", ""});
  EXPECT_EQ(failed.exit_code, kExitFailure);
  EXPECT_NE(failed.errors.find("status 503"), std::string::npos);
}

TEST(CheckConfigTest, JsonHasTheSameFindings) {
  json document = Document();
  document["routes"][0]["targetLatencyMs"] = 60000;
  Command command;
  command.file_text = document.dump();
  command.against_text = Document().dump();
  command.json = true;
  const CommandResult result = CheckConfig(command, AdminCall());
  const json answer = json::parse(result.output);
  EXPECT_EQ(result.exit_code, kExitWarnings);
  EXPECT_TRUE(answer.at("errors").empty());
  EXPECT_EQ(answer.at("warnings").at(0).at("place"), "route 'chat'");
  EXPECT_EQ(answer.at("changes").at(0),
            "route chat.example/: latency objective: 800 ms -> 60000 ms");
}

}  // namespace
}  // namespace camphorsail::ctl
