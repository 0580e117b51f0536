#include "ctl/run_command.h"

#include <optional>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "ctl/exit_code.h"
#include "ctl/settings_edits.h"
#include "gtest/gtest.h"
#include "nlohmann/json.hpp"

namespace camphorsail::ctl {
namespace {

using nlohmann::json;

AdminResponse Answer(int status, const json& body) {
  return {AdminOutcome::kAnswered, status, body.dump(), ""};
}

AdminResponse ErrorAnswer(int status, const char* code) {
  return Answer(status, {{"error", {{"code", code}, {"message", "m"}}}});
}

/// A fake admin API that gives prepared answers and records the requests.
class FakeAdmin {
 public:
  explicit FakeAdmin(std::vector<AdminResponse> answers)
      : answers_(std::move(answers)) {}

  CommandResult Run(const Command& command) {
    return RunCommand(command,
                      {[this](const AdminRequest& request) {
                         requests.push_back(request);
                         return requests.size() <= answers_.size()
                                    ? answers_[requests.size() - 1]
                                    : answers_.back();
                       },
                       [this](absl::Duration duration) { slept += duration; },
                       [this](const std::string& line) { reported += line; }});
  }

  std::vector<AdminRequest> requests;
  absl::Duration slept = absl::ZeroDuration();
  std::string reported;

 private:
  const std::vector<AdminResponse> answers_;
};

Command SetTier() {
  Command command;
  command.kind = CommandKind::kSettingsSet;
  command.path = "fleet/a b";
  command.values = {{"tier", "1"}, {"model", "007"}};
  command.change_id = "c1";
  command.operator_name = "ann";
  return command;
}

const AdminResponse kLost = {AdminOutcome::kAnswerLost, 0, "", "reset"};
const AdminResponse kNotSent = {AdminOutcome::kNotSent, 0, "", "refused"};

// Guards against a change that is not based on the version just read, or whose
// values have the wrong type.
TEST(RunCommandTest, SetSendsOneChangeOnTheCurrentVersion) {
  FakeAdmin admin(
      {Answer(200, {{"version", 7}, {"values", json::object()}}),
       Answer(200, {{"version", 8}, {"change_id", "c1"}, {"resent", false}})});
  const CommandResult result = admin.Run(SetTier());
  EXPECT_EQ(result.exit_code, kExitSuccess) << result.errors;
  EXPECT_EQ(result.output, "version 8, change c1\n");
  EXPECT_EQ(admin.reported, "change id: c1");
  ASSERT_EQ(admin.requests.size(), 2U);
  EXPECT_EQ(admin.requests[1].method, "POST");
  EXPECT_EQ(admin.requests[1].target, "/admin/v1/settings");
  EXPECT_EQ(json::parse(admin.requests[1].body),
            json::parse(R"({"change_id":"c1","base_version":7,"operator":"ann",
                "edits":[{"path":"fleet/a b","key":"tier","value":1},
                         {"path":"fleet/a b","key":"model","value":"007"}]})"));
}

// Guards against a change that is applied twice, or reported as failed, when
// the answer to its first attempt was lost.
TEST(RunCommandTest, LostAnswerIsResentWithTheSameId) {
  Command command = SetTier();
  command.base_version = 7;
  FakeAdmin admin(
      {kLost, kNotSent,
       Answer(200, {{"version", 8}, {"change_id", "c1"}, {"resent", true}})});
  const CommandResult result = admin.Run(command);
  EXPECT_EQ(result.exit_code, kExitSuccess);
  EXPECT_EQ(result.output, "version 8, change c1 (accepted earlier)\n");
  ASSERT_EQ(admin.requests.size(), 3U);
  EXPECT_EQ(admin.requests[0].body, admin.requests[2].body);
  EXPECT_GT(admin.slept, absl::ZeroDuration());
}

// Guards against reporting a failure when the VM lost its leader while the
// change was committed and so does not know the outcome.
TEST(RunCommandTest, UnknownOutcomeIsResentWithTheSameId) {
  Command command = SetTier();
  command.base_version = 7;
  FakeAdmin admin(
      {Answer(409, {{"error", {{"code", "outcome_unknown"}}}}),
       Answer(200, {{"version", 8}, {"change_id", "c1"}, {"resent", true}})});
  EXPECT_EQ(admin.Run(command).exit_code, kExitSuccess);
  ASSERT_EQ(admin.requests.size(), 2U);
  EXPECT_EQ(admin.requests[0].body, admin.requests[1].body);
}

// Guards against resending without end, and against a failure message that does
// not say that the change may be in effect.
TEST(RunCommandTest, GivesUpAfterThreeResends) {
  Command command = SetTier();
  command.base_version = 7;
  FakeAdmin admin({kLost});
  const CommandResult result = admin.Run(command);
  EXPECT_EQ(result.exit_code, kExitFailure);
  EXPECT_EQ(admin.requests.size(), 4U);
  EXPECT_TRUE(absl::StrContains(result.errors, "may be in effect"));
  EXPECT_TRUE(
      absl::StrContains(result.errors, "--change-id c1 --base-version 7"));
  FakeAdmin unreachable({kNotSent});
  EXPECT_EQ(unreachable.Run(command).exit_code, kExitFailure);
  EXPECT_EQ(unreachable.requests.size(), 1U);
}

// Guards against exit codes that do not distinguish a conflict and a VM that is
// not ready from other failures.
TEST(RunCommandTest, ExitCodesFollowTheErrorCode) {
  Command command;
  command.kind = CommandKind::kServers;
  for (const auto& [status, code, expected] :
       {std::make_tuple(409, "settings_conflict", kExitConflict),
        std::make_tuple(409, "outcome_unknown", kExitFailure),
        std::make_tuple(503, "quorum_lost", kExitNotReady),
        std::make_tuple(503, "shutting_down", kExitNotReady),
        std::make_tuple(401, "unauthenticated", kExitFailure)}) {
    const CommandResult result =
        FakeAdmin({ErrorAnswer(status, code)}).Run(command);
    EXPECT_EQ(result.exit_code, expected) << code;
    EXPECT_TRUE(absl::StrContains(result.errors, code));
    EXPECT_EQ(result.output, "");
  }
  command.kind = CommandKind::kStatus;
  EXPECT_EQ(FakeAdmin({Answer(200, {{"ready", false}})}).Run(command).exit_code,
            kExitNotReady);
  EXPECT_EQ(FakeAdmin({Answer(200, "text")}).Run(command).exit_code,
            kExitFailure);
}

// Guards against sending another adapter, version or role than the operator
// wrote, and against a removal that sets an empty state instead.
TEST(RunCommandTest, EnginesSetSendsTheWholeState) {
  Command command;
  command.kind = CommandKind::kEnginesSet;
  command.server = "engine";
  command.artifacts = {"base@7", "base+tags@v@3"};
  command.role = "decode";
  command.load_priority = -2;
  FakeAdmin admin({Answer(200, {{"server", "engine"}})});
  EXPECT_EQ(admin.Run(command).exit_code, kExitSuccess);
  EXPECT_EQ(json::parse(admin.requests[0].body),
            json::parse(R"({"server": "engine", "role": "decode", "need": -2,
                "artifacts": [
                  {"model": "base", "adapter": "", "version": "7"},
                  {"model": "base", "adapter": "tags@v", "version": "3"}]})"));
  command.kind = CommandKind::kEnginesRemove;
  FakeAdmin removing({Answer(200, {{"server", "engine"}})});
  removing.Run(command);
  EXPECT_EQ(json::parse(removing.requests[0].body),
            json({{"server", "engine"}, {"remove", true}}));
}

// Guards against a hold that resumes the orders, and the other way round.
TEST(RunCommandTest, DutiesHoldAndResumeNameTheService) {
  for (const bool hold : {true, false}) {
    Command command;
    command.kind = hold ? CommandKind::kDutiesHold : CommandKind::kDutiesResume;
    command.service = "chat";
    command.operator_name = "ann";
    FakeAdmin admin({Answer(200, {{"service", "chat"}, {"hold", hold}})});
    const CommandResult result = admin.Run(command);
    EXPECT_EQ(result.exit_code, kExitSuccess);
    EXPECT_EQ(result.output, hold ? "on hold: chat\n" : "resumed: chat\n");
    EXPECT_EQ(admin.requests[0].method, "POST");
    EXPECT_EQ(admin.requests[0].target, "/admin/v1/duties");
    EXPECT_EQ(json::parse(admin.requests[0].body),
              json({{"service", "chat"}, {"hold", hold}, {"operator", "ann"}}));
  }
}

// Guards against special characters in a query value that add parameters to the
// URL.
TEST(RunCommandTest, QueryValuesAreEncoded) {
  Command command;
  command.kind = CommandKind::kSettingsGet;
  command.path = "fleet/a&explain=1 \xc3\xa9";
  FakeAdmin admin({Answer(200, {{"version", 1}})});
  admin.Run(command);
  EXPECT_EQ(admin.requests[0].target,
            "/admin/v1/settings?path=fleet%2Fa%26explain%3D1%20%C3%A9");
}

// Guards against an applied file that reverts a change made after its export,
// and against edits that differ from those that `settings diff` shows.
TEST(RunCommandTest, ApplySendsTheDifferenceOnTheFilesVersion) {
  const AdminResponse current = Answer(200, json::parse(R"({"version":9,"tree":{
          "fleet":{"tier":2,"weight":1.0},"fleet/a":{"tier":1}}})"));
  Command command;
  command.kind = CommandKind::kSettingsApply;
  command.change_id = "c2";
  command.file_text = R"({"version":8,"tree":{"fleet":{"tier":3,"weight":1.0},
                          "fleet/b":{"model":"m"}}})";
  FakeAdmin admin({current, ErrorAnswer(409, "settings_conflict")});
  EXPECT_EQ(admin.Run(command).exit_code, kExitConflict);
  const json body = json::parse(admin.requests[1].body);
  EXPECT_EQ(body["base_version"], 8);
  EXPECT_EQ(body["edits"].size(), 3U);

  command.kind = CommandKind::kSettingsDiff;
  EXPECT_EQ(FakeAdmin({current}).Run(command).output,
            "- fleet/a tier\n+ fleet tier = 3\n+ fleet/b model = \"m\"\n");
  command.file_text = "{}";
  EXPECT_EQ(FakeAdmin({current}).Run(command).exit_code, kExitUsage);
  command.file_text = R"({"tree":{"fleet":3}})";
  EXPECT_EQ(FakeAdmin({current}).Run(command).exit_code, kExitUsage);

  command.kind = CommandKind::kSettingsApply;
  command.file_text = R"({"tree":{"fleet":{"tier":2,"weight":1.0},
                                  "fleet/a":{"tier":1}}})";
  FakeAdmin unchanged({current});
  EXPECT_EQ(unchanged.Run(command).exit_code, kExitSuccess);
  EXPECT_EQ(unchanged.requests.size(), 1U);
}

// Guards against storing a digest or name that consists of digits as a number.
TEST(ParseSettingValueTest, TextKeysKeepDigits) {
  EXPECT_EQ(ParseSettingValue("tier", "2"), json(2));
  EXPECT_EQ(ParseSettingValue("idempotent", "false"), json(false));
  EXPECT_EQ(ParseSettingValue("model", "42"), json("42"));
  EXPECT_EQ(ParseSettingValue("model", "a b"), json("a b"));
  EXPECT_EQ(ParseSettingValue("api_key_sha256", R"(["12","34"])"),
            json({"12", "34"}));
}

}  // namespace
}  // namespace camphorsail::ctl
