#include "camphorsail/process/logger.h"

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "camphorsail/base/wall_clock.h"
#include "camphorsail/process/log_event.h"
#include "camphorsail/process/log_rate_limiter.h"
#include "easylogging++.h"

INITIALIZE_EASYLOGGINGPP

namespace camphorsail {
namespace {

/// The process's log configuration. Never destroyed, so that threads may log
/// until the process ends.
struct LoggerState {
  std::atomic<LogLevel> level{LogLevel::kInfo};
  std::atomic<int> lines_per_second{kDefaultLogLinesPerSecond};
  std::atomic<uint64_t> dropped{0};
  /// One for each event in `kLogEvents`.
  std::array<LogRateLimiter, kLogEvents.size()> rate_limiters;
  absl::Mutex mutex;
  /// Value of the field `vm`, quoted where necessary.
  std::string vm_text ABSL_GUARDED_BY(mutex) = "\"\"";
  LogClock clock ABSL_GUARDED_BY(mutex);
  std::shared_ptr<const LogSink> sink ABSL_GUARDED_BY(mutex);
};

LoggerState& State() {
  static LoggerState* const state = [] {
    // The library only writes the lines, which are already complete.
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configuration);
    return new LoggerState;
  }();
  return *state;
}

void ReportDropped(size_t event, absl::Time now) {
  const uint64_t lines = State().rate_limiters[event].TakeDropped(now);
  if (lines > 0) {
    LogEvent("log_lines_dropped", LogLevel::kWarning)
        .Add("event_name", kLogEvents[event].name)
        .Add("lines", lines)
        .Add("reason", "more than log-lines-per-second");
  }
}

}  // namespace

void ConfigureLogger(LogLevel level, const VmId& vm) {
  LoggerState& state = State();
  state.level.store(level, std::memory_order_relaxed);
  absl::MutexLock lock(&state.mutex);
  state.vm_text = QuoteLogValue(vm.value());
}

void SetLogLinesPerSecond(int lines) {
  State().lines_per_second.store(lines, std::memory_order_relaxed);
}

void SetLogClock(LogClock clock) {
  LoggerState& state = State();
  absl::MutexLock lock(&state.mutex);
  state.clock = std::move(clock);
}

void SetLogSink(LogSink sink) {
  auto shared =
      sink ? std::make_shared<const LogSink>(std::move(sink)) : nullptr;
  LoggerState& state = State();
  absl::MutexLock lock(&state.mutex);
  state.sink = std::move(shared);
}

bool IsLogged(LogLevel level) {
  return level >= State().level.load(std::memory_order_relaxed);
}

bool AdmitLogLine(LogEventName event, LogLevel level, absl::Time now) {
  if (event.spec().volume == LogVolume::kEveryLine ||
      level == LogLevel::kError) {
    return true;
  }
  LoggerState& state = State();
  ReportDropped(event.index(), now);
  if (state.rate_limiters[event.index()].AllowLine(
          now, state.lines_per_second.load(std::memory_order_relaxed))) {
    return true;
  }
  CountDroppedLogLines(1);
  return false;
}

bool ReportDroppedLogLines() {
  const absl::Time now = WallNow();
  bool has_unreported = false;
  for (size_t event = 0; event < kLogEvents.size(); ++event) {
    ReportDropped(event, now);
    has_unreported =
        State().rate_limiters[event].HasDropped() || has_unreported;
  }
  return has_unreported;
}

void CountDroppedLogLines(uint64_t lines) {
  State().dropped.fetch_add(lines, std::memory_order_relaxed);
}

uint64_t DroppedLogLines() {
  return State().dropped.load(std::memory_order_relaxed);
}

void WriteLogLine(LogLevel level, std::string_view line) {
  LoggerState& state = State();
  std::shared_ptr<const LogSink> sink;
  {
    absl::MutexLock lock(&state.mutex);
    sink = state.sink;
  }
  if (sink != nullptr) {
    (*sink)(level, line);
    return;
  }
  const std::string text(line);
  // The level is part of the line, so the library's own levels are not used.
  LOG(INFO) << text;
}

void AppendLogOrigin(absl::Time now, std::string* line) {
  LoggerState& state = State();
  // The lock is held so that the clock is not destroyed while it is called.
  absl::MutexLock lock(&state.mutex);
  line->append(" vm=").append(state.vm_text);
  if (state.clock) {
    const HybridTimestamp clock = state.clock(now);
    // The two clocks are usually equal; the field is then omitted to save
    // space.
    if (clock != HybridTimestamp{absl::ToUnixMicros(now), 0}) {
      absl::StrAppend(line, " clock=", clock.wall_micros, ".", clock.counter);
    }
  }
}

}  // namespace camphorsail
