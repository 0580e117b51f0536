#ifndef CAMPHORSAIL_PROCESS_COMMAND_LINE_H_
#define CAMPHORSAIL_PROCESS_COMMAND_LINE_H_

#include <string>
#include <vector>

namespace camphorsail {

/// Splits `--name=value` into two arguments, since TCLAP accepts either that
/// form or `--name value`, but not both.
///
/// @param arguments The program's name and its arguments. Arguments after `--`
/// are not split.
std::vector<std::string> SplitFlagValues(
    const std::vector<std::string>& arguments);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_COMMAND_LINE_H_
