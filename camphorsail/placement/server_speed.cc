#include "camphorsail/placement/server_speed.h"

#include <algorithm>
#include <utility>

namespace camphorsail {

void ServerSpeed::OnWork(double ratio) {
  if (ratio > 0) {
    own_.Add(ratio);
    ++new_values_;
  }
}

SpeedSamples ServerSpeed::TakeOwn() {
  if (!own_.IsReady()) {
    return {};
  }
  const uint32_t weight =
      std::min(std::exchange(new_values_, 0), kMaxOwnWeight);
  const SpeedSamples own = SpeedSamples::Of(own_.value(), weight);
  taken_ += own;
  return own;
}

void ServerSpeed::OnOthers(const SpeedSamples& others) {
  SpeedSamples all = std::exchange(taken_, SpeedSamples());
  all += others;
  is_shared_ = is_shared_ || !others.IsEmpty();
  if (all.IsEmpty()) {
    return;
  }
  weight_ = std::min(weight_ + all.weight, kMaxWeight);
  log_factor_ +=
      (all.MeanLog() - log_factor_) * std::min(1.0, all.weight / weight_);
}

}  // namespace camphorsail
