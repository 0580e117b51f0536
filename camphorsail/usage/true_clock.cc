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
  if (!readings_.empty()) {
    std::vector<absl::Duration> offsets;
    offsets.reserve(readings_.size());
    for (const auto& [vm, reading] : readings_) {
      offsets.push_back(reading.offset);
    }
    const auto middle =
        offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    offset_ = *middle;
    has_estimate_ = true;
  }
  return absl::UnixEpoch() + offset_ + (now - MonoTime());
}

}  // namespace camphorsail
