#ifndef CAMPHORSAIL_PROCESS_SETTINGS_RELOADER_H_
#define CAMPHORSAIL_PROCESS_SETTINGS_RELOADER_H_

#include <string>
#include <utility>
#include <vector>

#include "camphorsail/process/options.h"

namespace camphorsail {

/// Reads the settings of a running process again and applies those that may
/// change while it runs. If any setting is invalid, nothing changes. Immutable;
/// used by one thread.
class SettingsReloader {
 public:
  /// @param arguments The arguments of the process, as for `ParseOptions`.
  /// @param environment The environment of the process, as for `ParseOptions`.
  SettingsReloader(std::vector<std::string> arguments,
                   std::vector<std::pair<std::string, std::string>> environment)
      : arguments_(std::move(arguments)),
        environment_(std::move(environment)) {}

  /// Reads the settings and logs which of them changed, which need a restart,
  /// or why they are refused. The log settings take effect here; the caller
  /// applies the others.
  ///
  /// @param options The settings in force; updated with those that may change.
  /// @return False when the settings are refused; `options` is then unchanged.
  bool Reload(Options* options) const;

 private:
  const std::vector<std::string> arguments_;
  const std::vector<std::pair<std::string, std::string>> environment_;
};

/// Sets the log level, the log lines per second and the `vm` field.
void ApplyLogSettings(const Options& options);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_SETTINGS_RELOADER_H_
