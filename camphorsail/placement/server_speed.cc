#include "camphorsail/placement/server_speed.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorsail {

void ServerSpeed::OnWork(double ratio) {
  if (ratio > 0) {
    own_[values_ % kCapacity] = static_cast<float>(ratio);
    ++values_;
    ++new_values_;
  }
}

SpeedSamples ServerSpeed::TakeOwn() {
  if (values_ < kMinValues || new_values_ == 0) {
    return {};
  }
  const size_t size = std::min(values_, kCapacity);
  std::array<float, kCapacity> sorted = own_;
  const auto quantile =
      sorted.begin() +
      static_cast<std::ptrdiff_t>(static_cast<double>(size) * kQuantile);
  std::nth_element(sorted.begin(), quantile,
                   sorted.begin() + static_cast<std::ptrdiff_t>(size));
  const uint32_t weight =
      std::min(std::exchange(new_values_, 0), kMaxOwnWeight);
  const SpeedSamples own = SpeedSamples::Of(*quantile, weight);
  taken_ += own;
  return own;
}

void ServerSpeed::OnOthers(const SpeedSamples& others, MonoTime now) {
  SpeedSamples all = std::exchange(taken_, SpeedSamples());
  all += others;
  is_shared_ = is_shared_ || !others.IsEmpty();
  if (all.IsEmpty()) {
    return;
  }
  weight_ *=
      std::exp(-absl::ToDoubleSeconds(now - weighed_at_) / kMemorySeconds);
  weighed_at_ = now;
  weight_ += all.weight;
  log_factor_ += (all.MeanLog() - log_factor_) * all.weight / weight_;
  is_known_ = is_known_ || weight_ >= kMinWeight;
}

}  // namespace camphorsail
