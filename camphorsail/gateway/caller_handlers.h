#ifndef CAMPHORSAIL_GATEWAY_CALLER_HANDLERS_H_
#define CAMPHORSAIL_GATEWAY_CALLER_HANDLERS_H_

#include <functional>
#include <string>

#include "camphorsail/base/error_kind.h"
#include "camphorsail/gateway/http_heads.h"

namespace camphorsail {

class CallerConnection;

/// What a `CallerConnection` tells its owner. Called on the loop's thread.
struct CallerHandlers {
  /// A whole request has arrived. No further one follows on the connection
  /// before its answer is complete.
  std::function<void(CallerConnection*, HttpRequestHead, std::string body)>
      on_request;
  /// What arrived is no acceptable request. The handler answers; the connection
  /// is closed after that.
  std::function<void(CallerConnection*, ErrorKind)> on_bad_request;
  /// The caller left while its request was in progress.
  std::function<void(CallerConnection*)> on_gone;
  /// The bytes of an answer in progress were taken by the network.
  std::function<void(CallerConnection*)> on_drained;
  /// The connection is closed; the last call.
  std::function<void(CallerConnection*)> on_closed;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_CALLER_HANDLERS_H_
