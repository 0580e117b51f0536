#ifndef CAMPHORSAIL_PROCESS_LOGGER_H_
#define CAMPHORSAIL_PROCESS_LOGGER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "camphorsail/base/hybrid_clock.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/process/log_level.h"
#include "camphorsail/process/log_name.h"

namespace camphorsail {

/// Receives each complete line without its line break. Called on the thread
/// that logs; must be thread-safe.
using LogSink = std::function<void(LogLevel level, std::string_view line)>;

/// Sets the least severe level that is written and the `vm` field of each line.
/// Thread-safe, but lines of other threads may still use the previous values.
void ConfigureLogger(LogLevel level, const VmId& vm);

/// Lines per second of each bounded event until the settings are read. Allows a
/// few lines for each request at the request rate of a gateway in the
/// deployments.
constexpr int kDefaultLogLinesPerSecond = 150;

/// Sets how many lines of each bounded event are written in a second.
void SetLogLinesPerSecond(int lines);

/// Returns the hybrid timestamp for a wall time that was just read.
using LogClock = std::function<HybridTimestamp(absl::Time wall_now)>;

/// Sets the source of the `clock` field; an empty function omits the field.
/// Thread-safe.
void SetLogClock(LogClock clock);

/// Passes the lines to `sink` instead of standard output. An empty sink
/// restores standard output, to which each line is then written immediately.
void SetLogSink(LogSink sink);

/// @return True when an event of `level` is written. Use it to skip costly
/// fields.
bool IsLogged(LogLevel level);

/// @return True when a line of the event may be written now. Lines of level
/// error and of events that are not bounded are always written. Called by
/// `LogEvent`.
bool AdmitLogLine(LogEventName event, LogLevel level, absl::Time now);

/// Writes one complete line. Called by `LogEvent`.
void WriteLogLine(LogLevel level, std::string_view line);

/// Logs the number of dropped lines for each event whose one-second window is
/// over.
/// @return True when dropped lines remain to be reported because their window
/// is not over.
bool ReportDroppedLogLines();

/// Adds to the number of dropped lines.
void CountDroppedLogLines(uint64_t lines);

/// @return Number of lines dropped since the process started.
uint64_t DroppedLogLines();

/// Appends the fields `vm` and, if the hybrid clock differs from the wall
/// clock, `clock`.
void AppendLogOrigin(absl::Time now, std::string* line);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_LOGGER_H_
