#ifndef CAMPHORSAIL_PROCESS_SETTINGS_RELOADER_H_
#define CAMPHORSAIL_PROCESS_SETTINGS_RELOADER_H_

#include <string>
#include <utility>
#include <vector>

#include "camphorsail/process/options.h"

namespace camphorsail {

/// Reads the settings of a running process again and takes over those that may
/// change while it runs. Wrong settings change nothing. Immutable; used by one
/// thread.
class SettingsReloader {
 public:
  /// @param arguments Those that the process was started with.
  /// @param environment Likewise.
  SettingsReloader(std::vector<std::string> arguments,
                   std::vector<std::pair<std::string, std::string>> environment)
      : arguments_(std::move(arguments)),
        environment_(std::move(environment)) {}

  /// Logs what changed, what needs a restart, or why the settings are refused.
  /// Log settings take effect here, the others by the caller.
  ///
  /// @param options The settings in force.
  /// @return False when the settings are refused; `options` is then unchanged.
  bool Reload(Options* options) const;

 private:
  const std::vector<std::string> arguments_;
  const std::vector<std::pair<std::string, std::string>> environment_;
};

/// Sets level, volume and `vm` field of the log.
void ApplyLogSettings(const Options& options);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_SETTINGS_RELOADER_H_
