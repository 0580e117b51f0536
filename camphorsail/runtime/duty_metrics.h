#ifndef CAMPHORSAIL_RUNTIME_DUTY_METRICS_H_
#define CAMPHORSAIL_RUNTIME_DUTY_METRICS_H_

#include "camphorsail/control/control_node.h"
#include "camphorsail/duties/provider_call.h"
#include "camphorsail/process/metrics.h"

namespace camphorsail {

/// The metrics of the calls to the provider. Owned by the daemon; thread-safe.
class DutyMetrics {
 public:
  /// @param metrics Outlives this object; families are declared here.
  explicit DutyMetrics(Metrics* metrics);

  /// Counts a call that has ended.
  void OnCallEnded(const ProviderCall& call, ProviderOutcome outcome);
  /// @param node Must not change during the call.
  /// @param vm This VM.
  void Update(const ControlNode& node, const VmId& vm);

 private:
  Metrics* const metrics_;
  MetricId calls_;
  MetricId holds_duties_;
  MetricId token_;
  MetricId open_windows_;
  MetricId abandoned_windows_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_DUTY_METRICS_H_
