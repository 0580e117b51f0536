#ifndef CAMPHORSAIL_GATEWAY_GATEWAY_GROUP_LOAD_H_
#define CAMPHORSAIL_GATEWAY_GATEWAY_GROUP_LOAD_H_

#include <cstdint>
#include <vector>

#include "camphorsail/gateway/engine_load.h"
#include "camphorsail/gateway/lane_demand.h"

namespace camphorsail {

/// What a replica tells the other replicas of the gateways that poll it.
struct GatewayGroupLoad {
  uint32_t gateways = 0;
  /// Sum over these gateways.
  std::vector<EngineLoad> loads;
  LaneDemand demand;

  MSGPACK_DEFINE(gateways, loads, demand)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_GATEWAY_GROUP_LOAD_H_
