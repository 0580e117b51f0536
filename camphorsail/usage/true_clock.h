#ifndef CAMPHORSAIL_USAGE_TRUE_CLOCK_H_
#define CAMPHORSAIL_USAGE_TRUE_CLOCK_H_

#include <map>

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

  std::map<VmId, Reading> readings_;
  absl::Duration offset_;
  bool has_estimate_ = false;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_USAGE_TRUE_CLOCK_H_
