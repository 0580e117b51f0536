#ifndef CAMPHORSAIL_SCALING_CAPACITY_PLANNER_H_
#define CAMPHORSAIL_SCALING_CAPACITY_PLANNER_H_

#include <map>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/duties/duty_inputs.h"
#include "camphorsail/scaling/capacity_planner_settings.h"
#include "camphorsail/scaling/demand_history.h"
#include "camphorsail/scaling/server_order.h"
#include "camphorsail/scaling/service_capacity.h"
#include "camphorsail/scaling/subject_plan.h"

namespace camphorsail {

/// Decides how many servers of each kind a service needs in each failure
/// domain.
///
/// Answers demand that rises faster than a server starts, and reclaimable
/// servers that leave a failure domain all at once. The number of servers
/// covers a rise of the highest recent demand, and what remains without any one
/// failure domain still covers the demand itself. Most servers are reclaimable
/// and spread over the failure domains; servers that go are replaced elsewhere
/// at once. A fleet that suffices is kept: the need must change by a step
/// before servers are ordered or given back, and servers are exchanged for
/// others a step at a time, the new ones first.
///
/// Not thread-safe.
class CapacityPlanner {
 public:
  explicit CapacityPlanner(const CapacityPlannerSettings& settings)
      : settings_(settings) {}

  /// @return The servers that the service is to have, for each failure domain
  /// and kind. Empty when nothing is to change because too little is known.
  std::vector<WantedServers> Plan(const ServiceCapacity& capacity,
                                  MonoTime now);
  /// Records that the provider refused an order because it had no more servers
  /// of the subject.
  void OnShortage(const ServerOrderSubject& subject, MonoTime now);

 private:
  /// What is remembered of a service.
  struct ServicePlan {
    explicit ServicePlan(const CapacityPlannerSettings& settings)
        : demand(settings.average_time, settings.memory) {}

    MonoTime first_seen;
    DemandHistory demand;
    /// Highest number of present servers, and when it last grew.
    int most_present = 0;
    MonoTime grown_at;
    /// Servers that an earlier holder of the duties, or the operators before
    /// the first order, found necessary.
    int initial_servers = 0;
    /// Number of servers that the service is to have in all.
    int total = 0;
    std::map<ServerOrderSubject, SubjectPlan> subjects;
    MonoTime next_release;
  };

  /// Bounds of a change that exchanges servers or gives some back.
  struct ChangeBounds {
    /// Servers beyond the target below which the fleet is kept as it is.
    int smallest = 1;
    /// Servers that are exchanged or given back at a time.
    int largest = 0;
  };

  /// Adds the subjects of new failure domains, with the count of the last
  /// order, or that of the servers that are present where there was none.
  void AddSubjects(const ServiceCapacity& capacity,
                   MonoTime now,
                   ServicePlan* plan) const;
  /// Takes the servers that are present into account, and those that cannot be
  /// had or leave.
  void RecordSupply(const ServiceCapacity& capacity,
                    MonoTime now,
                    ServicePlan* plan) const;
  void UpdateTotal(const ServiceCapacity& capacity,
                   MonoTime now,
                   ServicePlan* plan) const;
  /// Gives servers back that are not needed beside those that are present.
  void Release(const std::map<ServerOrderSubject, int>& target,
               const ChangeBounds& change,
               MonoTime now,
               ServicePlan* plan) const;
  /// Adds servers that are missing, and some in exchange for others.
  void Raise(const std::map<ServerOrderSubject, int>& target,
             const ChangeBounds& change,
             int max_servers,
             MonoTime now,
             ServicePlan* plan) const;
  /// @return Size of a change of so many servers.
  int Step(int servers) const;

  const CapacityPlannerSettings settings_;
  std::map<ModelId, ServicePlan> services_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCALING_CAPACITY_PLANNER_H_
