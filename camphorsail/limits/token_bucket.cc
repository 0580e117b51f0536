#include "camphorsail/limits/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace camphorsail {

double TokenBucket::Burst() const {
  // At rates below one unit per second, the bucket must still hold one whole
  // unit.
  return std::max(rate_, 1.0);
}

double TokenBucket::NeededLevel(double amount) const {
  return std::min(amount, Burst());
}

void TokenBucket::Refill(MonoTime now) {
  if (now <= refilled_at_) {
    return;
  }
  const double elapsed = absl::ToDoubleSeconds(now - refilled_at_);
  refilled_at_ = now;
  if (!std::isinf(rate_)) {
    level_ = std::min(level_ + rate_ * elapsed, Burst());
  }
}

void TokenBucket::SetRate(double rate, MonoTime now) {
  Refill(now);
  refilled_at_ = now;
  rate_ = rate;
  // The level must not stay above the burst of the new rate.
  level_ = std::isinf(rate_) ? 0 : std::min(level_, rate_ > 0 ? Burst() : 0.0);
}

bool TokenBucket::CanTake(double amount, MonoTime now) {
  if (std::isinf(rate_)) {
    return true;
  }
  Refill(now);
  // The tolerance covers rounding errors, so that the time from `TimeUntil` is
  // never too short.
  return rate_ > 0 && level_ + 1e-9 >= NeededLevel(amount);
}

void TokenBucket::Take(double amount, MonoTime now) {
  if (!std::isinf(rate_)) {
    Refill(now);
    level_ = std::min(level_ - amount, Burst());
  }
}

absl::Duration TokenBucket::TimeUntil(double amount, MonoTime now) {
  if (CanTake(amount, now)) {
    return absl::ZeroDuration();
  }
  return rate_ <= 0 ? absl::InfiniteDuration()
                    : absl::Seconds((NeededLevel(amount) - level_) / rate_);
}

}  // namespace camphorsail
