#ifndef CAMPHORSAIL_ENTRY_CANCEL_BACKEND_CALL_ACTION_H_
#define CAMPHORSAIL_ENTRY_CANCEL_BACKEND_CALL_ACTION_H_

#include "camphorsail/entry/attempt_id.h"

namespace camphorsail {

/// Cancels a backend call; its later events are ignored.
struct CancelBackendCallAction {
  AttemptId attempt;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_CANCEL_BACKEND_CALL_ACTION_H_
