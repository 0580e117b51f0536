#ifndef CAMPHORSAIL_ENTRY_BACKEND_END_EVENT_H_
#define CAMPHORSAIL_ENTRY_BACKEND_END_EVENT_H_

#include "camphorsail/entry/attempt_id.h"

namespace camphorsail {

/// The backend server's answer is complete according to its HTTP framing.
struct BackendEndEvent {
  AttemptId attempt;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_BACKEND_END_EVENT_H_
