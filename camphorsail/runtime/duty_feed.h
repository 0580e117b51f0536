#ifndef CAMPHORSAIL_RUNTIME_DUTY_FEED_H_
#define CAMPHORSAIL_RUNTIME_DUTY_FEED_H_

#include <map>
#include <optional>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/duties/duty_inputs.h"
#include "camphorsail/duties/duty_store.h"
#include "camphorsail/duties/provider_call.h"
#include "camphorsail/gateway/gateway_group_load.h"
#include "camphorsail/membership/server_registry.h"
#include "camphorsail/process/options.h"
#include "camphorsail/routing/routing_table.h"
#include "camphorsail/scaling/capacity_planner.h"
#include "camphorsail/usage/true_clock.h"
#include "camphorsail/usage/usage_collector.h"
#include "camphorsail/usage/usage_count.h"
#include "camphorsail/usage/usage_settings.h"

namespace camphorsail {

/// Collects what the duties need on one replica: the usage that gateways
/// report, the clocks of the other replicas, and supply and demand of the
/// services whose servers can be ordered. Thread-safe.
class DutyFeed {
 public:
  explicit DutyFeed(const Options& options);

  /// @return True when gateways report usage to this replica.
  bool CountsUsage() const { return usage_settings_.IsCounted(); }

  void OnGatewayUsage(const GatewayUsage& usage, MonoTime now);
  /// Takes counts that another replica forwards.
  void OnReplicaUsage(const std::vector<GatewayUsage>& usages, MonoTime now);
  /// Takes the wall clock of a replica, this one included.
  void OnClock(const VmId& vm, absl::Time wall, MonoTime now);
  /// @return Estimate of true time.
  absl::Time TrueTime(MonoTime now);

  /// @param leader VM that reports usage.
  /// @return The counts to forward to it.
  std::vector<GatewayUsage> UsageToForward(const VmId& leader, MonoTime now);

  /// Builds the inputs of the duties. To be called on the leader, at any
  /// interval.
  DutyInputs MakeInputs(const ServerRegistry& registry,
                        const RoutingTable& table,
                        const DutyStore& store,
                        const GatewayGroupLoad& load,
                        MonoTime now);
  /// Records the end of a call to the provider.
  void OnCallEnded(const ProviderCall& call,
                   ProviderOutcome outcome,
                   MonoTime now);
  /// Records that this replica does not lead.
  void OnNotLeading();

 private:
  /// Time after which a new leader has the counts of all replicas.
  static constexpr absl::Duration kCollectTime = absl::Seconds(2);

  std::vector<WantedServers> PlanServers(const ServerRegistry& registry,
                                         const RoutingTable& table,
                                         const DutyStore& store,
                                         const GatewayGroupLoad& load,
                                         MonoTime now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  std::vector<UsageWindow> CloseWindows(MonoTime now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const ProviderDuties duties_;
  const UsageSettings usage_settings_;
  absl::Mutex mutex_;
  UsageCollector usage_ ABSL_GUARDED_BY(mutex_);
  TrueClock clock_ ABSL_GUARDED_BY(mutex_);
  /// Only on the leader; a new leader has a new planner.
  std::optional<CapacityPlanner> planner_ ABSL_GUARDED_BY(mutex_);
  /// Servers of each service in the last plan.
  std::map<ModelId, int> planned_servers_ ABSL_GUARDED_BY(mutex_);
  std::optional<MonoTime> leading_since_ ABSL_GUARDED_BY(mutex_);
  /// The replica to which counts were forwarded last.
  VmId forwarded_to_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_DUTY_FEED_H_
