#ifndef CAMPHORSAIL_GATEWAY_WIRE_DIALECT_H_
#define CAMPHORSAIL_GATEWAY_WIRE_DIALECT_H_

#include <string>

#include "camphorsail/base/error.h"
#include "camphorsail/gateway/caller_request.h"
#include "camphorsail/gateway/forward_parameters.h"
#include "camphorsail/gateway/http_heads.h"
#include "camphorsail/gateway/server_reply.h"

namespace camphorsail {

/// Functions that read and write the deployment-specific HTTP headers of
/// requests and answers. The gateway forwards all other headers unchanged. The
/// functions have no state.
struct WireDialect {
  /// @return The information in the headers of a request; `kInvalidRequest`
  /// when they are malformed.
  Expected<CallerRequest> (*read_request)(const HttpRequestHead& head);
  /// Sets the headers of a forwarded request that only the gateway may set, in
  /// place of any that the caller sent.
  void (*write_forward_headers)(const ForwardParameters& parameters,
                                HttpHeaders* headers);
  /// @return The information in the headers of a server's answer.
  ServerReply (*read_reply)(const HttpResponseHead& head);
  /// Removes the headers of a server's answer that callers must not see.
  void (*strip_reply)(HttpHeaders* headers);
  /// Adds the headers of an answer that the gateway itself generates.
  void (*write_gateway_answer)(const std::string& request_id,
                               HttpHeaders* headers);
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_WIRE_DIALECT_H_
