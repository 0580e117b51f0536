#include "camphorsail/explain/log_line.h"

#include <string>

#include "camphorsail/process/log_event.h"
#include "camphorsail/process/logger.h"
#include "gtest/gtest.h"
#include "rapidcheck.h"

namespace camphorsail {
namespace {

/// @return The line that `write` logs.
template <typename Write>
std::string Logged(Write write) {
  std::string line;
  SetLogSink([&](LogLevel, std::string_view text) { line = text; });
  SetLogClock([](absl::Time) { return HybridTimestamp{1234567, 8}; });
  ConfigureLogger(LogLevel::kInfo, VmId("vm1"));
  write();
  SetLogClock({});
  SetLogSink({});
  return line;
}

TEST(LogLineTest, ReadsWhatTheLogWrites) {
  const std::string text = Logged([] {
    LogEvent("storage_failed", LogLevel::kError)
        .Add("reason", "no \"space\"\n left=\\0")
        .Add("failed_ms", absl::Microseconds(1500))
        .Add("server", "");
  });
  const std::optional<LogLine> line =
      ParseLogLine("[  12.3 core-1] " + text + "\r");
  ASSERT_TRUE(line);
  EXPECT_EQ(line->event, "storage_failed");
  EXPECT_EQ(line->vm, "vm1");
  EXPECT_EQ(line->clock, (HybridTimestamp{1234567, 8}));
  EXPECT_EQ(line->Get("reason"), "no \"space\"\n left=\\0");
  EXPECT_EQ(line->Number("failed_ms"), 1.5);
  EXPECT_EQ(line->Get("server"), "");
  EXPECT_EQ(line->Find("request"), nullptr);
}

TEST(LogLineTest, TakesTheWallClockWithoutAnother) {
  const std::optional<LogLine> line = ParseLogLine(
      "time=1970-01-01T00:00:01.5Z level=info vm=a event=peer_added peer=b");
  ASSERT_TRUE(line);
  EXPECT_EQ(line->clock, (HybridTimestamp{1500000, 0}));
}

TEST(LogLineTest, PassesOverOtherText) {
  for (const char* text :
       {"", "hello", "time=yesterday event=x", "time=1970-01-01T00:00:00Z x=1",
        "time=1970-01-01T00:00:00Z event=peer_added reason=\"cut off"}) {
    EXPECT_FALSE(ParseLogLine(text)) << text;
  }
}

// Guards against a value that a reader takes for something else.
TEST(LogLineTest, AnyValueIsReadBack) {
  EXPECT_TRUE(rc::check([](const std::string& value) {
    const std::string text =
        Logged([&] { LogEvent("peer_added").Add("reason", value); });
    const std::optional<LogLine> line = ParseLogLine(text);
    RC_ASSERT(line.has_value());
    RC_ASSERT(line->Get("reason") == value);
  }));
}

// Guards against input that ends the tool.
TEST(LogLineTest, AnyTextIsReadOrPassedOver) {
  EXPECT_TRUE(rc::check([](const std::string& tail) {
    ParseLogLine("time=1970-01-01T00:00:00Z event=" + tail);
    ParseLogLine(tail);
  }));
}

}  // namespace
}  // namespace camphorsail
