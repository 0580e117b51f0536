#ifndef CAMPHORSAIL_PROCESS_GUARDED_CALL_H_
#define CAMPHORSAIL_PROCESS_GUARDED_CALL_H_

#include <exception>
#include <string_view>
#include <utility>

#include "camphorsail/process/log_event.h"

namespace camphorsail {

/// Calls a handler at the top of a thread's loop, so that an unexpected
/// exception ends only what the handler was working on and not the process.
/// @param where Names the loop in the log.
/// @return False when the handler has thrown.
template <typename Call>
bool GuardedCall(std::string_view where, Call&& call) {
  try {
    std::forward<Call>(call)();
    return true;
  } catch (const std::exception& error) {
    LogEvent("handler_failed", LogLevel::kError)
        .Add("where", where)
        .Add("message", error.what());
  } catch (...) {
    LogEvent("handler_failed", LogLevel::kError)
        .Add("where", where)
        .Add("message", "unknown exception");
  }
  return false;
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_GUARDED_CALL_H_
