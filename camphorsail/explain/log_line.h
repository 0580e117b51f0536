#ifndef CAMPHORSAIL_EXPLAIN_LOG_LINE_H_
#define CAMPHORSAIL_EXPLAIN_LOG_LINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "camphorsail/base/hybrid_clock.h"

namespace camphorsail {

/// One line of a log, read back.
struct LogLine {
  /// From the field `clock`, or from `time` where the process has no hybrid
  /// clock.
  HybridTimestamp clock;
  std::string vm;
  std::string event;
  /// The other fields in their order, unquoted.
  std::vector<std::pair<std::string, std::string>> fields;

  /// @return The value of a field; null when the line has none.
  const std::string* Find(std::string_view name) const;
  /// @return The value of a field, or an empty text.
  std::string Get(std::string_view name) const;
  /// @return The value of a field as a number; nothing when it is missing or no
  /// number.
  std::optional<double> Number(std::string_view name) const;
};

/// @param text May have something in front, as log collectors add it.
/// @return The line; nothing when the text is no line of this project's log.
std::optional<LogLine> ParseLogLine(std::string_view text);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_EXPLAIN_LOG_LINE_H_
