#ifndef CAMPHORSAIL_PROCESS_LOG_EVENT_SPEC_H_
#define CAMPHORSAIL_PROCESS_LOG_EVENT_SPEC_H_

#include <cstdint>
#include <string_view>

namespace camphorsail {

/// How many lines of an event are written.
enum class LogVolume : uint8_t {
  /// Every line: the event is rare, and others are explained by it.
  kEveryLine,
  /// At most `log-lines-per-second` lines, since callers, servers or operators
  /// decide how often it happens. Errors are always written.
  kBounded,
};

/// One event of the closed list of log events.
struct LogEventSpec {
  /// Value of the field `event`, in snake_case.
  std::string_view name;
  LogVolume volume;
  /// What happened, in one sentence.
  std::string_view meaning;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_LOG_EVENT_SPEC_H_
