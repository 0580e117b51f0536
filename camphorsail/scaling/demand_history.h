#ifndef CAMPHORSAIL_SCALING_DEMAND_HISTORY_H_
#define CAMPHORSAIL_SCALING_DEMAND_HISTORY_H_

#include <deque>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// The demand for one service in the recent past, in servers. Not thread-safe.
class DemandHistory {
 public:
  /// @param average_time Time constant of the average.
  /// @param memory Time for which a maximum is remembered.
  DemandHistory(absl::Duration average_time, absl::Duration memory)
      : average_time_(average_time), memory_(memory) {}

  void Record(double demand, MonoTime now);

  double average() const { return average_; }
  /// @return The highest demand within the memory.
  double Peak() const { return peaks_.empty() ? 0 : peaks_.front().servers; }

 private:
  struct Sample {
    MonoTime at;
    double servers = 0;
  };

  const absl::Duration average_time_;
  const absl::Duration memory_;
  /// Moving average, and when it was updated.
  double average_ = 0;
  MonoTime averaged_at_;
  /// Maxima of the demand, oldest first with decreasing values.
  std::deque<Sample> peaks_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCALING_DEMAND_HISTORY_H_
