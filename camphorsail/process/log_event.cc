#include "camphorsail/process/log_event.h"

#include <optional>

#include "absl/strings/str_format.h"
#include "camphorsail/base/wall_clock.h"
#include "camphorsail/process/logger.h"

namespace camphorsail {

std::string QuoteLogValue(std::string_view value) {
  bool plain = !value.empty();
  for (char c : value) {
    plain = plain && c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
  }
  if (plain) {
    return std::string(value);
  }
  std::string quoted = "\"";
  for (char c : value) {
    switch (c) {
      case '"':
        quoted += "\\\"";
        break;
      case '\\':
        quoted += "\\\\";
        break;
      case '\n':
        quoted += "\\n";
        break;
      case '\r':
        quoted += "\\r";
        break;
      case '\t':
        quoted += "\\t";
        break;
      default:
        if (c >= ' ' && c < 0x7f) {
          quoted += c;
        } else {
          absl::StrAppendFormat(&quoted, "\\x%02x",
                                static_cast<unsigned char>(c));
        }
    }
  }
  quoted += '"';
  return quoted;
}

LogEvent::LogEvent(LogEventName name, LogLevel level) : level_(level) {
  if (!IsLogged(level)) {
    return;
  }
  const absl::Time now = WallNow();
  if (!AdmitLogLine(name, level, now)) {
    return;
  }
  logged_ = true;
  line_ = "time=";
  line_ += absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", now, absl::UTCTimeZone());
  line_ += " level=";
  line_ += ToString(level);
  Add("vm", LoggerVm());
  if (const std::optional<HybridTimestamp> clock = LogClockNow()) {
    Add("clock", absl::StrCat(clock->wall_micros, ".", clock->counter));
  }
  Add("event", name.text());
}

LogEvent::~LogEvent() {
  if (logged_) {
    WriteLogLine(level_, line_);
  }
}

LogEvent& LogEvent::Add(LogFieldName key, std::string_view value) {
  if (logged_) {
    line_ += ' ';
    line_ += key.text();
    line_ += '=';
    line_ += QuoteLogValue(value);
  }
  return *this;
}

}  // namespace camphorsail
