#include "camphorsail/process/log_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <iostream>
#include <string>

#include "absl/time/clock.h"
#include "camphorsail/base/monotonic_clock.h"
#include "camphorsail/process/log_event.h"
#include "camphorsail/process/logger.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

constexpr size_t kBuffer = 64 << 10;
/// Far less than a write that is blocked by the reader would take.
constexpr absl::Duration kShort = absl::Seconds(2);

/// Redirects standard output to a pipe that is read only by `ReadUntil`.
class PipedOutput {
 public:
  PipedOutput() {
    std::cout.flush();
    saved_ = dup(STDOUT_FILENO);
    std::array<int, 2> ends;
    EXPECT_EQ(pipe(ends.data()), 0);
    read_end_ = ends[0];
    dup2(ends[1], STDOUT_FILENO);
    close(ends[1]);
    fcntl(read_end_, F_SETFL, O_NONBLOCK);
  }
  ~PipedOutput() {
    std::cout.flush();
    dup2(saved_, STDOUT_FILENO);
    close(saved_);
    close(read_end_);
  }
  PipedOutput(const PipedOutput&) = delete;
  PipedOutput& operator=(const PipedOutput&) = delete;

  /// Reads until the output contains `text`. @return False after a timeout.
  bool ReadUntil(const std::string& text) {
    const MonoTime limit = MonotonicNow() + absl::Seconds(20);
    while (MonotonicNow() < limit) {
      std::array<char, 65536> buffer;
      const ssize_t size = read(read_end_, buffer.data(), buffer.size());
      if (size > 0) {
        output_.append(buffer.data(), static_cast<size_t>(size));
      } else {
        absl::SleepFor(absl::Milliseconds(1));
      }
      if (output_.find(text) != std::string::npos) {
        return true;
      }
    }
    return false;
  }
  const std::string& output() const { return output_; }

 private:
  int saved_ = -1;
  int read_end_ = -1;
  std::string output_;
};

// Guards against lines that are lost or out of order.
TEST(LogWriterTest, WritesAllLinesInOrder) {
  PipedOutput output;
  LogWriter writer(kBuffer);
  for (int i = 0; i < 100; ++i) {
    LogEvent("peer_added").Add("lines", i);
  }
  EXPECT_TRUE(writer.Stop(kShort));
  ASSERT_TRUE(output.ReadUntil("lines=99\n"));
  size_t position = 0;
  for (int i = 0; i < 100; ++i) {
    position =
        output.output().find(" lines=" + std::to_string(i) + "\n", position);
    ASSERT_NE(position, std::string::npos) << i;
  }
}

// Guards against lines that are written only when further lines are logged.
TEST(LogWriterTest, WritesWithoutFurtherLines) {
  PipedOutput output;
  LogWriter writer(kBuffer);
  LogEvent("storage_failed", LogLevel::kError);
  EXPECT_TRUE(output.ReadUntil("event=storage_failed\n"));
  LogEvent("peer_added");
  EXPECT_TRUE(output.ReadUntil("event=peer_added\n"));
  EXPECT_TRUE(writer.Stop(kShort));
}

// Guards against a stalled reader of standard output that blocks threads which
// log.
TEST(LogWriterTest, NeverWaitsForTheReader) {
  PipedOutput output;
  LogWriter writer(kBuffer);
  const uint64_t before = DroppedLogLines();
  const std::string filler(1000, 'x');
  const MonoTime start = MonotonicNow();
  for (int i = 0; i < 2000; ++i) {
    LogEvent("peer_added").Add("reason", filler);
  }
  // Half of the buffer is still free for warnings and errors.
  LogEvent("peer_unreachable", LogLevel::kWarning).Add("lines", 7);
  EXPECT_LT(MonotonicNow() - start, kShort);
  const uint64_t dropped = DroppedLogLines() - before;
  // The pipe and the buffer hold 64 KiB each.
  EXPECT_GT(dropped, 1700U);
  // The reader continues.
  EXPECT_TRUE(output.ReadUntil("event=peer_unreachable lines=7\n"));
  EXPECT_TRUE(output.ReadUntil("event=log_lines_dropped lines=" +
                               std::to_string(dropped)));
  EXPECT_TRUE(writer.Stop(kShort));
}

// Guards against a process that cannot end while the reader is stalled.
TEST(LogWriterTest, StopGivesUpOnTheReader) {
  PipedOutput output;
  LogWriter writer(256 << 10);
  const std::string filler(1000, 'x');
  for (int i = 0; i < 200; ++i) {
    LogEvent("peer_added").Add("reason", filler);
  }
  const MonoTime start = MonotonicNow();
  EXPECT_FALSE(writer.Stop(absl::Milliseconds(100)));
  EXPECT_LT(MonotonicNow() - start, kShort);
  // Reads the output, so that the writer's thread ends before the next test.
  size_t lines = 0;
  const MonoTime limit = MonotonicNow() + absl::Seconds(20);
  while (lines < 100 && MonotonicNow() < limit) {
    output.ReadUntil("event=peer_added");
    lines = 0;
    for (size_t at = 0; (at = output.output().find("event=peer_added", at)) !=
                        std::string::npos;
         ++at) {
      ++lines;
    }
  }
  EXPECT_GE(lines, 100U);
}

}  // namespace
}  // namespace camphorsail
