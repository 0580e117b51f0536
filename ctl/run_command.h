#ifndef CTL_RUN_COMMAND_H_
#define CTL_RUN_COMMAND_H_

#include <functional>
#include <string>

#include "absl/time/time.h"
#include "ctl/admin_exchange.h"
#include "ctl/command.h"
#include "ctl/command_result.h"

namespace camphorsail::ctl {

/// The functions through which a command calls the VM, waits and reports.
struct CommandContext {
  /// Executes the calls of the admin API.
  AdminCall call;
  /// Waits before a change is sent again.
  std::function<void(absl::Duration)> sleep;
  /// Prints a line to standard error at once.
  std::function<void(const std::string&)> report;
};

/// Executes a command.
///
/// A change whose outcome is unknown is sent again with the same change id, at
/// most three times. This is safe because a VM gives a known id its original
/// answer.
///
/// The change id is reported before the change is sent, so that the operator
/// knows it even when this program is interrupted.
CommandResult RunCommand(const Command& command, const CommandContext& context);

}  // namespace camphorsail::ctl

#endif  // CTL_RUN_COMMAND_H_
