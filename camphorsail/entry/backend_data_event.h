#ifndef CAMPHORSAIL_ENTRY_BACKEND_DATA_EVENT_H_
#define CAMPHORSAIL_ENTRY_BACKEND_DATA_EVENT_H_

#include <string>

#include "camphorsail/entry/attempt_id.h"

namespace camphorsail {

/// Bytes of the body of the backend server's answer have arrived.
struct BackendDataEvent {
  AttemptId attempt;
  std::string data;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_BACKEND_DATA_EVENT_H_
