#ifndef CAMPHORSAIL_GATEWAY_FORWARD_TERMS_H_
#define CAMPHORSAIL_GATEWAY_FORWARD_TERMS_H_

#include <cstdint>
#include <optional>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"

namespace camphorsail {

/// What the gateway adds to a request that it forwards.
struct ForwardTerms {
  /// Any other server that has the address by now refuses the request.
  BackendServerId server;
  /// Time left for the answer.
  absl::Duration time_left;
  /// Empty on public routes.
  ClientAccountId account;
  /// Rank for the engine's queue, from 0, the first, to 9.
  std::optional<int> urgency;
  /// Continue a stream after this event.
  std::optional<uint64_t> last_event;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_FORWARD_TERMS_H_
