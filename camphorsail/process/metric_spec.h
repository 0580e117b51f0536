#ifndef CAMPHORSAIL_PROCESS_METRIC_SPEC_H_
#define CAMPHORSAIL_PROCESS_METRIC_SPEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "camphorsail/base/strong_id.h"

namespace camphorsail {

/// A metric family of a `Metrics` object.
using MetricId = StrongId<struct MetricIdTag, size_t>;

enum class MetricKind : uint8_t { kCounter, kGauge, kLatency };

/// The declaration of one metric family.
struct MetricSpec {
  /// Prometheus name with its unit, such as `camphorsail_ttft_seconds`.
  std::string name;
  MetricKind kind = MetricKind::kCounter;
  std::string help;
  /// Names of the labels; every update gives their values in this order.
  std::vector<std::string> labels;
  /// Largest number of series, one per combination of label values. Further
  /// combinations share one series whose labels are all `overflow`.
  size_t max_series = 256;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_METRIC_SPEC_H_
