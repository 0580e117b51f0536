#include "camphorsail/process/log_event.h"

#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/process/logger.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

/// Collects the log lines during its lifetime.
class LogCapture {
 public:
  LogCapture() {
    SetLogSink([this](LogLevel, std::string_view line) {
      absl::MutexLock lock(&mutex_);
      lines_.emplace_back(line);
    });
  }
  ~LogCapture() {
    SetLogSink({});
    ConfigureLogger(LogLevel::kInfo, VmId());
  }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;
  std::vector<std::string> lines() {
    absl::MutexLock lock(&mutex_);
    return lines_;
  }

 private:
  absl::Mutex mutex_;
  std::vector<std::string> lines_;
};

// Guards against fields that are missing, in another order or in another
// notation than log readers expect.
TEST(LogEventTest, WritesOneLineWithAllFields) {
  LogCapture capture;
  ConfigureLogger(LogLevel::kInfo, VmId("vm1"));
  LogEvent("request_refused", LogLevel::kWarning)
      .Add("request", RequestId(7))
      .Add("account", ClientAccountId("acme"))
      .Add("wait_ms", absl::Microseconds(1500))
      .Add("known", false)
      .Add("reason", "too busy");
  ASSERT_EQ(capture.lines().size(), 1U);
  const std::string line = capture.lines()[0];
  const size_t time_end = line.find(' ');
  absl::Time time;
  std::string error;
  EXPECT_TRUE(absl::ParseTime("time=%Y-%m-%dT%H:%M:%E6SZ",
                              line.substr(0, time_end), &time, &error))
      << error;
  EXPECT_EQ(line.substr(time_end),
            " level=warning vm=vm1 event=request_refused request=7 "
            "account=acme wait_ms=1.5 known=false reason=\"too busy\"");
}

// Guards against a value from a caller that forges a field or a line.
TEST(LogEventTest, ValuesCannotForgeFieldsOrLines) {
  EXPECT_EQ(QuoteLogValue("plain-1.2:3/x"), "plain-1.2:3/x");
  EXPECT_EQ(QuoteLogValue(""), "\"\"");
  EXPECT_EQ(QuoteLogValue("a b"), "\"a b\"");
  EXPECT_EQ(QuoteLogValue("a=b"), "\"a=b\"");
  EXPECT_EQ(QuoteLogValue("say \"hi\"\\"), "\"say \\\"hi\\\"\\\\\"");
  EXPECT_EQ(QuoteLogValue("x\ny\r\tz"), "\"x\\ny\\r\\tz\"");
  EXPECT_EQ(QuoteLogValue(std::string_view("\0\x1b\xff", 3)),
            "\"\\x00\\x1b\\xff\"");
}

// Guards against lines below the configured level, and against errors that the
// level suppresses.
TEST(LogEventTest, LevelFilters) {
  LogCapture capture;
  ConfigureLogger(LogLevel::kWarning, VmId("vm1"));
  LogEvent("server_left", LogLevel::kInfo).Add("lines", 1);
  LogEvent("storage_failed", LogLevel::kError).Add("lines", 1);
  ASSERT_EQ(capture.lines().size(), 1U);
  EXPECT_NE(capture.lines()[0].find("event=storage_failed"), std::string::npos);
  EXPECT_FALSE(IsLogged(LogLevel::kInfo));
}

// Guards against lines that are not written to standard output, which log
// collectors read.
TEST(LogEventTest, WritesToStandardOutput) {
  testing::internal::CaptureStdout();
  testing::internal::CaptureStderr();
  LogEvent("daemon_stopped").Add("lines", 1);
  EXPECT_EQ(testing::internal::GetCapturedStderr(), "");
  const std::string text = testing::internal::GetCapturedStdout();
  EXPECT_EQ(text.rfind("time=", 0), 0U) << text;
  EXPECT_NE(text.find("event=daemon_stopped lines=1\n"), std::string::npos);
}

// Guards against lines of several VMs that cannot be put in order.
TEST(LogEventTest, LinesCarryTheHybridClock) {
  LogCapture capture;
  SetLogClock([](absl::Time) { return HybridTimestamp{12, 3}; });
  LogEvent("daemon_stopped");
  SetLogClock({});
  LogEvent("daemon_stopped");
  ASSERT_EQ(capture.lines().size(), 2U);
  EXPECT_NE(capture.lines()[0].find(" clock=12.3 event="), std::string::npos);
  EXPECT_EQ(capture.lines()[1].find("clock="), std::string::npos);
}

// Guards against a log that grows with the load, and against errors and state
// changes that are dropped as well.
TEST(LogEventTest, BoundedEventsAreLeftOutAndCounted) {
  LogCapture capture;
  SetLogLinesPerSecond(3);
  const uint64_t before = DroppedLogLines();
  for (int i = 0; i < 10; ++i) {
    LogEvent("caller_left").Add("lines", i);
    LogEvent("request_refused", LogLevel::kError);
    LogEvent("server_unavailable");
  }
  SetLogLinesPerSecond(kDefaultLogLinesPerSecond);
  int left = 0;
  int refused = 0;
  int unavailable = 0;
  for (const std::string& line : capture.lines()) {
    left += line.find("event=caller_left") != std::string::npos;
    refused += line.find("event=request_refused") != std::string::npos;
    unavailable += line.find("event=server_unavailable") != std::string::npos;
  }
  EXPECT_EQ(refused, 10);
  EXPECT_EQ(unavailable, 10);
  // A new one-second window may have begun once during the loop.
  EXPECT_GE(left, 3);
  EXPECT_LE(left, 6);
  EXPECT_EQ(DroppedLogLines() - before, static_cast<uint64_t>(10 - left));
  while (ReportDroppedLogLines()) {
    absl::SleepFor(absl::Milliseconds(20));
  }
  uint64_t reported = 0;
  for (const std::string& line : capture.lines()) {
    if (line.find("event=log_lines_dropped event_name=caller_left") !=
        std::string::npos) {
      reported += static_cast<uint64_t>(
          std::stoi(line.substr(line.find(" lines=") + 7)));
    }
  }
  EXPECT_EQ(reported, DroppedLogLines() - before);
}

}  // namespace
}  // namespace camphorsail
