#ifndef CAMPHORSAIL_SCALING_CAPACITY_PLANNER_H_
#define CAMPHORSAIL_SCALING_CAPACITY_PLANNER_H_

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/duties/duty_inputs.h"
#include "camphorsail/scaling/capacity_planner_settings.h"
#include "camphorsail/scaling/server_order.h"
#include "camphorsail/scaling/service_capacity.h"

namespace camphorsail {

/// Decides how many servers of each kind a service needs in each failure
/// domain.
///
/// Answers demand that rises faster than a server starts, and reclaimable
/// servers that leave a failure domain all at once. The number of servers
/// covers a rise of the highest recent demand, and what remains without any one
/// failure domain still covers the demand itself. Most servers are reclaimable
/// and spread over the failure domains; servers that go are replaced elsewhere
/// at once. Servers are given back slowly, and only when those that replace
/// them are present.
///
/// Not thread-safe.
class CapacityPlanner {
 public:
  explicit CapacityPlanner(const CapacityPlannerSettings& settings)
      : settings_(settings) {}

  /// @return The servers that the service is to have, for each failure domain
  /// and kind.
  std::vector<WantedServers> Plan(const ServiceCapacity& capacity,
                                  MonoTime now);
  /// Records that the provider had no reclaimable server in a failure domain.
  void OnShortage(const ServerOrderSubject& subject, MonoTime now);

 private:
  struct Sample {
    MonoTime at;
    double servers = 0;
  };
  /// What is remembered of a service.
  struct ServiceHistory {
    MonoTime first_seen;
    /// Servers that an earlier holder of the duties, or the operators before
    /// the first order, found necessary.
    int initial_servers = 0;
    /// Moving average of the demand, in servers, and when it was updated.
    double average = 0;
    MonoTime averaged_at;
    /// Maxima of the demand, oldest first with decreasing values.
    std::deque<Sample> peaks;
    /// Failure domains without reclaimable servers at the moment.
    std::map<FailureDomainId, MonoTime> short_until;
    /// The counts of the last plan.
    std::map<ServerOrderSubject, int> planned;
    MonoTime next_release;
  };

  /// Takes the demand of this moment into account.
  void RecordDemand(const ServiceCapacity& capacity,
                    ServiceHistory* history,
                    MonoTime now) const;
  /// Finds the failure domains whose reclaimable servers leave.
  void RecordReclaims(const ServiceCapacity& capacity,
                      ServiceHistory* history,
                      MonoTime now) const;
  /// @return True while the provider has no more reclaimable servers in the
  /// failure domain.
  static bool IsShort(const ServiceHistory& history,
                      const FailureDomainId& domain,
                      MonoTime now);
  /// @return Number of servers that the service needs in all.
  int TotalServers(const ServiceCapacity& capacity,
                   const ServiceHistory& history,
                   MonoTime now) const;
  /// Divides the servers among failure domains and kinds.
  std::map<ServerOrderSubject, int> Divide(const ServiceCapacity& capacity,
                                           const ServiceHistory& history,
                                           int total,
                                           MonoTime now) const;
  /// Limits how many servers the plan gives back.
  void LimitReleases(const ServiceCapacity& capacity,
                     int total,
                     ServiceHistory* history,
                     MonoTime now,
                     std::map<ServerOrderSubject, int>* plan) const;

  const CapacityPlannerSettings settings_;
  std::map<ModelId, ServiceHistory> services_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCALING_CAPACITY_PLANNER_H_
