#ifndef CAMPHORSAIL_RUNTIME_REQUEST_TELEMETRY_H_
#define CAMPHORSAIL_RUNTIME_REQUEST_TELEMETRY_H_

#include <string>
#include <utility>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/entry/record_refusal_action.h"
#include "camphorsail/entry/timeline_action.h"
#include "camphorsail/peer/shared_hybrid_clock.h"
#include "camphorsail/process/metrics.h"
#include "camphorsail/timeline/timeline_buffer.h"

namespace camphorsail {

/// Writes the decisions of one VM to its log, timeline and metrics. Owned by
/// the daemon; thread-safe.
class RequestTelemetry {
 public:
  /// @param metrics Metric families are declared here, so no other thread may
  /// use it yet.
  RequestTelemetry(VmId vm,
                   SharedHybridClock* clock,
                   TimelineBuffer* timeline,
                   Metrics* metrics);

  /// Records a decision about a request.
  void Record(const TimelineAction& action);
  /// Counts a refused or failed request.
  void Record(const RecordRefusalAction& action);
  /// Records any other event, for example an election.
  void Record(const std::string& kind,
              std::vector<std::pair<std::string, std::string>> inputs);

 private:
  const VmId vm_;
  SharedHybridClock* const clock_;
  TimelineBuffer* const timeline_;
  Metrics* const metrics_;
  MetricId decisions_;
  MetricId refusals_;
  MetricId first_token_;
  MetricId whole_answer_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_REQUEST_TELEMETRY_H_
