#ifndef CAMPHORSAIL_HTTP_BACKEND_CALL_H_
#define CAMPHORSAIL_HTTP_BACKEND_CALL_H_

#include <string>

#include "camphorsail/entry/attempt_id.h"

namespace camphorsail {

/// One HTTP request to a backend server.
struct BackendCall {
  AttemptId attempt;
  std::string url;
  std::string content_type;
  std::string body;
  /// False when the request must not be sent twice.
  bool idempotent = true;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_BACKEND_CALL_H_
