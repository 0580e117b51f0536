#include "ctl/explain_request.h"

#include <fstream>
#include <sstream>

#include "ctl/exit_code.h"
#include "ctl/parse_command.h"
#include "gtest/gtest.h"

namespace camphorsail::ctl {
namespace {

const char kLog[] =
    "time=2026-12-04T00:00:00Z level=info vm=g1 clock=10.0 "
    "event=request_answered request=abc status=200 age_ms=5\n"
    "not a line of the log\n";

Command Parse(const std::vector<std::string>& words) {
  std::vector<std::string> arguments = {"camphorsailctl"};
  arguments.insert(arguments.end(), words.begin(), words.end());
  // `explain` calls no VM, so it needs no credential.
  const ParsedCommand parsed =
      ParseCommand(arguments, {}, absl::FromUnixSeconds(1'700'000'000));
  EXPECT_TRUE(parsed.command) << parsed.errors;
  return *parsed.command;
}

// Guards against standard input being ignored when no file is named.
TEST(ExplainRequestTest, ReadsStandardInput) {
  std::istringstream input(kLog);
  const CommandResult result = ExplainRequest(Parse({"explain", "abc"}), input);
  EXPECT_EQ(result.exit_code, kExitSuccess);
  EXPECT_NE(result.output.find("cause: in_time"), std::string::npos)
      << result.output;
}

// Guards against named files being ignored, with JSON output.
TEST(ExplainRequestTest, ReadsFiles) {
  const std::string path = testing::TempDir() + "/explain_log";
  std::ofstream(path) << kLog;
  std::istringstream input;
  const CommandResult result = ExplainRequest(
      Parse({"explain", "abc", path, "--json", "--around", "2s"}), input);
  EXPECT_EQ(result.exit_code, kExitSuccess);
  EXPECT_NE(result.output.find("\"code\": \"in_time\""), std::string::npos);
}

// Guards against exit code 0 when nothing about the request could be read.
TEST(ExplainRequestTest, UnknownRequestAndUnreadableFileFail) {
  std::istringstream input(kLog);
  EXPECT_EQ(ExplainRequest(Parse({"explain", "other"}), input).exit_code,
            kExitFailure);
  std::istringstream none;
  const CommandResult result =
      ExplainRequest(Parse({"explain", "abc", "/no/such/file"}), none);
  EXPECT_EQ(result.exit_code, kExitFailure);
  EXPECT_NE(result.errors.find("/no/such/file"), std::string::npos);
}

// Guards against a malformed duration being ignored.
TEST(ExplainRequestTest, WrongDurationIsAUsageError) {
  const ParsedCommand parsed =
      ParseCommand({"camphorsailctl", "explain", "abc", "--around", "soon"}, {},
                   absl::FromUnixSeconds(1'700'000'000));
  EXPECT_EQ(parsed.exit_code, kExitUsage);
  EXPECT_NE(parsed.errors.find("--around"), std::string::npos);
}

}  // namespace
}  // namespace camphorsail::ctl
