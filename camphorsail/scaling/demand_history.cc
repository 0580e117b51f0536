#include "camphorsail/scaling/demand_history.h"

#include <cmath>

namespace camphorsail {

void DemandHistory::Record(double demand, MonoTime now) {
  // Before the first requests there is nothing to average.
  if (average_ > 0) {
    const double weight =
        1 - std::exp(-absl::FDivDuration(now - averaged_at_, average_time_));
    average_ += weight * (demand - average_);
  } else {
    average_ = demand;
  }
  averaged_at_ = now;
  while (!peaks_.empty() && now - peaks_.front().at > memory_) {
    peaks_.pop_front();
  }
  while (!peaks_.empty() && peaks_.back().servers <= demand) {
    peaks_.pop_back();
  }
  peaks_.push_back({now, demand});
}

}  // namespace camphorsail
