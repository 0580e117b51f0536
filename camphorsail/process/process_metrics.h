#ifndef CAMPHORSAIL_PROCESS_PROCESS_METRICS_H_
#define CAMPHORSAIL_PROCESS_PROCESS_METRICS_H_

#include "camphorsail/process/metrics.h"

namespace camphorsail {

/// Metrics of the process itself: processor time, peak memory and dropped log
/// lines. Owned by the daemon; thread-safe.
class ProcessMetrics {
 public:
  /// @param metrics Outlives this object; families are declared here.
  explicit ProcessMetrics(Metrics* metrics);

  /// Updates the metrics. Call before they are rendered.
  void Update();

 private:
  Metrics* const metrics_;
  MetricId cpu_;
  MetricId peak_memory_;
  MetricId dropped_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_PROCESS_METRICS_H_
