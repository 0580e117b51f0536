#ifndef CTL_PARSE_COMMAND_H_
#define CTL_PARSE_COMMAND_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "ctl/command.h"

namespace camphorsail::ctl {

/// The result of `ParseCommand`.
struct ParsedCommand {
  /// Absent when the program is to print the texts and exit with `exit_code`.
  std::optional<Command> command;
  int exit_code = 0;
  /// Text for standard output.
  std::string output;
  /// Text for standard error.
  std::string errors;
};

/// Reads the command line and the files that it names.
///
/// @param arguments The program's name and its arguments.
/// @param environment Name and value of every variable of the process.
/// @param wall_now Current time, from which ages such as `15m` are subtracted.
/// @return The command, or the texts and exit code with which the program ends.
ParsedCommand ParseCommand(
    const std::vector<std::string>& arguments,
    const std::vector<std::pair<std::string, std::string>>& environment,
    absl::Time wall_now);

}  // namespace camphorsail::ctl

#endif  // CTL_PARSE_COMMAND_H_
