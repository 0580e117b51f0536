#ifndef CAMPHORSAIL_ENTRY_PAUSE_BACKEND_CALL_ACTION_H_
#define CAMPHORSAIL_ENTRY_PAUSE_BACKEND_CALL_ACTION_H_

#include "camphorsail/entry/attempt_id.h"

namespace camphorsail {

/// Pauses or resumes reading the backend server's answer.
struct PauseBackendCallAction {
  AttemptId attempt;
  /// True to pause, false to resume.
  bool paused = false;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_PAUSE_BACKEND_CALL_ACTION_H_
