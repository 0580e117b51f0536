#ifndef CAMPHORSAIL_GATEWAY_GATEWAY_GROUP_LOAD_H_
#define CAMPHORSAIL_GATEWAY_GATEWAY_GROUP_LOAD_H_

#include <cstdint>
#include <vector>

#include "camphorsail/placement/engine_demand.h"
#include "camphorsail/placement/gateway_server_load.h"
#include "camphorsail/placement/service_account_work.h"
#include "camphorsail/placement/service_admission_state.h"
#include "camphorsail/quarantine/quarantine_report.h"

namespace camphorsail {

/// Total load of the gateways that poll one replica. The replica sends it to
/// the other replicas.
struct GatewayGroupLoad {
  /// Number of these gateways.
  uint32_t gateways = 0;
  /// Sum of the loads of these gateways, by server.
  std::vector<GatewayServerLoad> loads;
  /// Sum of the demands of these gateways.
  EngineDemand demand;
  /// What these gateways together know about overloaded services.
  std::vector<ServiceAdmissionState> admission;
  QuarantineReport quarantine;
  /// Wall clock of the replica, in microseconds since the Unix epoch, see
  /// `TrueClock`; zero when it does not count usage.
  int64_t wall_micros = 0;
  /// Work of the accounts at overloaded services, at these gateways together.
  std::vector<ServiceAccountWork> accounts;

  MSGPACK_DEFINE(gateways,
                 loads,
                 demand,
                 admission,
                 quarantine,
                 wall_micros,
                 accounts)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_GATEWAY_GROUP_LOAD_H_
