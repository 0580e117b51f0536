#ifndef CAMPHORSAIL_GATEWAY_CALLER_HANDLERS_H_
#define CAMPHORSAIL_GATEWAY_CALLER_HANDLERS_H_

#include <functional>
#include <string>

#include "camphorsail/base/error_kind.h"
#include "camphorsail/gateway/http_heads.h"

namespace camphorsail {

class CallerConnection;

/// Callbacks of a `CallerConnection` for its owner. Called on the event loop's
/// thread.
struct CallerHandlers {
  /// A complete request has arrived. The connection delivers no further request
  /// before the answer to this one is complete.
  std::function<void(CallerConnection*, HttpRequestHead, std::string body)>
      on_request;
  /// A request could not be received: it is malformed or too large, it was not
  /// received in time, or there is no memory for it. The handler sends an
  /// answer, after which the connection is closed.
  std::function<void(CallerConnection*, ErrorKind)> on_unreceived_request;
  /// The caller disconnected while its request was in progress.
  std::function<void(CallerConnection*)> on_gone;
  /// All data of the answer in progress has been written to the socket.
  std::function<void(CallerConnection*)> on_drained;
  /// The connection is closed. This is the last call.
  std::function<void(CallerConnection*)> on_closed;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_CALLER_HANDLERS_H_
