#include "camphorsail/process/log_event.h"

#include "absl/strings/str_format.h"
#include "camphorsail/base/wall_clock.h"
#include "camphorsail/process/logger.h"

namespace camphorsail {

namespace {

/// Initial capacity of a line in bytes; enough for most lines.
constexpr size_t kInitialLineBytes = 512;

bool IsPlain(std::string_view value) {
  for (const char c : value) {
    if (c <= ' ' || c >= 0x7f || c == '"' || c == '=' || c == '\\') {
      return false;
    }
  }
  return !value.empty();
}

void AppendValue(std::string_view value, std::string* text) {
  if (IsPlain(value)) {
    text->append(value);
    return;
  }
  *text += '"';
  for (const char c : value) {
    switch (c) {
      case '"':
        *text += "\\\"";
        break;
      case '\\':
        *text += "\\\\";
        break;
      case '\n':
        *text += "\\n";
        break;
      case '\r':
        *text += "\\r";
        break;
      case '\t':
        *text += "\\t";
        break;
      default:
        if (c >= ' ' && c < 0x7f) {
          *text += c;
        } else {
          absl::StrAppendFormat(text, "\\x%02x", static_cast<unsigned char>(c));
        }
    }
  }
  *text += '"';
}

/// Appends a time in UTC with microseconds. The text up to the second is
/// cached, since the calendar conversion is the expensive part.
void AppendTime(absl::Time time, std::string* text) {
  thread_local int64_t cached_second = -1;
  thread_local std::string cached_text;
  const int64_t micros = absl::ToUnixMicros(time);
  const int64_t second = absl::ToUnixSeconds(time);
  if (second != cached_second) {
    cached_second = second;
    cached_text =
        absl::FormatTime("%Y-%m-%dT%H:%M:%S", time, absl::UTCTimeZone());
  }
  text->append(cached_text);
  absl::StrAppendFormat(text, ".%06dZ", micros - second * 1'000'000);
}

}  // namespace

std::string QuoteLogValue(std::string_view value) {
  std::string text;
  AppendValue(value, &text);
  return text;
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
  line_.reserve(kInitialLineBytes);
  line_ = "time=";
  AppendTime(now, &line_);
  line_ += " level=";
  line_ += ToString(level);
  AppendLogOrigin(now, &line_);
  line_ += " event=";
  line_ += name.text();
}

LogEvent::~LogEvent() {
  if (logged_) {
    WriteLogLine(level_, line_);
  }
}

LogEvent& LogEvent::Add(LogFieldName key, std::string_view value) {
  if (logged_) {
    AddKey(key);
    AppendValue(value, &line_);
  }
  return *this;
}

}  // namespace camphorsail
