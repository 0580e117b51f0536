#ifndef CAMPHORSAIL_SCALING_SERVER_DIVISION_H_
#define CAMPHORSAIL_SCALING_SERVER_DIVISION_H_

#include <map>

#include "camphorsail/routing/scaling_profile.h"
#include "camphorsail/scaling/capacity_planner_settings.h"
#include "camphorsail/scaling/server_order.h"

namespace camphorsail {

/// Divides the servers of a service among failure domains and tenures: a small
/// part is regular, the rest reclaimable, spread with a limited preference for
/// cheaper failure domains. What cannot be had as reclaimable servers is
/// regular.
///
/// @param total Number of servers to divide.
/// @param caps The largest count of each subject that the provider can run at
///     the moment; has every subject of the service.
/// @return The count of each subject in `caps`. The sum is smaller than `total`
///     when the provider's limits and `caps` do not allow more.
std::map<ServerOrderSubject, int> DivideServers(
    const ScalingProfile& scaling,
    const CapacityPlannerSettings& settings,
    int total,
    const std::map<ServerOrderSubject, int>& caps);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCALING_SERVER_DIVISION_H_
