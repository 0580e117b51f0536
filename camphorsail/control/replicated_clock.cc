#include "camphorsail/control/replicated_clock.h"

#include <algorithm>
#include <vector>

namespace camphorsail {

void ReplicatedClock::Observe(const VmId& vm,
                              int64_t wall_micros,
                              LogIndex index) {
  reports_[vm] = {wall_micros, index};
  if (reports_.size() > kMaxReporters) {
    reports_.erase(std::min_element(reports_.begin(), reports_.end(),
                                    [](const auto& a, const auto& b) {
                                      return a.second.index < b.second.index;
                                    }));
  }
  std::vector<int64_t> clocks;
  clocks.reserve(reports_.size());
  for (const auto& [reporter, report] : reports_) {
    clocks.push_back(report.wall_micros);
  }
  const auto median =
      clocks.begin() + static_cast<ptrdiff_t>((clocks.size() - 1) / 2);
  std::nth_element(clocks.begin(), median, clocks.end());
  now_micros_ = std::max(now_micros_, *median);
}

}  // namespace camphorsail
