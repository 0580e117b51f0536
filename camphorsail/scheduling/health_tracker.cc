#include "camphorsail/scheduling/health_tracker.h"

#include <algorithm>

namespace camphorsail {
namespace {

CircuitBreakerSettings BreakerSettings(HealthVariant variant) {
  if (variant == HealthVariant::kSmallCircuitBreaker) {
    return {.history_size = 40,
            .min_outcomes = 8,
            .failure_threshold = 0.5,
            .test_history_size = 10,
            .skipped_per_group = 50,
            .test_group_size = 2};
  }
  return {};
}

// Speed observations needed before a server can become an outlier by its speed.
constexpr int kMinSamples = 4;
// Weight of a new observation in the smoothed slowdown. Large enough to detect
// a slow server within about ten observations, small enough that a single
// preempted stream does not make a server an outlier.
constexpr double kSlowdownGain = 0.15;
// Upper bound of one observation, so that a single stalled stream does not make
// a server look slow.
constexpr double kMaxRatio = 4;

}  // namespace

HealthTracker::HealthTracker(HealthVariant variant)
    : variant_(variant), breaker_(BreakerSettings(variant)) {}

void HealthTracker::OnTimeRatio(double ratio) {
  slowdown_ += kSlowdownGain * (std::min(ratio, kMaxRatio) - slowdown_);
  ++samples_;
  if (variant_ != HealthVariant::kOutlierDetection) {
    if (variant_ != HealthVariant::kNone) {
      breaker_.OnOutcome(ratio < kOutlierSlowdown);
    }
    return;
  }
  if (!outlier_ && samples_ >= kMinSamples && slowdown_ > kOutlierSlowdown) {
    outlier_ = true;
  } else if (outlier_ && slowdown_ < kRecoveredSlowdown &&
             consecutive_failures_ == 0) {
    outlier_ = false;
  }
}

void HealthTracker::OnResult(bool success, MonoTime now) {
  if (variant_ == HealthVariant::kNone) {
    return;
  }
  if (variant_ != HealthVariant::kOutlierDetection) {
    if (!success) {
      breaker_.OnOutcome(false);
    }
    return;
  }
  if (success) {
    consecutive_failures_ = 0;
    if (outlier_ && slowdown_ < kRecoveredSlowdown) {
      outlier_ = false;
    }
    return;
  }
  ++consecutive_failures_;
  if (consecutive_failures_ >= kMaxConsecutiveFailures) {
    outlier_ = true;
    const int doublings =
        std::min(3, consecutive_failures_ - kMaxConsecutiveFailures);
    probe_at_ =
        now + std::min(kMaxBackoff, kFirstBackoff * (int64_t{1} << doublings));
  }
}

int HealthTracker::SlotLimit(int slots, MonoTime now) const {
  if (!outlier_) {
    return slots;
  }
  return now < probe_at_ ? 0 : std::min(slots, 1);
}

}  // namespace camphorsail
