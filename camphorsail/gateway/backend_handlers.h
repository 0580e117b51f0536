#ifndef CAMPHORSAIL_GATEWAY_BACKEND_HANDLERS_H_
#define CAMPHORSAIL_GATEWAY_BACKEND_HANDLERS_H_

#include <functional>
#include <string_view>

#include "camphorsail/gateway/backend_failure.h"
#include "camphorsail/gateway/http_heads.h"

namespace camphorsail {

/// Callbacks of a `BackendConnection` for the sender of its current request.
/// Called on the event loop's thread; either `on_end` or `on_failure` is the
/// last call.
struct BackendHandlers {
  /// The status line and headers of the answer have arrived.
  /// @return False when the answer does not belong to the request; the
  /// connection then fails with `kProtocol`.
  std::function<bool(HttpResponseHead)> on_head;
  /// A part of the answer's body has arrived.
  std::function<void(std::string_view)> on_data;
  /// The answer is complete.
  std::function<void()> on_end;
  /// The attempt ended without a complete answer.
  /// @param sent True when at least one byte of the request was written to an
  /// established connection, so that the server may have run the request.
  std::function<void(BackendFailure, bool sent)> on_failure;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_BACKEND_HANDLERS_H_
