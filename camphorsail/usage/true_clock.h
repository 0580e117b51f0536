#ifndef CAMPHORSAIL_USAGE_TRUE_CLOCK_H_
#define CAMPHORSAIL_USAGE_TRUE_CLOCK_H_

#include <cstddef>
#include <map>
#include <optional>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// Estimates true time from the wall clocks of several VMs, so that a step of
/// some of them does not move it: the median of the clocks that were heard
/// recently. Between readings it follows the monotonic clock. Not thread-safe.
class TrueClock {
 public:
  /// Time for which a reading counts.
  static constexpr absl::Duration kReadingLifetime = absl::Seconds(3);
  /// Larger differences of the median from the estimate are followed only when
  /// they last for `kStepTime` or more clocks are heard than before. After a
  /// pause of this process, messages from before the pause show past times.
  static constexpr absl::Duration kMaxAdjustment = absl::Milliseconds(200);
  static constexpr absl::Duration kStepTime = absl::Seconds(4);

  /// Takes the wall clock of a VM.
  /// @param now Monotonic time at which the reading arrived.
  void OnReading(const VmId& vm, absl::Time wall, MonoTime now);
  /// @return Estimate of true time at `now`. Without a recent reading it goes
  /// on from the latest estimate; without any it is the Unix epoch.
  absl::Time At(MonoTime now);
  bool HasReading() const { return !readings_.empty() || has_estimate_; }

 private:
  struct Reading {
    /// True time minus monotonic time, as the VM's clock shows it.
    absl::Duration offset;
    MonoTime at;
  };

  /// @return The median of the readings; of two middle ones the estimate, as
  /// far as it lies between them.
  absl::Duration MedianOffset() const;

  std::map<VmId, Reading> readings_;
  absl::Duration offset_;
  bool has_estimate_ = false;
  /// Number of clocks from which the estimate was made.
  size_t clocks_ = 0;
  /// Since when the median has differed too much from the estimate.
  std::optional<MonoTime> differs_since_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_USAGE_TRUE_CLOCK_H_
