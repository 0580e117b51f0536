#ifndef CTL_EXPLAIN_REQUEST_H_
#define CTL_EXPLAIN_REQUEST_H_

#include <istream>

#include "ctl/command.h"
#include "ctl/run_command.h"

namespace camphorsail::ctl {

/// Executes the command `explain`: reads the logs that it names, or `input`
/// when it names none, and prints the story of the request.
///
/// @return Exit code 1 when no line has the request's id or a file cannot be
/// read.
CommandResult ExplainRequest(const Command& command, std::istream& input);

}  // namespace camphorsail::ctl

#endif  // CTL_EXPLAIN_REQUEST_H_
