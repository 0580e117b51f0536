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

  LaneDemand& operator+=(const LaneDemand& other) {
    quick += other.quick;
    bulk += other.bulk;
    return *this;
  }

  MSGPACK_DEFINE(quick, bulk)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_LANE_DEMAND_H_
