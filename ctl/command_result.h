#ifndef CTL_COMMAND_RESULT_H_
#define CTL_COMMAND_RESULT_H_

#include <string>

namespace camphorsail::ctl {

/// The output and the exit code of a command.
struct CommandResult {
  int exit_code = 0;
  /// Text for standard output.
  std::string output;
  /// Text for standard error.
  std::string errors;
};

}  // namespace camphorsail::ctl

#endif  // CTL_COMMAND_RESULT_H_
