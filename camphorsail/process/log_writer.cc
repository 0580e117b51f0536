#include "camphorsail/process/log_writer.h"

#include <string>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "camphorsail/process/log_event.h"
#include "camphorsail/process/logger.h"
#include "easylogging++.h"

namespace camphorsail {
namespace {

/// Lines are collected for this long and written together, which saves system
/// calls and wake-ups. Errors are written at once.
constexpr absl::Duration kBatchTime = absl::Milliseconds(250);
/// Interval at which dropped lines are reported.
constexpr absl::Duration kReportInterval = absl::Seconds(1);
/// Time that the destructor allows for writing the queued lines.
constexpr absl::Duration kStopLimit = absl::Milliseconds(500);

}  // namespace

struct LogWriter::Shared {
  explicit Shared(size_t max) : max_bytes(max) {}

  const size_t max_bytes;
  absl::Mutex mutex;
  /// Queued lines, separated by line breaks.
  std::string queued_lines ABSL_GUARDED_BY(mutex);
  bool has_error ABSL_GUARDED_BY(mutex) = false;
  uint64_t dropped_lines ABSL_GUARDED_BY(mutex) = 0;
  bool stop ABSL_GUARDED_BY(mutex) = false;
  bool stopped ABSL_GUARDED_BY(mutex) = false;

  void Add(LogLevel level, std::string_view line) {
    absl::MutexLock lock(&mutex);
    const size_t limit =
        level >= LogLevel::kWarning ? max_bytes : max_bytes / 2;
    if (queued_lines.size() + line.size() >= limit) {
      ++dropped_lines;
      CountDroppedLogLines(1);
      return;
    }
    if (!queued_lines.empty()) {
      queued_lines += '\n';
    }
    queued_lines += line;
    has_error = has_error || level == LogLevel::kError;
  }
};

LogWriter::LogWriter(size_t max_bytes)
    : shared_(std::make_shared<Shared>(max_bytes)),
      thread_([shared = shared_] { Run(shared); }) {
  SetLogSink([shared = shared_](LogLevel level, std::string_view line) {
    shared->Add(level, line);
  });
}

LogWriter::~LogWriter() {
  Stop(kStopLimit);
}

bool LogWriter::Stop(absl::Duration limit) {
  if (!thread_.joinable()) {
    return true;
  }
  SetLogSink({});
  const auto stopped = [](Shared* shared) ABSL_EXCLUSIVE_LOCKS_REQUIRED(
                           shared->mutex) { return shared->stopped; };
  bool written = false;
  {
    absl::MutexLock lock(&shared_->mutex);
    shared_->stop = true;
    written = shared_->mutex.AwaitWithTimeout(
        absl::Condition(+stopped, shared_.get()), limit);
  }
  if (written) {
    thread_.join();
  } else {
    thread_.detach();
  }
  return written;
}

void LogWriter::Run(const std::shared_ptr<Shared>& shared) {
  const auto has_work =
      [](Shared* state) ABSL_EXCLUSIVE_LOCKS_REQUIRED(state->mutex) {
        return state->stop || !state->queued_lines.empty();
      };
  const auto is_urgent = [](Shared* state)
                             ABSL_EXCLUSIVE_LOCKS_REQUIRED(state->mutex) {
                               return state->stop || state->has_error;
                             };
  uint64_t reported = 0;
  bool has_unreported = false;
  while (true) {
    std::string batch;
    uint64_t dropped_lines = 0;
    bool stop = false;
    {
      absl::MutexLock lock(&shared->mutex);
      // Waits without a limit while there are no dropped lines to report.
      const absl::Duration limit =
          has_unreported || DroppedLogLines() != reported
              ? kReportInterval
              : absl::InfiniteDuration();
      shared->mutex.AwaitWithTimeout(absl::Condition(+has_work, shared.get()),
                                     limit);
      shared->mutex.AwaitWithTimeout(absl::Condition(+is_urgent, shared.get()),
                                     kBatchTime);
      batch = std::exchange(shared->queued_lines, std::string());
      dropped_lines = std::exchange(shared->dropped_lines, 0);
      shared->has_error = false;
      stop = shared->stop;
    }
    if (!batch.empty()) {
      // The level is part of the line, so the library's own levels are not
      // used.
      LOG(INFO) << batch;
    }
    if (stop) {
      break;
    }
    if (dropped_lines > 0) {
      LogEvent("log_lines_dropped", LogLevel::kWarning)
          .Add("lines", dropped_lines)
          .Add("reason", "the reader of the log is too slow");
    }
    if (has_unreported || DroppedLogLines() != reported) {
      reported = DroppedLogLines();
      has_unreported = ReportDroppedLogLines();
    }
  }
  absl::MutexLock lock(&shared->mutex);
  shared->stopped = true;
}

}  // namespace camphorsail
