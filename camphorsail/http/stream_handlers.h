#ifndef CAMPHORSAIL_HTTP_STREAM_HANDLERS_H_
#define CAMPHORSAIL_HTTP_STREAM_HANDLERS_H_

#include <cstddef>
#include <functional>

#include "camphorsail/base/error_kind.h"
#include "camphorsail/base/ref.h"
#include "camphorsail/http/server_stream.h"

namespace camphorsail {

/// Handlers that the user of a `StreamServer` supplies. Called on the server's
/// threads with no lock held; must not block.
struct StreamHandlers {
  /// The headers are complete. The handler may answer the stream at once.
  std::function<void(const Ref<ServerStream>&)> on_headers;
  /// The body is complete.
  std::function<void(const Ref<ServerStream>&)> on_body;
  /// The headers or body exceed a limit; the handler must answer the stream
  /// with this error.
  std::function<void(const Ref<ServerStream>&, ErrorKind)> on_rejected;
  /// The client disconnected or timed out before the answer was complete.
  std::function<void(const Ref<ServerStream>&)> on_gone;
  /// The client's connection has taken `bytes` bytes of a streamed answer, so
  /// that more can be written.
  std::function<void(const Ref<ServerStream>&, size_t bytes)> on_drained;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_STREAM_HANDLERS_H_
