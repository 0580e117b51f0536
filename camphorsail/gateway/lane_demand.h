#ifndef CAMPHORSAIL_GATEWAY_LANE_DEMAND_H_
#define CAMPHORSAIL_GATEWAY_LANE_DEMAND_H_

#include "msgpack.hpp"

namespace camphorsail {

/// Work that arrives for the engines, in engine milliseconds per second.
struct LaneDemand {
  /// Streams whose first event is due early.
  double quick = 0;
  /// All other streams.
  double bulk = 0;
  /// Requests of both kinds per second, which tell how exact the sums are.
  double requests = 0;

  LaneDemand& operator+=(const LaneDemand& other) {
    quick += other.quick;
    bulk += other.bulk;
    requests += other.requests;
    return *this;
  }

  MSGPACK_DEFINE(quick, bulk, requests)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_LANE_DEMAND_H_
