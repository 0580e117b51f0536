#ifndef CAMPHORSAIL_GATEWAY_GATEWAY_POLL_H_
#define CAMPHORSAIL_GATEWAY_GATEWAY_POLL_H_

#include <cstdint>
#include <vector>

#include "camphorsail/gateway/refusal_report.h"
#include "camphorsail/placement/engine_demand.h"
#include "camphorsail/placement/gateway_server_load.h"
#include "camphorsail/placement/service_account_work.h"
#include "camphorsail/placement/service_admission_state.h"
#include "camphorsail/quarantine/quarantine_report.h"
#include "camphorsail/usage/usage_count.h"

namespace camphorsail {

/// Message by which a gateway asks a replica of the control state (see
/// `Replica`) to confirm its routing table. The answer, a `GatewayUpdate`,
/// grants a lease that begins at the time at which the poll was sent.
struct GatewayPoll {
  /// Identifies the poll; increases with each poll of a gateway process.
  uint64_t token = 0;
  /// Version of the gateway's routing table; zero when it has none.
  uint64_t table_version = 0;
  /// Load of this gateway on the servers, which the other gateways use for
  /// placement.
  std::vector<GatewayServerLoad> loads;
  /// Work that arrives at this gateway.
  EngineDemand demand;
  /// Refusals that the replica is to record, see `RefusalReport`.
  std::vector<RefusalReport> refusals;
  /// What this gateway knows about overloaded services.
  std::vector<ServiceAdmissionState> admission;
  QuarantineReport quarantine;
  /// Counts that changed since an answered poll carried them, see `UsageMeter`.
  std::vector<UsageCount> usage;
  /// Work of the accounts at overloaded services; carried only while there are
  /// any, see `AccountShares`.
  std::vector<ServiceAccountWork> accounts;

  MSGPACK_DEFINE(token,
                 table_version,
                 loads,
                 demand,
                 refusals,
                 admission,
                 quarantine,
                 usage,
                 accounts)
};

/// The bits of a poll's token above these identify the start of the gateway's
/// process.
inline constexpr int kPollProcessShift = 32;

/// @return Identifies the start of the gateway's process.
inline uint64_t ProcessOf(const GatewayPoll& poll) {
  return poll.token >> kPollProcessShift;
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_GATEWAY_POLL_H_
