#ifndef CAMPHORSAIL_GATEWAY_BACKEND_HANDLERS_H_
#define CAMPHORSAIL_GATEWAY_BACKEND_HANDLERS_H_

#include <functional>
#include <string_view>

#include "camphorsail/gateway/backend_failure.h"
#include "camphorsail/gateway/http_heads.h"

namespace camphorsail {

/// What a `BackendConnection` tells the sender of its present request. Called
/// on the loop's thread; `on_end` or `on_failure` is the last call.
struct BackendHandlers {
  /// @return False when the answer does not belong to the request; the
  /// connection then fails with `kProtocol`.
  std::function<bool(HttpResponseHead)> on_head;
  std::function<void(std::string_view)> on_data;
  /// The answer is complete.
  std::function<void()> on_end;
  /// @param sent True when a byte of the request was handed to an established
  /// connection, so that the server may have run it.
  std::function<void(BackendFailure, bool sent)> on_failure;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_BACKEND_HANDLERS_H_
