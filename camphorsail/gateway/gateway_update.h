#ifndef CAMPHORSAIL_GATEWAY_GATEWAY_UPDATE_H_
#define CAMPHORSAIL_GATEWAY_GATEWAY_UPDATE_H_

#include <cstdint>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"
#include "camphorsail/placement/engine_demand.h"
#include "camphorsail/placement/gateway_server_load.h"
#include "camphorsail/placement/service_account_work.h"
#include "camphorsail/placement/service_admission_state.h"
#include "camphorsail/quarantine/quarantine_report.h"
#include "camphorsail/routing/routing_table.h"
#include "camphorsail/routing/routing_table_delta.h"

namespace camphorsail {

/// Message by which a replica gives a gateway the current state of the cluster:
/// as the answer to a `GatewayPoll`, and unsolicited when the routing table
/// changes.
struct GatewayUpdate {
  /// Token of the poll that is answered; zero for an unsolicited update.
  uint64_t token = 0;
  /// True when a quorum confirmed, after the poll was received, that no newer
  /// table is committed.
  bool confirmed = false;
  /// Version of the current routing table.
  uint64_t table_version = 0;
  /// The current table without its document, for a gateway whose table is too
  /// old for `deltas`; otherwise empty. Never contains more than one table.
  std::vector<RoutingTable> table;
  /// VMs on which a replica runs.
  std::vector<VmId> replicas;
  /// Number of running gateways.
  uint32_t gateways = 0;
  /// Total load of all gateways except the receiver, by server.
  std::vector<GatewayServerLoad> loads;
  /// Total demand at all gateways.
  EngineDemand demand;
  /// The deltas that lead from the gateway's table to the current one, in their
  /// order.
  std::vector<RoutingTableDelta> deltas;
  /// What all gateways together know about overloaded services.
  std::vector<ServiceAdmissionState> admission;
  /// Only in the answer to a poll.
  QuarantineUpdate quarantine;
  /// True time when the update was sent, in microseconds since the Unix epoch;
  /// zero when the replica does not count usage.
  int64_t true_micros = 0;
  /// Work of the accounts at overloaded services, at all gateways together.
  std::vector<ServiceAccountWork> accounts;

  MSGPACK_DEFINE(token,
                 confirmed,
                 table_version,
                 table,
                 replicas,
                 gateways,
                 loads,
                 demand,
                 deltas,
                 admission,
                 quarantine,
                 true_micros,
                 accounts)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_GATEWAY_UPDATE_H_
