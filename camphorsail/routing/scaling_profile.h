#ifndef CAMPHORSAIL_ROUTING_SCALING_PROFILE_H_
#define CAMPHORSAIL_ROUTING_SCALING_PROFILE_H_

#include <cstdint>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// Price of a regular server in one failure domain, in any unit.
struct FailureDomainPrice {
  FailureDomainId failure_domain;
  double price = 0;

  friend bool operator==(const FailureDomainPrice&,
                         const FailureDomainPrice&) = default;
  MSGPACK_DEFINE(failure_domain, price)
};

/// How the number of servers of a service may be changed by orders to the
/// provider.
struct ScalingProfile {
  /// False when the provider takes no orders for the service.
  bool enabled = false;
  /// Bounds of the number of servers in each failure domain, of both tenures
  /// together.
  int min_servers = 0;
  int max_servers = 0;
  /// Time from an order until a new server serves, in milliseconds.
  int64_t boot_time_ms = 0;
  /// Price of a reclaimable server as a fraction of that of a regular one; zero
  /// when there are none.
  double reclaimable_price = 0;
  /// The failure domains in which the provider has servers.
  std::vector<FailureDomainPrice> prices;

  friend bool operator==(const ScalingProfile&,
                         const ScalingProfile&) = default;
  MSGPACK_DEFINE(enabled,
                 min_servers,
                 max_servers,
                 boot_time_ms,
                 reclaimable_price,
                 prices)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ROUTING_SCALING_PROFILE_H_
