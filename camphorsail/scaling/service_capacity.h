#ifndef CAMPHORSAIL_SCALING_SERVICE_CAPACITY_H_
#define CAMPHORSAIL_SCALING_SERVICE_CAPACITY_H_

#include <map>
#include <optional>

#include "camphorsail/base/ids.h"
#include "camphorsail/routing/scaling_profile.h"
#include "camphorsail/scaling/server_order.h"

namespace camphorsail {

/// The servers of one service and tenure in one failure domain.
struct TenureSupply {
  /// Servers that announce themselves and do not leave.
  int present = 0;
  /// Count of the last order that the provider accepted.
  std::optional<int> ordered;
};

/// The servers of one service in one failure domain.
struct DomainSupply {
  TenureSupply regular;
  TenureSupply reclaimable;
  /// Reclaimable servers that have announced that they leave.
  int reclaimable_leaving = 0;

  const TenureSupply& Of(ServerTenure tenure) const {
    return tenure == ServerTenure::kRegular ? regular : reclaimable;
  }
  TenureSupply& Of(ServerTenure tenure) {
    return tenure == ServerTenure::kRegular ? regular : reclaimable;
  }
};

/// Supply and demand of one service whose servers can be ordered.
struct ServiceCapacity {
  ModelId service;
  ScalingProfile scaling;
  /// Every failure domain in which the provider has servers.
  std::map<FailureDomainId, DomainSupply> domains;
  /// Server time that the arriving requests take, in servers.
  double arriving_work = 0;
  /// Slots that are taken by requests in progress, in servers.
  double occupied = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCALING_SERVICE_CAPACITY_H_
