#include "ctl/parse_command.h"

#include <fstream>
#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "gtest/gtest.h"

namespace camphorsail::ctl {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1'700'000'000);

std::string WriteFile(const std::string& name, const std::string& content) {
  const std::string path = testing::TempDir() + "/parse_command_test_" + name;
  std::ofstream(path, std::ios::binary) << content;
  return path;
}

ParsedCommand Parse(
    std::vector<std::string> words,
    std::vector<std::pair<std::string, std::string>> environment = {}) {
  words.insert(words.begin(), "camphorsailctl");
  environment.emplace_back("CAMPHORSAIL_ADMIN_SECRET_FILE",
                           WriteFile("secret", "s3cret\n"));
  return ParseCommand(words, environment, kNow);
}

// The check of a document must neither need a credential nor call a VM that was
// not named.
TEST(ParseCommandTest, ConfigCheckCallsOnlyANamedVm) {
  const std::string file = WriteFile("document", "{}");
  const auto parse = [&](std::vector<std::string> words) {
    words.insert(words.begin(), {"camphorsailctl", "config", "check", file});
    return ParseCommand(words, {}, kNow);
  };
  ASSERT_TRUE(parse({}).command);
  EXPECT_EQ(parse({}).command->file_text, "{}");
  EXPECT_EQ(parse({}).command->admin_url, "");
  EXPECT_FALSE(parse({}).command->against_text.has_value());
  EXPECT_EQ(parse({"--admin", "http://vm/"}).command->admin_url, "http://vm");
  EXPECT_EQ(parse({"--against", file}).command->against_text, "{}");
  EXPECT_EQ(parse({"--against", file + ".none"}).exit_code, kExitUsage);
  EXPECT_EQ(parse({"--admin", "vm"}).exit_code, kExitUsage);
}

// Guards against mistaking one command for another, and against losing
// operands.
TEST(ParseCommandTest, ReadsOperandsAndFlags) {
  const ParsedCommand set =
      Parse({"settings", "set", "fleet/a", "tier", "1", "weight", "2.5",
             "--base-version=7", "--change-id", "c1", "--operator", "ann"});
  ASSERT_TRUE(set.command) << set.errors;
  EXPECT_EQ(set.command->kind, CommandKind::kSettingsSet);
  EXPECT_EQ(set.command->path, "fleet/a");
  ASSERT_EQ(set.command->values.size(), 2U);
  EXPECT_EQ(set.command->values[1].second, "2.5");
  EXPECT_EQ(set.command->base_version, 7U);
  EXPECT_EQ(set.command->change_id, "c1");
  EXPECT_EQ(set.command->operator_name, "ann");
  EXPECT_EQ(set.command->secret, "s3cret");
  EXPECT_EQ(set.command->admin_url, "http://127.0.0.1:8082");

  const ParsedCommand get = Parse({"settings", "get", "--explain", "--json"});
  ASSERT_TRUE(get.command) << get.errors;
  EXPECT_EQ(get.command->path, "fleet");
  EXPECT_TRUE(get.command->explain && get.command->json);

  const ParsedCommand unset = Parse({"settings", "unset", "fleet", "a", "b"});
  ASSERT_TRUE(unset.command) << unset.errors;
  EXPECT_EQ(unset.command->keys, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(Parse({"drain", "vm2"}).command->vm, "vm2");
  EXPECT_EQ(Parse({"quarantine"}).command->kind, CommandKind::kQuarantine);
  const ParsedCommand release =
      Parse({"quarantine", "release", "00ff", "--operator", "ann"});
  ASSERT_TRUE(release.command) << release.errors;
  EXPECT_EQ(release.command->kind, CommandKind::kQuarantineRelease);
  EXPECT_EQ(release.command->entry, "00ff");
  EXPECT_EQ(release.command->operator_name, "ann");
  EXPECT_EQ(Parse({"duties", "--json"}).command->kind, CommandKind::kDuties);
  const ParsedCommand hold =
      Parse({"duties", "hold", "chat", "--operator", "ann"});
  ASSERT_TRUE(hold.command) << hold.errors;
  EXPECT_EQ(hold.command->kind, CommandKind::kDutiesHold);
  EXPECT_EQ(hold.command->service, "chat");
  EXPECT_EQ(hold.command->operator_name, "ann");
  EXPECT_EQ(Parse({"duties", "resume", "chat"}).command->kind,
            CommandKind::kDutiesResume);
  EXPECT_FALSE(Parse({"duties", "hold"}).command);
}

// Guards against two changes with the same id: the second would be treated as
// the first one sent again.
TEST(ParseCommandTest, ChangeIdsAreDistinct) {
  const auto change_id = [] {
    return Parse({"settings", "set", "fleet", "tier", "1"}).command->change_id;
  };
  EXPECT_EQ(change_id().size(), 32U);
  EXPECT_NE(change_id(), change_id());
}

// Guards against a flag that does not override its environment variable.
TEST(ParseCommandTest, FlagOverridesVariable) {
  const std::vector<std::pair<std::string, std::string>> variable = {
      {"CAMPHORSAIL_ADMIN", "http://10.0.0.1:1/"}, {"USER", "bob"}};
  const ParsedCommand by_variable = Parse({"status"}, variable);
  EXPECT_EQ(by_variable.command->admin_url, "http://10.0.0.1:1");
  EXPECT_EQ(by_variable.command->operator_name, "bob");
  EXPECT_EQ(
      Parse({"status", "--admin", "https://x:2"}, variable).command->admin_url,
      "https://x:2");
}

// Guards against sending times in the operator's time zone, and against ages
// that are not subtracted from the current time.
TEST(ParseCommandTest, TimesAreSentInUtc) {
  const ParsedCommand parsed = Parse(
      {"refused-minutes", "--from", "2023-11-14T23:00:00+01:00", "--to=15m"});
  ASSERT_TRUE(parsed.command) << parsed.errors;
  const std::vector<std::pair<std::string, std::string>> expected = {
      {"from", "2023-11-14T22:00:00.000000Z"},
      {"to", "2023-11-14T21:58:20.000000Z"},
      {"format", "text"}};
  EXPECT_EQ(parsed.command->query, expected);
}

// Guards against executing an invalid command line, and against errors that do
// not name the mistake.
TEST(ParseCommandTest, InvalidCommandLinesAreUsageErrors) {
  const std::vector<std::pair<std::vector<std::string>, std::string>> cases = {
      {{}, "no command"},
      {{"settings"}, "unknown command"},
      {{"settings", "destroy"}, "unknown command"},
      {{"settings", "set", "fleet", "tier"}, "PATH KEY VALUE"},
      {{"settings", "set", "fleet", "a", "1", "b"}, "each KEY needs a VALUE"},
      {{"servers", "extra"}, "usage"},
      {{"servers", "--limit", "3"}, "--limit: not allowed with servers"},
      {{"status", "--explain"}, "--explain"},
      {{"status", "--nonsense"}, "--nonsense"},
      {{"status", "--admin", "127.0.0.1:8082"}, "http or https"},
      {{"status", "--secret-file", "/no/such/file"}, "/no/such/file"},
      {{"timeline", "--limit", "0"}, "1 to 10000"},
      {{"timeline", "--request", "xyz"}, "hexadecimal"},
      {{"timeline", "--from", "yesterday"}, "RFC 3339"},
      {{"settings", "set", "fleet", "a", "1", "--base-version", "x"},
       "--base-version"},
      {{"settings", "diff", "/no/such/file"}, "/no/such/file"},
      {{"refused-minutes", "--from", "1h"}, "--from and --to"},
      {{"refused-minutes", "--from", "1h", "--to", "0s", "--format", "xml"},
       "text, json or csv"},
  };
  for (const auto& [words, expected] : cases) {
    const ParsedCommand parsed = Parse(words);
    EXPECT_FALSE(parsed.command);
    EXPECT_EQ(parsed.exit_code, kExitUsage);
    EXPECT_NE(parsed.errors.find(expected), std::string::npos)
        << expected << " is not in: " << parsed.errors;
  }
  EXPECT_NE(Parse({"status"}, {{"CAMPHORSAIL_ADMIM", "x"}})
                .errors.find("CAMPHORSAIL_ADMIM"),
            std::string::npos);
  EXPECT_NE(ParseCommand({"camphorsailctl", "status"}, {}, kNow)
                .errors.find("--secret-file"),
            std::string::npos);
}

// Guards against --help and --version failing without a credential.
TEST(ParseCommandTest, HelpAndVersionNeedNoCredential) {
  const ParsedCommand help =
      ParseCommand({"camphorsailctl", "--help"}, {}, kNow);
  EXPECT_EQ(help.exit_code, 0);
  EXPECT_NE(help.output.find("settings apply FILE"), std::string::npos);
  EXPECT_EQ(ParseCommand({"camphorsailctl", "--version"}, {}, kNow).output,
            "camphorsailctl " CAMPHORSAIL_VERSION "\n");
}

}  // namespace
}  // namespace camphorsail::ctl
