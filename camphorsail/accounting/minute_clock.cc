#include "camphorsail/accounting/minute_clock.h"

#include <algorithm>

namespace camphorsail {

MinuteIndex MinuteOf(absl::Time time) {
  const int64_t seconds = absl::ToUnixSeconds(time);
  const int64_t minute = seconds / 60;
  return MinuteIndex(seconds % 60 < 0 ? minute - 1 : minute);
}

MinuteClock::MinuteClock(const MinuteClockSettings& settings,
                         MonoTime now,
                         absl::Time wall_now)
    : settings_(settings),
      wall_estimate_(wall_now),
      last_read_(now),
      last_check_(now),
      candidate_step_(absl::ZeroDuration()),
      remaining_slew_(absl::ZeroDuration()),
      minute_(MinuteOf(wall_now)) {}

MinuteClock::Reading MinuteClock::Read(MonoTime now, absl::Time wall_now) {
  const absl::Duration elapsed =
      std::max(now - last_read_, absl::ZeroDuration());
  last_read_ = std::max(now, last_read_);
  wall_estimate_ += elapsed;
  const absl::Duration slewed =
      std::min(remaining_slew_, elapsed * settings_.slew_rate);
  wall_estimate_ -= slewed;
  remaining_slew_ -= slewed;
  if (last_read_ - last_check_ >= settings_.check_interval) {
    last_check_ = last_read_;
    CompareWithWallClock(wall_now);
  }
  Reading reading{std::max(minute_, MinuteOf(wall_estimate_)), std::nullopt};
  if (reading.minute > minute_) {
    reading.closed = minute_;
    minute_ = reading.minute;
  }
  return reading;
}

void MinuteClock::CompareWithWallClock(absl::Time wall_now) {
  const absl::Duration offset = wall_now - wall_estimate_;
  if (absl::AbsDuration(offset) <= settings_.step_tolerance) {
    wall_estimate_ = wall_now;
    remaining_slew_ = absl::ZeroDuration();
    candidate_checks_ = 0;
    return;
  }
  // While the clock is slewed back, `offset` is the part of an accepted step
  // that remains. Adding `remaining_slew_` leaves only a further step, if there
  // is one.
  const absl::Duration step = offset + remaining_slew_;
  if (absl::AbsDuration(step) <= settings_.step_tolerance) {
    candidate_checks_ = 0;
    return;
  }
  if (candidate_checks_ == 0 ||
      absl::AbsDuration(step - candidate_step_) > settings_.step_tolerance) {
    candidate_step_ = step;
    candidate_checks_ = 0;
  }
  if (++candidate_checks_ < settings_.confirmations) {
    return;
  }
  candidate_checks_ = 0;
  if (offset > absl::ZeroDuration()) {
    wall_estimate_ = wall_now;
    remaining_slew_ = absl::ZeroDuration();
  } else {
    remaining_slew_ = -offset;
  }
}

}  // namespace camphorsail
