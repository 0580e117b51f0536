#include "camphorsail/process/command_line.h"

#include "absl/strings/match.h"

namespace camphorsail {

std::vector<std::string> SplitFlagValues(
    const std::vector<std::string>& arguments) {
  std::vector<std::string> result;
  bool flags_ended = false;
  for (const std::string& argument : arguments) {
    flags_ended = flags_ended || argument == "--";
    const size_t equals = argument.find('=');
    if (!flags_ended && !result.empty() && absl::StartsWith(argument, "--") &&
        equals != std::string::npos) {
      result.push_back(argument.substr(0, equals));
      result.push_back(argument.substr(equals + 1));
    } else {
      result.push_back(argument);
    }
  }
  return result;
}

}  // namespace camphorsail
