#ifndef CAMPHORSAIL_ENTRY_BACKEND_FAILURE_EVENT_H_
#define CAMPHORSAIL_ENTRY_BACKEND_FAILURE_EVENT_H_

#include <string>

#include "camphorsail/entry/attempt_id.h"

namespace camphorsail {

/// The backend call failed before its answer was complete.
struct BackendFailureEvent {
  AttemptId attempt;
  /// False only when it is certain that no byte of the request was sent.
  bool sent = true;
  std::string message;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_BACKEND_FAILURE_EVENT_H_
