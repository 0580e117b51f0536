#ifndef CAMPHORSAIL_SCHEDULING_SCHEDULER_SETTINGS_H_
#define CAMPHORSAIL_SCHEDULING_SCHEDULER_SETTINGS_H_

#include <cstdint>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"

namespace camphorsail {

/// How the planned length of an answer is derived from the observed lengths.
enum class LengthPlan : uint8_t {
  /// The quantile `length_quantile` of the matching distribution.
  kQuantile,
  /// The mean of the matching distribution.
  kMean,
  /// The request's own upper bound, without an estimate. The bound of a service
  /// call is in milliseconds.
  kMaximum,
};

/// How slow or failing servers are detected.
enum class HealthVariant : uint8_t {
  kOutlierDetection,
  kCircuitBreaker,
  /// Circuit breaker with short histories, which opens sooner.
  kSmallCircuitBreaker,
  /// No detection.
  kNone,
};

/// Settings of one VM's `Scheduler`.
struct SchedulerSettings {
  VmId vm;
  FailureDomainId failure_domain;
  /// Seed for the random choice of candidate servers.
  uint64_t seed = 1;
  /// Number of VMs that share the servers. Assumed after the start, until
  /// the digests of the peers have arrived.
  int vm_count = 1;
  /// Random candidates examined per routing decision.
  int candidates = 3;
  LengthPlan length_plan = LengthPlan::kQuantile;
  /// Quantile of the length distribution used for planning.
  double length_quantile = 0.95;
  HealthVariant health = HealthVariant::kOutlierDetection;
  /// Seconds per output token assumed before any is observed.
  double initial_seconds_per_token = 0.03;
  /// Initial value of the speed estimate of a pool of services, in seconds. Has
  /// no effect on admission or routing, which take the duration of a service
  /// call from the `LengthEstimator`.
  double initial_service_seconds = 0.3;
  /// Seconds per prompt token assumed before any is observed.
  double initial_seconds_per_prompt_token = 0.0005;

  /// @return `kSettingsInvalid` with a message that names the setting when one
  /// is out of range.
  Expected<void> Validate() const;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_SCHEDULER_SETTINGS_H_
