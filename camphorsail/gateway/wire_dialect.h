#ifndef CAMPHORSAIL_GATEWAY_WIRE_DIALECT_H_
#define CAMPHORSAIL_GATEWAY_WIRE_DIALECT_H_

#include <string>

#include "camphorsail/base/error.h"
#include "camphorsail/gateway/caller_request.h"
#include "camphorsail/gateway/forward_terms.h"
#include "camphorsail/gateway/http_heads.h"
#include "camphorsail/gateway/server_reply.h"

namespace camphorsail {

/// How a deployment writes on HTTP what the gateway needs to know. The gateway
/// forwards all other headers as they are. The functions keep no state.
struct WireDialect {
  /// @return What the request says; `kInvalidRequest` when it is malformed.
  Expected<CallerRequest> (*read_request)(const HttpRequestHead& head);
  /// Replaces the headers that are the gateway's to set.
  void (*write_terms)(const ForwardTerms& terms, HttpHeaders* headers);
  /// @return What the answer says.
  ServerReply (*read_reply)(const HttpResponseHead& head);
  /// Removes the headers of an answer that are not for the caller.
  void (*strip_reply)(HttpHeaders* headers);
  /// Adds the headers of an answer by the gateway itself.
  void (*write_own_answer)(const std::string& request_id, HttpHeaders* headers);
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_WIRE_DIALECT_H_
