#ifndef CTL_CHECK_CONFIG_H_
#define CTL_CHECK_CONFIG_H_

#include "ctl/admin_exchange.h"
#include "ctl/command.h"
#include "ctl/command_result.h"

namespace camphorsail::ctl {

/// Checks a routing document with the code that accepts it, reviews what it
/// says and compares it with another document: that of `Command::against_text`
/// or, when the command names a VM, the one in force there.
/// @param call Reads the document in force.
CommandResult CheckConfig(const Command& command, const AdminCall& call);

}  // namespace camphorsail::ctl

#endif  // CTL_CHECK_CONFIG_H_
