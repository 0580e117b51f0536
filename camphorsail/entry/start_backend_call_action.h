#ifndef CAMPHORSAIL_ENTRY_START_BACKEND_CALL_ACTION_H_
#define CAMPHORSAIL_ENTRY_START_BACKEND_CALL_ACTION_H_

#include <string>

#include "camphorsail/base/ids.h"
#include "camphorsail/entry/attempt_id.h"

namespace camphorsail {

/// Sends a request to a backend server.
struct StartBackendCallAction {
  AttemptId attempt;
  BackendServerId server;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  /// False when no layer, such as the HTTP client, may send the request twice.
  bool idempotent = true;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_START_BACKEND_CALL_ACTION_H_
