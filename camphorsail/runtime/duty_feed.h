#ifndef CAMPHORSAIL_RUNTIME_DUTY_FEED_H_
#define CAMPHORSAIL_RUNTIME_DUTY_FEED_H_

#include <map>
#include <optional>
#include <set>
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
  bool CountsUsage() const {
    return usage_settings_.IsCounted() && duties_.usage;
  }

  void OnGatewayUsage(const GatewayUsage& usage, MonoTime now);
  /// Takes counts that another replica forwards, or its acknowledgement of
  /// counts that this one has forwarded.
  /// @return The acknowledgement to send; nothing when this replica does not
  /// lead in the sender's term.
  std::optional<UsageForward> OnForward(const UsageForward& forward,
                                        MonoTime now);
  /// Takes the wall clock of a replica, this one included.
  void OnClock(const VmId& vm, absl::Time wall, MonoTime now);
  /// @return Estimate of true time.
  absl::Time TrueTime(MonoTime now);

  /// To be called on a replica that does not lead, at any interval.
  /// @param agreed Windows whose reports are fixed.
  /// @return The counts to forward to the leader.
  UsageForward StepFollower(TermNumber term,
                            const std::set<UsageWindowNumber>& agreed,
                            MonoTime now);

  /// The replicated state on which the inputs of the duties depend.
  struct LeaderState {
    /// Term in which this replica leads.
    TermNumber term;
    /// Windows whose reports are fixed.
    std::set<UsageWindowNumber> agreed;
    std::map<ServerOrderSubject, AcceptedOrder> orders;
  };
  /// Builds the inputs of the duties. To be called on the leader, at any
  /// interval.
  DutyInputs MakeInputs(const ServerRegistry& registry,
                        const RoutingTable& table,
                        const LeaderState& state,
                        const GatewayGroupLoad& load,
                        MonoTime now);
  /// Records the end of a call to the provider.
  void OnCallEnded(const ProviderCall& call,
                   ProviderOutcome outcome,
                   MonoTime now);

 private:
  /// Time after which a new leader has the counts of all replicas.
  static constexpr absl::Duration kCollectTime = absl::Seconds(2);

  std::vector<WantedServers> PlanServers(const ServerRegistry& registry,
                                         const RoutingTable& table,
                                         const LeaderState& state,
                                         const GatewayGroupLoad& load,
                                         MonoTime now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  std::vector<UsageWindow> CloseWindows(
      const std::set<UsageWindowNumber>& agreed,
      MonoTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  /// Removes old windows and logs what no report will contain.
  void TidyUsage(const std::set<UsageWindowNumber>& agreed, MonoTime now)
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
  /// Term in which this replica leads; zero when it does not.
  TermNumber leading_term_ ABSL_GUARDED_BY(mutex_);
  /// Term to whose leader counts were forwarded last.
  TermNumber forwarded_in_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_DUTY_FEED_H_
