#ifndef CAMPHORSAIL_SCALING_SERVICE_CAPACITY_H_
#define CAMPHORSAIL_SCALING_SERVICE_CAPACITY_H_

#include <map>

#include "camphorsail/base/ids.h"
#include "camphorsail/routing/scaling_profile.h"

namespace camphorsail {

/// The servers of one service in one failure domain, as they announce
/// themselves. Servers that leave are not counted, except in
/// `reclaimable_leaving`.
struct DomainSupply {
  int regular = 0;
  int reclaimable = 0;
  int reclaimable_leaving = 0;
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
  /// Reclaimable servers that the provider was last ordered to run, in all
  /// failure domains; zero before the first order.
  int ordered_reclaimable = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCALING_SERVICE_CAPACITY_H_
