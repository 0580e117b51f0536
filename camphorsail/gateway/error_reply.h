#ifndef CAMPHORSAIL_GATEWAY_ERROR_REPLY_H_
#define CAMPHORSAIL_GATEWAY_ERROR_REPLY_H_

#include <string>

#include "camphorsail/base/error.h"
#include "camphorsail/gateway/http_headers.h"
#include "camphorsail/gateway/wire_dialect.h"

namespace camphorsail {

/// An answer by the gateway itself.
struct ErrorReply {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

/// @param error Its `retry_after` is sent where a retry helps and the request
/// was not run.
/// @param request_id As the caller wrote it; empty when it is not known.
ErrorReply MakeErrorReply(const Error& error,
                          const std::string& request_id,
                          const WireDialect& dialect);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_ERROR_REPLY_H_
