#ifndef CTL_COMMAND_TABLE_H_
#define CTL_COMMAND_TABLE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "ctl/command.h"

namespace camphorsail::ctl {

/// One form of the command line.
struct CommandSpec {
  CommandKind kind;
  /// The words that select the command, such as `settings` and `get`.
  std::vector<std::string> words;
  /// The operands as shown in the usage text.
  const char* operands;
  size_t min_operands;
  size_t max_operands;
  /// Flags that the command accepts in addition to the common ones.
  std::vector<std::string> flags;
  const char* help;
};

/// @return Every form of the command line. The first form whose words match is
/// used, so a longer form such as `engines set` comes before `engines`.
const std::vector<CommandSpec>& CommandTable();

}  // namespace camphorsail::ctl

#endif  // CTL_COMMAND_TABLE_H_
