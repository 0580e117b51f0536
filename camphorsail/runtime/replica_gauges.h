#ifndef CAMPHORSAIL_RUNTIME_REPLICA_GAUGES_H_
#define CAMPHORSAIL_RUNTIME_REPLICA_GAUGES_H_

#include "camphorsail/base/mono_time.h"
#include "camphorsail/control/control_node.h"
#include "camphorsail/process/metrics.h"
#include "camphorsail/process/process_metrics.h"

namespace camphorsail {

/// The metrics of a VM's replica, updated when they are read. Owned by the
/// daemon; thread-safe.
class ReplicaGauges {
 public:
  /// @param metrics Outlives this object; families are declared here.
  explicit ReplicaGauges(Metrics* metrics);

  /// @param node Must not change during the call.
  void Update(const ControlNode& node, MonoTime now);
  /// Updates the metrics of the process.
  void UpdateProcess() { process_.Update(); }

 private:
  Metrics* const metrics_;
  ProcessMetrics process_;
  MetricId leads_;
  MetricId has_leader_;
  MetricId term_;
  MetricId commit_;
  MetricId voters_;
  MetricId learners_;
  MetricId quorum_age_;
  MetricId lease_;
  MetricId settings_version_;
  MetricId table_version_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_REPLICA_GAUGES_H_
