#ifndef CAMPHORSAIL_ENTRY_BACKEND_HEADERS_EVENT_H_
#define CAMPHORSAIL_ENTRY_BACKEND_HEADERS_EVENT_H_

#include <string>

#include "camphorsail/entry/attempt_id.h"

namespace camphorsail {

/// The headers of the backend server's answer have arrived.
struct BackendHeadersEvent {
  AttemptId attempt;
  int status = 0;
  std::string content_type;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_BACKEND_HEADERS_EVENT_H_
