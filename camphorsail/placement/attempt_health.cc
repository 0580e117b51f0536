#include "camphorsail/placement/attempt_health.h"

#include <algorithm>
#include <cmath>

namespace camphorsail {
namespace {

/// Weight of the latest attempt in the moving averages.
constexpr double kLatestWeight = 0.2;
/// Time in which the failure rate and the excess response time halve when no
/// attempts are made.
constexpr double kHalfLifeSeconds = 3;
/// Ratio of response times below which a server does not count as slow. Smaller
/// differences come from queues and prompt lengths.
constexpr double kMinSlowdown = 2;
/// Consecutive failures after which a server is suspended.
constexpr int kFailuresToSuspend = 4;
/// Length of the first suspension; each further one is twice as long.
constexpr absl::Duration kFirstSuspension = absl::Milliseconds(500);
constexpr absl::Duration kLongestSuspension = absl::Seconds(4);

/// @return Factor by which an average has decayed since its last update.
double Decay(MonoTime since, MonoTime now) {
  return std::exp2(-absl::ToDoubleSeconds(now - since) / kHalfLifeSeconds);
}

}  // namespace

void AttemptHealth::OnSuccess(MonoTime now) {
  failure_rate_ = FailureRate(now) * (1 - kLatestWeight);
  outcome_at_ = now;
  consecutive_failures_ = 0;
  suspensions_ = 0;
  suspended_until_ = MonoTime();
}

void AttemptHealth::OnFailure(MonoTime now) {
  failure_rate_ = FailureRate(now) * (1 - kLatestWeight) + kLatestWeight;
  outcome_at_ = now;
  if (++consecutive_failures_ >= kFailuresToSuspend) {
    Suspend(now);
  }
}

void AttemptHealth::OnUnreachable(MonoTime now) {
  OnFailure(now);
  Suspend(now);
}

void AttemptHealth::Suspend(MonoTime now) {
  if (now < suspended_until_) {
    // Attempts that were started before the suspension do not extend it.
    return;
  }
  const absl::Duration pause =
      std::min(kFirstSuspension * std::exp2(suspensions_), kLongestSuspension);
  suspended_until_ = now + pause;
  ++suspensions_;
}

void AttemptHealth::OnResponseTime(double ratio, MonoTime now) {
  const double before = 1 + (slowdown_ - 1) * Decay(response_time_at_, now);
  slowdown_ = before * (1 - kLatestWeight) + ratio * kLatestWeight;
  response_time_at_ = now;
}

double AttemptHealth::FailureRate(MonoTime now) const {
  return failure_rate_ * Decay(outcome_at_, now);
}

double AttemptHealth::Slowdown(MonoTime now) const {
  const double slowdown = 1 + (slowdown_ - 1) * Decay(response_time_at_, now);
  return slowdown < kMinSlowdown ? 1 : slowdown;
}

}  // namespace camphorsail
