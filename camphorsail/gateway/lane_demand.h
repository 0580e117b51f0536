#ifndef CAMPHORSAIL_GATEWAY_LANE_DEMAND_H_
#define CAMPHORSAIL_GATEWAY_LANE_DEMAND_H_

#include "msgpack.hpp"

namespace camphorsail {

/// Work that arrives for the engines, in milliseconds of engine time per
/// second. Determines how the engines are divided into lanes.
struct LaneDemand {
  /// Work of the streams with a short latency objective for the first event.
  double quick = 0;
  /// Work of all other requests to engines.
  double bulk = 0;
  /// Requests of both kinds per second; tells how accurate the other two values
  /// are.
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
