#include "camphorsail/scheduling/demand_estimator.h"

#include <algorithm>

namespace camphorsail {
namespace {

constexpr absl::Duration kInterval = absl::Milliseconds(250);
constexpr double kIntervalSeconds = 0.25;
// Weight of the newest interval in the smoothed rate, which then covers about
// 2.5 s. A burst is visible before the requests that it queues expire.
constexpr double kRateGain = 0.1;
// Decay of the peak per interval. Its half-life of about 60 s is longer than
// the pause between bursts.
constexpr double kPeakDecay = 0.9971;
// A pause of more intervals than this is skipped instead of being processed
// interval by interval: older arrivals say nothing about the present demand.
constexpr int kMaxIntervals = 400;

}  // namespace

void DemandEstimator::Advance(MonoTime now) {
  if (now - interval_end_ > kMaxIntervals * kInterval) {
    interval_end_ = now + kInterval;
    return;
  }
  while (interval_end_ <= now) {
    for (int t = 0; t < kTierCount; ++t) {
      rate_[t] += kRateGain * (arrived_[t] / kIntervalSeconds - rate_[t]);
      peak_[t] = std::max(peak_[t] * kPeakDecay, rate_[t]);
      arrived_[t] = 0;
    }
    interval_end_ = interval_end_ + kInterval;
  }
}

void DemandEstimator::OnArrival(Tier tier, double work, MonoTime now) {
  Advance(now);
  arrived_[tier.value()] += work;
}

double DemandEstimator::HigherTierRate(Tier tier) const {
  double sum = 0;
  for (int t = 0; t < tier.value(); ++t) {
    sum += rate_[t];
  }
  return sum;
}

double DemandEstimator::HigherTierPeak(Tier tier) const {
  double sum = 0;
  for (int t = 0; t < tier.value(); ++t) {
    sum += peak_[t];
  }
  return sum;
}

}  // namespace camphorsail
