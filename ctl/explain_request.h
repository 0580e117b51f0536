#ifndef CTL_EXPLAIN_REQUEST_H_
#define CTL_EXPLAIN_REQUEST_H_

#include <istream>

#include "ctl/command.h"
#include "ctl/run_command.h"

namespace camphorsail::ctl {

/// Executes the command `explain`: reads the log files of the command, or
/// `input` when there are none, and renders the log lines of the request and
/// the cause of its outcome.
///
/// @return The output; with exit code 1 when no line has the request's id or a
/// file cannot be read.
CommandResult ExplainRequest(const Command& command, std::istream& input);

}  // namespace camphorsail::ctl

#endif  // CTL_EXPLAIN_REQUEST_H_
