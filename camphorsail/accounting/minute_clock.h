#ifndef CAMPHORSAIL_ACCOUNTING_MINUTE_CLOCK_H_
#define CAMPHORSAIL_ACCOUNTING_MINUTE_CLOCK_H_

#include <optional>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// @param time Wall time.
/// @return The minute since the Unix epoch that contains `time`.
MinuteIndex MinuteOf(absl::Time time);

/// Settings of a `MinuteClock`.
struct MinuteClockSettings {
  /// Differences to the wall clock up to this size are normal clock adjustments
  /// and are followed at once. Larger ones are treated as steps.
  absl::Duration step_tolerance = absl::Seconds(2);
  /// Interval between comparisons with the wall clock.
  absl::Duration check_interval = absl::Seconds(10);
  /// Number of successive checks that must see the same step before it is
  /// accepted. A single reading may be a step that is undone soon afterwards.
  int confirmations = 3;
  /// Fraction by which the clock runs slower until it agrees with a wall clock
  /// that was set back. If it stood still instead, all refusals of that time
  /// would fall into one minute, and too few refused minutes would be reported.
  double slew_rate = 0.1;
};

/// Tells the current minute of a VM. Between checks it follows the monotonic
/// clock; at each check it is corrected towards the wall clock. The minute
/// never decreases. Not thread-safe.
class MinuteClock {
 public:
  struct Reading {
    /// The current minute.
    MinuteIndex minute;
    /// The previous minute, when this reading is the first in a new minute.
    /// Minutes between `closed` and `minute` were skipped; the VM must not mark
    /// them as completely recorded.
    std::optional<MinuteIndex> closed;
  };

  /// @param settings Settings.
  /// @param now Monotonic time at the start.
  /// @param wall_now Wall time at the start.
  MinuteClock(const MinuteClockSettings& settings,
              MonoTime now,
              absl::Time wall_now);

  /// Reads the clock. Must be called at least once per second.
  /// @param now Monotonic time.
  /// @param wall_now Wall time.
  Reading Read(MonoTime now, absl::Time wall_now);

  /// @return The minute of the last reading.
  MinuteIndex minute() const { return minute_; }

 private:
  // Compares the estimate with the wall clock and corrects it.
  void CompareWithWallClock(absl::Time wall_now);

  MinuteClockSettings settings_;
  /// Estimated wall time at `last_read_`.
  absl::Time wall_estimate_;
  MonoTime last_read_;
  MonoTime last_check_;
  /// Size of a step that is not accepted yet, and the number of successive
  /// checks that saw it.
  absl::Duration candidate_step_;
  int candidate_checks_ = 0;
  /// Part of an accepted backward step that is not yet made up for.
  absl::Duration remaining_slew_;
  MinuteIndex minute_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ACCOUNTING_MINUTE_CLOCK_H_
