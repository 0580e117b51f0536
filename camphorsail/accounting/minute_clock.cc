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
      estimate_(wall_now),
      last_read_(now),
      last_check_(now),
      suspected_(absl::ZeroDuration()),
      fall_back_(absl::ZeroDuration()),
      minute_(MinuteOf(wall_now)) {}

MinuteClock::Reading MinuteClock::Read(MonoTime now, absl::Time wall_now) {
  const absl::Duration elapsed =
      std::max(now - last_read_, absl::ZeroDuration());
  last_read_ = std::max(now, last_read_);
  estimate_ += elapsed;
  const absl::Duration slowed =
      std::min(fall_back_, elapsed * settings_.fall_back_rate);
  estimate_ -= slowed;
  fall_back_ -= slowed;
  if (last_read_ - last_check_ >= settings_.check_interval) {
    last_check_ = last_read_;
    Check(wall_now);
  }
  Reading reading{std::max(minute_, MinuteOf(estimate_)), std::nullopt};
  if (reading.minute > minute_) {
    reading.closed = minute_;
    minute_ = reading.minute;
  }
  return reading;
}

void MinuteClock::Check(absl::Time wall_now) {
  const absl::Duration offset = wall_now - estimate_;
  if (absl::AbsDuration(offset) <= settings_.step_tolerance) {
    estimate_ = wall_now;
    fall_back_ = absl::ZeroDuration();
    suspicions_ = 0;
    return;
  }
  // While the clock is slewed back, `offset` is the part of an accepted step
  // that remains. Adding `fall_back_` leaves only a further step, if there is
  // one.
  const absl::Duration step = offset + fall_back_;
  if (absl::AbsDuration(step) <= settings_.step_tolerance) {
    suspicions_ = 0;
    return;
  }
  if (suspicions_ == 0 ||
      absl::AbsDuration(step - suspected_) > settings_.step_tolerance) {
    suspected_ = step;
    suspicions_ = 0;
  }
  if (++suspicions_ < settings_.confirmations) {
    return;
  }
  suspicions_ = 0;
  if (offset > absl::ZeroDuration()) {
    estimate_ = wall_now;
    fall_back_ = absl::ZeroDuration();
  } else {
    fall_back_ = -offset;
  }
}

}  // namespace camphorsail
