#ifndef CAMPHORSAIL_GATEWAY_GATEWAY_POLL_H_
#define CAMPHORSAIL_GATEWAY_GATEWAY_POLL_H_

#include <cstdint>
#include <vector>

#include "camphorsail/gateway/engine_load.h"
#include "camphorsail/gateway/lane_demand.h"
#include "camphorsail/gateway/refusal_report.h"

namespace camphorsail {

/// A gateway asks a replica to confirm its routing table. The answer, a
/// `GatewayUpdate`, is a lease from the time at which the poll was sent.
struct GatewayPoll {
  /// Chosen by the gateway, larger in each poll of one process.
  uint64_t token = 0;
  /// Version that the gateway has; zero for none.
  uint64_t table_version = 0;
  /// The gateway's own requests, for the placement of the others.
  std::vector<EngineLoad> loads;
  LaneDemand demand;
  /// Minutes to record.
  std::vector<RefusalReport> refusals;

  MSGPACK_DEFINE(token, table_version, loads, demand, refusals)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_GATEWAY_POLL_H_
