#ifndef CAMPHORSAIL_GATEWAY_ERROR_REPLY_H_
#define CAMPHORSAIL_GATEWAY_ERROR_REPLY_H_

#include <string>

#include "camphorsail/base/error.h"
#include "camphorsail/gateway/http_headers.h"
#include "camphorsail/gateway/wire_dialect.h"

namespace camphorsail {

/// Answer with an error that the gateway itself generates.
struct ErrorReply {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

/// @param error The error to report. Its `retry_after` is sent if a retry can
/// help and the request was not run.
/// @param request_id Request id as the caller sent it; empty when unknown.
ErrorReply MakeErrorReply(const Error& error,
                          const std::string& request_id,
                          const WireDialect& dialect);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_ERROR_REPLY_H_
