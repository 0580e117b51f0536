#include "camphorsail/usage/true_clock.h"

#include <algorithm>
#include <vector>

namespace camphorsail {

void TrueClock::OnReading(const VmId& vm, absl::Time wall, MonoTime now) {
  readings_[vm] = {(wall - absl::UnixEpoch()) - (now - MonoTime()), now};
}

absl::Time TrueClock::At(MonoTime now) {
  std::erase_if(readings_, [now](const auto& item) {
    return now - item.second.at > kReadingLifetime;
  });
  if (readings_.empty()) {
    differs_since_.reset();
    return absl::UnixEpoch() + offset_ + (now - MonoTime());
  }
  const absl::Duration median = MedianOffset();
  const bool is_close = absl::AbsDuration(median - offset_) <= kMaxAdjustment;
  if (is_close) {
    differs_since_.reset();
  } else if (!differs_since_.has_value()) {
    differs_since_ = now;
  }
  if (!has_estimate_ || is_close || readings_.size() > clocks_ ||
      now - *differs_since_ >= kStepTime) {
    offset_ = median;
    has_estimate_ = true;
    clocks_ = readings_.size();
    differs_since_.reset();
  }
  return absl::UnixEpoch() + offset_ + (now - MonoTime());
}

absl::Duration TrueClock::MedianOffset() const {
  std::vector<absl::Duration> offsets;
  offsets.reserve(readings_.size());
  for (const auto& [vm, reading] : readings_) {
    offsets.push_back(reading.offset);
  }
  std::sort(offsets.begin(), offsets.end());
  const absl::Duration lower = offsets[(offsets.size() - 1) / 2];
  const absl::Duration upper = offsets[offsets.size() / 2];
  return has_estimate_ ? std::clamp(offset_, lower, upper) : lower;
}

}  // namespace camphorsail
