#ifndef CAMPHORSAIL_GATEWAY_HTTP_HEADS_H_
#define CAMPHORSAIL_GATEWAY_HTTP_HEADS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "camphorsail/gateway/http_headers.h"

namespace camphorsail {

/// Request line and headers as received.
struct HttpRequestHead {
  std::string method;
  /// Path and query as received.
  std::string target;
  HttpHeaders headers;
  /// The x of HTTP/1.x.
  int minor_version = 1;
  /// False when the caller wants the connection to end with the answer.
  bool keep_alive = true;
};

/// Status line and headers as received.
struct HttpResponseHead {
  int status = 0;
  HttpHeaders headers;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_HTTP_HEADS_H_
