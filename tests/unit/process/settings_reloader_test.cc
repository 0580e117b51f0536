#include "camphorsail/process/settings_reloader.h"

#include <fstream>
#include <string>
#include <vector>

#include "camphorsail/process/logger.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

/// Rewrites the settings file of a gateway and reloads it.
class SettingsReloaderTest : public testing::Test {
 protected:
  void SetUp() override {
    SetLogSink([this](LogLevel, std::string_view line) {
      log_.append(line).append("\n");
    });
    std::ofstream(secret_, std::ios::binary) << "a secret of 16 b\n";
    Write({});
    options_ = *ParseOptions(arguments_, {}).options;
  }
  void TearDown() override {
    SetLogSink({});
    ConfigureLogger(LogLevel::kInfo, VmId());
    SetLogLinesPerSecond(kDefaultLogLinesPerSecond);
  }

  void Write(const std::vector<std::string>& more) {
    std::ofstream file(path_, std::ios::binary);
    file << "roles = gateway\nvm = 127.0.0.1\nfailure-domain = z\n"
            "peer-listen = 127.0.0.1:1\ngateway-listen = 127.0.0.1:2\n"
            "ready-listen = 127.0.0.1:3\nseeds = 127.0.0.1:4\n"
            "peer-secret-file = "
         << secret_ << "\n";
    for (const std::string& line : more) {
      file << line << "\n";
    }
  }

  const std::string path_ = testing::TempDir() + "/reloader_settings";
  const std::string secret_ = testing::TempDir() + "/reloader_secret";
  const std::vector<std::string> arguments_ = {"camphorsaild", "--node-file",
                                               path_};
  const SettingsReloader reloader_{arguments_, {}};
  Options options_;
  std::string log_;
};

TEST_F(SettingsReloaderTest, TakesOverWhatMayChange) {
  Write({"retry-slack = 77", "gateway-lease-ms = 2000", "log-level = warning",
         "shards = 9"});
  EXPECT_TRUE(reloader_.Reload(&options_));
  EXPECT_EQ(options_.retry_slack, 77);
  EXPECT_EQ(options_.gateway_lease, absl::Seconds(2));
  EXPECT_FALSE(IsLogged(LogLevel::kInfo));
  // `shards` needs a restart.
  EXPECT_EQ(options_.shards, 4);
  // Reloads again with the default log level, so that the line is written.
  Write({"shards = 9"});
  EXPECT_TRUE(reloader_.Reload(&options_));
  EXPECT_EQ(options_.retry_slack, 10);
  EXPECT_NE(log_.find("event=settings_reloaded "
                      "changed=gateway-lease-ms,retry-slack,log-level "
                      "needs_restart=shards"),
            std::string::npos)
      << log_;
}

// Guards against an invalid setting that stops a running process or lets only
// some of the other settings take effect.
TEST_F(SettingsReloaderTest, WrongSettingsChangeNothing) {
  Write({"retry-slack = 77", "gateway-lease-ms = never"});
  EXPECT_FALSE(reloader_.Reload(&options_));
  EXPECT_EQ(options_.retry_slack, 10);
  EXPECT_EQ(options_.gateway_lease, absl::Seconds(4));
  EXPECT_NE(log_.find("event=settings_refused"), std::string::npos);
  for (const char* part :
       {"gateway-lease-ms", "never", "reloader_settings", "500 to 60000"}) {
    EXPECT_NE(log_.find(part), std::string::npos) << part << " in " << log_;
  }
}

// Guards against a settings file that is read before it is completely written.
TEST_F(SettingsReloaderTest, HalfAFileChangesNothing) {
  std::ofstream(path_, std::ios::binary) << "roles = gateway\nvm = 127.0.0.1\n";
  EXPECT_FALSE(reloader_.Reload(&options_));
  EXPECT_NE(log_.find("failure-domain"), std::string::npos);
  EXPECT_EQ(options_.gateway_lease, absl::Seconds(4));
}

}  // namespace
}  // namespace camphorsail
