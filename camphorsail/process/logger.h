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

/// Receives each finished line without its line break. Called on the thread
/// that logs; must be thread-safe.
using LogSink = std::function<void(LogLevel level, std::string_view line)>;

/// Sets the least severe level that is written and the `vm` field of each line.
/// Thread-safe, but lines of other threads may still use the former values.
void ConfigureLogger(LogLevel level, const VmId& vm);

/// Lines of each bounded event in a second, before any setting is read: a few
/// for every request that a gateway of the deployments takes.
constexpr int kDefaultLogLinesPerSecond = 150;

/// Sets how many lines of each bounded event are written in a second.
void SetLogLinesPerSecond(int lines);

/// Gives the hybrid time for a wall time that was just read.
using LogClock = std::function<HybridTimestamp(absl::Time wall_now)>;

/// Sets the source of the `clock` field; an empty one leaves the field out.
/// Thread-safe.
void SetLogClock(LogClock clock);

/// Passes the lines to `sink` in place of standard output; an empty sink
/// restores standard output, to which they are written at once.
void SetLogSink(LogSink sink);

/// @return True when an event of `level` is written. Use it to skip costly
/// fields.
bool IsLogged(LogLevel level);

/// @return True when a line of the event may be written now. Errors and events
/// without a bound always may. Called by `LogEvent`.
bool AdmitLogLine(LogEventName event, LogLevel level, absl::Time now);

/// Writes one finished line. Called by `LogEvent`.
void WriteLogLine(LogLevel level, std::string_view line);

/// Writes a line for each event of which lines were left out in a second that
/// is over.
/// @return True when lines of a second that is not over remain to be reported.
bool ReportDroppedLogLines();

/// Counts lines that did not reach the reader.
void CountDroppedLogLines(uint64_t lines);

/// @return Lines left out since the process began.
uint64_t DroppedLogLines();

/// Appends the fields `vm` and, where the hybrid clock differs from the wall
/// clock, `clock`.
void AppendLogOrigin(absl::Time now, std::string* line);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_LOGGER_H_
