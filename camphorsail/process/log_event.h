#ifndef CAMPHORSAIL_PROCESS_LOG_EVENT_H_
#define CAMPHORSAIL_PROCESS_LOG_EVENT_H_

#include <concepts>
#include <string>
#include <string_view>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "camphorsail/base/strong_id.h"
#include "camphorsail/process/log_level.h"
#include "camphorsail/process/log_name.h"

namespace camphorsail {

/// One log line of `key=value` fields, written when the object is destroyed:
///
///     LogEvent("request_refused").Add("request", id).Add("reason", reason);
///
/// The line starts with `time` (UTC, microseconds), `level`, `vm`, `clock` if
/// the process has a hybrid clock, and `event`. Events and fields are those of
/// log_schema.h; the number of lines per second is limited for events with
/// `LogVolume::kBounded`. A value that is empty or contains a space, a quote,
/// `=`, a backslash or a byte outside printable ASCII is put in double quotes
/// with C escapes, so that a value from a caller cannot add a field or a line.
/// Must be used by one thread only.
class LogEvent {
 public:
  /// @param name Name of the event, as listed in log_schema.h.
  explicit LogEvent(LogEventName name, LogLevel level = LogLevel::kInfo);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  LogEvent& Add(LogFieldName key, std::string_view value);
  LogEvent& Add(LogFieldName key, const char* value) {
    return Add(key, std::string_view(value));
  }
  LogEvent& Add(LogFieldName key, const std::string& value) {
    return Add(key, std::string_view(value));
  }
  LogEvent& Add(LogFieldName key, bool value) {
    return Add(key, std::string_view(value ? "true" : "false"));
  }
  template <typename T>
  requires std::integral<T> || std::floating_point<T> LogEvent& Add(
      LogFieldName key,
      T value) {
    if (logged_) {
      AddKey(key);
      absl::StrAppend(&line_, value);
    }
    return *this;
  }
  /// Writes the duration in milliseconds; the name of the key should end in
  /// `_ms`.
  LogEvent& Add(LogFieldName key, absl::Duration value) {
    return Add(key, absl::ToDoubleMilliseconds(value));
  }
  template <typename Tag, typename Rep>
  LogEvent& Add(LogFieldName key, const StrongId<Tag, Rep>& value) {
    return Add(key, value.value());
  }

 private:
  void AddKey(LogFieldName key) {
    line_ += ' ';
    line_ += key.text();
    line_ += '=';
  }

  const LogLevel level_;
  bool logged_ = false;
  std::string line_;
};

/// @return `value` as written in a log line, quoted where necessary.
std::string QuoteLogValue(std::string_view value);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_LOG_EVENT_H_
