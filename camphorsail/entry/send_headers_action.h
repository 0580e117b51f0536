#ifndef CAMPHORSAIL_ENTRY_SEND_HEADERS_ACTION_H_
#define CAMPHORSAIL_ENTRY_SEND_HEADERS_ACTION_H_

#include <string>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"

namespace camphorsail {

/// Sends the headers of the answer to the caller.
struct SendHeadersAction {
  RequestId request;
  int status = 200;
  std::string content_type;
  /// Zero when the answer has no `Retry-After`.
  absl::Duration retry_after = absl::ZeroDuration();
  /// False when the complete answer follows in the same list of actions.
  bool streamed = false;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_SEND_HEADERS_ACTION_H_
