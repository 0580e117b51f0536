#ifndef CAMPHORSAIL_GATEWAY_GATEWAY_UPDATE_H_
#define CAMPHORSAIL_GATEWAY_GATEWAY_UPDATE_H_

#include <cstdint>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"
#include "camphorsail/gateway/engine_load.h"
#include "camphorsail/gateway/lane_demand.h"
#include "camphorsail/routing/routing_table.h"

namespace camphorsail {

/// A replica tells a gateway what is in force: as the answer to a poll, and
/// unasked when the routing table changes.
struct GatewayUpdate {
  /// Token of the poll that this answers; zero when unasked.
  uint64_t token = 0;
  /// True when a quorum confirmed after the poll that nothing newer is
  /// committed.
  bool confirmed = false;
  uint64_t table_version = 0;
  /// At most one table, absent when the gateway has this version.
  std::vector<RoutingTable> table;
  /// VMs with a replica.
  std::vector<VmId> replicas;
  /// Gateways that are running, the requests of all but the receiver, and the
  /// demand of all.
  uint32_t gateways = 0;
  std::vector<EngineLoad> loads;
  LaneDemand demand;

  MSGPACK_DEFINE(token,
                 confirmed,
                 table_version,
                 table,
                 replicas,
                 gateways,
                 loads,
                 demand)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_GATEWAY_UPDATE_H_
