#ifndef CAMPHORSAIL_GATEWAY_FORWARD_PARAMETERS_H_
#define CAMPHORSAIL_GATEWAY_FORWARD_PARAMETERS_H_

#include <cstdint>
#include <optional>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/urgency.h"

namespace camphorsail {

/// Information that the gateway adds to a request when it forwards it to a
/// backend server.
struct ForwardParameters {
  /// The intended server. A different server that has taken over the address
  /// refuses the request.
  BackendServerId server;
  /// Time left until the deadline of the request.
  absl::Duration time_left;
  /// Account of the caller; empty on public routes.
  ClientAccountId account;
  /// Rank in the engine's queue; nothing for a plain service.
  std::optional<Urgency> urgency;
  /// Id of the event after which a stream is to be resumed.
  std::optional<uint64_t> last_event;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_FORWARD_PARAMETERS_H_
