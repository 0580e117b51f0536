#ifndef CAMPHORSAIL_SCHEDULING_DEMAND_ESTIMATOR_H_
#define CAMPHORSAIL_SCHEDULING_DEMAND_ESTIMATOR_H_

#include <array>

#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/units.h"

namespace camphorsail {

/// Estimates the arrival rate of work per tier: the current rate and the peak
/// that recent bursts reached. Owned by one pool and guarded by the scheduler's
/// lock.
class DemandEstimator {
 public:
  /// @param work Planned slot-seconds of an arriving request.
  void OnArrival(Tier tier, double work, MonoTime now);
  /// @return Slot-seconds per second that arrive in the tiers above `tier` now.
  double HigherTierRate(Tier tier) const;
  /// @return Slot-seconds per second that arrive in the tiers above `tier` at
  /// the peak of a burst.
  double HigherTierPeak(Tier tier) const;
  /// Completes the measuring intervals that have ended by `now`.
  void Advance(MonoTime now);

 private:
  MonoTime interval_end_;
  /// Slot-seconds that arrived in the current interval, per tier.
  std::array<double, kTierCount> arrived_{};
  /// Smoothed slot-seconds per second, per tier.
  std::array<double, kTierCount> rate_{};
  /// Slowly decaying maximum of `rate_`, per tier.
  std::array<double, kTierCount> peak_{};
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_DEMAND_ESTIMATOR_H_
