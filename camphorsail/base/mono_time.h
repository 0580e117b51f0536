#ifndef CAMPHORSAIL_BASE_MONO_TIME_H_
#define CAMPHORSAIL_BASE_MONO_TIME_H_

#include <compare>
#include <cstdint>
#include <limits>

#include "absl/time/time.h"

namespace camphorsail {

/// A point on one process's monotonic clock. Points of different processes
/// cannot be compared.
class MonoTime {
 public:
  constexpr MonoTime() = default;
  static constexpr MonoTime FromNanos(int64_t nanos) { return MonoTime(nanos); }
  /// Later than every time that a clock returns.
  static constexpr MonoTime Infinite() {
    return MonoTime(std::numeric_limits<int64_t>::max());
  }

  constexpr int64_t nanos() const { return nanos_; }

  friend constexpr auto operator<=>(MonoTime, MonoTime) = default;

  friend MonoTime operator+(MonoTime time, absl::Duration duration) {
    return MonoTime(time.nanos_ + absl::ToInt64Nanoseconds(duration));
  }
  friend MonoTime operator-(MonoTime time, absl::Duration duration) {
    return MonoTime(time.nanos_ - absl::ToInt64Nanoseconds(duration));
  }
  friend absl::Duration operator-(MonoTime a, MonoTime b) {
    return absl::Nanoseconds(a.nanos_ - b.nanos_);
  }

 private:
  constexpr explicit MonoTime(int64_t nanos) : nanos_(nanos) {}

  /// Nanoseconds since the clock's arbitrary origin.
  int64_t nanos_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_MONO_TIME_H_
