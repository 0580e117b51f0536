#ifndef CAMPHORSAIL_PROCESS_LOG_EVENT_SPEC_H_
#define CAMPHORSAIL_PROCESS_LOG_EVENT_SPEC_H_

#include <cstdint>
#include <string_view>

namespace camphorsail {

/// How many lines of an event are written.
enum class LogVolume : uint8_t {
  /// All lines are written, since the event is rare and helps to explain
  /// others.
  kEveryLine,
  /// At most `log-lines-per-second` lines are written, since callers, servers
  /// or operators determine how often the event occurs. Lines of level error
  /// are always written.
  kBounded,
};

/// One entry of the list of log events, `kLogEvents`.
struct LogEventSpec {
  /// Value of the field `event`, in snake_case.
  std::string_view name;
  LogVolume volume;
  /// What happened, in one sentence.
  std::string_view meaning;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_LOG_EVENT_SPEC_H_
