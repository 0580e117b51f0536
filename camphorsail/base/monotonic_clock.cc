#include "camphorsail/base/monotonic_clock.h"

#include <ctime>

namespace camphorsail {

MonoTime MonotonicNow() {
  timespec time;
  clock_gettime(CLOCK_BOOTTIME, &time);
  return MonoTime::FromNanos(time.tv_sec * 1'000'000'000LL + time.tv_nsec);
}

}  // namespace camphorsail
