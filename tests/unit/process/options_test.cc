#include "camphorsail/process/options.h"

#include <fstream>
#include <string>
#include <vector>

#include "camphorsail/process/option_spec.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

using Environment = std::vector<std::pair<std::string, std::string>>;

std::string WriteFile(const std::string& name, const std::string& content) {
  const std::string path = testing::TempDir() + "/options_test_" + name;
  std::ofstream(path, std::ios::binary) << content;
  return path;
}

/// @return The arguments of a valid daemon, followed by `more`.
std::vector<std::string> Arguments(const std::vector<std::string>& more = {}) {
  const std::string secret = WriteFile("secret", "a secret of 16 b\n");
  std::vector<std::string> result = {"camphorsaild",
                                     "--vm",
                                     "a",
                                     "--failure-domain=fd1",
                                     "--peer-secret-file",
                                     secret,
                                     "--announce-secret-file",
                                     secret,
                                     "--admin-secret-file",
                                     secret};
  result.insert(result.end(), more.begin(), more.end());
  return result;
}

void ExpectError(const OptionsOutcome& outcome,
                 const std::vector<std::string>& words) {
  EXPECT_EQ(outcome.exit_code, 2);
  EXPECT_FALSE(outcome.options);
  for (const std::string& word : words) {
    EXPECT_NE(outcome.errors.find(word), std::string::npos)
        << word << " is not in: " << outcome.errors;
  }
}

// Guards against a setting whose sources have the wrong precedence.
TEST(OptionsTest, FlagOverridesVariableOverridesDefault) {
  const Environment variable = {{"CAMPHORSAIL_TICK_MS", "20"}, {"HOME", "/x"}};
  EXPECT_EQ(ParseOptions(Arguments(), {}).options->tick,
            absl::Milliseconds(10));
  EXPECT_EQ(ParseOptions(Arguments(), variable).options->tick,
            absl::Milliseconds(20));
  EXPECT_EQ(
      ParseOptions(Arguments({"--tick-ms", "30"}), variable).options->tick,
      absl::Milliseconds(30));
}

// Guards against values that are stored in the wrong field or unit.
TEST(OptionsTest, StoresEveryValue) {
  const OptionsOutcome outcome =
      ParseOptions(Arguments({"--region",
                              "north",
                              "--roles",
                              "replica,entry",
                              "--caller-listen",
                              "127.0.0.1:1",
                              "--announce-listen",
                              "127.0.0.1:2",
                              "--admin-listen",
                              "[::1]:3",
                              "--peer-listen",
                              "127.0.0.1:4",
                              "--peers=b=127.0.0.2:4,c=[::1]:5",
                              "--initial-voters",
                              "3",
                              "--data-folder",
                              "/data",
                              "--shards",
                              "2",
                              "--log-level",
                              "warning",
                              "--max-body-bytes",
                              "2048",
                              "--max-header-bytes",
                              "4096",
                              "--drain-timeout-s",
                              "5"}),
                   {});
  ASSERT_TRUE(outcome.options) << outcome.errors;
  const Options& options = *outcome.options;
  EXPECT_EQ(options.vm.value(), "a");
  EXPECT_EQ(options.region, "north");
  EXPECT_EQ(options.failure_domain.value(), "fd1");
  EXPECT_EQ(ToString(options.roles), "entry,replica");
  EXPECT_EQ(ToString(options.caller_listen), "127.0.0.1:1");
  EXPECT_EQ(ToString(options.announce_listen), "127.0.0.1:2");
  EXPECT_EQ(ToString(options.admin_listen), "[::1]:3");
  EXPECT_EQ(ToString(options.peer_listen), "127.0.0.1:4");
  ASSERT_EQ(options.peers.size(), 2U);
  EXPECT_EQ(options.peers[0].vm.value(), "b");
  EXPECT_EQ(ToString(options.peers[1].address), "[::1]:5");
  EXPECT_EQ(options.initial_voters, 3);
  EXPECT_EQ(options.data_folder, "/data");
  EXPECT_EQ(options.shards, 2);
  EXPECT_EQ(options.log_level, LogLevel::kWarning);
  EXPECT_EQ(options.max_body_bytes, 2048U);
  EXPECT_EQ(options.max_header_bytes, 4096U);
  EXPECT_EQ(options.drain_timeout, absl::Seconds(5));
  EXPECT_EQ(options.peer_secret, "a secret of 16 b");
}

// Guards against errors that do not say which setting to change, where, and to
// what.
TEST(OptionsTest, ErrorsNameSettingSourceAndAllowedValues) {
  ExpectError(ParseOptions(Arguments({"--tick-ms", "0"}), {}),
              {"tick-ms", "flag --tick-ms", "1 to 100"});
  ExpectError(ParseOptions(Arguments(), {{"CAMPHORSAIL_SHARDS", "4x"}}),
              {"shards", "4x", "variable CAMPHORSAIL_SHARDS", "1 to 256"});
  ExpectError(ParseOptions(Arguments(), {{"CAMPHORSAIL_SHRADS", "4"}}),
              {"CAMPHORSAIL_SHRADS", "unknown variable"});
  ExpectError(ParseOptions(Arguments({"--no-such-flag", "4"}), {}),
              {"no-such-flag"});
  ExpectError(ParseOptions(Arguments({"--roles", "entry,boss"}), {}),
              {"roles", "entry, replica and relay"});
  ExpectError(ParseOptions(Arguments({"--log-level", "loud"}), {}),
              {"log-level", "debug, info, warning or error"});
  ExpectError(ParseOptions(Arguments({"--caller-listen", "localhost:80"}), {}),
              {"caller-listen", "IP:port"});
  ExpectError(ParseOptions(Arguments({"--peers", "b=127.0.0.1"}), {}),
              {"peers", "VM=IP:port"});
  ExpectError(ParseOptions({"camphorsaild"}, {}),
              {"vm: missing", "CAMPHORSAIL_VM", "failure-domain: missing",
               "--failure-domain"});
}

// Guards against a daemon that starts with settings that contradict each other.
TEST(OptionsTest, ConflictsAreErrors) {
  ExpectError(ParseOptions(Arguments({"--caller-listen", "127.0.0.1:9",
                                      "--admin-listen", "127.0.0.1:9"}),
                           {}),
              {"caller-listen and admin-listen", "127.0.0.1:9"});
  ExpectError(ParseOptions(Arguments({"--peers", "a=127.0.0.1:9"}), {}),
              {"peers", "this VM"});
  ExpectError(
      ParseOptions(Arguments({"--peers", "b=127.0.0.1:9,b=127.0.0.1:8"}), {}),
      {"peers", "appears twice"});
  ExpectError(
      ParseOptions(
          Arguments({"--initial-voters", "3", "--peers", "b=127.0.0.1:9"}), {}),
      {"initial-voters", "0 to 2"});
  std::vector<std::string> no_admin = Arguments();
  no_admin.resize(no_admin.size() - 2);
  ExpectError(ParseOptions(no_admin, {}), {"admin-secret-file: missing"});
}

// Guards against secrets that are empty, too long or printed.
TEST(OptionsTest, SecretsAreCheckedAndNeverPrinted) {
  const std::string short_file = WriteFile("short", "too short\n");
  const std::string long_file = WriteFile("long", std::string(5000, 'x'));
  for (const std::string& path :
       {short_file, long_file, std::string("/no/such/file")}) {
    ExpectError(ParseOptions({"camphorsaild", "--vm=a", "--failure-domain=f",
                              "--admin-secret-file=" + path},
                             {}),
                {"admin-secret-file", path, "16 to 4096 bytes"});
  }
  const OptionsOutcome check = ParseOptions(Arguments({"--check"}), {});
  EXPECT_EQ(check.output.find("a secret of"), std::string::npos);
}

// Guards against a daemon that does not start from an operator's shell, where
// the variable of camphorsailctl is set.
TEST(OptionsTest, VariableOfTheOperatorsProgramIsAllowed) {
  EXPECT_TRUE(
      ParseOptions(Arguments(), {{"CAMPHORSAIL_ADMIN", "http://x"}}).options);
}

// Guards against `--check` starting the daemon or omitting a setting.
TEST(OptionsTest, CheckListsEverySettingWithItsSource) {
  const OptionsOutcome check =
      ParseOptions(Arguments({"--check"}), {{"CAMPHORSAIL_REGION", "north"}});
  EXPECT_EQ(check.exit_code, 0);
  EXPECT_FALSE(check.options);
  for (const OptionSpec& spec : OptionsTable()) {
    EXPECT_NE(check.output.find(spec.name + " "), std::string::npos)
        << spec.name;
  }
  EXPECT_NE(check.output.find("variable CAMPHORSAIL_REGION"),
            std::string::npos);
  EXPECT_NE(check.output.find("flag --vm"), std::string::npos);
  const OptionsOutcome help = ParseOptions({"camphorsaild", "--help"}, {});
  EXPECT_EQ(help.exit_code, 0);
  for (const OptionSpec& spec : OptionsTable()) {
    EXPECT_NE(help.output.find(VariableName(spec.name)), std::string::npos);
  }
  EXPECT_EQ(ParseOptions({"camphorsaild", "--version"}, {}).output,
            "camphorsaild " CAMPHORSAIL_VERSION "\n");
}

}  // namespace
}  // namespace camphorsail
