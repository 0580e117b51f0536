#include "camphorsail/explain/log_line.h"

#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/time/time.h"

namespace camphorsail {
namespace {

constexpr std::string_view kFirstField = "time=";

int HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/// Takes a value, plain or quoted, from the front of `text`.
/// @return Nothing when a quoted value has no end.
std::optional<std::string> TakeValue(std::string_view* text) {
  std::string value;
  if (text->empty() || text->front() != '"') {
    const size_t end = std::min(text->find(' '), text->size());
    value.assign(text->substr(0, end));
    text->remove_prefix(end);
    return value;
  }
  for (size_t i = 1; i < text->size(); ++i) {
    const char c = (*text)[i];
    if (c == '"') {
      text->remove_prefix(i + 1);
      return value;
    }
    if (c != '\\' || i + 1 == text->size()) {
      value += c;
      continue;
    }
    const char escaped = (*text)[++i];
    if (escaped == 'x' && i + 2 < text->size()) {
      value += static_cast<char>(HexDigit((*text)[i + 1]) * 16 +
                                 HexDigit((*text)[i + 2]));
      i += 2;
    } else if (escaped == 'n') {
      value += '\n';
    } else if (escaped == 'r') {
      value += '\r';
    } else if (escaped == 't') {
      value += '\t';
    } else {
      value += escaped;
    }
  }
  return std::nullopt;
}

std::optional<HybridTimestamp> ParseClock(const std::string& text) {
  HybridTimestamp clock;
  const size_t dot = text.find('.');
  if (dot == std::string::npos ||
      !absl::SimpleAtoi(text.substr(0, dot), &clock.wall_micros) ||
      !absl::SimpleAtoi(text.substr(dot + 1), &clock.counter)) {
    return std::nullopt;
  }
  return clock;
}

}  // namespace

const std::string* LogLine::Find(std::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (key == name) {
      return &value;
    }
  }
  return nullptr;
}

std::string LogLine::Get(std::string_view name) const {
  const std::string* value = Find(name);
  return value == nullptr ? std::string() : *value;
}

std::optional<double> LogLine::Number(std::string_view name) const {
  double number = 0;
  const std::string* value = Find(name);
  return value != nullptr && absl::SimpleAtod(*value, &number)
             ? std::optional(number)
             : std::nullopt;
}

std::optional<LogLine> ParseLogLine(std::string_view text) {
  const size_t begin = text.find(kFirstField);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  text.remove_prefix(begin);
  LogLine line;
  absl::Time time;
  while (!text.empty()) {
    if (text.front() == ' ' || text.front() == '\r') {
      text.remove_prefix(1);
      continue;
    }
    const size_t equals = text.find('=');
    if (equals == std::string_view::npos) {
      return std::nullopt;
    }
    std::string key(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    std::optional<std::string> value = TakeValue(&text);
    if (!value) {
      return std::nullopt;
    }
    if (key == "time") {
      std::string error;
      if (!absl::ParseTime(absl::RFC3339_full, *value, &time, &error)) {
        return std::nullopt;
      }
      line.clock.wall_micros = absl::ToUnixMicros(time);
    } else if (key == "clock") {
      if (const auto clock = ParseClock(*value)) {
        line.clock = *clock;
      }
    } else if (key == "vm" && line.event.empty()) {
      line.vm = *std::move(value);
    } else if (key == "event") {
      line.event = *std::move(value);
    } else if (key != "level") {
      line.fields.emplace_back(std::move(key), *std::move(value));
    }
  }
  return line.event.empty() ? std::nullopt : std::optional(std::move(line));
}

}  // namespace camphorsail
