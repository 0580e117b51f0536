#ifndef CAMPHORSAIL_PROCESS_OPTION_SPEC_H_
#define CAMPHORSAIL_PROCESS_OPTION_SPEC_H_

#include <functional>
#include <string>
#include <vector>

#include "camphorsail/process/options.h"

namespace camphorsail {

/// The declaration of one setting of the daemon.
struct OptionSpec {
  /// Name of the flag without its dashes. The name of the environment variable
  /// is derived from it.
  std::string name;
  /// Text of the default; empty when there is none.
  std::string default_value;
  /// The allowed range or form, as written in help and errors.
  std::string allowed;
  std::string help;
  /// Stores a value. @return False when it is not allowed.
  std::function<bool(const std::string& value, Options* options)> store;
  /// True when a change takes effect at SIGHUP, false when it needs a restart.
  bool reloadable = false;
};

/// @return The settings in the order of the help text.
const std::vector<OptionSpec>& OptionsTable();

/// @param name For example `peer-listen`.
/// @return For example `CAMPHORSAIL_PEER_LISTEN`.
std::string VariableName(const std::string& name);

/// Checks the settings against each other.
///
/// @return One line per conflict, which names the settings and what is allowed.
std::vector<std::string> FindOptionConflicts(const Options& options);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_OPTION_SPEC_H_
