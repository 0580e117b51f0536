#ifndef CAMPHORSAIL_PROCESS_LOG_LEVEL_H_
#define CAMPHORSAIL_PROCESS_LOG_LEVEL_H_

#include <cstdint>
#include <string_view>

namespace camphorsail {

/// Least severe level first. An event below the configured level is not
/// written.
enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };

/// @return `debug`, `info`, `warning` or `error`.
std::string_view ToString(LogLevel level);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_LOG_LEVEL_H_
